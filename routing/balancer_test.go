package routing

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/mangomast/mangomast/call"
	"github.com/mangomast/mangomast/membership"
)

var (
	testPlace = Place{FailureDomain: "riga-a", Region: "riga"}
	testStart = time.Unix(1000, 0)
	testHead  = &call.Head{Service: "fares", Route: "quote"}
)

func entries(count int, domains ...string) []membership.Entry {
	list := make([]membership.Entry, count)
	for i := range list {
		domain := domains[i%len(domains)]
		list[i] = membership.Entry{
			VM: fmt.Sprintf("vm-%d", i), Incarnation: 1, Slots: 10,
			FailureDomain: domain, Region: domain[:len(domain)-2], State: membership.Ready,
		}
	}
	return list
}

func newTestBalancer(seed uint64, edit func(*Options)) *Balancer {
	opts := DefaultOptions()
	opts.Self, opts.Place = "self", testPlace
	opts.Rand = rand.New(rand.NewPCG(seed, 1)).Float64
	if edit != nil {
		edit(&opts)
	}
	return NewBalancer(opts)
}

func answered(status int) *call.Reply {
	return &call.Reply{Outcome: call.Answered, Status: status}
}

// send picks a VM for one request, records the reply and returns the VM.
func send(b *Balancer, list []membership.Entry, now time.Time, reply func(vm string) *call.Reply) string {
	attempt := Attempt{Head: testHead, Now: now}
	entry, ok := b.Pick(attempt, list)
	if !ok {
		return ""
	}
	b.Begin(attempt, entry)
	b.Done(Result{Entry: entry, Head: testHead, Reply: reply(entry.VM), Latency: time.Millisecond, Now: now})
	return entry.VM
}

func TestSubsetChangesByAtMostOneMember(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		list := entries(rapid.IntRange(1, 60).Draw(t, "count"), "riga-a")
		size := rapid.IntRange(1, 20).Draw(t, "size")
		before := Subset("self", list, size)
		assert.Equal(t, len(before), min(size, len(list)))
		removed := rapid.IntRange(0, len(list)-1).Draw(t, "removed")
		after := Subset("self", slices.Delete(slices.Clone(list), removed, removed+1), size)
		dropped := 0
		for _, entry := range before {
			if !slices.Contains(after, entry) {
				dropped++
				assert.Equal(t, entry.VM, list[removed].VM)
			}
		}
		assert.Assert(t, dropped <= 1)
	})
}

func TestPickReturnsOnlyUntriedVMs(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		list := entries(rapid.IntRange(0, 8).Draw(t, "count"), "riga-a", "riga-b", "jurmala-a")
		b := newTestBalancer(rapid.Uint64().Draw(t, "seed"), nil)
		attempt := Attempt{Head: testHead, Now: testStart}
		for range len(list) {
			entry, ok := b.Pick(attempt, list)
			assert.Assert(t, ok && !slices.Contains(attempt.Tried, entry.VM))
			attempt.Tried = append(attempt.Tried, entry.VM)
		}
		_, ok := b.Pick(attempt, list)
		assert.Assert(t, !ok)
	})
}

func TestFailingVMIsEjected(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		list := entries(rapid.IntRange(2, 8).Draw(t, "count"), "riga-a")
		b := newTestBalancer(rapid.Uint64().Draw(t, "seed"), nil)
		runs := 0
		const requests = 1000
		for i := range requests {
			now := testStart.Add(time.Duration(i) * 5 * time.Millisecond)
			send(b, list, now, func(vm string) *call.Reply {
				if vm == "vm-0" {
					runs++
					return answered(http.StatusInternalServerError)
				}
				return answered(http.StatusOK)
			})
		}
		assert.Assert(t, runs <= requests/50, "%d of %d requests went to the failing VM of %d", runs, requests, len(list))
	})
}

