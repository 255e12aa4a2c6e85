// Package claims ties callers' own idempotency keys to request IDs: the first
// to create a key's record in the store decides the ID, and with it the one
// node incarnation that may run the request.
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

	"github.com/mangomast/mangomast/finding"
	"github.com/mangomast/mangomast/jsonc"
	"github.com/mangomast/mangomast/kernel"
	storeplugin "github.com/mangomast/mangomast/plugin/store"
	"github.com/mangomast/mangomast/store"
)

// ID is the module's ID.
const ID kernel.ID = "claims"

const (
	keyPrefix        = "claims/"
	defaultRetention = 24 * time.Hour
	defaultRing      = 1024
	maxBatch         = 64
	writeTimeout     = 1500 * time.Millisecond
	// leaseRenewals is the number of leases made in one retention.
	leaseRenewals = 24
)

func init() {
	kernel.Register(kernel.ModuleInfo{
		ID:    ID,
		Needs: []kernel.ID{storeplugin.ID},
		New: func() kernel.Module {
			return &Module{Retention: jsonc.Duration(defaultRetention), Waiting: defaultRing}
		},
	})
}

// Module claims idempotency keys. It is safe for concurrent use.
type Module struct {
	// Retention is how long a claim is kept at least; a key must not be used
	// for another request before twice that.
	Retention jsonc.Duration `json:"retention"`
	// Waiting bounds the claims that wait for the store.
	Waiting int `json:"waiting"`

	clock   clockwork.Clock
	log     log.Interface
	store   store.Store
	prefix  string
	ring    *kernel.Ring[*claim]
	writes  prometheus.Counter
	claimed *prometheus.CounterVec

	mu      sync.Mutex
	lease   store.LeaseID
	renewAt time.Time
}

var (
	_ kernel.Module      = (*Module)(nil)
	_ kernel.Validator   = (*Module)(nil)
	_ kernel.ActorSource = (*Module)(nil)
)

// Record says which request ID holds a key.
type Record struct {
	ID string
	// Won is true if this claim created the record, so that nobody else has
	// sent the request.
	Won bool
	// Revision is the store's revision of the record; 0 if not known.
	Revision int64
}

// claim is one caller's wish for a key.
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
}

// Provision implements kernel.Module.
func (m *Module) Provision(ctx *kernel.Context) error {
	var err error
	if m.store, err = kernel.Require[store.Store](ctx); err != nil {
		return err
	}
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
	kernel.Provide(ctx, m)
	return nil
}

// Claim ties an organisation's key to the ID unless it is tied to another
// one. It blocks until the store has answered. After an error the request must
// not be run by this claim.
func (m *Module) Claim(ctx context.Context, organisation, key, id string) (Record, error) {
	c := &claim{key: m.storeKey(organisation, key), id: id, done: make(chan result, 1)}
	if err := m.ring.Push(ctx, c); err != nil {
		m.claimed.WithLabelValues("failed").Inc()
		return Record{}, err
	}
	select {
	case r := <-c.done:
		m.count(r)
		return r.record, r.err
	case <-ctx.Done():
		return Record{}, ctx.Err()
	}
}

func (m *Module) count(r result) {
	switch {
	case r.err != nil:
		m.claimed.WithLabelValues("failed").Inc()
	case r.record.Won:
		m.claimed.WithLabelValues("won").Inc()
	default:
		m.claimed.WithLabelValues("found").Inc()
	}
}

// Replace ties the key to another ID after the node that the old one names has
// closed it. Of several nodes that try, one wins; the others get its record.
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

// storeKey scopes a key by its organisation and bounds its length.
func (m *Module) storeKey(organisation, key string) string {
	sum := sha256.Sum256([]byte(organisation + "\x00" + key))
	return m.prefix + hex.EncodeToString(sum[:])
}

// read returns the record of a key; it is won if it holds the ID. A missing
// record is an error: a write whose answer was lost may still arrive.
func (m *Module) read(ctx context.Context, storeKey, id string) (Record, error) {
	listing, err := m.store.Get(ctx, storeKey)
	if err != nil {
		return Record{}, err
	}
	if len(listing.Records) == 0 {
		return Record{}, errAbsent
	}
	found := listing.Records[0]
	return Record{ID: string(found.Value), Won: string(found.Value) == id, Revision: found.ModRevision}, nil
}

var errAbsent = errors.New("the claim is not in the store")
