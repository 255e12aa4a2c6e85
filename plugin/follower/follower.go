// Package follower keeps the node's configuration up to date and provides
// config.Source. A version is in force as soon as the store has committed it.
// This module receives it through a watch of the store, if the roster requires
// this node to watch, and otherwise pulls it from a node that has it. A lower
// version never replaces a higher one. Where the node follows evacuations, the same
// reads and watches cover them.
package follower

import (
	"bytes"
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/jonboulle/clockwork"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/mangomast/mangomast/config"
	"github.com/mangomast/mangomast/dialect"
	"github.com/mangomast/mangomast/kernel"
	"github.com/mangomast/mangomast/membership"
	"github.com/mangomast/mangomast/mesh"
	"github.com/mangomast/mangomast/plugin/evacuation"
	"github.com/mangomast/mangomast/plugin/roster"
	"github.com/mangomast/mangomast/store"
)

// ID is the module's ID.
const ID kernel.ID = "follower"

// DialectID is the ID of the module that provides the dialect's interfaces.
const DialectID kernel.ID = "platform.dialect"

const (
	// readTimeout bounds one read of the document.
	readTimeout = 1500 * time.Millisecond
	// minBackoff and maxBackoff bound the backoff between calls to the store. It
	// is exponential, because rejected calls are billed too. It has jitter, so
	// that nodes which lost the store together do not retry together.
	minBackoff = 200 * time.Millisecond
	maxBackoff = 2 * time.Second
	// pullTimeout bounds a pull of the document from another node.
	pullTimeout = time.Second
	// watchDueInterval is the interval at which a node that does not watch the
	// store checks whether it has to.
	watchDueInterval = 500 * time.Millisecond
	// superviseInterval is the interval at which a node that watches the store
	// checks whether it still has to, and how soon it has to notice a loss.
	superviseInterval = 2 * time.Second
	// maxReadAge is the maximum age of a read after whose revision a watch may
	// start. Stores compact their history, so an older revision may no longer be
	// available.
	maxReadAge = 2 * time.Second
)

func init() {
	kernel.Register(kernel.ModuleInfo{
		ID:    ID,
		Needs: []kernel.ID{roster.ID, roster.StoreID, DialectID, evacuation.ID},
		New:   func() kernel.Module { return &Module{} },
	})
}

// Module follows the configuration document.
type Module struct {
	clock            clockwork.Clock
	log              log.Interface
	store            store.Store
	mesh             *mesh.Mesh
	roster           *roster.Module
	documents        dialect.Documents
	evacuations      *evacuationReader
	version          prometheus.Gauge
	current          atomic.Pointer[config.Snapshot]
	pulling          atomic.Bool
	storeUnavailable bool
	// applying is held while a document is decoded and put in force.
	applying sync.Mutex

	mu sync.Mutex
	// cancelWatch cancels the active watch; nil if there is none.
	cancelWatch context.CancelFunc
	// raw is the document in force, as encoded in the store.
	raw document
	// lastDecodeError is the last error of decoding a document, so that a
	// repeated error is logged once.
	lastDecodeError string
}

// document is the configuration document as encoded in the store.
type document struct {
	// Version increases with each change of the document.
	Version int64  `cbor:"1,keyasint"`
	Value   []byte `cbor:"2,keyasint"`
}

// pullRequest requests the document if it is newer than the version.
type pullRequest struct {
	Version int64 `cbor:"1,keyasint"`
}

var (
	_ kernel.Module      = (*Module)(nil)
	_ kernel.ActorSource = (*Module)(nil)
	_ config.Source      = (*Module)(nil)
)

// Provision implements kernel.Module.
func (m *Module) Provision(ctx *kernel.Context) error {
	if err := kernel.Resolve(ctx, &m.store, &m.mesh, &m.roster, &m.documents); err != nil {
		return err
	}
	m.clock, m.log = ctx.Clock, ctx.Log
	evacuations, err := newEvacuationReader(ctx)
	if err != nil {
		return err
	}
	m.evacuations = evacuations
	m.version = prometheus.NewGauge(prometheus.GaugeOpts{
		Name: "mangomast_config_version", Help: "Version of the configuration in force on this node; 0 before the first.",
	})
	ctx.Registry.MustRegister(m.version)
	m.mesh.Handle(mesh.KindDocument, mesh.Typed(m.serveDocument))
	m.roster.OnEntry(m.pullIfNewer)
	m.roster.OnStoreTimeout(m.stopWatch)
	if notifier, ok := m.store.(store.RestoreNotifier); ok {
		notifier.OnRestore(m.stopWatch)
	}
	kernel.Provide[config.Source](ctx, m)
	return nil
}

