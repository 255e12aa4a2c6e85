package roster

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/mangomast/mangomast/evacuation"
	"github.com/mangomast/mangomast/kernel"
	"github.com/mangomast/mangomast/membership"
	"github.com/mangomast/mangomast/mesh"
)

// position is a place in a node's sequence of changes.
type position struct {
	// Incarnation is that of the node; a later one starts a new sequence.
	Incarnation uint64 `cbor:"1,keyasint"`
	Sequence    uint64 `cbor:"2,keyasint"`
}

// digest is the request of an exchange: the sender's own entry and the receiver's
// changes that it knows.
type digest struct {
	Self membership.Entry `cbor:"1,keyasint"`
	// Watches is true while the sender has a working watch of the configuration.
	Watches bool `cbor:"3,keyasint,omitempty"`
	// Known is the position up to which the sender has the receiver's changes;
	// zero if it has none.
	Known position `cbor:"4,keyasint,omitzero"`
	// Announcement is true if the sender does not ask for changes.
	Announcement bool `cbor:"5,keyasint,omitempty"`
	// Evacuations is the sender's set of evacuated failure domains.
	Evacuations evacuation.Set `cbor:"6,keyasint,omitzero"`
	// ListingRevision and ListingAge are those of the store's listing that the
	// sender knows; 0 if it knows none.
	ListingRevision int64         `cbor:"7,keyasint,omitempty"`
	ListingAge      time.Duration `cbor:"8,keyasint,omitempty"`
}

// answer is the response of an exchange: the receiver's own entry and, unless
// the request is an announcement, its changes after the position in the request.
type answer struct {
	Self    membership.Entry   `cbor:"1,keyasint"`
	Entries []membership.Entry `cbor:"2,keyasint,omitempty"`
	// Watches is true while the receiver has a working watch of the
	// configuration.
	Watches bool `cbor:"3,keyasint,omitempty"`
	// Predecessor is the receiver's entry of an earlier incarnation of the
	// sender, if this is the first exchange with the present one.
	Predecessor *membership.Entry `cbor:"4,keyasint,omitempty"`
	// Position is the receiver's position after Entries.
	Position position `cbor:"5,keyasint,omitzero"`
	// Evacuations is the receiver's set of evacuated failure domains.
	Evacuations evacuation.Set `cbor:"6,keyasint,omitzero"`
	// Listing is what the receiver knows of the store's listing.
	Listing membership.ForwardedListing `cbor:"7,keyasint,omitzero"`
}

// gossip exchanges entries with one other node in each round: with one that lists
// the store, if the listing is old; with a node that the store does not list, if
// there is one; with a VM that watches the
// configuration or may do so, if none has recently reported it; otherwise with a
// random correspondent.
func (m *Module) gossip(ctx context.Context) error {
	for {
		interval := m.Gossip.Std()
		if m.storeUnavailable.Load() || m.startsShared() {
			interval /= unavailableGossipFactor
		}
		if err := kernel.Sleep(ctx, m.clock, interval); err != nil {
			return err
		}
		if peer, ok := m.choosePeer(); ok {
			go m.exchange(peer)
		}
	}
}

func (m *Module) choosePeer() (membership.Entry, bool) {
	m.mu.Lock()
	unlisted := m.roster.Unlisted()
	m.mu.Unlock()
	correspondents := m.regionalCorrespondents()
	if m.storeUnavailable.Load() {
		// Contact with the other domains is the proof that this node is not cut
		// off, in place of its lease.
		correspondents = m.leastRecentDomain(m.correspondents())
	}
	for _, candidates := range [][]membership.Entry{m.listersToQuery(), unlisted, m.watchersToQuery(), m.mostlyRegional(correspondents), correspondents} {
		if len(candidates) == 0 {
			continue
		}
		if peer := candidates[rand.IntN(len(candidates))]; peer.VM != m.mesh.Self().VM {
			return peer, true
		}
	}
	return membership.Entry{}, false
}

