package bench

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"github.com/mangomast/mangomast/internal/rig"
)

func init() {
	Register(Case{
		Name: "storm", Run: runStorm,
		Help: "32 nodes: half of them killed and started at once, then regions cut and joined: time and bytes until all are ready",
	})
}

const (
	stormNodes   = 32
	stormDomains = 4
	// stormDowntime is the time for which nodes are down or regions are cut.
	stormDowntime = 6 * time.Second
	stormPoll     = 50 * time.Millisecond
	// maxStormRecovery bounds the time until all nodes are ready again. It is
	// the required bound for a change to be in force plus the start of a
	// process.
	maxStormRecovery = 10 * time.Second
)

// stormStep is the recovery from one storm, until every node serves callers and
// lists every other node.
type stormStep struct {
	Name string `json:"name"`
	// FreshSeconds is the time until every node serves callers; Seconds is the
	// time until every node also lists every other node.
	FreshSeconds float64 `json:"fresh_seconds"`
	Seconds      float64 `json:"seconds"`
	// The following figures end when every node serves callers, because the
	// requests for the membership of each node would account for most of the
	// bytes. BusiestBytes and BusiestCPU are the maximum number of bytes sent
	// and received and the maximum CPU time, each over the nodes that stayed up.
	BusiestBytes float64 `json:"busiest_bytes"`
	BusiestCPU   float64 `json:"busiest_cpu_seconds"`
	// StoreCalls is the number of store calls in the same time.
	StoreCalls int64 `json:"store_calls"`
}

type stormFigures struct {
	Steps []stormStep `json:"steps"`
}

// stormRun is one run of the storm case.
type stormRun struct {
	fleet   *rig.Rig
	figures stormFigures
}

func runStorm(ctx context.Context, _ *Env) (*Report, error) {
	nodes, doc := idleFleet(stormNodes, stormDomains)
	fleet, err := rig.Start(ctx, rig.Options{Nodes: nodes, Document: doc})
	if err != nil {
		return nil, err
	}
	defer fleet.Close()
	run := &stormRun{fleet: fleet}
	time.Sleep(fleetSettle)
	half := fleet.Nodes[:stormNodes/2]
	for _, node := range half {
		node.Process.Kill()
	}
	time.Sleep(stormDowntime)
	if err := run.step(ctx, "half of the nodes start at once", len(half), func() error { return startAll(fleet, half) }); err != nil {
		return nil, err
	}
	fleet.Network.SetRule(func(source, listener string) rig.Faults {
		return rig.Faults{Cut: rig.RegionOf(fleet, source) != rig.RegionOf(fleet, listener)}
	})
	time.Sleep(stormDowntime)
	join := func() error {
		fleet.Network.SetRule(func(string, string) rig.Faults { return rig.Faults{} })
		return nil
	}
	if err := run.step(ctx, "regions join", 0, join); err != nil {
		return nil, err
	}
	return run.report(), nil
}

func startAll(fleet *rig.Rig, nodes []*rig.Node) error {
	for _, node := range nodes {
		if err := fleet.StartNode(node); err != nil {
			return err
		}
	}
	return nil
}

// waitFresh waits until every node has a configuration and proof that it is the
// latest one. It requests only each node's own status.
func (r *stormRun) waitFresh(ctx context.Context) error {
	for _, node := range r.fleet.Nodes {
		for {
			status, err := r.fleet.OwnStatus(ctx, node)
			if err == nil && status.Revision > 0 && status.Fresh {
				break
			}
			select {
			case <-ctx.Done():
				return errors.Wrapf(ctx.Err(), "configuration of node %s is not fresh", node.Spec.VM)
			case <-time.After(stormPoll):
			}
		}
	}
	return nil
}

// step triggers a storm and measures until all nodes are ready. The first
// restarted nodes were down, so their usage is excluded.
func (r *stormRun) step(ctx context.Context, name string, restarted int, trigger func() error) error {
	running := *r.fleet
	running.Nodes = r.fleet.Nodes[restarted:]
	before, err := nodeUsages(ctx, &running)
	if err != nil {
		return err
	}
	storeBefore, err := r.fleet.StoreCounts(ctx)
	if err != nil {
		return err
	}
	started := time.Now()
	if err := trigger(); err != nil {
		return err
	}
	if err := r.waitFresh(ctx); err != nil {
		return err
	}
	step := stormStep{Name: name, FreshSeconds: time.Since(started).Seconds()}
	after, err := nodeUsages(ctx, &running)
	if err != nil {
		return err
	}
	storeAfter, err := r.fleet.StoreCounts(ctx)
	if err != nil {
		return err
	}
	step.StoreCalls = storeCalls(storeAfter) - storeCalls(storeBefore)
	for i := range after {
		step.BusiestBytes = max(step.BusiestBytes, after[i].bytes-before[i].bytes)
		step.BusiestCPU = max(step.BusiestCPU, (after[i].usage.CPU - before[i].usage.CPU).Seconds())
	}
	if err := r.fleet.WaitReady(ctx); err != nil {
		return err
	}
	step.Seconds = time.Since(started).Seconds()
	r.figures.Steps = append(r.figures.Steps, step)
	return nil
}

func (r *stormRun) report() *Report {
	report := &Report{Holds: true, Figures: &r.figures, Header: []string{"storm", "all serve after s", "all know all after s", "busiest node: bytes", "cpu s", "store calls"}}
	for _, s := range r.figures.Steps {
		report.Holds = report.Holds && s.Seconds <= maxStormRecovery.Seconds()
		report.Rows = append(report.Rows, []string{
			s.Name, fmt.Sprintf("%.1f", s.FreshSeconds), fmt.Sprintf("%.1f", s.Seconds), fmt.Sprintf("%.0f", s.BusiestBytes), fmt.Sprintf("%.2f", s.BusiestCPU), fmt.Sprint(s.StoreCalls),
		})
	}
	return report
}
