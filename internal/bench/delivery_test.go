package bench

import (
	"bytes"
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// runShort runs a case with a short load.
func runShort(t *testing.T, name string, length time.Duration) {
	t.Helper()
	chosen, err := Find(name)
	assert.NilError(t, err)
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Minute)
	defer cancel()
	var out bytes.Buffer
	report, err := chosen.Run(ctx, &Env{Seed: 1, Duration: length, Progress: &out})
	assert.NilError(t, err)
	assert.NilError(t, report.WriteTable(&out))
	assert.Assert(t, report.Holds, "%s", out.String())
}

func TestAtMostOnceHolds(t *testing.T) { runShort(t, "at-most-once", 2*time.Second) }

func TestAnswersOutliveAPlannedStop(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Minute)
	defer cancel()
	figures, err := drainRun(ctx, &Env{Seed: 1}, drainArm{vms: 2, restarts: 1})
	assert.NilError(t, err)
	assert.Assert(t, figures.Resent > 0)
	assert.Equal(t, figures.ResentAnswered, figures.Resent, figures.Reasons)
	assert.Equal(t, figures.RunTwice, 0)
}
