package httpcall

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"
)

// TestDisableRetry closes a reused connection during a request. net/http would
// otherwise retry the request, so that it runs twice.
func TestDisableRetry(t *testing.T) {
	var runs atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		if runs.Add(1) > 1 {
			panic(http.ErrAbortHandler)
		}
	}))
	defer server.Close()
	for _, method := range []string{http.MethodGet, http.MethodPost} {
		for _, body := range []string{"", "a body"} {
			runs.Store(0)
			client := &http.Client{Transport: &http.Transport{}}
			for range 2 {
				req, err := http.NewRequest(method, server.URL, strings.NewReader(body))
				assert.NilError(t, err)
				req.Header.Set("Idempotency-Key", "1")
				DisableRetry(req)
				resp, err := client.Do(req)
				if err == nil {
					_, _ = io.Copy(io.Discard, resp.Body)
					_ = resp.Body.Close()
				}
			}
			assert.Equal(t, runs.Load(), int64(2), "%s with %q", method, body)
			client.CloseIdleConnections()
		}
	}
}
