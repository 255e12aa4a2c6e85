package retry

import "sync"

// Throttle limits the retries to a service to a share of its first attempts. It
// is a token bucket: each first attempt adds Ratio tokens, each retry takes
// one, and the bucket holds at most Reserve. So in any span of time
//
//	retries <= Reserve + Ratio * first attempts
//
// and the sum over all nodes obeys the same inequality with the sum of the
// reserves. It is safe for concurrent use.
type Throttle struct {
	mu      sync.Mutex
	tokens  float64
	ratio   float64
	reserve float64
}

// NewThrottle returns a throttle with a full reserve.
func NewThrottle(ratio, reserve float64) *Throttle {
	return &Throttle{tokens: reserve, ratio: ratio, reserve: reserve}
}

// RecordFirst records a first attempt.
func (t *Throttle) RecordFirst() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.tokens = min(t.reserve, t.tokens+t.ratio)
}

// Retry takes a token. It returns false if there is none.
func (t *Throttle) Retry() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.tokens < 1 {
		return false
	}
	t.tokens--
	return true
}

// available returns the number of tokens.
func (t *Throttle) available() float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.tokens
}

// charge takes n tokens, which must be available.
func (t *Throttle) charge(n float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.tokens -= n
}
