package bench

import (
	"context"
	"slices"
	"time"
)

// goodputWindow is the time over which goodput is averaged.
const goodputWindow = 1 * time.Second

// row computes the figures of a finished run.
func (run *overloadRun) row(ctx context.Context, env *Env) (overloadRow, error) {
	surgeEnd := overloadWarmup + overloadSurge
	row := overloadRow{
		Mode:          run.mode.name,
		NormalGoodput: run.goodput(overloadWarmup-2*time.Second, overloadWarmup),
		SurgeGoodput:  run.goodput(overloadWarmup, surgeEnd),
	}
	row.OfCapacity = row.SurgeGoodput / slowedCapacity()
	row.RecoverySeconds = run.recovery(surgeEnd, minRecoveredShare*row.NormalGoodput).Seconds()
	var top, topOK, surge, attempts int
	var latencies []time.Duration
	for _, r := range run.requests {
		if r.due < overloadWarmup || r.due >= surgeEnd {
			continue
		}
		surge++
		attempts += len(r.attempts)
		if r.ok {
			latencies = append(latencies, r.done-r.due)
		}
		if r.top {
			top++
			if r.ok {
				topOK++
			}
		}
	}
	row.TopOK = float64(topOK) / float64(top)
	row.AttemptsPerCall = float64(attempts) / float64(surge)
	if len(latencies) > 0 {
		slices.Sort(latencies)
		row.P99Millis = latencies[len(latencies)*99/100].Milliseconds()
	}
	var err error
	row.Wasted, err = run.wasted(ctx, env, func(*overloadRequest) bool { return true })
	return row, err
}

// goodput returns the rate of successful responses received in [from, to), per
// second.
func (run *overloadRun) goodput(from, to time.Duration) float64 {
	count := 0
	for _, r := range run.requests {
		if r.ok && r.done >= from && r.done < to {
			count++
		}
	}
	return float64(count) / (to - from).Seconds()
}

func (run *overloadRun) perSecond() []int {
	var counts []int
	for at := time.Duration(0); at < overloadWarmup+overloadSurge+overloadRecovery; at += time.Second {
		counts = append(counts, int(run.goodput(at, at+time.Second)))
	}
	return counts
}

// failures counts, by reason, the failed attempts of requests sent in
// [from, to).
func (run *overloadRun) failures(from, to time.Duration) map[string]int {
	counts := map[string]int{}
	for _, r := range run.requests {
		if r.due < from || r.due >= to {
			continue
		}
		for _, reason := range r.failures {
			counts[reason]++
		}
	}
	return counts
}

// recovery returns the time from the end of the surge to the end of the first
// window from which on the goodput of every window reaches the threshold. It
// returns 0 if no window is below the threshold, and overloadRecovery if the
// goodput does not recover before the end of the run.
func (run *overloadRun) recovery(surgeEnd time.Duration, threshold float64) time.Duration {
	const step = 100 * time.Millisecond
	last := surgeEnd + overloadRecovery - goodputWindow
	for at := last; at >= surgeEnd; at -= step {
		if run.goodput(at, at+goodputWindow) < threshold {
			return min(at+step-surgeEnd+goodputWindow, overloadRecovery)
		}
	}
	return 0
}

// wasted returns the share of upstream work time that was spent on attempts that
// did not succeed, for the requests that were sent during the surge and match
// include.
func (run *overloadRun) wasted(ctx context.Context, env *Env, include func(*overloadRequest) bool) (float64, error) {
	useful, sendSecond := map[string]bool{}, map[string]int{}
	for i := range run.requests {
		r := &run.requests[i]
		if r.due < overloadWarmup || r.due >= overloadWarmup+overloadSurge || !include(r) {
			continue
		}
		for i, id := range r.attempts {
			sendSecond[id] = int((r.due - overloadWarmup) / time.Second)
			useful[id] = r.ok && i == len(r.attempts)-1
		}
	}
	var totalMicros, wastedMicros int64
	wastedBySecond := make([]int64, int(overloadSurge/time.Second))
	wastedByService := map[string]int64{}
	for _, node := range run.vms() {
		report, err := run.fleet.Report(ctx, node)
		if err != nil {
			return 0, err
		}
		for id, busy := range report.BusyByID {
			at, counted := sendSecond[id]
			if !counted {
				continue
			}
			totalMicros += busy
			if !useful[id] {
				wastedMicros += busy
				wastedBySecond[at] += busy / time.Millisecond.Microseconds()
				wastedByService[node.Spec.Service] += busy / time.Millisecond.Microseconds()
			}
		}
	}
	env.Logf("%s: wasted ms by second of sending %v, by service %v", run.mode.name, wastedBySecond, wastedByService)
	return float64(wastedMicros) / float64(max(1, totalMicros)), nil
}
