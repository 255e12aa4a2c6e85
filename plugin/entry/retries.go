package entry

import (
	"github.com/mangomast/mangomast/finding"
	"github.com/mangomast/mangomast/retry"
)

// usedShare is the share of the configured retry budget that the nodes use. The
// rest covers retries that are charged before their full cost is known.
const usedShare = 0.6

// Retries is the fleet's budget for retries.
type Retries struct {
	// Ratio is the number of retries for each caller's request.
	Ratio float64 `json:"ratio"`
	// Reserve is the number of retries beyond those, for all nodes together.
	Reserve float64 `json:"reserve"`
}

func defaultRetries() Retries { return Retries{Ratio: 0.2, Reserve: 50} }

func (r *Retries) validate(prefix string, findings *finding.List) {
	if !(r.Ratio >= 0) || r.Ratio > 1 {
		findings.Addf(prefix+"/ratio", "must be 0 to 1")
	}
	if !(r.Reserve >= 0) {
		findings.Addf(prefix+"/reserve", "must not be negative")
	}
}

// throttles returns the throttles of one node of a fleet. fleet returns the
// number of nodes and this node's index among them, from 0.
func (r *Retries) throttles(fleet func() (nodes, index int)) *retry.Throttles {
	reserve := func() float64 {
		nodes, _ := fleet()
		return usedShare * r.Reserve / float64(max(1, nodes))
	}
	relativeIndex := func() float64 {
		nodes, index := fleet()
		return float64(index) / float64(max(1, nodes))
	}
	return retry.NewThrottles(usedShare*r.Ratio, reserve, retry.EvenSequence(relativeIndex))
}
