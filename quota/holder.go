package quota

import (
	"time"
)

const (
	// idleDemand is the demand below which a share is given back whole.
	idleDemand = 0.05
	// lowWater is the time's worth of demand below which a holder asks for
	// tokens before it has run out.
	lowWater = 60 * time.Millisecond
	// askGap is the least time between two asks that no request waits for.
	askGap = 50 * time.Millisecond
	// surplusKeep is how many times the tokens that it may keep make a holder
	// give back the rest early.
	surplusKeep = 1.5
	// recallKeep is the time's worth of demand that a recalled holder keeps.
	recallKeep = 20 * time.Millisecond
)

// Verdict is what becomes of a request.
type Verdict int

const (
	// Admitted means that a token was spent.
	Admitted Verdict = iota
	// Wait means that the owner's answer has to be awaited.
	Wait
	// Exhausted means that the owner has said that the rate is used up.
	Exhausted
)

// Holder keeps one node's share of one organisation's limit. It is not safe
// for concurrent use.
type Holder struct {
	organisation string
	limit        Limit
	bucket       bucket
	demand       demand
	// expires is the end of the share, which its arbiter may extend to
	// hardExpires, the end of the lease. granted is the number of the ask whose
	// answer gave the share.
	expires, hardExpires time.Time
	extendAskedAt        time.Time
	granted              uint64
	arbiter              HolderID
	// term is the owner's term that this node knows, and proven the end of
	// the proof that it is the latest.
	term   uint64
	proven time.Time
	// shareTerm is the term under which the share was granted, and valid the
	// end of the last proof seen under it.
	shareTerm uint64
	valid     time.Time
	// number is that of the last ask; pending while it may be answered.
	number  uint64
	pending bool
	askedAt time.Time
	// target and keep are the burst and the tokens that the holder keeps on
	// its next ask.
	target, keep float64
	nextAsk      time.Time
	useless      time.Time
	exhausted    bool
	scarce       bool
	recalled     bool
	// failing is true from an ask that was not answered to one that was.
	failing bool
	loans   loans
}

// NewHolder returns a holder without a share.
func NewHolder(organisation string, limit Limit) *Holder {
	return &Holder{organisation: organisation, limit: limit, loans: loans{asked: map[uint64]time.Time{}}}
}

// SetLimit takes in a changed limit. What is held shrinks in proportion, so
// that a lower limit holds at once.
func (h *Holder) SetLimit(now time.Time, limit Limit) {
	if limit == h.limit {
		return
	}
	h.advance(now)
	rate, burst := shrink(limit.Rate, h.limit.Rate), shrink(limit.Burst, h.limit.Burst)
	h.bucket.resize(h.bucket.rate*rate, h.bucket.capacity*burst)
	h.loans.shrink(rate, burst)
	h.target *= burst
	h.limit = limit
}

// shrink returns the factor from an old to a lower new value; 1 otherwise.
func shrink(now, before float64) float64 {
	if before <= 0 || now >= before {
		return 1
	}
	return now / before
}

// Follow takes in the owner's term that this node knows and until when it is
// proven to be the latest. The proof must have been read before the term. A
// share of an earlier term stays valid only for as long as that one was proven
// to be the latest, so that the next owner knows when it has run out, unless
// it reports the share and is answered.
func (h *Holder) Follow(now time.Time, term uint64, proven time.Time) {
	if term < h.term {
		return
	}
	if term > h.term {
		h.term, h.proven = term, time.Time{}
		h.pending, h.useless, h.nextAsk = false, now, now
	}
	if proven.After(h.proven) {
		h.proven = proven
	}
	if h.shareTerm == term {
		h.valid = h.proven
	}
}

// advance mints tokens, takes back loans that have ended and drops a share
// whose lease or proof has run out.
func (h *Holder) advance(now time.Time) {
	returned := h.loans.end(now)
	if !now.Before(h.expires) || !now.Before(h.valid) {
		h.bucket.resize(0, 0)
		h.target, returned = 0, Share{}
	}
	h.bucket.advance(now)
	h.bucket.resize(h.bucket.rate+returned.Rate, h.bucket.capacity+returned.Burst)
}

// Arrive counts a new request in the demand.
func (h *Holder) Arrive(now time.Time) { h.demand.add(now) }

// Take spends a token for a request, or says why there is none.
func (h *Holder) Take(now time.Time) Verdict {
	h.advance(now)
	if h.bucket.take() || h.loans.take() {
		return Admitted
	}
	if h.exhausted && now.Before(h.useless) {
		return Exhausted
	}
	return Wait
}

// Due reports whether the holder should ask its owner now; waiting is the
// number of requests that wait for a token.
func (h *Holder) Due(now time.Time, waiting int) bool {
	if h.pending {
		return false
	}
	if h.recalled {
		return true
	}
	if waiting > 0 {
		return !now.Before(h.useless)
	}
	if !h.active(now) {
		return false
	}
	if !now.Before(h.nextAsk) {
		return true
	}
	h.advance(now)
	h.demand.decay(now)
	low := min(h.keep, h.demand.rate*lowWater.Seconds())
	surplus := h.scarce && h.bucket.tokens > min(surplusKeep*h.keep+1, 0.95*h.bucket.capacity)
	return (surplus || h.bucket.tokens < low) && now.Sub(h.askedAt) >= askGap && !now.Before(h.useless)
}

