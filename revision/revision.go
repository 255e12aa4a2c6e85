// Package revision decides about the stream of configuration revisions: how
// a node knows that what it holds is the latest (freshness), when a revision
// is in force everywhere (acceptance), and what is sent to a node that holds
// an older one (deltas). It has no goroutine, socket or clock of its own.
//
// The store alone decides which revision comes next. Freshness and acceptance
// only witness it: nothing is replicated or elected.
package revision

import (
	"slices"
	"strings"
	"time"
)

// DefaultBound is the age up to which a proof of freshness counts.
const DefaultBound = 3 * time.Second

// Value is one key of the stream.
type Value struct {
	// Name is the key without the stream's prefix.
	Name string `cbor:"1,keyasint"`
	// Revision is the store's revision of the last write to the key.
	Revision int64  `cbor:"2,keyasint"`
	Data     []byte `cbor:"3,keyasint"`
}

// State is the whole stream at one revision. It is immutable.
type State struct {
	// Revision is the highest revision of the values.
	Revision int64 `cbor:"1,keyasint"`
	// Values are ordered by name.
	Values []Value `cbor:"2,keyasint"`
}

// NewState returns the state that the values make up.
func NewState(values []Value) *State {
	s := &State{Values: slices.SortedFunc(slices.Values(values), compareValues)}
	for _, v := range values {
		s.Revision = max(s.Revision, v.Revision)
	}
	return s
}

// Value returns the value with the name; its zero value if there is none.
func (s *State) Value(name string) Value {
	if s == nil {
		return Value{}
	}
	i, found := slices.BinarySearchFunc(s.Values, Value{Name: name}, compareValues)
	if !found {
		return Value{}
	}
	return s.Values[i]
}

func compareValues(a, b Value) int { return strings.Compare(a.Name, b.Name) }

// Freshness is the proof that a node's revision is the latest. A proof made
// at a time T says that no later revision had been accepted at T. It stays
// valid when the node takes in a later revision.
type Freshness struct {
	// store is when the store was last read, quorum when a majority of the
	// witnesses last attested the node's revision.
	store, quorum time.Time
}

// ProveByStore notes that the store, read at the time, had no later revision.
func (f *Freshness) ProveByStore(at time.Time) {
	if at.After(f.store) {
		f.store = at
	}
}

// ProveByQuorum notes that a majority of the witnesses attested the node's
// revision, the oldest of them at the time.
func (f *Freshness) ProveByQuorum(at time.Time) {
	if at.After(f.quorum) {
		f.quorum = at
	}
}

// Store returns when the store was last read, by whomever.
func (f *Freshness) Store() time.Time { return f.store }

// Quorum returns when the witnesses last attested.
func (f *Freshness) Quorum() time.Time { return f.quorum }

// At returns the time of the latest proof; zero if there is none.
func (f *Freshness) At() time.Time {
	if f.quorum.After(f.store) {
		return f.quorum
	}
	return f.store
}

// Age returns the age of the latest proof; ok is false if there is none.
func (f *Freshness) Age(now time.Time) (age time.Duration, ok bool) {
	at := f.At()
	return now.Sub(at), !at.IsZero()
}
