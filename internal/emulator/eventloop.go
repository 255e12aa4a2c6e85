package emulator

import (
	"container/heap"
	"time"
)

// event is a function to be called at a point in virtual time.
type event struct {
	at       time.Time
	sequence int
	do       func()
}

// eventHeap is a heap of events by time. Events of the same time are ordered by
// when they were scheduled.
type eventHeap []event

func (e eventHeap) Len() int      { return len(e) }
func (e eventHeap) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e eventHeap) Less(i, j int) bool {
	if e[i].at.Equal(e[j].at) {
		return e[i].sequence < e[j].sequence
	}
	return e[i].at.Before(e[j].at)
}
func (e *eventHeap) Push(x any) { *e = append(*e, x.(event)) }
func (e *eventHeap) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// eventLoop is a virtual clock with its pending events.
type eventLoop struct {
	now      time.Time
	pending  eventHeap
	sequence int
}

// schedule calls do after the delay in virtual time.
func (l *eventLoop) schedule(delay time.Duration, do func()) {
	l.sequence++
	heap.Push(&l.pending, event{at: l.now.Add(delay), sequence: l.sequence, do: do})
}

// run advances the time from event to event until none is pending.
func (l *eventLoop) run() {
	for l.pending.Len() > 0 {
		next := heap.Pop(&l.pending).(event)
		l.now = next.at
		next.do()
	}
}
