package bench

import (
	"context"
	"slices"
	"time"
)

// goodputWindow is the time over which goodput is averaged.
const goodputWindow = 1 * time.Second

// row works out the figures of a finished run.
func (run *overloadRun) row(ctx context.Context, env *Env) (overloadRow, error) {
	surgeEnd := overloadWarm + overloadSurge
	row := overloadRow{
		Mode:          run.mode.name,
		NormalGoodput: run.goodput(overloadWarm-2*time.Second, overloadWarm),
		SurgeGoodput:  run.goodput(overloadWarm, surgeEnd),
	}
	row.OfCapacity = row.SurgeGoodput / slowedCapacity()
	row.RecoverySeconds = run.recovery(surgeEnd, recoveredShare*row.NormalGoodput).Seconds()
	var top, topOK, surge, attempts int
	var latencies []time.Duration
	for _, r := range run.requests {
		if r.due < overloadWarm || r.due >= surgeEnd {
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

// goodput returns the successful answers a second that came in [from, to).
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
	for at := time.Duration(0); at < overloadWarm+overloadSurge+overloadAfter; at += time.Second {
		counts = append(counts, int(run.goodput(at, at+time.Second)))
	}
	return counts
}

// failures counts the failed attempts of requests sent in [from, to) by reason.
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

// recovery returns the time after the surge from which every window has at
// least the goodput; the length of the rest of the run if there is none.
func (run *overloadRun) recovery(surgeEnd time.Duration, least float64) time.Duration {
	const step = 100 * time.Millisecond
	last := surgeEnd + overloadAfter - goodputWindow
	for at := last; at >= surgeEnd; at -= step {
		if run.goodput(at, at+goodputWindow) < least {
			return min(at+step-surgeEnd+goodputWindow, overloadAfter)
		}
	}
	return 0
}

// wasted returns the share of upstream time spent on attempts that did not
// succeed, of the counted requests sent in the surge.
func (run *overloadRun) wasted(ctx context.Context, env *Env, counts func(*overloadRequest) bool) (float64, error) {
	useful, second := map[string]bool{}, map[string]int{}
	for i := range run.requests {
		r := &run.requests[i]
		if r.due < overloadWarm || r.due >= overloadWarm+overloadSurge || !counts(r) {
			continue
		}
		for i, id := range r.attempts {
			second[id] = int((r.due - overloadWarm) / time.Second)
			useful[id] = r.ok && i == len(r.attempts)-1
		}
	}
	var all, lost int64
	lostBySecond := make([]int64, int(overloadSurge/time.Second))
	lostByService := map[string]int64{}
	for _, node := range run.vms() {
		report, err := run.fleet.Report(ctx, node)
		if err != nil {
			return 0, err
		}
		for id, busy := range report.BusyByID {
			at, counted := second[id]
			if !counted {
				continue
			}
			all += busy
			if !useful[id] {
				lost += busy
				lostBySecond[at] += busy / time.Millisecond.Microseconds()
				lostByService[node.Spec.Service] += busy / time.Millisecond.Microseconds()
			}
		}
	}
	env.Logf("%s: wasted ms by second of sending %v, by service %v", run.mode.name, lostBySecond, lostByService)
	return float64(lost) / float64(max(1, all)), nil
}
