package inbound

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/jonboulle/clockwork"
	"github.com/labstack/echo/v4"

	"github.com/mangomast/mangomast/finding"
	"github.com/mangomast/mangomast/kernel"
	"github.com/mangomast/mangomast/membership"
	"github.com/mangomast/mangomast/settings"
)

const (
	probeInterval = 500 * time.Millisecond
	probeTimeout  = 300 * time.Millisecond
	defaultTTL    = 3 * time.Second
	minTTL        = 500 * time.Millisecond
	maxTTL        = 60 * time.Second
)

// Announcement is the heartbeat that an upstream posts to its node, first when
// it is ready and then again each time before the TTL expires.
type Announcement struct {
	Service     string `json:"service"`
	Address     string `json:"address"`
	Slots       int    `json:"slots"`
	Connections int    `json:"connections"`
	// TTLMillis is how long the announcement is valid; 3000 if 0.
	TTLMillis int `json:"ttl_ms"`
	// Leaving is true if the upstream accepts no new requests.
	Leaving bool `json:"leaving"`
	// Health and Load are reported by the upstream. They are accepted but not
	// used: such reports lag behind or mislead, so routing relies on what nodes
	// measure.
	Health string  `json:"health,omitempty"`
	Load   float64 `json:"load,omitempty"`
}

func (a *Announcement) ttl() time.Duration {
	if a.TTLMillis == 0 {
		return defaultTTL
	}
	return time.Duration(a.TTLMillis) * time.Millisecond
}

func (a *Announcement) validate(findings *finding.List) {
	upstream := settings.Upstream{Service: a.Service, Address: a.Address, Slots: a.Slots, Connections: a.Connections}
	if a.Service == "" {
		findings.Addf("/service", "must be given")
	}
	upstream.Validate("", findings)
	if ttl := int64(a.TTLMillis); ttl != 0 && (ttl < minTTL.Milliseconds() || ttl > maxTTL.Milliseconds()) {
		findings.Addf("/ttl_ms", "must be %d to %d", minTTL.Milliseconds(), maxTTL.Milliseconds())
	}
}

// upstreamState tracks the state of the local upstream and announces it.
type upstreamState struct {
	clock     clockwork.Clock
	log       log.Interface
	announcer membership.Announcer
	static    settings.Upstream

	mu       sync.Mutex
	upstream settings.Upstream
	state    membership.State
	// expires is when the announcement expires. In state Leaving, zero means that
	// the node itself is leaving, and not only its upstream.
	expires time.Time
	// onChange is called when the upstream's service, address, slots or
	// connections have changed.
	onChange func(settings.Upstream)
}

// current returns the upstream and its state.
func (u *upstreamState) current() (settings.Upstream, membership.State) {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.upstream, u.state
}

// setState records the upstream's state and announces it if it changed. Once
// the node itself is leaving, only Gone is accepted.
func (u *upstreamState) setState(upstream settings.Upstream, state membership.State, expires time.Time) {
	u.mu.Lock()
	stopping := u.state == membership.Gone || (u.state == membership.Leaving && u.expires.IsZero())
	if stopping && state != membership.Gone {
		u.mu.Unlock()
		return
	}
	replaced := upstream != u.upstream
	unchanged := !replaced && state == u.state
	u.upstream, u.state, u.expires = upstream, state, expires
	u.mu.Unlock()
	if unchanged {
		return
	}
	if replaced {
		u.onChange(upstream)
	}
	u.log.WithField("service", upstream.Service).WithField("state", state.String()).Info("local upstream changed state")
	u.announcer.Announce(func(e *membership.Entry) {
		e.Service, e.State, e.Slots = upstream.Service, state, upstream.Slots
	})
}

// markLeaving marks the node as leaving; later announcements of the upstream do
// not change that.
func (u *upstreamState) markLeaving() {
	upstream, _ := u.current()
	u.setState(upstream, membership.Leaving, time.Time{})
}

// markGone marks the node as stopped.
func (u *upstreamState) markGone() {
	upstream, _ := u.current()
	u.setState(upstream, membership.Gone, time.Time{})
}

// watch periodically probes an upstream from the settings, or else expires
// announcements.
func (u *upstreamState) watch(ctx context.Context) error {
	if u.static.Service == "" {
		u.log.Info("no upstream in the settings; waiting for its announcement")
	}
	absenceLogged := false
	check := func(ctx context.Context) {
		if u.static.Service != "" {
			absenceLogged = u.probe(ctx, absenceLogged)
		} else {
			u.expire()
		}
	}
	check(ctx)
	return kernel.Every(ctx, u.clock, probeInterval, check)
}

// probe marks the upstream from the settings ready if it accepts connections,
// and absent otherwise. It returns whether the absence has been logged.
func (u *upstreamState) probe(ctx context.Context, absenceLogged bool) bool {
	dialer := net.Dialer{Timeout: probeTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", u.static.Address)
	if err != nil {
		if !absenceLogged {
			u.log.WithError(err).WithField("address", u.static.Address).Warn("connecting to the local upstream failed; it is marked absent and its requests are refused")
		}
		u.setState(u.static, membership.Absent, u.clock.Now())
		return true
	}
	_ = conn.Close()
	u.setState(u.static, membership.Ready, u.clock.Now())
	return false
}

// expire marks the upstream absent if its announcement has expired.
func (u *upstreamState) expire() {
	u.mu.Lock()
	upstream, expired := u.upstream, u.state == membership.Ready && u.clock.Now().After(u.expires)
	u.mu.Unlock()
	if expired {
		u.log.WithField("service", upstream.Service).Warn("announcement of the local upstream expired; it is marked absent")
		u.setState(upstream, membership.Absent, u.clock.Now())
	}
}

// serveAnnounce handles an announcement of the local upstream.
func (u *upstreamState) serveAnnounce(c echo.Context) error {
	var a Announcement
	findings := &finding.List{}
	if err := c.Bind(&a); err != nil {
		return c.JSON(http.StatusBadRequest, finding.Finding{Message: "announcement is not valid JSON"})
	}
	a.validate(findings)
	if list := findings.Findings(); len(list) > 0 {
		return c.JSON(http.StatusBadRequest, list)
	}
	state := membership.Ready
	if a.Leaving {
		state = membership.Leaving
	}
	upstream := settings.Upstream{Service: a.Service, Address: a.Address, Slots: a.Slots, Connections: a.Connections}
	u.setState(upstream, state, u.clock.Now().Add(a.ttl()))
	return c.NoContent(http.StatusNoContent)
}
