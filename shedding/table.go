package shedding

import (
	"cmp"
	"maps"
	"net/http"
	"slices"
	"time"

	"github.com/mangomast/mangomast/call"
)

// TableOptions are the parameters of a Table; zero values stand for defaults.
type TableOptions struct {
	// Hold is how long a level has full weight. After that its weight falls
	// linearly to 0 over Fade.
	Hold, Fade time.Duration
}

// Defaults of TableOptions.
const (
	DefaultHold = 400 * time.Millisecond
	DefaultFade = 1 * time.Second
)

const (
	// callGraphWindow is the number of replies after which the counts of a
	// route's call graph are halved, so that older replies count less.
	callGraphWindow = 256
	// callGraphShare is the share of a route's replies that must list a service
	// for it to count as part of the route's call graph.
	callGraphShare = 0.5
	// initialWindow is the number of first replies that are counted even if
	// they are refusals or failures.
	initialWindow = 8
)

// receivedLevel is a level with the time at which its VM created it.
type receivedLevel struct {
	level     call.Level
	createdAt time.Time
}

// callGraph counts a route's replies and in how many of them each service was
// called.
type callGraph struct {
	replies float64
	called  map[string]float64
}

// Table stores the contents of replies: the levels of VMs and the services that
// each route calls.
type Table struct {
	opts     TableOptions
	services map[string]map[string]receivedLevel
	routes   map[string]*callGraph
}

// NewTable returns an empty table.
func NewTable(opts TableOptions) *Table {
	if opts.Hold == 0 {
		opts.Hold = DefaultHold
	}
	if opts.Fade == 0 {
		opts.Fade = DefaultFade
	}
	return &Table{opts: opts, services: map[string]map[string]receivedLevel{}, routes: map[string]*callGraph{}}
}

// Complete reports whether a request was answered without a server error, so
// that its reply covers the complete call graph.
func Complete(reply *call.Reply) bool {
	return reply.Outcome == call.Answered && reply.Status < http.StatusInternalServerError
}

// Record records the levels in the reply to a request. complete is the result
// of Complete for the reply; other replies update the call graph only if they
// are among the route's first.
func (t *Table) Record(route string, complete bool, levels []call.Level, now time.Time) {
	for _, level := range levels {
		t.recordLevel(level, now)
	}
	g := t.routes[route]
	if g == nil {
		g = &callGraph{called: map[string]float64{}}
		t.routes[route] = g
	}
	if complete || g.replies < initialWindow {
		g.add(levels)
	}
}

func (t *Table) recordLevel(level call.Level, now time.Time) {
	vms := t.services[level.Service]
	if vms == nil {
		vms = map[string]receivedLevel{}
		t.services[level.Service] = vms
	}
	createdAt := now.Add(-level.Age)
	if !createdAt.Before(vms[level.VM].createdAt) {
		vms[level.VM] = receivedLevel{level: level, createdAt: createdAt}
	}
}

func (g *callGraph) add(levels []call.Level) {
	g.replies++
	called := map[string]bool{}
	for _, level := range levels {
		if !called[level.Service] {
			called[level.Service] = true
			g.called[level.Service]++
		}
	}
	if g.replies < callGraphWindow {
		return
	}
	g.replies /= 2
	for service := range g.called {
		if g.called[service] /= 2; g.called[service] < 1 {
			delete(g.called, service)
		}
	}
}

// calledServices returns the services in the route's call graph: those that at
// least callGraphShare of the replies list.
func (t *Table) calledServices(route string) []string {
	g := t.routes[route]
	if g == nil {
		return nil
	}
	services := make([]string, 0, len(g.called))
	for service, called := range g.called {
		if called >= callGraphShare*g.replies {
			services = append(services, service)
		}
	}
	slices.Sort(services)
	return services
}

