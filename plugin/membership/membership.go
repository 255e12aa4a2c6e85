// Package membership spreads the nodes' entries and provides
// membership.Source and membership.Announcer to the other modules.
package membership

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/jonboulle/clockwork"

	"github.com/mangomast/mangomast/finding"
	"github.com/mangomast/mangomast/jsonc"
	"github.com/mangomast/mangomast/kernel"
	"github.com/mangomast/mangomast/membership"
	"github.com/mangomast/mangomast/mesh"
	meshplugin "github.com/mangomast/mangomast/plugin/mesh"
)

// ID is the module's ID.
const ID kernel.ID = "membership"

const (
	defaultInterval = 500 * time.Millisecond
	defaultExpiry   = 3 * time.Second
	exchangeTimeout = 1 * time.Second
	minInterval     = 50 * time.Millisecond
)

func init() {
	kernel.Register(kernel.ModuleInfo{
		ID:    ID,
		Needs: []kernel.ID{meshplugin.ID},
		New: func() kernel.Module {
			return &Module{Interval: jsonc.Duration(defaultInterval), Expiry: jsonc.Duration(defaultExpiry)}
		},
	})
}

// Module exchanges entries with other nodes.
type Module struct {
	// Interval is the time between two exchanges.
	Interval jsonc.Duration `json:"interval"`
	// Expiry is how long a VM may go unheard before it is taken for gone.
	Expiry jsonc.Duration `json:"expiry"`

	mesh  *mesh.Mesh
	clock clockwork.Clock
	log   log.Interface
	seeds []string

	mu    sync.Mutex
	self  membership.Entry
	table *membership.Table
	view  atomic.Pointer[membership.View]
	// urgent wakes the exchange at once.
	urgent chan struct{}
}

var (
	_ kernel.Module        = (*Module)(nil)
	_ kernel.Validator     = (*Module)(nil)
	_ kernel.ActorSource   = (*Module)(nil)
	_ membership.Source    = (*Module)(nil)
	_ membership.Announcer = (*Module)(nil)
)

// Validate implements kernel.Validator.
func (m *Module) Validate(prefix string, findings *finding.List) {
	if m.Interval.Std() < minInterval {
		findings.Addf(prefix+"/interval", "must be at least %s", minInterval)
	}
	if m.Expiry.Std() < 2*m.Interval.Std() {
		findings.Addf(prefix+"/expiry", "must be at least twice the interval")
	}
}

// Provision implements kernel.Module.
func (m *Module) Provision(ctx *kernel.Context) error {
	fabric, err := kernel.Require[*mesh.Mesh](ctx)
	if err != nil {
		return err
	}
	m.mesh, m.clock, m.log = fabric, ctx.Clock, ctx.Log
	m.seeds = ctx.Node.Seeds
	m.table = membership.NewTable(m.Expiry.Std())
	m.urgent = make(chan struct{}, 1)
	m.self = membership.Entry{
		VM: ctx.Node.VM, Incarnation: ctx.Incarnation, Version: 1,
		FailureDomain: ctx.Node.FailureDomain, Region: ctx.Node.Region,
		MeshAddress:   ctx.Node.Advertise.Mesh,
		CallerAddress: ctx.Node.Advertise.Callers,
		AdminAddress:  ctx.Node.Advertise.Admin,
	}
	m.publish()
	fabric.Handle(mesh.KindMembers, mesh.Typed(m.serveExchange))
	kernel.Provide[membership.Source](ctx, m)
	kernel.Provide[membership.Announcer](ctx, m)
	return nil
}

// View implements membership.Source.
func (m *Module) View() *membership.View { return m.view.Load() }

// Self implements membership.Source.
func (m *Module) Self() membership.Entry {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.self
}

// Announce implements membership.Announcer.
func (m *Module) Announce(change func(*membership.Entry)) {
	m.mu.Lock()
	change(&m.self)
	m.mu.Unlock()
	m.publish()
	select {
	case m.urgent <- struct{}{}:
	default:
	}
}

// publish renews this node's entry and makes a new view.
func (m *Module) publish() {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.clock.Now()
	m.self.Version++
	m.table.Merge([]membership.Entry{m.self}, now)
	m.table.Expire(now)
	m.view.Store(membership.NewView(m.table.Entries()))
}

// Actors implements kernel.ActorSource.
func (m *Module) Actors() []kernel.Actor {
	return []kernel.Actor{{Name: "exchange", Run: m.run}}
}

func (m *Module) run(ctx context.Context) error {
	ticker := m.clock.NewTicker(m.Interval.Std())
	defer ticker.Stop()
	for {
		m.publish()
		m.exchangeAll(ctx)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.Chan():
		case <-m.urgent:
		}
	}
}

// exchangeAll sends the table to a few other nodes and takes in theirs.
func (m *Module) exchangeAll(ctx context.Context) {
	const fanout = 3
	targets := m.targets()
	rand.Shuffle(len(targets), func(i, j int) { targets[i], targets[j] = targets[j], targets[i] })
	if len(targets) > fanout {
		targets = targets[:fanout]
	}
	var group sync.WaitGroup
	for _, address := range targets {
		group.Go(func() { m.exchange(ctx, address) })
	}
	group.Wait()
}

func (m *Module) targets() []string {
	own := m.Self().MeshAddress
	seen := map[string]bool{own: true}
	var targets []string
	add := func(address string) {
		if !seen[address] {
			seen[address] = true
			targets = append(targets, address)
		}
	}
	for _, entry := range m.View().All() {
		add(entry.MeshAddress)
	}
	for _, seed := range m.seeds {
		add(seed)
	}
	return targets
}

type exchangeMessage struct {
	Entries []membership.Entry `cbor:"1,keyasint"`
}

func (m *Module) exchange(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	var answer exchangeMessage
	request := exchangeMessage{Entries: m.View().All()}
	err := m.mesh.Exchange(ctx, mesh.Peer{Address: address}, mesh.KindMembers, request, &answer)
	if err != nil {
		m.log.WithError(err).WithField("address", address).Debug("membership exchange failed")
		return
	}
	m.merge(answer.Entries)
}

func (m *Module) serveExchange(_ context.Context, _ mesh.Identity, request exchangeMessage) (exchangeMessage, error) {
	m.merge(request.Entries)
	return exchangeMessage{Entries: m.View().All()}, nil
}

func (m *Module) merge(entries []membership.Entry) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.table.Merge(entries, m.clock.Now()) {
		m.view.Store(membership.NewView(m.table.Entries()))
	}
}
