package guard

import (
	"github.com/mangomast/mangomast/call"
	"github.com/mangomast/mangomast/config"
	"github.com/mangomast/mangomast/kernel"
	"github.com/mangomast/mangomast/plugin/evacuation"
)

// places tells which requests may run in the VM's failure domain and region.
type places struct {
	config config.Source
	// checkEvacuation returns a refusal while the failure domain is evacuated.
	checkEvacuation func() *call.Reply
	region          string
}

func newPlaces(ctx *kernel.Context) (*places, error) {
	p := &places{region: ctx.Node.Region}
	var evacuations *evacuation.Module
	if err := kernel.Resolve(ctx, &p.config, &evacuations); err != nil {
		return nil, err
	}
	p.checkEvacuation = evacuations.CheckLocal
	return p, nil
}

// check returns the refusal of a request that may not run here, and nil otherwise.
// Nodes that send requests choose by the same rules, but may have older news.
func (p *places) check(head *call.Head) *call.Reply {
	if refusal := p.checkEvacuation(); refusal != nil {
		return refusal
	}
	snapshot := p.config.Snapshot()
	if snapshot != nil && !snapshot.MayServe(head.Route, head.Organisation, p.region) {
		return call.Refuse(call.CodeForeignRegion, "the route or the organisation is bound to other regions")
	}
	return nil
}

// checkPlace is like check and counts the refusals.
func (m *Module) checkPlace(head *call.Head) *call.Reply {
	refusal := m.places.check(head)
	if refusal != nil {
		m.metrics.refused.WithLabelValues(refusal.Code.String()).Inc()
	}
	return refusal
}
