package warming

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestBoundOfAnyRateAdmitsRequests guards against rates whose conversion leaves a VM with
// one request a second, or with a window that is negative.
func TestBoundOfAnyRateAdmitsRequests(t *testing.T) {
	for _, c := range []struct{ rate, overage, slack float64 }{
		{rate: 1e-300}, {rate: math.SmallestNonzeroFloat64}, {rate: 1e7, overage: 1e300}, {rate: 1e19}, {rate: 1e300},
		{rate: math.MaxFloat64, overage: 2}, {rate: 1, slack: math.MaxFloat64},
	} {
		b := Bound{Rate: c.rate, Overage: c.overage, Slack: c.slack, ColdStart: time.Hour}
		assert.Check(t, b.window() >= second && b.window() < 24*time.Hour, "%+v: window %s", c, b.window())
		atLeast := 1
		if c.rate >= 1e7 || c.slack >= 1e7 {
			atLeast = 1e7
		}
		assert.Check(t, b.Allowance() >= atLeast, "%+v: allowance %d", c, b.Allowance())
		now := epoch
		l := New(b, now)
		now = now.Add(b.window())
		assert.Check(t, l.Admit(now) != nil, "%+v: a cold VM gets nothing", c)
		if rate := l.Rate(now); l.ColdFor(now) > 0 {
			assert.Check(t, rate > 0, "%+v: rate %g", c, rate)
		}
	}
}
