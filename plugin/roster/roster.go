// Package roster maintains the member list from leased entries in the store
// and from gossip between nodes, and provides membership.Source and
// membership.Announcer to the other modules.
//
// In a small fleet each node polls the store's listing of the fleet, which may be
// seconds old but is cheap. In a larger one, whose listings by every node would fill
// the links between regions, one relay of each failure domain does so, and the
// others take the listing from it by gossip (docs/design/fleet-control-traffic.md).
// Urgent changes, such as an upstream that leaves, are sent to the correspondents
// directly. Relays also watch the configuration on behalf of the others. While the
// store is unavailable, the last listing stays in effect and nodes learn of changes
// by gossip.
package roster

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/jonboulle/clockwork"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/mangomast/mangomast/evacuation"
	"github.com/mangomast/mangomast/finding"
	"github.com/mangomast/mangomast/jsonc"
	"github.com/mangomast/mangomast/kernel"
	"github.com/mangomast/mangomast/membership"
	"github.com/mangomast/mangomast/mesh"
	meshplugin "github.com/mangomast/mangomast/plugin/mesh"
	"github.com/mangomast/mangomast/store"
)

// ID is the module's ID.
const ID kernel.ID = "roster"

// StoreID is the ID of the module that provides store.Store where the roster
// is used.
const StoreID kernel.ID = "platform.store"

const (
	// defaultLease is long enough to survive two lost renewals.
	defaultLease = 4 * time.Second
	minLease     = time.Second
	// renewals is the number of renewals per lease duration.
	renewals = 3
	// defaultGossip is the time between two exchanges with another node.
	defaultGossip = time.Second
	// unavailableGossipFactor is the factor by which nodes gossip more often
	// while the store is unavailable, so that a node is in contact with most
	// others within the lease duration.
	unavailableGossipFactor = 4
	// listInterval is the time between two listings of the store. Until
	// startupListings of them have succeeded, it is startupListInterval, because
	// all VMs of a fleet may start within a fraction of a second.
	listInterval        = 3 * time.Second
	startupListInterval = 400 * time.Millisecond
	startupListings     = 5
	// domainListings is the number of listings of a starting node that begin with
	// its failure domain alone. If it has more than maxSmallDomain VMs, the node
	// takes the rest from its relays: a fleet that starts as a whole would
	// otherwise list itself once for each VM at once.
	domainListings = 2
	maxSmallDomain = 8
	// checkInterval is the time between two checks whether a node that may take the
	// listing from others has to list the store.
	checkInterval = 500 * time.Millisecond
	// noListingAge is added to the age of a listing that has never arrived.
	noListingAge = 4500 * time.Millisecond
	// missingAfter is the time within which a live VM re-registers after an
	// outage of the store.
	missingAfter = 2 * time.Second
	forgetAfter  = time.Minute
	// exchangeTimeout bounds an exchange. It is long enough to establish a
	// connection to another region.
	exchangeTimeout = time.Second
	// storeTimeout bounds a call to the store.
	storeTimeout = time.Second
	// syncTimeout bounds how long a starting node waits for what the fleet knows
	// of its predecessor. It is shorter than the second within which upstreams
	// expect an answer to their announcements.
	syncTimeout = 800 * time.Millisecond
	// syncPeers is the number of nodes that a starting node asks for it.
	syncPeers = 3
	// randomPeers is the number of randomly chosen nodes that a node notifies
	// of a new configuration, in addition to its group.
	randomPeers = 2
	// watchReportTTL is how long a relay's report of a working watch stays
	// valid. It is long enough to tolerate one lost exchange.
	watchReportTTL = 1500 * time.Millisecond
)

func init() {
	kernel.Register(kernel.ModuleInfo{
		ID:    ID,
		Needs: []kernel.ID{meshplugin.ID, StoreID},
		New: func() kernel.Module {
			return &Module{Lease: jsonc.Duration(defaultLease), Gossip: jsonc.Duration(defaultGossip)}
		},
	})
}

