package inbound

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/time/rate"

	"github.com/mangomast/mangomast/call"
	"github.com/mangomast/mangomast/kernel"
	"github.com/mangomast/mangomast/membership"
	"github.com/mangomast/mangomast/mesh"
	"github.com/mangomast/mangomast/shedding"
)

const (
	// shedCheckInterval is the interval between checks whether routes are shed.
	shedCheckInterval = 200 * time.Millisecond
	// shedAnnounceHold is how long a VM keeps announcing that it sheds after the
	// last shed route, so that its membership entry changes rarely.
	shedAnnounceHold = 15 * time.Second
	// maxLevels bounds the levels in an answer.
	maxLevels = 16
	// levelsBytesPerSecond and levelsBurstBytes are the rate and burst of the
	// token bucket that limits all answers together.
	levelsBytesPerSecond = 8 << 10
	levelsBurstBytes     = 16 << 10
)

// LevelsRequest requests the levels of the services that a route calls from a
// VM of the route's first service.
type LevelsRequest struct {
	Route string `cbor:"1,keyasint"`
}

// LevelsAnswer answers a LevelsRequest. It is empty if the VM has no levels for
// the route or its rate limit is exhausted.
type LevelsAnswer struct {
	Levels []call.Level `cbor:"1,keyasint,omitempty"`
}

// routeLevels records the levels of the services that routes call, from the
// replies to callers' requests. Ingresses without recent replies request them.
// It is safe for concurrent use.
type routeLevels struct {
	clock     clockwork.Clock
	announcer membership.Announcer
	limiter   *rate.Limiter

	mu    sync.Mutex
	table *shedding.Table

	// lastShedAt is when a route was last shed; announced is the value announced
	// in the VM's membership entry. Only run uses them.
	lastShedAt time.Time
	announced  bool
}

func newRouteLevels(clock clockwork.Clock, announcer membership.Announcer) *routeLevels {
	return &routeLevels{
		clock: clock, announcer: announcer,
		limiter: rate.NewLimiter(levelsBytesPerSecond, levelsBurstBytes),
		table:   shedding.NewTable(shedding.TableOptions{}),
	}
}

// record records the levels in the reply to a request. Calls made by upstreams
// are ignored, as they do not come from an ingress.
func (l *routeLevels) record(head *call.Head, reply *call.Reply) {
	if head.Depth > 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.table.Record(head.Route, shedding.Complete(reply), reply.Levels, l.clock.Now())
}

// serve answers a LevelsRequest of an ingress.
func (l *routeLevels) serve(_ context.Context, _ mesh.Identity, request LevelsRequest) (LevelsAnswer, error) {
	now := l.clock.Now()
	l.mu.Lock()
	answer := LevelsAnswer{Levels: l.table.Levels(request.Route, maxLevels, now)}
	l.mu.Unlock()
	data, err := mesh.Encode(answer)
	if err != nil || !l.limiter.AllowN(now, len(data)) {
		return LevelsAnswer{}, err
	}
	return answer, nil
}

// run periodically expires old levels and announces whether routes are shed, so
// that ingresses know to request levels.
func (l *routeLevels) run(ctx context.Context) error {
	return kernel.Every(ctx, l.clock, shedCheckInterval, func(context.Context) { l.announce() })
}

// announce announces whether routes are shed if that changed.
func (l *routeLevels) announce() {
	now := l.clock.Now()
	if l.isShedding(now) {
		l.lastShedAt = now
	}
	isShedding := !l.lastShedAt.IsZero() && now.Sub(l.lastShedAt) < shedAnnounceHold
	if isShedding == l.announced {
		return
	}
	l.announced = isShedding
	l.announcer.Announce(func(e *membership.Entry) { e.Sheds = isShedding })
}

// isShedding reports whether any route is shed, after expiring old levels.
func (l *routeLevels) isShedding(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.table.Expire(now)
	for _, route := range l.table.Routes() {
		if l.table.Sheds(route, now) {
			return true
		}
	}
	return false
}
