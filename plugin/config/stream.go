package config

import (
	"context"
	"time"

	"github.com/mangomast/mangomast/membership"
	"github.com/mangomast/mangomast/mesh"
	membershipplugin "github.com/mangomast/mangomast/plugin/membership"
	"github.com/mangomast/mangomast/revision"
)

// queryTimeout bounds one query and its answer.
const queryTimeout = 600 * time.Millisecond

// query requests the changes in the stream from a node.
type query struct {
	// Held is the revision that the querying node holds.
	Held int64 `cbor:"1,keyasint"`
	// Full requests the whole stream, after a delta that could not be applied.
	Full bool `cbor:"2,keyasint,omitempty"`
	// Witnesses requests the attestations of the witnesses in the answering
	// node's failure domain.
	Witnesses bool `cbor:"3,keyasint,omitempty"`
}

// answer is the response to a query. It attests the revision held; the
// attestation is dated to when the query was sent.
type answer struct {
	VM          string `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"`
	Held        int64  `cbor:"3,keyasint"`
	Accepted    int64  `cbor:"4,keyasint,omitempty"`
	// StoreAge and QuorumAge are the ages of the answering node's proofs.
	StoreAge  *time.Duration `cbor:"5,keyasint,omitempty"`
	QuorumAge *time.Duration `cbor:"6,keyasint,omitempty"`
	// Delta is the change from the querying node's revision to Held.
	Delta *revision.Delta `cbor:"7,keyasint,omitempty"`
	// Report is set by relays.
	Report *domainReport `cbor:"8,keyasint,omitempty"`
	// ExpiredBefore is the highest revision for which all proofs of earlier
	// revisions have expired.
	ExpiredBefore int64 `cbor:"9,keyasint,omitempty"`
	// Members is the sequence number of the last membership change that the
	// answering node knows.
	Members uint64 `cbor:"10,keyasint,omitempty"`
	// Attested holds the attestations of the witnesses in the answering node's
	// failure domain.
	Attested []revision.Attested `cbor:"11,keyasint,omitempty"`
}

// target is a node to query.
type target struct {
	entry membership.Entry
	// group is the failure domain whose relays are interchangeable for this
	// query; empty for queries to one specific node.
	group string
	// firstRelay is true for the first relay of this node's failure domain.
	firstRelay bool
	// witnesses is true if the attestations of the witnesses in the node's
	// failure domain are requested.
	witnesses bool
}

// queryAll queries every target that has no query in flight.
func (m *Module) queryAll(ctx context.Context) {
	for _, t := range m.targets() {
		if !m.markInFlight(t.entry.MeshAddress) {
			continue
		}
		go func() {
			m.queryTarget(ctx, t)
			m.decideAfterAnswer()
		}()
	}
}

// markInFlight records a query to the address; it returns false if there is one
// in flight already.
func (m *Module) markInFlight(address string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.inFlight[address] {
		return false
	}
	m.inFlight[address] = true
	return true
}

// targets returns the nodes to query. A node that is not a relay queries one
// relay. A relay queries the first relay of its failure domain, which reads the
// store. If wideQueryNeeded returns true, it instead queries all relays of its
// failure domain, one relay of each other failure domain, and the witnesses
// whose attestations these do not forward.
func (m *Module) targets() []target {
	relays, rank := m.members.Position()
	self := m.members.Self()
	others := m.members.OtherRelays()
	m.mu.Lock()
	defer m.mu.Unlock()
	if rank < 0 {
		return []target{m.chooseRelay(self.FailureDomain, relays)}
	}
	if rank == 0 {
		m.firstRelayFailed = false
	}
	chosen := map[string]target{}
	if m.wideQueryNeeded() {
		chosen = m.allTargets(relays, others)
	} else {
		chosen[relays[0].VM] = target{entry: relays[0], firstRelay: true}
	}
	delete(chosen, self.VM)
	targets := make([]target, 0, len(chosen))
	for _, t := range chosen {
		targets = append(targets, t)
	}
	return targets
}

// allTargets returns every node whose answer may contribute to a proof or to the
// acceptance of a revision, by VM.
func (m *Module) allTargets(relays []membership.Entry, others map[string][]membership.Entry) map[string]target {
	chosen := map[string]target{}
	for i, r := range relays {
		chosen[r.VM] = target{entry: r, firstRelay: i == 0}
	}
	for domain, relays := range others {
		t := m.chooseRelay(domain, relays)
		t.witnesses = true
		chosen[t.entry.VM] = t
	}
	view := m.members.View()
	for _, vm := range m.witnesses.Names(m.witnessQueryDue) {
		t, ok := chosen[vm]
		if entry, known := view.Get(vm); known && !ok {
			t.entry = entry
			chosen[vm] = t
		}
	}
	return chosen
}

// witnessQueryDue reports whether a witness is to be queried directly. This
// applies to witnesses of this node's failure domain, whose attestations it
// forwards, and to others without a recent attestation. The caller holds m.mu.
func (m *Module) witnessQueryDue(w revision.Witness) bool {
	since := m.clock.Now().Add(-minBoundIntervals * m.Interval.Std())
	return w.FailureDomain == m.members.Self().FailureDomain || !m.attestations.AttestedSince(w, since)
}