// active reports whether the holder has anything to renew or to give back.
func (h *Holder) active(now time.Time) bool {
	return now.Before(h.expires) && (h.bucket.rate > 0 || h.bucket.capacity > 0 || len(h.loans.lent) > 0)
}

// NextEvent returns when Due or Take may next change by time alone.
func (h *Holder) NextEvent(now time.Time) time.Time {
	next := h.nextAsk
	if h.useless.After(now) && h.useless.Before(next) {
		next = h.useless
	}
	if mint, ok := h.bucket.untilToken(); ok && now.Add(mint).Before(next) {
		next = now.Add(mint)
	}
	if mint, ok := h.loans.untilToken(); ok && now.Add(mint).Before(next) {
		next = now.Add(mint)
	}
	return next
}

// Recall makes the holder ask at once and give back what it can spare.
func (h *Holder) Recall() { h.recalled = true }

// Ask gives back what is not needed and returns the message to the owner. The
// answers to all earlier asks are void from now on.
func (h *Holder) Ask(now time.Time, waiting int) Ask {
	h.advance(now)
	h.demand.decay(now)
	returned := h.giveBack(waiting)
	h.number++
	h.pending, h.recalled, h.askedAt = true, false, now
	out := h.loans.out()
	ask := Ask{
		Organisation: h.organisation, Term: h.term, Number: h.number,
		Held:     Share{Rate: h.bucket.rate + out.Rate, Burst: h.bucket.capacity + out.Burst},
		Returned: returned, Demand: h.demand.rate, Limit: h.limit, Applied: h.granted,
	}
	if waiting > 0 || h.demand.rate >= idleDemand {
		ask.Want = max(0, float64(waiting)+h.keep-h.bucket.tokens)
	}
	return ask
}

// giveBack shrinks the share to what the last answer lets the holder keep and
// returns the tokens that leave. The burst shrinks at least by the tokens that
// leave, so that they are still counted as out while they are on their way.
//
// While the owner does not answer, nothing is given back, as it would be lost.
func (h *Holder) giveBack(waiting int) float64 {
	if h.failing {
		return 0
	}
	if waiting == 0 && h.demand.rate < idleDemand {
		returned := h.bucket.tokens
		h.bucket.resize(0, 0)
		return returned
	}
	keep := h.keep
	if h.recalled {
		keep = min(keep, h.demand.rate*recallKeep.Seconds())
	}
	kept := min(h.bucket.tokens, float64(waiting)+keep)
	returned := h.bucket.tokens - kept
	h.bucket.tokens = kept
	h.bucket.resize(h.bucket.rate, min(max(h.target-h.loans.out().Burst, kept), h.bucket.capacity-returned))
	return returned
}

// Release gives back everything; the message needs no answer.
func (h *Holder) Release(now time.Time) Ask {
	h.demand.rate, h.failing = 0, false
	ask := h.Ask(now, 0)
	h.pending = false
	return ask
}

// Abandon voids the answer to an ask that was not answered in time. No ask is
// sent before retry has passed.
func (h *Holder) Abandon(now time.Time, number uint64, retry time.Duration) {
	if number != h.number || !h.pending {
		return
	}
	h.pending, h.failing = false, true
	h.exhausted = false
	h.useless = now.Add(retry)
	h.nextAsk = h.useless
}

// Apply takes in the answer to the last ask and reports whether it did.
func (h *Holder) Apply(now time.Time, answer Answer) bool {
	if !h.pending || answer.Number != h.number || answer.Term != h.term {
		return false
	}
	h.pending, h.failing = false, false
	h.nextAsk = h.askedAt.Add(answer.Next)
	h.useless = now.Add(answer.Wait)
	h.exhausted, h.scarce = answer.Exhausted, answer.Scarce
	h.advance(now)
	expires, hard := h.askedAt.Add(answer.valid()), h.askedAt.Add(answer.Lease)
	if !now.Before(expires) {
		return true
	}
	h.expires, h.hardExpires, h.granted, h.arbiter = expires, hard, answer.Number, answer.Arbiter
	h.shareTerm, h.valid = h.term, h.proven
	h.keep, h.target = answer.Keep, answer.Target
	out := h.loans.out()
	rate := answer.Share.Rate*shrink(h.limit.Rate, answer.Limit.Rate) - out.Rate
	factor := shrink(h.limit.Burst, answer.Limit.Burst)
	h.bucket.resize(max(0, rate), max(h.bucket.capacity, answer.Share.Burst*factor-out.Burst))
	h.bucket.tokens = min(h.bucket.capacity, h.bucket.tokens+answer.Tokens*factor)
	return true
}
