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

// announced is a membership.Announcer that keeps the last entry.
type announced struct{ entry membership.Entry }

// Announce implements membership.Announcer.
func (a *announced) Announce(change func(*membership.Entry)) { change(&a.entry) }

func TestStoppingNodeTakesNoWorkWhenItsUpstreamAnnouncesItself(t *testing.T) {
	clock := clockwork.NewFakeClock()
	spread := &announced{}
	u := &upstreamState{clock: clock, log: log.Log, announcer: spread, changed: func(settings.Upstream) {}}
	upstream := settings.Upstream{Service: "fares", Address: "127.0.0.1:1", Slots: 1, Connections: 1}
	announce := func() { u.set(upstream, membership.Ready, clock.Now().Add(time.Second)) }
	announce()
	assert.Equal(t, spread.entry.State, membership.Ready)
	u.leave()
	announce()
	assert.Equal(t, spread.entry.State, membership.Leaving)
	u.gone()
	announce()
	assert.Equal(t, spread.entry.State, membership.Gone)
}
