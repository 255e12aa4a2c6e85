package bench

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"github.com/mangomast/mangomast/config"
	"github.com/mangomast/mangomast/internal/rig"
	"github.com/mangomast/mangomast/internal/standin"
	"github.com/mangomast/mangomast/membership"
)

func init() {
	Register(Case{Name: "membership", Help: "a relay paused, killed and cut off, with the store away: who knows whom", Run: runMembership})
}

// membershipFigures are the figures of the membership case.
type membershipFigures struct {
	Steps []membershipStep `json:"steps"`
}

// membershipStep is one fault and the time until the nodes agreed on the
// resulting membership.
type membershipStep struct {
	Name    string  `json:"name"`
	Members int     `json:"members"`
	Agreed  bool    `json:"agreed"`
	Seconds float64 `json:"seconds"`
}

// agreeTimeout bounds the wait for the nodes to agree. It is far above the
// expected time to allow for slow machines.
const agreeTimeout = 30 * time.Second

// membershipRun is one run of the membership case.
type membershipRun struct {
	fleet   *rig.Rig
	figures *membershipFigures
}

func runMembership(ctx context.Context, env *Env) (*Report, error) {
	doc := &config.Document{}
	AddOrganisations(doc, 1, 1000, 1000)
	AddService(doc, "fares", nil)
	nodes := SpreadVMs("fares", 16, 10, standin.Behaviour{})
	AddDomains(doc, nodes)
	fleet, err := rig.Start(ctx, rig.Options{Nodes: nodes, Document: doc})
	if err != nil {
		return nil, err
	}
	defer fleet.Close()
	pause := env.Duration
	if pause == 0 {
		pause = 8 * time.Second
	}
	run := &membershipRun{fleet: fleet, figures: &membershipFigures{}}
	if err := run.runSteps(ctx, pause); err != nil {
		return nil, err
	}
	fleet.Close()
	if err := run.startWithoutSeeds(ctx, nodes[:6], doc); err != nil {
		return nil, err
	}
	report := &Report{Holds: true, Figures: run.figures, Header: []string{"step", "members", "all agree", "after s"}}
	for _, s := range run.figures.Steps {
		report.Holds = report.Holds && s.Agreed
		report.Rows = append(report.Rows, []string{s.Name, fmt.Sprint(s.Members), fmt.Sprint(s.Agreed), fmt.Sprintf("%.1f", s.Seconds)})
	}
	return report, nil
}

func (r *membershipRun) runSteps(ctx context.Context, pause time.Duration) error {
	if err := r.fleet.SetStoreFaults(ctx, standin.Faults{Outage: true}); err != nil {
		return err
	}
	first := r.firstRelay(0)
	if err := first.Process.Freeze(); err != nil {
		return err
	}
	r.waitAgreement(ctx, "first relay of a domain paused, store away", 15, first)
	time.Sleep(pause)
	if err := first.Process.Resume(); err != nil {
		return errors.Wrapf(err, "resume node %s (process error: %v); log:\n%s", first.Spec.VM, first.Process.Err(), r.fleet.Logs())
	}
	r.waitAgreement(ctx, "relay resumed", 16)
	first.Process.Kill()
	r.waitAgreement(ctx, "relay killed", 15, first)
	if err := r.fleet.StartNode(first); err != nil {
		return err
	}
	r.waitAgreement(ctx, "relay started again", 16)
	r.fleet.Network.SetRule(func(source, listener string) rig.Faults {
		return rig.Faults{Cut: rig.RegionOf(r.fleet, source) != rig.RegionOf(r.fleet, listener)}
	})
	r.waitAgreement(ctx, "regions cut", 8)
	r.fleet.Network.SetRule(func(string, string) rig.Faults { return rig.Faults{} })
	r.waitAgreement(ctx, "regions joined", 16)
	return nil
}

// startWithoutSeeds starts nodes whose settings list no seeds, so that they can
// discover each other only through the seeds in the store.
func (r *membershipRun) startWithoutSeeds(ctx context.Context, nodes []rig.NodeSpec, doc *config.Document) error {
	started := time.Now()
	fleet, err := rig.Start(ctx, rig.Options{Nodes: nodes, Document: doc, WithoutSeeds: true})
	if err != nil {
		return err
	}
	defer fleet.Close()
	r.figures.Steps = append(r.figures.Steps, membershipStep{
		Name: "started without seeds in the settings", Members: len(nodes), Agreed: true, Seconds: time.Since(started).Seconds(),
	})
	return nil
}

// firstRelay returns the first relay of the failure domain of the node with the
// given index.
func (r *membershipRun) firstRelay(index int) *rig.Node {
	return FirstRelay(r.fleet, r.fleet.Nodes[index].Spec.FailureDomain)
}

// FirstRelay returns the node that is the first relay of a failure domain when
// all nodes are up.
func FirstRelay(fleet *rig.Rig, domain string) *rig.Node {
	var entries []membership.Entry
	for _, node := range fleet.Nodes {
		if node.Spec.FailureDomain == domain {
			entries = append(entries, membership.Entry{VM: node.Spec.VM, FailureDomain: domain})
		}
	}
	relay := membership.Relays(entries)[0]
	for _, node := range fleet.Nodes {
		if node.Spec.VM == relay.VM {
			return node
		}
	}
	return nil
}

// waitAgreement waits until every node except the given one lists the number of
// members, and records the step.
func (r *membershipRun) waitAgreement(ctx context.Context, name string, members int, except ...*rig.Node) {
	started := time.Now()
	step := membershipStep{Name: name, Members: members}
	for time.Since(started) < agreeTimeout && !step.Agreed {
		step.Agreed = true
		for _, node := range r.fleet.Nodes {
			if len(except) > 0 && except[0] == node {
				continue
			}
			status, err := r.fleet.Status(ctx, node)
			step.Agreed = step.Agreed && err == nil && len(status.Members) == members
		}
		time.Sleep(100 * time.Millisecond)
	}
	step.Seconds = time.Since(started).Seconds()
	r.figures.Steps = append(r.figures.Steps, step)
}
