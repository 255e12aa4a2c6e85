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
	// queryTimeout is the timeout of a query for levels; queryWait is how long
	// requests wait for its result.
	queryTimeout = 300 * time.Millisecond
	queryWait    = 100 * time.Millisecond
	// queryRate and queryBurst are the rate per second and the burst of the
	// token bucket for queries.
	queryRate  = 3
	queryBurst = 4
	// maxQueryVMs is the maximum number of VMs that one query tries.
	maxQueryVMs = 2
)

// levels is a shedding.Table that is safe for concurrent use and queries other
// VMs for levels that no recent reply carried.
type levels struct {
	module *Module
	// query returns the levels that a VM of a route's first service has for the
	// route.
	query    func(ctx context.Context, vm membership.Entry, route string) ([]call.Level, error)
	limiter  *rate.Limiter
	inFlight singleflight.Group

	mu    sync.RWMutex
	table *shedding.Table
}

func newLevels(m *Module, query func(context.Context, membership.Entry, string) ([]call.Level, error)) *levels {
	return &levels{
		module: m, query: query, limiter: rate.NewLimiter(queryRate, queryBurst),
		table: shedding.NewTable(shedding.TableOptions{Hold: m.Hold.Std(), Fade: m.Fade.Std()}),
	}
}

// queryMesh queries a VM over the mesh.
func (m *Module) queryMesh(ctx context.Context, vm membership.Entry, route string) ([]call.Level, error) {
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

func (l *levels) recordLevels(route string, complete bool, list []call.Level, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.table.Record(route, complete, list, now)
}

func (l *levels) expire() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.table.Expire(l.module.clock.Now())
}

// refresh queries for the levels of the route's services if this ingress has no
// fresh ones while a VM announces that it sheds requests. Concurrent requests
// wait a short time for the result of the same query.
func (l *levels) refresh(ctx context.Context, route *config.Route) {
	l.mu.RLock()
	fresh := l.table.HasFreshLevels(route.ID, l.module.clock.Now())
	l.mu.RUnlock()
	if fresh {
		return
	}
	vms := l.sheddingVMs(route.Service)
	if len(vms) == 0 {
		return
	}
	done := l.inFlight.DoChan(route.ID, func() (any, error) {
		l.queryInTurn(vms, route.ID)
		return nil, nil
	})
	select {
	case <-done:
	case <-ctx.Done():
	case <-l.module.clock.After(queryWait):
	}
}

// sheddingVMs returns at most maxQueryVMs VMs of the service that announce that
// they shed requests, the nearest first.
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
	return vms[:min(len(vms), maxQueryVMs)]
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

// queryInTurn queries the VMs in turn until one has levels for the route. The
// ages of the levels count from the time of the query.
func (l *levels) queryInTurn(vms []membership.Entry, route string) {
	if !l.limiter.AllowN(l.module.clock.Now(), 1) {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), queryTimeout)
	defer cancel()
	for _, vm := range vms {
		queried := l.module.clock.Now()
		list, err := l.query(ctx, vm, route)
		if err == nil && len(list) > 0 {
			l.module.metrics.queried.WithLabelValues("answered").Inc()
			l.recordLevels(route, true, list, queried)
			return
		}
	}
	l.module.metrics.queried.WithLabelValues("nothing").Inc()
}
