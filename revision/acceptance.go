package revision

import (
	"slices"
	"time"
)

// maxPending bounds the revisions that wait for acceptance at a time; when
// more wait, some in between are accepted together with a later one.
const maxPending = 64

// Acceptance decides when a revision is in force everywhere.
//
// A revision is accepted when the store took it, a majority of the witnesses
// holds it, and either every member holds it or all proofs of an older one
// have run out: the bound has passed since the majority held it.
type Acceptance struct {
	bound    time.Duration
	accepted int64
	// lapsed is the highest revision for which the proofs of all earlier ones
	// are known to have run out.
	lapsed  int64
	pending []pending
	// lapsing was accepted before those proofs have run out.
	lapsing pending
}

type pending struct {
	revision int64
	// acknowledged is when a majority was first seen to hold the revision.
	acknowledged time.Time
	// cutOff is how long an organisation may be served without freshness
	// under this revision or the one before it.
	cutOff time.Duration
}

// lapsed reports whether all proofs of an earlier revision have run out.
func (p *pending) lapsed(bound time.Duration, now time.Time) bool {
	return !p.acknowledged.IsZero() && now.Sub(p.acknowledged) > max(bound, p.cutOff)
}

// NewAcceptance returns an Acceptance for proofs that count up to the bound.
func NewAcceptance(bound time.Duration) *Acceptance { return &Acceptance{bound: bound} }

// Accepted returns the highest accepted revision; 0 before the first.
func (a *Acceptance) Accepted() int64 { return a.accepted }

// Lapsed returns the highest revision for which all proofs of an earlier one
// are known to have run out; 0 before the first.
func (a *Acceptance) Lapsed() int64 { return a.lapsed }

// LearnLapsed takes in what another node's Lapsed returned.
func (a *Acceptance) LearnLapsed(revision int64) { a.lapsed = max(a.lapsed, revision) }

// Waiting reports whether a revision waits for acceptance.
func (a *Acceptance) Waiting() bool { return len(a.pending) > 0 }

// Learn takes in that another node saw a revision accepted.
func (a *Acceptance) Learn(revision int64) {
	if revision <= a.accepted {
		return
	}
	a.accepted = revision
	a.pending = slices.DeleteFunc(a.pending, func(p pending) bool { return p.revision <= revision })
}

// Track starts waiting for a revision that the store took. The cutOff is the
// longest time that an organisation may be served without freshness.
func (a *Acceptance) Track(revision int64, cutOff time.Duration) {
	if revision <= a.accepted {
		return
	}
	if n := len(a.pending); n > 0 {
		if revision <= a.pending[n-1].revision {
			return
		}
		cutOff = max(cutOff, a.pending[n-1].cutOff)
	}
	if len(a.pending) == maxPending {
		a.pending = slices.Delete(a.pending, maxPending/2, maxPending/2+1)
	}
	a.pending = append(a.pending, pending{revision: revision, cutOff: cutOff})
}

// Evidence is what a relay knows of the others.
type Evidence struct {
	// Acknowledged reports whether a majority of the witnesses holds the
	// revision or a later one.
	Acknowledged func(revision int64) bool
	// Everyone reports whether every member is heard and holds the revision
	// or a later one.
	Everyone func(revision int64) bool
}

// Decide accepts what the evidence allows and returns the highest accepted
// revision.
func (a *Acceptance) Decide(e Evidence, now time.Time) int64 {
	accepted := a.accepted
	if a.lapsing.lapsed(a.bound, now) {
		a.LearnLapsed(a.lapsing.revision)
	}
	for i := range a.pending {
		p := &a.pending[i]
		if p.acknowledged.IsZero() && e.Acknowledged(p.revision) {
			p.acknowledged = now
		}
		if p.acknowledged.IsZero() {
			continue
		}
		lapsed := p.lapsed(a.bound, now)
		if lapsed {
			a.LearnLapsed(p.revision)
		}
		if lapsed || e.Everyone(p.revision) {
			accepted = p.revision
			a.lapsing = *p
		}
	}
	a.Learn(accepted)
	return a.accepted
}
