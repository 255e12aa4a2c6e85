package quota

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// headroom is how much more rate than its demand a holder gets.
	headroom = 0.25
	// ownerReserve is the part of the rate that the owner keeps to answer
	// holders that run out.
	ownerReserve = 0.1
	// holdersBurst is the part of the burst that is spread over the holders;
	// the rest stays with the owner.
	holdersBurst = 0.75
	// keepTime is the time's worth of demand that a holder keeps as tokens.
	keepTime = 100 * time.Millisecond
	// coverTime is the time's worth of demand that a holder's burst covers.
	coverTime = 500 * time.Millisecond
	// askInterval is the time between a holder's asks; it grows with the
	// number of holders by askIntervalPerHolder, up to a third of the lease.
	askInterval          = 500 * time.Millisecond
	askIntervalPerHolder = time.Millisecond
	// emptyWait is when asking again is of use once the owner has run out.
	emptyWait = 20 * time.Millisecond
	// scarce is the part of the burst below which the owner's bucket is low.
	scarce = 0.25
	// overload is the demand, as a multiple of the rate, above which requests
	// are refused instead of waiting for recalled tokens, once it has lasted
	// for overloadAfter; a burst that fits is over before.
	overload      = 1.2
	overloadAfter = 500 * time.Millisecond
	// recallGap is the least time between two recalls of a holder, and
	// recallFanout the number of holders recalled at once.
	recallGap    = 30 * time.Millisecond
	recallFanout = 4
)

// firstTerm is the term of the first owner that an organisation ever had.
const firstTerm = 1

// Owner leases shares of one organisation's limit. It is not safe for
// concurrent use. It must be used only while it is fenced: from when its term
// is accepted until this node is no longer fresh or knows of a later term.
type Owner struct {
	term    uint64
	limit   Limit
	bucket  bucket
	holders *holderSet
	// unknown is what an earlier owner may have leased and no holder has
	// reported yet; it is counted as out until unknownUntil.
	unknown      Share
	unknownUntil time.Time
	// withinAt is when the demand was last within the rate.
	withinAt time.Time
	// closed owners have handed over their book.
	closed bool
	// lease is how long a share may last.
	lease time.Duration
	// arbiters settle what becomes of silent holders' shares.
	arbiters []HolderID
}

// NewOwner returns the owner of a term that begins now, once the term is
// accepted. The first owner that an organisation ever had starts with a full
// bucket; any later one starts with an empty one and counts the whole limit as
// out until it is reported or must have expired. proof is how long a node's
// proof that it knows the latest term counts.
func NewOwner(now time.Time, term uint64, limit Limit, proof time.Duration) *Owner {
	o := &Owner{term: term, limit: limit, holders: newHolderSet(), bucket: bucket{at: now}, lease: leaseFor(proof)}
	if term == firstTerm {
		o.bucket.tokens = limit.Burst
	} else {
		o.unknown = Share(limit)
		o.unknownUntil = now.Add(min(proof, o.lease) + leaseMargin)
	}
	o.resize()
	return o
}

// Supersede takes in that all proofs of an earlier term have run out, so that
// no share of it is valid any more but those reported.
func (o *Owner) Supersede(now time.Time) {
	if now.Before(o.unknownUntil) {
		o.unknownUntil = now
		o.advance(now)
	}
}

// Settled reports whether nothing is unknown any more.
func (o *Owner) Settled(now time.Time) bool { return !now.Before(o.unknownUntil) }

// Term returns the owner's term.
func (o *Owner) Term() uint64 { return o.term }

// SetLimit takes in a changed limit.
func (o *Owner) SetLimit(now time.Time, limit Limit) {
	if limit == o.limit {
		return
	}
	o.advance(now)
	o.limit = limit
	o.resize()
}

// SetProof takes in how long a node's proof counts that it knows the latest
// term, which the leases granted from now on cover.
func (o *Owner) SetProof(proof time.Duration) { o.lease = leaseFor(proof) }

// out returns the sum of what is counted as out.
func (o *Owner) out() Share {
	return Share{Rate: o.unknown.Rate + o.holders.out.Rate, Burst: o.unknown.Burst + o.holders.out.Burst}
}

// free returns what is not out.
func (o *Owner) free() Share {
	out := o.out()
	return Share{Rate: max(0, o.limit.Rate-out.Rate), Burst: max(0, o.limit.Burst-out.Burst)}
}

// resize gives the owner's own bucket what is not out.
func (o *Owner) resize() {
	if o.closed {
		return
	}
	free := o.free()
	o.bucket.resize(free.Rate, free.Burst)
}

// advance mints tokens, then takes back what has expired.
func (o *Owner) advance(now time.Time) {
	o.bucket.advance(now)
	o.holders.expire(now)
	if !now.Before(o.unknownUntil) {
		o.unknown = Share{}
	}
	o.resize()
}

