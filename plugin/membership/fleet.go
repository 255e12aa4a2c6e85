package membership

import (
	"time"

	"github.com/zeebo/xxh3"

	"github.com/mangomast/mangomast/membership"
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

// Spread returns a small number that differs from VM to VM. Nodes that may ask
// any of several relays start with the one at that number, so that the relays
// share the load.
func Spread(vm string) int { return int(xxh3.HashString(vm) % membership.RelaysPerDomain) }
