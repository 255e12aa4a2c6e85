package membership

import (
	"time"

	"github.com/zeebo/xxh3"

	"github.com/mangomast/mangomast/membership"
	"github.com/mangomast/mangomast/mesh"
)

// Position returns the relays of this node's failure domain in rank order, and
// this node's rank among them; -1 if it is not a relay.
func (m *Module) Position() (relays []membership.Entry, rank int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	relays = m.ownRelays()
	return relays, membership.Rank(relays, m.self.VM)
}

// OtherRelays returns the relays of the other failure domains by domain,
// including those of unreachable domains. Only relays know all domains.
func (m *Module) OtherRelays() map[string][]membership.Entry {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.otherRelays()
}

// OwnDomain returns the live VMs of this node's failure domain, and the VMs
// that were removed from it after the given time.
func (m *Module) OwnDomain(after time.Time) (members, missing []membership.Entry) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.table.Domain(m.self.FailureDomain), m.table.RemovedAfter(m.self.FailureDomain, after)
}

// Held returns the lowest revision applied on a live VM of this node's failure
// domain, and whether a VM was removed after the given time.
func (m *Module) Held(after time.Time) (lowest int64, missing bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.table.Held(m.self.FailureDomain, after)
}

// Replaced reports whether the table has a later incarnation of the VM's node
// on the same mesh address, which implies that the earlier one has stopped.
func (m *Module) Replaced(vm string, incarnation uint64, meshAddress string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	entry, known := m.table.Latest(vm)
	return known && entry.Incarnation > incarnation && entry.MeshAddress == meshAddress
}

// Heartbeat processes a request of another module as a heartbeat of the sender
// with the revision it holds, if the sender is in this node's failure domain
// and its entry is known. The sender then needs no separate report.
func (m *Module) Heartbeat(from mesh.Identity, held int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if from.FailureDomain == m.self.FailureDomain && m.table.Heartbeat(from.VM, from.Incarnation, 0, held, m.clock.Now()) {
		m.publish()
	}
}

// ChangeSequence returns the sequence number of the last change in the table.
// Answers to other nodes carry it.
func (m *Module) ChangeSequence() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.table.Sequence()
}

// HandleChangeSequence processes the sequence number in another node's answer.
// If the node is the relay that this node queries for changes, and it has
// changes after this node's cursor, the next round starts immediately and
// requests them.
func (m *Module) HandleChangeSequence(vm string, incarnation, sequence uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.table.RecordContact(vm, m.clock.Now())
	relays := m.ownRelays()
	if m.rank() >= 0 || len(relays) == 0 || relays[m.primaryRelay%len(relays)].VM != vm {
		return
	}
	if known := m.cursors[vm]; known == (cursor{Incarnation: incarnation, Sequence: sequence}) {
		return
	}
	m.relayHasChanges = true
	m.wake()
}

// RelayOffset hashes a VM to an index below RelaysPerDomain. Nodes that may
// query any of several relays start at that index, which balances load among
// the relays.
func RelayOffset(vm string) int { return int(xxh3.HashString(vm) % membership.RelaysPerDomain) }
