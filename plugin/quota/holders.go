package quota

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/mangomast/mangomast/call"
	"github.com/mangomast/mangomast/config"
	"github.com/mangomast/mangomast/mesh"
	"github.com/mangomast/mangomast/quota"
)

const (
	// askTimeout bounds an Ask. After each failed Ask the backoff grows by
	// askBackoffFactor, from minAskBackoff to maxAskBackoff. A jitter of up to a
	// quarter of the backoff is added or subtracted.
	askTimeout       = 300 * time.Millisecond
	minAskBackoff    = 40 * time.Millisecond
	maxAskBackoff    = 250 * time.Millisecond
	askBackoffFactor = 1.5
	// maxWaiting bounds the requests of one organisation that wait for a token.
	maxWaiting = 1000
	// retryAfter is the mean of the Retry-After that a refusal carries.
	retryAfter = time.Second
	// idleTimeout is how long an unused nodeShare is kept.
	idleTimeout = time.Minute
)

// holders manages this node's shares of the organisations' limits.
type holders struct {
	*Module
	mu             sync.Mutex
	byOrganisation map[string]*nodeShare
	// created is signalled when a nodeShare was created.
	created chan struct{}
}

// nodeShare is this node's share of one organisation's limit, with the requests that
// wait for its tokens.
type nodeShare struct {
	organisation string

	mu       sync.Mutex
	holder   *quota.Holder
	waiting  int
	lastUsed time.Time
	// askBackoff is the wait after the last failed Ask, before jitter.
	askBackoff time.Duration
	// changed is closed and replaced whenever waiting requests should try again.
	changed chan struct{}
	// local enforces the whole limit on this node, in ModeLocal.
	local *quota.LocalBucket

	// snapshot is the snapshot from which the limit, the owner and proofBound were
	// read.
	snapshot   *config.Snapshot
	owner      config.Owner
	hasOwner   bool
	proofBound time.Duration
	// lenders are asked for loans while the owner does not answer.
	lenders []lender
	// arbiterAddress is the mesh address of the share's arbiter.
	arbiterAddress string
}

// notifyWaiting makes the waiting requests try again. The caller holds the mutex.
func (h *nodeShare) notifyWaiting() {
	close(h.changed)
	h.changed = make(chan struct{})
}

