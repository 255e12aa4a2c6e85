package httpserver

import (
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"
	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"
	"gotest.tools/v3/assert"

	"github.com/mangomast/mangomast/intake"
	"github.com/mangomast/mangomast/kernel"
	"github.com/mangomast/mangomast/settings"
)

// TestPanicOfAHandlerIsReported guards against panics that leave no stack in the log
// and no count.
func TestPanicOfAHandlerIsReported(t *testing.T) {
	logs, registry := memory.New(), prometheus.NewRegistry()
	ctx := &kernel.Context{
		Node: &settings.Node{Limits: settings.Limits{MemoryMB: 64, Descriptors: 800}}, Clock: clockwork.NewRealClock(),
		Log: &log.Logger{Handler: logs}, Registry: registry,
	}
	s := NewForListener(ctx, "test", "127.0.0.1:0", http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/abort" {
			panic(http.ErrAbortHandler)
		}
		panic(errors.New("unexpected"))
	}), intake.CallersShare)
	assert.NilError(t, s.Listen())
	go func() { _ = s.Run(t.Context()) }()
	for _, path := range []string{"/abort", "/panic"} {
		conn, err := net.Dial("tcp", s.Address())
		assert.NilError(t, err)
		_, err = exchange(conn, "GET "+path+" HTTP/1.1\r\nHost: a\r\n\r\n")
		assert.Assert(t, err != nil, "%s was answered", path)
		_ = conn.Close()
	}
	assert.NilError(t, testutil.GatherAndCompare(registry, strings.NewReader(`
# HELP mangomast_recovered_panics_total Panics in handlers of requests, by server. Each is a fault of the program.
# TYPE mangomast_recovered_panics_total counter
mangomast_recovered_panics_total{server="test"} 1
`), "mangomast_recovered_panics_total"))
	assert.Equal(t, len(logs.Entries), 1)
	entry := logs.Entries[0]
	assert.Equal(t, entry.Level, log.ErrorLevel)
	assert.Equal(t, entry.Fields["panic"], "unexpected")
	assert.Assert(t, strings.Contains(entry.Fields["stack"].(string), "TestPanicOfAHandlerIsReported"))
}
