// Package pool enforces each organisation's rate and burst over all nodes. It runs
// quota.NodeLimiter and quota.Bucket over the mesh: a part of each limit is divided
// among the nodes, and the rest is granted by the organisation's pool on one node,
// which is selected from the roster by rendezvous hashing. A pool grants as much as
// the votes of the nodes that run pools allow, and it starts empty, so moving it to
// another node creates no tokens.
package pool

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/jonboulle/clockwork"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/mangomast/mangomast/call"
	"github.com/mangomast/mangomast/config"
	"github.com/mangomast/mangomast/finding"
	"github.com/mangomast/mangomast/internal/metriclabel"
	"github.com/mangomast/mangomast/kernel"
	"github.com/mangomast/mangomast/membership"
	"github.com/mangomast/mangomast/mesh"
	"github.com/mangomast/mangomast/plugin/follower"
	"github.com/mangomast/mangomast/plugin/roster"
	"github.com/mangomast/mangomast/quota"
	"github.com/mangomast/mangomast/routing"
)

// ID is the module's ID.
const ID kernel.ID = "pool"

const (
	// askTimeout bounds a request to the pool, and with it how long a caller's
	// request waits for a token. It covers a round trip between regions.
	askTimeout = 250 * time.Millisecond
	// maxPoolHosts is the number of nodes that run pools. In a large fleet each node
	// has little demand of each organisation and asks for nearly every request, so
	// that it would need a link to every node.
	maxPoolHosts = 16
	// poolHostsSeed selects the same hosts on every node.
	poolHostsSeed = "pool hosts"
	// warmInterval is the time between two checks of the links to them.
	warmInterval = 2 * time.Second
	// pruneInterval is the time between two checks for pools to remove.
	pruneInterval = 250 * time.Millisecond
	// voteInterval is the time between two checks for votes to claim.
	voteInterval = 100 * time.Millisecond
	// voteTimeout bounds a request for votes or to yield.
	voteTimeout = 500 * time.Millisecond
	// redirectTTL is how long a node asks the host that another node has named.
	redirectTTL = time.Second
	// votelessWait is how long a node waits before it asks again where the pool's host
	// has no votes yet.
	votelessWait = 50 * time.Millisecond
	// minWait is the minimum time before a waiting request looks for a token again, so
	// that it does not poll continuously.
	minWait = 5 * time.Millisecond
	// failureBackoff is how long a pool that did not answer is not asked again.
	failureBackoff = 500 * time.Millisecond
	// minRetryAfter and maxRetryAfter bound the mean of the Retry-After of refusals.
	// Callers that retry within a few milliseconds would find the tokens still spent.
	minRetryAfter = 500 * time.Millisecond
	maxRetryAfter = 2 * time.Second
)

func init() {
	kernel.Register(kernel.ModuleInfo{
		ID:    ID,
		Needs: []kernel.ID{roster.ID, follower.ID},
		New:   func() kernel.Module { return &Module{} },
	})
}

// Module admits requests within their organisation's limit.
type Module struct {
	// Tolerance is how far an organisation may exceed its limit.
	Tolerance quota.Tolerance `json:"tolerance"`

	clock        clockwork.Clock
	log          log.Interface
	config       config.Source
	members      *roster.Module
	mesh         *mesh.Mesh
	requests     *prometheus.CounterVec
	poolRequests *prometheus.CounterVec
	labels       *metriclabel.Set

	mu sync.Mutex
	// limiters and pools are by organisation. pools are those that this node runs.
	limiters map[string]*limiter
	pools    map[string]*quota.Bucket
	// poolsCheckedAt is when this node last found that it runs its pools.
	poolsCheckedAt time.Time
	voter          *quota.Voter
	claimant       *quota.Claimant
	// currentNodes are the VMs in view among which limits are divided, and
	// poolHosts those of them that run pools.
	view                    *membership.View
	currentNodes, poolHosts []membership.Entry
	// voterVMs are the names of poolHosts.
	voterVMs []string
	hosted   hostedPools
}

// hostedPools are the organisations whose pools a node has to run, by a view and a
// configuration.
type hostedPools struct {
	view          *membership.View
	snapshot      *config.Snapshot
	organisations []string
}

// limiter is a quota.NodeLimiter with its pending request to the pool.
type limiter struct {
	quota.NodeLimiter
	// inFlight is closed when the answer to the pending request has been applied; nil
	// if no request is pending.
	inFlight chan struct{}
	// waiting counts the callers' requests that wait for a token.
	waiting int
	// redirect is the host to ask until redirectUntil instead of the one in the roster.
	redirect      quota.Host
	redirectUntil time.Time
}

