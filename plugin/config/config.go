// Package config keeps the node's configuration up to date and provides
// config.Source and config.Freshness to the other modules.
//
// Only relays read the store; the other nodes receive the stream from the
// relays of their failure domain. All nodes poll at short intervals, and each
// answer carries the age of its proofs of freshness.
package config

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/jonboulle/clockwork"

	"github.com/mangomast/mangomast/config"
	"github.com/mangomast/mangomast/finding"
	"github.com/mangomast/mangomast/jsonc"
	"github.com/mangomast/mangomast/kernel"
	"github.com/mangomast/mangomast/mesh"
	membershipplugin "github.com/mangomast/mangomast/plugin/membership"
	storeplugin "github.com/mangomast/mangomast/plugin/store"
	"github.com/mangomast/mangomast/revision"
	"github.com/mangomast/mangomast/store"
)

// ID is the module's ID.
const ID kernel.ID = "config"

const (
	defaultInterval = 500 * time.Millisecond
	minInterval     = 50 * time.Millisecond
	// minBoundIntervals is the minimum of Bound in multiples of Interval.
	minBoundIntervals = 3
	// historyLength is the number of past states kept as bases for deltas.
	historyLength = 8
)

// Names of the stream's keys after config.StreamPrefix.
const (
	documentName = "document"
	ownersName   = "owners"
)

func init() {
	kernel.Register(kernel.ModuleInfo{
		ID:    ID,
		Needs: []kernel.ID{storeplugin.ID, membershipplugin.ID},
		New: func() kernel.Module {
			return &Module{Interval: jsonc.Duration(defaultInterval), Bound: jsonc.Duration(revision.DefaultBound)}
		},
	})
}

// Module follows the revision stream.
type Module struct {
	// Interval is the time between two polls for changes.
	Interval jsonc.Duration `json:"interval"`
	// Bound is the age up to which a proof of freshness is valid.
	Bound jsonc.Duration `json:"freshness_bound"`
	// IgnoreFreshness serves callers regardless of the configuration's age. It
	// is for experiments only.
	IgnoreFreshness bool `json:"ignore_freshness"`
	// WithoutWitnesses disables witnesses, so that only reads of the store prove
	// freshness. It is for experiments only.
	WithoutWitnesses bool `json:"without_witnesses"`

	store   store.Store
	members *membershipplugin.Module
	mesh    *mesh.Mesh
	// prefix is the prefix of the stream's keys in the store, sections that of
	// the document's sections.
	prefix   string
	sections string
	clock    clockwork.Clock
	log      log.Interface

	current  atomic.Pointer[config.Snapshot]
	provenAt atomic.Pointer[time.Time]
	accepted atomic.Int64

	mu           sync.Mutex
	state        *revision.State
	history      []*revision.State
	assembler    *config.Assembler
	freshness    revision.Freshness
	acceptance   *revision.Acceptance
	attestations *revision.Attestations
	witnesses    *revision.WitnessTable
	// reports holds the last report of each other failure domain.
	reports map[string]domainReport
	// cachedReport is the report of this node's failure domain, renewed after
	// reportTTL.
	cachedReport   *domainReport
	cachedReportAt time.Time
	// decidedAt is when this node, as a relay, last ran decide.
	decidedAt time.Time
	// inFlight is the set of addresses with a query in flight.
	inFlight map[string]bool
	// firstRelayFailed is true if the first relay of this node's failure domain
	// did not answer the last query.
	firstRelayFailed bool
	// failures counts the failed queries by failure domain; the count selects
	// the relay to query.
	failures map[string]int
}

var (
	_ kernel.Module      = (*Module)(nil)
	_ kernel.Validator   = (*Module)(nil)
	_ kernel.ActorSource = (*Module)(nil)
	_ config.Source      = (*Module)(nil)
	_ config.Freshness   = (*Module)(nil)
)

// Validate implements kernel.Validator.
func (m *Module) Validate(prefix string, findings *finding.List) {
	if m.Interval.Std() < minInterval {
		findings.Addf(prefix+"/interval", "must be at least %s", minInterval)
	}
	if m.Bound.Std() < minBoundIntervals*m.Interval.Std() {
		findings.Addf(prefix+"/freshness_bound", "must be at least %d intervals", minBoundIntervals)
	}
}

// Provision implements kernel.Module.
func (m *Module) Provision(ctx *kernel.Context) error {
	if err := kernel.Resolve(ctx, &m.store, &m.members, &m.mesh); err != nil {
		return err
	}
	m.prefix = ctx.Node.Store.Prefix + config.StreamPrefix
	m.sections = ctx.Node.Store.Prefix + config.SectionPrefix
	m.assembler = config.NewAssembler()
	m.clock, m.log = ctx.LeaseClock, ctx.Log
	m.acceptance = revision.NewAcceptance(m.Bound.Std())
	m.attestations = revision.NewAttestations()
	m.witnesses = &revision.WitnessTable{}
	m.reports = map[string]domainReport{}
	m.inFlight = map[string]bool{}
	m.failures = map[string]int{}
	m.registerMetrics(ctx.Registry)
	m.mesh.Handle(mesh.KindRevision, mesh.Typed(m.serveQuery))
	m.mesh.Handle(mesh.KindProgress, mesh.Typed(m.serveProgress))
	kernel.Provide[config.Progress](ctx, m)
	kernel.Provide[config.Source](ctx, m)
	kernel.Provide[config.Freshness](ctx, m)
	kernel.Provide(ctx, m)
	return nil
}

