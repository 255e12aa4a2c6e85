package claims

import (
	"context"
	"fmt"
	"net"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/jonboulle/clockwork"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"
	"golang.org/x/time/rate"
	"gotest.tools/v3/assert"

	"github.com/mangomast/mangomast/config"
	"github.com/mangomast/mangomast/internal/standin"
	"github.com/mangomast/mangomast/jsonc"
	"github.com/mangomast/mangomast/kernel"
	"github.com/mangomast/mangomast/membership"
	"github.com/mangomast/mangomast/mesh"
	"github.com/mangomast/mangomast/store/etcd"
)

func newTestModules(t *testing.T, count int) (*standin.Store, []*Module) {
	t.Helper()
	backend := standin.NewStore()
	server := httptest.NewServer(backend)
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	t.Cleanup(func() {
		cancel()
		group.Wait()
		server.Close()
	})
	modules := make([]*Module, count)
	for i := range modules {
		m := &Module{
			Retention: jsonc.Duration(time.Hour), clock: clockwork.NewRealClock(), log: log.Log,
			store: etcd.New(etcd.Options{Endpoints: []string{server.URL}}), prefix: "/claims/",
			ring:     kernel.NewRing[*claim](100, kernel.Refuse, nil),
			writes:   prometheus.NewCounter(prometheus.CounterOpts{Name: "writes"}),
			claimed:  prometheus.NewCounterVec(prometheus.CounterOpts{Name: "claims"}, []string{"result"}),
			MaxBatch: defaultMaxBatch, Direct: true,
		}
		group.Go(func() { _ = m.run(ctx) })
		modules[i] = m
	}
	return backend, modules
}

func TestOneClaimOfAKeyWins(t *testing.T) {
	for _, dropAnswerEvery := range []int{0, 2} {
		backend, modules := newTestModules(t, 3)
		backend.SetFaults(standin.Faults{DropAnswerEvery: dropAnswerEvery, DelayMillis: 2})
		var mu sync.Mutex
		winners, recorded := map[string]int{}, map[string]string{}
		var group sync.WaitGroup
		for i := range 120 {
			key, id := fmt.Sprint("key-", i%20), fmt.Sprint("id-", i)
			group.Go(func() {
				record, err := modules[i%len(modules)].Claim(t.Context(), "org", key, id)
				if err != nil {
					return
				}
				mu.Lock()
				defer mu.Unlock()
				if recorded[key] == "" {
					recorded[key] = record.ID
				}
				assert.Check(t, recorded[key] == record.ID, "%s is mapped to both %s and %s", key, recorded[key], record.ID)
				if record.Won {
					winners[key]++
				}
			})
		}
		group.Wait()
		for key, count := range winners {
			assert.Check(t, count == 1, "%s has %d winners", key, count)
		}
		assert.Assert(t, len(recorded) > 0)
		writes := 0.0
		for _, m := range modules {
			writes += testutil.ToFloat64(m.writes)
		}
		assert.Assert(t, writes < 120, "%g writes for 120 claims", writes)
	}
}

// emptySource is a config.Source without a snapshot yet.
type emptySource struct{ config.Source }

// Snapshot implements config.Source.
func (emptySource) Snapshot() *config.Snapshot { return nil }

// onlyRelay is the position of a node that is its failure domain's only relay.
type onlyRelay struct{}

// Position implements relays.
func (onlyRelay) Position() ([]membership.Entry, int) { return nil, 0 }

// unreachableRelay is the position of a node whose failure domain has one relay,
// which does not answer.
type unreachableRelay struct{ address string }

// Position implements relays.
func (r unreachableRelay) Position() ([]membership.Entry, int) {
	return []membership.Entry{{VM: "relay", MeshAddress: r.address}}, -1
}

