package guard

import (
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/jonboulle/clockwork"
	"github.com/prometheus/client_golang/prometheus"
	"gotest.tools/v3/assert"

	"github.com/mangomast/mangomast/admission"
	"github.com/mangomast/mangomast/call"
	"github.com/mangomast/mangomast/config"
	"github.com/mangomast/mangomast/dialect"
	"github.com/mangomast/mangomast/internal/bodymemory"
	"github.com/mangomast/mangomast/internal/connpool"
	"github.com/mangomast/mangomast/jsonc"
	"github.com/mangomast/mangomast/membership"
	quarantineplugin "github.com/mangomast/mangomast/plugin/quarantine"
	"github.com/mangomast/mangomast/retry"
)

// panickingDialect panics on the responses of upstreams.
type panickingDialect struct{ dialect.Upstreams }

func (panickingDialect) SetHeaders(http.Header, *call.Head, string) {}
func (panickingDialect) Classify(*call.Head, *http.Response) (dialect.Verdict, bool) {
	panic("unexpected response")
}

// TestPanicOfARunFreesItsSlot guards against slots, running requests and counts that stay
// taken when a server recovers from a panic.
func TestPanicOfARunFreesItsSlot(t *testing.T) {
	closed := make(chan struct{}, 3)
	upstream := httptest.NewUnstartedServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	upstream.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		if state == http.StateClosed {
			closed <- struct{}{}
		}
	}
	upstream.Start()
	defer upstream.Close()
	source := fixedConfig{snapshot: config.NewSnapshot(&config.Document{}, 1)}
	m := &Module{
		Address: upstream.Listener.Addr().String(), MaxWait: jsonc.Duration(admission.SlotsMaxWait),
		config: source, clock: clockwork.NewRealClock(), log: &log.Logger{Handler: discard.New()}, dialect: panickingDialect{},
		places: &places{config: source, checkEvacuation: func() *call.Reply { return nil }},
		pool:   connpool.New(connpool.Options{DialTimeout: time.Second, IdleTimeout: time.Second, MaxIdle: 1, MaxResponseHeaderBytes: maxResponseHeaderBytes}),
		fanout: retry.NewFanout(), answers: bodymemory.NewBudget(answerMemoryBytes, 0), quarantine: &quarantineplugin.Module{Disabled: true},
		upstream: Announcement{Instance: "i-1", Service: "quotes", Slots: 1}, state: membership.Ready,
	}
	m.cold, m.crashes = newColdLimit(m), newCrashes(m)
	m.gate = newGate(m, 1)
	m.metrics = newMetrics(prometheus.NewRegistry(), m.load)
	for range 3 {
		func() {
			defer func() { assert.Equal(t, recover(), "unexpected response") }()
			m.Serve(t.Context(), &call.Head{Service: "quotes", Method: http.MethodGet, Target: "/", Timeout: time.Second}, nil)
		}()
		assert.Assert(t, !m.Busy())
		assert.Equal(t, m.load().Running, 0)
		assert.Equal(t, len(m.crashes.running), 0)
		select {
		case <-closed:
		case <-time.After(time.Second):
			t.Fatal("the connection to the upstream is still open")
		}
	}
}
