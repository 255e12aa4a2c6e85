package membership

import (
	"testing"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"github.com/mangomast/mangomast/membership"
)

func newModule() *Module {
	m := &Module{
		clock: clockwork.NewFakeClock(), table: membership.NewTable(), wakeUp: make(chan struct{}, 1),
		self:    membership.Entry{VM: "front-1", FailureDomain: "riga-a"},
		cursors: map[string]cursor{}, services: map[string]*subscription{}, completeServices: map[string]bool{},
		domains: map[string]*domainState{},
	}
	m.view.Store(membership.NewView(nil))
	return m
}

// TestSubscriptionDuringReportKeepsCursor guards against missed VMs of a
// service that is subscribed to while a report without it is in flight: the
// answer's cursor must not be stored.
func TestSubscriptionDuringReportKeepsCursor(t *testing.T) {
	m := newModule()
	relay := membership.Entry{VM: "relay-1", Incarnation: 1, FailureDomain: "riga-a"}
	m.table.Observe(relay, m.clock.Now())
	c := contact{vm: relay.VM, domain: relay.FailureDomain, request: report{Entry: &m.self, Services: m.subscribed()}}
	answer := &reportAnswer{VM: relay.VM, Domain: relay.FailureDomain, Relay: true, Cursor: cursor{Incarnation: 1, Sequence: 7}}

	m.services["fares"] = &subscription{answered: make(chan struct{})}
	m.handleAnswer(c, answer)
	assert.Equal(t, m.cursors[relay.VM], cursor{})

	c.request.Services = m.subscribed()
	m.handleAnswer(c, answer)
	assert.Equal(t, m.cursors[relay.VM], answer.Cursor)
	assert.Assert(t, m.services["fares"].done)
}

// TestPartlyKnownServiceWaitsForSubscription guards against a lookup that
// returns only some VMs of a service: one VM is known before the subscription
// because it is a relay.
func TestPartlyKnownServiceWaitsForSubscription(t *testing.T) {
	m := newModule()
	relay := membership.Entry{VM: "relay-1", Incarnation: 1, FailureDomain: "riga-a", Service: "fares", State: membership.Ready}
	m.table.Observe(relay, m.clock.Now())
	m.publish()
	first := make(chan int)
	go func() { first <- len(m.View().Service("fares")) }()
	<-m.wakeUp

	other := membership.Entry{VM: "fares-1", Incarnation: 1, FailureDomain: "jurmala-a", Service: "fares", State: membership.Ready}
	c := contact{vm: relay.VM, domain: relay.FailureDomain, request: report{Entry: &m.self, Services: m.subscribed()}}
	m.handleAnswer(c, &reportAnswer{VM: relay.VM, Domain: relay.FailureDomain, Relay: true, Records: []membership.Record{{Entry: other}}})
	assert.Equal(t, <-first, 2)
	assert.Equal(t, len(m.View().Service("fares")), 2)
}