// TestEjectionIsBounded lets VMs fail at random. The share of ejected VMs must
// never exceed MaxShare, and if every request fails, at most the VM that failed
// first may be ejected.
func TestEjectionIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(1, 9).Draw(t, "count")
		list := entries(count, "riga-a", "riga-b")
		b := newTestBalancer(rapid.Uint64().Draw(t, "seed"), nil)
		allFail := rapid.Bool().Draw(t, "all fail")
		rates := map[string]float64{}
		for _, entry := range list {
			rates[entry.VM] = rapid.Float64Range(0, 1).Draw(t, entry.VM)
		}
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "failures"), 2))
		for i := range 400 {
			now := testStart.Add(time.Duration(i) * 10 * time.Millisecond)
			vm := send(b, list, now, func(vm string) *call.Reply {
				if allFail || random.Float64() < rates[vm] {
					return answered(http.StatusBadGateway)
				}
				return answered(http.StatusOK)
			})
			assert.Assert(t, vm != "", "no VM was picked")
			ejectedCount := 0
			for _, v := range b.vms {
				if v.ejected(now) {
					ejectedCount++
				}
			}
			assert.Assert(t, float64(ejectedCount) <= b.opts.Outliers.MaxShare*float64(count), "%d of %d ejected", ejectedCount, count)
			assert.Assert(t, !allFail || ejectedCount <= 1, "%d ejected though all fail", ejectedCount)
		}
	})
}

// TestFailureAfterLongSuccess lets one VM, or all, start failing after many
// successes. A single failing VM must be ejected after a few failures despite
// its good history; if all fail, none may remain ejected.
func TestFailureAfterLongSuccess(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		list := entries(rapid.IntRange(2, 8).Draw(t, "count"), "riga-a", "riga-b")
		b := newTestBalancer(rapid.Uint64().Draw(t, "seed"), nil)
		all := rapid.Bool().Draw(t, "all")
		const requests, onset = 3000, 1500
		failures := 0
		var now time.Time
		for i := range requests {
			now = testStart.Add(time.Duration(i) * time.Millisecond)
			send(b, list, now, func(vm string) *call.Reply {
				if i < onset || !all && vm != "vm-0" {
					return answered(http.StatusOK)
				}
				failures++
				return answered(http.StatusInternalServerError)
			})
		}
		if !all {
			assert.Assert(t, failures <= 8, "%d failures at the failing VM", failures)
			return
		}
		for name, v := range b.vms {
			assert.Assert(t, !v.ejected(now), "%s is ejected though all fail", name)
		}
	})
}

func TestSlowVMIsEjectedOnlyIfOthersHaveCapacity(t *testing.T) {
	for _, running := range []int{1, 10} {
		list := entries(3, "riga-a")
		b := newTestBalancer(1, func(o *Options) { o.Ramp = 0 })
		for i := range 600 {
			now := testStart.Add(time.Duration(i) * 5 * time.Millisecond)
			for _, entry := range list {
				latency := 10 * time.Millisecond
				if entry.VM == "vm-0" {
					latency = 100 * time.Millisecond
				}
				reply := answered(http.StatusOK)
				reply.Load = call.Load{Running: running, Limit: 10}
				attempt := Attempt{Head: testHead, Now: now}
				_, _ = b.Pick(attempt, list)
				b.Begin(attempt, entry)
				b.Done(Result{Entry: entry, Head: testHead, Reply: reply, Latency: latency, Now: now})
			}
		}
		assert.Equal(t, b.vms["vm-0"].ejections > 0, running == 1, "running %d", running)
		assert.Equal(t, b.vms["vm-1"].ejections, 0)
	}
}

// TestIdleNewVMIsUsed guards against a new VM that never gets its first
// request: it is the only VM in this node's failure domain, and its effective
// capacity is small during the ramp.
func TestIdleNewVMIsUsed(t *testing.T) {
	list := entries(2, "riga-a", "riga-b")
	b := newTestBalancer(1, nil)
	ok := func(string) *call.Reply { return answered(http.StatusOK) }
	send(b, slices.Clone(list[1:]), testStart, ok)
	assert.Equal(t, send(b, list, testStart.Add(time.Minute), ok), "vm-0")
}

