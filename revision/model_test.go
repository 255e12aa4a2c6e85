package revision

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// modelNode is a node of the model. A restart clears all its state.
type modelNode struct {
	vm, domain   string
	incarnation  uint64
	held         int64
	freshness    Freshness
	acceptance   *Acceptance
	attestations *Attestations
}

// model is a model of a fleet with a store. Witness tables are indexed by
// revision, because they are part of the stream.
type model struct {
	t               *rapid.T
	now             time.Time
	latest          int64
	tables          map[int64]*WitnessTable
	nodes           []*modelNode
	highestAccepted int64
}

func newModel(t *rapid.T) *model {
	m := &model{t: t, now: start, tables: map[int64]*WitnessTable{0: {}}}
	for d := range rapid.IntRange(2, 3).Draw(t, "domains") {
		for v := range rapid.IntRange(1, 2).Draw(t, "vms") {
			m.nodes = append(m.nodes, &modelNode{vm: fmt.Sprintf("vm-%d-%d", d, v), domain: fmt.Sprint("d", d)})
		}
	}
	// All nodes start at revision 1, and every VM is a witness.
	m.latest, m.highestAccepted = 1, 1
	m.tables[1] = &WitnessTable{}
	for _, n := range m.nodes {
		n.restart()
		n.adopt(1)
		n.acceptance.MergeAccepted(1)
		m.tables[1].Current = append(m.tables[1].Current, Witness{FailureDomain: n.domain, VM: n.vm, Incarnation: 1, Weight: 2})
	}
	return m
}

func (n *modelNode) restart() {
	n.incarnation++
	n.held, n.freshness = 0, Freshness{}
	n.acceptance, n.attestations = NewAcceptance(DefaultBound), NewAttestations()
}

func (n *modelNode) adopt(revision int64) {
	if revision > n.held {
		n.held = revision
		n.acceptance.Track(revision, 0)
	}
}

func (m *model) node(label string) *modelNode {
	return m.nodes[rapid.IntRange(0, len(m.nodes)-1).Draw(m.t, label)]
}

// table returns the witness table at a revision and the table's own revision.
func (m *model) table(revision int64) (*WitnessTable, int64) {
	for ; revision > 0; revision-- {
		if table, ok := m.tables[revision]; ok {
			return table, revision
		}
	}
	return m.tables[0], 0
}

func (m *model) tableAccepted(n *modelNode) bool {
	_, at := m.table(n.held)
	return at <= n.acceptance.Accepted()
}

// read models the first source of a proof: the node reads the store.
func (m *model) read(*rapid.T) {
	n := m.node("reader")
	n.adopt(m.latest)
	n.freshness.ProveByStore(m.now)
}

// ask models the second source of a proof: the node receives another node's
// stream, proofs and attestations.
func (m *model) ask(*rapid.T) {
	n, peer := m.node("asking"), m.node("asked")
	sentAt := m.now
	store, quorum, held, accepted := peer.freshness.LastStoreProof(), peer.freshness.LastQuorumProof(), peer.held, peer.acceptance.Accepted()
	table, _ := m.table(peer.held)
	forwarded := peer.attestations.Attested(table, func(Witness) bool { return true }, m.now)
	// The answer may be delayed.
	m.advance(rapid.Int64Range(0, 600).Draw(m.t, "delay"))
	n.attestations.Record(peer.vm, peer.incarnation, held, sentAt)
	n.attestations.MergeForwarded(forwarded, sentAt)
	n.acceptance.MergeAccepted(accepted)
	n.adopt(held)
	if n.held >= held {
		n.freshness.ProveByStore(store)
		n.freshness.ProveByQuorum(quorum)
	}
}

// attest models the third source of a proof: the node collects attestations
// and forms a quorum.
func (m *model) attest(t *rapid.T) {
	n := m.node("proving")
	m.collectAttestations(t, n)
	table, _ := m.table(n.held)
	if at, ok := n.attestations.Proof(table, m.tableAccepted(n), n.held); ok {
		n.freshness.ProveByQuorum(at)
	}
}

// collectAttestations records the revisions held by a random subset of the
// nodes, without using the store.
func (m *model) collectAttestations(t *rapid.T, n *modelNode) {
	reached := rapid.Uint16().Draw(t, "reached")
	for i, peer := range m.nodes {
		if peer == n || reached&(1<<i) != 0 {
			n.attestations.Record(peer.vm, peer.incarnation, peer.held, m.now)
		}
	}
}

// ended reports whether a witness incarnation has ended by a restart.
func (m *model) ended(w Witness) bool {
	return slices.ContainsFunc(m.nodes, func(n *modelNode) bool { return n.vm == w.VM && n.incarnation > w.Incarnation })
}

