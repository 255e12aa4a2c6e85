package quota

import "time"

// driftFactor lowers the refill rate so that a clock that runs fast does not
// add more tokens than the rate allows.
const driftFactor = 1 - ClockDrift

// bucket is a token bucket: tokens are added at a rate, up to a capacity.
type bucket struct {
	rate, capacity, tokens float64
	updatedAt              time.Time
}

// advance adds the tokens of the time since the last call, at the rate reduced
// by driftFactor. If the clock was set back, no tokens are added.
func (b *bucket) advance(now time.Time) { b.addTokens(now, driftFactor) }

// addTokens adds the tokens of the time since the last call, at rate*factor.
func (b *bucket) addTokens(now time.Time, factor float64) {
	elapsed := now.Sub(b.updatedAt)
	if elapsed <= 0 {
		return
	}
	b.updatedAt = now
	b.tokens = min(b.capacity, b.tokens+b.rate*factor*elapsed.Seconds())
}

// resize changes the rate and the capacity. Tokens above the new capacity are
// discarded.
func (b *bucket) resize(rate, capacity float64) {
	b.rate, b.capacity = rate, capacity
	b.tokens = min(b.tokens, capacity)
}

// take removes one token and reports whether there was one.
func (b *bucket) take() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// untilToken returns the time until the bucket has a whole token. It returns
// false if the bucket never refills to one.
func (b *bucket) untilToken() (time.Duration, bool) {
	if b.tokens >= 1 {
		return 0, true
	}
	if b.rate <= 0 || b.capacity < 1 {
		return 0, false
	}
	seconds := (1 - b.tokens) / (b.rate * driftFactor)
	return time.Duration(seconds*float64(time.Second)) + time.Microsecond, true
}

// LocalBucket enforces the whole limit on one node, independently of the other
// nodes. It is a baseline for measurements.
type LocalBucket struct{ bucket bucket }

// NewLocalBucket returns a full bucket.
func NewLocalBucket(now time.Time, limit Limit) *LocalBucket {
	return &LocalBucket{bucket{rate: limit.Rate, capacity: limit.Burst, tokens: limit.Burst, updatedAt: now}}
}

// Take removes one token and reports whether there was one.
func (b *LocalBucket) Take(now time.Time) bool {
	b.bucket.advance(now)
	return b.bucket.take()
}
