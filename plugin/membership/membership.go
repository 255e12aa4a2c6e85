// Package membership distributes the nodes' entries through relays and
// provides membership.Source, membership.Announcer and membership.Directory to
// the other modules.
//
// Each node reports to the relays of its own failure domain and requests from
// one of them the changes in the services that it calls. A relay also requests
// the changes of each other failure domain from one of its relays, so it knows
// the whole fleet.
package membership

import (
	"context"
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
	storeplugin "github.com/mangomast/mangomast/plugin/store"
	"github.com/mangomast/mangomast/store"
)

// ID is the module's ID.
const ID kernel.ID = "membership"

const (
	defaultInterval = 500 * time.Millisecond
	defaultExpiry   = 3 * time.Second
	minInterval     = 50 * time.Millisecond
	// exchangeTimeout bounds one message and its answer.
	exchangeTimeout = 700 * time.Millisecond
	// seedInterval is the time between two reports of a relay to a seed. They
	// merge parts of the fleet that started without knowing each other.
	// otherSeedInterval is the mean interval of other nodes.
	seedInterval      = 5 * time.Second
	otherSeedInterval = 60 * time.Second
	// forgetAfter is how long the records of removed VMs are retained, so that
	// nodes with an old cursor receive the removal.
	forgetAfter = 10 * time.Minute
	// subscribeTimeout bounds how long lookup waits for the first answer to a
	// subscription.
	subscribeTimeout = 500 * time.Millisecond
)

func init() {
	kernel.Register(kernel.ModuleInfo{
		ID:    ID,
		Needs: []kernel.ID{meshplugin.ID, storeplugin.ID},
		New: func() kernel.Module {
			return &Module{Interval: jsonc.Duration(defaultInterval), Expiry: jsonc.Duration(defaultExpiry)}
		},
	})
}

// Module exchanges entries with relays, and acts as one if its node is chosen.
type Module struct {
	// Interval is the time between two reports to the relays.
	Interval jsonc.Duration `json:"interval"`
	// Expiry is the time without contact after which a VM is removed. Contact
	// of another node that is asked about the VM counts too.
	Expiry jsonc.Duration `json:"expiry"`

	mesh   *mesh.Mesh
	store  store.Store
	prefix string
	clock  clockwork.Clock
	log    log.Interface
	seeds  []string
	view   atomic.Pointer[membership.View]
	// wakeUp starts the next round immediately.
	wakeUp chan struct{}

	mu    sync.Mutex
	self  membership.Entry
	table *membership.Table
	// publishedSequence is the table's sequence number as of the current view.
	publishedSequence uint64
	cursors           map[string]cursor
	domains           map[string]*domainState
	services          map[string]*subscription
	// completeServices is the set of services whose subscription was answered.
	// Views share it, so it is replaced and never modified.
	// publishedCompleteServices is its size in the current view.
	completeServices          map[string]bool
	publishedCompleteServices int
	// wasRelay is this node's role in the last round.
	wasRelay bool
	seedDue  time.Time
	seedNext int
	// storeSeeds are the seeds last read from the store.
	storeSeeds []string
	// primaryRelay is the index, modulo the number of relays, of the relay that
	// is queried for changes. Its start value depends on the VM, see RelayOffset.
	primaryRelay int
	// rounds counts the rounds of reports.
	rounds int
	// sentVersions is the last version of this node's entry sent to each other
	// node, by VM.
	sentVersions map[string]uint64
	// selfChanged is true if this node's entry or subscriptions changed since
	// the last round; relayHasChanges is true if the primary relay has changes
	// that this node has not received.
	selfChanged, relayHasChanges bool
}

// domainState is a relay's state about another failure domain.
type domainState struct {
	seen time.Time
	// nextRelay is the index, modulo the number of relays, of the domain's relay
	// to query. It advances when one does not answer.
	nextRelay int
}

// subscription is the subscription to a service that this node calls.
type subscription struct {
	// answered is closed once the first answer has been processed.
	answered chan struct{}
	done     bool
}

// cursor is the position in a relay's sequence of changes up to which they
// have been received. It is valid for one incarnation of the relay.
type cursor struct {
	Incarnation uint64 `cbor:"1,keyasint"`
	Sequence    uint64 `cbor:"2,keyasint"`
}

