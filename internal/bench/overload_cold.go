package bench

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/mangomast/mangomast/internal/load"
	"github.com/mangomast/mangomast/internal/rig"
)

func init() {
	Register(Case{Name: "overload-cold", Help: "the overload case with nodes that have little traffic, each started again in the surge", Run: runOverloadCold})
}

const (
	// coldNodes is the number of nodes without an upstream; coldRate is the
	// total rate of requests through them, per second.
	coldNodes = 12
	coldRate  = 60
	// restartPause is the time between the restarts of two of these nodes.
	restartPause  = 800 * time.Millisecond
	probeInterval = 20 * time.Millisecond
	// surgeOnset is the time that all ingress nodes have to detect the surge.
	// Requests through the nodes with little traffic count only after it.
	surgeOnset = 1 * time.Second
	// emptyService has no VMs; emptyAnswer is the failure that its callers see.
	emptyService = "nowhere"
	emptyAnswer  = "503 no_upstream"
)

// coldRow is the result of one mode, with separate figures for the requests
// through the nodes with little traffic.
type coldRow struct {
	overloadRow
	IngressOnlyRequests int     `json:"front_requests"`
	IngressOnlyTopOK    float64 `json:"front_top_ok"`
	IngressOnlyWasted   float64 `json:"front_wasted"`
}

type coldFigures struct {
	Modes []coldRow `json:"modes"`
}

func runOverloadCold(ctx context.Context, env *Env) (*Report, error) {
	withoutAsking := json.RawMessage(`{"ask_levels": false}`)
	runs, err := startOverloads(ctx, env, []overloadMode{
		{name: "ask for levels", ingressOnly: coldNodes},
		{name: "own replies only", ingressOnly: coldNodes, modules: map[string]json.RawMessage{"ingress": withoutAsking}},
	})
	defer closeOverloads(runs)
	if err != nil {
		return nil, err
	}
	figures := &coldFigures{}
	report := &Report{Figures: figures, Header: []string{
		"mode", "of slowed capacity", "top importance ok", "wasted work", "recovery s",
		"requests at cold nodes", "top importance ok there", "wasted work there",
	}}
	for _, run := range runs {
		row, err := run.measureCold(ctx, env)
		if err != nil {
			return nil, err
		}
		figures.Modes = append(figures.Modes, row)
		report.Rows = append(report.Rows, row.cells())
	}
	withAsking := figures.Modes[0]
	report.Holds = withAsking.holds() && withAsking.IngressOnlyTopOK >= minTopOK && withAsking.IngressOnlyWasted <= maxWasted
	return report, nil
}

func (r coldRow) cells() []string {
	return []string{
		r.Mode, fmt.Sprintf("%.3f", r.OfCapacity), fmt.Sprintf("%.4f", r.TopOK), fmt.Sprintf("%.3f", r.Wasted),
		fmt.Sprintf("%.1f", r.RecoverySeconds), fmt.Sprint(r.IngressOnlyRequests), fmt.Sprintf("%.4f", r.IngressOnlyTopOK),
		fmt.Sprintf("%.3f", r.IngressOnlyWasted),
	}
}

// generateIngressOnlyLoad sends requests through the nodes without an upstream
// and restarts each of these nodes during the surge.
func (run *overloadRun) generateIngressOnlyLoad(ctx context.Context, group *errgroup.Group) {
	ingressOnly := run.ingressOnly()
	run.serving.Store(&ingressOnly)
	group.Go(func() error {
		load.Run(ctx, load.Options{Rate: coldRate, Duration: overloadWarmup + overloadSurge + overloadRecovery, Do: run.request(ingressOnlyStream)})
		return nil
	})
	group.Go(func() error {
		time.Sleep(time.Until(run.started.Add(overloadWarmup)))
		restarts, ctx := errgroup.WithContext(ctx)
		for i, node := range ingressOnly {
			time.Sleep(time.Until(run.started.Add(overloadWarmup + time.Duration(i)*restartPause)))
			run.setServing(node, false)
			restarts.Go(func() error { return run.restart(ctx, node) })
		}
		return restarts.Wait()
	})
}

// setServing adds a node to those that receive requests or removes it.
func (run *overloadRun) setServing(node *rig.Node, serving bool) {
	run.mu.Lock()
	defer run.mu.Unlock()
	var nodes []*rig.Node
	for _, other := range *run.serving.Load() {
		if other != node {
			nodes = append(nodes, other)
		}
	}
	if serving {
		nodes = append(nodes, node)
	}
	run.serving.Store(&nodes)
}

// restart kills a node and starts it again. The node receives requests as soon
// as it has a share of the rate of each organisation. This is probed with
// requests to a service without VMs, so that the node does not learn the load
// of the other services from the replies.
func (run *overloadRun) restart(ctx context.Context, node *rig.Node) error {
	node.Process.Kill()
	if err := run.fleet.StartNode(node); err != nil {
		return err
	}
	for _, key := range run.keys {
		for run.attempt(ctx, "http://"+node.Callers+"/"+emptyService+"/x", key, "probe") != emptyAnswer {
			select {
			case <-ctx.Done():
				return ctx.Err()
			case <-time.After(probeInterval):
			}
		}
	}
	run.setServing(node, true)
	return nil
}

// measureCold generates the load and returns the figures of all requests and of
// those through the nodes without an upstream.
func (run *overloadRun) measureCold(ctx context.Context, env *Env) (coldRow, error) {
	all, err := run.measure(ctx, env)
	if err != nil {
		return coldRow{}, err
	}
	row := coldRow{overloadRow: all}
	top, topOK := 0, 0
	for i := range run.requests {
		r := &run.requests[i]
		if !r.isCold() {
			continue
		}
		row.IngressOnlyRequests++
		if r.top {
			top++
		}
		if r.top && r.ok {
			topOK++
		}
	}
	row.IngressOnlyTopOK = float64(topOK) / float64(max(1, top))
	row.IngressOnlyWasted, err = run.wasted(ctx, env, (*overloadRequest).isCold)
	return row, err
}

// isCold reports whether the request was sent through a node with little
// traffic, during the surge and after surgeOnset.
func (r *overloadRequest) isCold() bool {
	return r.stream == ingressOnlyStream && r.due >= overloadWarmup+surgeOnset && r.due < overloadWarmup+overloadSurge
}
