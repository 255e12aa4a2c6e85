package waitqueue

import (
	"context"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"github.com/mangomast/mangomast/admission"
)

// panickingPacer is a Pacer that panics for one request.
type panickingPacer struct{ victim *admission.Request }

func (p panickingPacer) Admit(r *admission.Request, _ time.Time) bool {
	if r == p.victim {
		panic("unexpected request")
	}
	return true
}
func (panickingPacer) Done(*admission.Request) {}
func (panickingPacer) Rate(time.Time) float64  { return 0 }

// TestPanicInADecisionBlocksNoOtherRequest guards against a mutex that stays locked when
// a server recovers from a panic.
func TestPanicInADecisionBlocksNoOtherRequest(t *testing.T) {
	victim := &admission.Request{Weight: 1, Deadline: time.Now().Add(time.Hour)}
	opts := admission.SlotsOptions(2, admission.SlotsMaxWait)
	opts.Pacer = panickingPacer{victim}
	q := NewQueue(opts, clockwork.NewRealClock(), nil)
	func() {
		defer func() { assert.Assert(t, recover() != nil) }()
		q.Wait(t.Context(), victim)
	}()
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	served := make(chan admission.Action, 1)
	go func() {
		served <- q.Wait(ctx, &admission.Request{Weight: 1, Deadline: time.Now().Add(time.Hour)})
	}()
	select {
	case action := <-served:
		assert.Assert(t, action.Run)
	case <-time.After(2 * time.Second):
		t.Fatal("the next request got no decision")
	}
	assert.Assert(t, !q.Tick(), "requests still wait")
}
