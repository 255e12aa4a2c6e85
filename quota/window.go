package quota

import (
	"math"
	"slices"
	"time"
)

// MaxExcess checks a history of admissions against a limit. It returns the largest
// number of requests by which any window of w seconds exceeded burst + rate*w. The
// limit was kept if the result is not above 0.
func MaxExcess(admissions []time.Time, limit Limit) float64 {
	if len(admissions) == 0 {
		return -limit.Burst
	}
	sorted := slices.Clone(admissions)
	slices.SortFunc(sorted, time.Time.Compare)
	worst, lowest := math.Inf(-1), math.Inf(1)
	for i, at := range sorted {
		allowed := limit.Rate * at.Sub(sorted[0]).Seconds()
		lowest = min(lowest, float64(i)-allowed)
		worst = max(worst, float64(i+1)-allowed-lowest)
	}
	return worst - limit.Burst
}
