package ingress

import (
	"net/http"

	"github.com/mangomast/mangomast/call"
)

// checkRate takes a token of the organisation's rate, or refuses the request.
func (m *Module) checkRate(r *http.Request, req *request) *call.Reply {
	return m.quota.Admit(r.Context(), req.head.Organisation)
}
