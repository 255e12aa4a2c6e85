package quota

import (
	"fmt"
	"math"
	"time"
)

// Fractions of each limit. LocalShare is divided evenly among the nodes of a fleet
// of up to localShareNodes; the rest is granted by the organisation's pool on
// demand, so that uneven demand is served. In a larger fleet less is divided, and
// nothing from twice as many nodes: a node's part would be too small to be spent,
// while each node may save up one token, and many would be spent at once. A node that cannot reach the pool uses UnreachableShare in addition, divided
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

// localShareNodes is the number of nodes above which the divided fraction shrinks.
const localShareNodes = 20

// localShare returns the fraction of a limit that is divided among the nodes.
func localShare(nodes int) float64 {
	excess := float64(nodes-localShareNodes) / localShareNodes
	return LocalShare * max(0, 1-max(0, excess))
}

// GrantTTL is how long tokens granted by a pool may be spent. It bounds how long
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
	if b.updatedAt.IsZero() {
		b.updatedAt = now
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

// PoolLimit returns the part of the limit that the organisation's pool grants in a
// fleet of so many nodes.
func PoolLimit(limit Limit, nodes int) Limit {
	fraction := 1 - localShare(nodes)
	return Limit{Rate: limit.Rate * fraction, Burst: limit.Burst * fraction}
}

// Times returns the fraction part of the limit.
func (l Limit) Times(part float64) Limit { return Limit{Rate: l.Rate * part, Burst: l.Burst * part} }

// NodeLimiter spends one organisation's tokens on one node: those of the node's own
// part of the limit, and those granted by the pool.
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
	// A grant covers the demand of the time grantCover. The next one is requested
	// once the tokens left cover less than minCover.
	grantCover = 300 * time.Millisecond
	minCover   = 100 * time.Millisecond
)

// SetLimit sets the organisation's limit, of which this node uses its part. isolated
// is true if this node is cut off from the store and most other nodes.
func (l *NodeLimiter) SetLimit(limit Limit, nodes int, isolated bool, now time.Time) {
	fraction := localShare(nodes)
	switch {
	case isolated:
		fraction = IsolatedShare
	case l.poolUnreachable:
		fraction += UnreachableShare
	}
	fraction /= float64(max(1, nodes))
	l.local.SetLimit(Limit{Rate: limit.Rate * fraction, Burst: max(1, limit.Burst*fraction)}, now)
}

// CountRequest adds a request to the demand estimate.
func (l *NodeLimiter) CountRequest(now time.Time) {
	l.arrivals++
	if l.countedSince.IsZero() {
		l.countedSince = now
	}
	if elapsed := now.Sub(l.countedSince); elapsed >= demandInterval {
		l.demand += demandWeight * (l.arrivals/elapsed.Seconds() - l.demand)
		l.arrivals, l.countedSince = 0, now
	}
}

// Spend removes one token and reports whether there was one. Granted tokens are
// spent first, as they expire.
func (l *NodeLimiter) Spend(now time.Time) bool {
	if l.unexpiredGrants(now) >= 1 {
		l.granted--
		return true
	}
	return l.local.Spend(now)
}

// Explain describes the state on which Spend decides.
func (l *NodeLimiter) Explain(now time.Time) string {
	return fmt.Sprintf("own tokens %.2f of %.2f/s, granted %.0f, demand %.1f/s, pool lost %t, pool asked again in %d ms",
		l.local.tokens, l.local.rate, l.unexpiredGrants(now), l.demand, l.poolUnreachable, max(0, l.backoffUntil.Sub(now).Milliseconds()))
}

// HasToken reports whether Spend would find a token.
func (l *NodeLimiter) HasToken(now time.Time) bool {
	l.local.refill(now)
	return l.unexpiredGrants(now) >= 1 || l.local.tokens >= 1
}

func (l *NodeLimiter) unexpiredGrants(now time.Time) float64 {
	if now.After(l.grantExpires) {
		l.granted = 0
	}
	return l.granted
}

// TokensToRequest returns the number of tokens to request from the pool now, or 0.
// waiting is the number of requests without a token. A node with little demand
// requests single tokens when it needs them, so that few expire unspent.
func (l *NodeLimiter) TokensToRequest(waiting int, now time.Time) float64 {
	if now.Before(l.backoffUntil) {
		return 0
	}
	l.local.refill(now)
	ahead := math.Floor(l.demand * grantCover.Seconds())
	if waiting > 0 {
		return float64(waiting) + ahead
	}
	if l.unexpiredGrants(now)+l.local.tokens > 1+l.demand*minCover.Seconds() {
		return 0
	}
	return ahead
}

// PoolFailed records that the pool did not answer. It is not asked again for the
// duration pause.
func (l *NodeLimiter) PoolFailed(pause time.Duration, now time.Time) {
	l.poolUnreachable = true
	l.backoffUntil = now.Add(pause)
}

// ApplyGrant adds the tokens of the pool's answer to a request sent at the time asked.
// If wait is not 0, the pool is not asked again for that time.
func (l *NodeLimiter) ApplyGrant(tokens float64, wait time.Duration, asked, now time.Time) {
	l.poolUnreachable = false
	l.granted = l.unexpiredGrants(now) + tokens
	if tokens > 0 {
		l.grantExpires = asked.Add(GrantTTL)
	}
	if wait > 0 {
		l.backoffUntil = now.Add(wait)
	}
}

// Wait returns the estimated time until a token is available. A node without a
// part of its own waits until it may ask the pool again.
func (l *NodeLimiter) Wait(now time.Time) time.Duration {
	poolWait := l.backoffUntil.Sub(now)
	if l.local.rate <= 0 {
		return max(0, poolWait)
	}
	wait := l.local.Wait(1, now)
	if poolWait > 0 && poolWait < wait {
		return poolWait
	}
	return wait
}
