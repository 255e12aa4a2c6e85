package roster

import "github.com/mangomast/mangomast/evacuation"

// OnEvacuations registers a function that is called with the set of evacuated
// failure domains of each node that exchanges entries with this one, and the node's
// VM. It must be called before the node starts; the function must not block.
func (m *Module) OnEvacuations(f func(set evacuation.Set, vm string)) {
	m.evacuationHandlers = append(m.evacuationHandlers, f)
}

// SetEvacuations sets the set of evacuated failure domains that this node's
// exchanges carry.
func (m *Module) SetEvacuations(set evacuation.Set) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.evacuations = set
}

// SpreadEvacuations notifies other nodes of a changed set, like SetConfigRevision.
func (m *Module) SpreadEvacuations(fromStore bool) { m.spread(fromStore) }

// handleEvacuations passes another node's set to the handlers. A node that follows
// no evacuations sends none.
func (m *Module) handleEvacuations(set evacuation.Set, vm string) {
	if !set.Known() {
		return
	}
	if err := set.Validate(); err != nil {
		m.log.WithError(err).WithField("peer", vm).Warn("ignoring an invalid set of evacuations of another node")
		return
	}
	for _, f := range m.evacuationHandlers {
		f(set, vm)
	}
}
