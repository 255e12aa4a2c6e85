package membership

import (
	"context"
	"sync"
	"time"

	"github.com/mangomast/mangomast/membership"
	"github.com/mangomast/mangomast/mesh"
)

const (
	// maxProbes bounds the VMs that are looked after in one round.
	maxProbes = 16
	// witnessesAsked is the number of other nodes that are asked about a VM.
	witnessesAsked = 2
)

// probe asks a node about a VM or a whole failure domain; it asks the VM's
// own node whether it lives.
type probe struct {
	VM     string `cbor:"1,keyasint,omitempty"`
	Domain string `cbor:"2,keyasint,omitempty"`
}

// probeAnswer answers a probe.
type probeAnswer struct {
	// Entry is set by the VM's own node.
	Entry *membership.Entry `cbor:"1,keyasint,omitempty"`
	// Heard is true if the answering node heard it; Age is how long ago.
	Heard bool          `cbor:"2,keyasint,omitempty"`
	Age   time.Duration `cbor:"3,keyasint,omitempty"`
}

// suspect looks after the VMs and failure domains that were unheard: it asks
// the VM itself and others before it removes it.
func (m *Module) suspect(ctx context.Context) {
	var group sync.WaitGroup
	for _, entry := range m.unheardVMs() {
		group.Go(func() { m.examine(ctx, entry) })
	}
	for _, domain := range m.unheardDomains() {
		group.Go(func() { m.examineDomain(ctx, domain) })
	}
	group.Wait()
}

// unheardVMs returns the VMs of the own failure domain to examine. A node
// that is no relay looks after its relays only.
func (m *Module) unheardVMs() []membership.Entry {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.table.Vouch(m.self.VM, m.clock.Now())
	relays := m.ownRelays()
	relay := membership.Rank(relays, m.self.VM) >= 0
	before := m.clock.Now().Add(-m.Expiry.Std() / 2)
	var suspects []membership.Entry
	for _, entry := range m.table.Unheard(m.self.FailureDomain, before) {
		if relay || membership.Rank(relays, entry.VM) >= 0 {
			suspects = append(suspects, entry)
		}
	}
	return suspects[:min(len(suspects), maxProbes)]
}

func (m *Module) examine(ctx context.Context, entry membership.Entry) {
	var group sync.WaitGroup
	group.Go(func() { m.probe(ctx, entry.VM, entry.MeshAddress, probe{VM: entry.VM}) })
	for _, other := range m.others(entry) {
		group.Go(func() { m.probe(ctx, entry.VM, other.MeshAddress, probe{VM: entry.VM}) })
	}
	group.Wait()
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.clock.Now()
	heard := m.table.HeardAt(entry.VM)
	if !heard.IsZero() && now.Sub(heard) > m.Expiry.Std() {
		m.log.WithField("member", entry.VM).Warn("VM was unheard for too long; taking it for gone")
		m.table.Remove(entry.VM, now)
	}
}

// others returns relays of the own failure domain to ask about a VM.
func (m *Module) others(entry membership.Entry) []membership.Entry {
	m.mu.Lock()
	defer m.mu.Unlock()
	var others []membership.Entry
	for _, r := range m.ownRelays() {
		if r.VM != m.self.VM && r.VM != entry.VM {
			others = append(others, r)
		}
	}
	return others[:min(len(others), witnessesAsked)]
}

// probe asks one node about a VM and notes the answer.
func (m *Module) probe(ctx context.Context, vm, address string, p probe) {
	answer, sent, err := m.sendProbe(ctx, address, p)
	if err != nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if answer.Entry != nil && answer.Entry.VM == vm {
		m.table.Hear(*answer.Entry, m.clock.Now())
	}
	if answer.Heard {
		m.table.Vouch(vm, sent.Add(-answer.Age))
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

// unheardDomains returns the failure domains that this relay cannot hear.
func (m *Module) unheardDomains() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.rank() < 0 {
		return nil
	}
	var unheard []string
	for name, state := range m.domains {
		if m.clock.Since(state.heard) > m.Expiry.Std() && !m.table.Hidden(name) {
			unheard = append(unheard, name)
		}
	}
	return unheard
}

func (m *Module) examineDomain(ctx context.Context, domain string) {
	for _, other := range m.domainWitnesses(domain) {
		answer, sent, err := m.sendProbe(ctx, other.MeshAddress, probe{Domain: domain})
		if err == nil && answer.Heard && m.clock.Since(sent)+answer.Age < m.Expiry.Std() {
			return
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.log.WithField("failure_domain", domain).Warn("failure domain is unheard; hiding its VMs")
	m.table.HideDomain(domain)
}

// domainWitnesses returns relays of further failure domains to ask about one.
func (m *Module) domainWitnesses(domain string) []membership.Entry {
	m.mu.Lock()
	defer m.mu.Unlock()
	var witnesses []membership.Entry
	for _, name := range m.table.Domains() {
		if relays := m.table.Relays(name); name != domain && len(relays) > 0 && relays[0].VM != m.self.VM {
			witnesses = append(witnesses, relays[0])
		}
	}
	return witnesses[:min(len(witnesses), witnessesAsked)]
}

// serveProbe answers another node's probe.
func (m *Module) serveProbe(_ context.Context, _ mesh.Identity, p probe) (probeAnswer, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if p.VM == m.self.VM {
		entry := m.self
		return probeAnswer{Entry: &entry}, nil
	}
	heard := m.table.HeardAt(p.VM)
	if p.Domain != "" {
		if state, ok := m.domains[p.Domain]; ok && m.rank() >= 0 {
			heard = state.heard
		}
	}
	if heard.IsZero() {
		return probeAnswer{}, nil
	}
	return probeAnswer{Heard: true, Age: m.clock.Since(heard)}, nil
}