// Levels returns the levels of the VMs in the route's call graph with their
// ages, newest first and at most limit. They can be recorded in another Table.
func (t *Table) Levels(route string, limit int, now time.Time) []call.Level {
	var levels []call.Level
	for _, service := range t.calledServices(route) {
		for _, received := range t.services[service] {
			level := received.level
			level.Age = now.Sub(received.createdAt)
			levels = append(levels, level)
		}
	}
	slices.SortFunc(levels, func(a, b call.Level) int {
		return cmp.Or(cmp.Compare(a.Age, b.Age), cmp.Compare(a.Service, b.Service), cmp.Compare(a.VM, b.VM))
	})
	return levels[:min(len(levels), limit)]
}

// HasFreshLevels reports whether the table has a level of full weight for every
// service that the route calls.
func (t *Table) HasFreshLevels(route string, now time.Time) bool {
	services := t.calledServices(route)
	for _, service := range services {
		if t.maxFreshness(service, now) < 1 {
			return false
		}
	}
	return len(services) > 0
}

func (t *Table) maxFreshness(service string, now time.Time) float64 {
	maxFreshness := 0.0
	for _, received := range t.services[service] {
		maxFreshness = max(maxFreshness, t.freshness(now.Sub(received.createdAt)))
	}
	return maxFreshness
}

// Sheds reports whether a VM in the route's call graph does not accept all
// requests, by a level that has not expired.
func (t *Table) Sheds(route string, now time.Time) bool {
	for _, service := range t.calledServices(route) {
		for _, received := range t.services[service] {
			if len(received.level.Accepted) > 0 && t.freshness(now.Sub(received.createdAt)) > 0 {
				return true
			}
		}
	}
	return false
}

// Routes returns the routes with a recorded call graph, sorted.
func (t *Table) Routes() []string { return slices.Sorted(maps.Keys(t.routes)) }

// Decision is the result of Decide.
type Decision struct {
	// Accept is false if the request is refused.
	Accept bool
	// Passed is the share of such requests that is accepted.
	Passed float64
	// Service is the service with the lowest share; empty if every service
	// accepts all requests.
	Service string
}

// Decide decides whether an ingress accepts a request. Of similar requests it
// accepts those of the highest ranks, up to the lowest share that any service
// in the route's call graph accepts.
func (t *Table) Decide(route string, importance uint8, organisation string, rank uint16, now time.Time) Decision {
	d := Decision{Accept: true, Passed: 1}
	for _, service := range t.calledServices(route) {
		if share := t.share(service, importance, organisation, now); share < d.Passed {
			d.Passed, d.Service = share, service
		}
	}
	d.Accept = d.Passed >= 1 || (d.Passed > 0 && rank >= call.MinAcceptedRank(d.Passed))
	return d
}

// share returns the mean accepted share over the service's VMs, weighted by the
// freshness of their levels. It rises to 1 as the newest level expires.
func (t *Table) share(service string, importance uint8, organisation string, now time.Time) float64 {
	total, weights, freshest := 0.0, 0.0, 0.0
	for _, received := range t.services[service] {
		weight := t.freshness(now.Sub(received.createdAt))
		total += weight * received.level.Share(importance, organisation)
		weights += weight
		freshest = max(freshest, weight)
	}
	if weights == 0 {
		return 1
	}
	return 1 - freshest*(1-total/weights)
}

// freshness returns the weight, 0 to 1, of a level of the given age.
func (t *Table) freshness(age time.Duration) float64 {
	if age <= t.opts.Hold {
		return 1
	}
	return max(0, 1-(age-t.opts.Hold).Seconds()/t.opts.Fade.Seconds())
}

// Expire deletes expired levels.
func (t *Table) Expire(now time.Time) {
	for service, vms := range t.services {
		for vm, received := range vms {
			if now.Sub(received.createdAt) > t.opts.Hold+t.opts.Fade {
				delete(vms, vm)
			}
		}
		if len(vms) == 0 {
			delete(t.services, service)
		}
	}
}
