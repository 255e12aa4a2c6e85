// Package config keeps the node's configuration up to date and provides
// config.Source and config.Freshness to the other modules.
//
// Only relays read the store; the other nodes take the stream from the relays
// of their failure domain. All of them ask for what is new in short intervals,
// and each answer carries the age of its proof of freshness.
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
	// boundIntervals is the least number of intervals in the bound.
	boundIntervals = 3
	// historyLength is the number of states that deltas are made from.
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
	// Interval is the time between two questions for what is new.
	Interval jsonc.Duration `json:"interval"`
	// Bound is the age up to which a proof of freshness counts.
	Bound jsonc.Duration `json:"freshness_bound"`
	// IgnoreFreshness serves callers under any configuration, however old.
	// It is for experiments only.
	IgnoreFreshness bool `json:"ignore_freshness"`
	// WithoutWitnesses names no witnesses, so that only the store proves
	// freshness. It is for experiments only.
	WithoutWitnesses bool `json:"without_witnesses"`

	store   store.Store
	members *membershipplugin.Module
	mesh    *mesh.Mesh
	// prefix starts the stream's keys in the store, sections the document's.
	prefix   string
	sections string
	clock    clockwork.Clock
	log      log.Interface

	current  atomic.Pointer[config.Snapshot]
	provenAt atomic.Pointer[time.Time]
	accepted atomic.Int64

	mu         sync.Mutex
	state      *revision.State
	history    []*revision.State
	assembler  *config.Assembler
	freshness  revision.Freshness
	acceptance *revision.Acceptance
	attested   *revision.Attestations
	witnesses  *revision.WitnessTable
	// reports are what the other failure domains' relays said of their VMs.
	reports map[string]domainReport
	// reported is the own failure domain's report, renewed after reportLife.
	reported   *domainReport
	reportedAt time.Time
	// decidedAt is when this node, as a relay, last decided.
	decidedAt time.Time
	// asking holds the addresses with a question outstanding.
	asking map[string]bool
	// firstSilent is true if the first relay of the own failure domain did not
	// answer the last question.
	firstSilent bool
	// failures rotates through the relays of a failure domain.
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
	if m.Bound.Std() < boundIntervals*m.Interval.Std() {
		findings.Addf(prefix+"/freshness_bound", "must be at least %d intervals", boundIntervals)
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
	m.clock, m.log = ctx.Clock, ctx.Log
	m.acceptance = revision.NewAcceptance(m.Bound.Std())
	m.attested = revision.NewAttestations()
	m.witnesses = &revision.WitnessTable{}
	m.reports = map[string]domainReport{}
	m.asking = map[string]bool{}
	m.failures = map[string]int{}
	m.registerMetrics(ctx.Registry)
	m.mesh.Handle(mesh.KindRevision, mesh.Typed(m.serveQuestion))
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

// Lapsed returns the highest revision of the stream for which all proofs of an
// earlier one have run out, as far as this node knows.
func (m *Module) Lapsed() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.acceptance.Lapsed()
}

// ProofBound is how long a proof of freshness counts for an organisation.
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

// adopt takes in a later state; an earlier one is ignored. The caller holds
// m.mu.
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
	before := longestCutOff(m.current.Load())
	if snapshot := m.compile(state); snapshot != nil {
		m.current.Store(snapshot)
	}
	m.acceptance.Track(state.Revision, max(before, longestCutOff(m.current.Load())))
	m.members.SetConfigRevision(state.Revision)
	m.log.WithField("revision", state.Revision).Info("configuration is in force on this node")
}

// compile returns the snapshot of a state. Parts that are invalid are kept as
// they were.
func (m *Module) compile(state *revision.State) *config.Snapshot {
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

// assemble puts the document of a state together. The caller holds m.mu.
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

// longestCutOff is the longest time that any organisation may be served
// without freshness.
func longestCutOff(snapshot *config.Snapshot) time.Duration {
	var longest time.Duration
	if snapshot != nil {
		for i := range snapshot.Document.Organisations {
			longest = max(longest, snapshot.Document.Organisations[i].ServeWhenCutOff.Std())
		}
	}
	return longest
}

// follow asks for what is new in intervals.
func (m *Module) follow(ctx context.Context) error {
	ask := func(ctx context.Context) {
		m.askAll(ctx)
		m.decide()
	}
	ask(ctx)
	return kernel.Every(ctx, m.clock, m.Interval.Std(), ask)
}
