package client

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mangomast/mangomast/call"
)

// fakeNode responds to requests as scripted and records their IDs.
type fakeNode struct {
	mu         sync.Mutex
	createdIDs int
	ids        []string
	// script has the outcome and reason of each response; "break" aborts the
	// connection without a response.
	script []string
}

// ServeHTTP implements http.Handler.
func (n *fakeNode) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if r.URL.Path == idsPath {
		n.createdIDs++
		w.WriteHeader(http.StatusCreated)
		_, _ = w.Write([]byte(`{"id": "id-` + string(rune('0'+n.createdIDs)) + `"}`))
		return
	}
	n.ids = append(n.ids, r.Header.Get(call.HeaderRequestID))
	scripted := n.script[0]
	n.script = n.script[1:]
	if scripted == "break" {
		panic(http.ErrAbortHandler)
	}
	outcome, reason, _ := strings.Cut(scripted, " ")
	w.Header().Set(call.HeaderOutcome, outcome)
	w.Header().Set(call.HeaderReason, reason)
	_, _ = w.Write([]byte("body"))
}

func doScript(t *testing.T, idempotent bool, script ...string) (*fakeNode, *Response) {
	t.Helper()
	node := &fakeNode{script: script}
	server := httptest.NewServer(node)
	defer server.Close()
	c := New(Options{Addresses: []string{strings.TrimPrefix(server.URL, "http://")}, Key: "key"})
	resp, err := c.Do(context.Background(), &Request{Method: http.MethodPost, Target: "/fares/charge?a=b", Idempotent: idempotent})
	assert.NilError(t, err)
	return node, resp
}

func TestUnknownOutcomesAreResentUnderSameID(t *testing.T) {
	node, resp := doScript(t, false, "break", "unknown connection_lost", "answered")
	assert.DeepEqual(t, node.ids, []string{"id-1", "id-1", "id-1"})
	assert.Equal(t, resp.Outcome, call.Answered)
	assert.Equal(t, resp.Sends, 3)
	assert.Equal(t, string(resp.Body), "body")
}

func TestRefusedRequestsGetNewID(t *testing.T) {
	node, resp := doScript(t, false, "refused overloaded", "answered")
	assert.DeepEqual(t, node.ids, []string{"id-1", "id-2"})
	assert.Equal(t, resp.Outcome, call.Answered)
}

func TestFinalOutcomesAreNotResent(t *testing.T) {
	for _, step := range []string{"refused quarantined", "refused conflict", "unknown pin_lost", "unknown id_expired"} {
		node, resp := doScript(t, false, step)
		assert.Equal(t, len(node.ids), 1, step)
		assert.Equal(t, resp.Reason, strings.Fields(step)[1])
	}
}

func TestIdempotentRequestsNeedNoID(t *testing.T) {
	node, resp := doScript(t, true, "unknown upstream_failed", "answered")
	assert.Equal(t, node.createdIDs, 0)
	assert.Equal(t, resp.Outcome, call.Answered)
}

// TestLongRetryAfterIsWaitedFor guards against a Retry-After whose product overflows, so
// that the request is sent again at once.
func TestLongRetryAfterIsWaitedFor(t *testing.T) {
	for _, seconds := range []string{"3601", "9223372037", "9223372036854775807"} {
		wait, ok := retryAfter(&Response{Header: http.Header{"Retry-After": {seconds}}})
		assert.Check(t, ok && wait == time.Hour, "%s s: %s", seconds, wait)
	}
}
