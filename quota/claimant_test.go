package quota

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

const (
	moveNodes  = 10
	moveTick   = 20 * time.Millisecond
	moveWindow = 5 * time.Second
)

// moveNode is a node of a moveFleet. Its view lags behind the members.
type moveNode struct {
	host     Host
	voter    *Voter
	claimant *Claimant
	pool     Bucket
	view     []string
	alive    bool
	// pausedUntil is the end of a pause, cutUntil that of a period without messages.
	pausedUntil, cutUntil time.Duration
	// redirect is the host that the node asks instead of the one in its view.
	redirect      string
	redirectUntil time.Duration
}

// moveFleet plays an organisation's pool that moves between nodes in virtual time. All
// nodes ask for more tokens than there are.
type moveFleet struct {
	random *rand.Rand
	now    time.Duration
	queue  map[time.Duration][]func()
	limit  Limit
	nodes  map[string]*moveNode
	names  []string
	loss   float64
	// unvoted makes each node grant whatever its own member list says.
	unvoted bool
	granted []time.Time
}

func newMoveFleet(seed uint64, limit Limit) *moveFleet {
	f := &moveFleet{random: rand.New(rand.NewPCG(seed, 1)), limit: limit, nodes: map[string]*moveNode{}, queue: map[time.Duration][]func(){}}
	for range moveNodes {
		f.join(0)
	}
	return f
}

func outranksByName(_, a, b string) bool { return weight("org", a) > weight("org", b) }

func (f *moveFleet) start(n *moveNode) {
	n.host.Incarnation++
	n.host.Address = n.host.VM
	n.alive, n.pool = true, Bucket{}
	n.voter, n.claimant = NewVoter(outranksByName), NewClaimant(n.host)
}

// members returns the VMs that are alive.
func (f *moveFleet) members() (members []string) {
	for _, name := range f.names {
		if f.nodes[name].alive {
			members = append(members, name)
		}
	}
	return members
}

// join adds a VM. It knows the others; they notice it after a random time up to lag.
func (f *moveFleet) join(lag time.Duration) {
	f.joinAs(fmt.Sprintf("vm-%d", len(f.names)), lag)
}

func (f *moveFleet) joinAs(name string, lag time.Duration) {
	n := &moveNode{host: Host{VM: name}}
	f.names = append(f.names, n.host.VM)
	f.nodes[n.host.VM] = n
	f.start(n)
	n.view = f.members()
	f.change(n.host.VM, true, lag)
}

// change makes each node notice after a random time that a VM is a member or not.
func (f *moveFleet) change(vm string, member bool, lag time.Duration) {
	for _, name := range f.names {
		n := f.nodes[name]
		f.after(time.Duration(f.random.Int64N(int64(lag)+1)), func() {
			at := slices.Index(n.view, vm)
			switch {
			case member && at < 0:
				n.view = append(slices.Clone(n.view), vm)
			case !member && at >= 0 && name != vm:
				n.view = slices.Delete(slices.Clone(n.view), at, at+1)
			}
		})
	}
}

func (f *moveFleet) after(delay time.Duration, run func()) {
	at := (f.now + delay).Round(moveTick) + moveTick
	f.queue[at] = append(f.queue[at], run)
}

// send delivers a message unless it is lost. A paused node handles it when it resumes; a
// restarted one does not get it.
func (f *moveFleet) send(from, to *moveNode, deliver func()) {
	if f.random.Float64() < f.loss || f.now < from.cutUntil || f.now < to.cutUntil {
		return
	}
	incarnation := to.host.Incarnation
	var arrive func()
	arrive = func() {
		switch {
		case !to.alive || to.host.Incarnation != incarnation:
		case f.now < to.pausedUntil:
			f.after(to.pausedUntil-f.now, arrive)
		default:
			deliver()
		}
	}
	f.after(time.Duration(f.random.Int64N(int64(60*time.Millisecond))), arrive)
}

// hostIn returns the VM that runs the pool by a node's member list.
func hostIn(view []string) string {
	return slices.MaxFunc(view, func(a, b string) int {
		if outranksByName("", a, b) {
			return 1
		}
		return -1
	})
}

func (f *moveFleet) step() {
	f.now += moveTick
	for _, run := range f.queue[f.now] {
		run()
	}
	delete(f.queue, f.now)
	for _, name := range f.names {
		n := f.nodes[name]
		if !n.alive || f.now < n.pausedUntil {
			continue
		}
		if !f.unvoted && f.now%(100*time.Millisecond) == 0 {
			f.claim(n)
		}
		if f.now%(2*moveTick) == 0 {
			f.ask(n)
		}
	}
}

func (f *moveFleet) clock() time.Time { return epoch.Add(f.now) }

