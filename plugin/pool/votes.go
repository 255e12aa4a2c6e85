package pool

import (
	"context"
	"time"

	"github.com/apex/log"

	"github.com/mangomast/mangomast/kernel"
	"github.com/mangomast/mangomast/membership"
	"github.com/mangomast/mangomast/mesh"
	"github.com/mangomast/mangomast/quota"
	"github.com/mangomast/mangomast/routing"
)

// voteRequest claims the receiver's votes for a host.
type voteRequest struct {
	Host   quota.Host    `cbor:"1,keyasint"`
	Claims []quota.Claim `cbor:"2,keyasint"`
}

// voteAnswer has one verdict for each claim, in their order.
type voteAnswer struct {
	Verdicts []quota.Verdict `cbor:"1,keyasint"`
}

// yieldRequest asks a host to give up an organisation's pool.
type yieldRequest struct {
	Organisation string `cbor:"1,keyasint"`
}

// yieldAnswer is the receiver's statement, if it has yielded.
type yieldAnswer struct {
	Yielded bool        `cbor:"1,keyasint"`
	Yield   quota.Yield `cbor:"2,keyasint,omitzero"`
}

// outranks reports whether the VM a is preferred to the VM b for the organisation's pool.
func outranks(organisation, a, b string) bool {
	return routing.Subset(organisation, []membership.Entry{{VM: a}, {VM: b}}, 1)[0].VM == a
}

// self returns this node as a host of pools.
func (m *Module) self() quota.Host { return hostOf(m.members.Self()) }

func hostOf(entry membership.Entry) quota.Host {
	return quota.Host{VM: entry.VM, Incarnation: entry.Incarnation, Address: entry.MeshAddress}
}

// claimPools claims votes for the pools that this node has to run, and asks their former
// hosts to yield.
func (m *Module) claimPools(ctx context.Context) error {
	return kernel.Every(ctx, m.clock, voteInterval, func(context.Context) {
		m.mu.Lock()
		defer m.mu.Unlock()
		now := m.clock.Now()
		m.resizePools(now)
		organisations := m.poolsToRun()
		if len(organisations) == 0 {
			return
		}
		claims := m.claimant.Claims(now, organisations, m.voters())
		for _, host := range m.poolHosts {
			m.claim(host, claims[host.VM], now)
		}
		for _, organisation := range organisations {
			for _, former := range m.claimant.YieldRequests(now, organisation) {
				go m.requestYield(former, organisation)
			}
		}
	})
}

// resizePools adapts the pools on this node to its votes, so that no pool refills while
// another node may run it. The caller holds m.mu.
func (m *Module) resizePools(now time.Time) {
	snapshot := m.config.Snapshot()
	if snapshot == nil {
		return
	}
	for organisation, pool := range m.pools {
		if org := snapshot.Organisation(organisation); org != nil {
			pool.SetLimit(quota.PoolLimit(m.limitOf(org), len(m.nodes())).Times(m.part(organisation, now)), now)
		}
	}
}

// poolsToRun returns the organisations whose pools this node has to run: none while it has
// just started and knows no other node. The caller holds m.mu.
func (m *Module) poolsToRun() (organisations []string) {
	snapshot := m.config.Snapshot()
	if snapshot == nil || !m.members.InContact() || len(m.nodes()) == 1 && !m.members.Loaded() {
		return nil
	}
	if m.hosted.view == m.view && m.hosted.snapshot == snapshot {
		return m.hosted.organisations
	}
	for _, org := range snapshot.Document.Organisations {
		if poolNode, ok := m.poolNode(org.ID); ok && org.Rate > 0 && poolNode.VM == m.mesh.Self().VM {
			organisations = append(organisations, org.ID)
		}
	}
	m.hosted = hostedPools{view: m.view, snapshot: snapshot, organisations: organisations}
	return organisations
}

// voters returns the VMs whose votes count. The caller holds m.mu.
func (m *Module) voters() []string {
	m.nodes()
	return m.voterVMs
}

// part returns the fraction of the organisation's pool that this node may grant. The
// caller holds m.mu.
func (m *Module) part(organisation string, now time.Time) float64 {
	return m.claimant.Part(now, organisation, m.voters())
}

