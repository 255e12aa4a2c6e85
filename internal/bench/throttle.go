package bench

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/mangomast/mangomast/internal/rig"
)

// Settings of the retry throttle in the retries case.
const (
	throttleRatio   = 0.1
	throttleReserve = 5
)

var throttleSettings = mustJSON(struct {
	Ratio   float64 `json:"ratio"`
	Reserve float64 `json:"reserve"`
}{throttleRatio, throttleReserve})

// mustJSON returns the JSON encoding of the value and panics if there is none.
func mustJSON(value any) string {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return string(data)
}

// runThrottled measures the share of retries at each level while every hop
// fails, over all requests and nodes together.
func runThrottled(ctx context.Context, fleet *rig.Rig, key Key, figures *retryFigures, report *Report) error {
	mode := retryModes(figures.Budget)[0]
	mode.name, mode.requests = "answered 500, throttled", 1000
	row, err := runRetryMode(ctx, fleet, key, mode, figures.Budget)
	if err != nil {
		return err
	}
	report.Rows = append(report.Rows, row.cells())
	firstAttempts, senders := float64(mode.requests), len(nodesInRegion(fleet, placements[0].region))
	for level, runs := range row.Runs {
		// Below the first level, each first attempt belongs to a run of the
		// level above.
		share := float64(runs)/firstAttempts - 1
		bound := throttleRatio + throttleReserve*float64(senders)/firstAttempts
		figures.Throttled = append(figures.Throttled, share)
		figures.ThrottledBound = append(figures.ThrottledBound, bound)
		report.Holds = report.Holds && share <= bound
		report.Rows = append(report.Rows, []string{
			fmt.Sprintf("share of retries at level %d", level+1), "", "", fmt.Sprintf("%.3f", bound), fmt.Sprintf("%.3f", share), "",
		})
		firstAttempts, senders = float64(runs), vmsPerService
	}
	return nil
}
