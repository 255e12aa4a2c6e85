package membership

import (
	"context"
	"sync"
	"time"

	"github.com/mangomast/mangomast/membership"
	"github.com/mangomast/mangomast/mesh"
)

const (
	// maxSuspects is the maximum number of VMs that are probed in one round.
	maxSuspects = 16
	// maxIndirectProbes is the maximum number of other nodes that are asked
	// about a VM or a failure domain.
	maxIndirectProbes = 2
)

// probe is a direct probe if it is sent to the VM's own node, and otherwise an
// indirect probe, which asks when the node was last in contact with the VM or
// failure domain.
type probe struct {
	VM     string `cbor:"1,keyasint,omitempty"`
	Domain string `cbor:"2,keyasint,omitempty"`
}

// probeAnswer answers a probe.
type probeAnswer struct {
	// Entry is set by the VM's own node.
	Entry *membership.Entry `cbor:"1,keyasint,omitempty"`
	// Seen is true if the answering node has been in contact with the VM or
	// failure domain; Age is the time since the last contact.
	Seen bool          `cbor:"2,keyasint,omitempty"`
	Age  time.Duration `cbor:"3,keyasint,omitempty"`
}

// checkSuspects probes the VMs and failure domains without recent contact,
// directly and through other nodes, and removes or hides those that stay
// without contact.
func (m *Module) checkSuspects(ctx context.Context) {
	var group sync.WaitGroup
	for _, entry := range m.suspectVMs() {
		group.Go(func() { m.checkVM(ctx, entry) })
	}
	for _, domain := range m.unreachableDomains() {
		group.Go(func() { m.checkDomain(ctx, domain) })
	}
	group.Wait()
}

// suspectVMs returns the VMs of this node's failure domain without recent
// contact. A node that is not a relay checks only its relays.
func (m *Module) suspectVMs() []membership.Entry {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.table.RecordContact(m.self.VM, m.clock.Now())
	relays := m.ownRelays()
	isRelay := membership.Rank(relays, m.self.VM) >= 0
	before := m.clock.Now().Add(-m.Expiry.Std() / 2)
	var suspects []membership.Entry
	for _, entry := range m.table.LastSeenBefore(m.self.FailureDomain, before) {
		if isRelay || membership.Rank(relays, entry.VM) >= 0 {
			suspects = append(suspects, entry)
		}
	}
	return suspects[:min(len(suspects), maxSuspects)]
}

// checkVM probes a VM directly and through relays, and removes it if the last
// contact is older than the expiry.
func (m *Module) checkVM(ctx context.Context, entry membership.Entry) {
	var group sync.WaitGroup
	group.Go(func() { m.probe(ctx, entry.VM, entry.MeshAddress, probe{VM: entry.VM}) })
	for _, other := range m.relaysToProbe(entry) {
		group.Go(func() { m.probe(ctx, entry.VM, other.MeshAddress, probe{VM: entry.VM}) })
	}
	group.Wait()
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.clock.Now()
	seen := m.table.LastSeen(entry.VM)
	if !seen.IsZero() && now.Sub(seen) > m.Expiry.Std() {
		m.log.WithField("member", entry.VM).Warn("no contact with VM within the expiry; removing it from the membership table")
		m.table.Remove(entry.VM, now)
	}
}

// relaysToProbe returns relays of this node's failure domain for indirect probes
// of a VM.
func (m *Module) relaysToProbe(entry membership.Entry) []membership.Entry {
	m.mu.Lock()
	defer m.mu.Unlock()
	var relaysToProbe []membership.Entry
	for _, r := range m.ownRelays() {
		if r.VM != m.self.VM && r.VM != entry.VM {
			relaysToProbe = append(relaysToProbe, r)
		}
	}
	return relaysToProbe[:min(len(relaysToProbe), maxIndirectProbes)]
}

// probe sends a probe about a VM to one node and records the answer.
func (m *Module) probe(ctx context.Context, vm, address string, p probe) {
	answer, sent, err := m.sendProbe(ctx, address, p)
	if err != nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if answer.Entry != nil && answer.Entry.VM == vm {
		m.table.Observe(*answer.Entry, m.clock.Now())
	}
	if answer.Seen {
		m.table.RecordContact(vm, sent.Add(-answer.Age))
	}
}

func (m *Module) sendProbe(ctx context.Context, address string, p probe) (probeAnswer, time.Time, error) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	sent := m.clock.Now()
	var answer probeAnswer
	err := m.mesh.Exchange(ctx, mesh.Peer{Address: address}, mesh.KindProbe, p, &answer)
	return answer, sent, err
}

// unreachableDomains returns the other failure domains that this relay has had
// no contact with for the expiry and that are not hidden yet; nil if this node
// is not a relay.
func (m *Module) unreachableDomains() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.rank() < 0 {
		return nil
	}
	var unreachable []string
	for name, state := range m.domains {
		if m.clock.Since(state.seen) > m.Expiry.Std() && !m.table.Hidden(name) {
			unreachable = append(unreachable, name)
		}
	}
	return unreachable
}

// checkDomain hides a failure domain unless a relay of another failure domain
// has been in contact with it within the expiry.
func (m *Module) checkDomain(ctx context.Context, domain string) {
	for _, other := range m.relaysOfOtherDomains(domain) {
		answer, sent, err := m.sendProbe(ctx, other.MeshAddress, probe{Domain: domain})
		if err == nil && answer.Seen && m.clock.Since(sent)+answer.Age < m.Expiry.Std() {
			return
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.log.WithField("failure_domain", domain).Warn("failure domain is unreachable; hiding its VMs")
	m.table.HideDomain(domain)
}

// relaysOfOtherDomains returns relays of other failure domains for indirect
// probes of a failure domain.
func (m *Module) relaysOfOtherDomains(domain string) []membership.Entry {
	m.mu.Lock()
	defer m.mu.Unlock()
	var candidates []membership.Entry
	for _, name := range m.table.Domains() {
		if relays := m.table.Relays(name); name != domain && len(relays) > 0 && relays[0].VM != m.self.VM {
			candidates = append(candidates, relays[0])
		}
	}
	return candidates[:min(len(candidates), maxIndirectProbes)]
}

// serveProbe handles another node's probe.
func (m *Module) serveProbe(_ context.Context, _ mesh.Identity, p probe) (probeAnswer, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if p.VM == m.self.VM {
		entry := m.self
		return probeAnswer{Entry: &entry}, nil
	}
	seen := m.table.LastSeen(p.VM)
	if p.Domain != "" {
		if state, ok := m.domains[p.Domain]; ok && m.rank() >= 0 {
			seen = state.seen
		}
	}
	if seen.IsZero() {
		return probeAnswer{}, nil
	}
	return probeAnswer{Seen: true, Age: m.clock.Since(seen)}, nil
}
