package membership

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

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

// fullRounds is the number of rounds after which a node asks its relay for
// changes even if it was not told that there are any.
const fullRounds = 8

// report is what a node tells another about itself, and asks of it.
type report struct {
	// Entry is left out if the other node was told this version before.
	Entry *membership.Entry `cbor:"1,keyasint,omitempty"`
	// Cursor says which changes are known; the others are asked for.
	Cursor cursor `cbor:"2,keyasint"`
	// Domain asks for every VM of a failure domain; Services for those of
	// services; AllRelays for the relays of all failure domains.
	Domain    string   `cbor:"3,keyasint,omitempty"`
	Services  []string `cbor:"4,keyasint,omitempty"`
	AllRelays bool     `cbor:"5,keyasint,omitempty"`
	// Quiet asks for nothing: the report only says that the node lives.
	Quiet bool `cbor:"6,keyasint,omitempty"`
	// Version and Held are the entry's, for a report without it.
	Version uint64 `cbor:"7,keyasint,omitempty"`
	Held    int64  `cbor:"8,keyasint,omitempty"`
	// KnownRelays is the sum of the relays that the node knows in its failure
	// domain, or of all with AllRelays.
	KnownRelays uint64 `cbor:"9,keyasint,omitempty"`
}

// reportAnswer answers a report.
type reportAnswer struct {
	VM     string `cbor:"1,keyasint"`
	Domain string `cbor:"2,keyasint"`
	// Relay is true if the answering node is a relay of its failure domain.
	Relay   bool                `cbor:"3,keyasint,omitempty"`
	Cursor  cursor              `cbor:"4,keyasint"`
	Records []membership.Record `cbor:"5,keyasint,omitempty"`
	// Relays is left out if the reporting node knows them.
	Relays []membership.Entry `cbor:"6,keyasint,omitempty"`
	// Unknown is true if the report had no entry and is not understood
	// without.
	Unknown bool `cbor:"7,keyasint,omitempty"`
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
	urgent := m.announced
	m.announced = false
	contacts := m.ownContacts(relays, relay, urgent)
	if relay && m.rounds%slowRounds == 0 {
		contacts = append(contacts, m.domainContacts()...)
	}
	if seed, due := m.nextSeed(relay); due {
		contacts = append(contacts, contact{address: seed, request: report{AllRelays: true}})
	}
	return slices.DeleteFunc(contacts, func(c contact) bool { return c.address == m.self.MeshAddress })
}

// nextSeed returns the seed to contact, if one is due: at each round of a node
// that knows no other, else in intervals. The caller holds m.mu.
func (m *Module) nextSeed(relay bool) (address string, due bool) {
	now := m.clock.Now()
	seeds := append(slices.Clone(m.seeds), m.storeSeeds...)
	if len(seeds) == 0 || now.Before(m.seedDue) && !m.alone() {
		return "", false
	}
	m.seedDue = now.Add(seedInterval)
	if !relay {
		m.seedDue = now.Add(otherSeedInterval/2 + rand.N(otherSeedInterval))
	}
	m.seedNext++
	return seeds[m.seedNext%len(seeds)], true
}