// message is one of three requests: for an organisation's tokens, for votes, or to yield
// an organisation's pool. Nodes that only know the first answer the others with an empty
// grant.
type message struct {
	tokenRequest
	Votes *voteRequest  `cbor:"3,keyasint,omitempty"`
	Yield *yieldRequest `cbor:"4,keyasint,omitempty"`
}

// answer is the answer to a message.
type answer struct {
	grant
	Votes *voteAnswer  `cbor:"4,keyasint,omitempty"`
	Yield *yieldAnswer `cbor:"5,keyasint,omitempty"`
}

// tokenRequest asks an organisation's pool for tokens.
type tokenRequest struct {
	Organisation string  `cbor:"1,keyasint"`
	Want         float64 `cbor:"2,keyasint"`
}

// grant is the answer to a tokenRequest. Wait is how long the node should wait before
// it asks again, and Host the node to ask instead, if that is known.
type grant struct {
	Tokens float64       `cbor:"1,keyasint"`
	Wait   time.Duration `cbor:"2,keyasint"`
	Host   quota.Host    `cbor:"3,keyasint,omitzero"`
}

var (
	_ kernel.Module      = (*Module)(nil)
	_ kernel.Validator   = (*Module)(nil)
	_ kernel.ActorSource = (*Module)(nil)
)

// Actors implements kernel.ActorSource.
func (m *Module) Actors() []kernel.Actor {
	return []kernel.Actor{{Name: "prune pools", Run: m.prunePools}, {Name: "warm links to pools", Run: m.warmLinks}, {Name: "claim pools", Run: m.claimPools}}
}

// warmLinks keeps links to the nodes that run pools. A dial to another region
// takes as long as a request waits for a token.
func (m *Module) warmLinks(ctx context.Context) error {
	return kernel.Every(ctx, m.clock, warmInterval, func(context.Context) {
		m.mu.Lock()
		m.nodes()
		hosts := m.poolHosts
		m.mu.Unlock()
		for _, host := range hosts {
			if host.VM != m.mesh.Self().VM {
				m.mesh.Warm(mesh.Peer{VM: host.VM, Address: host.MeshAddress}, mesh.Control)
			}
		}
	})
}

// prunePools removes the pools that this node no longer runs. A pool that returns to
// this node starts empty, as its tokens may have been spent elsewhere meanwhile.
func (m *Module) prunePools(ctx context.Context) error {
	return kernel.Every(ctx, m.clock, pruneInterval, func(context.Context) {
		m.mu.Lock()
		defer m.mu.Unlock()
		m.dropUncheckedPools(m.clock.Now())
		m.prune(m.clock.Now())
	})
}

// prune removes what belongs to pools that this node has no votes for and does not have
// to run. The caller holds m.mu.
func (m *Module) prune(now time.Time) {
	m.voter.Purge(now)
	for _, organisation := range m.claimant.Tenures() {
		if m.part(organisation, now) == 0 && !m.runsPool(organisation) {
			m.claimant.GiveUp(organisation)
		}
	}
	for organisation := range m.pools {
		if m.part(organisation, now) == 0 && !m.runsPool(organisation) {
			delete(m.pools, organisation)
			m.log.WithField("organisation", organisation).Info("removed an organisation's pool that this node no longer runs")
		}
	}
}

// dropUncheckedPools removes all pools if this process has not checked for the
// length of its lease whether it still runs them. It was paused or suspended
// meanwhile, and the others may have moved its pools. The caller holds m.mu.
func (m *Module) dropUncheckedPools(now time.Time) {
	unchecked := now.Sub(m.poolsCheckedAt)
	m.poolsCheckedAt = now
	if unchecked > m.members.Lease.Std() && len(m.pools) > 0 {
		m.log.WithFields(log.Fields{"pools": len(m.pools), "unchecked_ms": unchecked.Milliseconds()}).
			Warn("removed all pools: this process was paused for longer than its lease")
		clear(m.pools)
	}
}

// poolNode returns the node that runs the organisation's pool. The caller holds m.mu.
func (m *Module) poolNode(organisation string) (membership.Entry, bool) {
	m.nodes()
	nodes := routing.Subset(organisation, m.poolHosts, 1)
	if len(nodes) == 0 {
		return membership.Entry{}, false
	}
	return nodes[0], true
}

// runsPool reports whether this node has to run the pool and is in contact with the
// other nodes. The caller holds m.mu.
func (m *Module) runsPool(organisation string) bool {
	poolNode, ok := m.poolNode(organisation)
	return ok && poolNode.VM == m.mesh.Self().VM && m.members.InContact()
}

