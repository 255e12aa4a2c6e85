package guard

import (
	"context"
	"fmt"
	"time"

	"github.com/apex/log"
	"github.com/pkg/errors"

	"github.com/mangomast/mangomast/kernel"
	"github.com/mangomast/mangomast/membership"
	"github.com/mangomast/mangomast/settings"
)

const (
	// maxMissedAnnouncements is the number of missed announcements after which the
	// upstream is marked absent. Announcements may arrive seconds late.
	maxMissedAnnouncements = 4
	// unconfirmedFor is how long an upstream must go on announcing itself until a node
	// that does not know the departures takes it for ready. Announcements from before a
	// notice of leaving arrive within that time.
	unconfirmedFor = 4 * time.Second
)

var (
	// ErrUnconfirmed is returned for an announcement to a node that does not know yet
	// which upstreams gave notice of leaving before it started. The upstream should go
	// on announcing itself.
	ErrUnconfirmed = errors.New("not known yet whether the upstream has given notice of leaving")
	// ErrOldAnnouncement is returned for an announcement that is not newer than the
	// last accepted one.
	ErrOldAnnouncement = errors.New("announcement is not newer than the last accepted one")
	// ErrDepartureNotKept is returned for a notice of leaving that would be
	// forgotten if all nodes ended now. The upstream should send it again.
	ErrDepartureNotKept = errors.New("departure of the upstream is not in the store")
)

// Announcement is the heartbeat of an upstream.
type Announcement struct {
	// Instance and Born, the start time of the upstream in Unix milliseconds,
	// together identify an incarnation.
	Instance string
	Born     int64
	// Sequence increases with each announcement of an incarnation.
	Sequence int64
	Service  string
	Slots    int
	// Leaving is true if the upstream accepts no new requests.
	Leaving bool
	// ColdFor is how much longer the upstream stays cold, or ColdUnknown.
	ColdFor time.Duration
}

// Validate returns the first reason why the announcement cannot be from an upstream, or
// nil. Announcements from outside the process must be validated: any process on the VM
// can send one.
func (a *Announcement) Validate() error {
	switch {
	case a.Instance == "":
		return errors.New("instance ID is empty")
	case !settings.ValidName(a.Service):
		return errors.Errorf("service %.80q is not a valid name", a.Service)
	case a.Slots < 1 || a.Slots > settings.MaxSlots:
		return errors.Errorf("%d slots are not 1 to %d", a.Slots, settings.MaxSlots)
	}
	return nil
}

// ColdUnknown is the Announcement.ColdFor of an upstream that does not tell.
const ColdUnknown time.Duration = -1

// incarnation identifies one start of an upstream.
type incarnation struct {
	instance string
	born     int64
}

func (a *Announcement) incarnation() incarnation { return incarnation{a.Instance, a.Born} }

// key identifies the incarnation as text.
func (a *Announcement) key() string { return fmt.Sprintf("%s %d", a.Instance, a.Born) }

func (a *Announcement) departure() membership.Departure {
	return membership.Departure{Instance: a.Instance, Born: a.Born}
}

// outdatedBy reports whether a must not replace b: it is from an upstream that
// started earlier, or is not a later announcement of the same incarnation.
func (a *Announcement) outdatedBy(b *Announcement) bool {
	if a.Born != b.Born {
		return a.Born < b.Born
	}
	return a.Instance == b.Instance && a.Sequence <= b.Sequence
}

// HandleAnnouncement handles an announcement of the local upstream. It returns
// ErrOldAnnouncement if the announcement is not newer than the last accepted
// one, ErrUnconfirmed if it may be from before a notice of leaving that an earlier
// incarnation of this node got, and ErrDepartureNotKept like HandleLeaveNotice if it
// says that the upstream leaves. While the node starts it blocks, for about a second at
// most.
func (m *Module) HandleAnnouncement(ctx context.Context, a Announcement) error {
	// A node that has just started does not know yet whether its predecessor got
	// a notice of leaving from this upstream, nor which requests are quarantined.
	<-m.roster.Synced()
	m.quarantine.Join(a.Service)
	if !a.Leaving && !m.confirmed(&a) {
		return ErrUnconfirmed
	}
	err := m.applyAnnouncement(a)
	if !a.Leaving {
		return err
	}
	if keepErr := m.keepDeparture(ctx, a.departure()); keepErr != nil {
		return keepErr
	}
	return err
}