// leastRecentDomain returns the peers of the failure domain that this node has not
// asked for the longest time.
func (m *Module) leastRecentDomain(peers []membership.Entry) []membership.Entry {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(peers) == 0 {
		return nil
	}
	oldest := slices.MinFunc(peers, func(a, b membership.Entry) int {
		return m.domainAskedAt[a.FailureDomain].Compare(m.domainAskedAt[b.FailureDomain])
	}).FailureDomain
	m.domainAskedAt[oldest] = m.clock.Now()
	return slices.DeleteFunc(peers, func(e membership.Entry) bool { return e.FailureDomain != oldest })
}

// watchersToQuery returns the VMs that may have a working watch, if none has
// recently reported one, and nil otherwise.
func (m *Module) watchersToQuery() []membership.Entry {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.watchAssignment.ToQuery(m.rankedGroup(), m.self.VM, m.Gossip.Std()/2, m.clock.Now())
}

// listersToQuery returns the VMs of which to ask one for the listing of the store;
// nil if this node lists the store itself or knows a recent listing.
func (m *Module) listersToQuery() []membership.Entry {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.rankedGroup()
	if !m.sharesListings {
		return nil
	}
	if m.starting.Load() {
		// The relays list the fleet meanwhile.
		return slices.DeleteFunc(membership.Relays(m.domain), func(e membership.Entry) bool { return e.VM == m.self.VM })
	}
	return membership.ListersToQuery(m.domain, m.peers, m.self.VM, m.listingAge())
}

// startsShared reports whether this node is starting in a fleet that shares
// listings.
func (m *Module) startsShared() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.rankedGroup()
	return m.starting.Load() && m.sharesListings
}

// mostlyRegional returns the peers of this node's region in most rounds, to
// limit traffic between regions; in the remaining rounds it returns nil.
func (m *Module) mostlyRegional(peers []membership.Entry) []membership.Entry {
	const crossRegionShare = 0.25
	if rand.Float64() < crossRegionShare {
		return nil
	}
	return slices.DeleteFunc(slices.Clone(peers), func(e membership.Entry) bool { return e.Region != m.mesh.Self().Region })
}

// exchange sends this node's entry to the peer, asks for its changes and merges
// them.
func (m *Module) exchange(peer membership.Entry) { m.send(peer, false) }

// announceTo sends this node's entry to the peer.
func (m *Module) announceTo(peer membership.Entry) { m.send(peer, true) }

func (m *Module) send(peer membership.Entry, announcement bool) {
	ctx, cancel := context.WithTimeout(context.Background(), exchangeTimeout)
	defer cancel()
	var got answer
	err := m.mesh.Exchange(ctx, mesh.Peer{VM: peer.VM, Address: peer.MeshAddress}, mesh.KindRoster, m.digestFor(peer.VM, announcement), &got)
	if err != nil {
		m.metrics.exchanges.WithLabelValues("failed").Inc()
		m.log.WithError(err).WithField("peer", peer.VM).Debug("exchange with peer failed")
		return
	}
	m.metrics.exchanges.WithLabelValues("ok").Inc()
	m.handleEvacuations(got.Evacuations, peer.VM)
	m.mergeEntries(got.Self, got.Watches, got.Entries)
	if !announcement {
		m.advance(peer.VM, got.Position)
		m.mergeForwardedListing(peer.VM, got.Listing)
	}
	if got.Predecessor != nil {
		m.handlePredecessor(*got.Predecessor)
	}
	m.markPeersAnswered()
}

// digestFor returns the request of an exchange with the VM.
func (m *Module) digestFor(vm string, announcement bool) digest {
	m.mu.Lock()
	defer m.mu.Unlock()
	request := digest{Self: m.self, Watches: m.watching, Known: m.known[vm], Announcement: announcement, Evacuations: m.evacuations}
	m.rankedGroup()
	if m.sharesListings && !m.incomplete[vm] {
		request.ListingAge, _ = m.roster.ListingAge(m.clock.Now())
		request.ListingRevision = m.roster.ListingRevision()
	}
	return request
}

