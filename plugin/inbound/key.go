package inbound

import (
	"github.com/mangomast/mangomast/call"
)

// checkKey refuses a request whose key was withdrawn after the ingress checked
// it, which happens when the ingress was paused in between. Calls made by
// upstreams carry no key, so requests that were already admitted can complete.
func (m *Module) checkKey(head *call.Head) *call.Reply {
	snapshot := m.config.Snapshot()
	if head.Key == "" || snapshot == nil || snapshot.Stream <= head.KeyRevision {
		return nil
	}
	if snapshot.KeyByID(head.Key) == nil {
		return call.Refuse(call.CodeUnauthenticated, "the key was withdrawn")
	}
	return nil
}

// checkRegion refuses a request whose route or organisation is bound to other
// regions, which the sending node may not know yet.
func (m *Module) checkRegion(head *call.Head) *call.Reply {
	snapshot := m.config.Snapshot()
	if snapshot == nil || snapshot.MayServe(head.Route, head.Organisation, m.region) {
		return nil
	}
	return call.Refuse(call.CodeForeignRegion, "the route or the organisation is bound to other regions")
}
