package quota

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// headroom is the fraction by which a holder's rate exceeds its demand.
	headroom = 0.25
	// ownerReserveFraction is the fraction of the rate that the owner does not lease,
	// to serve holders that run out of tokens.
	ownerReserveFraction = 0.1
	// holdersBurstFraction is the fraction of the burst that is leased to the holders;
	// the owner keeps the rest.
	holdersBurstFraction = 0.75
	// keepTime limits the unspent tokens that a holder may keep to about what its
	// demand uses in this time.
	keepTime = 100 * time.Millisecond
	// coverTime sizes a holder's burst to the requests of its demand in this time.
	coverTime = 500 * time.Millisecond
	// askInterval is the time between a holder's Asks. It grows with the number of
	// holders by askIntervalPerHolder, up to a third of the lease.
	askInterval          = 500 * time.Millisecond
	askIntervalPerHolder = time.Millisecond
	// emptyRetryWait is how long a holder waits before it asks an empty owner again.
	emptyRetryWait = 20 * time.Millisecond
	// scarceFraction is the fraction of the burst below which the owner's bucket is low.
	scarceFraction = 0.25
	// overloadFactor is the demand, as a multiple of the rate, above which requests
	// are refused instead of waiting for recalled tokens. The demand must have lasted
	// for overloadAfter; a burst within the limit is over sooner.
	overloadFactor = 1.2
	overloadAfter  = 500 * time.Millisecond
	// minRecallInterval is the minimum time between two recalls of a holder.
	// recallFanout is the maximum number of holders recalled at once.
	minRecallInterval = 30 * time.Millisecond
	recallFanout      = 4
)

// firstTerm is the term of an organisation's first owner.
const firstTerm = 1

// Owner leases shares of one organisation's limit to holders. It is not safe for
// concurrent use. It may be used only from when its term is accepted, or the previous
// owner has handed over to it, until this node's configuration is no longer fresh or
// this node knows a later term.
type Owner struct {
	term    uint64
	limit   Limit
	bucket  bucket
	holders *holderSet
	// unreported is what an earlier owner may have leased and no holder has reported
	// yet. It counts as outstanding until unreportedUntil.
	unreported      Share
	unreportedUntil time.Time
	// withinRateAt is when the demand was last at most overloadFactor times the rate.
	withinRateAt time.Time
	// closed is true once the owner has handed over; it grants nothing any more.
	closed bool
	// lease is the maximum duration of the shares granted from now on.
	lease time.Duration
	// arbiters decide whether the shares of silent holders were extended.
	arbiters []HolderID
}

// NewOwner returns the owner of a term that starts now. The term must have been
// accepted. The first owner of an organisation starts with a full bucket. Any later
// owner starts with an empty one and counts the whole limit as outstanding until
// holders have reported their shares or the shares must have expired. proofValidity
// is how long a node's proof is valid that it knows the latest term.
func NewOwner(now time.Time, term uint64, limit Limit, proofValidity time.Duration) *Owner {
	o := &Owner{term: term, limit: limit, holders: newHolderSet(), bucket: bucket{updatedAt: now}, lease: leaseFor(proofValidity)}
	if term == firstTerm {
		o.bucket.tokens = limit.Burst
	} else {
		o.unreported = Share(limit)
		o.unreportedUntil = now.Add(min(proofValidity, o.lease) + leaseMargin)
	}
	o.resize()
	return o
}

// ExpireUnreported records that all proofs of earlier terms have expired, so that no
// share of those terms is valid any more, other than the reported ones.
func (o *Owner) ExpireUnreported(now time.Time) {
	if now.Before(o.unreportedUntil) {
		o.unreportedUntil = now
		o.advance(now)
	}
}

// AllReported reports whether no unreported shares of earlier terms are left.
func (o *Owner) AllReported(now time.Time) bool { return !now.Before(o.unreportedUntil) }

// Term returns the owner's term.
func (o *Owner) Term() uint64 { return o.term }