func (m *model) decide(t *rapid.T) {
	n := m.node("deciding")
	m.collectAttestations(t, n)
	table, _ := m.table(n.held)
	tableAccepted := m.tableAccepted(n)
	n.acceptance.Decide(Evidence{
		Acknowledged: func(r int64) bool { return n.attestations.Acknowledged(table, tableAccepted, r, m.ended) },
		Everyone: func(r int64) bool {
			for _, other := range m.nodes {
				if other.held < r {
					return false
				}
			}
			return true
		},
	}, m.now)
	m.highestAccepted = max(m.highestAccepted, n.acceptance.Accepted())
}

// write commits a change of the document, which a random node reads immediately.
func (m *model) write(t *rapid.T) {
	m.latest++
	m.read(t)
}

// replaceWitnesses commits a change of the witnesses of one failure domain, or
// removes the domain from the table.
func (m *model) replaceWitnesses(t *rapid.T) {
	n := m.node("writing")
	table, at := m.table(n.held)
	current, latest := m.table(m.latest)
	if table != current || at != latest || !m.tableAccepted(n) {
		return
	}
	weight := rapid.IntRange(0, 2).Draw(t, "weight")
	var witnesses []Witness
	for _, other := range m.nodes {
		if other.domain == n.domain && weight > 0 && len(witnesses) < 3 {
			witnesses = append(witnesses, Witness{FailureDomain: n.domain, VM: other.vm, Incarnation: other.incarnation, Weight: weight})
		}
	}
	if next, changed := table.Replace(n.domain, witnesses, func(string) bool { return true }); changed {
		m.latest++
		m.tables[m.latest] = next
		m.read(t)
	}
}

func (m *model) restart(*rapid.T) { m.node("restarting").restart() }

func (m *model) advance(millis int64) { m.now = m.now.Add(time.Duration(millis) * time.Millisecond) }

// checkInvariant checks the safety property: no node is fresh at a revision
// earlier than one that has been accepted.
func (m *model) checkInvariant(t *rapid.T) {
	for _, n := range m.nodes {
		age, ok := n.freshness.Age(m.now)
		if ok && age <= DefaultBound && n.held < m.highestAccepted {
			t.Fatalf("%s is fresh at revision %d (proof aged %s) after %d was accepted", n.vm, n.held, age, m.highestAccepted)
		}
	}
}

var start = time.Unix(1000, 0)

func TestNoNodeIsFreshBelowAnAcceptedRevision(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		t.Repeat(map[string]func(*rapid.T){
			"read": m.read, "ask": m.ask, "ask again": m.ask, "attest": m.attest, "decide": m.decide,
			"write": m.write, "rewrite witnesses": m.replaceWitnesses, "restart": m.restart,
			"time": func(t *rapid.T) { m.advance(rapid.Int64Range(0, 2000).Draw(t, "millis")) },
			"":     m.checkInvariant,
		})
	})
}

func witnesses(names ...string) []Witness {
	var set []Witness
	for _, name := range names {
		set = append(set, Witness{FailureDomain: name[:1], VM: name, Incarnation: 1, Weight: 2})
	}
	return set
}

// attestAll records an attestation of the revision by each VM at the time.
func attestAll(a *Attestations, revision int64, at time.Time, vms ...string) {
	for _, vm := range vms {
		a.Record(vm, 1, revision, at)
	}
}

func TestQuorumWithRelaysOfOneDomainAtDifferentRevisions(t *testing.T) {
	table := &WitnessTable{Current: witnesses("a1", "a2", "a3", "b1", "b2", "b3", "c1", "c2", "c3")}
	a := NewAttestations()
	attestAll(a, 8, start, "a1", "b1", "b2", "b3", "c1")
	attestAll(a, 7, start, "a2", "a3", "c2", "c3")
	assert.Assert(t, a.Acknowledged(table, true, 8, noneEnded))
	_, ok := a.Proof(table, true, 7)
	assert.Assert(t, !ok)
}

func TestChangeOfWitnessesNeedsBothMajorities(t *testing.T) {
	table := &WitnessTable{Previous: witnesses("a1", "b1", "c1"), Current: witnesses("c1", "d1", "e1")}
	a := NewAttestations()
	attestAll(a, 9, start, "c1", "d1", "e1")
	assert.Assert(t, !a.Acknowledged(table, false, 9, noneEnded))
	attestAll(a, 9, start, "a1")
	assert.Assert(t, a.Acknowledged(table, false, 9, noneEnded))
}