// claim sends claims to a voter. The caller holds m.mu.
func (m *Module) claim(voter membership.Entry, claims []quota.Claim, now time.Time) {
	switch {
	case len(claims) == 0:
	case voter.VM == m.mesh.Self().VM:
		for _, claim := range claims {
			m.claimant.ApplyVerdict(voter.VM, claim, m.voter.Vote(now, m.self(), claim), now)
		}
	default:
		go m.requestVotes(voter, claims, now)
	}
}

func (m *Module) requestVotes(voter membership.Entry, claims []quota.Claim, sent time.Time) {
	ctx, cancel := context.WithTimeout(context.Background(), voteTimeout)
	defer cancel()
	got, err := m.send(ctx, hostOf(voter), message{Votes: &voteRequest{Host: m.self(), Claims: claims}})
	if err != nil {
		m.log.WithError(err).WithField("peer", voter.VM).Debug("cannot get votes for pools")
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for i, claim := range claims {
		// A node that knows no votes grants pools by its member list alone.
		verdict := quota.Verdict{Granted: got.Votes == nil}
		if got.Votes != nil && i < len(got.Votes.Verdicts) {
			verdict = got.Votes.Verdicts[i]
		}
		m.claimant.ApplyVerdict(voter.VM, claim, verdict, sent)
	}
}

// serveVotes decides on another node's claims.
func (m *Module) serveVotes(from mesh.Identity, request *voteRequest) *voteAnswer {
	m.mu.Lock()
	defer m.mu.Unlock()
	host := quota.Host{VM: from.VM, Incarnation: from.Incarnation, Address: request.Host.Address}
	verdicts := make([]quota.Verdict, len(request.Claims))
	for i, claim := range request.Claims {
		verdicts[i] = m.voter.Vote(m.clock.Now(), host, claim)
	}
	return &voteAnswer{Verdicts: verdicts}
}

// requestYield asks the former host of a pool to yield it.
func (m *Module) requestYield(former quota.Host, organisation string) {
	ctx, cancel := context.WithTimeout(context.Background(), voteTimeout)
	defer cancel()
	got, err := m.send(ctx, former, message{Yield: &yieldRequest{Organisation: organisation}})
	if err != nil {
		m.log.WithError(err).WithFields(log.Fields{"organisation": organisation, "peer": former.VM}).Debug("cannot ask the former host of a pool to yield")
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if got.Yield != nil && got.Yield.Yielded {
		m.claimant.ApplyYield(m.clock.Now(), organisation, got.Yield.Yield)
	}
}

// serveYield gives up an organisation's pool if this node does not have to run it or the
// sender is preferred.
func (m *Module) serveYield(from mesh.Identity, organisation string) *yieldAnswer {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.runsPool(organisation) && !outranks(organisation, from.VM, m.mesh.Self().VM) {
		return &yieldAnswer{}
	}
	if m.pools[organisation] != nil {
		delete(m.pools, organisation)
		m.log.WithFields(log.Fields{"organisation": organisation, "peer": from.VM}).Info("yielded an organisation's pool to another node")
	}
	return &yieldAnswer{Yielded: true, Yield: m.claimant.GiveUp(organisation)}
}

// hostToAsk returns the node to ask for the organisation's tokens: the one that another
// node has named, or the one in the roster. The caller holds m.mu.
func (m *Module) hostToAsk(organisation string, lim *limiter, now time.Time) (quota.Host, bool) {
	if now.Before(lim.redirectUntil) && lim.redirect.VM != m.mesh.Self().VM {
		return lim.redirect, true
	}
	poolNode, ok := m.poolNode(organisation)
	if ok && poolNode.VM == m.mesh.Self().VM && m.part(organisation, now) == 0 {
		if other, known := m.claimant.Incumbent(organisation); known {
			return other, true
		}
	}
	return hostOf(poolNode), ok
}

// otherHost returns another node that may run the organisation's pool, if one is known. The
// caller holds m.mu.
func (m *Module) otherHost(organisation string) (quota.Host, bool) {
	if host, ok := m.claimant.Incumbent(organisation); ok {
		return host, true
	}
	poolNode, ok := m.poolNode(organisation)
	if !ok || poolNode.VM == m.mesh.Self().VM {
		return quota.Host{}, false
	}
	return hostOf(poolNode), true
}
