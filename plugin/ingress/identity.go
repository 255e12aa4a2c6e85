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

// PathIDs is where callers get an ID before they send a request that is not
// idempotent. The query parameters method and path name the request.
const PathIDs = "/.mangomast/ids"

// MintedID is the answer to a request for an ID.
type MintedID struct {
	ID string `json:"id"`
}

// serveID mints an ID for a request that the caller will send.
func (m *Module) serveID(c echo.Context) error {
	req := &request{started: m.clock.Now(), head: &call.Head{}}
	refusal := m.mintFor(c, req)
	if refusal != nil {
		return httpcall.WriteReply(c, "", refusal, nil, 0)
	}
	c.Response().Header().Set(call.HeaderRequestID, req.head.ID)
	return c.JSON(http.StatusCreated, MintedID{ID: req.head.ID})
}

func (m *Module) mintFor(c echo.Context, req *request) *call.Reply {
	r := c.Request()
	if refusal := m.authenticate(r, req); refusal != nil {
		return refusal
	}
	target, err := url.ParseRequestURI(c.QueryParam("path"))
	if err != nil {
		return call.Refuse(call.CodeBadRequest, "the query parameter path must be the path of the request")
	}
	planned := &http.Request{Method: c.QueryParam("method"), URL: target}
	if refusal := m.match(planned, req); refusal != nil {
		return refusal
	}
	req.head.Route, req.head.Service = req.route.ID, req.route.Service
	return m.dispatcher.Pin(req.head)
}

// identify takes over the ID that a caller sends with a request that is not
// idempotent.
func (m *Module) identify(r *http.Request, req *request) *call.Reply {
	text := r.Header.Get(call.HeaderRequestID)
	if req.route.Idempotent || text == "" {
		return nil
	}
	id, err := m.signer.Verify(ledger.Scope{Organisation: req.head.Organisation, Route: req.route.ID}, text)
	if err != nil {
		code := call.CodeConflict
		if errors.Is(err, ledger.ErrMalformed) {
			code = call.CodeBadRequest
		}
		refusal := call.Refuse(code, err.Error())
		refusal.Settled = true
		return refusal
	}
	req.head.ID, req.head.Root, req.head.Pin = text, text, id.Pin()
	return nil
}

// writeReply writes the reply to the caller. Only the pinned node knows that
// a request that was sent before was not run; every other refusal leaves the
// outcome unknown.
func writeReply(c echo.Context, req *request, reply *call.Reply, answer io.ReadCloser) (*call.Reply, error) {
	if req.resent && reply.Outcome == call.Refused && !reply.Settled {
		unsure := *reply
		unsure.Outcome = call.Unknown
		reply = &unsure
	}
	limit := int64(0)
	if req.route != nil {
		limit = req.route.MaxAnswerBytes
	}
	return reply, httpcall.WriteReply(c, req.head.ID, reply, answer, limit)
}