// SetLimit applies a changed limit.
func (o *Owner) SetLimit(now time.Time, limit Limit) {
	if limit == o.limit {
		return
	}
	o.advance(now)
	o.limit = limit
	o.resize()
}

// SetProofValidity sets how long a node's proof is valid that it knows the latest
// term. Leases granted from now on cover that time, up to maxLease.
func (o *Owner) SetProofValidity(proofValidity time.Duration) { o.lease = leaseFor(proofValidity) }

// outstanding returns the part of the limit that is or may be leased.
func (o *Owner) outstanding() Share {
	return Share{Rate: o.unreported.Rate + o.holders.outstanding.Rate, Burst: o.unreported.Burst + o.holders.outstanding.Burst}
}

// free returns the part of the limit that is not outstanding.
func (o *Owner) free() Share {
	outstanding := o.outstanding()
	return Share{Rate: max(0, o.limit.Rate-outstanding.Rate), Burst: max(0, o.limit.Burst-outstanding.Burst)}
}

// resize gives the owner's own bucket the part of the limit that is not outstanding.
func (o *Owner) resize() {
	if o.closed {
		return
	}
	free := o.free()
	o.bucket.resize(free.Rate, free.Burst)
}

// advance refills the owner's bucket, then reclaims the shares that have expired.
func (o *Owner) advance(now time.Time) {
	o.bucket.advance(now)
	o.holders.expire(now)
	if !now.Before(o.unreportedUntil) {
		o.unreported = Share{}
	}
	o.resize()
}

// Handle answers an Ask. It returns the holders to recall.
func (o *Owner) Handle(now time.Time, from HolderID, ask Ask) (Answer, []HolderID, error) {
	if ask.Term != o.term || o.closed {
		return Answer{}, nil, ErrTerm
	}
	if ask.Limit != o.limit {
		return Answer{}, nil, ErrLimit
	}
	o.advance(now)
	r, previous, err := o.applyReport(from, ask)
	if err != nil {
		return Answer{}, nil, err
	}
	if ask.Held == (Share{}) && ask.Want == 0 {
		o.holders.remove(r)
		return Answer{Term: o.term, Number: ask.Number, Limit: o.limit, Next: askInterval}, nil, nil
	}
	o.holders.renew(r, now.Add(o.lease+leaseMargin))
	if o.holders.demand <= overloadFactor*o.limit.Rate {
		o.withinRateAt = now
	}
	answer, unmet := o.grant(r, ask)
	answer.Arbiter, answer.Soft = o.assignArbiter(now, r, ask, previous)
	if unmet < 1 {
		return answer, nil, nil
	}
	answer.Wait = emptyRetryWait
	if now.Sub(o.withinRateAt) > overloadAfter {
		answer.Exhausted = true
		return answer, nil, nil
	}
	return answer, o.recall(now, from), nil
}

// applyReport replaces what counts as outstanding at the holder by the share that it
// reports, and adds the tokens that it returns. Tokens from a holder without a
// record are dropped, as they did not count as outstanding while in flight. It
// returns the number of the holder's previous Ask.
func (o *Owner) applyReport(from HolderID, ask Ask) (r *holderRecord, previous uint64, err error) {
	r, known := o.holders.byID[from]
	switch {
	case known && ask.Number <= r.number:
		return nil, 0, ErrOldAsk
	case known:
		o.holders.setShare(r, ask.Held)
	default:
		r = o.holders.add(from)
		o.holders.setShare(r, o.claimUnreported(ask.Held))
	}
	previous, r.number = r.number, ask.Number
	o.holders.setDemand(r, ask.Demand)
	o.resize()
	if known {
		o.bucket.tokens = min(o.bucket.capacity, o.bucket.tokens+ask.Returned)
	}
	return r, previous, nil
}

// claimUnreported moves a share leased by an earlier owner from unreported to the
// holder's record. Anything beyond unreported has expired already.
func (o *Owner) claimUnreported(held Share) Share {
	held.Rate = min(held.Rate, o.unreported.Rate)
	held.Burst = min(held.Burst, o.unreported.Burst)
	o.unreported.Rate -= held.Rate
	o.unreported.Burst -= held.Burst
	return held
}

