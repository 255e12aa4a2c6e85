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
	// askTimeout bounds an ask. The time to the next one grows with each that
	// fails, and is spread by a half.
	askTimeout   = 300 * time.Millisecond
	minAskPause  = 40 * time.Millisecond
	maxAskPause  = 250 * time.Millisecond
	askPauseStep = 1.5
	// maxWaiting bounds the requests of one organisation that wait.
	maxWaiting = 1000
	// retryAfter is the mean advice of a refusal.
	retryAfter = time.Second
	// idleTime is how long an unused holding is kept.
	idleTime = time.Minute
)

// holders are this node's shares of the organisations' limits.
type holders struct {
	*Module
	mu             sync.Mutex
	byOrganisation map[string]*holding
	// first is signalled when a holding was made.
	first chan struct{}
}

// holding is this node's share of one organisation's limit.
type holding struct {
	organisation string

	mu      sync.Mutex
	holder  *quota.Holder
	waiting int
	used    time.Time
	// pause is the time to the next ask after one that failed.
	pause time.Duration
	// changed is closed and replaced whenever requests that wait may go on.
	changed chan struct{}
	// local is the whole limit, in ModeLocal.
	local *quota.LocalBucket

	// snapshot is the one that the limit, the owner and the proof's bound are
	// from.
	snapshot *config.Snapshot
	owner    config.Owner
	owned    bool
	proof    time.Duration
	// lenders are asked for loans while the owner does not answer.
	lenders []lender
	// arbiterAddress is that of the share's arbiter.
	arbiterAddress string
}

// wake lets the waiting requests try again. The caller holds the mutex.
func (h *holding) wake() {
	close(h.changed)
	h.changed = make(chan struct{})
}

// holding returns the organisation's holding, a new one if it has none.
func (s *holders) holding(organisation string) (*holding, bool) {
	limit, ok := limitOf(s.config.Snapshot(), organisation)
	if !ok {
		return nil, false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	h := s.byOrganisation[organisation]
	if h == nil {
		h = &holding{
			organisation: organisation, holder: quota.NewHolder(organisation, limit), changed: make(chan struct{}),
			local: quota.NewLocalBucket(s.clock.Now(), limit),
		}
		s.byOrganisation[organisation] = h
		select {
		case s.first <- struct{}{}:
		default:
		}
	}
	return h, true
}

// follow takes in the latest configuration and the proof that it is the latest,
// and returns the time. The caller holds the holding's mutex.
func (s *holders) follow(h *holding) time.Time {
	// The proof is read before the snapshot that it is taken to be of.
	age, proven := s.freshness.ProofAge()
	now, snapshot := s.clock.Now(), s.config.Snapshot()
	if snapshot != h.snapshot {
		s.adopt(h, now, snapshot)
	}
	if s.freshness.IgnoreFreshness {
		age, proven = 0, true
	}
	if h.owned && proven {
		h.holder.Follow(now, h.owner.Term, now.Add(h.proof-age))
	}
	return now
}

// adopt takes in another snapshot.
func (s *holders) adopt(h *holding, now time.Time, snapshot *config.Snapshot) {
	h.snapshot = snapshot
	h.owner, h.owned = snapshot.Owners.Owner(h.organisation)
	if limit, ok := limitOf(snapshot, h.organisation); ok {
		h.holder.SetLimit(now, limit)
		h.proof = s.freshness.ProofBound(snapshot.Organisation(h.organisation))
	}
}

// admit spends a token, asking the owner before it refuses.
func (s *holders) admit(ctx context.Context, organisation string) *call.Reply {
	h, ok := s.holding(organisation)
	if !ok {
		return call.Refuse(call.CodeForbidden, "the organisation is not part of the configuration")
	}
	if s.Mode == ModeLocal {
		return s.admitLocal(h)
	}
	deadline := s.clock.Now().Add(s.MaxWait.Std())
	verdict, changed, next := s.take(h, false)
	if verdict == quota.Wait {
		defer h.leave()
	}
	for verdict == quota.Wait {
		s.step(h)
		if !s.wait(ctx, changed, next, deadline) {
			return refusal("no token could be had from the organisation's owner in time")
		}
		verdict, changed, next = s.take(h, true)
	}
	if verdict == quota.Exhausted {
		return refusal("the organisation's rate is used up")
	}
	return nil
}

func (s *holders) admitLocal(h *holding) *call.Reply {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := s.clock.Now()
	if !h.local.Take(now) {
		return refusal("the organisation's rate is used up on this VM")
	}
	s.logAdmission(h.organisation, now)
	return nil
}

// refusal returns a true refusal with advice that spreads the callers.
func refusal(message string) *call.Reply {
	reply := call.Refuse(call.CodeRateLimited, message)
	reply.RetryAfter = time.Duration((0.5 + rand.Float64()) * float64(retryAfter))
	return reply
}

// take tries to spend a token. The first time a request has to wait it counts
// as waiting, until leave. It returns what to wait for.
func (s *holders) take(h *holding, waits bool) (quota.Verdict, <-chan struct{}, time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := s.follow(h)
	h.used = now
	if !waits {
		h.holder.Arrive(now)
	}
	verdict := h.holder.Take(now)
	if verdict == quota.Wait && !waits && h.waiting >= maxWaiting {
		verdict = quota.Exhausted
	}
	if verdict == quota.Wait && !waits {
		h.waiting++
	}
	if verdict == quota.Admitted {
		s.logAdmission(h.organisation, now)
	}
	return verdict, h.changed, h.holder.NextEvent(now)
}

func (h *holding) leave() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.waiting--
}

