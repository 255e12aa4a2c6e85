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

// Announcement is what an upstream posts to its node, first when it is ready
// and then again before the TTL ends.
type Announcement struct {
	Service     string `json:"service"`
	Address     string `json:"address"`
	Slots       int    `json:"slots"`
	Connections int    `json:"connections"`
	// TTLMillis is how long the announcement holds; 3000 if 0.
	TTLMillis int `json:"ttl_ms"`
	// Leaving asks for no new work.
	Leaving bool `json:"leaving"`
	// Health and Load are what the upstream says of itself. They are accepted
	// for upstreams that send them, and decide nothing: such statements lag
	// behind or mislead, so routing goes by what nodes see.
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
	if ttl := a.ttl(); ttl < minTTL || ttl > maxTTL {
		findings.Addf("/ttl_ms", "must be %d to %d", minTTL.Milliseconds(), maxTTL.Milliseconds())
	}
}

// upstreamState is what the node knows of its local upstream.
type upstreamState struct {
	clock     clockwork.Clock
	log       log.Interface
	announcer membership.Announcer
	static    settings.Upstream

	mu       sync.Mutex
	upstream settings.Upstream
	state    membership.State
	expires  time.Time
	changed  func(settings.Upstream)
}

// current returns the upstream and whether it takes work.
func (u *upstreamState) current() (settings.Upstream, membership.State) {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.upstream, u.state
}

// set records the upstream's state and announces it if it changed. A leaving
// node never goes back.
func (u *upstreamState) set(upstream settings.Upstream, state membership.State, expires time.Time) {
	u.mu.Lock()
	leftForGood := u.state == membership.Gone || (u.state == membership.Leaving && u.expires.IsZero())
	if leftForGood && state != membership.Gone {
		u.mu.Unlock()
		return
	}
	moved := upstream != u.upstream
	same := !moved && state == u.state
	u.upstream, u.state, u.expires = upstream, state, expires
	u.mu.Unlock()
	if same {
		return
	}
	if moved {
		u.changed(upstream)
	}
	u.log.WithField("service", upstream.Service).WithField("state", state.String()).Info("local upstream changed state")
	u.announcer.Announce(func(e *membership.Entry) {
		e.Service, e.State, e.Slots = upstream.Service, state, upstream.Slots
	})
}

// leave marks the node as leaving for good.
func (u *upstreamState) leave() {
	upstream, _ := u.current()
	u.set(upstream, membership.Leaving, time.Time{})
}

// gone marks the node as stopped.
func (u *upstreamState) gone() {
	upstream, _ := u.current()
	u.set(upstream, membership.Gone, time.Time{})
}

// watch probes an upstream from the settings, or lets announcements run out.
func (u *upstreamState) watch(ctx context.Context) error {
	if u.static.Service == "" {
		u.log.Info("no upstream in the settings; waiting for its announcement")
	}
	warned := false
	look := func(ctx context.Context) {
		if u.static.Service != "" {
			warned = u.probe(ctx, warned)
		} else {
			u.expire()
		}
	}
	look(ctx)
	return kernel.Every(ctx, u.clock, probeInterval, look)
}

// probe connects to the upstream of the settings. It returns whether the
// upstream's absence has been logged.
func (u *upstreamState) probe(ctx context.Context, warned bool) bool {
	dialer := net.Dialer{Timeout: probeTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", u.static.Address)
	if err != nil {
		if !warned {
			u.log.WithError(err).WithField("address", u.static.Address).Warn("local upstream is absent; the node takes no work for it")
		}
		u.set(u.static, membership.Absent, u.clock.Now())
		return true
	}
	_ = conn.Close()
	u.set(u.static, membership.Ready, u.clock.Now())
	return false
}

func (u *upstreamState) expire() {
	u.mu.Lock()
	upstream, lapsed := u.upstream, u.state == membership.Ready && u.clock.Now().After(u.expires)
	u.mu.Unlock()
	if lapsed {
		u.log.WithField("service", upstream.Service).Warn("local upstream stopped announcing itself")
		u.set(upstream, membership.Absent, u.clock.Now())
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
	u.set(upstream, state, u.clock.Now().Add(a.ttl()))
	return c.NoContent(http.StatusNoContent)
}