// confirmed reports whether the upstream may be taken for ready: the departures before
// this node's start are known, or the incarnation has gone on announcing itself for
// longer than an announcement is delayed.
func (m *Module) confirmed(a *Announcement) bool {
	if m.roster.KnowsDepartures() {
		return true
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.clock.Now()
	if m.unconfirmed.upstream != a.incarnation() {
		m.unconfirmed.upstream, m.unconfirmed.since = a.incarnation(), now
	}
	return now.Sub(m.unconfirmed.since) >= unconfirmedFor
}

func (m *Module) applyAnnouncement(a Announcement) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if a.Leaving {
		m.departures.add(a.departure())
	}
	if m.upstream.Instance != "" && a.outdatedBy(&m.upstream) {
		return ErrOldAnnouncement
	}
	previous := m.upstream
	m.lastAnnouncement = m.clock.Now()
	sameIncarnation := previous.Instance == a.Instance && previous.Born == a.Born
	if !sameIncarnation || previous.Slots != a.Slots {
		m.gate = newGate(m, a.Slots)
		m.pool.CloseIdle()
	}
	m.cold.announced(a, !sameIncarnation)
	m.cold.configure(m.config.Snapshot())
	state := membership.Ready
	if a.Leaving || m.departures.has(&a) || (sameIncarnation && m.state == membership.Leaving) {
		state = membership.Leaving
	}
	m.upstream = a
	m.setState(state, "announcement")
	m.cold.tellOthers(m.gate)
	return nil
}

// HandleLeaveNotice handles the notice that an upstream incarnation leaves and
// will not return. born is its start time in Unix milliseconds, or 0 if unknown.
// The incarnation gets no new requests from now on. It blocks, for less than a
// second, until the departure outlives all nodes, and returns ErrDepartureNotKept if
// that fails.
func (m *Module) HandleLeaveNotice(ctx context.Context, instance string, born int64) error {
	departed := membership.Departure{Instance: instance, Born: born}
	m.recordDeparture(departed, "notice of leaving")
	return m.keepDeparture(ctx, departed)
}

// keepDeparture makes sure that the departure outlives this process and the other
// nodes, which may be restarted while the upstream still serves and its earlier
// announcements are on their way.
func (m *Module) keepDeparture(ctx context.Context, departed membership.Departure) error {
	m.mu.Lock()
	kept := m.departures.isKept(departed)
	m.mu.Unlock()
	if kept {
		return nil
	}
	if err := m.roster.KeepDeparture(ctx, departed); err != nil {
		m.log.WithError(err).WithFields(log.Fields{"instance": departed.Instance, "born": departed.Born}).
			Warn("the departure of the upstream is not in the store; its notice is not acknowledged")
		return ErrDepartureNotKept
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.departures.markKept(departed)
	return nil
}

// inheritDeparture takes over a departure that an earlier incarnation of this node
// recorded, and the upstream may no longer report.
func (m *Module) inheritDeparture(departed membership.Departure) {
	m.recordDeparture(departed, "notice of leaving to an earlier incarnation of this node")
}

// recordDeparture records a departure and announces it, unless the upstream is
// known to leave already.
func (m *Module) recordDeparture(departed membership.Departure, reason string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.departures.add(departed) {
		return
	}
	m.log.WithFields(log.Fields{"instance": departed.Instance, "born": departed.Born, "reason": reason}).
		Info("upstream leaves; its incarnation gets no new requests")
	switch {
	case m.upstream.Instance != departed.Instance || !m.departures.has(&m.upstream):
		m.roster.Announce(func(e *membership.Entry) { e.Departed = departed })
	case m.state != membership.Leaving:
		m.setState(membership.Leaving, reason)
	}
}

// markAbsent marks the upstream absent because the incarnation cannot be
// reached at its address. The next announcement makes it ready again.
func (m *Module) markAbsent(instance, reason string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.upstream.Instance == instance && m.state == membership.Ready {
		m.setState(membership.Absent, reason)
	}
}

// leavesOrLeft reports whether the upstream incarnation has given notice of leaving.
func (m *Module) leavesOrLeft(upstream Announcement) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.departures.has(&upstream) || (m.state == membership.Leaving && m.upstream.incarnation() == upstream.incarnation())
}

// setState changes the upstream's state and announces it to the other nodes. The
// caller holds m.mu.
func (m *Module) setState(state membership.State, reason string) {
	current := m.roster.Self()
	if m.state == state && current.Service == m.upstream.Service && current.Slots == m.upstream.Slots {
		return
	}
	m.log.WithFields(log.Fields{
		"instance": m.upstream.Instance, "sequence": m.upstream.Sequence, "service": m.upstream.Service,
		"slots": m.upstream.Slots, "former": m.state.String(), "state": state.String(), "reason": reason,
	}).Info("local upstream changed state")
	m.state = state
	upstream := m.upstream
	m.roster.Announce(func(e *membership.Entry) {
		e.Service, e.Slots, e.State = upstream.Service, upstream.Slots, state
		if state == membership.Leaving {
			e.Departed = upstream.departure()
		}
	})
}

// watchAnnouncements marks the upstream absent when it stops announcing itself.
func (m *Module) watchAnnouncements(ctx context.Context) error {
	return kernel.Every(ctx, m.clock, m.BeatInterval.Std(), func(context.Context) {
		m.mu.Lock()
		defer m.mu.Unlock()
		elapsed := m.clock.Since(m.lastAnnouncement)
		if m.state == membership.Ready && elapsed > maxMissedAnnouncements*m.BeatInterval.Std() {
			m.setState(membership.Absent, "no announcement for "+elapsed.Round(time.Millisecond).String())
		}
	})
}
