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
	// stormDown is how long nodes are away, and regions cut.
	stormDown = 6 * time.Second
	stormPoll = 50 * time.Millisecond
	// stormBound is the time until all nodes are ready again; the users' bound
	// for a change to be in force plus the start of a process.
	stormBound = 10 * time.Second
)

// stormStep is one storm, until every node knows every other and serves.
type stormStep struct {
	Name string `json:"name"`
	// FreshSeconds is the time until every node serves callers, Seconds until
	// every node knows every other too.
	FreshSeconds float64 `json:"fresh_seconds"`
	Seconds      float64 `json:"seconds"`
	// The rest is counted until every node serves callers: asking nodes for
	// the whole fleet would be most of the bytes. BusiestBytes is what the busiest node that stayed up sent and received,
	// and its processor time.
	BusiestBytes float64 `json:"busiest_bytes"`
	BusiestCPU   float64 `json:"busiest_cpu_seconds"`
	// StoreCalls are the calls on the store meanwhile.
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
	time.Sleep(slopeSettle)
	half := fleet.Nodes[:stormNodes/2]
	for _, node := range half {
		node.Process.Kill()
	}
	time.Sleep(stormDown)
	if err := run.step(ctx, "half of the nodes start at once", len(half), func() error { return startAll(fleet, half) }); err != nil {
		return nil, err
	}
	fleet.Network.SetRule(func(source, listener string) rig.Faults {
		return rig.Faults{Cut: rig.RegionOf(fleet, source) != rig.RegionOf(fleet, listener)}
	})
	time.Sleep(stormDown)
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

// waitFresh waits until every node holds a configuration and proof that it is
// the latest. It asks each node about itself only.
func (r *stormRun) waitFresh(ctx context.Context) error {
	for _, node := range r.fleet.Nodes {
		for {
			status, err := r.fleet.OwnStatus(ctx, node)
			if err == nil && status.Revision > 0 && status.Fresh {
				break
			}
			select {
			case <-ctx.Done():
				return errors.Wrapf(ctx.Err(), "node %s is not fresh", node.Spec.VM)
			case <-time.After(stormPoll):
			}
		}
	}
	return nil
}

// step begins a storm and measures until all nodes are ready. The first nodes
// were away, so what they used is not compared.
func (r *stormRun) step(ctx context.Context, name string, away int, begin func() error) error {
	stayed := *r.fleet
	stayed.Nodes = r.fleet.Nodes[away:]
	before, err := nodeUses(ctx, &stayed)
	if err != nil {
		return err
	}
	storeBefore, err := r.fleet.StoreCounts(ctx)
	if err != nil {
		return err
	}
	started := time.Now()
	if err := begin(); err != nil {
		return err
	}
	if err := r.waitFresh(ctx); err != nil {
		return err
	}
	step := stormStep{Name: name, FreshSeconds: time.Since(started).Seconds()}
	after, err := nodeUses(ctx, &stayed)
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
		report.Holds = report.Holds && s.Seconds <= stormBound.Seconds()
		report.Rows = append(report.Rows, []string{
			s.Name, fmt.Sprintf("%.1f", s.FreshSeconds), fmt.Sprintf("%.1f", s.Seconds), fmt.Sprintf("%.0f", s.BusiestBytes), fmt.Sprintf("%.2f", s.BusiestCPU), fmt.Sprint(s.StoreCalls),
		})
	}
	return report
}
