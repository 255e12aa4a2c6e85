// Package evacuation keeps the set of evacuated failure domains of this node and
// passes it on. The set comes from the store through the follower's watch, and from
// other nodes with each exchange, so that it is also in force on nodes that the
// store turns away.
package evacuation

import (
	"slices"
	"sync"

	"github.com/apex/log"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/mangomast/mangomast/call"
	"github.com/mangomast/mangomast/evacuation"
	"github.com/mangomast/mangomast/kernel"
	"github.com/mangomast/mangomast/membership"
	"github.com/mangomast/mangomast/plugin/roster"
)

// ID is the module's ID.
const ID kernel.ID = "evacuation"

// fromStore is the source of sets that were read from the store.
const fromStore = "store"

// maxLoggedDomains bounds the failure domains that are logged for one change.
const maxLoggedDomains = 20

func init() {
	kernel.Register(kernel.ModuleInfo{
		ID: ID, Needs: []kernel.ID{roster.ID}, New: func() kernel.Module { return &Module{} },
	})
}

// Module holds the set of evacuated failure domains.
type Module struct {
	// Follow makes the node follow evacuations. Without it, no failure domain is
	// ever evacuated.
	Follow bool `json:"follow"`

	log     log.Interface
	roster  *roster.Module
	domain  string
	metrics *metrics

	mu       sync.Mutex
	set      evacuation.Set
	handlers []func(ended []string)
}

var _ kernel.Module = (*Module)(nil)

// Provision implements kernel.Module.
func (m *Module) Provision(ctx *kernel.Context) error {
	if err := kernel.Resolve(ctx, &m.roster); err != nil {
		return err
	}
	m.log, m.domain = ctx.Log, ctx.Node.FailureDomain
	m.metrics = newMetrics(ctx.Registry)
	if m.Follow {
		m.roster.OnEvacuations(func(set evacuation.Set, peer string) { m.merge(set, peer) })
	}
	kernel.Provide(ctx, m)
	return nil
}

// OnEnd registers a function that is called with the failure domains that are taken
// back. It must be called before the node starts; the function must not block.
func (m *Module) OnEnd(f func(domains []string)) { m.handlers = append(m.handlers, f) }

// Listed sets what a complete listing of the store at the revision contained.
func (m *Module) Listed(revision int64, domains []string) {
	m.merge(evacuation.Listed(revision, domains), fromStore)
}

// Watched applies changes that a watch of the store reported. The watch must have
// begun after a revision that was passed to Listed.
func (m *Module) Watched(changes []evacuation.Change) {
	m.update(fromStore, func(set evacuation.Set) evacuation.Set { return set.Apply(changes) })
}

func (m *Module) merge(set evacuation.Set, source string) {
	m.update(source, func(known evacuation.Set) evacuation.Set { return known.Merge(set) })
}

// update changes the set, passes it on if its domains are new and calls the handlers.
func (m *Module) update(source string, change func(evacuation.Set) evacuation.Set) {
	m.mu.Lock()
	before := m.set
	m.set = change(before)
	after := m.set
	if after.Revision != before.Revision {
		m.roster.SetEvacuations(after)
	}
	m.mu.Unlock()
	began, ended := after.Without(before), before.Without(after)
	if len(began)+len(ended) == 0 {
		return
	}
	m.roster.SpreadEvacuations(source == fromStore)
	m.metrics.domains.Set(float64(len(after.Domains)))
	m.logChange("evacuation began: the failure domain's upstreams get no new requests", began, after.Revision, source)
	m.logChange("evacuation ended: the failure domain's upstreams get requests again", ended, after.Revision, source)
	if len(ended) > 0 {
		for _, f := range m.handlers {
			f(ended)
		}
	}
}

// logChange logs the failure domains that a change is about, with the number of
// their VMs that this node knows. A domain without VMs may be a spelling mistake.
func (m *Module) logChange(message string, domains []string, revision int64, source string) {
	for _, domain := range domains[:min(len(domains), maxLoggedDomains)] {
		entry := m.log.WithFields(log.Fields{
			"failure_domain": domain, "vms": m.countVMs(domain), "domains": len(domains), "revision": revision, "source": source,
		})
		if m.countVMs(domain) == 0 {
			entry.Warn(message)
			continue
		}
		entry.Info(message)
	}
}

func (m *Module) countVMs(domain string) int {
	all := m.roster.View().All()
	return len(slices.DeleteFunc(slices.Clone(all), func(e membership.Entry) bool { return e.FailureDomain != domain }))
}

// Set returns the evacuated failure domains.
func (m *Module) Set() evacuation.Set {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.set
}

// CheckLocal returns the refusal of a new request to the local upstream while its
// failure domain is evacuated, and nil otherwise. A node that has just started
// refuses too, until it knows what is evacuated.
func (m *Module) CheckLocal() *call.Reply {
	if !m.Follow {
		return nil
	}
	set := m.Set()
	if !set.Known() {
		return call.Refuse(call.CodeNoUpstream, "the node does not know yet whether its failure domain is evacuated")
	}
	if set.Has(m.domain) {
		return call.Refuse(call.CodeEvacuated, "the failure domain is evacuated")
	}
	return nil
}

type metrics struct {
	domains prometheus.Gauge
}

func newMetrics(registerer prometheus.Registerer) *metrics {
	m := &metrics{domains: prometheus.NewGauge(prometheus.GaugeOpts{
		Name: "mangomast_evacuated_domains", Help: "Failure domains that this node knows to be evacuated.",
	})}
	registerer.MustRegister(m.domains)
	return m
}
