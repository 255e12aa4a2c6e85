package config

import (
	"context"
	"time"

	"github.com/mangomast/mangomast/membership"
	"github.com/mangomast/mangomast/mesh"
	membershipplugin "github.com/mangomast/mangomast/plugin/membership"
	"github.com/mangomast/mangomast/revision"
)

// askTimeout bounds one question and its answer.
const askTimeout = 600 * time.Millisecond

// question asks a node for what is new in the stream.
type question struct {
	// Held is the revision that the asking node holds.
	Held int64 `cbor:"1,keyasint"`
	// Whole asks for the whole stream, after a delta that did not fit.
	Whole bool `cbor:"2,keyasint,omitempty"`
	// Witnesses asks for what the witnesses of the answering node's failure
	// domain said.
	Witnesses bool `cbor:"3,keyasint,omitempty"`
}

// answer says what a node holds. It attests the revision, as of the question.
type answer struct {
	VM          string `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"`
	Held        int64  `cbor:"3,keyasint"`
	Accepted    int64  `cbor:"4,keyasint,omitempty"`
	// StoreAge and QuorumAge are the ages of the answering node's proofs.
	StoreAge  *time.Duration `cbor:"5,keyasint,omitempty"`
	QuorumAge *time.Duration `cbor:"6,keyasint,omitempty"`
	// Delta leads from what the asking node holds to Held.
	Delta *revision.Delta `cbor:"7,keyasint,omitempty"`
	// Report is set by relays.
	Report *domainReport `cbor:"8,keyasint,omitempty"`
	// Lapsed is the revision of which all earlier proofs have run out.
	Lapsed int64 `cbor:"9,keyasint,omitempty"`
	// Members marks the changes of members that the answering node knows.
	Members uint64 `cbor:"10,keyasint,omitempty"`
	// Said is what the witnesses of the answering node's failure domain said.
	Said []revision.Said `cbor:"11,keyasint,omitempty"`
}

// target is a node to ask.
type target struct {
	entry membership.Entry
	// group names the relays that stand in for each other.
	group string
	// first is true for the first relay of the own failure domain.
	first bool
	// witnesses is true if the node is asked what its domain's witnesses said.
	witnesses bool
}

// askAll asks every target that has answered the last question.
func (m *Module) askAll(ctx context.Context) {
	for _, t := range m.targets() {
		if !m.begin(t.entry.MeshAddress) {
			continue
		}
		go func() {
			m.ask(ctx, t)
			m.decideAfterAnswer()
		}()
	}
}

func (m *Module) begin(address string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.asking[address] {
		return false
	}
	m.asking[address] = true
	return true
}

// targets returns the nodes to ask. A node that is no relay asks one relay. A
// relay asks the first relay of its failure domain, which reads the store; as
// long as a revision waits for acceptance or the store was not read lately, it
// asks the other relays, one of each other domain, and the witnesses of which
// these pass no word on.
func (m *Module) targets() []target {
	relays, rank := m.members.Position()
	self := m.members.Self()
	others := m.members.OtherRelays()
	m.mu.Lock()
	defer m.mu.Unlock()
	if rank < 0 {
		return []target{m.pick(self.FailureDomain, relays)}
	}
	if rank == 0 {
		m.firstSilent = false
	}
	chosen := map[string]target{}
	if m.unsettled() {
		chosen = m.widely(relays, others)
	} else {
		chosen[relays[0].VM] = target{entry: relays[0], first: true}
	}
	delete(chosen, self.VM)
	targets := make([]target, 0, len(chosen))
	for _, t := range chosen {
		targets = append(targets, t)
	}
	return targets
}

// widely chooses every node whose answer may count.
func (m *Module) widely(relays []membership.Entry, others map[string][]membership.Entry) map[string]target {
	chosen := map[string]target{}
	for i, r := range relays {
		chosen[r.VM] = target{entry: r, first: i == 0}
	}
	for domain, relays := range others {
		t := m.pick(domain, relays)
		t.witnesses = true
		chosen[t.entry.VM] = t
	}
	view := m.members.View()
	for _, vm := range m.witnesses.Names(m.askWitness) {
		t, ok := chosen[vm]
		if entry, known := view.Get(vm); known && !ok {
			t.entry = entry
			chosen[vm] = t
		}
	}
	return chosen
}

// askWitness reports whether a witness is to be asked itself: those of the own
// failure domain, whose word this node passes on, and others whose word was
// not passed on lately. The caller holds m.mu.
func (m *Module) askWitness(w revision.Witness) bool {
	lately := m.clock.Now().Add(-boundIntervals * m.Interval.Std())
	return w.FailureDomain == m.members.Self().FailureDomain || !m.attested.HeardSince(w, lately)
}

