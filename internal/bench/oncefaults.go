package bench

import (
	"context"
	"strings"
	"time"

	"github.com/mangomast/mangomast/internal/rig"
	"github.com/mangomast/mangomast/internal/standin"
)

const (
	faultPause   = 900 * time.Millisecond
	restartDelay = 300 * time.Millisecond
	outageLength = 2 * time.Second
	silentShare  = 3
	// loseAnswers is how often the store takes a write and loses the answer.
	loseAnswers = 5
	// stopPause is the time between two planned stops.
	stopPause = 1500 * time.Millisecond
)

// injectFaults kills nodes and upstreams, silences connections and stops the
// store, one fault after the other, until the context ends. All the while the
// store loses some answers. It returns the
// number of faults; everything runs again when it returns.
func (e *onceExperiment) injectFaults(ctx context.Context) int {
	_ = e.fleet.SetStoreFaults(ctx, standin.Faults{DropAnswerEvery: loseAnswers})
	faults := []func(context.Context){e.killUpstream, e.silence, e.killNode, e.stopStore}
	count := 0
	for {
		select {
		case <-ctx.Done():
			return count
		case <-time.After(faultPause):
		}
		faults[count%len(faults)](ctx)
		count++
	}
}

func (e *onceExperiment) victim() *rig.Node {
	return e.fleet.Nodes[e.choose(len(e.fleet.Nodes))]
}

func (e *onceExperiment) choose(n int) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faultRandom.IntN(n)
}

// planStops stops the first node as planned and starts it again, beside the
// other faults, until the context ends. It returns the number of stops.
func (e *onceExperiment) planStops(ctx context.Context) int {
	node := e.fleet.Nodes[0]
	for count := 0; ; count++ {
		select {
		case <-ctx.Done():
			return count
		case <-time.After(stopPause):
		}
		_ = node.Process.Terminate()
		select {
		case <-node.Process.Done():
		case <-time.After(drainStopTimeout):
			node.Process.Kill()
		}
		_ = e.fleet.StartNode(node)
	}
}

// killNode kills any node but the one that is stopped as planned.
func (e *onceExperiment) killNode(context.Context) {
	node := e.fleet.Nodes[1+e.choose(len(e.fleet.Nodes)-1)]
	node.Process.Kill()
	time.Sleep(restartDelay)
	_ = e.fleet.StartNode(node)
}

func (e *onceExperiment) killUpstream(context.Context) {
	node := e.victim()
	node.Upstream.Kill()
	time.Sleep(restartDelay)
	_ = e.fleet.StartUpstream(node)
}

func (e *onceExperiment) silence(context.Context) {
	e.fleet.Network.Blackhole(func(_, listener string) bool {
		return strings.HasSuffix(listener, "/mesh") && e.choose(silentShare) == 0
	})
}

func (e *onceExperiment) stopStore(ctx context.Context) {
	// A cancelled context must not leave the store out.
	ctx = context.WithoutCancel(ctx)
	_ = e.fleet.SetStoreFaults(ctx, standin.Faults{Outage: true})
	time.Sleep(outageLength)
	_ = e.fleet.SetStoreFaults(ctx, standin.Faults{DropAnswerEvery: loseAnswers})
}