// ownContacts are the other relays of the own failure domain. A relay asks
// each for the domain's VMs, another node asks one for what it needs if
// something changed.
func (m *Module) ownContacts(relays []membership.Entry, relay, urgent bool) []contact {
	var contacts []contact
	for i, r := range relays {
		if r.VM == m.self.VM {
			continue
		}
		c := contact{vm: r.VM, domain: r.FailureDomain, address: r.MeshAddress}
		c.request = report{Cursor: m.cursors[r.VM]}
		slow := m.rounds%slowRounds == 0
		switch {
		case relay && slow:
			c.request.Domain = m.self.FailureDomain
		case !relay && i == m.primary%len(relays):
			if !urgent && !m.askDue(r.VM) {
				continue
			}
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

// askDue reports whether a relay is to be asked for changes. The caller holds
// m.mu.
func (m *Module) askDue(relay string) bool {
	heard := m.clock.Since(m.table.HeardAt(relay))
	return m.behind || m.rounds%fullRounds == 0 || heard > slowRounds*m.Interval.Std()
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
			request: report{Cursor: m.cursors[r.VM], Domain: domain},
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
	answer, err := m.exchangeReport(ctx, &c, false)
	if err == nil && answer.Unknown {
		answer, err = m.exchangeReport(ctx, &c, true)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if err != nil {
		m.log.WithError(err).WithField("address", c.address).Debug("membership report failed")
		m.unanswered(c)
		return
	}
	m.take(c, answer)
	m.publish()
}

// exchangeReport sends a report; whole says that the other node does not know
// this node's entry.
func (m *Module) exchangeReport(ctx context.Context, c *contact, whole bool) (*reportAnswer, error) {
	m.mu.Lock()
	entry := m.self
	c.request.Version, c.request.Held = entry.Version, entry.ConfigRevision
	c.request.Entry = nil
	if whole || c.vm == "" || m.told[c.vm] != entry.Version {
		c.request.Entry = &entry
	}
	c.request.KnownRelays = membership.Sum(m.relaysOf(m.self.FailureDomain, c.request.AllRelays))
	m.mu.Unlock()
	answer := &reportAnswer{}
	err := m.mesh.Exchange(ctx, mesh.Peer{VM: c.vm, Address: c.address}, mesh.KindMembers, c.request, answer)
	if err == nil && !answer.Unknown {
		m.mu.Lock()
		m.told[answer.VM] = entry.Version
		m.mu.Unlock()
	}
	return answer, err
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
	m.learn(relay, answer, now)
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
		m.behind = false
	}
	for _, name := range c.request.Services {
		m.complete(name)
	}
}

// learn takes in the records of an answer. The caller holds m.mu.
func (m *Module) learn(relay bool, answer *reportAnswer, now time.Time) {
	for _, record := range answer.Records {
		m.table.Learn(record, m.trusts(relay, answer, record.Entry), now)
	}
}

// complete notes that all VMs of a service are known.
func (m *Module) complete(service string) {
	s := m.services[service]
	if s == nil || s.done {
		return
	}
	s.done = true
	m.whole = maps.Clone(m.whole)
	m.whole[service] = true
	m.publish()
	close(s.answered)
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
	if r.Entry != nil && (r.Entry.VM != from.VM || r.Entry.Incarnation != from.Incarnation) {
		return reportAnswer{}, errors.Errorf("%s reported as %s", from.VM, r.Entry.VM)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.clock.Now()
	if r.Entry != nil {
		m.table.Hear(*r.Entry, now)
	} else if !m.table.HearAgain(from.VM, from.Incarnation, r.Version, r.Held, now) {
		return reportAnswer{VM: m.self.VM, Domain: m.self.FailureDomain, Unknown: true}, nil
	}
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
	answer.Records = m.table.Changes(after, func(record membership.Record) bool { return r.wants(record, from.FailureDomain) })
	answer.Relays = m.relaysFor(r, from.FailureDomain)
	return answer, nil
}

// wants reports whether a change is of use to the node of the failure domain
// that reports.
func (r *report) wants(record membership.Record, domain string) bool {
	e := record.Entry
	switch {
	case r.Domain != "":
		return e.FailureDomain == r.Domain
	case record.Removed && e.FailureDomain == domain:
		return true
	}
	return slices.Contains(r.Services, e.Service)
}

// relaysFor returns the relays that the reporting node of the failure domain
// should know and does not.
func (m *Module) relaysFor(r report, domain string) []membership.Entry {
	relays := m.relaysOf(domain, r.AllRelays)
	if membership.Sum(relays) == r.KnownRelays {
		return nil
	}
	return relays
}

// relaysOf returns the relays of a failure domain, or of all. The caller holds
// m.mu and does not change the slice.
func (m *Module) relaysOf(domain string, all bool) []membership.Entry {
	if !all {
		return m.table.Relays(domain)
	}
	var relays []membership.Entry
	for _, name := range m.table.Domains() {
		relays = append(relays, m.table.Relays(name)...)
	}
	return relays
}
