package quota

import (
	"container/list"
	"time"
)

// exactAfter is the number of changes after which the sums are added up anew,
// so that rounding errors do not pile up.
const exactAfter = 1024

// record is what the owner counts as out at one holder.
type record struct {
	id       HolderID
	number   uint64
	share    Share
	demand   float64
	expires  time.Time
	recalled time.Time
	// arbiter is that of the last share granted, and softUntil when that has
	// ended unless it was extended. A record is closable if all shares that
	// the holder may have had the same arbiter.
	arbiter   HolderID
	softUntil time.Time
	closable  bool
	closing   time.Time
	position  *list.Element
}

// holderSet has the records of an owner with their sums, so that an answer's
// cost does not grow with the holders.
type holderSet struct {
	byID map[HolderID]*record
	// order has the records by the time that they expire.
	order   *list.List
	out     Share
	demand  float64
	changes int
}

func newHolderSet() *holderSet {
	return &holderSet{byID: map[HolderID]*record{}, order: list.New()}
}

func (s *holderSet) len() int { return len(s.byID) }

// add adds a holder that has nothing yet.
func (s *holderSet) add(id HolderID) *record {
	r := &record{id: id}
	r.position = s.order.PushBack(r)
	s.byID[id] = r
	return r
}

func (s *holderSet) setShare(r *record, share Share) {
	s.out.Rate += share.Rate - r.share.Rate
	s.out.Burst += share.Burst - r.share.Burst
	r.share = share
	s.changed()
}

func (s *holderSet) setDemand(r *record, demand float64) {
	s.demand += demand - r.demand
	r.demand = demand
	s.changed()
}

// renew sets when a record expires, which is after all others.
func (s *holderSet) renew(r *record, expires time.Time) {
	r.expires = expires
	s.order.MoveToBack(r.position)
}

func (s *holderSet) remove(r *record) {
	s.setShare(r, Share{})
	s.setDemand(r, 0)
	s.order.Remove(r.position)
	delete(s.byID, r.id)
}

// expire removes the records whose time has come.
func (s *holderSet) expire(now time.Time) {
	for front := s.order.Front(); front != nil; front = s.order.Front() {
		r := front.Value.(*record)
		if now.Before(r.expires) {
			return
		}
		s.remove(r)
	}
}

func (s *holderSet) changed() {
	if s.changes++; s.changes < exactAfter {
		return
	}
	s.changes, s.out, s.demand = 0, Share{}, 0
	for _, r := range s.byID {
		s.out.Rate += r.share.Rate
		s.out.Burst += r.share.Burst
		s.demand += r.demand
	}
}
