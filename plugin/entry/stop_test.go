package entry

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestStopPolicyLeavesTimeToFinish checks what a stopping node takes. Requests that
// it took until it ends were cut.
func TestStopPolicyLeavesTimeToFinish(t *testing.T) {
	const grace, drain = 2500 * time.Millisecond, 5200 * time.Millisecond
	for _, c := range []struct {
		name         string
		grace, drain time.Duration
		since        time.Duration
		caller, call bool
	}{
		{"at once", grace, drain, 0, true, true},
		{"within the grace", grace, drain, grace, true, true},
		{"after the grace", grace, drain, grace + 1, false, true},
		{"last call", grace, drain, drain - callTime, false, true},
		{"too late for a call", grace, drain, drain - callTime + 1, false, false},
		{"at the end", grace, drain, drain, false, false},
		{"no grace", 0, drain, 1, false, true},
		{"short drain", grace, time.Second, 500 * time.Millisecond, true, true},
		{"after half of a short drain", grace, time.Second, 501 * time.Millisecond, false, false},
		{"drain shorter than a call", grace, callTime / 2, callTime/4 + 1, false, false},
	} {
		policy := newStopPolicy(c.grace, c.drain)
		assert.Equal(t, policy.takes(c.since, false), c.caller, c.name)
		assert.Equal(t, policy.takes(c.since, true), c.call, c.name)
	}
}
