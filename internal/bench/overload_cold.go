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
	// coldFronts is the number of nodes without an upstream, coldRate their
	// requests a second together.
	coldFronts = 12
	coldRate   = 60
	// restartPause is the time between the restarts of two of them.
	restartPause = 800 * time.Millisecond
	frontPoll    = 20 * time.Millisecond
	// onset is the time from the start of the surge in which all ingresses
	// learn of it; the nodes with little traffic are judged after it.
	onset = 1 * time.Second
	// emptyService has no VMs; emptyAnswer is what its callers get.
	emptyService = "nowhere"
	emptyAnswer  = "503 no_upstream"
)

// coldRow is what one mode measured of the requests through the nodes that
// have little traffic.
type coldRow struct {
	overloadRow
	FrontRequests int     `json:"front_requests"`
	FrontTopOK    float64 `json:"front_top_ok"`
	FrontWasted   float64 `json:"front_wasted"`
}

type coldFigures struct {
	Modes []coldRow `json:"modes"`
}

func runOverloadCold(ctx context.Context, env *Env) (*Report, error) {
	silent := json.RawMessage(`{"ask_levels": false}`)
	runs, err := startOverloads(ctx, env, []overloadMode{
		{name: "ask for levels", fronts: coldFronts},
		{name: "own replies only", fronts: coldFronts, modules: map[string]json.RawMessage{"ingress": silent}},
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
	asking := figures.Modes[0]
	report.Holds = asking.holds() && asking.FrontTopOK >= topBound && asking.FrontWasted <= wasteBound
	return report, nil
}

func (r coldRow) cells() []string {
	return []string{
		r.Mode, fmt.Sprintf("%.3f", r.OfCapacity), fmt.Sprintf("%.4f", r.TopOK), fmt.Sprintf("%.3f", r.Wasted),
		fmt.Sprintf("%.1f", r.RecoverySeconds), fmt.Sprint(r.FrontRequests), fmt.Sprintf("%.4f", r.FrontTopOK),
		fmt.Sprintf("%.3f", r.FrontWasted),
	}
}

// driveFronts sends requests through the nodes without an upstream, and starts
// each of them again in the surge.
func (run *overloadRun) driveFronts(ctx context.Context, group *errgroup.Group) {
	fronts := run.fronts()
	run.serving.Store(&fronts)
	group.Go(func() error {
		load.Run(ctx, load.Options{Rate: coldRate, Duration: overloadWarm + overloadSurge + overloadAfter, Do: run.request(frontStream)})
		return nil
	})
	group.Go(func() error {
		time.Sleep(time.Until(run.started.Add(overloadWarm)))
		restarts, ctx := errgroup.WithContext(ctx)
		for i, node := range fronts {
			time.Sleep(time.Until(run.started.Add(overloadWarm + time.Duration(i)*restartPause)))
			run.setServing(node, false)
			restarts.Go(func() error { return run.restart(ctx, node) })
		}
		return restarts.Wait()
	})
}

// setServing adds a node to those that take requests, or takes it away.
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

// restart ends a node's process and starts it again. It takes requests as soon
// as it has a share of each organisation's rate; a service without VMs tells
// that, so the node learns nothing of the others.
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
			case <-time.After(frontPoll):
			}
		}
	}
	run.setServing(node, true)
	return nil
}

// measureCold drives the load and returns the figures of all requests and of
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
		row.FrontRequests++
		if r.top {
			top++
		}
		if r.top && r.ok {
			topOK++
		}
	}
	row.FrontTopOK = float64(topOK) / float64(max(1, top))
	row.FrontWasted, err = run.wasted(ctx, env, (*overloadRequest).isCold)
	return row, err
}

// isCold reports whether the request came through a node with little traffic
// after the surge's onset.
func (r *overloadRequest) isCold() bool {
	return r.stream == frontStream && r.due >= overloadWarm+onset && r.due < overloadWarm+overloadSurge
}
