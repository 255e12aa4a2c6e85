package quota

import (
	"fmt"
	"math"
	"time"
)

// Fractions of each limit. LocalShare is divided evenly among the nodes; the rest
// is granted by the organisation's pool on demand, so that uneven demand is
// served. A node that cannot reach the pool uses LostShare in addition, divided
// by the number of nodes: if a third of the nodes is cut off while the others use
// up the pool, the limit is exceeded by 0.07 of it. A node that has been cut off
// from the store and most other nodes for the length of a lease uses
// IsolatedShare only, as by then the others have divided the limit among
// themselves.
const (
	LocalShare       = 0.2
	UnreachableShare = 0.2
	IsolatedShare    = 0.05
)

// GrantLife is how long tokens granted by a pool may be spent. It bounds how long
// the unspent tokens of a node that is cut off are unavailable to the others.
const GrantTTL = 500 * time.Millisecond

// Bucket is a token bucket for a limit. It does not correct for clock drift; the
// tolerance included in its limits covers that.
type Bucket struct {
	bucket
}

// SetLimit changes the limit. Tokens above the new burst are discarded. A bucket
// starts empty, as the node that ran the pool before may have spent all of its
// tokens, and a pool may move several times within one window.
func (b *Bucket) SetLimit(limit Limit, now time.Time) {
	if b.at.IsZero() {
		b.at = now
	}
	b.refill(now)
	b.resize(limit.Rate, limit.Burst)
}

func (b *Bucket) refill(now time.Time) { b.addTokens(now, 1) }

// Take removes up to want whole tokens and returns how many it took.
func (b *Bucket) Take(want float64, now time.Time) float64 {
	b.refill(now)
	taken := math.Floor(max(0, min(want, b.tokens)))
	b.tokens -= taken
	return taken
}

// Spend removes one token and reports whether there was one.
func (b *Bucket) Spend(now time.Time) bool {
	b.refill(now)
	return b.take()
}

// Wait returns the time until the bucket has n tokens.
func (b *Bucket) Wait(n float64, now time.Time) time.Duration {
	b.refill(now)
	if b.tokens >= n || b.rate <= 0 {
		return 0
	}
	return time.Duration((n - b.tokens) / b.rate * float64(time.Second))
}

// Tolerance is how far the requests admitted on all nodes together may exceed a
// limit in a window, as each node counts on its own.
type Tolerance struct {
	// Overage is a fraction of the limit, Slack a number of requests.
	Overage float64 `json:"overage"`
	Slack   float64 `json:"slack"`
}

// toleranceFraction is the fraction of the tolerance that compensates for tokens
// that expire or stay unused on nodes without demand. The rest covers nodes that
// are cut off.
const toleranceFraction = 0.6

// Widen returns the limit raised by toleranceFraction of the tolerance; tokens are
// added according to it.
func (t Tolerance) Widen(limit Limit) Limit {
	factor := 1 + toleranceFraction*t.Overage
	return Limit{Rate: limit.Rate * factor, Burst: limit.Burst*factor + toleranceFraction*t.Slack}
}

// PoolLimit returns the part of the limit that the organisation's pool grants.
func PoolLimit(limit Limit) Limit {
	return Limit{Rate: limit.Rate * (1 - LocalShare), Burst: limit.Burst * (1 - LocalShare)}
}

// Wallet has one organisation's tokens on one node: those of the node's own part
// of the limit, and those granted by the pool.
type NodeLimiter struct {
	local        Bucket
	granted      float64
	grantExpires time.Time
	// demand is the smoothed number of requests a second.
	demand       float64
	arrivals     float64
	countedSince time.Time
	// poolUnreachable is true while the pool does not answer.
	poolUnreachable bool
	// backoffUntil is the time before which the pool is not asked again.
	backoffUntil time.Time
}

const (
	// demandInterval is the time over which requests are counted.
	demandInterval = 250 * time.Millisecond
	// demandWeight is the weight of the latest interval in the smoothed demand.
	demandWeight = 0.5
	// grantCover and minCover are expressed as a time of demand: a grant covers
	// grantCover, and the next one is requested once less than minCover is left.
	grantCover = 300 * time.Millisecond
	minCover   = 100 * time.Millisecond
)

