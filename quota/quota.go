// Package quota divides an organisation's rate and burst, which are limits over
// all VMs together, between the nodes that admit its requests.
//
// Each organisation has one Owner, which leases shares of the rate and the burst
// to Holders, one on each node with demand. A share is a token bucket with its
// rate and burst, and each admitted request spends one token. The sum of all
// shares never exceeds the organisation's limit, so in every window of w seconds
// the requests admitted on all nodes together are at most burst + rate*w. See
// docs/DESIGN.md for the argument.
//
// Each owner has a term. A share is valid only while its node has an unexpired
// proof that the owner's term is the latest, so that the next owner knows when all
// shares of earlier terms have ended.
//
// NodeLimiter and Bucket are an alternative without owners: each node uses a fixed
// part of the limit and requests more tokens from the organisation's pool. They may
// exceed the limit by a Tolerance.
//
// The package has no goroutine, socket, clock or random source: the caller passes
// in the time and the other nodes' messages, and sends the messages returned.
package quota

import (
	"time"

	"github.com/pkg/errors"
)

const (
	// Lease is how long a share is valid, measured by the holder from when it sent
	// the Ask. It is long enough to replace a lost owner.
	Lease = 7 * time.Second
	// ClockDrift is the largest error of a clock's speed for which the limit is
	// guaranteed.
	ClockDrift = 0.0005
	// maxLease bounds the lease of an organisation that is served while cut off.
	// cutOffMargin is how much longer the lease is than the time served.
	maxLease     = time.Minute
	cutOffMargin = time.Second
	// leaseMargin is added by the owner to the end of a lease, to allow for the
	// drift of both clocks and the granularity of timers.
	leaseMargin = 250*time.Millisecond + time.Duration(2*ClockDrift*float64(maxLease))
)

// leaseFor returns the duration of an organisation's leases. proofValidity is how
// long a node's proof is valid that it knows the latest term.
func leaseFor(proofValidity time.Duration) time.Duration {
	return max(Lease, min(proofValidity+cutOffMargin, maxLease))
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

// HolderID identifies a holder by its VM and the incarnation of the node.
type HolderID struct {
	VM          string `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"`
}

// Ask is a holder's message to the owner. It reports the share after unused parts
// have been returned, and requests tokens.
type Ask struct {
	Organisation string `cbor:"1,keyasint"`
	// Term is the latest term that the holder knows.
	Term uint64 `cbor:"2,keyasint"`
	// Number grows with each Ask of the holder. The answer to an Ask is ignored
	// once a later one was sent.
	Number uint64 `cbor:"3,keyasint"`
	// Held is the share that the holder still has, including what it has lent.
	Held Share `cbor:"4,keyasint"`
	// Returned is the number of tokens returned.
	Returned float64 `cbor:"5,keyasint"`
	// Demand is the smoothed number of requests a second.
	Demand float64 `cbor:"6,keyasint"`
	// Want is the number of tokens requested.
	Want float64 `cbor:"7,keyasint"`
	// Limit is the limit that the holder knows.
	Limit Limit `cbor:"8,keyasint"`
	// Applied is the number of the last Ask whose answer replaced the holder's share.
	Applied uint64 `cbor:"9,keyasint"`
}

// Answer is the owner's answer to an Ask.
type Answer struct {
	Term   uint64 `cbor:"1,keyasint"`
	Number uint64 `cbor:"2,keyasint"`
	// Share replaces the holder's share. With its next Ask the holder returns the
	// unused burst above Target.
	Share  Share   `cbor:"3,keyasint"`
	Target float64 `cbor:"10,keyasint"`
	// Tokens are added to the holder's bucket. They never exceed the growth of
	// the share's burst.
	Tokens float64 `cbor:"4,keyasint"`
	// Limit is the limit that the share is part of.
	Limit Limit `cbor:"5,keyasint"`
	// Keep is the number of tokens that the holder keeps when it sends its next Ask.
	Keep float64 `cbor:"6,keyasint"`
	// Next is when the holder sends its next Ask if it does not run out of tokens.
	Next time.Duration `cbor:"7,keyasint"`
	// Wait is how long the holder waits before it asks for more tokens; 0 if it may
	// ask at once.
	Wait time.Duration `cbor:"8,keyasint"`
	// Exhausted means that the demand exceeds the organisation's rate: until Wait
	// has passed, requests without a token are refused.
	Exhausted bool `cbor:"9,keyasint"`
	// Scarce means that the owner's own bucket is low, so that holders return
	// surplus tokens early.
	Scarce bool `cbor:"11,keyasint"`
	// Soft is how long the share is valid, measured from the Ask, unless the
	// Arbiter extends it to the end of the lease; 0 means the whole lease.
	Soft    time.Duration `cbor:"12,keyasint,omitempty"`
	Arbiter HolderID      `cbor:"13,keyasint"`
	// Lease is the maximum duration of the share, measured from the Ask.
	Lease time.Duration `cbor:"14,keyasint"`
}

// Recall is the owner's message to a holder whose tokens are needed elsewhere. The
// holder sends an Ask at once and returns what it can spare.
type Recall struct {
	Organisation string `cbor:"1,keyasint"`
	Term         uint64 `cbor:"2,keyasint"`
}

var (
	// ErrTerm means that the Ask is for another term than the owner's.
	ErrTerm = errors.New("the ask is for another term of the owner")
	// ErrOldAsk means that the owner has already answered a later Ask of the holder.
	ErrOldAsk = errors.New("a later ask was answered already")
	// ErrLimit means that the two sides know different limits, as one of them has
	// not received a change yet.
	ErrLimit = errors.New("the ask is for another limit than the owner's")
)