func TestNewVMRampsUp(t *testing.T) {
	list := entries(4, "riga-a")
	b := newTestBalancer(1, nil)
	share := func(list []membership.Entry, from time.Time) int {
		runs := 0
		for i := range 1000 {
			if send(b, list, from.Add(time.Duration(i)*time.Millisecond), func(string) *call.Reply { return answered(http.StatusOK) }) == "vm-3" {
				runs++
			}
		}
		return runs
	}
	share(slices.Clone(list[:3]), testStart)
	later := testStart.Add(time.Minute)
	cold := share(list, later)
	warm := share(list, later.Add(b.opts.Ramp))
	assert.Assert(t, cold < 100, "%d of 1000 requests in the first second", cold)
	assert.Assert(t, warm > 150, "%d of 1000 requests after the ramp", warm)
}

// TestSpillFollowsLoad checks that requests spill to other failure domains of
// the node's region once its own is loaded, and to other regions only after
// that.
func TestSpillFollowsLoad(t *testing.T) {
	list := entries(3, "riga-a", "riga-b", "jurmala-a")
	b := newTestBalancer(1, func(o *Options) { o.Ramp = 0 })
	var domains []string
	for range 25 {
		attempt := Attempt{Head: testHead, Now: testStart}
		entry, ok := b.Pick(attempt, list)
		assert.Assert(t, ok)
		b.Begin(attempt, entry)
		domains = append(domains, entry.FailureDomain)
	}
	assert.DeepEqual(t, domains[:8], slices.Repeat([]string{"riga-a"}, 8))
	assert.Equal(t, domains[8], "riga-b")
	first := slices.Index(domains, "jurmala-a")
	assert.Assert(t, first >= 20, "spilled to the other region at request %d", first)
}

// TestSpillBytesAreBounded keeps the VM in the node's region at its limit, so
// that further requests spill. The bytes sent to other regions must stay within
// burst + rate * time + the requests in flight.
func TestSpillBytesAreBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const rate, burst, answerBytes = 10e3, 20_000, 5_000
		list := entries(2, "riga-a", "jurmala-a")
		b := newTestBalancer(1, func(o *Options) { o.SpillBytesPerSecond, o.SpillBurstBytes, o.Ramp = rate, burst, 0 })
		spilled := 0
		step := time.Duration(rapid.IntRange(1, 50).Draw(t, "step ms")) * time.Millisecond
		for i := range 500 {
			now := testStart.Add(time.Duration(i) * step)
			attempt := Attempt{Head: testHead, Now: now}
			entry, ok := b.Pick(attempt, list)
			assert.Assert(t, ok)
			b.Begin(attempt, entry)
			if entry.Region != "riga" {
				spilled += answerBytes
				b.Done(Result{Entry: entry, Head: testHead, Reply: answered(http.StatusOK), Bytes: answerBytes, Now: now})
			}
			allowed := burst + rate*(time.Duration(i)*step).Seconds() + answerBytes
			assert.Assert(t, float64(spilled) <= allowed, "%d bytes spilled, %g allowed", spilled, allowed)
		}
		assert.Assert(t, spilled > 0)
	})
}

// TestColdVMGetsFewRequests checks that a VM which announces that it is cold gets its
// share of the requests only once the announced time has passed, and that the
// announcement counts once.
func TestColdVMGetsFewRequests(t *testing.T) {
	b := newTestBalancer(3, nil)
	list := entries(4, "riga-a")
	count := func(now time.Time) int {
		picked := 0
		for range 400 {
			if send(b, list, now, func(string) *call.Reply { return answered(http.StatusOK) }) == "vm-0" {
				picked++
			}
		}
		return picked
	}
	now := testStart.Add(time.Minute)
	count(now)
	list = slices.Clone(list)
	list[0].Cold = membership.Coldness{Number: 1, For: 3 * time.Second, Slots: 1}
	now = now.Add(time.Minute)
	if picked := count(now); picked > 20 {
		t.Fatalf("a cold VM got %d of 400 requests", picked)
	}
	list = slices.Clone(list)
	list[0].Version++
	if picked := count(now.Add(4 * time.Second)); picked < 60 {
		t.Fatalf("a VM that is warm again got %d of 400 requests", picked)
	}
}
