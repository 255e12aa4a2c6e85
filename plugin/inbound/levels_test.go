package inbound

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"github.com/mangomast/mangomast/call"
	"github.com/mangomast/mangomast/mesh"
)

func shedReply() *call.Reply {
	return &call.Reply{Outcome: call.Answered, Status: 200, Levels: []call.Level{
		{Service: "fares", VM: "fares-1"}, {Service: "ledger", VM: "ledger-1", Accepted: make([]byte, 9)},
	}}
}

func TestSheddingIsAnnouncedAndHeld(t *testing.T) {
	clock, entry := clockwork.NewFakeClock(), &entryRecorder{}
	l := newRouteLevels(clock, entry)
	l.announce()
	assert.Assert(t, !entry.entry.Sheds)
	l.record(&call.Head{Route: "quote"}, shedReply())
	l.announce()
	assert.Assert(t, entry.entry.Sheds)
	clock.Advance(shedAnnounceHold - time.Millisecond)
	l.announce()
	assert.Assert(t, entry.entry.Sheds)
	clock.Advance(time.Millisecond)
	l.announce()
	assert.Assert(t, !entry.entry.Sheds)
}

func TestLevelsOfUpstreamCallsAreNotRecorded(t *testing.T) {
	l := newRouteLevels(clockwork.NewFakeClock(), &entryRecorder{})
	l.record(&call.Head{Route: "quote", Depth: 1}, shedReply())
	answer, err := l.serve(t.Context(), mesh.Identity{}, LevelsRequest{Route: "quote"})
	assert.NilError(t, err)
	assert.Equal(t, len(answer.Levels), 0)
}

func TestLevelAnswersAreRateLimited(t *testing.T) {
	clock := clockwork.NewFakeClock()
	l := newRouteLevels(clock, &entryRecorder{})
	l.record(&call.Head{Route: "quote"}, shedReply())
	bytes := 0
	for range 10_000 {
		answer, err := l.serve(t.Context(), mesh.Identity{}, LevelsRequest{Route: "quote"})
		assert.NilError(t, err)
		if len(answer.Levels) > 0 {
			data, err := mesh.Encode(answer)
			assert.NilError(t, err)
			bytes += len(data)
		}
		clock.Advance(time.Millisecond)
	}
	assert.Assert(t, bytes > 0 && bytes <= levelsBurstBytes+10*levelsBytesPerSecond, "%d bytes in 10 s", bytes)
}
