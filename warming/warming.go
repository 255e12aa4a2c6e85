// Package warming decides how many requests a cold VM gets. A VM is cold for some
// seconds after its start, and may become cold again at any moment; it then bears few
// requests a second and crashes above.
//
// The load it answers: the requests of a whole service that come to a VM which has
// just returned, and those of the second in which a warm VM becomes cold before it
// has said so. A Limiter belongs to the node beside the VM, which hands over every
// request, so the bound holds over all nodes. It uses no goroutine, socket, clock or
// random source. Its times are of the monotonic clock: one that stands still while
// the node is suspended only keeps handovers in the window for longer.
package warming

import (
	"math"
	"time"
)

const (
	// arrivalSpread is how much later than its handover a request may arrive at the
	// VM, which is on the same machine. Evidence counts as older by it.
	arrivalSpread = 20 * time.Millisecond
	// windowMargin makes the window longer than the second of the bound. It is longer
	// than arrivalSpread, as it holds back few requests.
	windowMargin = 100 * time.Millisecond
	// second is the window of the bound.
	second = time.Second
	// maxWindow is the window of VMs that bear less than one request in that time.
	maxWindow = time.Hour
	// maxAllowance bounds the allowance.
	maxAllowance = 1 << 30
	// evidenceShare is the share of the allowance that must be used before evidence
	// is wanted; the rest is for requests that come while it is fetched.
	evidenceShare = 0.8
	// questions is the part of the allowance that is left to questions about health,
	// which are requests too, where the allowance is at least minQuestioned.
	questions     = 1
	minQuestioned = 4
	// evidenceRetry is the time after a failed attempt to get evidence.
	evidenceRetry = 100 * time.Millisecond
)

// Bound is what a cold VM bears.
type Bound struct {
	// Rate is in requests a second; 0 means that there is no bound.
	Rate float64
	// Overage multiplies the rate, and Slack is the number of requests in one second
	// above that. Zero values keep the bound at the rate.
	Overage, Slack float64
	// ColdStart is how long a VM is cold after its start.
	ColdStart time.Duration
	// AsksHealth is true if the VM can be asked whether it is cold. Otherwise its
	// announcements alone decide, and a coldness is known late.
	AsksHealth bool
}

// rate returns the requests a second without the slack.
func (b Bound) rate() float64 { return b.Rate * max(1, b.Overage) }

// Allowance returns the maximum number of requests in any one second, at least 1.
func (b Bound) Allowance() int {
	return max(1, int(math.Floor(min(maxAllowance, b.rate()+max(0, b.Slack)))))
}

// window returns the time in which Allowance requests may be handed over.
func (b Bound) window() time.Duration {
	length := second
	if perSecond := b.rate() + max(0, b.Slack); perSecond < 1 {
		length = time.Duration(min(float64(maxWindow), float64(second)/perSecond))
	}
	return length + windowMargin
}

// Handover is a request that was admitted. Its zero value is not valid.
type Handover struct {
	// begun is true once a part of it may have been sent; written is when the last
	// byte was sent, zero before.
	begun   bool
	written time.Time
}

// health is what the VM's health answers are good for.
type health int

const (
	// untried: none was received yet.
	untried health = iota
	// telling: they tell coldness, so that the bound is exact.
	telling
	// silent: they do not tell, so that announcements decide alone.
	silent
)

// Limiter admits requests to one VM. It is not safe for concurrent use.
type Limiter struct {
	bound Bound
	// blankUntil is the end of the time in which requests that an earlier process
	// handed over may lie in the window.
	blankUntil time.Time
	handovers  []*Handover
	// coldUntil is the end of the coldness that the VM told, or that is assumed.
	coldUntil time.Time
	// told is true if the VM's last announcement told its coldness, and announcedAt is
	// when it came.
	told        bool
	announcedAt time.Time
	// tokens pace the requests of a cold VM; refilled is when they were computed.
	tokens   float64
	refilled time.Time

	health health
	// fetching is true while evidence is being fetched; retryAt is the earliest time
	// of the next attempt.
	fetching bool
	retryAt  time.Time
}

// New returns the limiter of a node that has just started, or has just learned the
// bound: it does not know what was handed over before, so it admits and asks nothing
// for a window.
func New(bound Bound, now time.Time) *Limiter {
	return &Limiter{
		bound: bound, blankUntil: now.Add(bound.window()), coldUntil: now.Add(bound.ColdStart),
		tokens: max(1, bound.Slack), refilled: now,
	}
}

// SetBound replaces the bound.
func (l *Limiter) SetBound(bound Bound) { l.bound = bound }

// Restarted records that the VM has a new incarnation: it is cold for its cold start
// unless it tells otherwise, and its health answers are untried.
func (l *Limiter) Restarted(now time.Time) {
	l.coldUntil, l.told = now.Add(l.bound.ColdStart), true
	l.health, l.retryAt = untried, time.Time{}
}

// Announced records an announcement of the VM. cold is how much longer it stays cold;
// ok is false if it does not tell. A VM that ceases to tell counts as cold for its
// cold start. An announcement may be seconds old, so it ends no coldness of which
// health answers tell.
func (l *Limiter) Announced(cold time.Duration, ok bool, now time.Time) {
	switch {
	case !ok && l.told && l.health != telling:
		l.extend(now.Add(l.bound.ColdStart))
	case ok && l.health != telling:
		l.coldUntil = now.Add(cold)
	case ok:
		l.extend(now.Add(cold))
	}
	l.told, l.announcedAt = ok, now
}

