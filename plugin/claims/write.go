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
	maxConcurrentReads = 8
	maxWriteAttempts   = 3
)

// Actors implements kernel.ActorSource.
func (m *Module) Actors() []kernel.Actor {
	return []kernel.Actor{{Name: "write", Run: m.run}}
}

// run writes all queued claims in one transaction, then those that were queued
// meanwhile in the next. Batches grow while it waits for the rate limiter.
func (m *Module) run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case first := <-m.ring.C():
			if err := m.awaitWriteSlot(ctx); err != nil {
				return err
			}
			m.writeBatch(ctx, m.collect(first))
		}
	}
}

func (m *Module) collect(first *claim) []*claim {
	batch := []*claim{first}
	for len(batch) < m.MaxBatch {
		select {
		case next := <-m.ring.C():
			batch = append(batch, next)
		default:
			return batch
		}
	}
	return batch
}

// writeBatch writes a batch and answers every claim in it. A transaction creates
// all records or none. One whose condition fails returns the records of the keys
// that already exist, and the remaining claims are retried.
func (m *Module) writeBatch(ctx context.Context, batch []*claim) {
	ctx, cancel := context.WithTimeout(ctx, maxWriteAttempts*writeTimeout)
	defer cancel()
	var err error
	for attempt := 0; attempt < maxWriteAttempts && len(batch) > 0; attempt++ {
		if attempt > 0 && m.awaitWriteSlot(ctx) != nil {
			break
		}
		var done store.TxnResult
		done, err = m.create(ctx, batch)
		switch {
		case errors.Is(err, store.ErrOutcomeUnknown):
			m.readAll(ctx, batch)
			return
		case err == nil && done.Succeeded:
			resolveCreated(batch, done.Revision)
			return
		case err == nil:
			batch = resolveTaken(batch, done.Records)
		default:
			attempt = maxWriteAttempts
		}
	}
	for _, c := range batch {
		c.done <- result{err: errors.Wrap(firstError(err, errNoRecord), "claim idempotency key")}
	}
}

func firstError(first, second error) error {
	if first != nil {
		return first
	}
	return second
}

// create writes the records of all keys of the batch if none exists. If a batch
// has several claims of a key, the first one is written.
func (m *Module) create(ctx context.Context, batch []*claim) (store.TxnResult, error) {
	lease, err := m.currentLease(ctx)
	if err != nil {
		return store.TxnResult{}, err
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
		txn.Reads = append(txn.Reads, c.key)
	}
	m.writes.Inc()
	return m.store.Commit(ctx, txn)
}

// resolveCreated answers the claims of a batch whose records were created.
func resolveCreated(batch []*claim, revision int64) {
	winner := map[string]string{}
	for _, c := range batch {
		if winner[c.key] == "" {
			winner[c.key] = c.id
		}
		c.done <- result{record: Record{ID: winner[c.key], Won: winner[c.key] == c.id, Revision: revision}}
	}
}

// resolveTaken answers the claims whose keys already have a record and returns
// the others.
func resolveTaken(batch []*claim, records []store.Record) []*claim {
	taken := map[string]store.Record{}
	for _, record := range records {
		taken[record.Key] = record
	}
	var unresolved []*claim
	for _, c := range batch {
		if record, ok := taken[c.key]; ok {
			c.done <- result{record: newRecord(record, c.id)}
			continue
		}
		unresolved = append(unresolved, c)
	}
	return unresolved
}

// readAll answers the claims of a batch whose write got no response by reading
// the records back. A key without a record may still get one, so its claim
// fails.
func (m *Module) readAll(ctx context.Context, batch []*claim) {
	var group errgroup.Group
	group.SetLimit(maxConcurrentReads)
	for _, c := range batch {
		group.Go(func() error {
			record, err := m.read(ctx, c.key, c.id)
			c.done <- result{record: record, err: err}
			return nil
		})
	}
	_ = group.Wait()
}

// currentLease returns the lease that new records are attached to. Its TTL
// covers the period in which records are attached and the retention after it,
// so every record is stored for at least the retention.
func (m *Module) currentLease(ctx context.Context) (store.LeaseID, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.clock.Now()
	if m.lease != 0 && now.Before(m.renewAt) {
		return m.lease, nil
	}
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	period := m.Retention.Std() / leaseRenewals
	lease, err := m.store.Grant(ctx, (m.Retention.Std() + 2*period).Round(time.Second))
	if err != nil {
		return 0, err
	}
	m.lease, m.renewAt = lease, now.Add(period)
	return lease, nil
}
