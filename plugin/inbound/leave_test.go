package inbound

import (
	"math"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"github.com/mangomast/mangomast/finding"
	"github.com/mangomast/mangomast/membership"
	"github.com/mangomast/mangomast/settings"
)

// entryRecorder is a membership.Announcer that records the last entry.
type entryRecorder struct{ entry membership.Entry }

// Announce implements membership.Announcer.
func (r *entryRecorder) Announce(change func(*membership.Entry)) { change(&r.entry) }

// TestLeavingNodeIgnoresReadyAnnouncement guards against a stopping node that
// accepts requests again because its upstream announces itself as ready.
// TestAnnouncementNumbersAreBounded guards against numbers that pass the check of their
// range only because their product overflows, or that overflow later.
func TestAnnouncementNumbersAreBounded(t *testing.T) {
	const millisOfAllDurations = 1 << 58 // times 10^6 is 0 modulo 2^64
	valid := Announcement{Service: "quotes", Address: "127.0.0.1:1", Slots: 8, Connections: 8, TTLMillis: 3000}
	for name, change := range map[string]func(*Announcement){
		"TTL":             func(a *Announcement) { a.TTLMillis = millisOfAllDurations + 3000 },
		"negative TTL":    func(a *Announcement) { a.TTLMillis = math.MinInt },
		"slots":           func(a *Announcement) { a.Slots, a.Connections = 1<<61, math.MaxInt },
		"negative slots":  func(a *Announcement) { a.Slots = math.MinInt },
		"few connections": func(a *Announcement) { a.Connections = math.MinInt },
	} {
		a, findings := valid, &finding.List{}
		a.validate(findings)
		assert.Equal(t, len(findings.Findings()), 0)
		change(&a)
		a.validate(findings)
		assert.Check(t, len(findings.Findings()) > 0, name)
	}
}

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
