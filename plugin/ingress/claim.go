package ingress

import (
	"io"
	"net/http"

	"github.com/mangomast/mangomast/call"
	"github.com/mangomast/mangomast/ledger"
	"github.com/mangomast/mangomast/plugin/claims"
)

const (
	// maxKeyBytes is the maximum length of an idempotency key.
	maxKeyBytes = 255
	// maxReplacements is the maximum number of times that one send replaces an
	// ID closed by its pinned node.
	maxReplacements = 2
)

// mayBeResent reports whether the caller may have sent the request before.
func mayBeResent(r *http.Request) bool {
	return r.Header.Get(call.HeaderRequestID) != "" || r.Header.Get(headerIdempotencyKey) != ""
}

// dispatchClaimed dispatches a request. A non-idempotent request with an
// idempotency key runs under the ID in the key's record in the store.
func (m *Module) dispatchClaimed(r *http.Request, req *request, body []byte) (*call.Reply, io.ReadCloser) {
	key := r.Header.Get(headerIdempotencyKey)
	if req.head.Idempotent || key == "" || !req.head.Pin.IsZero() {
		return m.dispatchWithinBudget(r, req, body)
	}
	if len(key) > maxKeyBytes {
		return call.Refuse(call.CodeBadRequest, "the idempotency key is too long"), nil
	}
	record, refusal := m.claim(r, req, key)
	for replacements := 0; refusal == nil; replacements++ {
		if refusal = m.applyRecord(req, record); refusal != nil {
			break
		}
		reply, answer := m.dispatchWithinBudget(r, req, body)
		idClosed := reply.Outcome == call.Refused && reply.Final && reply.Code != call.CodeConflict
		if !idClosed {
			return reply, answer
		}
		if replacements == maxReplacements || r.Context().Err() != nil {
			return withoutFinal(reply), nil
		}
		record, refusal = m.replace(r, req, key, record, reply)
	}
	return refusal, nil
}

// claim binds the key to a new ID, or returns the record of the ID it is
// already bound to.
func (m *Module) claim(r *http.Request, req *request, key string) (claims.Record, *call.Reply) {
	if refusal := m.dispatcher.Pin(req.head); refusal != nil {
		return claims.Record{}, refusal
	}
	record, err := m.claims.Claim(r.Context(), req.head.Organisation, key, req.head.ID)
	if err != nil {
		m.log.WithError(err).Debug("claiming the idempotency key in the store failed; refusing the request")
		return record, storeUnavailable()
	}
	return record, nil
}

// replace binds the key to a new ID after the old one was closed. If no VM is
// available for a new ID, it returns the reply that closed the old one.
func (m *Module) replace(r *http.Request, req *request, key string, old claims.Record, reply *call.Reply) (claims.Record, *call.Reply) {
	if m.dispatcher.Pin(req.head) != nil {
		return old, withoutFinal(reply)
	}
	record, err := m.claims.Replace(r.Context(), req.head.Organisation, key, old, req.head.ID)
	if err != nil {
		return record, storeUnavailable()
	}
	return record, nil
}

// withoutFinal returns a copy of the refusal without Final. The refusal is
// final for the closed ID but not for the key: another send of the key may run
// under a new ID.
func withoutFinal(reply *call.Reply) *call.Reply {
	copied := *reply
	copied.Final = false
	return &copied
}

func storeUnavailable() *call.Reply {
	return call.Refuse(call.CodeStoreUnavailable, "the idempotency key cannot be looked up for now")
}

// applyRecord sets the request's ID and pin to those of the record.
func (m *Module) applyRecord(req *request, record claims.Record) *call.Reply {
	scope := ledger.Scope{Organisation: req.head.Organisation, Route: req.route.ID}
	id, err := m.signer.Verify(scope, record.ID)
	if err != nil {
		refusal := call.Refuse(call.CodeConflict, "the idempotency key was used on another route")
		refusal.Final = true
		return refusal
	}
	req.head.ID, req.head.Root, req.head.Pin = record.ID, record.ID, id.Pin()
	return nil
}
