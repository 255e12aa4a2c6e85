package ingress

import (
	"io"
	"net/http"
	"net/url"

	"github.com/labstack/echo/v4"
	"github.com/pkg/errors"

	"github.com/mangomast/mangomast/call"
	"github.com/mangomast/mangomast/internal/httpcall"
	"github.com/mangomast/mangomast/ledger"
)

// PathIDs is the path where callers get an ID before they send a non-idempotent
// request. The query parameters method and path describe the request.
const PathIDs = "/.mangomast/ids"

// MintedID is the response to a request for an ID.
type MintedID struct {
	ID string `json:"id"`
}

// serveID mints an ID for a request that the caller will send.
func (m *Module) serveID(c echo.Context) error {
	req := &request{started: m.clock.Now(), head: &call.Head{}}
	refusal := m.mintID(c, req)
	if refusal != nil {
		return httpcall.WriteReply(c, "", refusal, nil, 0)
	}
	c.Response().Header().Set(call.HeaderRequestID, req.head.ID)
	return c.JSON(http.StatusCreated, MintedID{ID: req.head.ID})
}

// mintID authenticates the caller, matches the route of the request that the
// query parameters describe, and sets the head's ID and pin.
func (m *Module) mintID(c echo.Context, req *request) *call.Reply {
	r := c.Request()
	if refusal := m.authenticate(r, req); refusal != nil {
		return refusal
	}
	target, err := url.ParseRequestURI(c.QueryParam("path"))
	if err != nil {
		return call.Refuse(call.CodeBadRequest, "the query parameter path must be the path of the request")
	}
	described := &http.Request{Method: c.QueryParam("method"), URL: target}
	if refusal := m.matchRoute(described, req); refusal != nil {
		return refusal
	}
	req.head.Route, req.head.Service = req.route.ID, req.route.Service
	return m.dispatcher.Pin(req.head)
}

// applyRequestID sets the request's ID and pin to those that the caller sent
// with a non-idempotent request.
func (m *Module) applyRequestID(r *http.Request, req *request) *call.Reply {
	rawID := r.Header.Get(call.HeaderRequestID)
	if req.route.Idempotent || rawID == "" {
		return nil
	}
	id, err := m.signer.Verify(ledger.Scope{Organisation: req.head.Organisation, Route: req.route.ID}, rawID)
	if err != nil {
		code := call.CodeConflict
		if errors.Is(err, ledger.ErrMalformed) {
			code = call.CodeBadRequest
		}
		refusal := call.Refuse(code, err.Error())
		refusal.Final = true
		return refusal
	}
	req.head.ID, req.head.Root, req.head.Pin = rawID, rawID, id.Pin()
	return nil
}

// writeReply writes the reply to the caller. Only the pinned node can tell that
// a resent request did not run, so any other refusal of one becomes an unknown
// outcome.
func writeReply(c echo.Context, req *request, reply *call.Reply, answer io.ReadCloser) (*call.Reply, error) {
	if req.resent && reply.Outcome == call.Refused && !reply.Final {
		unknown := *reply
		unknown.Outcome = call.Unknown
		reply = &unknown
	}
	limit := int64(0)
	if req.route != nil {
		limit = req.route.MaxAnswerBytes
	}
	return reply, httpcall.WriteReply(c, req.head.ID, reply, answer, limit)
}
