package membership

import (
	"context"
	"maps"
	"slices"

	"github.com/pkg/errors"

	"github.com/mangomast/mangomast/membership"
	"github.com/mangomast/mangomast/mesh"
)

// slowRounds is the number of rounds between two reports to the relays that
// are not asked for changes, and between two of a relay to other relays.
const slowRounds = 2

// doubtExpiries is the number of expiries after which a VM is removed that a
// relay of its failure domain does not list.
const doubtExpiries = 2

// report is what a node tells another about itself, and asks of it.
type report struct {
	Entry membership.Entry `cbor:"1,keyasint"`
	// Cursor says which changes are known; the others are asked for.
	Cursor cursor `cbor:"2,keyasint"`
	// Domain asks for every VM of a failure domain; Services for those of
	// services; AllRelays for the relays of all failure domains.
	Domain    string   `cbor:"3,keyasint,omitempty"`
	Services  []string `cbor:"4,keyasint,omitempty"`
	AllRelays bool     `cbor:"5,keyasint,omitempty"`
	// Quiet asks for nothing: the report only says that the node lives.
	Quiet bool `cbor:"6,keyasint,omitempty"`
}

// reportAnswer answers a report.
type reportAnswer struct {
	VM     string `cbor:"1,keyasint"`
	Domain string `cbor:"2,keyasint"`
	// Relay is true if the answering node is a relay of its failure domain.
	Relay   bool                `cbor:"3,keyasint,omitempty"`
	Cursor  cursor              `cbor:"4,keyasint"`
	Records []membership.Record `cbor:"5,keyasint,omitempty"`
	Relays  []membership.Entry  `cbor:"6,keyasint,omitempty"`
}

// contact is a node to report to.
type contact struct {
	// vm and domain are empty for a seed.
	vm, domain string
	address    string
	request    report
}

// contacts returns the nodes to report to in this round.
func (m *Module) contacts() []contact {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.rounds++
	relays := m.ownRelays()
	relay := membership.Rank(relays, m.self.VM) >= 0
	if relay != m.wasRelay {
		m.wasRelay, m.cursors = relay, map[string]cursor{}
	}
	contacts := m.ownContacts(relays, relay)
	if relay && m.rounds%slowRounds == 0 {
		contacts = append(contacts, m.domainContacts()...)
	}
	now := m.clock.Now()
	seeds := append(slices.Clone(m.seeds), m.storeSeeds...)
	if len(seeds) > 0 && (!now.Before(m.seedDue) || len(contacts) == 0) {
		m.seedDue = now.Add(seedInterval)
		m.seedNext++
		seed := seeds[m.seedNext%len(seeds)]
		contacts = append(contacts, contact{address: seed, request: report{Entry: m.self, AllRelays: true}})
	}
	return slices.DeleteFunc(contacts, func(c contact) bool { return c.address == m.self.MeshAddress })
}

// ownContacts are the other relays of the own failure domain. A relay asks
// each for the domain's VMs, another node asks one for what it needs.
func (m *Module) ownContacts(relays []membership.Entry, relay bool) []contact {
	var contacts []contact
	for i, r := range relays {
		if r.VM == m.self.VM {
			continue
		}
		c := contact{vm: r.VM, domain: r.FailureDomain, address: r.MeshAddress}
		c.request = report{Entry: m.self, Cursor: m.cursors[r.VM]}
		slow := m.rounds%slowRounds == 0
		switch {
		case relay && slow:
			c.request.Domain = m.self.FailureDomain
		case !relay && i == m.primary%len(relays):
			c.request.Services = m.subscribed()
		case slow:
			c.request.Quiet = true
		default:
			continue
		}
		contacts = append(contacts, c)
	}
	return contacts
}

