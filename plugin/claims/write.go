package claims

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"github.com/mangomast/mangomast/kernel"
	"github.com/mangomast/mangomast/store"
)

const (
	maxReaders = 8
	maxRounds  = 3
)

// Actors implements kernel.ActorSource.
func (m *Module) Actors() []kernel.Actor {
	return []kernel.Actor{{Name: "write", Run: m.run}}
}

// run writes all claims that wait in one transaction, then those that came
// meanwhile in the next.
func (m *Module) run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case first := <-m.ring.C():
			m.settle(ctx, m.collect(first))
		}
	}
}

func (m *Module) collect(first *claim) []*claim {
	batch := []*claim{first}
	for len(batch) < maxBatch {
		select {
		case next := <-m.ring.C():
			batch = append(batch, next)
		default:
			return batch
		}
	}
	return batch
}

// settle answers every claim of a batch. A transaction creates all records or
// none; after one that failed, the keys that are taken are read and the rest
// is tried again.
func (m *Module) settle(ctx context.Context, batch []*claim) {
	ctx, cancel := context.WithTimeout(ctx, maxRounds*writeTimeout)
	defer cancel()
	var err error
	for round := 0; round < maxRounds && len(batch) > 0; round++ {
		var created bool
		if created, err = m.create(ctx, batch); created {
			return
		}
		lost := errors.Is(err, store.ErrOutcomeUnknown)
		if err != nil && !lost {
			break
		}
		batch = m.readAll(ctx, batch, lost)
	}
	for _, c := range batch {
		c.done <- result{err: errors.Wrap(firstError(err, errAbsent), "claim idempotency key")}
	}
}

func firstError(first, second error) error {
	if first != nil {
		return first
	}
	return second
}

// create writes the records of all keys of the batch, if none exists. The
// first claim of a key stands for those of the same batch.
func (m *Module) create(ctx context.Context, batch []*claim) (bool, error) {
	lease, err := m.currentLease(ctx)
	if err != nil {
		return false, err
	}
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	txn := store.Txn{}
	seen := map[string]bool{}
	for _, c := range batch {
		if seen[c.key] {
			continue
		}
		seen[c.key] = true
		txn.Compares = append(txn.Compares, store.Compare{Key: c.key})
		txn.Puts = append(txn.Puts, store.Put{Key: c.key, Value: []byte(c.id), Lease: lease})
	}
	m.writes.Inc()
	done, err := m.store.Commit(ctx, txn)
	if err != nil || !done.Succeeded {
		return false, err
	}
	winner := map[string]string{}
	for _, c := range batch {
		if winner[c.key] == "" {
			winner[c.key] = c.id
		}
		c.done <- result{record: Record{ID: winner[c.key], Won: winner[c.key] == c.id, Revision: done.Revision}}
	}
	return true, nil
}

// readAll answers the claims whose keys have a record and returns the others.
// After a write whose answer was lost, a key without a record may still get
// one, so its claim fails.
func (m *Module) readAll(ctx context.Context, batch []*claim, lost bool) []*claim {
	absent := make([]bool, len(batch))
	var group errgroup.Group
	group.SetLimit(maxReaders)
	for i, c := range batch {
		group.Go(func() error {
			record, err := m.read(ctx, c.key, c.id)
			if errors.Is(err, errAbsent) && !lost {
				absent[i] = true
				return nil
			}
			c.done <- result{record: record, err: err}
			return nil
		})
	}
	_ = group.Wait()
	var rest []*claim
	for i, c := range batch {
		if absent[i] {
			rest = append(rest, c)
		}
	}
	return rest
}

// currentLease returns the lease that new records are attached to. It lasts
// for the retention and as long as it is handed out.
func (m *Module) currentLease(ctx context.Context) (store.LeaseID, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.clock.Now()
	if m.lease != 0 && now.Before(m.renewAt) {
		return m.lease, nil
	}
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	use := m.Retention.Std() / leaseRenewals
	lease, err := m.store.Grant(ctx, (m.Retention.Std() + 2*use).Round(time.Second))
	if err != nil {
		return 0, err
	}
	m.lease, m.renewAt = lease, now.Add(use)
	return lease, nil
}
