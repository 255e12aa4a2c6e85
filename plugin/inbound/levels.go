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
	// levelsInterval is the time between two looks at whether routes are shed.
	levelsInterval = 200 * time.Millisecond
	// shedsHold is how long a VM goes on announcing that it sheds, so that its
	// entry changes seldom.
	shedsHold = 15 * time.Second
	// maxLevels bounds the levels in an answer.
	maxLevels = 16
	// levelsBytesPerSecond and levelsBurstBytes bound all answers together.
	levelsBytesPerSecond = 8 << 10
	levelsBurstBytes     = 16 << 10
)

// LevelsRequest asks a VM of a route's first service what it knows of the
// services that the route calls.
type LevelsRequest struct {
	Route string `cbor:"1,keyasint"`
}

// LevelsAnswer answers a LevelsRequest. It is empty if nothing is known.
type LevelsAnswer struct {
	Levels []call.Level `cbor:"1,keyasint,omitempty"`
}

// routeLevels holds what the replies to callers' requests tell of the services
// that their routes call. Ingresses that have seen no reply lately ask for it.
// It is safe for concurrent use.
type routeLevels struct {
	clock     clockwork.Clock
	announcer membership.Announcer
	limiter   *rate.Limiter

	mu    sync.Mutex
	table *shedding.Table

	// shedAt is when a route was last shed; announced is what the VM's entry
	// says. Only keep uses them.
	shedAt    time.Time
	announced bool
}

func newRouteLevels(clock clockwork.Clock, announcer membership.Announcer) *routeLevels {
	return &routeLevels{
		clock: clock, announcer: announcer,
		limiter: rate.NewLimiter(levelsBytesPerSecond, levelsBurstBytes),
		table:   shedding.NewTable(shedding.TableOptions{}),
	}
}

// learn takes in the reply to a request. Only callers' requests are of use: the
// others are no ingress's.
func (l *routeLevels) learn(head *call.Head, reply *call.Reply) {
	if head.Depth > 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.table.Learn(head.Route, shedding.Whole(reply), reply.Levels, l.clock.Now())
}

// serve answers an ingress.
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

// keep announces whether ingresses had better ask, and forgets old levels.
func (l *routeLevels) keep(ctx context.Context) error {
	return kernel.Every(ctx, l.clock, levelsInterval, func(context.Context) { l.announce() })
}

func (l *routeLevels) announce() {
	now := l.clock.Now()
	if l.sheds(now) {
		l.shedAt = now
	}
	sheds := !l.shedAt.IsZero() && now.Sub(l.shedAt) < shedsHold
	if sheds == l.announced {
		return
	}
	l.announced = sheds
	l.announcer.Announce(func(e *membership.Entry) { e.Sheds = sheds })
}

func (l *routeLevels) sheds(now time.Time) bool {
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
