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
// meanwhile in the next. Batches grow while it waits for its turn.
func (m *Module) run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case first := <-m.ring.C():
			if err := m.awaitTurn(ctx); err != nil {
				return err
			}
			m.settle(ctx, m.collect(first))
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

// settle answers every claim of a batch. A transaction creates all records or
// none; one that fails reads the keys that are taken, and the rest is tried
// again.
func (m *Module) settle(ctx context.Context, batch []*claim) {
	ctx, cancel := context.WithTimeout(ctx, maxRounds*writeTimeout)
	defer cancel()
	var err error
	for round := 0; round < maxRounds && len(batch) > 0; round++ {
		if round > 0 && m.awaitTurn(ctx) != nil {
			break
		}
		var done store.TxnResult
		done, err = m.create(ctx, batch)
		switch {
		case errors.Is(err, store.ErrOutcomeUnknown):
			m.readAll(ctx, batch)
			return
		case err == nil && done.Succeeded:
			answerCreated(batch, done.Revision)
			return
		case err == nil:
			batch = answerTaken(batch, done.Records)
		default:
			round = maxRounds
		}
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

// answerCreated answers the claims of a batch whose records were created.
func answerCreated(batch []*claim, revision int64) {
	winner := map[string]string{}
	for _, c := range batch {
		if winner[c.key] == "" {
			winner[c.key] = c.id
		}
		c.done <- result{record: Record{ID: winner[c.key], Won: winner[c.key] == c.id, Revision: revision}}
	}
}

// answerTaken answers the claims whose keys have a record and returns the
// others.
func answerTaken(batch []*claim, records []store.Record) []*claim {
	taken := map[string]store.Record{}
	for _, record := range records {
		taken[record.Key] = record
	}
	var rest []*claim
	for _, c := range batch {
		if record, ok := taken[c.key]; ok {
			c.done <- result{record: recordOf(record, c.id)}
			continue
		}
		rest = append(rest, c)
	}
	return rest
}

// readAll answers the claims of a batch whose write was not answered. A key
// without a record may still get one, so its claim fails.
func (m *Module) readAll(ctx context.Context, batch []*claim) {
	var group errgroup.Group
	group.SetLimit(maxReaders)
	for _, c := range batch {
		group.Go(func() error {
			record, err := m.read(ctx, c.key, c.id)
			c.done <- result{record: record, err: err}
			return nil
		})
	}
	_ = group.Wait()
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
