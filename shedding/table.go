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
	// Hold is how long a level counts in full; over Fade it then opens up.
	Hold, Fade time.Duration
}

// Defaults of TableOptions.
const (
	DefaultHold = 400 * time.Millisecond
	DefaultFade = 1 * time.Second
)

const (
	// graphWindow is the number of answers that the call graph of a route is
	// learned from.
	graphWindow = 256
	// graphShare of a route's answers must have called a service for it to
	// count as part of the route's call graph.
	graphShare = 0.5
	// startWindow is the number of answers, refusals included, that a call
	// graph is first learned from.
	startWindow = 8
)

// heard is a level with the time at which it was made.
type heard struct {
	level call.Level
	made  time.Time
}

// graph counts which services a route's requests call.
type graph struct {
	seen    float64
	touched map[string]float64
}

// Table holds what an ingress has learned from replies: the levels of VMs and
// the services that each route calls.
type Table struct {
	opts     TableOptions
	services map[string]map[string]heard
	routes   map[string]*graph
}

// NewTable returns an empty table.
func NewTable(opts TableOptions) *Table {
	if opts.Hold == 0 {
		opts.Hold = DefaultHold
	}
	if opts.Fade == 0 {
		opts.Fade = DefaultFade
	}
	return &Table{opts: opts, services: map[string]map[string]heard{}, routes: map[string]*graph{}}
}

// Whole reports whether a request was answered successfully, so that its whole
// call graph was seen.
func Whole(reply *call.Reply) bool {
	return reply.Outcome == call.Answered && reply.Status < http.StatusInternalServerError
}

// Learn takes in the levels that came with the reply to a request. Whole says
// that the reply was Whole.
func (t *Table) Learn(route string, whole bool, levels []call.Level, now time.Time) {
	for _, level := range levels {
		t.hear(level, now)
	}
	g := t.routes[route]
	if g == nil {
		g = &graph{touched: map[string]float64{}}
		t.routes[route] = g
	}
	if whole || g.seen < startWindow {
		g.add(levels)
	}
}

func (t *Table) hear(level call.Level, now time.Time) {
	vms := t.services[level.Service]
	if vms == nil {
		vms = map[string]heard{}
		t.services[level.Service] = vms
	}
	made := now.Add(-level.Age)
	if !made.Before(vms[level.VM].made) {
		vms[level.VM] = heard{level: level, made: made}
	}
}

func (g *graph) add(levels []call.Level) {
	g.seen++
	touched := map[string]bool{}
	for _, level := range levels {
		if !touched[level.Service] {
			touched[level.Service] = true
			g.touched[level.Service]++
		}
	}
	if g.seen < graphWindow {
		return
	}
	g.seen /= 2
	for service := range g.touched {
		if g.touched[service] /= 2; g.touched[service] < 1 {
			delete(g.touched, service)
		}
	}
}

// calls lists the services that the route's requests usually call.
func (t *Table) calls(route string) []string {
	g := t.routes[route]
	if g == nil {
		return nil
	}
	services := make([]string, 0, len(g.touched))
	for service, touched := range g.touched {
		if touched >= graphShare*g.seen {
			services = append(services, service)
		}
	}
	slices.Sort(services)
	return services
}

// Levels returns at most limit levels, the newest first and with their ages,
// of the VMs that the route's requests call. They teach another table what
// this one knows of the route.
func (t *Table) Levels(route string, limit int, now time.Time) []call.Level {
	var levels []call.Level
	for _, service := range t.calls(route) {
		for _, h := range t.services[service] {
			level := h.level
			level.Age = now.Sub(h.made)
			levels = append(levels, level)
		}
	}
	slices.SortFunc(levels, func(a, b call.Level) int {
		return cmp.Or(cmp.Compare(a.Age, b.Age), cmp.Compare(a.Service, b.Service), cmp.Compare(a.VM, b.VM))
	})
	return levels[:min(len(levels), limit)]
}

// Current reports whether a level that counts in full is known of every
// service that the route calls.
func (t *Table) Current(route string, now time.Time) bool {
	services := t.calls(route)
	for _, service := range services {
		if t.freshest(service, now) < 1 {
			return false
		}
	}
	return len(services) > 0
}

func (t *Table) freshest(service string, now time.Time) float64 {
	freshest := 0.0
	for _, h := range t.services[service] {
		freshest = max(freshest, t.freshness(now.Sub(h.made)))
	}
	return freshest
}

// Sheds reports whether a VM that the route's requests call accepts less than
// all, by a level that still counts.
func (t *Table) Sheds(route string, now time.Time) bool {
	for _, service := range t.calls(route) {
		for _, h := range t.services[service] {
			if len(h.level.Accepted) > 0 && t.freshness(now.Sub(h.made)) > 0 {
				return true
			}
		}
	}
	return false
}

// Routes returns the routes whose call graph was learned.
func (t *Table) Routes() []string { return slices.Sorted(maps.Keys(t.routes)) }

// Decision is what an ingress does with a request.
type Decision struct {
	// Accept is false if the request is refused.
	Accept bool
	// Passed is the share of such requests that is accepted.
	Passed float64
	// Service is the one that accepts the least.
	Service string
}

// Decide says whether a request is likely to be accepted by every service
// that its route calls.
func (t *Table) Decide(route string, importance uint8, organisation string, rank uint16, now time.Time) Decision {
	d := Decision{Accept: true, Passed: 1}
	for _, service := range t.calls(route) {
		if share := t.share(service, importance, organisation, now); share < d.Passed {
			d.Passed, d.Service = share, service
		}
	}
	d.Accept = d.Passed >= 1 || (d.Passed > 0 && rank >= call.LeastRank(d.Passed))
	return d
}

// share returns the mean share over the service's VMs that were heard of, the
// older ones counting less. It opens up as the newest gets old.
func (t *Table) share(service string, importance uint8, organisation string, now time.Time) float64 {
	total, weights, freshest := 0.0, 0.0, 0.0
	for _, h := range t.services[service] {
		weight := t.freshness(now.Sub(h.made))
		total += weight * h.level.Share(importance, organisation)
		weights += weight
		freshest = max(freshest, weight)
	}
	if weights == 0 {
		return 1
	}
	return 1 - freshest*(1-total/weights)
}

// freshness returns how much a level of the age counts, 0 to 1.
func (t *Table) freshness(age time.Duration) float64 {
	if age <= t.opts.Hold {
		return 1
	}
	return max(0, 1-(age-t.opts.Hold).Seconds()/t.opts.Fade.Seconds())
}

// Expire forgets the VMs whose levels no longer count.
func (t *Table) Expire(now time.Time) {
	for service, vms := range t.services {
		for vm, h := range vms {
			if now.Sub(h.made) > t.opts.Hold+t.opts.Fade {
				delete(vms, vm)
			}
		}
		if len(vms) == 0 {
			delete(t.services, service)
		}
	}
}