// Actors implements kernel.ActorSource.
func (m *Module) Actors() []kernel.Actor {
	return []kernel.Actor{{Name: "follow", Run: m.follow}}
}

// Snapshot implements config.Source.
func (m *Module) Snapshot() *config.Snapshot { return m.current.Load() }

// Fresh implements config.Source. A version is in force as soon as the store has
// committed it, with no confirmation by nodes, so a node is fresh whenever it
// has a configuration.
func (m *Module) Fresh() bool { return m.current.Load() != nil }

// Accepted implements config.Source.
func (m *Module) Accepted() int64 {
	if snapshot := m.current.Load(); snapshot != nil {
		return snapshot.Revision
	}
	return 0
}

// follow reads the document, and watches it while this node has to, with a
// backoff between attempts.
func (m *Module) follow(ctx context.Context) error {
	backoff := minBackoff
	for {
		watched, err := m.readAndWatch(ctx)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if watched {
			backoff = minBackoff
		}
		if err != nil {
			m.recordStoreLoss(err)
		}
		if err := kernel.SleepWithJitter(ctx, m.clock, backoff); err != nil {
			return err
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

// recordStoreLoss logs the first failure since the last successful read.
func (m *Module) recordStoreLoss(err error) {
	if m.storeUnavailable {
		return
	}
	m.storeUnavailable = true
	m.log.WithError(err).WithField("version", m.Accepted()).Warn("dependency lost: watch of the configuration; keeping the version in force and retrying")
}

// readAndWatch waits until this node needs the store, reads the document, and
// watches it from that revision until the watch ends. If this node no longer
// has to watch after the read, it waits; after more than maxReadAge it returns,
// so that the caller reads again. It reports whether the read succeeded.
func (m *Module) readAndWatch(ctx context.Context) (bool, error) {
	if m.Snapshot() != nil {
		if _, err := m.awaitAssignment(ctx); err != nil {
			return false, err
		}
	}
	revision, err := m.read(ctx)
	if err != nil {
		return false, err
	}
	if m.storeUnavailable {
		m.storeUnavailable = false
		m.log.WithField("version", m.Accepted()).Info("dependency regained: watch of the configuration; the document was read from the store again")
	}
	waited, err := m.awaitAssignment(ctx)
	if err != nil || waited > maxReadAge {
		return true, err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	m.setWatch(cancel)
	defer m.setWatch(nil)
	go m.superviseWatch(ctx, cancel, m.roster.LeadsWatch())
	err = m.store.Watch(ctx, m.evacuations.prefixOr(m.documents.Key()), revision+1, m.roster.LeadsWatch, func(batch store.WatchBatch) {
		m.evacuations.apply(batch.Events)
		for _, event := range batch.Events {
			if !event.Deleted && event.Record.Key == m.documents.Key() {
				m.apply(event.Record.Value, fromStore)
			}
		}
	})
	if ctx.Err() != nil {
		return true, nil
	}
	return true, err
}

// awaitAssignment blocks until this node has to watch the store, and returns how
// long it waited. Without a document, which a watching node will pass on, it
// returns soon after maxReadAge, so that the caller reads again.
func (m *Module) awaitAssignment(ctx context.Context) (time.Duration, error) {
	startedAt := m.clock.Now()
	for !m.roster.WatchDue() && (m.Snapshot() != nil || m.clock.Since(startedAt) <= maxReadAge) {
		if err := kernel.Sleep(ctx, m.clock, watchDueInterval); err != nil {
			return 0, err
		}
	}
	waited := m.clock.Since(startedAt)
	if waited > maxReadAge && m.roster.WatchDue() {
		m.log.WithField("version", m.Accepted()).Info("this node now has to watch the configuration in the store")
	}
	return waited, nil
}

func (m *Module) setWatch(cancel context.CancelFunc) {
	m.mu.Lock()
	m.cancelWatch = cancel
	m.mu.Unlock()
	m.roster.SetWatching(cancel != nil)
}

// stopWatch cancels the watch, so that a new one is started on a new connection.
func (m *Module) stopWatch() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.cancelWatch != nil {
		m.cancelWatch()
	}
}

// superviseWatch cancels the watch once this node no longer has to watch. It also
// does so once this node leads the watch and did not before, because its present
// wait is a long one.
func (m *Module) superviseWatch(ctx context.Context, cancel context.CancelFunc, led bool) {
	for kernel.Sleep(ctx, m.clock, superviseInterval) == nil {
		leads := m.roster.LeadsWatch()
		if !m.roster.WatchDue() || leads && !led {
			cancel()
		}
		led = leads
	}
}

// read reads the document from the store, and evacuations where they are followed,
// applies them and returns the store's revision.
func (m *Module) read(ctx context.Context) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	listing, err := m.list(ctx)
	if err != nil {
		return 0, err
	}
	m.evacuations.list(listing)
	for _, record := range listing.Records {
		if record.Key == m.documents.Key() {
			m.apply(record.Value, fromStore)
		}
	}
	return listing.Revision, nil
}

func (m *Module) list(ctx context.Context) (store.Listing, error) {
	if m.evacuations.module.Follow {
		return m.store.List(ctx, m.evacuations.dialect.Prefix())
	}
	return m.store.Get(ctx, m.documents.Key())
}

// fromStore is the source of documents that were read from the store.
const fromStore = "store"

// apply puts the document in force, unless it cannot be decoded or is not newer
// than the present one.
func (m *Module) apply(value []byte, source string) {
	m.applying.Lock()
	defer m.applying.Unlock()
	if m.isInForce(value) {
		return
	}
	decoded, err := m.documents.Decode(value)
	m.mu.Lock()
	defer m.mu.Unlock()
	if err != nil {
		if text := err.Error(); text != m.lastDecodeError {
			m.lastDecodeError = text
			m.log.WithError(err).WithField("kept_version", m.raw.Version).Error("configuration is invalid; keeping the version in force")
		}
		return
	}
	if m.raw.Value != nil && decoded.Version <= m.raw.Version {
		return
	}
	previous := m.raw.Version
	m.raw = document{Version: decoded.Version, Value: value}
	m.current.Store(config.NewSnapshot(decoded.Document, decoded.Version))
	m.version.Set(float64(decoded.Version))
	m.logFindings(decoded)
	m.log.WithFields(log.Fields{"version": decoded.Version, "former": previous, "source": source}).Info("configuration is in force")
	m.roster.SetConfigRevision(decoded.Version, source == fromStore)
}

func (m *Module) isInForce(value []byte) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.raw.Value != nil && bytes.Equal(value, m.raw.Value)
}

// maxLoggedFindings bounds the findings that are logged for one version.
const maxLoggedFindings = 20

// logFindings logs which parts of a document are not in force.
func (m *Module) logFindings(decoded dialect.Decoded) {
	total := len(decoded.Findings)
	for _, f := range decoded.Findings[:min(total, maxLoggedFindings)] {
		m.log.WithFields(log.Fields{"version": decoded.Version, "field": f.Field, "finding": f.Message, "findings": total}).
			Warn("a part of the configuration is invalid; the rest is in force")
	}
}

// pullIfNewer pulls the document from a node that has a newer version, unless a
// pull is already in flight. It first waits for the document that is being decoded,
// which may be the same: relays learn of a new one from the store and from each
// other at almost the same time.
func (m *Module) pullIfNewer(peer membership.Entry) {
	if peer.ConfigRevision <= m.Accepted() || !m.pulling.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer m.pulling.Store(false)
		m.awaitApply()
		if peer.ConfigRevision > m.Accepted() {
			m.pull(peer)
		}
	}()
}

func (m *Module) awaitApply() {
	m.applying.Lock()
	defer m.applying.Unlock()
}

func (m *Module) pull(peer membership.Entry) {
	ctx, cancel := context.WithTimeout(context.Background(), pullTimeout)
	defer cancel()
	var got document
	err := m.mesh.Exchange(ctx, mesh.Peer{VM: peer.VM, Address: peer.MeshAddress}, mesh.KindDocument, pullRequest{Version: m.Accepted()}, &got)
	if err != nil {
		m.log.WithError(err).WithFields(log.Fields{"peer": peer.VM, "version": m.Accepted(), "peer_version": peer.ConfigRevision}).
			Info("pulling the configuration from a peer failed; the next exchange with a node that has it starts another attempt")
		return
	}
	if got.Value != nil {
		m.apply(got.Value, peer.VM)
	}
}

// serveDocument answers another node's pull with the document in force, or with
// a zero document if it is not newer than the requested version.
func (m *Module) serveDocument(_ context.Context, _ mesh.Identity, q pullRequest) (document, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.raw.Version <= q.Version {
		return document{}, nil
	}
	return m.raw, nil
}
