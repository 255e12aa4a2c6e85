package inbound

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mangomast/mangomast/call"
)

// TestSuspectWaitIsBounded guards against a suspect that blocks new requests
// until a long-running one ends: it must give up and let them run.
func TestSuspectWaitIsBounded(t *testing.T) {
	m := &Module{isolation: newIsolation()}
	assert.Assert(t, m.acquireWeight(t.Context(), sharedWeight) == nil)
	refused := make(chan *call.Reply, 1)
	go func() { refused <- m.acquireWeight(t.Context(), exclusiveWeight) }()
	refusal := <-refused
	assert.Equal(t, refusal.Outcome, call.Refused)
	assert.Equal(t, refusal.Code, call.CodeOverloaded)
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	assert.Assert(t, m.acquireWeight(ctx, sharedWeight) == nil)
	m.isolation.Release(2 * sharedWeight)
	assert.Assert(t, m.acquireWeight(ctx, exclusiveWeight) == nil)
}
