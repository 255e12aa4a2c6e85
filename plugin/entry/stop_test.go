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
	const short, long = 200 * time.Millisecond, 4200 * time.Millisecond
	for _, c := range []struct {
		name         string
		grace, drain time.Duration
		since        time.Duration
		timeout      time.Duration
		caller, call bool
	}{
		{"at once", grace, drain, 0, long, true, true},
		{"within the grace", grace, drain, grace, long, true, true},
		{"after the grace", grace, drain, grace + 1, short, false, true},
		{"a call that may outlast the node", grace, drain, grace + 1, long, false, false},
		{"last call", grace, drain, drain - answerTime - short, short, false, true},
		{"too late for a call", grace, drain, drain - answerTime - short + 1, short, false, false},
		{"at the end", grace, drain, drain, 0, false, false},
		{"no grace", 0, drain, 1, long, false, true},
		{"short drain", grace, time.Second, 500 * time.Millisecond, long, true, true},
		{"after half of a short drain", grace, time.Second, 501 * time.Millisecond, long, false, false},
		{"drain shorter than an answer", grace, answerTime / 2, answerTime/4 + 1, 0, false, false},
	} {
		policy := newStopPolicy(c.grace, c.drain)
		assert.Equal(t, policy.takes(c.since, c.timeout, false), c.caller, c.name)
		assert.Equal(t, policy.takes(c.since, c.timeout, true), c.call, c.name)
	}
}
