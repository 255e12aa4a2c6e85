package roster

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"github.com/apex/log"
	"github.com/pkg/errors"
	"github.com/zeebo/xxh3"

	"github.com/mangomast/mangomast/kernel"
	"github.com/mangomast/mangomast/membership"
	"github.com/mangomast/mangomast/store"
)

const (
	// departureLease is how long the store keeps a departure. An upstream serves
	// for seconds after its notice of leaving, and announcements from before the
	// notice may be delayed for seconds more.
	departureLease = 2 * time.Minute
	// departureStoreTimeout and departurePeerTimeout bound the two ways of writing
	// a departure to the store. Together they are shorter than the second within which
	// upstreams expect an answer to their notice.
	departureStoreTimeout = 500 * time.Millisecond
	departurePeerTimeout  = 400 * time.Millisecond
	// departureReadTimeout bounds reading the departures, by this node and through
	// others. It is longer than a slow store takes to answer.
	departureReadTimeout = 3 * time.Second
	// minReadBackoff and maxReadBackoff bound the backoff between attempts to read
	// the departures or to write them again.
	minReadBackoff = 200 * time.Millisecond
	maxReadBackoff = 2 * time.Second
)

// OnDeparture registers a function that is called with each departure that an
// earlier incarnation of this node recorded. It must be called before the node
// starts; the function must not block.
func (m *Module) OnDeparture(f func(membership.Departure)) {
	m.departureHandlers = append(m.departureHandlers, f)
}

func (m *Module) handleDeparture(departed membership.Departure) {
	if departed.Instance == "" {
		return
	}
	for _, f := range m.departureHandlers {
		f(departed)
	}
}

// KeepDeparture blocks until the store has the departure, written by this node or, if
// the store does not confirm that in time, by another one. Nothing else outlives all
// nodes: the entry ends with its lease, and other nodes may end with this one.
// KeepDeparture returns an error after departureStoreTimeout and departurePeerTimeout,
// or when ctx is done. Other nodes learn of the departure in any case.
func (m *Module) KeepDeparture(ctx context.Context, departed membership.Departure) error {
	err := m.storeDeparture(ctx, m.mesh.Self().VM, departed)
	if err == nil {
		m.recordStored(departed)
		return nil
	}
	if m.Self().Departed != departed {
		m.Announce(func(e *membership.Entry) { e.Departed = departed })
	}
	if m.storeThroughPeers(ctx, departed) {
		m.log.WithError(err).WithFields(log.Fields{"instance": departed.Instance, "born": departed.Born}).
			Warn("the store did not confirm an upstream's departure to this node; another node has written it")
		m.recordStored(departed)
		return nil
	}
	return errors.Wrap(err, "the store did not confirm, and no other node could write the departure")
}

// storeDeparture writes a departure of a VM under a key and a lease of its own, so that
// a delayed write replaces no other one.
func (m *Module) storeDeparture(ctx context.Context, vm string, departed membership.Departure) error {
	ctx, cancel := context.WithTimeout(ctx, departureStoreTimeout)
	defer cancel()
	value, err := json.Marshal(departed)
	if err != nil {
		return errors.Wrap(err, "encode departure")
	}
	lease, err := m.store.Grant(ctx, departureLease)
	m.recordCall("grant", err)
	if err != nil {
		return err
	}
	key := fmt.Sprintf("%s%016x", m.departurePrefix(vm), xxh3.Hash(value))
	_, err = m.store.Commit(ctx, store.Txn{Puts: []store.Put{{Key: key, Value: value, Lease: lease}}})
	m.recordCall("put", err)
	return err
}

// storedDeparture is a departure of this VM that was in the store.
type storedDeparture struct {
	departed membership.Departure
	at       time.Time
}

// maxStoredDepartures bounds the departures that are written again after a restoration of
// the store. The oldest are dropped.
const maxStoredDepartures = 16

func (m *Module) recordStored(departed membership.Departure) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if slices.ContainsFunc(m.storedDepartures, func(s storedDeparture) bool { return s.departed == departed }) {
		return
	}
	m.storedDepartures = append(m.storedDepartures, storedDeparture{departed, m.clock.Now()})
	m.storedDepartures = m.storedDepartures[max(0, len(m.storedDepartures)-maxStoredDepartures):]
}

