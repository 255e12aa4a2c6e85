package quota

import (
	"container/list"
	"time"
)

// recomputeAfter is the number of changes after which the sums are computed from
// the records again, so that rounding errors do not accumulate.
const recomputeAfter = 1024

// holderRecord is the share that the owner counts as outstanding at one holder.
type holderRecord struct {
	id HolderID
	// number is the number of the holder's last Ask.
	number     uint64
	share      Share
	demand     float64
	expires    time.Time
	recalledAt time.Time
	// arbiter is the arbiter of the last share granted. softUntil is when that share
	// expires unless it is extended. A record is closable if all shares that the
	// holder may still have are subject to this arbiter.
	arbiter      HolderID
	softUntil    time.Time
	closable     bool
	closeAskedAt time.Time
	element      *list.Element
}

// holderSet stores an owner's records and their sums, so that the cost of an
// answer does not grow with the number of holders.
type holderSet struct {
	byID map[HolderID]*holderRecord
	// byExpiry lists the records, the first to expire at the front.
	byExpiry    *list.List
	outstanding Share
	demand      float64
	changes     int
}

func newHolderSet() *holderSet {
	return &holderSet{byID: map[HolderID]*holderRecord{}, byExpiry: list.New()}
}

func (s *holderSet) len() int { return len(s.byID) }

// add adds a record with an empty share.
func (s *holderSet) add(id HolderID) *holderRecord {
	r := &holderRecord{id: id}
	r.element = s.byExpiry.PushBack(r)
	s.byID[id] = r
	return r
}

func (s *holderSet) setShare(r *holderRecord, share Share) {
	s.outstanding.Rate += share.Rate - r.share.Rate
	s.outstanding.Burst += share.Burst - r.share.Burst
	r.share = share
	s.countChange()
}

func (s *holderSet) setDemand(r *holderRecord, demand float64) {
	s.demand += demand - r.demand
	r.demand = demand
	s.countChange()
}

// renew sets the expiry of a record and moves it to the back, as it expires after
// all others.
func (s *holderSet) renew(r *holderRecord, expires time.Time) {
	r.expires = expires
	s.byExpiry.MoveToBack(r.element)
}

func (s *holderSet) remove(r *holderRecord) {
	s.setShare(r, Share{})
	s.setDemand(r, 0)
	s.byExpiry.Remove(r.element)
	delete(s.byID, r.id)
}

// expire removes the expired records.
func (s *holderSet) expire(now time.Time) {
	for front := s.byExpiry.Front(); front != nil; front = s.byExpiry.Front() {
		r := front.Value.(*holderRecord)
		if now.Before(r.expires) {
			return
		}
		s.remove(r)
	}
}

func (s *holderSet) countChange() {
	if s.changes++; s.changes < recomputeAfter {
		return
	}
	s.changes, s.outstanding, s.demand = 0, Share{}, 0
	for _, r := range s.byID {
		s.outstanding.Rate += r.share.Rate
		s.outstanding.Burst += r.share.Burst
		s.demand += r.demand
	}
}
