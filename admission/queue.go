package admission

import (
	"slices"
	"time"
)

// importanceClass is the fair queueing state of one importance. It implements
// start-time fair queueing: each started request advances the tag of its
// organisation by 1/weight, and the organisation with the lowest tag runs next.
type importanceClass struct {
	virtualTime float64
	tags        map[string]float64
}

// tag returns the start tag of the organisation's next request.
func (c *importanceClass) tag(organisation string) float64 {
	return max(c.virtualTime, c.tags[organisation])
}

// queue is the wait queue of a Controller. It is short, so all operations scan
// it linearly.
type queue struct {
	waiting []*Request
	classes map[uint8]*importanceClass
}

func newQueue() queue { return queue{classes: map[uint8]*importanceClass{}} }

func (q *queue) len() int { return len(q.waiting) }

func (q *queue) push(r *Request) { q.waiting = append(q.waiting, r) }

func (q *queue) importanceClass(importance uint8) *importanceClass {
	c := q.classes[importance]
	if c == nil {
		c = &importanceClass{tags: map[string]float64{}}
		q.classes[importance] = c
	}
	return c
}

// pop removes the request that is to run next.
func (q *queue) pop(overloaded bool) *Request {
	best := 0
	for i := range q.waiting {
		if i > 0 && q.runsBefore(q.waiting[i], q.waiting[best], overloaded) {
			best = i
		}
	}
	return q.removeAt(best)
}

// runsBefore reports whether a runs before b. Requests are ordered by
// importance, then by the fair share of their organisations. Ties are broken
// by rank and newest first under overload, and by oldest first otherwise.
func (q *queue) runsBefore(a, b *Request, overloaded bool) bool {
	if a.Importance != b.Importance {
		return a.Importance > b.Importance
	}
	c := q.importanceClass(a.Importance)
	if ta, tb := c.tag(a.Organisation), c.tag(b.Organisation); ta != tb {
		return ta < tb
	}
	if !overloaded {
		return a.sequence < b.sequence
	}
	return outranks(a, b)
}

// rankBand is the number of consecutive ranks that compare as equal, so that
// the newest request among them runs first.
const rankBand = 1 << 12

func outranks(a, b *Request) bool {
	if ra, rb := a.Rank/rankBand, b.Rank/rankBand; ra != rb {
		return ra > rb
	}
	return a.sequence > b.sequence
}

// started advances the virtual time and the organisation's tag for a request
// that starts.
func (q *queue) started(r *Request) {
	c := q.importanceClass(r.Importance)
	c.virtualTime = c.tag(r.Organisation)
	c.tags[r.Organisation] = c.virtualTime + 1/r.Weight
}

// pruneTags deletes the tags of organisations that have not used more than
// their share.
func (q *queue) pruneTags() {
	for importance, c := range q.classes {
		for organisation, tag := range c.tags {
			if tag <= c.virtualTime {
				delete(c.tags, organisation)
			}
		}
		if len(c.tags) == 0 {
			delete(q.classes, importance)
		}
	}
}

// evict removes the request to shed: the one that would run last, among those
// of the lowest importance and of the organisation that has the most waiting
// requests relative to its weight.
func (q *queue) evict() *Request {
	lowest := q.waiting[0].Importance
	for _, r := range q.waiting {
		lowest = min(lowest, r.Importance)
	}
	waiting := map[string]float64{}
	for _, r := range q.waiting {
		if r.Importance == lowest {
			waiting[r.Organisation] += 1 / r.Weight
		}
	}
	worst := -1
	for i, r := range q.waiting {
		if r.Importance != lowest {
			continue
		}
		if worst < 0 || shedsBefore(r, q.waiting[worst], waiting) {
			worst = i
		}
	}
	return q.removeAt(worst)
}

func shedsBefore(a, b *Request, waiting map[string]float64) bool {
	if wa, wb := waiting[a.Organisation], waiting[b.Organisation]; wa != wb {
		return wa > wb
	}
	return outranks(b, a)
}

// expired removes and returns the requests that arrived before oldest or whose
// deadline has passed.
func (q *queue) expired(now, oldest time.Time) []*Request {
	var dropped []*Request
	q.waiting = slices.DeleteFunc(q.waiting, func(r *Request) bool {
		stale := r.arrived.Before(oldest) || now.After(r.Deadline)
		if stale {
			dropped = append(dropped, r)
		}
		return stale
	})
	return dropped
}

func (q *queue) remove(r *Request) bool {
	i := slices.Index(q.waiting, r)
	if i < 0 {
		return false
	}
	q.removeAt(i)
	return true
}

func (q *queue) removeAt(i int) *Request {
	r := q.waiting[i]
	q.waiting = slices.Delete(q.waiting, i, i+1)
	return r
}