func TestClaimIsWrittenLocallyIfNoWriterAnswers(t *testing.T) {
	_, modules := newTestModules(t, 1)
	m := modules[0]
	testMesh, err := mesh.New(mesh.Options{Self: mesh.Identity{VM: "self"}, Secret: "0123456789abcdef", Log: log.Log})
	assert.NilError(t, err)
	defer testMesh.Close()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	m.relays, m.mesh, m.config = unreachableRelay{listener.Addr().String()}, testMesh, emptySource{}
	assert.NilError(t, listener.Close())
	m.Direct, m.StoreWrites, m.writeLimiter, m.unresponsive = false, 1000, rate.NewLimiter(1000, writeBurst), map[string]time.Time{}
	assert.Equal(t, len(m.writers()), 1)
	record, err := m.Claim(t.Context(), "org", "key", "id")
	assert.NilError(t, err)
	assert.Assert(t, record.Won)
	assert.Equal(t, len(m.writers()), 0, "a writer that did not answer is skipped")
}

func TestWriteRateIsLimitedByBatching(t *testing.T) {
	const writesPerSecond, count = 20, 400
	backend, modules := newTestModules(t, 1)
	m := modules[0]
	m.Direct, m.StoreWrites, m.writeLimiter = false, writesPerSecond, rate.NewLimiter(writesPerSecond, writeBurst)
	m.config, m.relays = emptySource{}, onlyRelay{}
	started := time.Now()
	var group sync.WaitGroup
	for i := range count {
		time.Sleep(time.Millisecond)
		group.Go(func() {
			record, err := m.Claim(t.Context(), "org", fmt.Sprint("key-", i), fmt.Sprint("id-", i))
			assert.Check(t, err == nil && record.Won, "%v", err)
		})
	}
	group.Wait()
	maxWrites := writeBurst + writesPerSecond*time.Since(started).Seconds()
	assert.Assert(t, testutil.ToFloat64(m.writes) <= maxWrites, "%g writes", testutil.ToFloat64(m.writes))
	assert.Equal(t, len(backend.Keys("/claims/")), count)
}

func TestFailedWriteReturnsTakenKeys(t *testing.T) {
	backend, modules := newTestModules(t, 1)
	_, err := modules[0].Claim(t.Context(), "org", "taken", "first")
	assert.NilError(t, err)
	before := backend.Counts()
	batch := []*claim{
		{key: modules[0].storeKey("org", "taken"), id: "second", done: make(chan result, 1)},
		{key: modules[0].storeKey("org", "free"), id: "third", done: make(chan result, 1)},
	}
	modules[0].writeBatch(t.Context(), batch)
	taken, free := <-batch[0].done, <-batch[1].done
	assert.Equal(t, taken.record.ID, "first")
	assert.Assert(t, free.record.Won)
	after := backend.Counts()
	assert.Equal(t, after.Reads-before.Reads, int64(0))
	assert.Equal(t, after.Writes-before.Writes, int64(2))
}

func TestClaimFailsDuringStoreOutage(t *testing.T) {
	backend, modules := newTestModules(t, 1)
	backend.SetFaults(standin.Faults{Outage: true})
	_, err := modules[0].Claim(t.Context(), "org", "key", "id-1")
	assert.Assert(t, err != nil)
	backend.SetFaults(standin.Faults{})
	record, err := modules[0].Claim(t.Context(), "org", "key", "id-2")
	assert.NilError(t, err)
	assert.Assert(t, record.Won)
}

func TestOneReplacementOfAClosedIDWins(t *testing.T) {
	_, modules := newTestModules(t, 2)
	old, err := modules[0].Claim(t.Context(), "org", "key", "old")
	assert.NilError(t, err)
	first, err := modules[0].Replace(t.Context(), "org", "key", old, "first")
	assert.NilError(t, err)
	assert.Assert(t, first.Won)
	second, err := modules[1].Replace(t.Context(), "org", "key", old, "second")
	assert.NilError(t, err)
	assert.Equal(t, second.ID, "first")
	other, err := modules[1].Claim(t.Context(), "another", "key", "third")
	assert.NilError(t, err)
	assert.Assert(t, other.Won, "keys are scoped by organisation")
}
