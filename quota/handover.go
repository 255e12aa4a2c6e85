package quota

import "time"

// HandoverState is the state that an owner passes to the owner of the next term on
// a planned stop, so that the new owner does not have to wait for unreported shares
// to expire. Durations are measured from when the state was recorded. The receiver
// measures them from its arrival, so that they end later than necessary but never
// too early.
type HandoverState struct {
	Organisation string `cbor:"1,keyasint"`
	// Term is the term of the owner that recorded the state.
	Term  uint64 `cbor:"2,keyasint"`
	Limit Limit  `cbor:"3,keyasint"`
	// Tokens is the number of tokens in the owner's own bucket.
	Tokens float64 `cbor:"4,keyasint"`
	// Unreported is the part of the limit that counts as outstanding for
	// UnreportedFor, as earlier owners may have leased it.
	Unreported    Share         `cbor:"5,keyasint"`
	UnreportedFor time.Duration `cbor:"6,keyasint"`
	// Records are ordered by expiry.
	Records []HandoverRecord `cbor:"7,keyasint"`
}

// HandoverRecord is the share that counts as outstanding at one holder.
type HandoverRecord struct {
	VM          string  `cbor:"1,keyasint"`
	Incarnation uint64  `cbor:"2,keyasint"`
	Number      uint64  `cbor:"3,keyasint"`
	Share       Share   `cbor:"4,keyasint"`
	Demand      float64 `cbor:"5,keyasint"`
	// For is how long the share counts as outstanding.
	For time.Duration `cbor:"6,keyasint"`
}

// HandOver closes the owner and returns its state. The owner grants nothing from
// then on, whether or not the state reaches the next owner.
func (o *Owner) HandOver(now time.Time, organisation string) HandoverState {
	o.advance(now)
	handover := HandoverState{
		Organisation: organisation, Term: o.term, Limit: o.limit, Tokens: o.bucket.tokens,
		Unreported: o.unreported, UnreportedFor: max(0, o.unreportedUntil.Sub(now)),
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

// NewOwnerFromHandover returns the owner of the term after that of the handover. It
// may start as soon as this node knows the new term, before the term is accepted: the
// previous owner no longer grants anything, and the handover includes everything that
// it and earlier owners have granted.
func NewOwnerFromHandover(now time.Time, handover HandoverState) *Owner {
	o := &Owner{
		term: handover.Term + 1, limit: handover.Limit, holders: newHolderSet(), bucket: bucket{updatedAt: now}, lease: Lease,
		unreported: handover.Unreported, unreportedUntil: now.Add(handover.UnreportedFor),
	}
	for _, record := range handover.Records {
		r := o.holders.add(HolderID{VM: record.VM, Incarnation: record.Incarnation})
		r.number, r.expires = record.Number, now.Add(record.For)
		o.holders.setShare(r, record.Share)
		o.holders.setDemand(r, record.Demand)
	}
	o.resize()
	o.bucket.tokens = min(handover.Tokens, o.bucket.capacity)
	return o
}
