package bench

import (
	"context"
	"fmt"
	"slices"
	"strings"

	"github.com/mangomast/mangomast/config"
	"github.com/mangomast/mangomast/internal/rig"
	"github.com/mangomast/mangomast/internal/standin"
	"github.com/mangomast/mangomast/jsonc"
)

func overloadDocument() (*config.Document, []Key) {
	doc := &config.Document{}
	keys := AddOrganisations(doc, overloadOrgs, 10_000, 10_000)
	deadline := func(r *config.Route) { r.Deadline = jsonc.Duration(callerTimeout) }
	for _, service := range chain {
		AddService(doc, service, deadline)
	}
	AddService(doc, emptyService, nil)
	first := doc.Routes[0]
	for _, class := range callerClasses {
		route := first
		route.ID, route.Path, route.Importance = class.name, first.Path+class.name+"/", class.importance
		doc.Routes = append(doc.Routes, route)
	}
	return doc, keys
}

func overloadNodes(mode overloadMode) []rig.NodeSpec {
	var nodes []rig.NodeSpec
	for i, service := range chain {
		slots := chainSlots
		if i == len(chain)-1 {
			slots = deepSlots
		}
		nodes = append(nodes, SpreadVMs(service, chainVMs, slots, standin.Behaviour{})...)
	}
	nodes = append(nodes, ingressOnlyNodes(mode.ingressOnly)...)
	for i := range nodes {
		nodes[i].Modules = mode.modules
	}
	return nodes
}

// ingressOnlyNodes returns nodes without an upstream. They are in the region in
// which no node owns the rate of an organisation, because the loss of an owner
// is covered by another case.
func ingressOnlyNodes(count int) []rig.NodeSpec {
	nodes := make([]rig.NodeSpec, 0, count)
	for i := range count {
		nodes = append(nodes, rig.NodeSpec{
			VM: fmt.Sprintf("front-%d", i+1), Region: placements[1].region, FailureDomain: jurmala[i%len(jurmala)],
		})
	}
	return nodes
}

// vms returns the nodes that have an upstream.
func (run *overloadRun) vms() []*rig.Node {
	return slices.DeleteFunc(slices.Clone(run.fleet.Nodes), func(n *rig.Node) bool { return n.Spec.Service == "" })
}

// ingressOnly returns the nodes without an upstream.
func (run *overloadRun) ingressOnly() []*rig.Node {
	return slices.DeleteFunc(slices.Clone(run.fleet.Nodes), func(n *rig.Node) bool { return n.Spec.Service != "" })
}

// setSpeed sets the behaviour of every upstream. The work time of the deepest
// service is multiplied by factor.
func (run *overloadRun) setSpeed(ctx context.Context, factor int) error {
	for _, node := range run.vms() {
		behaviour := standin.Behaviour{WorkMicros: int(chainWork.Microseconds()), Jitter: workJitter}
		if node.Spec.Service == chain[len(chain)-1] {
			behaviour.WorkMicros = factor * int(deepWork.Microseconds())
		}
		if next := run.next(node.Spec.Service); next != "" {
			behaviour.Callees = []string{next}
		}
		if run.mode.direct {
			behaviour.ChildRetries = hopRetries
			behaviour.ChildTimeoutMicros = int(hopTimeout.Microseconds())
		}
		if err := run.fleet.SetBehaviour(ctx, node, behaviour); err != nil {
			return err
		}
	}
	return nil
}

// next returns the target that the service calls, or an empty string for the
// deepest service.
func (run *overloadRun) next(service string) string {
	for i, name := range chain[:len(chain)-1] {
		if name != service {
			continue
		}
		if run.mode.direct {
			return strings.Join(run.targets(chain[i+1], "/work"), " ")
		}
		return "/" + chain[i+1] + "/work"
	}
	return ""
}

// targets returns the URL of the path at each upstream of the service.
func (run *overloadRun) targets(service, path string) []string {
	var targets []string
	for _, node := range run.fleet.Nodes {
		if node.Spec.Service == service {
			targets = append(targets, "http://"+node.UpstreamAddress+path)
		}
	}
	return targets
}