// wait blocks until the holding changed or the time next; false if the
// request cannot wait any longer.
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

func (s *holders) logAdmission(organisation string, now time.Time) {
	s.log.WithFields(log.Fields{"organisation": organisation, "admitted_unix_ns": now.UnixNano()}).Debug("admitted")
}

// run sends the asks that are due. It sleeps while there is no holding.
func (s *holders) run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-s.first:
		}
		if err := s.runHoldings(ctx); err != nil {
			return err
		}
	}
}

// runHoldings sends the asks that are due until no holding is left.
func (s *holders) runHoldings(ctx context.Context) error {
	ticker := s.clock.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.Chan():
		}
		all := s.all()
		if len(all) == 0 {
			return nil
		}
		for _, h := range all {
			s.step(h)
		}
	}
}

// all returns the holdings and forgets those that are long unused.
func (s *holders) all() []*holding {
	now := s.clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	all := make([]*holding, 0, len(s.byOrganisation))
	for organisation, h := range s.byOrganisation {
		if h.idle(now) {
			delete(s.byOrganisation, organisation)
			continue
		}
		all = append(all, h)
	}
	return all
}

func (h *holding) idle(now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.waiting == 0 && now.Sub(h.used) > idleTime
}

// step sends an ask if one is due.
func (s *holders) step(h *holding) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := s.follow(h)
	if h.owned && h.holder.Due(now, h.waiting) {
		go s.ask(h, h.owner, h.holder.Ask(now, h.waiting))
	}
	s.borrow(h, now)
	s.extend(h, now)
}

// ask sends one ask to the owner and takes in its answer.
func (s *holders) ask(h *holding, owner config.Owner, ask quota.Ask) {
	ctx, cancel := context.WithTimeout(context.Background(), askTimeout)
	defer cancel()
	started := s.clock.Now()
	answer, err := s.exchange(ctx, owner, ask)
	now := s.clock.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	if err != nil {
		s.log.WithError(err).WithFields(log.Fields{"organisation": ask.Organisation, "owner": owner.VM}).Debug("owner did not answer")
		h.pause = min(max(minAskPause, time.Duration(askPauseStep*float64(h.pause))), maxAskPause)
		h.holder.Abandon(now, ask.Number, time.Duration((0.75+rand.Float64()/2)*float64(h.pause)))
	} else {
		h.pause = 0
		s.metrics.askDuration.Observe(now.Sub(started).Seconds())
		if h.holder.Apply(now, answer.Answer) {
			h.arbiterAddress = answer.Arbiter
		}
		h.learnLenders(answer.Lenders, s.mesh.Self().VM)
	}
	h.wake()
}

func (s *holders) exchange(ctx context.Context, owner config.Owner, ask quota.Ask) (answer answerMessage, err error) {
	message := askMessage{Ask: ask, Address: s.members.Self().MeshAddress}
	if owner.VM == s.mesh.Self().VM {
		return s.owners.answer(s.mesh.Self(), message)
	}
	err = s.mesh.Exchange(ctx, mesh.Peer{VM: owner.VM, Address: owner.Address}, mesh.KindQuota, message, &answer)
	return answer, err
}

// askMessage is an ask on its way to the owner.
type askMessage struct {
	Ask quota.Ask `cbor:"1,keyasint"`
	// Address is the holder's mesh address, for recalls.
	Address string `cbor:"2,keyasint"`
}

// nothing is the answer to a recall.
type nothing struct{}

// serveRecall handles an owner's recall.
func (s *holders) serveRecall(_ context.Context, _ mesh.Identity, recall quota.Recall) (nothing, error) {
	s.mu.Lock()
	h := s.byOrganisation[recall.Organisation]
	s.mu.Unlock()
	if h == nil {
		return nothing{}, nil
	}
	h.mu.Lock()
	h.holder.Recall()
	h.mu.Unlock()
	s.step(h)
	return nothing{}, nil
}

// release gives back every share.
func (s *holders) release(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	var group sync.WaitGroup
	for _, h := range s.all() {
		group.Go(func() { s.giveBack(ctx, h) })
	}
	group.Wait()
}

// giveBack gives back a share, again if its owner has not answered, as there
// may be another one by then.
func (s *holders) giveBack(ctx context.Context, h *holding) {
	for ctx.Err() == nil {
		h.mu.Lock()
		now := s.follow(h)
		owner, owned := h.owner, h.owned
		ask := h.holder.Release(now)
		h.mu.Unlock()
		if !owned {
			return
		}
		try, cancel := context.WithTimeout(ctx, askTimeout)
		_, err := s.exchange(try, owner, ask)
		cancel()
		if err == nil {
			return
		}
		s.clock.Sleep(minAskPause)
	}
}
