package routing

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/mangomast/mangomast/call"
	"github.com/mangomast/mangomast/membership"
)

// TestExcludedVMsAreNeverPicked has requests that may run in one region only, while
// VMs fail, are ejected and are tried. A VM is found as long as one is allowed.
func TestExcludedVMsAreNeverPicked(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		list := entries(rapid.IntRange(1, 80).Draw(t, "count"), "riga-a", "riga-b", "jurmala-a", "liepaja-a", "ventspils-a")
		b := newTestBalancer(rapid.Uint64().Draw(t, "seed"), nil)
		allowed := rapid.SampledFrom([]string{"riga-a", "riga-b", "jurmala-a", "liepaja-a"}).Draw(t, "allowed")
		excluded := func(e membership.Entry) bool { return e.FailureDomain != allowed }
		now := testStart
		failing := rapid.SliceOfN(rapid.Bool(), len(list), len(list)).Draw(t, "failing")
		for range 10 {
			now = now.Add(20 * time.Millisecond)
			attempt := Attempt{Head: testHead, Now: now, Excluded: excluded}
			for {
				entry, ok := b.Pick(attempt, list)
				untried := 0
				for i, e := range list {
					if e.FailureDomain == allowed && !slices.Contains(attempt.Tried, e.VM) {
						untried++
					}
					if ok && e.VM == entry.VM {
						reply := answered(200)
						if failing[i] {
							reply = call.Refuse(call.CodeUpstreamFailed, "")
						}
						b.Begin(attempt, entry)
						b.Done(Result{Entry: entry, Head: testHead, Reply: reply, Latency: time.Millisecond, Now: now})
					}
				}
				assert.Equal(t, ok, untried > 0)
				if !ok || len(attempt.Tried) > 3 {
					break
				}
				assert.Equal(t, entry.FailureDomain, allowed)
				attempt.Tried = append(attempt.Tried, entry.VM)
			}
		}
	})
}

// TestTakenBackVMsReturnByRamp evacuates a failure domain and takes it back. Its VMs
// must get a growing part of the requests, and all of theirs after the ramp.
func TestTakenBackVMsReturnByRamp(t *testing.T) {
	list := entries(20, "riga-a", "riga-b")
	b := newTestBalancer(1, func(o *Options) {
		o.Ramp = UpstreamRamp
		o.Place.FailureDomain = "riga-c" // both domains are equally near
	})
	now := testStart.Add(time.Minute)
	share := func(excluded func(membership.Entry) bool) float64 {
		const requests = 2000
		taken := 0
		for range requests {
			attempt := Attempt{Head: testHead, Now: now, Excluded: excluded}
			entry, ok := b.Pick(attempt, list)
			assert.Assert(t, ok)
			b.Begin(attempt, entry)
			b.Done(Result{Entry: entry, Head: testHead, Reply: answered(200), Latency: time.Millisecond, Now: now})
			if entry.FailureDomain == "riga-a" {
				taken++
			}
		}
		return float64(taken) / requests
	}
	evacuated := func(e membership.Entry) bool { return e.FailureDomain == "riga-a" }
	share(nil)
	now = now.Add(time.Minute)
	usual := share(nil)
	assert.Assert(t, usual > 0.2, "%f", usual)
	assert.Equal(t, share(evacuated), 0.)

	b.RestartRamp(evacuated, now)
	first := share(nil)
	assert.Assert(t, first > 0 && first < usual/3, "%f of %f", first, usual)
	now = now.Add(UpstreamRamp / 2)
	half := share(nil)
	assert.Assert(t, half > first && half < usual, "%f", half)
	now = now.Add(UpstreamRamp)
	assert.Assert(t, share(nil) > 0.8*usual)
}
