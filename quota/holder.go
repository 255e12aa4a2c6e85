package quota

import (
	"time"
)

const (
	// idleDemand is the demand, in requests a second, below which a holder returns
	// its whole share.
	idleDemand = 0.05
	// lowWatermark defines when a holder is low on tokens: it has fewer than its
	// demand uses in this time, and asks for more before it runs out.
	lowWatermark = 60 * time.Millisecond
	// minAskInterval is the minimum time between two Asks while no request waits.
	minAskInterval = 50 * time.Millisecond
	// surplusFactor is the multiple of the tokens it may keep above which a holder
	// returns the surplus early while the owner is short of tokens.
	surplusFactor = 1.5
	// recallKeepTime limits the tokens that a recalled holder keeps to what its
	// demand uses in this time.
	recallKeepTime = 20 * time.Millisecond
)

// Decision is the result of Holder.Take.
type Decision int

const (
	// Admitted means that a token was spent.
	Admitted Decision = iota
	// Wait means that there is no token now; the request waits for the owner's answer.
	Wait
	// Exhausted means that the owner has reported the rate as used up.
	Exhausted
)

// Holder spends one node's share of one organisation's limit. It is not safe for
// concurrent use.
type Holder struct {
	organisation string
	limit        Limit
	bucket       bucket
	demand       demand
	// expires is the end of the share. Its arbiter may extend it to hardExpires, the
	// end of the lease. grantNumber is the number of the Ask that was answered with
	// the share.
	expires, hardExpires time.Time
	extendAskedAt        time.Time
	grantNumber          uint64
	arbiter              HolderID
	// term is the latest owner's term that this node knows. provenUntil is when the
	// proof expires that it is the latest term.
	term        uint64
	provenUntil time.Time
	// shareTerm is the term under which the share was granted. valid is when the
	// last proof expires that was received while shareTerm was the latest term.
	shareTerm uint64
	valid     time.Time
	// number is the number of the last Ask. pending is true while an answer
	// to it is accepted.
	number  uint64
	pending bool
	askedAt time.Time
	// target and keep are the burst and the number of tokens that the holder keeps
	// when it sends its next Ask.
	target, keep float64
	// nextAsk is when the next periodic Ask is due. Before backoffUntil no Ask is sent
	// just to get more tokens.
	nextAsk      time.Time
	backoffUntil time.Time
	// exhausted and scarce are from the last Answer. A failed Ask resets exhausted.
	exhausted bool
	scarce    bool
	// recalled is true from a Recall until the next Ask.
	recalled bool
	// unresponsive is true from the first Ask that failed or timed out until the owner
	// answers an Ask.
	unresponsive bool
	loans        loans
}

// NewHolder returns a holder that has no share yet.
func NewHolder(organisation string, limit Limit) *Holder {
	return &Holder{organisation: organisation, limit: limit, loans: loans{askedAt: map[uint64]time.Time{}}}
}

// SetLimit applies a changed limit. A lower limit reduces the share in
// proportion at once, without waiting for the owner.
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

// shrink returns newValue/oldValue if the value was lowered, and 1 otherwise.
func shrink(newValue, oldValue float64) float64 {
	if oldValue <= 0 || newValue >= oldValue {
		return 1
	}
	return newValue / oldValue
}

// SetTerm records the latest owner's term that this node knows and the time until
// which it is proven to be the latest. The caller must read the proof before the
// term. A share of an earlier term expires with the last proof of that term, so
// that the next owner knows when it is no longer in use, unless the holder reports
// it to the next owner and receives an answer.
func (h *Holder) SetTerm(now time.Time, term uint64, provenUntil time.Time) {
	if term < h.term {
		return
	}
	if term > h.term {
		h.term, h.provenUntil = term, time.Time{}
		h.pending, h.backoffUntil, h.nextAsk = false, now, now
	}
	if provenUntil.After(h.provenUntil) {
		h.provenUntil = provenUntil
	}
	if h.shareTerm == term {
		h.valid = h.provenUntil
	}
}

// advance refills the buckets, ends loans that have expired and drops the share
// if its lease or its proof has expired.
func (h *Holder) advance(now time.Time) {
	returned := h.loans.expire(now)
	if !now.Before(h.expires) || !now.Before(h.valid) {
		h.bucket.resize(0, 0)
		h.target, returned = 0, Share{}
	}
	h.bucket.advance(now)
	h.bucket.resize(h.bucket.rate+returned.Rate, h.bucket.capacity+returned.Burst)
}

// CountRequest adds a new request to the demand estimate.
func (h *Holder) CountRequest(now time.Time) { h.demand.add(now) }

// Take spends a token for a request, or returns why there is none.
func (h *Holder) Take(now time.Time) Decision {
	h.advance(now)
	if h.bucket.take() || h.loans.take() {
		return Admitted
	}
	if h.exhausted && now.Before(h.backoffUntil) {
		return Exhausted
	}
	return Wait
}

// AskDue reports whether the holder should send an Ask to its owner now. waiting
// is the number of requests that wait for a token.
func (h *Holder) AskDue(now time.Time, waiting int) bool {
	if h.pending {
		return false
	}
	if h.recalled {
		return true
	}
	if waiting > 0 {
		return !now.Before(h.backoffUntil)
	}
	if !h.hasShare(now) {
		return false
	}
	if !now.Before(h.nextAsk) {
		return true
	}
	h.advance(now)
	h.demand.decay(now)
	low := min(h.keep, h.demand.rate*lowWatermark.Seconds())
	surplus := h.scarce && h.bucket.tokens > min(surplusFactor*h.keep+1, 0.95*h.bucket.capacity)
	return (surplus || h.bucket.tokens < low) && now.Sub(h.askedAt) >= minAskInterval && !now.Before(h.backoffUntil)
}

