package quota

import "time"

// Book is the state that an owner passes to the owner of the next term on a
// planned stop, so that the new owner does not have to wait for unreported shares
// to expire. Durations are measured from when the Book was made. The receiver
// measures them from its arrival, so that they end later than necessary but never
// too early.
type HandoverState struct {
	Organisation string `cbor:"1,keyasint"`
	// Term is the term of the owner that made the Book.
	Term  uint64 `cbor:"2,keyasint"`
	Limit Limit  `cbor:"3,keyasint"`
	// Tokens is the number of tokens in the owner's own bucket.
	Tokens float64 `cbor:"4,keyasint"`
	// Unknown is the part of the limit that counts as outstanding for UnknownFor,
	// as earlier owners may have leased it.
	Unknown    Share         `cbor:"5,keyasint"`
	UnknownFor time.Duration `cbor:"6,keyasint"`
	// Records are ordered by expiry.
	Records []HandoverRecord `cbor:"7,keyasint"`
}

// BookRecord is the share that counts as outstanding at one holder.
type HandoverRecord struct {
	VM          string        `cbor:"1,keyasint"`
	Incarnation uint64        `cbor:"2,keyasint"`
	Number      uint64        `cbor:"3,keyasint"`
	Share       Share         `cbor:"4,keyasint"`
	Demand      float64       `cbor:"5,keyasint"`
	For         time.Duration `cbor:"6,keyasint"`
}

// HandOver closes the owner and returns its Book. The owner grants nothing from
// then on, whether or not the Book arrives.
func (o *Owner) HandOver(now time.Time, organisation string) HandoverState {
	o.advance(now)
	handover := HandoverState{
		Organisation: organisation, Term: o.term, Limit: o.limit, Tokens: o.bucket.tokens,
		Unknown: o.unreported, UnknownFor: max(0, o.unreportedUntil.Sub(now)),
	}
	for element := o.holders.byExpiry.Front(); element != nil; element = element.Next() {
		r := element.Value.(*holderRecord)
		handover.Records = append(handover.Records, HandoverRecord{
			VM: r.id.VM, Incarnation: r.id.Incarnation, Number: r.number,
			Share: r.share, Demand: r.demand, For: r.expires.Sub(now),
		})
	}
	o.closed = true
	o.bucket.resize(0, 0)
	return handover
}

// NewOwnerFromBook returns the owner of the term after the Book's. It may start as
// soon as this node knows the new term, before the term is accepted: the owner
// that made the Book no longer grants anything, and the Book includes everything
// that it and earlier owners have granted.
func NewOwnerFromHandover(now time.Time, handover HandoverState) *Owner {
	o := &Owner{
		term: handover.Term + 1, limit: handover.Limit, holders: newHolderSet(), bucket: bucket{at: now}, lease: Lease,
		unreported: handover.Unknown, unreportedUntil: now.Add(handover.UnknownFor),
	}
	for _, entry := range handover.Records {
		r := o.holders.add(HolderID{VM: entry.VM, Incarnation: entry.Incarnation})
		r.number, r.expires = entry.Number, now.Add(entry.For)
		o.holders.setShare(r, entry.Share)
		o.holders.setDemand(r, entry.Demand)
	}
	o.resize()
	o.bucket.tokens = min(handover.Tokens, o.bucket.capacity)
	return o
}