// Handle answers an ask. It returns the holders to recall.
func (o *Owner) Handle(now time.Time, from HolderID, ask Ask) (Answer, []HolderID, error) {
	if ask.Term != o.term || o.closed {
		return Answer{}, nil, ErrTerm
	}
	if ask.Limit != o.limit {
		return Answer{}, nil, ErrLimit
	}
	o.advance(now)
	r, before, err := o.report(from, ask)
	if err != nil {
		return Answer{}, nil, err
	}
	if ask.Held == (Share{}) && ask.Want == 0 {
		o.holders.remove(r)
		return Answer{Term: o.term, Number: ask.Number, Limit: o.limit, Next: askInterval}, nil, nil
	}
	o.holders.renew(r, now.Add(o.lease+leaseMargin))
	if o.holders.demand <= overload*o.limit.Rate {
		o.withinAt = now
	}
	answer, unmet := o.grant(r, ask)
	answer.Arbiter, answer.Soft = o.entrust(now, r, ask, before)
	if unmet < 1 {
		return answer, nil, nil
	}
	answer.Wait = emptyWait
	if now.Sub(o.withinAt) > overloadAfter {
		answer.Exhausted = true
		return answer, nil, nil
	}
	return answer, o.recall(now, from), nil
}

// report replaces what is counted as out at the holder by what it says that it
// has, and takes in the tokens that it gives back. Tokens from a holder without
// a record are dropped: nothing counted them as out on their way. It returns
// the number of the holder's ask before.
func (o *Owner) report(from HolderID, ask Ask) (r *record, before uint64, err error) {
	r, known := o.holders.byID[from]
	switch {
	case known && ask.Number <= r.number:
		return nil, 0, ErrOldAsk
	case known:
		o.holders.setShare(r, ask.Held)
	default:
		r = o.holders.add(from)
		o.holders.setShare(r, o.adopt(ask.Held))
	}
	before, r.number = r.number, ask.Number
	o.holders.setDemand(r, ask.Demand)
	o.resize()
	if known {
		o.bucket.tokens = min(o.bucket.capacity, o.bucket.tokens+ask.Returned)
	}
	return r, before, nil
}

// adopt moves a share that an earlier owner leased from unknown to known.
// What is not covered by unknown has expired already.
func (o *Owner) adopt(held Share) Share {
	held.Rate = min(held.Rate, o.unknown.Rate)
	held.Burst = min(held.Burst, o.unknown.Burst)
	o.unknown.Rate -= held.Rate
	o.unknown.Burst -= held.Burst
	return held
}

// grant decides the holder's new share and tokens, and returns how many of the
// tokens that it wants are missing.
func (o *Owner) grant(r *record, ask Ask) (answer Answer, unmet float64) {
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
		Scarce: o.bucket.tokens < scarce*o.limit.Burst,
	}
	return answer, ask.Want - tokens
}

// target returns the share that the holder's part of the demand deserves.
func (o *Owner) target(r *record) Share {
	total := o.holders.demand
	if total < idleDemand || r.demand < idleDemand {
		return Share{}
	}
	part := r.demand / total
	rate := min(r.demand*(1+headroom), part*o.limit.Rate*(1-ownerReserve))
	burst := min(max(1, r.demand*coverTime.Seconds()), part*o.limit.Burst*holdersBurst)
	if burst < 1 {
		// Such a bucket would never hold a token. Round it; the owner mints
		// for a holder that gets none.
		if burst = math.Round(burst); burst == 0 || float64(o.holders.len()) >= o.limit.Burst {
			return Share{}
		}
	}
	return Share{Rate: rate, Burst: burst}
}

// keep returns the number of tokens that the holder may keep unspent.
func (o *Owner) keep(r *record) float64 {
	return min(1+r.demand*keepTime.Seconds(), o.target(r).Burst)
}

// interval returns the time between two asks of a holder.
func (o *Owner) interval() time.Duration {
	grown := askInterval + time.Duration(o.holders.len())*askIntervalPerHolder
	return min(grown, Lease/3)
}

// recall chooses the holders with the largest bursts to give back tokens.
func (o *Owner) recall(now time.Time, except HolderID) []HolderID {
	var chosen []*record
	for id, r := range o.holders.byID {
		if id != except && r.share.Burst >= 1 && now.Sub(r.recalled) >= recallGap {
			chosen = append(chosen, r)
		}
	}
	slices.SortFunc(chosen, func(a, b *record) int {
		return cmp.Or(cmp.Compare(b.share.Burst, a.share.Burst), cmp.Compare(a.id.VM, b.id.VM))
	})
	var ids []HolderID
	for _, r := range chosen[:min(len(chosen), recallFanout)] {
		r.recalled = now
		ids = append(ids, r.id)
	}
	return ids
}

// Largest returns the holders with the largest shares, at most count, which
// can lend to others while this owner does not answer.
func (o *Owner) Largest(count int) []HolderID {
	var all []*record
	for _, r := range o.holders.byID {
		if r.share.Burst >= 1 {
			all = append(all, r)
		}
	}
	slices.SortFunc(all, func(a, b *record) int {
		return cmp.Or(cmp.Compare(b.share.Rate, a.share.Rate), cmp.Compare(a.id.VM, b.id.VM))
	})
	var ids []HolderID
	for _, r := range all[:min(len(all), count)] {
		ids = append(ids, r.id)
	}
	return ids
}
