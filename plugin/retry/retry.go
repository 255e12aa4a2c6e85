// Package retry is the node's retry policy: its settings, a throttle for each
// service, and the retry budgets of callers' requests. The ingress, the egress
// and the dispatcher share it.
package retry

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/jonboulle/clockwork"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/mangomast/mangomast/call"
	"github.com/mangomast/mangomast/finding"
	"github.com/mangomast/mangomast/jsonc"
	"github.com/mangomast/mangomast/kernel"
	"github.com/mangomast/mangomast/membership"
	"github.com/mangomast/mangomast/mesh"
	membershipplugin "github.com/mangomast/mangomast/plugin/membership"
	meshplugin "github.com/mangomast/mangomast/plugin/mesh"
	"github.com/mangomast/mangomast/retry"
)

// ID is the module's ID.
const ID kernel.ID = "retry"

const (
	defaultRatio    = 0.1
	defaultReserve  = 20
	defaultWindow   = 2 * time.Minute
	defaultRequests = 65536
	defaultMinDelay = 500 * time.Millisecond
	defaultMaxDelay = 3 * time.Second
	maxRequests     = 1 << 20
	maxDelay        = time.Minute
)

func init() {
	kernel.Register(kernel.ModuleInfo{
		ID:    ID,
		Needs: []kernel.ID{meshplugin.ID, membershipplugin.ID},
		New: func() kernel.Module {
			return &Module{
				Ratio: defaultRatio, Reserve: defaultReserve,
				Window: jsonc.Duration(defaultWindow), Requests: defaultRequests,
				MinDelay: jsonc.Duration(defaultMinDelay), MaxDelay: jsonc.Duration(defaultMaxDelay),
			}
		},
	})
}

// Module is the retry policy of one node. It is safe for concurrent use.
type Module struct {
	// Unbounded gives each hop the whole budget of its route, does not count
	// repeated calls and disables the throttles. It serves to measure the effect
	// of the limits.
	Unbounded bool `json:"unbounded"`
	// Ratio is the number of retries to a service for each first attempt;
	// Reserve is the number of retries that may be used at once beyond that.
	Ratio   float64 `json:"ratio"`
	Reserve float64 `json:"reserve"`
	// Window is how long a caller's request is remembered after its last send;
	// Requests is the maximum number of remembered requests.
	Window   jsonc.Duration `json:"window"`
	Requests int            `json:"requests"`
	// MinDelay and MaxDelay are the bounds of the Retry-After of refusals.
	MinDelay jsonc.Duration `json:"min_delay"`
	MaxDelay jsonc.Duration `json:"max_delay"`

	clock    clockwork.Clock
	log      log.Interface
	mesh     *mesh.Mesh
	members  membership.Source
	region   string
	advice   retry.Advice
	requests *retry.Requests
	retries  *prometheus.CounterVec

	mu        sync.Mutex
	throttles map[string]*retry.Throttle
}

var (
	_ kernel.Module    = (*Module)(nil)
	_ kernel.Validator = (*Module)(nil)
)

// Validate implements kernel.Validator.
func (m *Module) Validate(prefix string, findings *finding.List) {
	if !(m.Ratio >= 0) || m.Ratio > 1 {
		findings.Addf(prefix+"/ratio", "must be 0 to 1")
	}
	if !(m.Reserve >= 0) || m.Reserve > maxRequests {
		findings.Addf(prefix+"/reserve", "must be 0 to %d retries", maxRequests)
	}
	if m.Window.Std() <= 0 {
		findings.Addf(prefix+"/window", "must be above 0")
	}
	if m.Requests < 1 || m.Requests > maxRequests {
		findings.Addf(prefix+"/requests", "must be 1 to %d", maxRequests)
	}
	if m.MinDelay.Std() <= 0 || m.MaxDelay.Std() < m.MinDelay.Std() || m.MaxDelay.Std() > maxDelay {
		findings.Addf(prefix+"/max_delay", "must be at least min_delay, which must be above 0, and at most %s", maxDelay)
	}
}

// Provision implements kernel.Module.
func (m *Module) Provision(ctx *kernel.Context) error {
	if err := kernel.Resolve(ctx, &m.mesh, &m.members); err != nil {
		return err
	}
	m.clock, m.log, m.region = ctx.Clock, ctx.Log, ctx.Node.Region
	m.advice = retry.Advice{Min: m.MinDelay.Std(), Max: m.MaxDelay.Std()}
	m.requests = retry.NewRequests(m.Requests, m.Window.Std())
	m.throttles = map[string]*retry.Throttle{}
	m.retries = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "mangomast_retries_total",
		Help: "Retries wanted, by who wanted them (node, upstream, caller) and whether they were allowed.",
	}, []string{"origin", "result"})
	ctx.Registry.MustRegister(m.retries)
	m.mesh.Handle(mesh.KindClaim, mesh.Typed(m.serveClaim))
	kernel.Provide(ctx, m)
	return nil
}

// Origin is the party that requests a retry.
type Origin string

// Origins of retries.
const (
	Node     Origin = "node"
	Upstream Origin = "upstream"
	Caller   Origin = "caller"
)

// RecordFirst records the first attempt of a call to the service.
func (m *Module) RecordFirst(service string) { m.throttle(service).RecordFirst() }

// Allow requests a retry to the service. It takes a token of the service's
// throttle and a unit of the budget, or neither.
func (m *Module) Allow(origin Origin, service string, budget *retry.Budget) bool {
	result := "allowed"
	switch {
	case !budget.Spend():
		result = "budget"
	case !m.Unbounded && !m.throttle(service).Retry():
		budget.Refund()
		result = "throttled"
	}
	m.retries.WithLabelValues(string(origin), result).Inc()
	return result == "allowed"
}

// AllowResend requests a retry for a caller that repeats its request. It takes
// a token of the service's throttle; the request's budget has already been
// charged.
func (m *Module) AllowResend(service string) bool {
	allowed := m.throttle(service).Retry()
	result := "allowed"
	if !allowed {
		result = "throttled"
	}
	m.retries.WithLabelValues(string(Caller), result).Inc()
	return allowed
}

// Delay returns the Retry-After for a refused caller.
func (m *Module) Delay() time.Duration {
	return m.advice.Delay(rand.Float64())
}

// Refuse returns the reply to a retry that was not allowed. Its outcome is
// unknown, because an earlier send of the request may have run.
func (m *Module) Refuse() *call.Reply {
	reply := call.UnknownOutcome(call.CodeRetryBudget, "the retries of the request or of its service are used up")
	reply.RetryAfter = m.Delay()
	return reply
}

func (m *Module) throttle(service string) *retry.Throttle {
	m.mu.Lock()
	defer m.mu.Unlock()
	t, ok := m.throttles[service]
	if !ok {
		t = retry.NewThrottle(m.Ratio, m.Reserve)
		m.throttles[service] = t
	}
	return t
}