// noneEnded reports that no witness has ended.
func noneEnded(Witness) bool { return false }

// TestRestartsDuringWitnessChangeDoNotBlockAcceptance guards against a stall:
// a second witness restarts before the table that replaces the first one is
// accepted, so half of the previous witnesses can no longer acknowledge.
func TestRestartsDuringWitnessChangeDoNotBlockAcceptance(t *testing.T) {
	table := &WitnessTable{Previous: witnesses("a1", "b1", "c1", "d1"), Current: witnesses("a2", "b1", "c1", "d1")}
	a := NewAttestations()
	attestAll(a, 9, start, "a2", "c1", "d1")
	assert.Assert(t, !a.Acknowledged(table, false, 9, noneEnded))
	restarted := func(w Witness) bool { return w.VM == "a1" || w.VM == "b1" }
	assert.Assert(t, a.Acknowledged(table, false, 9, restarted))
}

func TestProofIsAsOldAsItsOldestAttestation(t *testing.T) {
	table := &WitnessTable{Current: witnesses("a1", "b1", "c1")}
	a := NewAttestations()
	attestAll(a, 7, start, "a1")
	attestAll(a, 7, start.Add(time.Minute), "b1")
	at, ok := a.Proof(table, true, 7)
	assert.Assert(t, ok)
	assert.Equal(t, at, start)
}

// TestForwardedAttestationKeepsItsAge covers a relay that forwards attestations
// which it received before it was frozen: they must not count as recent.
func TestForwardedAttestationKeepsItsAge(t *testing.T) {
	table := &WitnessTable{Current: witnesses("a1", "b1", "c1"), Previous: witnesses("b1", "b2")}
	relay, other := NewAttestations(), NewAttestations()
	attestAll(relay, 7, start, "b1", "b2")
	attestAll(other, 8, start.Add(time.Second), "b2")
	sentAt := start.Add(time.Minute)
	forwarded := relay.Attested(table, func(w Witness) bool { return w.FailureDomain == "b" }, sentAt.Add(time.Second))
	assert.Equal(t, len(forwarded), 2)
	other.MergeForwarded(forwarded, sentAt)
	assert.Equal(t, other.latestOf(Witness{VM: "b1", Incarnation: 1}).at, start.Add(-time.Second))
	assert.Equal(t, other.latestOf(Witness{VM: "b2", Incarnation: 1}).revision, int64(8))
	assert.Assert(t, !other.AttestedSince(Witness{VM: "b1", Incarnation: 1}, start))
	other.MergeForwarded([]Attested{{VM: "c1", Incarnation: 1, Revision: 7, Age: -time.Hour}}, sentAt)
	assert.Assert(t, !other.AttestedSince(Witness{VM: "c1", Incarnation: 1}, sentAt.Add(1)), "a negative age must not extend an attestation's validity")
}

func TestRestartedWitnessDoesNotCount(t *testing.T) {
	table := &WitnessTable{Current: witnesses("a1", "b1", "c1")}
	a := NewAttestations()
	attestAll(a, 7, start, "a1")
	a.Record("b1", 2, 7, start)
	_, ok := a.Proof(table, true, 7)
	assert.Assert(t, !ok)
}

func TestAcceptanceWaitsForProofOfJoiningMember(t *testing.T) {
	acceptance := NewAcceptance(DefaultBound)
	acceptance.Track(8, 0)
	majorityOnly := Evidence{
		Acknowledged: func(int64) bool { return true },
		Everyone:     func(int64) bool { return false },
	}
	// The member received its proof of revision 7 from a relay just before.
	var joined Freshness
	joined.ProveByStore(start)
	assert.Equal(t, acceptance.Decide(majorityOnly, start), int64(0))
	assert.Equal(t, acceptance.Decide(majorityOnly, start.Add(DefaultBound)), int64(0))
	now := start.Add(DefaultBound + 1)
	assert.Equal(t, acceptance.Decide(majorityOnly, now), int64(8))
	age, _ := joined.Age(now)
	assert.Assert(t, age > DefaultBound)
}

func TestMaxProofAgeDelaysAcceptance(t *testing.T) {
	acceptance := NewAcceptance(DefaultBound)
	acceptance.Track(8, time.Minute)
	acceptance.Track(9, 0)
	majorityOnly := Evidence{Acknowledged: func(int64) bool { return true }, Everyone: func(int64) bool { return false }}
	acceptance.Decide(majorityOnly, start)
	assert.Equal(t, acceptance.Decide(majorityOnly, start.Add(time.Minute)), int64(0))
	assert.Equal(t, acceptance.Decide(majorityOnly, start.Add(time.Minute+1)), int64(9))
}
