package bench

import (
	"bytes"
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// runCaseFor runs a case with the given duration and requires that it passes.
func runCaseFor(t *testing.T, name string, length time.Duration) {
	t.Helper()
	chosen, err := FindCase(name)
	assert.NilError(t, err)
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Minute)
	defer cancel()
	var out bytes.Buffer
	report, err := chosen.Run(ctx, &Env{Seed: 1, Duration: length, Progress: &out})
	assert.NilError(t, err)
	assert.NilError(t, report.WriteTable(&out))
	assert.Assert(t, report.Holds, "%s", out.String())
}

func TestAtMostOnceHolds(t *testing.T) { runCaseFor(t, "at-most-once", 2*time.Second) }

// TestAnswersSurviveGracefulStop guards against the loss of recorded responses
// when the node that recorded them is stopped gracefully: a request that is
// sent again must get the same response and must not run again.
func TestAnswersSurviveGracefulStop(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Minute)
	defer cancel()
	figures, err := drainRun(ctx, &Env{Seed: 1}, drainVariant{vms: 2, restarts: 1})
	assert.NilError(t, err)
	assert.Assert(t, figures.Resent > 0)
	assert.Equal(t, figures.ResentAnswered, figures.Resent, figures.Reasons)
	assert.Equal(t, figures.RunTwice, 0)
}
