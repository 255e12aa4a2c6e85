package httpcall

import (
	"io"
	"net/http"
)

// emptyBody is an empty body that net/http, unlike http.NoBody, treats as
// readable only once.
type emptyBody struct{}

// Read implements io.Reader.
func (emptyBody) Read([]byte) (int, error) { return 0, io.EOF }

// Close implements io.Closer.
func (emptyBody) Close() error { return nil }

// DisableRetry disables the automatic retry of net/http after a broken connection.
// net/http retries safe methods and requests with an idempotency key, unless the
// body can be read only once.
func DisableRetry(req *http.Request) {
	if !replayable(req) {
		return
	}
	req.GetBody = nil
	if req.Body == nil || req.Body == http.NoBody {
		req.Body = emptyBody{}
	}
}

// replayable reports whether net/http considers the request safe to retry.
func replayable(req *http.Request) bool {
	switch req.Method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
		return true
	}
	return req.Header.Get("Idempotency-Key") != "" || req.Header.Get("X-Idempotency-Key") != ""
}
