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

// slowReportRounds is the number of rounds between two reports of a node to the
// relays that it does not query for changes, and between two reports of a relay
// to other relays.
const slowReportRounds = 2

// unlistedExpiries is the time, in multiples of Module.Expiry, after which a VM
// is removed that a relay of its failure domain does not list.
const unlistedExpiries = 2

// maxRoundsWithoutQuery is the number of rounds after which a node queries its
// relay for changes even if the relay has not indicated any.
const maxRoundsWithoutQuery = 8

// report is a node's heartbeat to another node, combined with a query for
// membership changes.
type report struct {
	// Entry is omitted if this version was sent to the other node before.
	Entry *membership.Entry `cbor:"1,keyasint,omitempty"`
	// Cursor is the position after which changes are requested.
	Cursor cursor `cbor:"2,keyasint"`
	// Domain requests every VM of a failure domain, Services the VMs of the
	// listed services, and AllRelays the relays of all failure domains.
	Domain    string   `cbor:"3,keyasint,omitempty"`
	Services  []string `cbor:"4,keyasint,omitempty"`
	AllRelays bool     `cbor:"5,keyasint,omitempty"`
	// Quiet requests nothing: the report is only a heartbeat.
	Quiet bool `cbor:"6,keyasint,omitempty"`
	// Version and Held are the entry's version and configuration revision, for
	// a report without the entry.
	Version uint64 `cbor:"7,keyasint,omitempty"`
	Held    int64  `cbor:"8,keyasint,omitempty"`
	// KnownRelays is membership.VersionHash of the relays that the node knows in
	// its failure domain, or in all failure domains with AllRelays.
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
	// Relays is omitted if the reporting node knows the same relays.
	Relays []membership.Entry `cbor:"6,keyasint,omitempty"`
	// Unknown is true if the report has no entry and the answering node does
	// not know the entry either. The report must be resent with it.
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
	isRelay := membership.Rank(relays, m.self.VM) >= 0
	if isRelay != m.wasRelay {
		m.wasRelay, m.cursors = isRelay, map[string]cursor{}
	}
	urgent := m.selfChanged
	m.selfChanged = false
	contacts := m.ownContacts(relays, isRelay, urgent)
	if isRelay && m.rounds%slowReportRounds == 0 {
		contacts = append(contacts, m.domainContacts()...)
	}
	if seed, due := m.nextSeed(isRelay); due {
		contacts = append(contacts, contact{address: seed, request: report{AllRelays: true}})
	}
	return slices.DeleteFunc(contacts, func(c contact) bool { return c.address == m.self.MeshAddress })
}

// nextSeed returns the seed to report to, if one is due: in each round if this
// node is isolated, otherwise at intervals. The caller holds m.mu.
func (m *Module) nextSeed(isRelay bool) (address string, due bool) {
	now := m.clock.Now()
	seeds := append(slices.Clone(m.seeds), m.storeSeeds...)
	if len(seeds) == 0 || now.Before(m.seedDue) && !m.isolated() {
		return "", false
	}
	m.seedDue = now.Add(seedInterval)
	if !isRelay {
		m.seedDue = now.Add(otherSeedInterval/2 + rand.N(otherSeedInterval))
	}
	m.seedNext++
	return seeds[m.seedNext%len(seeds)], true
}

