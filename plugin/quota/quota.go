// Package quota spends a token of the organisation's rate and burst for each request
// that the ingress admits. It runs package quota over the mesh: the holders on this
// node request shares from the organisations' owners, and the owners on this node
// answer the holders of all nodes.
package quota

import (
	"context"
	"time"

	"github.com/apex/log"
	"github.com/jonboulle/clockwork"

	"github.com/mangomast/mangomast/call"
	"github.com/mangomast/mangomast/config"
	"github.com/mangomast/mangomast/finding"
	"github.com/mangomast/mangomast/jsonc"
	"github.com/mangomast/mangomast/kernel"
	"github.com/mangomast/mangomast/membership"
	"github.com/mangomast/mangomast/mesh"
	configplugin "github.com/mangomast/mangomast/plugin/config"
	membershipplugin "github.com/mangomast/mangomast/plugin/membership"
	meshplugin "github.com/mangomast/mangomast/plugin/mesh"
	storeplugin "github.com/mangomast/mangomast/plugin/store"
	"github.com/mangomast/mangomast/quota"
	"github.com/mangomast/mangomast/store"
)

// ID is the module's ID.
const ID kernel.ID = "quota"

// Values of Module.Mode.
const (
	// ModeFleet counts each organisation's rate over all VMs together.
	ModeFleet = "fleet"
	// ModeLocal gives each VM the whole rate. It is a baseline for measurements.
	ModeLocal = "local"
	// ModeOff admits everything.
	ModeOff = "off"
)

const (
	defaultMaxWait = 300 * time.Millisecond
	// tickInterval is the time between two checks of this node's shares, termInterval
	// between two checks of the owners on this node.
	tickInterval = 20 * time.Millisecond
	termInterval = 100 * time.Millisecond
	// releaseTimeout bounds how long a shutdown waits until this node's shares are
	// returned, drainTimeout until its owners have handed over as well.
	releaseTimeout = time.Second
	drainTimeout   = 3 * time.Second
)

func init() {
	kernel.Register(kernel.ModuleInfo{
		ID:    ID,
		Needs: []kernel.ID{meshplugin.ID, membershipplugin.ID, configplugin.ID, storeplugin.ID},
		New: func() kernel.Module {
			return &Module{Mode: ModeFleet, MaxWait: jsonc.Duration(defaultMaxWait)}
		},
	})
}

// Admitter admits requests within their organisation's limit. It is safe for
// concurrent use.
type Admitter interface {
	// Admit spends a token of the organisation, or returns a refusal. While the
	// owner is asked it blocks, for the module's MaxWait at most.
	Admit(ctx context.Context, organisation string) *call.Reply
}

// Module implements Admitter.
type Module struct {
	// Mode is "fleet", or "local" or "off" for measurements.
	Mode string `json:"mode"`
	// MaxWait bounds how long a request waits for its owner's answer before it
	// is refused.
	MaxWait jsonc.Duration `json:"max_wait"`

	clock     clockwork.Clock
	log       log.Interface
	config    config.Source
	freshness *configplugin.Module
	members   membership.Source
	mesh      *mesh.Mesh
	metrics   *metrics
	holders   *holders
	owners    *owners
	writer    *tableWriter
}

var (
	_ kernel.Module      = (*Module)(nil)
	_ kernel.Validator   = (*Module)(nil)
	_ kernel.ActorSource = (*Module)(nil)
	_ kernel.Drainer     = (*Module)(nil)
	_ Admitter           = (*Module)(nil)
)

// Validate implements kernel.Validator.
func (m *Module) Validate(prefix string, findings *finding.List) {
	switch m.Mode {
	case ModeFleet, ModeLocal, ModeOff:
	default:
		findings.Addf(prefix+"/mode", "must be %q, %q or %q", ModeFleet, ModeLocal, ModeOff)
	}
	if m.MaxWait < 0 {
		findings.Addf(prefix+"/max_wait", "must not be negative")
	}
}

// Provision implements kernel.Module.
func (m *Module) Provision(ctx *kernel.Context) error {
	if err := kernel.Resolve(ctx, &m.mesh, &m.config, &m.freshness, &m.members); err != nil {
		return err
	}
	relays, err := kernel.Require[*membershipplugin.Module](ctx)
	if err != nil {
		return err
	}
	platform, err := kernel.Require[store.Store](ctx)
	if err != nil {
		return err
	}
	m.clock, m.log = ctx.LeaseClock, ctx.Log
	m.metrics = newMetrics(ctx.Registry)
	m.holders = &holders{Module: m, byOrganisation: map[string]*nodeShare{}, created: make(chan struct{}, 1)}
	m.owners = &owners{Module: m, byOrganisation: map[string]*quota.Owner{}, holderInfos: map[quota.HolderID]holderInfo{}, handovers: map[string]quota.HandoverState{}, selected: map[string]peerSelection{}}
	m.writer = newTableWriter(m, platform, relays, ctx.Node.Store.Prefix+config.OwnersKey)
	m.mesh.Handle(mesh.KindQuota, mesh.Typed(m.owners.serveAsk))
	m.mesh.Handle(mesh.KindQuotaHandover, mesh.Typed(m.owners.serveHandover))
	arbiter := &arbiterServer{Module: m, arbiter: quota.NewArbiter()}
	m.mesh.Handle(mesh.KindQuotaExtend, mesh.Typed(arbiter.serveExtend))
	m.mesh.Handle(mesh.KindQuotaClose, mesh.Typed(arbiter.serveClose))
	m.mesh.Handle(mesh.KindQuotaLoan, mesh.Typed(m.holders.serveLoan))
	m.mesh.Handle(mesh.KindQuotaRecall, mesh.Typed(m.holders.serveRecall))
	kernel.Provide[Admitter](ctx, m)
	return nil
}

// Actors implements kernel.ActorSource.
func (m *Module) Actors() []kernel.Actor {
	return []kernel.Actor{
		{Name: "renew shares", Run: m.holders.run},
		{Name: "run owners", Run: m.owners.run},
		{Name: "update the owner table", Run: m.writer.run},
	}
}

// Drain implements kernel.Drainer. It returns this node's shares and waits until
// other nodes own the organisations that this one did.
func (m *Module) Drain(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, drainTimeout)
	defer cancel()
	m.holders.release(ctx)
	m.owners.awaitHandOver(ctx)
	return nil
}

// Admit implements Admitter.
func (m *Module) Admit(ctx context.Context, organisation string) *call.Reply {
	if m.Mode == ModeOff {
		return nil
	}
	refusal := m.holders.admit(ctx, organisation)
	if refusal != nil {
		m.metrics.refused.WithLabelValues(m.metrics.label(organisation)).Inc()
		return refusal
	}
	m.metrics.admitted.WithLabelValues(m.metrics.label(organisation)).Inc()
	return nil
}

// limitOf returns an organisation's limit in the snapshot.
func limitOf(snapshot *config.Snapshot, organisation string) (quota.Limit, bool) {
	if snapshot == nil {
		return quota.Limit{}, false
	}
	org := snapshot.Organisation(organisation)
	if org == nil {
		return quota.Limit{}, false
	}
	return quota.Limit{Rate: org.Rate, Burst: org.Burst}, true
}
