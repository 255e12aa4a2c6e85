package membership

import (
	"time"

	"github.com/zeebo/xxh3"

	"github.com/mangomast/mangomast/membership"
	"github.com/mangomast/mangomast/mesh"
)

// Position returns the relays of this node's failure domain, the first one
// first, and this node's rank among them; -1 if it is no relay.
func (m *Module) Position() (relays []membership.Entry, rank int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	relays = m.ownRelays()
	return relays, membership.Rank(relays, m.self.VM)
}

// OtherRelays returns the relays of the other failure domains that a relay
// knows, also of those that it cannot hear.
func (m *Module) OtherRelays() map[string][]membership.Entry {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.otherRelays()
}

// OwnDomain returns the VMs of this node's failure domain, and those that were
// removed after the time.
func (m *Module) OwnDomain(after time.Time) (members, missing []membership.Entry) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.table.Domain(m.self.FailureDomain), m.table.Missing(m.self.FailureDomain, after)
}

// Held returns the lowest revision held by a VM of this node's failure domain,
// and whether a VM was removed after the time.
func (m *Module) Held(after time.Time) (lowest int64, missing bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.table.Held(m.self.FailureDomain, after)
}

// Replaced reports whether a later incarnation of the VM's node was heard of
// that listens on the same mesh address, so that the earlier one has ended.
func (m *Module) Replaced(vm string, incarnation uint64, meshAddress string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	entry, known := m.table.Latest(vm)
	return known && entry.Incarnation > incarnation && entry.MeshAddress == meshAddress
}

// HearAgain takes in that another node of the own failure domain, whose entry
// is known, asked a question and what revision it holds; a report then need not
// say so.
func (m *Module) HearAgain(from mesh.Identity, held int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if from.FailureDomain == m.self.FailureDomain && m.table.HearAgain(from.VM, from.Incarnation, 0, held, m.clock.Now()) {
		m.publish()
	}
}

// Mark is the number of the last change that a node knows, which it tells
// others with its answers.
func (m *Module) Mark() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.table.Sequence()
}

// TakeMark takes in the mark of another node that answered a question. If it
// has changes that this node asked it for up to an earlier one, they are asked
// for at once.
func (m *Module) TakeMark(vm string, incarnation, mark uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.table.Vouch(vm, m.clock.Now())
	relays := m.ownRelays()
	if m.rank() >= 0 || len(relays) == 0 || relays[m.primary%len(relays)].VM != vm {
		return
	}
	if known := m.cursors[vm]; known == (cursor{Incarnation: incarnation, Sequence: mark}) {
		return
	}
	m.behind = true
	m.wake()
}

// Spread returns a small number that differs from VM to VM. Nodes that may ask
// any of several relays start with the one at that number, so that the relays
// share the load.
func Spread(vm string) int { return int(xxh3.HashString(vm) % membership.RelaysPerDomain) }