// nodeShare returns the organisation's nodeShare and creates it if there is none.
func (s *holders) nodeShare(organisation string) (*nodeShare, bool) {
	limit, ok := limitOf(s.config.Snapshot(), organisation)
	if !ok {
		return nil, false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	h := s.byOrganisation[organisation]
	if h == nil {
		h = &nodeShare{
			organisation: organisation, holder: quota.NewHolder(organisation, limit), changed: make(chan struct{}),
			local: quota.NewLocalBucket(s.clock.Now(), limit),
		}
		s.byOrganisation[organisation] = h
		select {
		case s.created <- struct{}{}:
		default:
		}
	}
	return h, true
}

// update applies the latest configuration and the proof that it is the latest, and
// returns the current time. The caller holds h.mu.
func (s *holders) update(h *nodeShare) time.Time {
	// Read the proof first, so that the snapshot is at least as recent as the proof.
	age, proven := s.freshness.ProofAge()
	now, snapshot := s.clock.Now(), s.config.Snapshot()
	if snapshot != h.snapshot {
		s.applySnapshot(h, now, snapshot)
	}
	if s.freshness.IgnoreFreshness {
		age, proven = 0, true
	}
	if h.hasOwner && proven {
		h.holder.SetTerm(now, h.owner.Term, now.Add(h.proofBound-age))
	}
	return now
}

// applySnapshot applies a changed snapshot.
func (s *holders) applySnapshot(h *nodeShare, now time.Time, snapshot *config.Snapshot) {
	h.snapshot = snapshot
	h.owner, h.hasOwner = snapshot.Owners.Owner(h.organisation)
	if limit, ok := limitOf(snapshot, h.organisation); ok {
		h.holder.SetLimit(now, limit)
		h.proofBound = s.freshness.ProofBound(snapshot.Organisation(h.organisation))
	}
}

// admit spends a token, or returns a refusal. If there is no token it first waits for
// the owner's answer, for MaxWait at most, unless the owner has reported the rate as
// used up or maxWaiting requests already wait.
func (s *holders) admit(ctx context.Context, organisation string) *call.Reply {
	h, ok := s.nodeShare(organisation)
	if !ok {
		return call.Refuse(call.CodeForbidden, "the organisation is not part of the configuration")
	}
	if s.Mode == ModeLocal {
		return s.admitLocal(h)
	}
	deadline := s.clock.Now().Add(s.MaxWait.Std())
	decision, changed, next := s.take(h, false)
	if decision == quota.Wait {
		defer h.stopWaiting()
	}
	for decision == quota.Wait {
		s.sendDue(h)
		if !s.wait(ctx, changed, next, deadline) {
			return refusal("no token could be had from the organisation's owner in time")
		}
		decision, changed, next = s.take(h, true)
	}
	if decision == quota.Exhausted {
		return refusal("the organisation's rate is used up")
	}
	return nil
}

func (s *holders) admitLocal(h *nodeShare) *call.Reply {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := s.clock.Now()
	if !h.local.Take(now) {
		return refusal("the organisation's rate is used up on this VM")
	}
	s.logAdmission(h.organisation, now)
	return nil
}

// refusal returns a refusal whose Retry-After has jitter, to spread the retries.
func refusal(message string) *call.Reply {
	reply := call.Refuse(call.CodeRateLimited, message)
	reply.RetryAfter = time.Duration((0.5 + rand.Float64()) * float64(retryAfter))
	return reply
}

// take tries to spend a token. A request that has to wait counts as waiting from
// its first call until stopWaiting. It should try again once the returned channel is
// closed, or at the returned time.
func (s *holders) take(h *nodeShare, alreadyWaiting bool) (quota.Decision, <-chan struct{}, time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := s.update(h)
	h.lastUsed = now
	if !alreadyWaiting {
		h.holder.CountRequest(now)
	}
	decision := h.holder.Take(now)
	if decision == quota.Wait && !alreadyWaiting && h.waiting >= maxWaiting {
		decision = quota.Exhausted
	}
	if decision == quota.Wait && !alreadyWaiting {
		h.waiting++
	}
	if decision == quota.Admitted {
		s.logAdmission(h.organisation, now)
	}
	return decision, h.changed, h.holder.NextEvent(now)
}

func (h *nodeShare) stopWaiting() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.waiting--
}

// wait blocks until changed is closed or the time next. It returns false if the
// deadline has passed or the request was cancelled.
func (s *holders) wait(ctx context.Context, changed <-chan struct{}, next, deadline time.Time) bool {
	now := s.clock.Now()
	if !now.Before(deadline) {
		return false
	}
	until := deadline
	if next.After(now) && next.Before(deadline) {
		until = next
	}
	timer := s.clock.NewTimer(until.Sub(now))
	defer timer.Stop()
	select {
	case <-changed:
		return true
	case <-timer.Chan():
		return s.clock.Now().Before(deadline)
	case <-ctx.Done():
		return false
	}
}

// logAdmission logs the exact time of an admission, from which the benchmark checks the
// limit in every window.
func (s *holders) logAdmission(organisation string, now time.Time) {
	s.log.WithFields(log.Fields{"organisation": organisation, "admitted_unix_ns": now.UnixNano()}).Debug("admitted")
}

// run sends the Asks that are due. It blocks while there is no nodeShare.
func (s *holders) run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-s.created:
		}
		if err := s.runUntilIdle(ctx); err != nil {
			return err
		}
	}
}

// runUntilIdle sends the Asks that are due until no nodeShare is left.
func (s *holders) runUntilIdle(ctx context.Context) error {
	ticker := s.clock.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.Chan():
		}
		activeShares := s.activeShares()
		if len(activeShares) == 0 {
			return nil
		}
		for _, h := range activeShares {
			s.sendDue(h)
		}
	}
}

// activeShares returns all nodeShares, after removing those idle for idleTimeout.
func (s *holders) activeShares() []*nodeShare {
	now := s.clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	activeShares := make([]*nodeShare, 0, len(s.byOrganisation))
	for organisation, h := range s.byOrganisation {
		if h.idle(now) {
			delete(s.byOrganisation, organisation)
			continue
		}
		activeShares = append(activeShares, h)
	}
	return activeShares
}

