package membership

import (
	"time"

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
	relays := map[string][]membership.Entry{}
	for _, domain := range m.table.Domains() {
		if domain != m.self.FailureDomain {
			relays[domain] = membership.Relays(m.table.Known(domain))
		}
	}
	return relays
}

// OwnDomain returns the VMs of this node's failure domain, and those that were
// removed after the time.
func (m *Module) OwnDomain(after time.Time) (members, missing []membership.Entry) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.table.Domain(m.self.FailureDomain), m.table.Missing(m.self.FailureDomain, after)
}
