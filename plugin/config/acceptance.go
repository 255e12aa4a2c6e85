package config

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/mangomast/mangomast/config"
	"github.com/mangomast/mangomast/kernel"
	"github.com/mangomast/mangomast/membership"
	"github.com/mangomast/mangomast/revision"
	"github.com/mangomast/mangomast/store"
)

const (
	// witnessInterval is the mean time between two checks of the witness table.
	witnessInterval = 1 * time.Second
	// attestationTTL is how long attestations are retained.
	attestationTTL = time.Minute
	// reportTTL is how long the report of this node's failure domain is cached.
	reportTTL = 100 * time.Millisecond
	// minDecideInterval is the minimum time between two decisions of a relay
	// that are triggered by answers.
	minDecideInterval = 25 * time.Millisecond
)

// domainReport is a relay's summary of the revisions applied in its failure
// domain.
type domainReport struct {
	Domain string `cbor:"1,keyasint"`
	// Held is the lowest revision applied on a live VM.
	Held int64 `cbor:"2,keyasint"`
	// Missing is true if a VM was removed so recently that it may still serve.
	Missing bool `cbor:"3,keyasint,omitempty"`

	// requestedAt is when the query that the report answers was sent. The report
	// may be up to reportTTL older, because the answering relay caches it.
	requestedAt time.Time
}

// report returns a report of this node's failure domain that is at most
// reportTTL old; nil if this node is not a relay.
func (m *Module) report() *domainReport {
	m.mu.Lock()
	report, at := m.cachedReport, m.cachedReportAt
	m.mu.Unlock()
	if m.clock.Since(at) < reportTTL {
		return report
	}
	report = m.newReport()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.cachedReport, m.cachedReportAt = report, m.clock.Now()
	return report
}

func (m *Module) newReport() *domainReport {
	if _, rank := m.members.Position(); rank < 0 {
		return nil
	}
	held, missing := m.members.Held(m.clock.Now().Add(-m.Bound.Std()))
	return &domainReport{Domain: m.members.Self().FailureDomain, Held: held, Missing: missing}
}

// decideAfterAnswer calls decide after an answer, at most once per
// minDecideInterval because answers arrive in bursts. An answer that is skipped
// is covered by the next call from readStore.
func (m *Module) decideAfterAnswer() {
	m.mu.Lock()
	recent := m.clock.Since(m.decidedAt) < minDecideInterval
	m.mu.Unlock()
	if !recent {
		m.decide()
	}
}

// decide renews the proof by the witnesses and accepts revisions. Nodes that are
// not relays receive both from their relays.
func (m *Module) decide() {
	own := m.report()
	if own == nil {
		m.mu.Lock()
		m.accepted.Store(m.acceptance.Accepted())
		m.mu.Unlock()
		return
	}
	self, relays := m.members.Self(), m.members.OtherRelays()
	ended := m.endedWitnesses()
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.clock.Now()
	m.decidedAt = now
	m.attestations.Forget(now.Add(-attestationTTL))
	m.attestations.Record(self.VM, self.Incarnation, m.held(), now)
	tableAccepted := m.tableAccepted()
	if at, ok := m.attestations.Proof(m.witnesses, tableAccepted, m.held()); ok {
		m.freshness.ProveByQuorum(at)
		m.publishProof()
	}
	evidence := revision.Evidence{
		Acknowledged: func(r int64) bool { return m.attestations.Acknowledged(m.witnesses, tableAccepted, r, ended) },
		Everyone:     func(r int64) bool { return m.allMembersHold(r, own, relays, now) },
	}
	m.accepted.Store(m.acceptance.Decide(evidence, now))
}

// endedWitnesses returns a function that reports whether a witness is known to
// have ended, because a later incarnation listens on its address. The witnesses
// are looked up only while a revision is pending, since the function is not
// called otherwise.
func (m *Module) endedWitnesses() func(revision.Witness) bool {
	m.mu.Lock()
	table, hasPending := m.witnesses, m.acceptance.HasPending()
	m.mu.Unlock()
	ended := map[revision.Witness]bool{}
	if !hasPending {
		return func(revision.Witness) bool { return false }
	}
	for _, w := range table.All() {
		ended[w] = m.members.Replaced(w.VM, w.Incarnation, w.MeshAddress)
	}
	return func(w revision.Witness) bool { return ended[w] }
}

// tableAccepted reports whether the witness table's own revision was accepted.
// The caller holds m.mu.
func (m *Module) tableAccepted() bool {
	return m.state.Value(revision.WitnessName).Revision <= m.acceptance.Accepted()
}

