package ingress

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/singleflight"
	"golang.org/x/time/rate"

	"github.com/mangomast/mangomast/call"
	"github.com/mangomast/mangomast/config"
	"github.com/mangomast/mangomast/membership"
	"github.com/mangomast/mangomast/mesh"
	"github.com/mangomast/mangomast/plugin/inbound"
	"github.com/mangomast/mangomast/routing"
	"github.com/mangomast/mangomast/shedding"
)

const (
	// askTimeout bounds a question for levels; askWait is how long requests
	// wait for its answer.
	askTimeout = 300 * time.Millisecond
	askWait    = 100 * time.Millisecond
	// askRate and askBurst bound the questions in a second.
	askRate  = 3
	askBurst = 4
	// askVMs is the number of VMs that one question goes through.
	askVMs = 2
)

// levels is a shedding.Table that is safe for concurrent use and asks other
// VMs for what it has not heard lately.
type levels struct {
	module *Module
	// ask returns what a VM of a route's first service knows of the route.
	ask     func(ctx context.Context, vm membership.Entry, route string) ([]call.Level, error)
	limiter *rate.Limiter
	flights singleflight.Group

	mu    sync.RWMutex
	table *shedding.Table
}

func newLevels(m *Module, ask func(context.Context, membership.Entry, string) ([]call.Level, error)) *levels {
	return &levels{
		module: m, ask: ask, limiter: rate.NewLimiter(askRate, askBurst),
		table: shedding.NewTable(shedding.TableOptions{Hold: m.Hold.Std(), Fade: m.Fade.Std()}),
	}
}

// askMesh asks over the mesh.
func (m *Module) askMesh(ctx context.Context, vm membership.Entry, route string) ([]call.Level, error) {
	var answer inbound.LevelsAnswer
	peer := mesh.Peer{VM: vm.VM, Address: vm.MeshAddress}
	err := m.mesh.Exchange(ctx, peer, mesh.KindLevels, inbound.LevelsRequest{Route: route}, &answer)
	return answer.Levels, err
}

func (l *levels) decide(req *request) shedding.Decision {
	head := req.head
	l.mu.RLock()
	defer l.mu.RUnlock()
	return l.table.Decide(req.route.ID, head.Importance, head.Organisation, head.Rank, l.module.clock.Now())
}

func (l *levels) learn(route string, whole bool, list []call.Level, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.table.Learn(route, whole, list, now)
}

func (l *levels) expire() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.table.Expire(l.module.clock.Now())
}

// refresh asks for the levels of the route's services if this ingress has
// heard none lately while a VM announces that it sheds. Requests that come
// meanwhile wait for the same answer, for a short time.
func (l *levels) refresh(ctx context.Context, route *config.Route) {
	l.mu.RLock()
	current := l.table.Current(route.ID, l.module.clock.Now())
	l.mu.RUnlock()
	if current {
		return
	}
	vms := l.sheddingVMs(route.Service)
	if len(vms) == 0 {
		return
	}
	answered := l.flights.DoChan(route.ID, func() (any, error) {
		l.askAny(vms, route.ID)
		return nil, nil
	})
	select {
	case <-answered:
	case <-ctx.Done():
	case <-l.module.clock.After(askWait):
	}
}

// sheddingVMs returns VMs of the service that announce that they shed, the
// nearest first.
func (l *levels) sheddingVMs(service string) []membership.Entry {
	var vms []membership.Entry
	self := l.module.members.Self()
	for _, entry := range l.module.members.View().Service(service) {
		if entry.Sheds && entry.VM != self.VM {
			vms = append(vms, entry)
		}
	}
	vms = routing.Subset(self.VM, vms, len(vms))
	slices.SortStableFunc(vms, func(a, b membership.Entry) int {
		return cmp.Compare(distance(self, a), distance(self, b))
	})
	return vms[:min(len(vms), askVMs)]
}

func distance(self, other membership.Entry) int {
	switch {
	case other.FailureDomain == self.FailureDomain:
		return 0
	case other.Region == self.Region:
		return 1
	}
	return 2
}

// askAny asks the VMs in turn until one knows of the route. The ages of its
// levels count from when it was asked.
func (l *levels) askAny(vms []membership.Entry, route string) {
	if !l.limiter.AllowN(l.module.clock.Now(), 1) {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), askTimeout)
	defer cancel()
	for _, vm := range vms {
		asked := l.module.clock.Now()
		list, err := l.ask(ctx, vm, route)
		if err == nil && len(list) > 0 {
			l.module.metrics.asked.WithLabelValues("answered").Inc()
			l.learn(route, true, list, asked)
			return
		}
	}
	l.module.metrics.asked.WithLabelValues("nothing").Inc()
}
