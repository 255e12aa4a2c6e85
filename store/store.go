// Package store defines the interface to the platform's key-value store with
// compare-and-swap, leases and watches. The store limits calls and open watches,
// so callers must use them sparingly.
package store

import (
	"context"
	"math"
	"time"

	"github.com/pkg/errors"
)

var (
	// ErrUnavailable means that the store refused the call or could not be
	// reached. A write did not take effect.
	ErrUnavailable = errors.New("store is unavailable")
	// ErrOutcomeUnknown means that the store did not answer. A write may have
	// taken effect; callers find out by reading back.
	ErrOutcomeUnknown = errors.New("store did not answer; the write may have taken effect")
)

// Record is a key with its value.
type Record struct {
	Key   string
	Value []byte
	// ModRevision is the store's revision of the last write to the key; 0 if
	// the key does not exist.
	ModRevision int64
}

// Listing is the result of a read.
type Listing struct {
	Records []Record
	// Revision is the store's revision at the time of the read.
	Revision int64
}

// Compare is a condition of a Txn. It holds if the key's ModRevision equals
// Revision; a Revision of 0 requires that the key does not exist.
type Compare struct {
	Key      string
	Revision int64
}

// Put is a write of a Txn.
type Put struct {
	Key   string
	Value []byte
	// Lease is the lease to which the key is attached; 0 for none.
	Lease LeaseID
}

// Txn is a transaction that applies all puts and deletes atomically if all
// compares hold.
type Txn struct {
	Compares []Compare
	Puts     []Put
	Deletes  []string
	// Reads are the keys to read if a compare does not hold.
	Reads []string
}

// TxnResult is the store's response to a Txn.
type TxnResult struct {
	// Succeeded is false if a compare did not hold and nothing was written.
	Succeeded bool
	// Revision is the store's revision after the transaction.
	Revision int64
	// Records are the existing records among Txn.Reads; empty if Succeeded.
	Records []Record
}

// LeaseID identifies a lease.
type LeaseID int64

// Event is a change reported by a watch.
type Event struct {
	Record Record
	// Deleted is true if the key was deleted or its lease expired.
	Deleted bool
}

// WatchBatch contains the events of one message of a watch.
type WatchBatch struct {
	Events   []Event
	Revision int64
}

// RestoreNotifier is implemented by stores that operators may restore from a copy, which
// loses the latest writes and leases although the store acknowledged them. Revisions rise
// across a restoration. A watch ends with ErrUnavailable.
type RestoreNotifier interface {
	// OnRestore registers a function that is called soon after a restoration. It must
	// be called before the store is used; the function must not block.
	OnRestore(func())
}

// Store is the platform's key-value store. All methods are safe for concurrent
// use and block until the store answers or the context ends. Errors wrap
// ErrUnavailable or ErrOutcomeUnknown.
type Store interface {
	// Get reads one key. If it does not exist, the Listing has no records.
	Get(ctx context.Context, key string) (Listing, error)
	// List reads all keys that start with prefix, in order.
	List(ctx context.Context, prefix string) (Listing, error)
	// ListStale is like List but reads from one replica, which may be seconds
	// behind. It is cheaper for the store.
	ListStale(ctx context.Context, prefix string) (Listing, error)
	// ListRevisions reads all keys that start with prefix, in order. An
	// implementation may omit their values.
	ListRevisions(ctx context.Context, prefix string) (Listing, error)
	// Commit executes a transaction.
	Commit(ctx context.Context, txn Txn) (TxnResult, error)
	// Watch calls handle for each batch of changes to keys that start with
	// prefix, beginning with revision from. It returns when the context ends or
	// the connection is lost. The handler runs on the caller's goroutine. An
	// implementation that makes a call for each wait makes longer ones while prompt
	// returns false, and may then notice late that a connection went silent.
	Watch(ctx context.Context, prefix string, from int64, prompt func() bool, handle func(WatchBatch)) error
	// Grant creates a lease.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// KeepAlive renews a lease and returns its remaining time, which is zero if
	// the lease has expired.
	KeepAlive(ctx context.Context, id LeaseID) (time.Duration, error)
	// Revoke revokes a lease and deletes the keys attached to it.
	Revoke(ctx context.Context, id LeaseID) error
}

// Lifetime returns the remaining time of a lease that a store states as a number of
// units. One that does not fit into a time.Duration becomes the longest.
func Lifetime(count int64, unit time.Duration) time.Duration {
	if count > int64(math.MaxInt64/unit) {
		return math.MaxInt64
	}
	return time.Duration(max(0, count)) * unit
}
