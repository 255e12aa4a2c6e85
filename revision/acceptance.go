package revision

import (
	"slices"
	"time"
)

// maxPending is the maximum number of revisions that are tracked for acceptance
// at a time. If there are more, intermediate ones are dropped and accepted
// together with a later one.
const maxPending = 64

// Acceptance decides when a revision is in force everywhere.
//
// A revision is accepted once the store has committed it, a majority of the
// witnesses holds it, and either every member holds it or all proofs of earlier
// revisions have expired, because the bound has passed since the majority was
// observed.
type Acceptance struct {
	bound    time.Duration
	accepted int64
	// expiredBefore is the highest revision for which all proofs of earlier
	// revisions are known to have expired.
	expiredBefore int64
	pending       []pending
	// awaitingExpiry is the last accepted revision; proofs of earlier revisions
	// may not have expired yet.
	awaitingExpiry pending
}

type pending struct {
	revision int64
	// acknowledged is when a majority was first observed to hold the revision.
	acknowledged time.Time
	// maxProofAge is the longest time for which an organisation may be served
	// on a stale proof under this revision or the previous one.
	maxProofAge time.Duration
}

// earlierProofsExpired reports whether all proofs of earlier revisions have
// expired.
func (p *pending) earlierProofsExpired(bound time.Duration, now time.Time) bool {
	return !p.acknowledged.IsZero() && now.Sub(p.acknowledged) > max(bound, p.maxProofAge)
}

// NewAcceptance returns an Acceptance for proofs that are valid up to the age
// bound.
func NewAcceptance(bound time.Duration) *Acceptance { return &Acceptance{bound: bound} }

// Accepted returns the highest accepted revision; 0 before the first.
func (a *Acceptance) Accepted() int64 { return a.accepted }

// ExpiredBefore returns the highest revision for which all proofs of earlier
// revisions are known to have expired; 0 before the first.
func (a *Acceptance) ExpiredBefore() int64 { return a.expiredBefore }

// MergeExpiredBefore merges the result of ExpiredBefore on another node.
func (a *Acceptance) MergeExpiredBefore(revision int64) {
	a.expiredBefore = max(a.expiredBefore, revision)
}

// HasPending reports whether any revision is pending.
func (a *Acceptance) HasPending() bool { return len(a.pending) > 0 }

// MergeAccepted records that a revision has been accepted, here or on another
// node.
func (a *Acceptance) MergeAccepted(revision int64) {
	if revision <= a.accepted {
		return
	}
	a.accepted = revision
	a.pending = slices.DeleteFunc(a.pending, func(p pending) bool { return p.revision <= revision })
}

// Track adds a revision that the store has committed to the pending ones.
// maxProofAge is the longest time for which an organisation may be served on a
// stale proof.
func (a *Acceptance) Track(revision int64, maxProofAge time.Duration) {
	if revision <= a.accepted {
		return
	}
	if n := len(a.pending); n > 0 {
		if revision <= a.pending[n-1].revision {
			return
		}
		maxProofAge = max(maxProofAge, a.pending[n-1].maxProofAge)
	}
	if len(a.pending) == maxPending {
		a.pending = slices.Delete(a.pending, maxPending/2, maxPending/2+1)
	}
	a.pending = append(a.pending, pending{revision: revision, maxProofAge: maxProofAge})
}

// Evidence is a relay's knowledge about the revisions that other nodes hold.
type Evidence struct {
	// Acknowledged reports whether a majority of the witnesses holds the
	// revision or a later one.
	Acknowledged func(revision int64) bool
	// Everyone reports whether every member is in contact and holds the
	// revision or a later one.
	Everyone func(revision int64) bool
}

// Decide accepts the pending revisions that satisfy the conditions and returns
// the highest accepted revision.
func (a *Acceptance) Decide(e Evidence, now time.Time) int64 {
	accepted := a.accepted
	if a.awaitingExpiry.earlierProofsExpired(a.bound, now) {
		a.MergeExpiredBefore(a.awaitingExpiry.revision)
	}
	for i := range a.pending {
		p := &a.pending[i]
		if p.acknowledged.IsZero() && e.Acknowledged(p.revision) {
			p.acknowledged = now
		}
		if p.acknowledged.IsZero() {
			continue
		}
		earlierProofsExpired := p.earlierProofsExpired(a.bound, now)
		if earlierProofsExpired {
			a.MergeExpiredBefore(p.revision)
		}
		if earlierProofsExpired || e.Everyone(p.revision) {
			accepted = p.revision
			a.awaitingExpiry = *p
		}
	}
	a.MergeAccepted(accepted)
	return a.accepted
}
