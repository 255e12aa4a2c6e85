package emulator

import "time"

// windowLength is the length of the windows in Result.Windows.
const windowLength = 2 * time.Second

// Result counts callers' requests by outcome.
type Result struct {
	Kinds []KindResult `json:"kinds"`
	// Windows are the shares of the requests' worth that were served within the
	// objective, by the window of the first attempt.
	Windows []float64 `json:"windows"`
	// Worst is the minimum of Windows.
	Worst float64 `json:"worst_window"`

	// byKind is the index in Kinds by the kind's ID. asked and served are the
	// worth requested, and served within the objective, by window.
	byKind        map[string]int
	asked, served []float64
}

// KindResult counts the requests of one kind.
type KindResult struct {
	Kind  string `json:"kind"`
	Asked int    `json:"asked"`
	// InTime requests were served within the objective, Late ones after it.
	InTime  int `json:"in_time"`
	Late    int `json:"late"`
	Refused int `json:"refused"`
	Failed  int `json:"failed"`
}

// InTimeShare returns the share of the requests served within the objective.
func (k *KindResult) InTimeShare() float64 { return float64(k.InTime) / float64(max(1, k.Asked)) }

func newResult(plan *Plan) *Result {
	windows := int((plan.Length.Std() + windowLength - 1) / windowLength)
	r := &Result{byKind: map[string]int{}, asked: make([]float64, windows), served: make([]float64, windows)}
	for _, kind := range plan.Kinds {
		if kind.PerSecond > 0 {
			r.byKind[kind.ID] = len(r.Kinds)
			r.Kinds = append(r.Kinds, KindResult{Kind: kind.ID})
		}
	}
	r.Windows, r.Worst = make([]float64, windows), 1
	return r
}

// recordRequest counts a request. firstSent is the time of its first attempt
// since the start of the simulation.
func (r *Result) recordRequest(kind *Kind, firstSent time.Duration) {
	r.ForKind(kind.ID).Asked++
	r.asked[firstSent/windowLength] += kind.Worth
}

// recordOutcome counts the outcome of a request first sent at firstSent.
func (r *Result) recordOutcome(kind *Kind, firstSent, latency time.Duration, served, refused bool) {
	k := r.ForKind(kind.ID)
	switch {
	case served && latency <= kind.Objective.Std():
		k.InTime++
		r.served[firstSent/windowLength] += kind.Worth
	case served:
		k.Late++
	case refused:
		k.Refused++
	default:
		k.Failed++
	}
}

// computeWindows computes Windows and Worst from the recorded requests.
func (r *Result) computeWindows() {
	for i := range r.Windows {
		r.Windows[i] = 1
		if r.asked[i] > 0 {
			r.Windows[i] = r.served[i] / r.asked[i]
		}
		r.Worst = min(r.Worst, r.Windows[i])
	}
}

// ForKind returns the result of the kind with the ID.
func (r *Result) ForKind(kind string) *KindResult { return &r.Kinds[r.byKind[kind]] }