// Module maintains the roster.
type Module struct {
	// Lease is how long the node's entry stays in the store after the last
	// renewal.
	Lease jsonc.Duration `json:"lease"`
	// Gossip is the time between two exchanges with another node.
	Gossip jsonc.Duration `json:"gossip"`

	clock clockwork.Clock
	log   log.Interface
	mesh  *mesh.Mesh
	store store.Store
	// storePrefix is the prefix of all keys of the fleet, and prefix that of its
	// nodes' entries.
	storePrefix string
	prefix      string
	metrics     *metrics
	view        atomic.Pointer[membership.View]
	// loaded is true once this node knows a listing of the fleet, and domainListed
	// once it has listed its failure domain.
	loaded       atomic.Bool
	domainListed atomic.Bool
	// starting is true until startupListings listings have succeeded.
	starting atomic.Bool
	// synced is closed once this node has learned what the fleet knows of its
	// predecessor, or has waited syncTimeout for it. The fleet's knowledge is that
	// of other nodes and of the store.
	synced         chan struct{}
	peersAnswered  chan struct{}
	peersOnce      sync.Once
	departuresRead chan struct{}
	// storeUnavailable is true if the last call to the store failed.
	storeUnavailable atomic.Bool
	// invalidRecords has the revisions of the store's invalid records that were
	// logged, by key. Only the list actor uses it.
	invalidRecords map[string]int64
	// dirty signals that this node's entry must be written to the store.
	dirty chan struct{}
	// entryLost and departuresLost signal that the store was restored from a copy and may
	// have lost what this node wrote.
	entryLost, departuresLost chan struct{}

	mu   sync.Mutex
	self membership.Entry
	// leaseValidAt is the latest time at which the lease is known to have been
	// valid.
	leaseValidAt         time.Time
	roster               *membership.Roster
	lease                store.LeaseID
	entryHandlers        []func(membership.Entry)
	storeTimeoutHandlers []func()
	departureHandlers    []func(membership.Departure)
	// storedDepartures are the departures of this VM that the store has confirmed.
	storedDepartures   []storedDeparture
	evacuationHandlers []func(evacuation.Set, string)
	// evacuations is the set of evacuated failure domains that exchanges carry.
	evacuations     evacuation.Set
	watchAssignment membership.WatchAssignment
	// watching is true while this node has a working watch of the configuration.
	watching bool
	// groupView is the view from which group, ordered by rank, and peers were
	// computed.
	groupView    *membership.View
	group, peers []membership.Entry
	// domain has the VMs in view of this node's failure domain, and sharesListings
	// is true if the fleet is so large that relays list the store for them.
	domain         []membership.Entry
	sharesListings bool
	// regionalPeers are the peers to which this node sends what is not urgent.
	regionalPeers []membership.Entry
	// domainAskedAt is when this node last sent an exchange to each failure domain.
	domainAskedAt map[string]time.Time
	// known is the position up to which this node has each VM's changes.
	known map[string]position
	// incomplete has the VMs whose last changes did not lead to their listing.
	incomplete map[string]bool
	startedAt  time.Time
}

var (
	_ kernel.Module        = (*Module)(nil)
	_ kernel.Validator     = (*Module)(nil)
	_ kernel.ActorSource   = (*Module)(nil)
	_ kernel.Leaver        = (*Module)(nil)
	_ membership.Source    = (*Module)(nil)
	_ membership.Announcer = (*Module)(nil)
)

// Validate implements kernel.Validator.
func (m *Module) Validate(prefix string, findings *finding.List) {
	if m.Lease.Std() < minLease {
		findings.Addf(prefix+"/lease", "must be at least %s", minLease)
	}
	if m.Gossip <= 0 {
		findings.Addf(prefix+"/gossip", "must be above 0s")
	}
}

