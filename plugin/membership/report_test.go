package membership

import (
	"testing"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"github.com/mangomast/mangomast/membership"
)

func newModule() *Module {
	m := &Module{
		clock: clockwork.NewFakeClock(), table: membership.NewTable(), urgent: make(chan struct{}, 1),
		self:    membership.Entry{VM: "front-1", FailureDomain: "riga-a"},
		cursors: map[string]cursor{}, services: map[string]*subscription{}, whole: map[string]bool{},
		domains: map[string]*domainState{},
	}
	m.view.Store(membership.NewView(nil))
	return m
}

// TestSubscriptionDuringAReportMissesNothing subscribes to a service while a
// report that does not ask for it is on its way.
func TestSubscriptionDuringAReportMissesNothing(t *testing.T) {
	m := newModule()
	relay := membership.Entry{VM: "relay-1", Incarnation: 1, FailureDomain: "riga-a"}
	m.table.Hear(relay, m.clock.Now())
	c := contact{vm: relay.VM, domain: relay.FailureDomain, request: report{Entry: &m.self, Services: m.subscribed()}}
	answer := &reportAnswer{VM: relay.VM, Domain: relay.FailureDomain, Relay: true, Cursor: cursor{Incarnation: 1, Sequence: 7}}

	m.services["fares"] = &subscription{answered: make(chan struct{})}
	m.take(c, answer)
	assert.Equal(t, m.cursors[relay.VM], cursor{})

	c.request.Services = m.subscribed()
	m.take(c, answer)
	assert.Equal(t, m.cursors[relay.VM], answer.Cursor)
	assert.Assert(t, m.services["fares"].done)
}

// TestKnownVMsDoNotStandForTheirService knows one VM of a service, because it
// is a relay, before it subscribes to the service.
func TestKnownVMsDoNotStandForTheirService(t *testing.T) {
	m := newModule()
	relay := membership.Entry{VM: "relay-1", Incarnation: 1, FailureDomain: "riga-a", Service: "fares", State: membership.Ready}
	m.table.Hear(relay, m.clock.Now())
	m.publish()
	first := make(chan int)
	go func() { first <- len(m.View().Service("fares")) }()
	<-m.urgent

	other := membership.Entry{VM: "fares-1", Incarnation: 1, FailureDomain: "jurmala-a", Service: "fares", State: membership.Ready}
	c := contact{vm: relay.VM, domain: relay.FailureDomain, request: report{Entry: &m.self, Services: m.subscribed()}}
	m.take(c, &reportAnswer{VM: relay.VM, Domain: relay.FailureDomain, Relay: true, Records: []membership.Record{{Entry: other}}})
	assert.Equal(t, <-first, 2)
	assert.Equal(t, len(m.View().Service("fares")), 2)
}
