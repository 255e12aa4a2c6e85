package quota

import "time"

// Book is what the owner of one term passes on to that of the next on a
// planned stop, so that nothing has to be counted as unknown. Durations count
// from when the book was closed; counted from when it arrives they end later,
// which is on the safe side.
type Book struct {
	Organisation string `cbor:"1,keyasint"`
	// Term is the term that the book closes.
	Term  uint64 `cbor:"2,keyasint"`
	Limit Limit  `cbor:"3,keyasint"`
	// Tokens are those of the owner's own bucket.
	Tokens float64 `cbor:"4,keyasint"`
	// Unknown is out until UnknownFor has passed.
	Unknown    Share         `cbor:"5,keyasint"`
	UnknownFor time.Duration `cbor:"6,keyasint"`
	// Records are ordered by the time that they expire.
	Records []BookRecord `cbor:"7,keyasint"`
}

// BookRecord is what is out at one holder.
type BookRecord struct {
	VM          string        `cbor:"1,keyasint"`
	Incarnation uint64        `cbor:"2,keyasint"`
	Number      uint64        `cbor:"3,keyasint"`
	Share       Share         `cbor:"4,keyasint"`
	Demand      float64       `cbor:"5,keyasint"`
	For         time.Duration `cbor:"6,keyasint"`
}

// HandOver closes the owner's book and returns it. The owner grants nothing
// from then on, whether the book arrives or not.
func (o *Owner) HandOver(now time.Time, organisation string) Book {
	o.advance(now)
	book := Book{
		Organisation: organisation, Term: o.term, Limit: o.limit, Tokens: o.bucket.tokens,
		Unknown: o.unknown, UnknownFor: max(0, o.unknownUntil.Sub(now)),
	}
	for element := o.holders.order.Front(); element != nil; element = element.Next() {
		r := element.Value.(*record)
		book.Records = append(book.Records, BookRecord{
			VM: r.id.VM, Incarnation: r.id.Incarnation, Number: r.number,
			Share: r.share, Demand: r.demand, For: r.expires.Sub(now),
		})
	}
	o.closed = true
	o.bucket.resize(0, 0)
	return book
}

// NewOwnerFromBook returns the owner of the term after the book's. It may begin
// as soon as this node knows the term, before that is accepted: the book's
// owner grants nothing any more, and the book counts all that it and those
// before it have granted.
func NewOwnerFromBook(now time.Time, book Book) *Owner {
	o := &Owner{
		term: book.Term + 1, limit: book.Limit, holders: newHolderSet(), bucket: bucket{at: now}, lease: Lease,
		unknown: book.Unknown, unknownUntil: now.Add(book.UnknownFor),
	}
	for _, entry := range book.Records {
		r := o.holders.add(HolderID{VM: entry.VM, Incarnation: entry.Incarnation})
		r.number, r.expires = entry.Number, now.Add(entry.For)
		o.holders.setShare(r, entry.Share)
		o.holders.setDemand(r, entry.Demand)
	}
	o.resize()
	o.bucket.tokens = min(book.Tokens, o.bucket.capacity)
	return o
}
