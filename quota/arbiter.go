package quota

import "time"

const (
	// softLease is the least time for which a share is valid without the
	// arbiter's word, and softIntervals the number of intervals between asks
	// that it spans at least. It is long enough to find a silent connection by
	// an overdue ask and a ping, to dial anew and to ask again.
	softLease     = 2500 * time.Millisecond
	softIntervals = 3
	// closeGap is the least time between two questions about a record, and
	// extendGap between two about a share.
	closeGap  = 200 * time.Millisecond
	extendGap = 100 * time.Millisecond
)

// Extend asks the arbiter that an answer named to let a share last until the
// end of its lease, as the owner does not answer.
type Extend struct {
	Organisation string `cbor:"1,keyasint"`
	// Number is that of the ask whose answer gave the share.
	Number uint64 `cbor:"2,keyasint"`
	// Arbiter is the incarnation that is asked; another one knows nothing.
	Arbiter HolderID `cbor:"3,keyasint"`
}

// Close asks an arbiter whether a silent holder may have had its share extended.
// It is asked after the share's end, so one that was not extended by then never
// will be, and the owner may grant it to others.
type Close struct {
	Organisation string   `cbor:"1,keyasint"`
	Holder       HolderID `cbor:"2,keyasint"`
	// Number is that of the holder's last ask.
	Number  uint64   `cbor:"3,keyasint"`
	Arbiter HolderID `cbor:"4,keyasint"`
}

// Arbiter remembers which shares it has extended, so that an owner and a holder
// that do not hear each other agree on whether a share lasts. It is not safe for
// concurrent use.
type Arbiter struct {
	extendedAt map[arbitrated]time.Time
	purged     time.Time
}

type arbitrated struct {
	organisation string
	holder       HolderID
}

// remembered is how long after an extension the share may last.
const remembered = Lease + leaseMargin

// NewArbiter returns an arbiter that has extended nothing.
func NewArbiter() *Arbiter { return &Arbiter{extendedAt: map[arbitrated]time.Time{}} }

// Extend lets the holder's share last until the end of its lease.
func (a *Arbiter) Extend(now time.Time, holder HolderID, ask Extend) {
	a.purge(now)
	a.extendedAt[arbitrated{ask.Organisation, holder}] = now
}

// Close reports whether no share of the holder was extended that may last.
func (a *Arbiter) Close(now time.Time, ask Close) bool {
	a.purge(now)
	at, extended := a.extendedAt[arbitrated{ask.Organisation, ask.Holder}]
	return !extended || now.Sub(at) >= remembered
}

// purge forgets the shares that have ended.
func (a *Arbiter) purge(now time.Time) {
	if now.Sub(a.purged) < remembered {
		return
	}
	a.purged = now
	for key, at := range a.extendedAt {
		if now.Sub(at) >= remembered {
			delete(a.extendedAt, key)
		}
	}
}

// NameArbiters sets the nodes that settle what becomes of silent holders'
// shares, the preferred one first; none leaves them to their leases.
func (o *Owner) NameArbiters(arbiters []HolderID) { o.arbiters = arbiters }

// arbiter returns the arbiter for a holder: never its own VM, which would be
// silent with it.
func (o *Owner) arbiter(holder HolderID) HolderID {
	for _, a := range o.arbiters {
		if a.VM != holder.VM {
			return a
		}
	}
	return HolderID{}
}

// entrust names the arbiter of the share that is granted now. A record can be
// closed early only if every share that the holder may have has this arbiter.
func (o *Owner) entrust(now time.Time, r *record, ask Ask, before uint64) (arbiter HolderID, soft time.Duration) {
	arbiter = o.arbiter(r.id)
	same := arbiter == r.arbiter && (r.closable || ask.Applied == before)
	r.closable = same || ask.Held == (Share{})
	r.arbiter = arbiter
	if arbiter == (HolderID{}) {
		r.closable = false
		return arbiter, 0
	}
	soft = max(softLease, softIntervals*o.interval())
	r.softUntil = now.Add(soft + leaseMargin)
	return arbiter, soft
}

// Overdue returns the questions to the arbiters of holders that have not asked
// for so long that their shares have ended unless they were extended.
func (o *Owner) Overdue(now time.Time, organisation string) (asks []Close) {
	for element := o.holders.order.Front(); element != nil; element = element.Next() {
		r := element.Value.(*record)
		if now.Before(r.softUntil) {
			break
		}
		if r.closable && now.Sub(r.closing) >= closeGap {
			r.closing = now
			asks = append(asks, Close{Organisation: organisation, Holder: r.id, Number: r.number, Arbiter: r.arbiter})
		}
	}
	return asks
}

// Settle takes in the arbiter's answer: a record that was closed is dropped,
// one whose share was extended stays until its lease has ended.
func (o *Owner) Settle(now time.Time, ask Close, closed bool) {
	o.advance(now)
	r, ok := o.holders.byID[ask.Holder]
	if !ok || r.number != ask.Number || r.arbiter != ask.Arbiter || !r.closable || o.closed {
		return
	}
	if !closed {
		r.closable = false
		return
	}
	o.holders.remove(r)
	o.resize()
}

// valid returns how long the share is valid, counted from the ask, unless it is
// extended.
func (a Answer) valid() time.Duration {
	if a.Soft > 0 {
		return min(a.Soft, a.Lease)
	}
	return a.Lease
}

// Extend returns the question to the share's arbiter, if the owner has not
// answered the last ask.
func (h *Holder) Extend(now time.Time) (Extend, bool) {
	if !h.failing || !h.expires.Before(h.hardExpires) || now.Sub(h.extendAskedAt) < extendGap {
		return Extend{}, false
	}
	h.advance(now)
	if !h.active(now) {
		return Extend{}, false
	}
	h.extendAskedAt = now
	return Extend{Organisation: h.organisation, Number: h.granted, Arbiter: h.arbiter}, true
}

// Extended takes in that the arbiter lets the share last until the end of its
// lease. A share that has ended stays so.
func (h *Holder) Extended(now time.Time, ask Extend) {
	h.advance(now)
	if ask.Number == h.granted && now.Before(h.expires) {
		h.expires = h.hardExpires
	}
}