// mergeForwardedListing merges what the peer knows of the store's listing, unless
// this node lists the store itself. A starting node may not know yet that it does.
func (m *Module) mergeForwardedListing(vm string, forwarded membership.ForwardedListing) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.rankedGroup()
	if !m.sharesListings && m.Loaded() {
		return
	}
	now := m.clock.Now()
	changed, current := m.roster.MergeForwardedListing(forwarded, now)
	if !current && !m.incomplete[vm] {
		// The next exchange requests the listing in full, once.
		m.incomplete[vm] = true
		delete(m.known, vm)
		return
	}
	delete(m.incomplete, vm)
	if m.roster.Expire(m.self.VM, now) || changed {
		m.publish()
	}
	if _, ok := m.roster.ListingAge(now); ok {
		m.loaded.Store(true)
	}
}

// advance records the position up to which this node has the VM's changes.
// Exchanges may overlap, so a lower position of the same incarnation is ignored.
func (m *Module) advance(vm string, to position) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if from := m.known[vm]; from.Incarnation != to.Incarnation || from.Sequence < to.Sequence {
		m.known[vm] = to
	}
}

func (m *Module) serveExchange(_ context.Context, _ mesh.Identity, theirs digest) (answer, error) {
	reply := answer{Predecessor: m.predecessor(theirs.Self)}
	m.handleEvacuations(theirs.Evacuations, theirs.Self.VM)
	m.mergeEntries(theirs.Self, theirs.Watches, nil)
	m.mu.Lock()
	defer m.mu.Unlock()
	reply.Self, reply.Watches, reply.Evacuations = m.self, m.watching, m.evacuations
	if theirs.Announcement {
		return reply, nil
	}
	known := theirs.Known
	if known.Incarnation != m.self.Incarnation {
		known = position{}
	}
	now := m.clock.Now()
	request := membership.Request{Since: known.Sequence, ListingRevision: theirs.ListingRevision, ListingAge: theirs.ListingAge}
	reply.Position = position{Incarnation: m.self.Incarnation, Sequence: m.roster.Sequence()}
	reply.Listing = m.roster.ListingNews(request, now)
	reply.Entries = slices.DeleteFunc(m.roster.News(request, now), func(e membership.Entry) bool {
		return e.VM == m.self.VM || e.VM == theirs.Self.VM
	})
	return reply, nil
}

// predecessor returns the entry of the VM's earlier incarnation, or nil.
func (m *Module) predecessor(self membership.Entry) *membership.Entry {
	m.mu.Lock()
	defer m.mu.Unlock()
	predecessor, ok := m.roster.Predecessor(self)
	if !ok {
		return nil
	}
	return &predecessor
}

// mergeEntries merges another node's own entry, the state of its watch and the
// entries that it forwarded, and calls the entry handlers with its own entry.
func (m *Module) mergeEntries(self membership.Entry, watching bool, forwarded []membership.Entry) {
	now := m.clock.Now()
	if err := self.Validate(now); err != nil {
		m.log.WithError(err).Warn("ignoring an exchange with a node whose own entry is invalid")
		return
	}
	m.mergeValid(self, watching, forwarded, now)
	for _, f := range m.entryHandlers {
		f(self)
	}
}

// mergeValid merges another node's own entry, which is valid, and those that it
// forwarded, if they are.
func (m *Module) mergeValid(self membership.Entry, watching bool, forwarded []membership.Entry, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.watchAssignment.Observe(self.VM, watching, now)
	changed := m.roster.Observe(self, now)
	for _, entry := range forwarded {
		if entry.VM != m.self.VM && entry.Validate(now) == nil {
			changed = m.roster.Merge(entry, now) || changed
		}
	}
	if changed {
		m.publish()
	}
}
