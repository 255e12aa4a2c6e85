package inbound

import (
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"github.com/mangomast/mangomast/membership"
	"github.com/mangomast/mangomast/settings"
)

// entryRecorder is a membership.Announcer that records the last entry.
type entryRecorder struct{ entry membership.Entry }

// Announce implements membership.Announcer.
func (r *entryRecorder) Announce(change func(*membership.Entry)) { change(&r.entry) }

// TestLeavingNodeIgnoresReadyAnnouncement guards against a stopping node that
// accepts requests again because its upstream announces itself as ready.
func TestLeavingNodeIgnoresReadyAnnouncement(t *testing.T) {
	clock := clockwork.NewFakeClock()
	recorder := &entryRecorder{}
	u := &upstreamState{clock: clock, log: log.Log, announcer: recorder, onChange: func(settings.Upstream) {}}
	upstream := settings.Upstream{Service: "fares", Address: "127.0.0.1:1", Slots: 1, Connections: 1}
	announce := func() { u.setState(upstream, membership.Ready, clock.Now().Add(time.Second)) }
	announce()
	assert.Equal(t, recorder.entry.State, membership.Ready)
	u.markLeaving()
	announce()
	assert.Equal(t, recorder.entry.State, membership.Leaving)
	u.markGone()
	announce()
	assert.Equal(t, recorder.entry.State, membership.Gone)
}
