package inbound

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mangomast/mangomast/call"
)

func TestSuspectDoesNotHoldOthersBackForLong(t *testing.T) {
	m := &Module{isolation: newIsolation()}
	assert.Assert(t, m.acquireShare(t.Context(), together) == nil)
	refused := make(chan *call.Reply, 1)
	go func() { refused <- m.acquireShare(t.Context(), alone) }()
	refusal := <-refused
	assert.Equal(t, refusal.Outcome, call.Refused)
	assert.Equal(t, refusal.Code, call.CodeOverloaded)
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	assert.Assert(t, m.acquireShare(ctx, together) == nil)
	m.isolation.Release(2 * together)
	assert.Assert(t, m.acquireShare(ctx, alone) == nil)
}
