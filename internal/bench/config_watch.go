package bench

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/mangomast/mangomast/internal/rig"
)

const watchInterval = 50 * time.Millisecond

// observation is what a VM said of itself.
type observation struct {
	at       time.Time
	revision int64
	accepted int64
	fresh    bool
}

// vmWatch is what was seen of one VM, in order.
type vmWatch struct {
	mu   sync.Mutex
	seen []observation
	// down has the times at which the VM was killed or came back.
	down []time.Time
}

// livedThroughout reports whether the VM was up all the time.
func (v *vmWatch) livedThroughout(from, until time.Time) bool {
	for i, at := range v.down {
		killed := i%2 == 0
		if killed && at.Before(until) && (i+1 == len(v.down) || v.down[i+1].After(from)) {
			return false
		}
	}
	return true
}

// revisionWatch asks every VM for its revision in short intervals.
type revisionWatch struct {
	cancel context.CancelFunc
	group  sync.WaitGroup
	vms    []*vmWatch
}

func startRevisionWatch(ctx context.Context, fleet *rig.Rig) *revisionWatch {
	ctx, cancel := context.WithCancel(ctx)
	w := &revisionWatch{cancel: cancel}
	for _, node := range fleet.Nodes {
		v := &vmWatch{}
		w.vms = append(w.vms, v)
		w.group.Go(func() { v.run(ctx, fleet, node) })
	}
	return w
}

func (w *revisionWatch) stop() {
	w.cancel()
	w.group.Wait()
}

func (v *vmWatch) run(ctx context.Context, fleet *rig.Rig, node *rig.Node) {
	for ctx.Err() == nil {
		asked := time.Now()
		status, err := fleet.OwnStatus(ctx, node)
		if err == nil {
			v.mu.Lock()
			// What is too old counts from when it was asked, what is in force
			// from then too, to within one interval.
			v.seen = append(v.seen, observation{at: asked, revision: status.Revision, accepted: status.Accepted, fresh: status.Fresh})
			v.mu.Unlock()
		}
		time.Sleep(watchInterval)
	}
}

// judge checks each change against what was seen of each VM.
func (w *revisionWatch) judge(changes []committed, figures *configFigures) {
	var inForce, accepted []int64
	for _, c := range changes {
		var last, known time.Duration
		for _, v := range w.vms {
			force, accept, late := v.judge(c)
			last, known = max(last, force), max(known, accept)
			figures.Late += late
		}
		inForce, accepted = append(inForce, last.Milliseconds()), append(accepted, known.Milliseconds())
	}
	for _, v := range w.vms {
		figures.Reverts += v.reverts()
	}
	slices.Sort(inForce)
	slices.Sort(accepted)
	if n := len(inForce); n > 0 {
		figures.InForceP50Ms, figures.InForceMaxMs = inForce[n/2], inForce[n-1]
		figures.AcceptedP50Ms, figures.AcceptedMaxMs = accepted[n/2], accepted[n-1]
	}
}

// judge returns how long after the commit the VM had the change, and knew
// that it was accepted; zero for a VM that was killed in between. A VM that
// serves without the change past the bound is late.
func (v *vmWatch) judge(c committed) (inForce, accepted time.Duration, late int) {
	bound := c.at.Add(maxInForce)
	for _, o := range v.seen {
		if o.at.After(bound) && o.fresh && o.revision < c.revision {
			late = 1
		}
	}
	if !v.livedThroughout(c.at, bound) {
		return 0, 0, late
	}
	never := time.Hour
	return v.first(c, never, func(o observation) int64 { return o.revision }),
		v.first(c, never, func(o observation) int64 { return o.accepted }), late
}

func (v *vmWatch) first(c committed, never time.Duration, of func(observation) int64) time.Duration {
	for _, o := range v.seen {
		if of(o) >= c.revision {
			return max(0, o.at.Sub(c.at))
		}
	}
	return never
}

// reverts counts the times that the VM went back to an older revision. A VM
// that was started again holds none at first.
func (v *vmWatch) reverts() int {
	count := 0
	for i := 1; i < len(v.seen); i++ {
		if v.seen[i].revision < v.seen[i-1].revision && v.livedThroughout(v.seen[i-1].at, v.seen[i].at) {
			count++
		}
	}
	return count
}

// killer kills one VM after the other and starts it again.
type killer struct {
	cancel context.CancelFunc
	done   chan struct{}
	kills  int
	err    error
}

func startKiller(ctx context.Context, env *Env, fleet *rig.Rig, watch *revisionWatch) *killer {
	ctx, cancel := context.WithCancel(ctx)
	k := &killer{cancel: cancel, done: make(chan struct{})}
	random := rand.New(rand.NewPCG(env.Seed, operators))
	go func() {
		defer close(k.done)
		for k.err == nil && sleep(ctx, killInterval) {
			index := random.IntN(len(fleet.Nodes))
			k.err = killOnce(fleet.Nodes[index], fleet, watch.vms[index])
			k.kills++
		}
	}()
	return k
}

func killOnce(node *rig.Node, fleet *rig.Rig, v *vmWatch) error {
	v.mu.Lock()
	v.down = append(v.down, time.Now())
	v.mu.Unlock()
	node.Process.Kill()
	time.Sleep(killPause)
	err := fleet.StartNode(node)
	v.mu.Lock()
	v.down = append(v.down, time.Now())
	v.mu.Unlock()
	return err
}

// sleep reports whether the time passed before the context ended.
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