// grant decides on the holder's new share and tokens. It returns the number of
// wanted tokens that are missing.
func (o *Owner) grant(r *holderRecord, ask Ask) (answer Answer, unmet float64) {
	held, free := r.share, o.free()
	target := o.target(r)
	next := Share{
		Rate:  min(target.Rate, held.Rate+free.Rate),
		Burst: min(target.Burst, held.Burst+max(0, free.Burst-o.bucket.tokens)),
	}
	tokens := math.Floor(min(ask.Want, o.bucket.tokens))
	next.Burst = max(next.Burst, held.Burst+tokens)
	o.holders.setShare(r, Share{Rate: max(held.Rate, next.Rate), Burst: max(held.Burst, next.Burst)})
	o.bucket.tokens -= tokens
	o.resize()
	answer = Answer{
		Term: o.term, Number: ask.Number, Share: next, Tokens: tokens, Limit: o.limit, Lease: o.lease,
		Target: target.Burst, Keep: o.keep(r), Next: o.interval(),
		Scarce: o.bucket.tokens < scarceFraction*o.limit.Burst,
	}
	return answer, ask.Want - tokens
}

// target returns the share that corresponds to the holder's part of the demand.
func (o *Owner) target(r *holderRecord) Share {
	total := o.holders.demand
	if total < idleDemand || r.demand < idleDemand {
		return Share{}
	}
	part := r.demand / total
	rate := min(r.demand*(1+headroom), part*o.limit.Rate*(1-ownerReserveFraction))
	burst := min(max(1, r.demand*coverTime.Seconds()), part*o.limit.Burst*holdersBurstFraction)
	if burst < 1 {
		// A burst below 1 never holds a whole token, so it is rounded. A holder that
		// gets 0 is served with single tokens from the owner's bucket.
		if burst = math.Round(burst); burst == 0 || float64(o.holders.len()) >= o.limit.Burst {
			return Share{}
		}
	}
	return Share{Rate: rate, Burst: burst}
}

// keep returns the number of tokens that the holder may keep unspent.
func (o *Owner) keep(r *holderRecord) float64 {
	return min(1+r.demand*keepTime.Seconds(), o.target(r).Burst)
}

// interval returns the time between two Asks of a holder.
func (o *Owner) interval() time.Duration {
	grown := askInterval + time.Duration(o.holders.len())*askIntervalPerHolder
	return min(grown, Lease/3)
}

// recall selects the holders with the largest bursts to return tokens.
func (o *Owner) recall(now time.Time, except HolderID) []HolderID {
	var chosen []*holderRecord
	for id, r := range o.holders.byID {
		if id != except && r.share.Burst >= 1 && now.Sub(r.recalledAt) >= minRecallInterval {
			chosen = append(chosen, r)
		}
	}
	slices.SortFunc(chosen, func(a, b *holderRecord) int {
		return cmp.Or(cmp.Compare(b.share.Burst, a.share.Burst), cmp.Compare(a.id.VM, b.id.VM))
	})
	var ids []HolderID
	for _, r := range chosen[:min(len(chosen), recallFanout)] {
		r.recalledAt = now
		ids = append(ids, r.id)
	}
	return ids
}

// LargestHolders returns the holders with the largest rates, at most count. They can
// lend to others while this owner does not answer.
func (o *Owner) LargestHolders(count int) []HolderID {
	var all []*holderRecord
	for _, r := range o.holders.byID {
		if r.share.Burst >= 1 {
			all = append(all, r)
		}
	}
	slices.SortFunc(all, func(a, b *holderRecord) int {
		return cmp.Or(cmp.Compare(b.share.Rate, a.share.Rate), cmp.Compare(a.id.VM, b.id.VM))
	})
	var ids []HolderID
	for _, r := range all[:min(len(all), count)] {
		ids = append(ids, r.id)
	}
	return ids
}
