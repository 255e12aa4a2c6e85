package quota

import "time"

const (
	// softLease is the minimum time for which a share is valid without an extension
	// by the arbiter, and softIntervals the minimum number of Ask intervals that this
	// time spans. It is long enough to detect a dead connection by an overdue Ask and
	// a ping, to reconnect and to send the Ask again.
	softLease     = 2500 * time.Millisecond
	softIntervals = 3
	// minCloseInterval is the minimum time between two Close messages about a
	// record, and minExtendInterval between two Extend messages about a share.
	minCloseInterval  = 200 * time.Millisecond
	minExtendInterval = 100 * time.Millisecond
)

// Extend is a holder's message to the arbiter named in an answer. It requests that
// the share last until the end of its lease, as the owner does not answer.
type Extend struct {
	Organisation string `cbor:"1,keyasint"`
	// Number is the number of the Ask that was answered with the share.
	Number uint64 `cbor:"2,keyasint"`
	// Arbiter is the incarnation addressed. Another incarnation has no record of
	// the extensions.
	Arbiter HolderID `cbor:"3,keyasint"`
}

// Close is an owner's message to an arbiter. It asks whether the share of a silent
// holder may have been extended. It is sent after the end of the share, so a share
// that was not extended by then never will be, and the owner may grant it to others.
type Close struct {
	Organisation string   `cbor:"1,keyasint"`
	Holder       HolderID `cbor:"2,keyasint"`
	// Number is the number of the holder's last Ask.
	Number  uint64   `cbor:"3,keyasint"`
	Arbiter HolderID `cbor:"4,keyasint"`
}

// Arbiter records which shares it has extended, so that an owner and a holder that
// cannot reach each other agree on whether a share is valid. It is not safe for
// concurrent use.
type Arbiter struct {
	extendedAt map[arbiterKey]time.Time
	lastPurge  time.Time
}

// arbiterKey identifies a share.
type arbiterKey struct {
	organisation string
	holder       HolderID
}

// extensionTTL is how long after its extension a share may be valid.
const extensionTTL = Lease + leaseMargin

// NewArbiter returns an arbiter without any extensions.
func NewArbiter() *Arbiter { return &Arbiter{extendedAt: map[arbiterKey]time.Time{}} }

// Extend records that the holder's share is extended to the end of its lease.
func (a *Arbiter) Extend(now time.Time, holder HolderID, request Extend) {
	a.purge(now)
	a.extendedAt[arbiterKey{request.Organisation, holder}] = now
}

// Close reports whether no share of the holder may still be valid by an extension.
func (a *Arbiter) Close(now time.Time, request Close) bool {
	a.purge(now)
	at, extended := a.extendedAt[arbiterKey{request.Organisation, request.Holder}]
	return !extended || now.Sub(at) >= extensionTTL
}

// purge removes the extensions of shares that have expired.
func (a *Arbiter) purge(now time.Time) {
	if now.Sub(a.lastPurge) < extensionTTL {
		return
	}
	a.lastPurge = now
	for key, at := range a.extendedAt {
		if now.Sub(at) >= extensionTTL {
			delete(a.extendedAt, key)
		}
	}
}

// SetArbiters sets the nodes that arbitrate on the shares of silent holders, the
// preferred one first. Without arbiters the shares last for their whole lease.
func (o *Owner) SetArbiters(arbiters []HolderID) { o.arbiters = arbiters }

// arbiter returns the arbiter for a holder. It is never on the holder's own VM, as
// it would become unreachable together with the holder.
func (o *Owner) arbiter(holder HolderID) HolderID {
	for _, a := range o.arbiters {
		if a.VM != holder.VM {
			return a
		}
	}
	return HolderID{}
}

// assignArbiter selects the arbiter of the share that is being granted. A record can
// be closed before its lease ends only if the same arbiter was assigned to every share
// that the holder may still have.
func (o *Owner) assignArbiter(now time.Time, r *holderRecord, ask Ask, previous uint64) (arbiter HolderID, soft time.Duration) {
	arbiter = o.arbiter(r.id)
	sameArbiter := arbiter == r.arbiter && (r.closable || ask.Applied == previous)
	r.closable = sameArbiter || ask.Held == (Share{})
	r.arbiter = arbiter
	if arbiter == (HolderID{}) {
		r.closable = false
		return arbiter, 0
	}
	soft = max(softLease, softIntervals*o.interval())
	r.softUntil = now.Add(soft + leaseMargin)
	return arbiter, soft
}

// CloseRequests returns the Close messages that are due: one for each holder that has
// been silent for so long that its shares have expired unless they were extended.
func (o *Owner) CloseRequests(now time.Time, organisation string) (requests []Close) {
	for element := o.holders.byExpiry.Front(); element != nil; element = element.Next() {
		r := element.Value.(*holderRecord)
		if now.Before(r.softUntil) {
			break
		}
		if r.closable && now.Sub(r.closeAskedAt) >= minCloseInterval {
			r.closeAskedAt = now
			requests = append(requests, Close{Organisation: organisation, Holder: r.id, Number: r.number, Arbiter: r.arbiter})
		}
	}
	return requests
}

// ApplyClose applies the arbiter's answer: a closed record is removed, and one whose
// share was extended stays until the end of the lease.
func (o *Owner) ApplyClose(now time.Time, request Close, closed bool) {
	o.advance(now)
	r, ok := o.holders.byID[request.Holder]
	if !ok || r.number != request.Number || r.arbiter != request.Arbiter || !r.closable || o.closed {
		return
	}
	if !closed {
		r.closable = false
		return
	}
	o.holders.remove(r)
	o.resize()
}

// valid returns how long the share is valid without an extension, measured from the
// Ask.
func (a Answer) valid() time.Duration {
	if a.Soft > 0 {
		return min(a.Soft, a.Lease)
	}
	return a.Lease
}

// Extend returns the message to the share's arbiter if the owner does not answer and
// the message is due.
func (h *Holder) Extend(now time.Time) (Extend, bool) {
	if !h.unresponsive || !h.expires.Before(h.hardExpires) || now.Sub(h.extendAskedAt) < minExtendInterval {
		return Extend{}, false
	}
	h.advance(now)
	if !h.hasShare(now) {
		return Extend{}, false
	}
	h.extendAskedAt = now
	return Extend{Organisation: h.organisation, Number: h.grantNumber, Arbiter: h.arbiter}, true
}

// ApplyExtension records that the arbiter has extended the share to the end of its
// lease. A share that has already expired is not extended.
func (h *Holder) ApplyExtension(now time.Time, request Extend) {
	h.advance(now)
	if request.Number == h.grantNumber && now.Before(h.expires) {
		h.expires = h.hardExpires
	}
}
