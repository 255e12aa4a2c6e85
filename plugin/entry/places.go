package entry

import (
	"slices"

	"github.com/mangomast/mangomast/call"
	"github.com/mangomast/mangomast/config"
	"github.com/mangomast/mangomast/membership"
)

// excluded returns the function that reports the VMs that the request may not be
// sent to: those of evacuated failure domains, and those outside the regions that
// its route and its organisation are bound to. It returns nil if there are none.
func (d *dispatch) excluded() func(membership.Entry) bool {
	evacuated := d.evacuations.Set()
	bound := d.boundToRegions()
	if len(evacuated.Domains) == 0 && len(d.evacuated) == 0 && !bound {
		return nil
	}
	return func(entry membership.Entry) bool {
		return evacuated.Has(entry.FailureDomain) || slices.Contains(d.evacuated, entry.FailureDomain) ||
			bound && !config.MayServe(d.req.route, d.req.org, entry.Region)
	}
}

func (d *dispatch) boundToRegions() bool { return config.BoundToRegions(d.req.route, d.req.org) }

// noUpstream is the refusal of a request that was offered to no VM.
func (d *dispatch) noUpstream() *call.Reply {
	message := "no VM takes work for the service"
	if d.boundToRegions() {
		message = "no VM in the regions that the request is bound to takes work for the service"
	}
	return call.Refuse(call.CodeNoUpstream, message)
}

// rampUp gives the VMs of failure domains that are taken back a growing part of the
// load: they were idle and may be slow at first.
func (m *Module) rampUp(domains []string) {
	m.picker.RestartRamp(func(entry membership.Entry) bool {
		return slices.Contains(domains, entry.FailureDomain)
	}, m.clock.Now())
}
