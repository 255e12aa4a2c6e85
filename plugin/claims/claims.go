// Package claims maps callers' idempotency keys to request IDs. The first claim
// to create a key's record in the store determines the request ID, and with it
// the one node incarnation that may run the request.
package claims

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"golang.org/x/time/rate"

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
	"github.com/mangomast/mangomast/store"
)

// ID is the module's ID.
const ID kernel.ID = "claims"

const (
	keyPrefix        = "claims/"
	defaultRetention = 24 * time.Hour
	// defaultWaiting is the default of Module.Waiting, in claims.
	defaultWaiting = 1024
	// defaultMaxBatch is the maximum number of operations in one etcd
	// transaction.
	defaultMaxBatch = 128
	// defaultStoreWrites is in writes per second. It is what the store can spare
	// for claims out of the several hundred writes per second that it handles.
	defaultStoreWrites = 200
	writeTimeout       = 1500 * time.Millisecond
	// leaseRenewals is the number of leases granted per retention period.
	leaseRenewals = 24
)

func init() {
	kernel.Register(kernel.ModuleInfo{
		ID:    ID,
		Needs: []kernel.ID{storeplugin.ID, meshplugin.ID, membershipplugin.ID, configplugin.ID},
		New: func() kernel.Module {
			return &Module{
				Retention: jsonc.Duration(defaultRetention), Waiting: defaultWaiting,
				MaxBatch: defaultMaxBatch, StoreWrites: defaultStoreWrites,
			}
		},
	})
}

// Module claims idempotency keys in the store. It is safe for concurrent use.
type Module struct {
	// Retention is the minimum time for which a claim is stored. A caller must
	// not reuse a key for another request within twice this time.
	Retention jsonc.Duration `json:"retention"`
	// Waiting is the maximum number of claims queued for the store.
	Waiting int `json:"waiting"`
	// MaxBatch is the maximum number of claims in one write.
	MaxBatch int `json:"max_batch"`
	// StoreWrites is the maximum rate of claim writes of all failure domains
	// together, in writes per second.
	StoreWrites float64 `json:"store_writes_per_second"`
	// Direct makes every node write its own claims without a rate limit; for
	// experiments only.
	Direct bool `json:"direct"`

	clock   clockwork.Clock
	log     log.Interface
	store   store.Store
	prefix  string
	ring    *kernel.Ring[*claim]
	writes  prometheus.Counter
	claimed *prometheus.CounterVec
	mesh    *mesh.Mesh
	config  config.Source
	relays  relays
	// writeLimiter limits the rate of this node's writes.
	writeLimiter *rate.Limiter

	mu      sync.Mutex
	lease   store.LeaseID
	renewAt time.Time
	// unresponsive maps the VM of a writer that did not answer to the time until
	// which the writer is skipped.
	unresponsive map[string]time.Time
}

// relays returns the relays of this node's failure domain in their order, and
// this node's rank among them; the rank is negative if it is not a relay.
type relays interface {
	Position() (relays []membership.Entry, rank int)
}

var (
	_ kernel.Module      = (*Module)(nil)
	_ kernel.Validator   = (*Module)(nil)
	_ kernel.ActorSource = (*Module)(nil)
)

// Record is the request ID that a key is mapped to.
type Record struct {
	ID string `cbor:"1,keyasint"`
	// Won is true if this claim created the record, so no other claim can have
	// sent the request.
	Won bool `cbor:"2,keyasint,omitempty"`
	// Revision is the store's revision of the record; 0 if unknown.
	Revision int64 `cbor:"3,keyasint,omitempty"`
}

// claim is a queued request to map a store key to a request ID.
type claim struct {
	key  string
	id   string
	done chan result
}

type result struct {
	record Record
	err    error
}

// Validate implements kernel.Validator.
func (m *Module) Validate(prefix string, findings *finding.List) {
	if m.Retention.Std() < time.Minute {
		findings.Addf(prefix+"/retention", "must be at least 1m")
	}
	if m.Waiting < 1 {
		findings.Addf(prefix+"/waiting", "must be at least 1")
	}
	if m.MaxBatch < 1 || m.MaxBatch > defaultMaxBatch {
		findings.Addf(prefix+"/max_batch", "must be 1 to %d", defaultMaxBatch)
	}
	if !(m.StoreWrites > 0) {
		findings.Addf(prefix+"/store_writes_per_second", "must be above 0")
	}
}

