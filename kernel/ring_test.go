package kernel

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestRingPolicies(t *testing.T) {
	ctx := context.Background()
	refuse := NewRing[int](1, Refuse, nil)
	assert.NilError(t, refuse.Push(ctx, 1))
	assert.ErrorIs(t, refuse.Push(ctx, 2), ErrRingFull)

	drop := NewRing[int](2, DropOldest, nil)
	for i := range 5 {
		assert.NilError(t, drop.Push(ctx, i))
	}
	assert.Equal(t, <-drop.C(), 3)
	assert.Equal(t, <-drop.C(), 4)

	wait := NewRing[int](1, Wait, nil)
	assert.NilError(t, wait.Push(ctx, 1))
	shortCtx, cancel := context.WithTimeout(ctx, 10*time.Millisecond)
	defer cancel()
	assert.ErrorIs(t, wait.Push(shortCtx, 2), context.DeadlineExceeded)
}
