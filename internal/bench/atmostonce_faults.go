package bench

import (
	"context"
	"strings"
	"time"

	"github.com/mangomast/mangomast/internal/rig"
	"github.com/mangomast/mangomast/internal/standin"
)

const (
	faultInterval       = 900 * time.Millisecond
	restartDelay        = 300 * time.Millisecond
	faultOutageDuration = 2 * time.Second
	blackholeOneIn      = 3
	// onceDropAnswerEvery is the interval of writes that the store applies
	// without delivering the response: one in onceDropAnswerEvery.
	onceDropAnswerEvery = 5
	// gracefulStopInterval is the time between two graceful stops.
	gracefulStopInterval = 1500 * time.Millisecond
)

// injectFaults kills nodes and upstreams, blackholes connections and stops the
// store, one fault at a time, until the context ends. Throughout, the store
// loses some of its responses. It returns the number of faults; all processes
// run again when it returns.
func (e *onceExperiment) injectFaults(ctx context.Context) int {
	_ = e.fleet.SetStoreFaults(ctx, standin.Faults{DropAnswerEvery: onceDropAnswerEvery})
	faults := []func(context.Context){e.killUpstream, e.blackhole, e.killNode, e.stopStore}
	count := 0
	for {
		select {
		case <-ctx.Done():
			return count
		case <-time.After(faultInterval):
		}
		faults[count%len(faults)](ctx)
		count++
	}
}

func (e *onceExperiment) randomNode() *rig.Node {
	return e.fleet.Nodes[e.randomIntN(len(e.fleet.Nodes))]
}

func (e *onceExperiment) randomIntN(n int) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faultRandom.IntN(n)
}

// stopGracefully repeatedly stops the first node with SIGTERM and starts it
// again, in addition to the other faults, until the context ends. It returns
// the number of stops.
func (e *onceExperiment) stopGracefully(ctx context.Context) int {
	node := e.fleet.Nodes[0]
	for count := 0; ; count++ {
		select {
		case <-ctx.Done():
			return count
		case <-time.After(gracefulStopInterval):
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

// killNode kills and restarts a random node other than the one that
// stopGracefully stops.
func (e *onceExperiment) killNode(context.Context) {
	node := e.fleet.Nodes[1+e.randomIntN(len(e.fleet.Nodes)-1)]
	node.Process.Kill()
	time.Sleep(restartDelay)
	_ = e.fleet.StartNode(node)
}

func (e *onceExperiment) killUpstream(context.Context) {
	node := e.randomNode()
	node.Upstream.Kill()
	time.Sleep(restartDelay)
	_ = e.fleet.StartUpstream(node)
}

func (e *onceExperiment) blackhole(context.Context) {
	e.fleet.Network.Blackhole(func(_, listener string) bool {
		return strings.HasSuffix(listener, "/mesh") && e.randomIntN(blackholeOneIn) == 0
	})
}

func (e *onceExperiment) stopStore(ctx context.Context) {
	// The outage must end even if the context is cancelled.
	ctx = context.WithoutCancel(ctx)
	_ = e.fleet.SetStoreFaults(ctx, standin.Faults{Outage: true})
	time.Sleep(faultOutageDuration)
	_ = e.fleet.SetStoreFaults(ctx, standin.Faults{DropAnswerEvery: onceDropAnswerEvery})
}