func (m *Module) subscribed() []string {
	names := make([]string, 0, len(m.services))
	for name := range m.services {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// domainContacts are one relay of each other failure domain.
func (m *Module) domainContacts() []contact {
	var contacts []contact
	for domain, relays := range m.otherRelays() {
		state := m.domain(domain)
		r := relays[state.next%len(relays)]
		contacts = append(contacts, contact{
			vm: r.VM, domain: domain, address: r.MeshAddress,
			request: report{Entry: m.self, Cursor: m.cursors[r.VM], Domain: domain},
		})
	}
	return contacts
}

// domain returns the state of another failure domain. The caller holds m.mu.
func (m *Module) domain(name string) *domainState {
	state, ok := m.domains[name]
	if !ok {
		state = &domainState{heard: m.clock.Now(), next: Spread(m.self.VM)}
		m.domains[name] = state
	}
	return state
}

// contact sends one report and takes in the answer.
func (m *Module) contact(ctx context.Context, c contact) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	var answer reportAnswer
	err := m.mesh.Exchange(ctx, mesh.Peer{VM: c.vm, Address: c.address}, mesh.KindMembers, c.request, &answer)
	m.mu.Lock()
	defer m.mu.Unlock()
	if err != nil {
		m.log.WithError(err).WithField("address", c.address).Debug("membership report failed")
		m.unanswered(c)
		return
	}
	m.take(c, &answer)
	m.publish()
}

func (m *Module) unanswered(c contact) {
	switch {
	case c.vm == "":
	case c.domain != m.self.FailureDomain:
		m.domain(c.domain).next++
	case !c.request.Quiet:
		m.primary++
	}
}

// take takes in the answer to a report. Its cursor holds only for what was asked
// for, so it is dropped if this node asks for something else by now. The caller
// holds m.mu.
func (m *Module) take(c contact, answer *reportAnswer) {
	now := m.clock.Now()
	own := answer.Domain == m.self.FailureDomain
	relay := membership.Rank(m.ownRelays(), m.self.VM) >= 0
	for _, entry := range answer.Relays {
		answer.Records = append(answer.Records, membership.Record{Entry: entry})
	}
	for _, record := range answer.Records {
		m.table.Learn(record, m.trusts(relay, answer, record.Entry), now)
	}
	m.table.Vouch(answer.VM, now)
	if !answer.Relay {
		if c.vm != "" {
			m.unanswered(c)
		}
		return
	}
	if !own {
		m.domain(answer.Domain).heard = now
		if c.request.Domain == answer.Domain && c.request.Cursor.Incarnation != answer.Cursor.Incarnation {
			m.table.Doubt(answer.Domain, answer.VM, answer.Records, now)
		}
		m.table.VouchDomain(answer.Domain, answer.VM, now.Add(-doubtExpiries*m.Expiry.Std()), now)
	}
	if c.request.Quiet || c.vm == "" {
		return
	}
	if !own || m.asksFor(relay, &c.request) {
		m.cursors[answer.VM] = answer.Cursor
	}
	for _, name := range c.request.Services {
		if s := m.services[name]; s != nil && !s.done {
			s.done = true
			m.whole = maps.Clone(m.whole)
			m.whole[name] = true
			m.publish()
			close(s.answered)
		}
	}
}

// asksFor reports whether the report asks the own failure domain's relays for
// what this node, in its present role, would ask them for.
func (m *Module) asksFor(relay bool, r *report) bool {
	if relay {
		return r.Domain != ""
	}
	return r.Domain == "" && slices.Equal(r.Services, m.subscribed())
}

// trusts reports whether the answering node is an authority on which VMs
// live. A relay decides for itself about its failure domain and believes other
// domains' relays about theirs; other nodes believe their relays.
func (m *Module) trusts(relay bool, answer *reportAnswer, entry membership.Entry) bool {
	own := answer.Domain == m.self.FailureDomain
	if !relay {
		return answer.Relay && own
	}
	return answer.Relay && !own && entry.FailureDomain == answer.Domain
}

// serveReport answers another node's report.
func (m *Module) serveReport(_ context.Context, from mesh.Identity, r report) (reportAnswer, error) {
	if r.Entry.VM != from.VM || r.Entry.Incarnation != from.Incarnation {
		return reportAnswer{}, errors.Errorf("%s reported as %s", from.VM, r.Entry.VM)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.table.Hear(r.Entry, m.clock.Now())
	m.publish()
	answer := reportAnswer{VM: m.self.VM, Domain: m.self.FailureDomain, Relay: m.rank() >= 0}
	if r.Quiet {
		return answer, nil
	}
	answer.Cursor = cursor{Incarnation: m.self.Incarnation, Sequence: m.table.Sequence()}
	after := r.Cursor.Sequence
	if r.Cursor.Incarnation != m.self.Incarnation {
		after = 0
	}
	answer.Records = m.table.Changes(after, r.wants)
	answer.Relays = m.relaysFor(r)
	return answer, nil
}

// wants reports whether a change is of use to the node that reports.
func (r *report) wants(record membership.Record) bool {
	e := record.Entry
	switch {
	case r.Domain != "":
		return e.FailureDomain == r.Domain
	case record.Removed && e.FailureDomain == r.Entry.FailureDomain:
		return true
	}
	return slices.Contains(r.Services, e.Service)
}

// relaysFor returns the relays that the reporting node should know.
func (m *Module) relaysFor(r report) []membership.Entry {
	if !r.AllRelays {
		return m.table.Relays(r.Entry.FailureDomain)
	}
	var relays []membership.Entry
	for _, domain := range m.table.Domains() {
		relays = append(relays, m.table.Relays(domain)...)
	}
	return relays
}
