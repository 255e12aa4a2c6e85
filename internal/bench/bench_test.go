package bench

import (
	"bytes"
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mangomast/mangomast/internal/rig"
)

// TestMain removes the binaries that the cases build. The cases run real
// processes and must pass regardless of the speed of the machine.
func TestMain(m *testing.M) {
	defer rig.RemoveBuild()
	m.Run()
}

func runCase(t *testing.T, name string) {
	t.Helper()
	chosen, err := FindCase(name)
	assert.NilError(t, err)
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Minute)
	defer cancel()
	var out bytes.Buffer
	report, err := chosen.Run(ctx, &Env{Seed: 1, Progress: &out})
	assert.NilError(t, err)
	assert.NilError(t, report.WriteTable(&out))
	assert.Assert(t, report.Holds, "%s", out.String())
}

func TestPathHolds(t *testing.T) { runCase(t, "path") }