func (f *moveFleet) claim(n *moveNode) {
	n.voter.Purge(f.clock())
	if hostIn(n.view) != n.host.VM {
		return
	}
	sent, claimant, host := f.clock(), n.claimant, n.host
	for vm, claims := range n.claimant.Claims(sent, []string{"org"}, n.view) {
		to, claim := f.nodes[vm], claims[0]
		if to == n {
			claimant.ApplyVerdict(vm, claim, n.voter.Vote(sent, host, claim), sent)
			continue
		}
		f.send(n, to, func() {
			verdict := to.voter.Vote(f.clock(), host, claim)
			f.send(to, n, func() { claimant.ApplyVerdict(vm, claim, verdict, sent) })
		})
	}
	for _, former := range n.claimant.YieldRequests(sent, "org") {
		to := f.nodes[former.VM]
		f.send(n, to, func() {
			if !to.host.same(former) || hostIn(to.view) == to.host.VM && !outranksByName("", host.VM, to.host.VM) {
				return
			}
			yield := to.claimant.GiveUp("org")
			to.pool = Bucket{}
			f.send(to, n, func() { claimant.ApplyYield(f.clock(), "org", yield) })
		})
	}
}

// ask requests tokens from the host that the node knows.
func (f *moveFleet) ask(n *moveNode) {
	host := hostIn(n.view)
	if f.now < n.redirectUntil {
		host = n.redirect
	}
	to := f.nodes[host]
	f.send(n, to, func() {
		if f.grant(to) {
			return
		}
		if other, ok := to.claimant.Incumbent("org"); ok {
			f.send(to, n, func() { n.redirect, n.redirectUntil = other.VM, f.now+500*time.Millisecond })
		}
	})
}

func (f *moveFleet) grant(n *moveNode) bool {
	part := n.claimant.Part(f.clock(), "org", n.view)
	if f.unvoted {
		part = 0
		if hostIn(n.view) == n.host.VM {
			part = 1
		}
	}
	n.pool.SetLimit(f.limit.Times(part), f.clock())
	for range int(n.pool.Take(1e6, f.clock())) {
		f.granted = append(f.granted, f.clock())
	}
	return part > 0
}

func (f *moveFleet) run(until time.Duration) {
	for f.now < until {
		f.step()
	}
}

// countBetween returns how many tokens were granted in a period.
func (f *moveFleet) countBetween(from, to time.Duration) (n int) {
	for _, at := range f.granted {
		if !at.Before(epoch.Add(from)) && at.Before(epoch.Add(to)) {
			n++
		}
	}
	return n
}

// disturb changes the fleet in a random way.
func (f *moveFleet) disturb() {
	const lag = 3 * time.Second
	members := f.members()
	n := f.nodes[members[f.random.IntN(len(members))]]
	if f.random.IntN(2) == 0 {
		n = f.nodes[hostIn(members)]
	}
	switch f.random.IntN(7) {
	case 0, 1:
		f.join(lag)
	case 2:
		if len(members) > 6 {
			n.alive = false
			f.change(n.host.VM, false, lag)
		}
	case 3:
		f.start(n)
	case 4:
		n.pausedUntil = f.now + time.Duration(f.random.Int64N(int64(5*time.Second)))
	case 5:
		for _, name := range members {
			if f.random.IntN(2) == 0 {
				f.start(f.nodes[name])
			}
		}
	case 6:
		n.cutUntil = f.now + time.Duration(f.random.Int64N(int64(5*time.Second)))
		f.change(n.host.VM, false, lag)
		f.after(5*time.Second+lag, func() {
			if n.alive {
				f.change(n.host.VM, true, lag)
			}
		})
	}
}

// mostMoved plays disturbances, with a limit that is halved midway. It returns the largest
// number of tokens granted in a window, as a fraction of those allowed.
func mostMoved(seed uint64, unvoted bool) float64 {
	const settled, lowered, end = 6 * time.Second, 18 * time.Second, 26 * time.Second
	limit := Limit{Rate: 140, Burst: 140}
	f := newMoveFleet(seed, moveTolerance.Widen(limit))
	f.loss, f.unvoted = 0.02, unvoted
	f.run(settled)
	disturbUntil := func(until time.Duration) {
		for f.now < until {
			f.disturb()
			f.run(f.now + moveTick + time.Duration(f.random.Int64N(int64(2*time.Second))).Round(moveTick))
		}
	}
	disturbUntil(lowered)
	most := f.mostInWindow(limit)
	f.granted, limit = nil, limit.Times(0.5)
	f.limit = moveTolerance.Widen(limit)
	disturbUntil(end)
	return max(most, f.mostInWindow(limit))
}