// Validate implements kernel.Validator.
func (m *Module) Validate(prefix string, findings *finding.List) {
	if !(m.Tolerance.Overage >= 0) || !(m.Tolerance.Slack >= 0) {
		findings.Addf(prefix+"/tolerance", "must not be negative")
	}
}

// Provision implements kernel.Module.
func (m *Module) Provision(ctx *kernel.Context) error {
	if err := kernel.Resolve(ctx, &m.config, &m.members, &m.mesh); err != nil {
		return err
	}
	m.clock, m.log = ctx.LeaseClock, ctx.Log
	m.limiters, m.pools = map[string]*limiter{}, map[string]*quota.Bucket{}
	m.voter, m.claimant = quota.NewVoter(outranks), quota.NewClaimant(m.self())
	m.labels = metriclabel.NewSet(metriclabel.MaxOrganisations)
	m.requests = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "mangomast_pool_requests_total", Help: "Requests by organisation and whether there was a token for them.",
	}, []string{"organisation", "result"})
	m.poolRequests = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "mangomast_pool_questions_total", Help: "Questions to other nodes' pools, by result.",
	}, []string{"result"})
	ctx.Registry.MustRegister(m.requests, m.poolRequests)
	m.mesh.Handle(mesh.KindPool, mesh.Typed(m.serve))
	kernel.Provide(ctx, m)
	return nil
}

// Admit spends a token of the organisation, or returns a refusal. While the pool is
// asked it blocks, for askTimeout at most.
func (m *Module) Admit(ctx context.Context, org *config.Organisation) *call.Reply {
	if org.Rate <= 0 {
		return nil
	}
	refusal := m.admit(ctx, org)
	result := "admitted"
	if refusal != nil {
		result = "refused"
	}
	m.requests.WithLabelValues(m.labels.Label(org.ID), result).Inc()
	return refusal
}

func (m *Module) admit(ctx context.Context, org *config.Organisation) *call.Reply {
	m.mu.Lock()
	defer m.mu.Unlock()
	lim := m.limiter(org)
	now := m.clock.Now()
	lim.CountRequest(now)
	if lim.Spend(now) {
		m.ask(org, lim, now)
		return nil
	}
	lim.waiting++
	defer func() { lim.waiting-- }()
	for until := now.Add(askTimeout); m.await(ctx, org, lim, until); {
		if lim.Spend(m.clock.Now()) {
			return nil
		}
	}
	refusal := call.Refuse(call.CodeRateLimited, "the organisation is above its rate")
	refusal.Detail = lim.Explain(m.clock.Now())
	wait := max(minRetryAfter, min(maxRetryAfter, lim.Wait(m.clock.Now())))
	refusal.RetryAfter = time.Duration((0.5 + rand.Float64()) * float64(wait))
	return refusal
}

// await waits for the pool's answer or, if few requests wait, for the next token. It
// returns false if waiting would not help. The caller holds m.mu, which is released
// while waiting.
func (m *Module) await(ctx context.Context, org *config.Organisation, lim *limiter, until time.Time) bool {
	now := m.clock.Now()
	if !now.Before(until) || ctx.Err() != nil {
		return false
	}
	answered := m.ask(org, lim, now)
	if lim.HasToken(now) {
		return true
	}
	var token <-chan time.Time
	if answered == nil {
		wait := max(minWait, lim.Wait(now))
		if now.Add(wait).After(until) || float64(lim.waiting) > 1+org.Rate*askTimeout.Seconds()*quota.LocalShare {
			return false
		}
		token = m.clock.After(wait)
	}
	m.mu.Unlock()
	defer m.mu.Lock()
	select {
	case <-answered:
	case <-token:
	case <-ctx.Done():
	}
	return true
}

// limiter returns the organisation's limiter with the current limit. The caller holds
// m.mu.
func (m *Module) limiter(org *config.Organisation) *limiter {
	lim := m.limiters[org.ID]
	if lim == nil {
		lim = &limiter{}
		m.limiters[org.ID] = lim
	}
	lim.SetLimit(m.limitOf(org), len(m.nodes()), !m.members.InContact(), m.clock.Now())
	return lim
}

// limitOf returns the organisation's limit, widened by the tolerance.
func (m *Module) limitOf(org *config.Organisation) quota.Limit {
	return m.Tolerance.Widen(quota.Limit{Rate: org.Rate, Burst: org.Burst})
}

// nodes returns the VMs among which limits are divided. Views are immutable, so the
// list is cached for each view. The caller holds m.mu.
func (m *Module) nodes() []membership.Entry {
	view := m.members.View()
	if view == m.view {
		return m.currentNodes
	}
	m.view, m.currentNodes = view, nil
	for _, entry := range view.All() {
		if entry.State != membership.Gone {
			m.currentNodes = append(m.currentNodes, entry)
		}
	}
	m.poolHosts, m.voterVMs = routing.Subset(poolHostsSeed, m.currentNodes, maxPoolHosts), nil
	for _, host := range m.poolHosts {
		m.voterVMs = append(m.voterVMs, host.VM)
	}
	return m.currentNodes
}