// Provision implements kernel.Module.
func (m *Module) Provision(ctx *kernel.Context) error {
	if err := kernel.Resolve(ctx, &m.mesh, &m.store); err != nil {
		return err
	}
	m.clock, m.log = ctx.LeaseClock, ctx.Log
	m.storePrefix = ctx.Node.Store.Prefix
	m.prefix = m.storePrefix + "roster/"
	m.metrics = newMetrics(ctx.Registry)
	m.dirty = make(chan struct{}, 1)
	m.entryLost, m.departuresLost = make(chan struct{}, 1), make(chan struct{}, 1)
	if notifier, ok := m.store.(store.RestoreNotifier); ok {
		notifier.OnRestore(m.notifyRestored)
	}
	m.invalidRecords = map[string]int64{}
	m.synced, m.peersAnswered, m.departuresRead = make(chan struct{}), make(chan struct{}), make(chan struct{})
	m.starting.Store(true)
	m.startedAt, m.incomplete = m.clock.Now(), map[string]bool{}
	m.known, m.domainAskedAt = map[string]position{}, map[string]time.Time{}
	m.watchAssignment = membership.WatchAssignment{Life: watchReportTTL}
	m.roster = membership.NewRoster(membership.RosterOptions{MissingAfter: missingAfter, ForgetAfter: forgetAfter})
	m.self = meshplugin.OwnEntry(ctx)
	m.roster.Observe(m.self, m.clock.Now())
	m.publish()
	m.mesh.Handle(mesh.KindRoster, mesh.Typed(m.serveExchange))
	m.mesh.Handle(mesh.KindDepartures, mesh.Typed(m.serveDepartures))
	kernel.Provide(ctx, m)
	kernel.Provide[membership.Source](ctx, m)
	kernel.Provide[membership.Announcer](ctx, m)
	return nil
}

// Actors implements kernel.ActorSource.
func (m *Module) Actors() []kernel.Actor {
	return []kernel.Actor{
		{Name: "hold lease", Run: m.maintainLease},
		{Name: "list", Run: m.list},
		{Name: "gossip", Run: m.gossip},
		{Name: "read departures", Run: m.readDepartures},
		{Name: "restore departures", Run: m.restoreDepartures},
		{Name: "sync", Run: m.awaitSync},
	}
}

// View implements membership.Source.
func (m *Module) View() *membership.View { return m.view.Load() }

// Self implements membership.Source.
func (m *Module) Self() membership.Entry {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.self
}

// Loaded reports whether the fleet has been listed from the store at least once, by
// this node or by one that forwarded the listing.
func (m *Module) Loaded() bool { return m.loaded.Load() }

// InContact reports whether this node may make decisions for the fleet: its
// lease is valid or, if the store is unavailable, it has been in contact with a
// majority of the other nodes within the lease duration. A partitioned node
// stops deciding before its lease expires for the others.
func (m *Module) InContact() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	since := m.clock.Now().Add(-m.Lease.Std())
	if m.leaseValidAt.After(since) {
		return true
	}
	m.rankedGroup()
	reachable, others := m.roster.CountReachable(m.self.VM, m.peers, since)
	return 2*reachable > others
}

// OnEntry registers a function that is called with the own entry of each node
// that exchanges entries with this one. It must be called before the node
// starts; the function must not block.
func (m *Module) OnEntry(f func(membership.Entry)) { m.entryHandlers = append(m.entryHandlers, f) }

// Synced returns a channel that is closed once this node has learned what the
// fleet knows of the VM's previous node, or has waited for it long enough.
// Handlers of OnDeparture have been called before.
func (m *Module) Synced() <-chan struct{} { return m.synced }

func (m *Module) handlePredecessor(entry membership.Entry) {
	if self := m.Self(); entry.VM != self.VM || entry.Incarnation >= self.Incarnation || entry.Validate(m.clock.Now()) != nil {
		return
	}
	m.handleDeparture(entry.Departed)
}

// markPeersAnswered records that a node has told what it knows of this node's
// predecessor, or that there is no other node.
func (m *Module) markPeersAnswered() { m.peersOnce.Do(func() { close(m.peersAnswered) }) }

// awaitSync waits for the fleet's knowledge, for syncTimeout at most.
func (m *Module) awaitSync(ctx context.Context) error {
	timeout, cancel := context.WithTimeout(ctx, syncTimeout)
	defer cancel()
	complete := waitFor(timeout, m.peersAnswered) && waitFor(timeout, m.departuresRead)
	m.log.WithField("complete", complete).Info("synchronized with the fleet")
	close(m.synced)
	<-ctx.Done()
	return ctx.Err()
}