// Provision implements kernel.Module.
func (m *Module) Provision(ctx *kernel.Context) error {
	var members *membershipplugin.Module
	if err := kernel.Resolve(ctx, &m.store, &m.mesh, &m.config, &members); err != nil {
		return err
	}
	m.relays, m.unresponsive = members, map[string]time.Time{}
	m.writeLimiter = rate.NewLimiter(rate.Limit(m.StoreWrites), writeBurst)
	m.clock, m.log = ctx.Clock, ctx.Log
	m.prefix = ctx.Node.Store.Prefix + keyPrefix
	full := prometheus.NewCounter(prometheus.CounterOpts{
		Name: "mangomast_claims_ring_full_total",
		Help: "Claims of idempotency keys refused because too many waited for the store.",
	})
	m.writes = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "mangomast_claims_writes_total",
		Help: "Writes of claims to the store; one carries many claims.",
	})
	m.claimed = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "mangomast_claims_total",
		Help: "Claims of idempotency keys, by result.",
	}, []string{"result"})
	ctx.Registry.MustRegister(full, m.writes, m.claimed)
	m.ring = kernel.NewRing[*claim](m.Waiting, kernel.Refuse, full)
	m.mesh.Handle(mesh.KindIdempotencyKey, mesh.Typed(m.serveClaim))
	kernel.Provide(ctx, m)
	return nil
}

// Claim maps an organisation's key to the ID, unless the key is already mapped
// to another one. It blocks until the store has answered. After an error the
// request must not be run under this claim.
func (m *Module) Claim(ctx context.Context, organisation, key, id string) (Record, error) {
	record, err := m.claim(ctx, claimMessage{Key: m.storeKey(organisation, key), ID: id})
	m.countResult(record, err)
	return record, err
}

func (m *Module) countResult(record Record, err error) {
	switch {
	case err != nil:
		m.claimed.WithLabelValues("failed").Inc()
	case record.Won:
		m.claimed.WithLabelValues("won").Inc()
	default:
		m.claimed.WithLabelValues("found").Inc()
	}
}

// Replace maps the key to another ID after the node that the old ID is pinned
// to has closed it. If several nodes try, one succeeds and the others get its
// record.
func (m *Module) Replace(ctx context.Context, organisation, key string, old Record, id string) (Record, error) {
	storeKey := m.storeKey(organisation, key)
	if old.Revision == 0 {
		current, err := m.read(ctx, storeKey, old.ID)
		if err != nil || current.ID != old.ID {
			return current, err
		}
		old = current
	}
	lease, err := m.currentLease(ctx)
	if err != nil {
		return Record{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	txn := store.Txn{
		Compares: []store.Compare{{Key: storeKey, Revision: old.Revision}},
		Puts:     []store.Put{{Key: storeKey, Value: []byte(id), Lease: lease}},
	}
	if _, err = m.store.Commit(ctx, txn); err != nil && !errors.Is(err, store.ErrOutcomeUnknown) {
		return Record{}, err
	}
	return m.read(ctx, storeKey, id)
}

// storeKey returns the store key for an organisation's key. The hash scopes it
// by organisation and gives it a fixed length.
func (m *Module) storeKey(organisation, key string) string {
	sum := sha256.Sum256([]byte(organisation + "\x00" + key))
	return m.prefix + hex.EncodeToString(sum[:])
}

// read returns the record of a key; Won is set if the record contains the ID. A
// missing record is an error, because a write whose response was lost may still
// take effect.
func (m *Module) read(ctx context.Context, storeKey, id string) (Record, error) {
	listing, err := m.store.Get(ctx, storeKey)
	if err != nil {
		return Record{}, err
	}
	if len(listing.Records) == 0 {
		return Record{}, errNoRecord
	}
	return newRecord(listing.Records[0], id), nil
}

// newRecord converts a store record for a claim of the ID.
func newRecord(found store.Record, id string) Record {
	return Record{ID: string(found.Value), Won: string(found.Value) == id, Revision: found.ModRevision}
}

var errNoRecord = errors.New("the claim is not in the store")