// ask requests tokens from the pool if the limiter needs any. It returns a channel
// that is closed when the answer has been applied, or nil if no answer is awaited. The
// caller holds m.mu.
func (m *Module) ask(org *config.Organisation, lim *limiter, now time.Time) chan struct{} {
	if lim.inFlight != nil {
		return lim.inFlight
	}
	want := lim.TokensToRequest(lim.waiting, now)
	if want <= 0 {
		return nil
	}
	host, ok := m.hostToAsk(org.ID, lim, now)
	switch {
	case !ok:
		return nil
	case host.VM != m.mesh.Self().VM:
	case !m.members.InContact():
		lim.PoolFailed(failureBackoff, now)
		return nil
	default:
		granted := m.grantTokens(org, want, now)
		lim.ApplyGrant(granted.Tokens, granted.Wait, now, now)
		return nil
	}
	lim.inFlight = make(chan struct{})
	go m.exchange(host, org.ID, lim, want, now)
	return lim.inFlight
}

// exchange sends a tokenRequest to the pool on another node and applies the answer.
func (m *Module) exchange(host quota.Host, organisation string, lim *limiter, want float64, asked time.Time) {
	ctx, cancel := context.WithTimeout(context.Background(), askTimeout)
	defer cancel()
	request := message{tokenRequest: tokenRequest{Organisation: organisation, Want: want}}
	granted, err := m.send(ctx, host, request)
	result := "ok"
	if err != nil {
		result = "failed"
		m.log.WithError(err).WithFields(log.Fields{"organisation": organisation, "peer": host.VM}).Debug("cannot get tokens from the pool; backing off")
	}
	m.poolRequests.WithLabelValues(result).Inc()
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.clock.Now()
	if err != nil {
		lim.redirectUntil = time.Time{}
		lim.PoolFailed(failureBackoff, now)
	} else {
		lim.ApplyGrant(granted.Tokens, granted.Wait, asked, now)
		if granted.Host.VM != "" {
			lim.redirect, lim.redirectUntil = granted.Host, now.Add(redirectTTL)
		}
	}
	close(lim.inFlight)
	lim.inFlight = nil
}

// send sends a message to another node.
func (m *Module) send(ctx context.Context, host quota.Host, request message) (got answer, err error) {
	err = m.mesh.Exchange(ctx, mesh.Peer{VM: host.VM, Address: host.Address}, mesh.KindPool, request, &got)
	return got, err
}

// serve answers another node's message.
func (m *Module) serve(_ context.Context, from mesh.Identity, request message) (answer, error) {
	switch {
	case request.Votes != nil:
		return answer{Votes: m.serveVotes(from, request.Votes)}, nil
	case request.Yield != nil:
		return answer{Yield: m.serveYield(from, request.Yield.Organisation)}, nil
	default:
		return answer{grant: m.serveTokenRequest(request.tokenRequest)}, nil
	}
}

// serveTokenRequest grants tokens to another node, as far as this node has votes for the
// organisation's pool.
func (m *Module) serveTokenRequest(request tokenRequest) grant {
	snapshot := m.config.Snapshot()
	if snapshot == nil {
		return grant{Wait: failureBackoff}
	}
	org := snapshot.Organisation(request.Organisation)
	if org == nil {
		return grant{Wait: failureBackoff}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.clock.Now()
	if !m.members.InContact() {
		return grant{Wait: failureBackoff}
	}
	if m.part(org.ID, now) > 0 {
		return m.grantTokens(org, request.Want, now)
	}
	granted := grant{Wait: votelessWait}
	if host, ok := m.otherHost(org.ID); ok {
		granted.Host = host
	}
	return granted
}

// grantTokens takes tokens from the pool on this node. The caller holds m.mu.
func (m *Module) grantTokens(org *config.Organisation, want float64, now time.Time) grant {
	m.dropUncheckedPools(now)
	pool := m.pools[org.ID]
	if pool == nil {
		pool = &quota.Bucket{}
		m.pools[org.ID] = pool
	}
	part := m.part(org.ID, now)
	pool.SetLimit(quota.PoolLimit(m.limitOf(org), len(m.nodes())).Times(part), now)
	granted := grant{Tokens: pool.Take(want, now)}
	switch {
	case granted.Tokens >= 1:
	case part == 0:
		granted.Wait = votelessWait
	default:
		granted.Wait = pool.Wait(1, now)
	}
	return granted
}
