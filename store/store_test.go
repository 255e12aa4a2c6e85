package store

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestLifetimeOfAnySizeIsNoExpiredLease guards against a long lifetime whose product
// overflows and so counts as expired.
func TestLifetimeOfAnySizeIsNoExpiredLease(t *testing.T) {
	assert.Equal(t, Lifetime(3, time.Second), 3*time.Second)
	assert.Equal(t, Lifetime(math.MaxInt64, time.Millisecond), time.Duration(math.MaxInt64))
	assert.Equal(t, Lifetime(0, time.Second), time.Duration(0))
	assert.Equal(t, Lifetime(math.MinInt64, time.Second), time.Duration(0))
}
