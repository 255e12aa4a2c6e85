package quota

import (
	"math"
	"slices"
	"time"
)

// Excess checks a history of admissions against the promise for every window.
// It returns the largest number of requests by which any window of w seconds
// exceeded burst + rate*w; it is not above 0 if the promise held.
func Excess(admissions []time.Time, limit Limit) float64 {
	if len(admissions) == 0 {
		return -limit.Burst
	}
	sorted := slices.Clone(admissions)
	slices.SortFunc(sorted, time.Time.Compare)
	worst, least := math.Inf(-1), math.Inf(1)
	for i, at := range sorted {
		minted := limit.Rate * at.Sub(sorted[0]).Seconds()
		least = min(least, float64(i)-minted)
		worst = max(worst, float64(i+1)-minted-least)
	}
	return worst - limit.Burst
}
