package bench

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mangomast/mangomast/internal/rig"
)

// TestRetriesStayWithinTheBudget runs every mode of the retries case with fewer
// requests. It guards against retries at several hops that multiply beyond the
// budget of the request.
func TestRetriesStayWithinTheBudget(t *testing.T) {
	const budget, requests = 3, 24
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Minute)
	defer cancel()
	err := withChainFleet(ctx, budget, `{"reserve": 1000000}`, func(fleet *rig.Rig, key Key) error {
		for _, mode := range retryModes(budget) {
			mode.requests = requests
			row, err := runRetryMode(ctx, fleet, key, mode, budget)
			assert.NilError(t, err)
			assert.Assert(t, row.holds(), "%+v", row)
		}
		return nil
	})
	assert.NilError(t, err)
}
