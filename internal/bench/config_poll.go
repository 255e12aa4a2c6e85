package bench

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/mangomast/mangomast/internal/rig"
)

const revisionPollInterval = 50 * time.Millisecond

// observation is the status that a VM reported.
type observation struct {
	at       time.Time
	revision int64
	accepted int64
	fresh    bool
}

// vmObserver records the observations of one VM in order of time.
type vmObserver struct {
	mu           sync.Mutex
	observations []observation
	// transitions has the times at which the VM was killed and restarted,
	// alternating.
	transitions []time.Time
}

// upThroughout reports whether the VM was up for the whole interval.
func (v *vmObserver) upThroughout(from, until time.Time) bool {
	for i, at := range v.transitions {
		killed := i%2 == 0
		if killed && at.Before(until) && (i+1 == len(v.transitions) || v.transitions[i+1].After(from)) {
			return false
		}
	}
	return true
}

// revisionPoller polls the configuration revision of every VM.
type revisionPoller struct {
	cancel context.CancelFunc
	group  sync.WaitGroup
	vms    []*vmObserver
}

func startRevisionPoller(ctx context.Context, fleet *rig.Rig) *revisionPoller {
	ctx, cancel := context.WithCancel(ctx)
	p := &revisionPoller{cancel: cancel}
	for _, node := range fleet.Nodes {
		v := &vmObserver{}
		p.vms = append(p.vms, v)
		p.group.Go(func() { v.run(ctx, fleet, node) })
	}
	return p
}

func (p *revisionPoller) stop() {
	p.cancel()
	p.group.Wait()
}

func (v *vmObserver) run(ctx context.Context, fleet *rig.Rig, node *rig.Node) {
	for ctx.Err() == nil {
		asked := time.Now()
		status, err := fleet.OwnStatus(ctx, node)
		if err == nil {
			v.mu.Lock()
			// Both staleness and the time in force are measured from the time
			// of the poll, so they are exact to one polling interval.
			v.observations = append(v.observations, observation{at: asked, revision: status.Revision, accepted: status.Accepted, fresh: status.Fresh})
			v.mu.Unlock()
		}
		time.Sleep(revisionPollInterval)
	}
}

// evaluate checks each change against the observations of every VM and adds the
// results to the figures.
func (p *revisionPoller) evaluate(changes []committed, figures *configFigures) {
	var inForce, accepted []int64
	for _, c := range changes {
		var allInForce, allAccepted time.Duration
		for _, v := range p.vms {
			force, accept, late := v.evaluate(c)
			allInForce, allAccepted = max(allInForce, force), max(allAccepted, accept)
			figures.ServedLate += late
		}
		inForce, accepted = append(inForce, allInForce.Milliseconds()), append(accepted, allAccepted.Milliseconds())
	}
	for _, v := range p.vms {
		figures.Reverts += v.reverts()
	}
	slices.Sort(inForce)
	slices.Sort(accepted)
	if n := len(inForce); n > 0 {
		figures.InForceP50Ms, figures.InForceMaxMs = inForce[n/2], inForce[n-1]
		figures.AcceptedP50Ms, figures.AcceptedMaxMs = accepted[n/2], accepted[n-1]
	}
}

// evaluate returns the time from the commit until the VM had the change and
// until it had recorded it as accepted, or zero for a VM that was not up for the
// whole time. late is 1 if the VM served without the change after maxInForce.
func (v *vmObserver) evaluate(c committed) (inForce, accepted time.Duration, late int) {
	bound := c.at.Add(maxInForce)
	for _, o := range v.observations {
		if o.at.After(bound) && o.fresh && o.revision < c.revision {
			late = 1
		}
	}
	if !v.upThroughout(c.at, bound) {
		return 0, 0, late
	}
	never := time.Hour
	return v.firstReached(c, never, func(o observation) int64 { return o.revision }),
		v.firstReached(c, never, func(o observation) int64 { return o.accepted }), late
}

func (v *vmObserver) firstReached(c committed, never time.Duration, revisionOf func(observation) int64) time.Duration {
	for _, o := range v.observations {
		if revisionOf(o) >= c.revision {
			return max(0, o.at.Sub(c.at))
		}
	}
	return never
}

// reverts counts the times that the VM returned to an older revision. Restarts
// are excluded because a restarted VM has no revision at first.
func (v *vmObserver) reverts() int {
	count := 0
	for i := 1; i < len(v.observations); i++ {
		if v.observations[i].revision < v.observations[i-1].revision && v.upThroughout(v.observations[i-1].at, v.observations[i].at) {
			count++
		}
	}
	return count
}

// killer repeatedly kills a random VM and starts it again.
type killer struct {
	cancel context.CancelFunc
	done   chan struct{}
	kills  int
	err    error
}

func startKiller(ctx context.Context, env *Env, fleet *rig.Rig, poller *revisionPoller) *killer {
	ctx, cancel := context.WithCancel(ctx)
	k := &killer{cancel: cancel, done: make(chan struct{})}
	random := rand.New(rand.NewPCG(env.Seed, operators))
	go func() {
		defer close(k.done)
		for k.err == nil && sleep(ctx, killInterval) {
			index := random.IntN(len(fleet.Nodes))
			k.err = killAndRestart(fleet.Nodes[index], fleet, poller.vms[index])
			k.kills++
		}
	}()
	return k
}

func killAndRestart(node *rig.Node, fleet *rig.Rig, v *vmObserver) error {
	v.mu.Lock()
	v.transitions = append(v.transitions, time.Now())
	v.mu.Unlock()
	node.Process.Kill()
	time.Sleep(killDowntime)
	err := fleet.StartNode(node)
	v.mu.Lock()
	v.transitions = append(v.transitions, time.Now())
	v.mu.Unlock()
	return err
}

// sleep waits for the duration. It returns false if the context ended first.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

func (k *killer) stop() (int, error) {
	k.cancel()
	<-k.done
	return k.kills, k.err
}