// allMembersHold reports whether every VM of every failure domain, including
// the failure domains listed in the document, holds the revision. The caller
// holds m.mu.
func (m *Module) allMembersHold(wanted int64, own *domainReport, relays map[string][]membership.Entry, now time.Time) bool {
	if own.Held < wanted || own.Missing {
		return false
	}
	for domain := range relays {
		if !m.domainHolds(domain, wanted, now) {
			return false
		}
	}
	snapshot := m.current.Load()
	if snapshot == nil {
		return true
	}
	for _, domain := range snapshot.Document.Domains {
		if domain.ID != own.Domain && !m.domainHolds(domain.ID, wanted, now) {
			return false
		}
	}
	return true
}

// domainHolds reports whether another failure domain's last report is recent and
// states that every VM of the domain holds the revision. The caller holds m.mu.
func (m *Module) domainHolds(domain string, wanted int64, now time.Time) bool {
	report, ok := m.reports[domain]
	recent := ok && now.Sub(report.requestedAt) <= m.Bound.Std()
	return recent && report.Held >= wanted && !report.Missing
}

// chooseWitnesses keeps the table's witnesses of this node's failure domain up
// to date if this node is the domain's first relay.
func (m *Module) chooseWitnesses(ctx context.Context) error {
	for {
		if err := m.writeWitnesses(ctx); err != nil && ctx.Err() == nil {
			m.log.WithError(err).Debug("writing the witness table failed")
		}
		if err := kernel.Sleep(ctx, m.clock, witnessInterval/2+rand.N(witnessInterval)); err != nil {
			return err
		}
	}
}

// writeWitnesses writes the table if this node is the first relay of its failure
// domain, the table must change, its last change has been accepted, and the
// store was read within the freshness bound. If the outcome of the write is
// unknown, the next read of the store resolves it.
func (m *Module) writeWitnesses(ctx context.Context) error {
	relays, rank := m.members.Position()
	members, _ := m.members.OwnDomain(time.Time{})
	if rank != 0 || m.WithoutWitnesses {
		return nil
	}
	m.mu.Lock()
	fresh := m.clock.Since(m.freshness.LastStoreProof()) < m.Bound.Std()
	known, tableAccepted := m.state.Value(revision.WitnessName).Revision, m.tableAccepted()
	table, changed := m.desiredWitnesses(relays, members)
	m.mu.Unlock()
	if !fresh || !tableAccepted || !changed {
		return nil
	}
	data, err := json.Marshal(table)
	if err != nil {
		return errors.Wrap(err, "encode witness table")
	}
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	key := m.prefix + revision.WitnessName
	_, err = m.store.Commit(ctx, store.Txn{
		Compares: []store.Compare{{Key: key, Revision: known}},
		Puts:     []store.Put{{Key: key, Value: data}},
	})
	return err
}

// desiredWitnesses returns the table without failure domains that are not in the
// document, and with the relays of this node's failure domain as its witnesses
// if the listed ones differ in number from the relays or are no longer valid. It
// returns false if nothing would change. The caller holds m.mu.
func (m *Module) desiredWitnesses(relays, members []membership.Entry) (*revision.WitnessTable, bool) {
	snapshot := m.current.Load()
	if snapshot == nil {
		return nil, false
	}
	own := m.members.Self().FailureDomain
	domains := snapshot.Document.Domains
	listed := m.witnesses.Domain(own)
	index := slices.IndexFunc(domains, func(d config.FailureDomain) bool { return d.ID == own })
	wanted := listed
	if index < 0 {
		wanted = nil
	} else if weight := domains[index].Weight; len(listed) != len(relays) || !witnessesValid(listed, members, revision.WitnessWeight(weight, len(relays))) {
		wanted = nil
		for _, r := range relays {
			wanted = append(wanted, revision.Witness{
				FailureDomain: own, VM: r.VM, Incarnation: r.Incarnation, MeshAddress: r.MeshAddress,
				Weight: revision.WitnessWeight(weight, len(relays)),
			})
		}
	}
	return m.witnesses.Replace(own, wanted, func(domain string) bool {
		return slices.ContainsFunc(domains, func(d config.FailureDomain) bool { return d.ID == domain })
	})
}

// witnessesValid reports whether every witness is a live member with the same
// incarnation and has the given weight.
func witnessesValid(witnesses []revision.Witness, members []membership.Entry, weight int) bool {
	for _, w := range witnesses {
		alive := slices.ContainsFunc(members, func(e membership.Entry) bool {
			return e.VM == w.VM && e.Incarnation == w.Incarnation
		})
		if !alive || w.Weight != weight {
			return false
		}
	}
	return true
}
