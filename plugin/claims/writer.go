package claims

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/time/rate"

	"github.com/mangomast/mangomast/kernel"
	"github.com/mangomast/mangomast/membership"
	"github.com/mangomast/mangomast/mesh"
)

const (
	// remoteClaimTimeout allows a writer all its write attempts and the wait for
	// its rate limiter.
	remoteClaimTimeout = (maxWriteAttempts + 1) * writeTimeout
	// unresponsiveFor is how long a writer that did not answer is skipped.
	unresponsiveFor = 2 * time.Second
	// writeBurst is the burst of the write rate limiter, in writes.
	writeBurst = 2
)

// claimMessage asks a writer to map a store key to a request ID.
type claimMessage struct {
	Key string `cbor:"1,keyasint"`
	ID  string `cbor:"2,keyasint"`
}

// claim sends the claim to the writer of this node's failure domain, which is
// the first of its relays that answers. Sending it to several writers is safe,
// as all of them create the key for the same ID. If none answers, this node
// writes the claim itself.
func (m *Module) claim(ctx context.Context, message claimMessage) (Record, error) {
	for _, writer := range m.writers() {
		record, err := m.claimRemote(ctx, writer, message)
		var remote *mesh.RemoteError
		if err == nil || errors.As(err, &remote) || ctx.Err() != nil {
			return record, err
		}
		m.log.WithError(err).WithField("vm", writer.VM).Debug("claim writer did not answer; trying the next one or writing the claim here")
		m.markUnresponsive(writer.VM)
	}
	return m.claimLocal(ctx, message)
}

// writers returns the relays that rank before this node, without those that
// recently did not answer.
func (m *Module) writers() []membership.Entry {
	if m.Direct {
		return nil
	}
	relays, rank := m.relays.Position()
	if rank >= 0 {
		relays = relays[:rank]
	}
	now := m.clock.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	var usable []membership.Entry
	for _, relay := range relays {
		if now.After(m.unresponsive[relay.VM]) {
			usable = append(usable, relay)
		}
	}
	return usable
}

func (m *Module) markUnresponsive(vm string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.clock.Now()
	for other, until := range m.unresponsive {
		if now.After(until) {
			delete(m.unresponsive, other)
		}
	}
	m.unresponsive[vm] = now.Add(unresponsiveFor)
}

func (m *Module) claimRemote(ctx context.Context, writer membership.Entry, message claimMessage) (Record, error) {
	ctx, cancel := context.WithTimeout(ctx, remoteClaimTimeout)
	defer cancel()
	var record Record
	peer := mesh.Peer{VM: writer.VM, Address: writer.MeshAddress}
	err := m.mesh.Exchange(ctx, peer, mesh.KindIdempotencyKey, message, &record)
	return record, err
}

// serveClaim writes a claim of another node.
func (m *Module) serveClaim(ctx context.Context, _ mesh.Identity, message claimMessage) (Record, error) {
	return m.claimLocal(ctx, message)
}

// claimLocal queues the claim for this node's next write and waits for the
// result.
func (m *Module) claimLocal(ctx context.Context, message claimMessage) (Record, error) {
	c := &claim{key: message.Key, id: message.ID, done: make(chan result, 1)}
	if err := m.ring.Push(ctx, c); err != nil {
		return Record{}, err
	}
	select {
	case r := <-c.done:
		return r.record, r.err
	case <-ctx.Done():
		return Record{}, ctx.Err()
	}
}

// awaitWriteSlot waits until the rate limiter allows a write. The failure domains
// divide StoreWrites evenly, so the write rate does not grow with the number of
// nodes.
func (m *Module) awaitWriteSlot(ctx context.Context) error {
	if m.Direct {
		return nil
	}
	domains := 1
	if snapshot := m.config.Snapshot(); snapshot != nil {
		domains = max(1, len(snapshot.Document.Domains))
	}
	now := m.clock.Now()
	m.writeLimiter.SetLimitAt(now, rate.Limit(m.StoreWrites/float64(domains)))
	reservation := m.writeLimiter.ReserveN(now, 1)
	return kernel.Sleep(ctx, m.clock, reservation.DelayFrom(now))
}