func (l *Limiter) extend(until time.Time) {
	if until.After(l.coldUntil) {
		l.coldUntil = until
	}
}

// ColdFor returns how much longer the VM counts as cold; 0 if it does not.
func (l *Limiter) ColdFor(now time.Time) time.Duration { return max(0, l.coldUntil.Sub(now)) }

// Rate returns the requests a second that are admitted while the VM is cold, and 0
// if it counts as warm.
func (l *Limiter) Rate(now time.Time) float64 {
	if l.bound.Rate <= 0 || l.ColdFor(now) == 0 {
		return 0
	}
	return l.pace()
}

// pace returns the refill rate of the tokens: with a full bucket at its start, no
// window holds more than the allowance.
func (l *Limiter) pace() float64 {
	return l.bound.rate() * second.Seconds() / l.bound.window().Seconds()
}

// Admit decides whether a request may be handed over now. The caller must call
// End for the returned handover, which is nil if it may not.
//
// At most the allowance is admitted after the last evidence that the VM was warm, in
// any window. A VM that became cold since then, without saying so, has got no more.
func (l *Limiter) Admit(now time.Time) *Handover {
	if l.bound.Rate <= 0 {
		return &Handover{}
	}
	l.prune(now)
	l.refill(now)
	cold := l.ColdFor(now) > 0
	if cold || l.exact() {
		if l.blank(now) || len(l.handovers) >= l.requests() || (cold && l.tokens < 1) {
			return nil
		}
	}
	if cold {
		l.tokens--
	}
	h := &Handover{}
	l.handovers = append(l.handovers, h)
	return h
}

// exact reports whether evidence decides.
func (l *Limiter) exact() bool { return l.bound.AsksHealth && l.health != silent }

// requests returns the part of the allowance that is not left to questions.
func (l *Limiter) requests() int {
	allowance := l.bound.Allowance()
	if l.exact() && allowance >= minQuestioned {
		allowance -= questions
	}
	return allowance
}

func (l *Limiter) refill(now time.Time) {
	l.tokens = min(max(1, l.bound.Slack), l.tokens+l.pace()*max(0, now.Sub(l.refilled).Seconds()))
	l.refilled = now
}

func (l *Limiter) blank(now time.Time) bool { return now.Before(l.blankUntil) }

// prune forgets the handovers that have left the window.
func (l *Limiter) prune(now time.Time) { l.forget(now.Add(-l.bound.window())) }

// forget forgets the handovers that were written before the time.
func (l *Limiter) forget(before time.Time) {
	kept := l.handovers[:0]
	for _, h := range l.handovers {
		if h.written.IsZero() || !h.written.Before(before) {
			kept = append(kept, h)
		}
	}
	clear(l.handovers[len(kept):])
	l.handovers = kept
}

// Begin records that a part of a request may be sent from now on.
func (l *Limiter) Begin(h *Handover) { h.begun = true }

// Written records that the last byte of a request was sent.
func (l *Limiter) Written(h *Handover, now time.Time) { h.begun, h.written = true, now }

// End records that a request has ended. One of which no part was sent is no longer
// counted; one whose last byte may have been sent counts as written now.
func (l *Limiter) End(h *Handover, now time.Time) {
	if h.begun {
		if h.written.IsZero() {
			h.written = now
		}
		return
	}
	for i, other := range l.handovers {
		if other == h {
			l.handovers = append(l.handovers[:i], l.handovers[i+1:]...)
			return
		}
	}
}

// FetchEvidence reports whether the VM's health should be asked now, because the
// bound is about to hold requests back that a warm VM can take. If so, the caller
// must call Evidence, or EvidenceFailed, with the result.
func (l *Limiter) FetchEvidence(now time.Time) bool {
	if l.bound.Rate <= 0 || l.fetching || !l.exact() || l.blank(now) || now.Before(l.retryAt) || (l.told && l.ColdFor(now) > 0) {
		return false
	}
	l.prune(now)
	used, allowance := len(l.handovers), l.bound.Allowance()
	if float64(used) < evidenceShare*float64(allowance) || (used >= allowance && allowance >= minQuestioned) {
		return false
	}
	l.fetching = true
	l.handovers = append(l.handovers, &Handover{written: now})
	return true
}

// Evidence records a health answer of the VM. asked is the time before the question
// was sent. cold is how much longer the VM stays cold; ok is false if the answer does
// not tell. An answer to a question from before the last announcement does not end the
// coldness which that tells.
func (l *Limiter) Evidence(asked time.Time, cold time.Duration, ok bool, now time.Time) {
	l.fetching = false
	switch {
	case !ok && l.health != telling:
		l.health = silent
	case !ok:
		l.retryAt = now.Add(evidenceRetry)
	case cold > 0:
		l.health = telling
		l.coldUntil, l.retryAt = now.Add(cold), now.Add(cold)
	default:
		l.health = telling
		if !asked.Before(l.announcedAt) {
			l.coldUntil = now
		}
		l.forget(asked.Add(-arrivalSpread))
	}
}

// EvidenceFailed records that there was no health answer of the VM.
func (l *Limiter) EvidenceFailed(now time.Time) {
	l.fetching, l.retryAt = false, now.Add(evidenceRetry)
}
