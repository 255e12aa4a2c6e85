package guard

import (
	"context"
	"errors"
	"time"

	"golang.org/x/sync/semaphore"

	"github.com/mangomast/mangomast/admission"
	"github.com/mangomast/mangomast/call"
	quarantineplugin "github.com/mangomast/mangomast/plugin/quarantine"
	"github.com/mangomast/mangomast/quarantine"
)

const (
	// suspectShare is the share of the slots that suspects of one crash may use at
	// once. The fewer run at once, the less another crash leaves in doubt.
	suspectShare = 0.125
	// maxSuspectWait bounds how long a suspect waits for others to end before it is
	// refused, so that it may run on another VM.
	maxSuspectWait = time.Second
)

// suspects limits how many suspects run at once. Other requests are not affected.
type suspects struct {
	capacity  int64
	semaphore *semaphore.Weighted
}

func newSuspects(slots int) *suspects {
	capacity := max(1, int64(suspectShare*float64(slots)))
	return &suspects{capacity: capacity, semaphore: semaphore.NewWeighted(capacity)}
}

// weight returns the part of the semaphore that a request with the verdict holds.
func (s *suspects) weight(verdict quarantine.Verdict) int64 {
	switch verdict {
	case quarantine.RunWithSuspects:
		return 1
	case quarantine.RunAlone:
		return s.capacity
	}
	return 0
}

// acquire waits until a request with the weight may run, or returns a refusal.
func (s *suspects) acquire(ctx context.Context, weight int64) *call.Reply {
	if weight == 0 {
		return nil
	}
	waitCtx, cancel := context.WithTimeout(ctx, maxSuspectWait)
	defer cancel()
	switch {
	case s.semaphore.Acquire(waitCtx, weight) == nil:
		return nil
	case ctx.Err() == nil:
		return call.Refuse(call.CodeOverloaded, "the request was running when an upstream crashed and waits for others that were")
	case errors.Is(ctx.Err(), context.Canceled):
		return call.Refuse(call.CodeCancelled, "the request was cancelled before it ran")
	}
	return call.Refuse(call.CodeDeadline, "the deadline passed before the request could run")
}

func (s *suspects) release(weight int64) {
	if weight > 0 {
		s.semaphore.Release(weight)
	}
}

// admit waits until the request may run, isolated from others if it is a suspect, or
// returns a refusal. It starts anew if the verdict changes meanwhile.
func (m *Module) admit(ctx context.Context, g *gate, r *run) (*admission.Request, *call.Reply) {
	for {
		verdict, left := m.quarantine.Verdict(r.fingerprint)
		if verdict == quarantine.Refuse {
			return nil, quarantineplugin.Refusal(left)
		}
		r.weight = g.suspects.weight(verdict)
		slot, refusal := g.acquireIsolated(ctx, r)
		if refusal != nil {
			return nil, refusal
		}
		if now, _ := m.quarantine.Verdict(r.fingerprint); now == verdict {
			return slot, nil
		}
		g.queue.Finish(admission.Completion{Request: slot})
		g.suspects.release(r.weight)
	}
}

// acquireIsolated waits until the run may start beside other suspects, and then in the
// queue.
func (g *gate) acquireIsolated(ctx context.Context, r *run) (slot *admission.Request, refusal *call.Reply) {
	if refusal := g.suspects.acquire(ctx, r.weight); refusal != nil {
		return nil, refusal
	}
	defer func() {
		if slot == nil {
			g.suspects.release(r.weight)
		}
	}()
	return g.acquire(ctx, r.head)
}
