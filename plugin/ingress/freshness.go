package ingress

import (
	"strings"

	"github.com/mangomast/mangomast/call"
	"github.com/mangomast/mangomast/config"
)

// checkFreshness refuses callers of the organisation while a withdrawal of
// their key may have passed this node by.
func (m *Module) checkFreshness(org *config.Organisation) *call.Reply {
	if m.freshness.ServesOrganisation(org) {
		return nil
	}
	return call.Refuse(call.CodeStaleConfig, "the node has no fresh configuration; try another node")
}

// checkAgain repeats the check of the key once the body is there, because a
// caller may have taken long to send it.
func (m *Module) checkAgain(req *request) *call.Reply {
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