func (h *nodeShare) idle(now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.waiting == 0 && now.Sub(h.lastUsed) > idleTimeout
}

// sendDue sends the Ask, Borrow and Extend messages that are due.
func (s *holders) sendDue(h *nodeShare) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := s.update(h)
	if h.hasOwner && h.holder.AskDue(now, h.waiting) {
		go s.ask(h, h.owner, h.holder.Ask(now, h.waiting))
	}
	s.borrow(h, now)
	s.extend(h, now)
}

// ask sends one Ask to the owner and applies the answer.
func (s *holders) ask(h *nodeShare, owner config.Owner, ask quota.Ask) {
	ctx, cancel := context.WithTimeout(context.Background(), askTimeout)
	defer cancel()
	started := s.clock.Now()
	answer, err := s.exchange(ctx, owner, ask)
	now := s.clock.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	if err != nil {
		s.log.WithError(err).WithFields(log.Fields{"organisation": ask.Organisation, "owner": owner.VM}).Debug("cannot get an answer from the owner; backing off")
		h.askBackoff = min(max(minAskBackoff, time.Duration(askBackoffFactor*float64(h.askBackoff))), maxAskBackoff)
		h.holder.AskFailed(now, ask.Number, time.Duration((0.75+rand.Float64()/2)*float64(h.askBackoff)))
	} else {
		h.askBackoff = 0
		s.metrics.askDuration.Observe(now.Sub(started).Seconds())
		if h.holder.ApplyAnswer(now, answer.Answer) {
			h.arbiterAddress = answer.Arbiter
		}
		h.setLenders(answer.Lenders, s.mesh.Self().VM)
	}
	h.notifyWaiting()
}

// exchange sends an Ask to the owner, which may be on this node, and returns the answer.
func (s *holders) exchange(ctx context.Context, owner config.Owner, ask quota.Ask) (answer answerMessage, err error) {
	message := askMessage{Ask: ask, Address: s.members.Self().MeshAddress}
	if owner.VM == s.mesh.Self().VM {
		return s.owners.answer(s.mesh.Self(), message)
	}
	err = s.mesh.Exchange(ctx, mesh.Peer{VM: owner.VM, Address: owner.Address}, mesh.KindQuota, message, &answer)
	return answer, err
}

// askMessage is the mesh message that carries an Ask.
type askMessage struct {
	Ask quota.Ask `cbor:"1,keyasint"`
	// Address is the holder's mesh address, for recalls.
	Address string `cbor:"2,keyasint"`
}

// emptyMessage is an answer without content.
type emptyMessage struct{}

// serveRecall handles a Recall from an owner.
func (s *holders) serveRecall(_ context.Context, _ mesh.Identity, recall quota.Recall) (emptyMessage, error) {
	s.mu.Lock()
	h := s.byOrganisation[recall.Organisation]
	s.mu.Unlock()
	if h == nil {
		return emptyMessage{}, nil
	}
	h.recall()
	s.sendDue(h)
	return emptyMessage{}, nil
}

func (h *nodeShare) recall() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.holder.Recall()
}

// release returns every share to its owner.
func (s *holders) release(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	var group sync.WaitGroup
	for _, h := range s.activeShares() {
		group.Go(func() { s.returnShare(ctx, h) })
	}
	group.Wait()
}

// returnShare returns a share to its owner. It retries if the owner does not answer,
// as there may be another owner by then.
func (s *holders) returnShare(ctx context.Context, h *nodeShare) {
	for ctx.Err() == nil {
		h.mu.Lock()
		now := s.update(h)
		owner, hasOwner := h.owner, h.hasOwner
		ask := h.holder.Release(now)
		h.mu.Unlock()
		if !hasOwner {
			return
		}
		attemptCtx, cancel := context.WithTimeout(ctx, askTimeout)
		_, err := s.exchange(attemptCtx, owner, ask)
		cancel()
		if err == nil {
			return
		}
		s.clock.Sleep(minAskBackoff)
	}
}