// Snapshot implements config.Source.
func (m *Module) Snapshot() *config.Snapshot { return m.current.Load() }

// Fresh implements config.Source.
func (m *Module) Fresh() bool { return m.provenWithin(m.Bound.Std()) }

// ServesOrganisation implements config.Freshness.
func (m *Module) ServesOrganisation(org *config.Organisation) bool {
	return m.provenWithin(m.ProofBound(org))
}

// ProofAge implements config.Freshness.
func (m *Module) ProofAge() (age time.Duration, ok bool) {
	at := m.provenAt.Load()
	if at == nil {
		return 0, false
	}
	return m.clock.Since(*at), true
}

func (m *Module) provenWithin(bound time.Duration) bool {
	if m.current.Load() == nil {
		return false
	}
	age, ok := m.ProofAge()
	return m.IgnoreFreshness || ok && age <= bound
}

// Accepted implements config.Source.
func (m *Module) Accepted() int64 { return m.accepted.Load() }

// ExpiredBefore returns the highest revision of the stream for which all proofs
// of earlier revisions are known to have expired.
func (m *Module) ExpiredBefore() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.acceptance.ExpiredBefore()
}

// ProofBound returns the age up to which a proof of freshness is valid for an
// organisation.
func (m *Module) ProofBound(org *config.Organisation) time.Duration {
	return max(m.Bound.Std(), org.ServeWhenCutOff.Std())
}

// Actors implements kernel.ActorSource.
func (m *Module) Actors() []kernel.Actor {
	return []kernel.Actor{
		{Name: "follow", Run: m.follow},
		{Name: "read store", Run: m.readStore},
		{Name: "choose witnesses", Run: m.chooseWitnesses},
	}
}

// held returns the revision that this node holds. The caller holds m.mu.
func (m *Module) held() int64 {
	if m.state == nil {
		return 0
	}
	return m.state.Revision
}

// adopt replaces the state if the new one has a later revision, and updates what
// is derived from it. The caller holds m.mu.
func (m *Module) adopt(state *revision.State) {
	if state.Revision <= m.held() {
		return
	}
	m.state = state
	m.history = append(m.history, state)
	m.history = m.history[max(0, len(m.history)-historyLength):]
	if table, err := revision.ParseWitnesses(state.Value(revision.WitnessName).Data); err != nil {
		m.log.WithError(err).Error("witness table is invalid; keeping the last one")
	} else {
		m.witnesses = table
	}
	previousMax := maxServeWhenCutOff(m.current.Load())
	if snapshot := m.buildSnapshot(state); snapshot != nil {
		m.current.Store(snapshot)
	}
	m.acceptance.Track(state.Revision, max(previousMax, maxServeWhenCutOff(m.current.Load())))
	m.members.SetConfigRevision(state.Revision)
	m.log.WithField("revision", state.Revision).Info("configuration is in force on this node")
}

// buildSnapshot returns the snapshot of a state. For invalid parts, it keeps
// those of the current snapshot.
func (m *Module) buildSnapshot(state *revision.State) *config.Snapshot {
	snapshot := m.current.Load()
	value := state.Value(documentName)
	if len(value.Data) > 0 && (snapshot == nil || snapshot.Revision != value.Revision) {
		doc, err := m.assemble(state, value.Data)
		if err != nil {
			m.log.WithError(err).Error("configuration in the store is invalid; keeping the last one")
		} else {
			snapshot = config.NewSnapshot(doc, value.Revision)
		}
	}
	if snapshot == nil {
		return nil
	}
	return snapshot.WithOwners(m.owners(state, snapshot), state.Revision)
}

// assemble returns the document of a state, assembled from its sections. The
// caller holds m.mu.
func (m *Module) assemble(state *revision.State, headData []byte) (*config.Document, error) {
	head, err := config.ParseHead(headData)
	if err != nil {
		return nil, err
	}
	for _, name := range m.assembler.Missing(head) {
		if err := m.assembler.Add(name, state.Value(config.SectionPrefix+name).Data); err != nil {
			return nil, err
		}
	}
	return m.assembler.Document(head)
}

func (m *Module) owners(state *revision.State, snapshot *config.Snapshot) *config.OwnerTable {
	value := state.Value(ownersName)
	if len(value.Data) == 0 || snapshot.Owners.StreamRevision() == value.Revision {
		return snapshot.Owners
	}
	table, err := config.ParseOwners(value.Data, value.Revision)
	if err != nil {
		m.log.WithError(err).Error("owner table in the store is invalid; keeping the last one")
		return snapshot.Owners
	}
	return table
}

// maxServeWhenCutOff returns the longest time for which any organisation may be
// served on a stale proof.
func maxServeWhenCutOff(snapshot *config.Snapshot) time.Duration {
	var longest time.Duration
	if snapshot != nil {
		for i := range snapshot.Document.Organisations {
			longest = max(longest, snapshot.Document.Organisations[i].ServeWhenCutOff.Std())
		}
	}
	return longest
}

// follow polls the relays for changes at each interval.
func (m *Module) follow(ctx context.Context) error {
	poll := func(ctx context.Context) {
		m.queryAll(ctx)
		m.decide()
	}
	poll(ctx)
	return kernel.Every(ctx, m.clock, m.Interval.Std(), poll)
}