// chooseRelay returns one of the relays of a failure domain, and the next one
// after each failed query.
func (m *Module) chooseRelay(domain string, relays []membership.Entry) target {
	start := membershipplugin.RelayOffset(m.mesh.Self().VM)
	return target{entry: relays[(start+m.failures[domain])%len(relays)], group: domain}
}

// wideQueryNeeded reports whether a revision is pending, the first relay did not
// answer, or there was no recent read of the store. The caller holds m.mu.
func (m *Module) wideQueryNeeded() bool {
	return m.firstRelayFailed || m.acceptance.HasPending() || m.clock.Since(m.freshness.LastStoreProof()) > m.Bound.Std()/minBoundIntervals
}

// queryTarget sends one query and processes the answer. If the answer's delta
// cannot be applied, it requests the whole stream.
func (m *Module) queryTarget(ctx context.Context, t target) {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	m.mu.Lock()
	q := query{Held: m.held(), Witnesses: t.witnesses}
	m.mu.Unlock()
	a, sentAt, err := m.exchange(ctx, t, q)
	m.mu.Lock()
	if err == nil && !m.handleAnswer(a, sentAt) {
		m.mu.Unlock()
		a, sentAt, err = m.exchange(ctx, t, query{Full: true})
		m.mu.Lock()
		if err == nil {
			m.handleAnswer(a, sentAt)
		}
	}
	defer m.mu.Unlock()
	delete(m.inFlight, t.entry.MeshAddress)
	if t.firstRelay {
		m.firstRelayFailed = err != nil
	}
	if err != nil {
		m.failures[t.group]++
		m.log.WithError(err).WithField("member", t.entry.VM).Debug("configuration query failed")
	}
}

func (m *Module) exchange(ctx context.Context, t target, q query) (answer, time.Time, error) {
	var a answer
	sentAt := m.clock.Now()
	peer := mesh.Peer{VM: t.entry.VM, Address: t.entry.MeshAddress}
	err := m.mesh.Exchange(ctx, peer, mesh.KindRevision, q, &a)
	return a, sentAt, err
}

// handleAnswer processes an answer. Ages are subtracted from the time at which
// the query was sent, which is before they were measured, so a proof can only
// appear older than it is. It returns false if the delta cannot be applied. The
// caller holds m.mu.
func (m *Module) handleAnswer(a answer, sentAt time.Time) bool {
	m.attestations.Record(a.VM, a.Incarnation, a.Held, sentAt)
	m.attestations.MergeForwarded(a.Attested, sentAt)
	m.acceptance.MergeAccepted(a.Accepted)
	m.acceptance.MergeExpiredBefore(a.ExpiredBefore)
	if a.Report != nil {
		a.Report.requestedAt = sentAt
		m.reports[a.Report.Domain] = *a.Report
	}
	if a.Held > m.held() {
		if a.Delta == nil {
			return false
		}
		state, err := revision.Apply(m.state, a.Delta)
		if err != nil {
			m.log.WithError(err).Debug("applying a delta failed; requesting the whole configuration")
			return false
		}
		m.adopt(state)
	}
	if a.StoreAge != nil {
		m.freshness.ProveByStore(sentAt.Add(-*a.StoreAge))
	}
	if a.QuorumAge != nil {
		m.freshness.ProveByQuorum(sentAt.Add(-*a.QuorumAge))
	}
	m.members.HandleChangeSequence(a.VM, a.Incarnation, a.Members)
	m.publishProof()
	return true
}

// publishProof stores the time of the latest proof in provenAt, which is read
// without m.mu. The caller holds m.mu.
func (m *Module) publishProof() {
	if at := m.freshness.LastProof(); !at.IsZero() {
		m.provenAt.Store(&at)
	}
}

// serveQuery handles another node's query, which also serves as a heartbeat.
func (m *Module) serveQuery(_ context.Context, from mesh.Identity, q query) (answer, error) {
	if !q.Full {
		m.members.Heartbeat(from, q.Held)
	}
	self := m.members.Self()
	report := m.report()
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.clock.Now()
	a := answer{
		VM: self.VM, Incarnation: self.Incarnation, Held: m.held(), Accepted: m.acceptance.Accepted(),
		StoreAge: ageOf(m.freshness.LastStoreProof(), now), QuorumAge: ageOf(m.freshness.LastQuorumProof(), now),
		Report: report, ExpiredBefore: m.acceptance.ExpiredBefore(), Members: m.members.ChangeSequence(),
	}
	if q.Witnesses {
		a.Attested = m.attestations.Attested(m.witnesses, func(w revision.Witness) bool { return w.FailureDomain == self.FailureDomain }, now)
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

// delta returns the change from the querying node's state to this node's state.
// It consists of changed sections if the querying node's state is in the
// history, and of whole changed values otherwise. The caller holds m.mu.
func (m *Module) delta(q query) *revision.Delta {
	if q.Full {
		return revision.Diff(nil, m.state)
	}
	for _, state := range m.history {
		if state.Revision == q.Held {
			return revision.Diff(state, m.state)
		}
	}
	return revision.DeltaSince(m.state, q.Held)
}