// SetLimit sets the limit, of which the wallet uses this node's part. isolated is
// true if this node is cut off from the store and most other nodes.
func (w *NodeLimiter) SetLimit(limit Limit, nodes int, isolated bool, now time.Time) {
	fraction := LocalShare
	switch {
	case isolated:
		fraction = IsolatedShare
	case w.poolUnreachable:
		fraction += UnreachableShare
	}
	fraction /= float64(max(1, nodes))
	w.local.SetLimit(Limit{Rate: limit.Rate * fraction, Burst: max(1, limit.Burst*fraction)}, now)
}

// Arrived adds a request to the demand estimate.
func (w *NodeLimiter) CountRequest(now time.Time) {
	w.arrivals++
	if w.countedSince.IsZero() {
		w.countedSince = now
	}
	if elapsed := now.Sub(w.countedSince); elapsed >= demandInterval {
		w.demand += demandWeight * (w.arrivals/elapsed.Seconds() - w.demand)
		w.arrivals, w.countedSince = 0, now
	}
}

// Spend removes one token and reports whether there was one. Granted tokens are
// spent first, as they expire.
func (w *NodeLimiter) Spend(now time.Time) bool {
	if w.unexpiredGrants(now) >= 1 {
		w.granted--
		return true
	}
	return w.local.Spend(now)
}

// Explain describes the state on which Spend decides.
func (w *NodeLimiter) Explain(now time.Time) string {
	return fmt.Sprintf("own tokens %.2f of %.2f/s, granted %.0f, demand %.1f/s, pool lost %t, pool asked again in %d ms",
		w.local.tokens, w.local.rate, w.unexpiredGrants(now), w.demand, w.poolUnreachable, max(0, w.backoffUntil.Sub(now).Milliseconds()))
}

// Ready reports whether Spend would find a token.
func (w *NodeLimiter) HasToken(now time.Time) bool {
	w.local.refill(now)
	return w.unexpiredGrants(now) >= 1 || w.local.tokens >= 1
}

func (w *NodeLimiter) unexpiredGrants(now time.Time) float64 {
	if now.After(w.grantExpires) {
		w.granted = 0
	}
	return w.granted
}

// Want returns the number of tokens to request from the pool now, or 0. waiting
// is the number of requests without a token. A node with little demand requests
// single tokens when it needs them, so that few expire unspent.
func (w *NodeLimiter) TokensToRequest(waiting int, now time.Time) float64 {
	if now.Before(w.backoffUntil) {
		return 0
	}
	w.local.refill(now)
	ahead := math.Floor(w.demand * grantCover.Seconds())
	if waiting > 0 {
		return float64(waiting) + ahead
	}
	if w.unexpiredGrants(now)+w.local.tokens > 1+w.demand*minCover.Seconds() {
		return 0
	}
	return ahead
}

// Lost records that the pool did not answer. It is not asked again for the
// duration pause.
func (w *NodeLimiter) PoolFailed(pause time.Duration, now time.Time) {
	w.poolUnreachable = true
	w.backoffUntil = now.Add(pause)
}

// Granted adds the tokens of the pool's answer to a request sent at the time asked.
func (w *NodeLimiter) ApplyGrant(tokens float64, wait time.Duration, asked, now time.Time) {
	w.poolUnreachable = false
	w.granted = w.unexpiredGrants(now) + tokens
	if tokens > 0 {
		w.grantExpires = asked.Add(GrantTTL)
	}
	if wait > 0 {
		w.backoffUntil = now.Add(wait)
	}
}

// Wait returns the estimated time until a token is available.
func (w *NodeLimiter) Wait(now time.Time) time.Duration {
	wait := w.local.Wait(1, now)
	if poolWait := w.backoffUntil.Sub(now); poolWait > 0 && poolWait < wait {
		return poolWait
	}
	return wait
}
