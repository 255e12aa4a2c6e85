// Package revision implements the protocol for the stream of configuration
// revisions: how a node proves that the revision it holds is the latest
// (freshness), when a revision is in force everywhere (acceptance), and what is
// sent to a node that holds an older one (deltas). It has no goroutine, socket
// or clock of its own.
//
// The store alone orders the revisions. Freshness and acceptance only observe
// that order: nothing is replicated or elected.
package revision

import (
	"slices"
	"strings"
	"time"
)

// DefaultBound is the default age up to which a proof of freshness is valid.
const DefaultBound = 3 * time.Second

// Value is a key of the stream with its data.
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

// NewState returns the state that consists of the values.
func NewState(values []Value) *State {
	s := &State{Values: slices.SortedFunc(slices.Values(values), compareValues)}
	for _, v := range values {
		s.Revision = max(s.Revision, v.Revision)
	}
	return s
}

// Value returns the value with the name, or a zero Value if there is none.
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

// Freshness holds a node's proofs that its revision is the latest. A proof made
// at time T guarantees that no later revision had been accepted at T. It remains
// valid when the node adopts a later revision.
type Freshness struct {
	// store is the time of the last read of the store; quorum is the time as of
	// which a majority of the witnesses attested the node's revision.
	store, quorum time.Time
}

// ProveByStore records that a read of the store at the time found no later
// revision.
func (f *Freshness) ProveByStore(at time.Time) {
	if at.After(f.store) {
		f.store = at
	}
}

// ProveByQuorum records that a majority of the witnesses attested the node's
// revision. The time is that of the oldest of these attestations.
func (f *Freshness) ProveByQuorum(at time.Time) {
	if at.After(f.quorum) {
		f.quorum = at
	}
}

// LastStoreProof returns the time of the last read of the store, by this or
// another node.
func (f *Freshness) LastStoreProof() time.Time { return f.store }

// LastQuorumProof returns the time of the last proof by a quorum of the
// witnesses.
func (f *Freshness) LastQuorumProof() time.Time { return f.quorum }

// LastProof returns the time of the latest proof; zero if there is none.
func (f *Freshness) LastProof() time.Time {
	if f.quorum.After(f.store) {
		return f.quorum
	}
	return f.store
}

// Age returns the age of the latest proof; ok is false if there is none.
func (f *Freshness) Age(now time.Time) (age time.Duration, ok bool) {
	at := f.LastProof()
	return now.Sub(at), !at.IsZero()
}
