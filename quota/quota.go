// Package quota decides how an organisation's rate and burst, counted over
// all VMs together, are shared between the nodes that admit its requests.
//
// Each organisation has one Owner. It leases shares of the rate and the burst
// to Holders, one on each node with demand. A share mints tokens at its rate
// up to its burst, and each admitted request spends one. The sum of all shares
// never exceeds the organisation's limit, so in every window of w seconds the
// requests admitted on all nodes together are at most burst + rate*w. See
// docs/DESIGN.md for the argument.
//
// The package has no goroutine, socket, clock or random source: the time and
// the other node's messages are handed in, answers and actions are handed back.
package quota

import (
	"time"

	"github.com/pkg/errors"
)

const (
	// Lease is how long a share is valid, counted by the holder from when it
	// asked. It covers the replacement of a lost owner.
	Lease = 7 * time.Second
	// ClockDrift is the largest error of a clock's speed that the promise
	// covers.
	ClockDrift = 0.0005
	// maxLease bounds the lease of an organisation that is served while it is
	// cut off, and cutOffMargin is how much longer than that time it is.
	maxLease     = time.Minute
	cutOffMargin = time.Second
	// leaseMargin is added by the owner to the end of a lease, for the drift
	// of both clocks and for the granularity of timers.
	leaseMargin = 250*time.Millisecond + time.Duration(2*ClockDrift*float64(maxLease))
)

// leaseFor returns the lease of an organisation's shares, given how long a
// node's proof counts that it knows the latest term.
func leaseFor(proof time.Duration) time.Duration {
	return max(Lease, min(proof+cutOffMargin, maxLease))
}

// Limit is an organisation's rate in requests a second and its burst in
// requests.
type Limit struct {
	Rate  float64 `cbor:"1,keyasint"`
	Burst float64 `cbor:"2,keyasint"`
}

// Share is the part of a limit that one holder has.
type Share struct {
	Rate  float64 `cbor:"1,keyasint"`
	Burst float64 `cbor:"2,keyasint"`
}

// HolderID names the node incarnation that holds a share.
type HolderID struct {
	VM          string `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"`
}

// Ask is a holder's message to the owner. It says what the holder has after
// giving back what it does not need.
type Ask struct {
	Organisation string `cbor:"1,keyasint"`
	// Term is the owner's term that the holder knows.
	Term uint64 `cbor:"2,keyasint"`
	// Number grows with each ask of the holder. The answer to an earlier ask
	// is never applied once a later one was sent.
	Number uint64 `cbor:"3,keyasint"`
	// Held is the share that the holder still has.
	Held Share `cbor:"4,keyasint"`
	// Returned is the number of tokens given back.
	Returned float64 `cbor:"5,keyasint"`
	// Demand is the smoothed number of requests a second.
	Demand float64 `cbor:"6,keyasint"`
	// Want is the number of tokens asked for.
	Want float64 `cbor:"7,keyasint"`
	// Limit is the limit that the holder knows.
	Limit Limit `cbor:"8,keyasint"`
	// Applied is the number of the last ask whose answer gave the share.
	Applied uint64 `cbor:"9,keyasint"`
}

// Answer is the owner's answer to an Ask.
type Answer struct {
	Term   uint64 `cbor:"1,keyasint"`
	Number uint64 `cbor:"2,keyasint"`
	// Share replaces what the holder had; on its next ask it gives back the
	// burst above Target that it does not use.
	Share  Share   `cbor:"3,keyasint"`
	Target float64 `cbor:"10,keyasint"`
	// Tokens are added; they never exceed the growth of the share's burst.
	Tokens float64 `cbor:"4,keyasint"`
	// Limit is the limit that the share is part of.
	Limit Limit `cbor:"5,keyasint"`
	// Keep is the number of tokens that the holder keeps on its next ask.
	Keep float64 `cbor:"6,keyasint"`
	// Next is when the holder asks again without being out of tokens.
	Next time.Duration `cbor:"7,keyasint"`
	// Wait is when asking for more is of use; 0 for at once.
	Wait time.Duration `cbor:"8,keyasint"`
	// Exhausted means that the organisation is above its rate: until Wait has
	// passed, requests without a token are refused.
	Exhausted bool `cbor:"9,keyasint"`
	// Scarce means that the owner's own bucket is low, so that holders give
	// back early what they do not need.
	Scarce bool `cbor:"11,keyasint"`
	// Soft is how long the share is valid, counted from the ask, unless the
	// Arbiter extends it to the end of the lease; 0 for the whole lease.
	Soft    time.Duration `cbor:"12,keyasint,omitempty"`
	Arbiter HolderID      `cbor:"13,keyasint"`
	// Lease is how long the share may last, counted from the ask.
	Lease time.Duration `cbor:"14,keyasint"`
}

// Recall is the owner's message to a holder whose tokens are wanted elsewhere.
// The holder asks at once and gives back what it can spare.
type Recall struct {
	Organisation string `cbor:"1,keyasint"`
	Term         uint64 `cbor:"2,keyasint"`
}

var (
	// ErrTerm means that the ask names another term than the owner's.
	ErrTerm = errors.New("the ask is for another term of the owner")
	// ErrOldAsk means that a later ask of the holder was answered already.
	ErrOldAsk = errors.New("a later ask was answered already")
	// ErrLimit means that one side has not heard of a changed limit yet.
	ErrLimit = errors.New("the ask is for another limit than the owner's")
)