// moveTolerance is how far the limit may be exceeded in a window.
var moveTolerance = Tolerance{Overage: 0.1, Slack: 20}

// mostInWindow returns the largest number of tokens granted in a window, as a fraction of
// those allowed.
func (f *moveFleet) mostInWindow(limit Limit) (most float64) {
	allowed := (limit.Rate*moveWindow.Seconds()+limit.Burst)*(1+moveTolerance.Overage) + moveTolerance.Slack
	from := 0
	for to, at := range f.granted {
		for at.Sub(f.granted[from]) > moveWindow {
			from++
		}
		most = max(most, float64(to-from+1)/allowed)
	}
	return most
}

// TestMovingPoolsKeepTheLimit moves a pool in every order of joins, losses, restarts,
// pauses, cuts and lost messages, while nodes differ on the member list for seconds.
func TestMovingPoolsKeepTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		most := mostMoved(rapid.Uint64().Draw(t, "seed"), false)
		assert.Assert(t, most <= 1, "%.2f of the tokens allowed in a window", most)
	})
}

// TestMemberListsAloneDoNotKeepTheLimit shows that the load of
// TestMovingPoolsKeepTheLimit exceeds the limit where each node judges by its own list.
func TestMemberListsAloneDoNotKeepTheLimit(t *testing.T) {
	for seed := range uint64(20) {
		if mostMoved(seed, true) > 1 {
			return
		}
	}
	t.Fatal("the load kept the limit in 20 plays")
}

// TestPoolMovesWithoutAGap adds a node that becomes the host. The former host grants until
// it yields, so hardly any token is lost.
func TestPoolMovesWithoutAGap(t *testing.T) {
	for seed := range uint64(10) {
		f := newMoveFleet(seed, Limit{Rate: 100, Burst: 100})
		f.run(10 * time.Second)
		former := hostIn(f.members())
		next := 0
		for !outranksByName("", fmt.Sprintf("next-%d", next), former) {
			next++
		}
		f.joinAs(fmt.Sprintf("next-%d", next), 2*time.Second)
		f.run(14 * time.Second)
		granted := f.countBetween(10*time.Second, 14*time.Second)
		assert.Assert(t, granted >= 370, "%d of 400 tokens in 4 s, seed %d", granted, seed)
	}
}

// TestPoolOfALostHostReturns kills the host. Once the others have noticed it, the next
// host grants as soon as the votes have expired.
func TestPoolOfALostHostReturns(t *testing.T) {
	f := newMoveFleet(1, Limit{Rate: 100, Burst: 100})
	f.run(10 * time.Second)
	host := f.nodes[hostIn(f.members())]
	host.alive = false
	f.change(host.host.VM, false, 0)
	f.run(20 * time.Second)
	returned := VoteTTL + voteMargin + 2*claimInterval
	granted := f.countBetween(10*time.Second+returned, 20*time.Second)
	assert.Assert(t, granted >= 95*int((10*time.Second-returned).Seconds()), "%d tokens", granted)
}

// TestPoolOfARestartedHostReturns restarts the host's process. The voters give their votes
// to the VM's next process at once.
func TestPoolOfARestartedHostReturns(t *testing.T) {
	f := newMoveFleet(1, Limit{Rate: 100, Burst: 100})
	f.run(10 * time.Second)
	f.start(f.nodes[hostIn(f.members())])
	f.run(14 * time.Second)
	granted := f.countBetween(10*time.Second, 14*time.Second)
	assert.Assert(t, granted >= 360, "%d of 400 tokens in 4 s", granted)
}

// TestPoolOfARestartedFleetReturns restarts all processes at once, after which no voter
// knows whom it voted for.
func TestPoolOfARestartedFleetReturns(t *testing.T) {
	f := newMoveFleet(1, Limit{Rate: 100, Burst: 100})
	f.run(10 * time.Second)
	for _, name := range f.names {
		f.start(f.nodes[name])
	}
	f.run(14 * time.Second)
	granted := f.countBetween(10*time.Second, 14*time.Second)
	assert.Assert(t, granted >= 370, "%d of 400 tokens in 4 s", granted)
}

// TestPartsAddUpToOne splits the votes between two hosts whose member lists differ by two.
func TestPartsAddUpToOne(t *testing.T) {
	for votes := range 19 {
		assert.Assert(t, part(votes, 16)+part(18-votes, 16) <= 1+1e-9, "%d votes", votes)
	}
	for all := 1; all <= 16; all++ {
		assert.Equal(t, part(all, all), 1.0)
		for votes := range all + 1 {
			assert.Assert(t, part(votes, all)+part(all-votes, all) <= 1+1e-9, "%d of %d", votes, all)
		}
	}
}