var (
	_ kernel.Module        = (*Module)(nil)
	_ kernel.Validator     = (*Module)(nil)
	_ kernel.ActorSource   = (*Module)(nil)
	_ membership.Source    = (*Module)(nil)
	_ membership.Announcer = (*Module)(nil)
	_ membership.Directory = (*Module)(nil)
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
	nodeMesh, err := kernel.Require[*mesh.Mesh](ctx)
	if err != nil {
		return err
	}
	if m.store, err = kernel.Require[store.Store](ctx); err != nil {
		return err
	}
	m.mesh, m.clock, m.log = nodeMesh, ctx.LeaseClock, ctx.Log
	m.prefix = ctx.Node.Store.Prefix
	m.seeds = ctx.Node.Seeds
	m.table = membership.NewTable()
	m.view.Store(membership.NewView(nil))
	m.wakeUp = make(chan struct{}, 1)
	m.cursors = map[string]cursor{}
	m.sentVersions = map[string]uint64{}
	m.domains = map[string]*domainState{}
	m.services = map[string]*subscription{}
	m.completeServices = map[string]bool{}
	m.self = meshplugin.OwnEntry(ctx)
	m.primaryRelay = RelayOffset(m.self.VM)
	m.mu.Lock()
	m.table.Observe(m.self, m.clock.Now())
	m.publish()
	m.mu.Unlock()
	m.registerMetrics(ctx.Registry)
	nodeMesh.Handle(mesh.KindMembers, mesh.Typed(m.serveReport))
	nodeMesh.Handle(mesh.KindProbe, mesh.Typed(m.serveProbe))
	nodeMesh.Handle(mesh.KindDirectory, mesh.Typed(m.serveDirectory))
	kernel.Provide(ctx, m)
	kernel.Provide[membership.Source](ctx, m)
	kernel.Provide[membership.Announcer](ctx, m)
	kernel.Provide[membership.Directory](ctx, m)
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
	m.self.Version++
	m.table.Observe(m.self, m.clock.Now())
	m.selfChanged = true
	m.publish()
	m.mu.Unlock()
	m.wake()
}

// SetConfigRevision sets the configuration revision applied on this node. It is
// reported to the relays of this node's failure domain and propagated no
// further.
func (m *Module) SetConfigRevision(revision int64) {
	m.mu.Lock()
	m.self.ConfigRevision = revision
	m.table.Observe(m.self, m.clock.Now())
	m.selfChanged = true
	m.mu.Unlock()
	m.wake()
}

func (m *Module) wake() {
	select {
	case m.wakeUp <- struct{}{}:
	default:
	}
}

// publish stores a new view if the table or completeServices changed. The
// caller holds m.mu.
func (m *Module) publish() {
	current := m.view.Load()
	if m.publishedSequence == m.table.Sequence() && m.publishedCompleteServices == len(m.completeServices) {
		return
	}
	m.publishedCompleteServices = len(m.completeServices)
	changes := m.table.Changes(m.publishedSequence, func(membership.Record) bool { return true })
	m.publishedSequence = m.table.Sequence()
	lookup := m.lookup
	if m.rank() >= 0 {
		lookup = nil
	}
	m.view.Store(current.With(changes).WithLookup(lookup, m.completeServices))
}

// rank returns this node's position among the relays of its failure domain,
// or -1. The caller holds m.mu.
func (m *Module) rank() int {
	return membership.Rank(m.ownRelays(), m.self.VM)
}

// isolated reports whether this node knows no other node in its failure domain
// and no other failure domain. The caller holds m.mu.
func (m *Module) isolated() bool {
	return len(m.ownRelays()) <= 1 && len(m.otherRelays()) == 0
}

// ownRelays returns the relays of this node's failure domain, among the VMs
// that it knows. The caller holds m.mu and must not modify the slice.
func (m *Module) ownRelays() []membership.Entry {
	return m.table.Relays(m.self.FailureDomain)
}

// otherRelays returns the relays of each other failure domain, including those
// of unreachable domains. The caller holds m.mu.
func (m *Module) otherRelays() map[string][]membership.Entry {
	others := map[string][]membership.Entry{}
	for _, domain := range m.table.Domains() {
		if domain != m.self.FailureDomain {
			others[domain] = m.table.KnownRelays(domain)
		}
	}
	return others
}

// lookup returns the VMs of a service. The first call for a service subscribes
// to it and waits for the first answer. Until that arrives, later calls wait
// too unless at least one VM of the service is known.
func (m *Module) lookup(service string) []membership.Entry {
	m.mu.Lock()
	s, known := m.services[service]
	if !known {
		s = &subscription{answered: make(chan struct{})}
		m.services[service] = s
		m.cursors = map[string]cursor{}
		m.selfChanged = true
	}
	m.mu.Unlock()
	if !known {
		m.wake()
	}
	if entries := m.View().Cached(service); known && len(entries) > 0 {
		return entries
	}
	select {
	case <-s.answered:
	case <-m.clock.After(subscribeTimeout):
	}
	return m.View().Cached(service)
}

// Actors implements kernel.ActorSource.
func (m *Module) Actors() []kernel.Actor {
	return []kernel.Actor{{Name: "report", Run: m.run}, {Name: "keep seeds", Run: m.syncSeeds}}
}

func (m *Module) run(ctx context.Context) error {
	ticker := m.clock.NewTicker(m.Interval.Std())
	defer ticker.Stop()
	for {
		m.round(ctx)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.Chan():
		case <-m.wakeUp:
		}
	}
}

// round reports to the relays, requests changes, and checks VMs and failure
// domains without recent contact.
func (m *Module) round(ctx context.Context) {
	var group sync.WaitGroup
	for _, c := range m.contacts() {
		group.Go(func() { m.contact(ctx, c) })
	}
	group.Wait()
	m.checkSuspects(ctx)
	m.mu.Lock()
	m.table.PurgeRemoved(m.clock.Now().Add(-forgetAfter))
	m.publish()
	m.mu.Unlock()
}
