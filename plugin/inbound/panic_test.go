package inbound

import (
	"net/http"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"github.com/mangomast/mangomast/admission"
	"github.com/mangomast/mangomast/call"
	"github.com/mangomast/mangomast/membership"
	quarantineplugin "github.com/mangomast/mangomast/plugin/quarantine"
	"github.com/mangomast/mangomast/settings"
)

// panickingTransport panics on each request.
type panickingTransport struct{}

func (panickingTransport) RoundTrip(*http.Request) (*http.Response, error) {
	panic("unexpected request")
}

// TestPanicOfARunFreesItsSlot guards against slots, running requests and counts that stay
// taken when a server recovers from a panic.
func TestPanicOfARunFreesItsSlot(t *testing.T) {
	upstream := settings.Upstream{Service: "quotes", Address: "127.0.0.1:1", Slots: 1, Connections: 1}
	m := &Module{
		clock: clockwork.NewRealClock(), log: &log.Logger{Handler: discard.New()}, config: fixedConfig{},
		quarantine: &quarantineplugin.Module{Disabled: true}, isolation: newIsolation(), running: call.NewRegistry(),
		upstream: &upstreamState{upstream: upstream, state: membership.Ready},
	}
	m.localUpstream.Store(&localUpstream{
		upstream: upstream, gate: fifoGate{admission.NewSlots(1, 1)}, client: &http.Client{Transport: panickingTransport{}},
	})
	for range 3 {
		func() {
			defer func() { assert.Equal(t, recover(), "unexpected request") }()
			m.Serve(t.Context(), &call.Head{Service: "quotes", Method: http.MethodGet, Target: "/", Timeout: time.Second}, nil)
		}()
		assert.Equal(t, m.active.Load(), int64(0))
		assert.Equal(t, m.load().Running, 0)
		assert.Assert(t, m.isolation.TryAcquire(exclusiveWeight), "a share of the isolation is still taken")
		m.isolation.Release(exclusiveWeight)
	}
}