// pick chooses one of the relays of a failure domain, another one after each
// failure.
func (m *Module) pick(domain string, relays []membership.Entry) target {
	start := membershipplugin.Spread(m.mesh.Self().VM)
	return target{entry: relays[(start+m.failures[domain])%len(relays)], group: domain}
}

// unsettled reports whether a revision waits for acceptance, the first relay
// does not answer, or the store was not read lately. The caller holds m.mu.
func (m *Module) unsettled() bool {
	return m.firstSilent || m.acceptance.Waiting() || m.clock.Since(m.freshness.Store()) > m.Bound.Std()/boundIntervals
}

// ask sends one question and takes in the answer.
func (m *Module) ask(ctx context.Context, t target) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	m.mu.Lock()
	q := question{Held: m.held(), Witnesses: t.witnesses}
	m.mu.Unlock()
	a, asked, err := m.exchange(ctx, t, q)
	m.mu.Lock()
	if err == nil && !m.take(a, asked) {
		m.mu.Unlock()
		a, asked, err = m.exchange(ctx, t, question{Whole: true})
		m.mu.Lock()
		if err == nil {
			m.take(a, asked)
		}
	}
	defer m.mu.Unlock()
	delete(m.asking, t.entry.MeshAddress)
	if t.first {
		m.firstSilent = err != nil
	}
	if err != nil {
		m.failures[t.group]++
		m.log.WithError(err).WithField("member", t.entry.VM).Debug("question about the configuration was not answered")
	}
}

func (m *Module) exchange(ctx context.Context, t target, q question) (answer, time.Time, error) {
	var a answer
	asked := m.clock.Now()
	peer := mesh.Peer{VM: t.entry.VM, Address: t.entry.MeshAddress}
	err := m.mesh.Exchange(ctx, peer, mesh.KindRevision, q, &a)
	return a, asked, err
}

// take takes in an answer. Ages count from when the question was asked, which
// is before they were measured. It returns false if the delta does not fit.
// The caller holds m.mu.
func (m *Module) take(a answer, asked time.Time) bool {
	m.attested.Note(a.VM, a.Incarnation, a.Held, asked)
	m.attested.Pass(a.Said, asked)
	m.acceptance.Learn(a.Accepted)
	m.acceptance.LearnLapsed(a.Lapsed)
	if a.Report != nil {
		a.Report.taken = asked
		m.reports[a.Report.Domain] = *a.Report
	}
	if a.Held > m.held() {
		if a.Delta == nil {
			return false
		}
		state, err := revision.Apply(m.state, a.Delta)
		if err != nil {
			m.log.WithError(err).Debug("asking for the whole configuration")
			return false
		}
		m.adopt(state)
	}
	if a.StoreAge != nil {
		m.freshness.ProveByStore(asked.Add(-*a.StoreAge))
	}
	if a.QuorumAge != nil {
		m.freshness.ProveByQuorum(asked.Add(-*a.QuorumAge))
	}
	m.members.TakeMark(a.VM, a.Incarnation, a.Members)
	m.publishProof()
	return true
}

// publishProof makes the latest proof visible to requests. The caller holds
// m.mu.
func (m *Module) publishProof() {
	if at := m.freshness.At(); !at.IsZero() {
		m.provenAt.Store(&at)
	}
}

// serveQuestion answers another node's question, which is a heartbeat too.
func (m *Module) serveQuestion(_ context.Context, from mesh.Identity, q question) (answer, error) {
	if !q.Whole {
		m.members.HearAgain(from, q.Held)
	}
	self := m.members.Self()
	report := m.report()
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.clock.Now()
	a := answer{
		VM: self.VM, Incarnation: self.Incarnation, Held: m.held(), Accepted: m.acceptance.Accepted(),
		StoreAge: ageOf(m.freshness.Store(), now), QuorumAge: ageOf(m.freshness.Quorum(), now),
		Report: report, Lapsed: m.acceptance.Lapsed(), Members: m.members.Mark(),
	}
	if q.Witnesses {
		a.Said = m.attested.Said(m.witnesses, func(w revision.Witness) bool { return w.FailureDomain == self.FailureDomain }, now)
	}
	if a.Held > q.Held {
		a.Delta = m.delta(q)
	}
	return a, nil
}

func ageOf(at, now time.Time) *time.Duration {
	if at.IsZero() {
		return nil
	}
	age := now.Sub(at)
	return &age
}

// delta leads from what the asking node holds to what this node holds: the
// lines that changed if this node remembers the asking node's state, or else
// the values that changed. The caller holds m.mu.
func (m *Module) delta(q question) *revision.Delta {
	if q.Whole {
		return revision.Diff(nil, m.state)
	}
	for _, state := range m.history {
		if state.Revision == q.Held {
			return revision.Diff(state, m.state)
		}
	}
	return revision.Since(m.state, q.Held)
}
