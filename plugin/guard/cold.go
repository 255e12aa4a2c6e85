package guard

import (
	"context"
	"net/http"
	"net/http/httptrace"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/pkg/errors"

	"github.com/mangomast/mangomast/admission"
	"github.com/mangomast/mangomast/config"
	"github.com/mangomast/mangomast/finding"
	"github.com/mangomast/mangomast/internal/connpool"
	"github.com/mangomast/mangomast/membership"
	"github.com/mangomast/mangomast/warming"
)

const (
	// healthTimeout bounds a question about the upstream's health.
	healthTimeout = 500 * time.Millisecond
	// coldNews is the change of the end of a coldness from which it is announced.
	coldNews = 500 * time.Millisecond
)

// ColdTolerance is how far the requests that a cold upstream gets in one second may
// exceed the rate that it bears.
type ColdTolerance struct {
	// Overage multiplies the rate; 0 counts as 1.
	Overage float64 `json:"overage"`
	// Slack is the number of requests above that.
	Slack float64 `json:"slack"`
}

func (t ColdTolerance) validate(prefix string, findings *finding.List) {
	if t.Overage != 0 && !(t.Overage >= 1) {
		findings.Addf(prefix+"/overage", "must be 0 or at least 1")
	}
	if !(t.Slack >= 0) {
		findings.Addf(prefix+"/slack", "must not be negative")
	}
}

// coldLimit holds requests back while the upstream is cold, or may be. It does
// nothing for services without a rate for cold upstreams. It is safe for concurrent
// use. Queues call it under their mutex, so it calls none under its own.
type coldLimit struct {
	module *Module
	// health keeps the connections for questions about the upstream's health: their
	// answers bear no ID, so requests must not come after them.
	health *connpool.Pool

	mu        sync.Mutex
	snapshot  *config.Snapshot
	service   config.Service
	limiter   *warming.Limiter
	handovers map[*admission.Request]*warming.Handover
	// upstream is the last announcement, and announcedAt when it came.
	upstream    Announcement
	announcedAt time.Time
	// toldUntil is the end of the coldness that other nodes know; told is its number.
	toldUntil time.Time
	told      uint64
}

var _ admission.Pacer = (*coldLimit)(nil)

func newColdLimit(m *Module) *coldLimit {
	return &coldLimit{
		module: m, handovers: map[*admission.Request]*warming.Handover{},
		health: connpool.New(connpool.Options{
			DialTimeout: dialTimeout, IdleTimeout: idleTimeout, MaxIdle: 1, MaxResponseHeaderBytes: maxResponseHeaderBytes,
		}),
	}
}

// configure applies the configuration in force.
func (l *coldLimit) configure(snapshot *config.Snapshot) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if snapshot == nil || (snapshot == l.snapshot && l.upstream.Service == l.service.ID) {
		return
	}
	l.snapshot, l.service = snapshot, config.Service{ID: l.upstream.Service}
	for _, s := range snapshot.Document.Services {
		if s.ID == l.service.ID {
			l.service = s
		}
	}
	tolerance := l.module.ColdTolerance
	bound := warming.Bound{
		Rate: l.service.ColdRate, Overage: tolerance.Overage, Slack: tolerance.Slack, ColdStart: l.service.ColdStart.Std(),
		AsksHealth: l.service.HealthPath != "",
	}
	switch {
	case bound.Rate <= 0:
		l.limiter = nil
	case l.limiter == nil:
		l.limiter = warming.New(bound, l.module.clock.Now())
		if !l.announcedAt.IsZero() {
			l.limiter.Announced(l.upstream.ColdFor, l.upstream.ColdFor != ColdUnknown, l.announcedAt)
		}
	default:
		l.limiter.SetBound(bound)
	}
}

// announced records an announcement; restarted is true if it is the first of its
// incarnation.
func (l *coldLimit) announced(a Announcement, restarted bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.module.clock.Now()
	l.upstream, l.announcedAt = a, now
	if l.limiter == nil {
		return
	}
	if restarted {
		l.limiter.Restarted(now)
		l.health.CloseIdle()
	}
	l.limiter.Announced(a.ColdFor, a.ColdFor != ColdUnknown, now)
}

// Admit implements admission.Pacer.
func (l *coldLimit) Admit(r *admission.Request, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.limiter == nil {
		return true
	}
	handover := l.limiter.Admit(now)
	if handover != nil {
		l.handovers[r] = handover
	}
	if l.limiter.FetchEvidence(now) {
		go l.fetchEvidence(l.upstream, l.service.HealthPath)
	}
	return handover != nil
}