// waitFor waits until the channel is closed and reports whether that came before
// the end of the context.
func waitFor(ctx context.Context, closed <-chan struct{}) bool {
	select {
	case <-closed:
		return true
	case <-ctx.Done():
		return false
	}
}

// startSync asks some nodes for what they know of this node's predecessor.
func (m *Module) startSync() {
	peers := m.syncCandidates()
	if len(peers) == 0 {
		m.markPeersAnswered()
		return
	}
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	for _, peer := range peers[:min(syncPeers, len(peers))] {
		go m.exchange(peer)
	}
}

// syncCandidates returns the VMs that a starting node may ask for what they know:
// the relays of its failure domain if it has listed only that, and otherwise its
// correspondents.
func (m *Module) syncCandidates() []membership.Entry {
	if m.Loaded() {
		return m.correspondents()
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.rankedGroup()
	return slices.DeleteFunc(membership.Relays(m.domain), func(e membership.Entry) bool { return e.VM == m.self.VM })
}

// listingAge returns the age of the listing of the store that this node knows. One
// that knows none counts as if it had waited longer for it. The caller holds m.mu.
func (m *Module) listingAge() time.Duration {
	now := m.clock.Now()
	if age, ok := m.roster.ListingAge(now); ok {
		return age
	}
	return now.Sub(m.startedAt) + noListingAge
}

// Announce implements membership.Announcer. The changed entry is written to the
// store and sent to the correspondents immediately. A node that has left stays
// gone, whatever its upstream does meanwhile.
func (m *Module) Announce(change func(*membership.Entry)) {
	m.mu.Lock()
	gone := m.self.State == membership.Gone
	change(&m.self)
	if gone {
		m.self.State = membership.Gone
	}
	m.self.Version++
	self := m.self
	m.roster.Observe(self, m.clock.Now())
	m.publish()
	m.mu.Unlock()
	select {
	case m.dirty <- struct{}{}:
	default:
	}
	m.log.WithFields(log.Fields{"state": self.State.String(), "service": self.Service, "version": self.Version}).Info("announced own entry")
	peers := m.regionalCorrespondents()
	if self.State == membership.Leaving || self.State == membership.Gone {
		// Every request that goes to the VM meanwhile is refused.
		peers = m.correspondents()
	}
	for _, peer := range peers {
		go m.announceTo(peer)
	}
}

// OnStoreTimeout registers a function that is called when a call to the store
// got no response, in which case other connections to the store may be dead
// too. It must be called before the node starts; the function must not block.
func (m *Module) OnStoreTimeout(f func()) { m.storeTimeoutHandlers = append(m.storeTimeoutHandlers, f) }

// WatchDue reports whether this node has to watch the configuration itself. It
// returns false until its failure domain has been listed from the store, because the
// node may not know any relay before.
func (m *Module) WatchDue() bool {
	if !m.domainListed.Load() {
		return false
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.watchAssignment.ShouldWatch(m.rankedGroup(), m.self.VM, m.clock.Now())
}

// LeadsWatch reports whether this node, if it watches the configuration, is the one
// of its group that has to notice soon when its watch no longer works.
func (m *Module) LeadsWatch() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.watchAssignment.Leads(m.rankedGroup(), m.self.VM, m.clock.Now())
}

// SetWatching sets whether this node has a working watch of the configuration. A
// watch that starts is announced to the group, so that no other VM starts one.
func (m *Module) SetWatching(working bool) {
	m.mu.Lock()
	started := working && !m.watching
	m.watching = working
	group, self := slices.Clone(m.rankedGroup()), m.self.VM
	m.mu.Unlock()
	if !started {
		return
	}
	for _, peer := range group {
		if peer.VM != self {
			go m.announceTo(peer)
		}
	}
}

// rankedGroup returns the VMs that share relays with this node, ordered by rank.
// The caller holds m.mu.
func (m *Module) rankedGroup() []membership.Entry {
	view := m.view.Load()
	if view != m.groupView {
		m.groupView = view
		m.group = membership.ByRank(membership.Group(view.All(), m.self))
		m.peers = membership.Correspondents(view.All(), m.self)
		m.domain = slices.DeleteFunc(slices.Clone(view.All()), func(e membership.Entry) bool {
			return e.FailureDomain != m.self.FailureDomain || e.State == membership.Gone
		})
		m.sharesListings, m.regionalPeers = membership.SharesListings(view.All()), m.peers
		if m.sharesListings {
			m.regionalPeers = membership.RegionalCorrespondents(m.peers, m.domain, m.self)
		}
	}
	return m.group
}

// SetConfigRevision sets the configuration revision in force on this node and
// notifies other nodes. A node that received it from the store notifies its
// group. Every node also notifies some random nodes, whose relays may have no
// connection to the store.
func (m *Module) SetConfigRevision(revision int64, fromStore bool) {
	m.mu.Lock()
	m.self.ConfigRevision = revision
	m.mu.Unlock()
	m.spread(fromStore)
}

// spread starts exchanges with some random nodes, and with this node's group if
// what it has to tell came from the store.
func (m *Module) spread(fromStore bool) {
	m.mu.Lock()
	group := m.rankedGroup()
	m.mu.Unlock()
	peers := m.regionalCorrespondents()
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	targets := map[string]membership.Entry{}
	for _, peer := range peers[:min(randomPeers, len(peers))] {
		targets[peer.VM] = peer
	}
	if fromStore {
		for _, peer := range group {
			targets[peer.VM] = peer
		}
	}
	delete(targets, m.mesh.Self().VM)
	for _, peer := range targets {
		go m.exchange(peer)
	}
}

// Leave implements kernel.Leaver. It announces that the VM has left, so that
// other nodes send no new requests, and revokes the lease.
func (m *Module) Leave() {
	m.Announce(func(e *membership.Entry) { e.State = membership.Gone })
	lease := m.currentLease()
	if lease == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	go func() {
		defer cancel()
		if err := m.store.Revoke(ctx, lease); err != nil {
			m.log.WithError(err).Info("revoking the lease failed; own entry stays in the store until the lease expires")
		}
	}()
}

// correspondents returns a copy of the VMs that this node corresponds with.
func (m *Module) correspondents() []membership.Entry {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.rankedGroup()
	return slices.Clone(m.peers)
}

// regionalCorrespondents returns a copy of the VMs to which this node sends what is
// not urgent.
func (m *Module) regionalCorrespondents() []membership.Entry {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.rankedGroup()
	return slices.Clone(m.regionalPeers)
}

// publish stores a new view. The caller holds m.mu or is Provision.
func (m *Module) publish() {
	entries := m.roster.Entries()
	m.metrics.vms.Set(float64(len(entries)))
	m.view.Store(membership.NewView(entries))
}

type metrics struct {
	vms        prometheus.Gauge
	storeCalls *prometheus.CounterVec
	exchanges  *prometheus.CounterVec
	listed     prometheus.Counter
	restores   prometheus.Counter
}

func newMetrics(registerer prometheus.Registerer) *metrics {
	m := &metrics{
		vms: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "mangomast_roster_vms", Help: "VMs that this node knows, itself included.",
		}),
		storeCalls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "mangomast_roster_store_calls_total", Help: "Calls to the store for the roster, by call and result.",
		}, []string{"call", "result"}),
		exchanges: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "mangomast_roster_exchanges_total", Help: "Exchanges with other nodes that this node began, by result.",
		}, []string{"result"}),
		restores: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "mangomast_roster_store_restores_total", Help: "Restorations of the store from a copy that this node noticed.",
		}),
		listed: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "mangomast_roster_listed_entries_total", Help: "Entries that this node read in listings of the store.",
		}),
	}
	registerer.MustRegister(m.vms, m.storeCalls, m.exchanges, m.listed, m.restores)
	return m
}