// hasShare reports whether the holder has a share to renew or to return.
func (h *Holder) hasShare(now time.Time) bool {
	return now.Before(h.expires) && (h.bucket.rate > 0 || h.bucket.capacity > 0 || len(h.loans.lent) > 0)
}

// NextEvent returns the next time at which the result of AskDue or Take may change
// without any other call.
func (h *Holder) NextEvent(now time.Time) time.Time {
	next := h.nextAsk
	if h.backoffUntil.After(now) && h.backoffUntil.Before(next) {
		next = h.backoffUntil
	}
	if untilRefill, ok := h.bucket.untilToken(); ok && now.Add(untilRefill).Before(next) {
		next = now.Add(untilRefill)
	}
	if untilRefill, ok := h.loans.untilToken(); ok && now.Add(untilRefill).Before(next) {
		next = now.Add(untilRefill)
	}
	return next
}

// Recall makes the holder send an Ask at once, with the tokens it can spare.
func (h *Holder) Recall() { h.recalled = true }

// Ask returns unused tokens and builds the message to the owner. Answers to
// earlier Asks are ignored from now on.
func (h *Holder) Ask(now time.Time, waiting int) Ask {
	h.advance(now)
	h.demand.decay(now)
	returned := h.returnUnused(waiting)
	h.number++
	h.pending, h.recalled, h.askedAt = true, false, now
	lentTotal := h.loans.lentTotal()
	ask := Ask{
		Organisation: h.organisation, Term: h.term, Number: h.number,
		Held:     Share{Rate: h.bucket.rate + lentTotal.Rate, Burst: h.bucket.capacity + lentTotal.Burst},
		Returned: returned, Demand: h.demand.rate, Limit: h.limit, Applied: h.grantNumber,
	}
	if waiting > 0 || h.demand.rate >= idleDemand {
		ask.Want = max(0, float64(waiting)+h.keep-h.bucket.tokens)
	}
	return ask
}

// returnUnused reduces the share to what the last answer lets the holder keep and
// returns the number of tokens given up. The burst is reduced by at least as much,
// so that the owner still counts these tokens as outstanding while they are in
// flight.
//
// While the owner does not answer, nothing is returned, as the tokens would be lost.
func (h *Holder) returnUnused(waiting int) float64 {
	if h.unresponsive {
		return 0
	}
	if waiting == 0 && h.demand.rate < idleDemand {
		returned := h.bucket.tokens
		h.bucket.resize(0, 0)
		return returned
	}
	keep := h.keep
	if h.recalled {
		keep = min(keep, h.demand.rate*recallKeepTime.Seconds())
	}
	kept := min(h.bucket.tokens, float64(waiting)+keep)
	returned := h.bucket.tokens - kept
	h.bucket.tokens = kept
	h.bucket.resize(h.bucket.rate, min(max(h.target-h.loans.lentTotal().Burst, kept), h.bucket.capacity-returned))
	return returned
}

// Release returns the whole share. The message needs no answer.
func (h *Holder) Release(now time.Time) Ask {
	h.demand.rate, h.unresponsive = 0, false
	ask := h.Ask(now, 0)
	h.pending = false
	return ask
}

// AskFailed handles an Ask that failed or timed out: a late answer to it is ignored,
// and no Ask is sent for the duration retry.
func (h *Holder) AskFailed(now time.Time, number uint64, retry time.Duration) {
	if number != h.number || !h.pending {
		return
	}
	h.pending, h.unresponsive = false, true
	h.exhausted = false
	h.backoffUntil = now.Add(retry)
	h.nextAsk = h.backoffUntil
}

// ApplyAnswer applies the answer to the last Ask. It returns false if the answer is
// for another Ask or term and was ignored. The share of an answer that arrives after
// the share's end is not used.
func (h *Holder) ApplyAnswer(now time.Time, answer Answer) bool {
	if !h.pending || answer.Number != h.number || answer.Term != h.term {
		return false
	}
	h.pending, h.unresponsive = false, false
	h.nextAsk = h.askedAt.Add(answer.Next)
	h.backoffUntil = now.Add(answer.Wait)
	h.exhausted, h.scarce = answer.Exhausted, answer.Scarce
	h.advance(now)
	expires, hard := h.askedAt.Add(answer.valid()), h.askedAt.Add(answer.Lease)
	if !now.Before(expires) {
		return true
	}
	h.expires, h.hardExpires, h.grantNumber, h.arbiter = expires, hard, answer.Number, answer.Arbiter
	h.shareTerm, h.valid = h.term, h.provenUntil
	h.keep, h.target = answer.Keep, answer.Target
	lentTotal := h.loans.lentTotal()
	rate := answer.Share.Rate*shrink(h.limit.Rate, answer.Limit.Rate) - lentTotal.Rate
	factor := shrink(h.limit.Burst, answer.Limit.Burst)
	h.bucket.resize(max(0, rate), max(h.bucket.capacity, answer.Share.Burst*factor-lentTotal.Burst))
	h.bucket.tokens = min(h.bucket.capacity, h.bucket.tokens+answer.Tokens*factor)
	return true
}