// Done implements admission.Pacer.
func (l *coldLimit) Done(r *admission.Request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if handover := l.handovers[r]; handover != nil && l.limiter != nil {
		l.limiter.End(handover, l.module.clock.Now())
	}
	delete(l.handovers, r)
}

// Rate implements admission.Pacer.
func (l *coldLimit) Rate(now time.Time) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.limiter == nil {
		return 0
	}
	return l.limiter.Rate(now)
}

// watchWrite returns a context whose request tells the limiter when it was sent.
func (l *coldLimit) watchWrite(ctx context.Context, r *admission.Request) context.Context {
	l.mu.Lock()
	defer l.mu.Unlock()
	handover := l.handovers[r]
	if handover == nil {
		return ctx
	}
	record := func(event func(*warming.Limiter)) {
		l.mu.Lock()
		defer l.mu.Unlock()
		if l.limiter != nil {
			event(l.limiter)
		}
	}
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		WroteHeaders: func() { record(func(w *warming.Limiter) { w.Begin(handover) }) },
		WroteRequest: func(httptrace.WroteRequestInfo) {
			record(func(w *warming.Limiter) { w.Written(handover, l.module.clock.Now()) })
		},
	})
}

// wait returns the time until a cold upstream has taken the waiting requests and one
// more, or is warm; 0 if it is warm.
func (l *coldLimit) wait(waiting int) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.limiter == nil {
		return 0
	}
	now := l.module.clock.Now()
	rate := l.limiter.Rate(now)
	if rate <= 0 {
		return 0
	}
	return min(l.limiter.ColdFor(now), time.Duration(float64(waiting+1)/rate*float64(time.Second)))
}

// fetchEvidence asks the upstream whether it is cold, and starts requests that the
// answer allows.
func (l *coldLimit) fetchEvidence(upstream Announcement, path string) {
	asked := l.module.clock.Now()
	cold, tells, err := l.askHealth(upstream, path)
	l.mu.Lock()
	now := l.module.clock.Now()
	answer := "warm"
	switch {
	case l.limiter == nil:
		l.mu.Unlock()
		return
	case err != nil || l.upstream.Instance != upstream.Instance || l.upstream.Born != upstream.Born:
		answer = "none"
		l.limiter.EvidenceFailed(now)
	default:
		l.limiter.Evidence(asked, cold, tells, now)
		switch {
		case !tells:
			answer = "untold"
		case cold > 0:
			answer = "cold"
		}
	}
	l.mu.Unlock()
	l.module.metrics.health.WithLabelValues(answer).Inc()
	g := l.module.currentGate()
	l.tellOthers(g)
	g.queue.Tick()
}

// askHealth asks the upstream how much longer it stays cold; tells is false if the
// answer does not say.
func (l *coldLimit) askHealth(upstream Announcement, path string) (cold time.Duration, tells bool, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), healthTimeout)
	defer cancel()
	conn, err := l.health.Get(ctx, l.module.Address)
	if err != nil {
		return 0, false, err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+l.module.Address+path, nil)
	if err != nil {
		conn.Close()
		return 0, false, err
	}
	req.Header["User-Agent"] = nil
	resp, err := conn.RoundTrip(req)
	if err != nil {
		conn.Close()
		return 0, false, err
	}
	defer func() { _ = resp.Body.Close() }()
	body := &answerBody{body: resp.Body, conn: conn, reusable: !resp.Close}
	body.discard()
	health := l.module.dialect.ReadHealth(resp)
	if health.Instance != "" && health.Instance != upstream.Instance {
		return 0, false, errors.Errorf("upstream %q answers at the address", health.Instance)
	}
	return health.Cold, health.TellsCold, nil
}

// tellOthers announces a coldness to the other nodes if its end has moved.
func (l *coldLimit) tellOthers(g *gate) {
	slots := g.load().Limit
	l.mu.Lock()
	if l.limiter == nil {
		l.mu.Unlock()
		return
	}
	now := l.module.clock.Now()
	cold := l.limiter.ColdFor(now)
	l.module.metrics.cold.Set(cold.Seconds())
	if moved := now.Add(cold).Sub(maxTime(now, l.toldUntil)); moved.Abs() < coldNews {
		l.mu.Unlock()
		return
	}
	l.told++
	l.toldUntil = now.Add(cold)
	coldness := membership.Coldness{Number: l.told, For: cold, Slots: slots}
	instance := l.upstream.Instance
	l.mu.Unlock()
	l.module.log.WithFields(log.Fields{"instance": instance, "cold_ms": cold.Milliseconds(), "slots": slots}).
		Info("coldness of the local upstream changed")
	l.module.roster.Announce(func(e *membership.Entry) { e.Cold = coldness })
}

func maxTime(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
