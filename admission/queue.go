package admission

import (
	"slices"
	"time"
)

// class is the organisations that share an importance. Its virtual time is
// that of start-time fair queueing: each request that starts moves its
// organisation's tag on by 1/weight, and the least tag goes first.
type class struct {
	now  float64
	tags map[string]float64
}

// tag returns the virtual time at which the organisation's next request is due.
func (c *class) tag(organisation string) float64 { return max(c.now, c.tags[organisation]) }

// queue holds the requests that wait. It is short, so that it is searched
// from end to end.
type queue struct {
	waiting []*Request
	classes map[uint8]*class
}

func newQueue() queue { return queue{classes: map[uint8]*class{}} }

func (q *queue) len() int { return len(q.waiting) }

func (q *queue) push(r *Request) { q.waiting = append(q.waiting, r) }

func (q *queue) class(importance uint8) *class {
	c := q.classes[importance]
	if c == nil {
		c = &class{tags: map[string]float64{}}
		q.classes[importance] = c
	}
	return c
}

// pop removes the request that is to run next.
func (q *queue) pop(overloaded bool) *Request {
	best := 0
	for i := range q.waiting {
		if i > 0 && q.before(q.waiting[i], q.waiting[best], overloaded) {
			best = i
		}
	}
	return q.take(best)
}

// before reports whether a runs before b: by importance, then by fair share
// between organisations, and then, under overload, by rank and the newest
// first, otherwise the oldest first.
func (q *queue) before(a, b *Request, overloaded bool) bool {
	if a.Importance != b.Importance {
		return a.Importance > b.Importance
	}
	c := q.class(a.Importance)
	if ta, tb := c.tag(a.Organisation), c.tag(b.Organisation); ta != tb {
		return ta < tb
	}
	if !overloaded {
		return a.sequence < b.sequence
	}
	return outranks(a, b)
}

// rankBand is the number of ranks that count as equal, so that the newest of
// them goes first.
const rankBand = 1 << 12

func outranks(a, b *Request) bool {
	if ra, rb := a.Rank/rankBand, b.Rank/rankBand; ra != rb {
		return ra > rb
	}
	return a.sequence > b.sequence
}

// started moves the virtual time on for a request that runs.
func (q *queue) started(r *Request) {
	c := q.class(r.Importance)
	c.now = c.tag(r.Organisation)
	c.tags[r.Organisation] = c.now + 1/r.Weight
}

// forget drops the tags of organisations that have used up no more than their
// share.
func (q *queue) forget() {
	for importance, c := range q.classes {
		for organisation, tag := range c.tags {
			if tag <= c.now {
				delete(c.tags, organisation)
			}
		}
		if len(c.tags) == 0 {
			delete(q.classes, importance)
		}
	}
}

// evict removes the request that is shed first: of the least importance, of
// the organisation with the most waiting for its weight, the one that would
// run last.
func (q *queue) evict() *Request {
	least := q.waiting[0].Importance
	for _, r := range q.waiting {
		least = min(least, r.Importance)
	}
	waiting := map[string]float64{}
	for _, r := range q.waiting {
		if r.Importance == least {
			waiting[r.Organisation] += 1 / r.Weight
		}
	}
	worst := -1
	for i, r := range q.waiting {
		if r.Importance != least {
			continue
		}
		if worst < 0 || shedsBefore(r, q.waiting[worst], waiting) {
			worst = i
		}
	}
	return q.take(worst)
}

func shedsBefore(a, b *Request, waiting map[string]float64) bool {
	if wa, wb := waiting[a.Organisation], waiting[b.Organisation]; wa != wb {
		return wa > wb
	}
	return outranks(b, a)
}

// expired removes the requests that arrived before oldest or whose deadline
// has passed.
func (q *queue) expired(now, oldest time.Time) []*Request {
	var dropped []*Request
	q.waiting = slices.DeleteFunc(q.waiting, func(r *Request) bool {
		late := r.arrived.Before(oldest) || now.After(r.Deadline)
		if late {
			dropped = append(dropped, r)
		}
		return late
	})
	return dropped
}

func (q *queue) remove(r *Request) bool {
	i := slices.Index(q.waiting, r)
	if i < 0 {
		return false
	}
	q.take(i)
	return true
}

func (q *queue) take(i int) *Request {
	r := q.waiting[i]
	q.waiting = slices.Delete(q.waiting, i, i+1)
	return r
}