// ownContacts returns the reports to the other relays of this node's failure
// domain. A relay queries each of them for the domain's VMs; another node
// queries its primary relay for its services if a query is due.
func (m *Module) ownContacts(relays []membership.Entry, isRelay, urgent bool) []contact {
	var contacts []contact
	for i, r := range relays {
		if r.VM == m.self.VM {
			continue
		}
		c := contact{vm: r.VM, domain: r.FailureDomain, address: r.MeshAddress}
		c.request = report{Cursor: m.cursors[r.VM]}
		slow := m.rounds%slowReportRounds == 0
		switch {
		case isRelay && slow:
			c.request.Domain = m.self.FailureDomain
		case !isRelay && i == m.primaryRelay%len(relays):
			if !urgent && !m.queryDue(r.VM) {
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

// queryDue reports whether a query for changes to the relay is due. The caller
// holds m.mu.
func (m *Module) queryDue(relay string) bool {
	sinceContact := m.clock.Since(m.table.LastSeen(relay))
	return m.relayHasChanges || m.rounds%maxRoundsWithoutQuery == 0 || sinceContact > slowReportRounds*m.Interval.Std()
}

func (m *Module) subscribed() []string {
	names := make([]string, 0, len(m.services))
	for name := range m.services {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// domainContacts returns the reports to one relay of each other failure domain.
func (m *Module) domainContacts() []contact {
	var contacts []contact
	for domain, relays := range m.otherRelays() {
		state := m.domain(domain)
		r := relays[state.nextRelay%len(relays)]
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
		state = &domainState{seen: m.clock.Now(), nextRelay: RelayOffset(m.self.VM)}
		m.domains[name] = state
	}
	return state
}

// contact sends one report and processes the answer.
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
		m.rotateRelay(c)
		return
	}
	m.handleAnswer(c, answer)
	m.publish()
}

// exchangeReport sends a report and returns the answer. withEntry includes this
// node's entry even if its version was sent before.
func (m *Module) exchangeReport(ctx context.Context, c *contact, withEntry bool) (*reportAnswer, error) {
	m.mu.Lock()
	entry := m.self
	c.request.Version, c.request.Held = entry.Version, entry.ConfigRevision
	c.request.Entry = nil
	if withEntry || c.vm == "" || m.sentVersions[c.vm] != entry.Version {
		c.request.Entry = &entry
	}
	c.request.KnownRelays = membership.VersionHash(m.relaysOf(m.self.FailureDomain, c.request.AllRelays))
	m.mu.Unlock()
	answer := &reportAnswer{}
	err := m.mesh.Exchange(ctx, mesh.Peer{VM: c.vm, Address: c.address}, mesh.KindMembers, c.request, answer)
	if err == nil && !answer.Unknown {
		m.mu.Lock()
		m.sentVersions[answer.VM] = entry.Version
		m.mu.Unlock()
	}
	return answer, err
}

// rotateRelay selects the next relay of the failure domain for queries, after
// the contacted one did not answer or answered that it is not a relay. The
// caller holds m.mu.
func (m *Module) rotateRelay(c contact) {
	switch {
	case c.vm == "":
	case c.domain != m.self.FailureDomain:
		m.domain(c.domain).nextRelay++
	case !c.request.Quiet:
		m.primaryRelay++
	}
}

// handleAnswer processes the answer to a report. The answer's cursor is valid
// only for the query that was sent, so it is discarded if this node would send
// a different query by now. The caller holds m.mu.
func (m *Module) handleAnswer(c contact, answer *reportAnswer) {
	now := m.clock.Now()
	own := answer.Domain == m.self.FailureDomain
	isRelay := membership.Rank(m.ownRelays(), m.self.VM) >= 0
	for _, entry := range answer.Relays {
		answer.Records = append(answer.Records, membership.Record{Entry: entry})
	}
	m.mergeRecords(isRelay, answer, now)
	m.table.RecordContact(answer.VM, now)
	if !answer.Relay {
		if c.vm != "" {
			m.rotateRelay(c)
		}
		return
	}
	if !own {
		m.domain(answer.Domain).seen = now
		if c.request.Domain == answer.Domain && c.request.Cursor.Incarnation != answer.Cursor.Incarnation {
			m.table.MarkUnlisted(answer.Domain, answer.VM, answer.Records, now)
		}
		m.table.RecordDomainContact(answer.Domain, answer.VM, now.Add(-unlistedExpiries*m.Expiry.Std()), now)
	}
	if c.request.Quiet || c.vm == "" {
		return
	}
	if !own || m.sameQuery(isRelay, &c.request) {
		m.cursors[answer.VM] = answer.Cursor
		m.relayHasChanges = false
	}
	for _, name := range c.request.Services {
		m.markComplete(name)
	}
}

// mergeRecords merges the records of an answer into the table. The caller holds
// m.mu.
func (m *Module) mergeRecords(isRelay bool, answer *reportAnswer, now time.Time) {
	for _, record := range answer.Records {
		m.table.Merge(record, m.isAuthority(isRelay, answer, record.Entry), now)
	}
}

// markComplete records that all VMs of a service are known and unblocks the
// lookups that wait for it.
func (m *Module) markComplete(service string) {
	s := m.services[service]
	if s == nil || s.done {
		return
	}
	s.done = true
	m.completeServices = maps.Clone(m.completeServices)
	m.completeServices[service] = true
	m.publish()
	close(s.answered)
}

// sameQuery reports whether the report queries the relays of this node's failure
// domain for the same data as this node would now, in its present role.
func (m *Module) sameQuery(isRelay bool, r *report) bool {
	if isRelay {
		return r.Domain != ""
	}
	return r.Domain == "" && slices.Equal(r.Services, m.subscribed())
}

// isAuthority reports whether the answering node is authoritative on whether
// the entry's VM is alive. A relay decides for itself about its own failure
// domain and trusts the relays of other domains about theirs; other nodes trust
// the relays of their own domain.
func (m *Module) isAuthority(isRelay bool, answer *reportAnswer, entry membership.Entry) bool {
	own := answer.Domain == m.self.FailureDomain
	if !isRelay {
		return answer.Relay && own
	}
	return answer.Relay && !own && entry.FailureDomain == answer.Domain
}

// serveReport handles another node's report.
func (m *Module) serveReport(_ context.Context, from mesh.Identity, r report) (reportAnswer, error) {
	if r.Entry != nil && (r.Entry.VM != from.VM || r.Entry.Incarnation != from.Incarnation) {
		return reportAnswer{}, errors.Errorf("%s reported as %s", from.VM, r.Entry.VM)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.clock.Now()
	if r.Entry != nil {
		m.table.Observe(*r.Entry, now)
	} else if !m.table.Heartbeat(from.VM, from.Incarnation, r.Version, r.Held, now) {
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
	answer.Records = m.table.Changes(after, func(record membership.Record) bool { return r.matches(record, from.FailureDomain) })
	answer.Relays = m.relaysUnknownTo(r, from.FailureDomain)
	return answer, nil
}

// matches reports whether a change is to be sent in answer to the report of a
// node of the failure domain.
func (r *report) matches(record membership.Record, domain string) bool {
	e := record.Entry
	switch {
	case r.Domain != "":
		return e.FailureDomain == r.Domain
	case record.Removed && e.FailureDomain == domain:
		return true
	}
	return slices.Contains(r.Services, e.Service)
}

// relaysUnknownTo returns the relays that the report requests, or nil if the
// reporting node of the failure domain already knows them. The caller holds
// m.mu.
func (m *Module) relaysUnknownTo(r report, domain string) []membership.Entry {
	relays := m.relaysOf(domain, r.AllRelays)
	if membership.VersionHash(relays) == r.KnownRelays {
		return nil
	}
	return relays
}

// relaysOf returns the relays of a failure domain, or of all. The caller holds
// m.mu and must not modify the slice.
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
