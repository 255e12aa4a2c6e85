package ingress

import (
	"strings"

	"github.com/mangomast/mangomast/call"
	"github.com/mangomast/mangomast/config"
)

// checkFreshness refuses callers of the organisation while the node may have
// missed the withdrawal of their key.
func (m *Module) checkFreshness(org *config.Organisation) *call.Reply {
	if m.freshness.ServesOrganisation(org) {
		return nil
	}
	return call.Refuse(call.CodeStaleConfig, "the node has no fresh configuration; try another node")
}

// recheckKey repeats the check of the key after the body was read, because a
// slow caller may have taken long to send it.
func (m *Module) recheckKey(req *request) *call.Reply {
	snapshot := m.config.Snapshot()
	if snapshot.Stream != req.snapshot.Stream && snapshot.KeyByHash(strings.ToLower(req.key.Hash)) == nil {
		return call.Refuse(call.CodeUnauthenticated, "the key was withdrawn")
	}
	org := snapshot.Organisation(req.head.Organisation)
	if org == nil || org.Suspended {
		return call.Refuse(call.CodeForbidden, "the organisation is suspended")
	}
	return m.checkFreshness(org)
}