// restoreDepartures writes departures again after restorations of the store, which may
// have lost them.
func (m *Module) restoreDepartures(ctx context.Context) error {
	for {
		select {
		case <-m.departuresLost:
		case <-ctx.Done():
			return ctx.Err()
		}
		for backoff := minReadBackoff; !m.rewriteDepartures(ctx); backoff = min(2*backoff, maxReadBackoff) {
			if err := kernel.SleepWithJitter(ctx, m.clock, backoff); err != nil {
				return err
			}
		}
	}
}

// rewriteDepartures writes the departures that matter still, and reports whether the store
// has confirmed them all.
func (m *Module) rewriteDepartures(ctx context.Context) bool {
	m.mu.Lock()
	stored, now := slices.Clone(m.storedDepartures), m.clock.Now()
	m.mu.Unlock()
	for _, s := range stored {
		if now.Sub(s.at) < departureLease && m.storeDeparture(ctx, m.mesh.Self().VM, s.departed) != nil {
			return false
		}
	}
	return true
}

// departurePrefix is the prefix of the keys of a VM's departures.
func (m *Module) departurePrefix(vm string) string { return m.storePrefix + "departed/" + vm + "/" }

// readDepartures reads the departures that earlier incarnations of this node left
// in the store, or has another node read them. It retries until one of them succeeds.
// The read is linearizable: a node may be restarted right after it has confirmed a
// notice of leaving.
func (m *Module) readDepartures(ctx context.Context) error {
	for backoff := minReadBackoff; !m.readDeparturesOnce(ctx); backoff = min(2*backoff, maxReadBackoff) {
		if err := kernel.SleepWithJitter(ctx, m.clock, backoff); err != nil {
			return err
		}
	}
	close(m.departuresRead)
	<-ctx.Done()
	return ctx.Err()
}

// KnowsDepartures reports whether this node has learned which upstreams gave notice of
// leaving to earlier incarnations of it.
func (m *Module) KnowsDepartures() bool {
	select {
	case <-m.departuresRead:
		return true
	default:
		return false
	}
}

// readDeparturesOnce asks other nodes if the store refuses the read, or leaves it without
// an answer for some time.
func (m *Module) readDeparturesOnce(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, departureReadTimeout)
	defer cancel()
	type result struct {
		departures []membership.Departure
		err        error
	}
	own := make(chan result, 1)
	go func() {
		departures, err := m.listDepartures(ctx, m.mesh.Self().VM)
		own <- result{departures, err}
	}()
	select {
	case read := <-own:
		if read.err == nil {
			m.handleStored(read.departures)
			return true
		}
		own <- read
	case <-m.clock.After(departureStoreTimeout):
	case <-ctx.Done():
		return false
	}
	if departures, ok := m.readThroughPeers(ctx); ok {
		m.handleStored(departures)
		return true
	}
	read := <-own
	if read.err == nil {
		m.handleStored(read.departures)
	}
	return read.err == nil
}

// handleStored handles departures of this VM that the store has.
func (m *Module) handleStored(departures []membership.Departure) {
	for _, departed := range departures {
		m.recordStored(departed)
		m.handleDeparture(departed)
	}
}

// listDepartures reads the departures of a VM from the store.
func (m *Module) listDepartures(ctx context.Context, vm string) ([]membership.Departure, error) {
	ctx, cancel := context.WithTimeout(ctx, departureReadTimeout)
	defer cancel()
	listing, err := m.store.List(ctx, m.departurePrefix(vm))
	m.recordCall("departures", err)
	if err != nil {
		return nil, err
	}
	var departures []membership.Departure
	for _, record := range listing.Records {
		var departed membership.Departure
		if err := json.Unmarshal(record.Value, &departed); err != nil {
			m.log.WithError(err).WithField("key", record.Key).Warn("ignoring an invalid departure in the store")
			continue
		}
		departures = append(departures, departed)
	}
	return departures, nil
}
