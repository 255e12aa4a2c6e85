package membership

import (
	"slices"
	"time"

	"github.com/zeebo/xxh3"
)

const (
	// listingInterval is the time between two listings of the store by the first
	// relay of a failure domain.
	listingInterval = 2 * time.Second
	// listingTakeover is the additional age of the listing after which the next
	// relay lists the store, and after the last one the other VMs.
	listingTakeover = 1500 * time.Millisecond
	// maxListingTakeovers is the number of VMs of a failure domain that, on
	// average, list the store at once in place of its relays. Some of them may have
	// lost the store as well.
	maxListingTakeovers = 4
	// maxFollowedAge is the age of the listing up to which a node waits for its
	// regular exchanges. After it, the node asks a relay of its failure domain.
	maxFollowedAge = 3 * time.Second
	// listingSlack covers the time between a change of an entry and its write to
	// the store, and the age of a stale listing.
	listingSlack = 10 * time.Second
)

// listing identifies a listing of the store.
type listing struct {
	// revision is that of the store; 0 before the first listing.
	revision int64
	// at is when the store was listed.
	at time.Time
	// sum is the ListingSum of the records when the roster's sequence was
	// sumSequence.
	sum, sumSequence uint64
}

// ForwardedListing is what one node tells another of the store's listing, so that
// the other does not have to list the store itself. The load that it answers is
// that of listings: listed by every node, they grow with the square of the fleet.
type ForwardedListing struct {
	// Revision is the store's revision of the listing; 0 if there was none.
	Revision int64 `cbor:"1,keyasint,omitempty"`
	// Age is how long ago the store was listed.
	Age time.Duration `cbor:"2,keyasint,omitempty"`
	// Sum is a hash of the names of all listed VMs.
	Sum uint64 `cbor:"3,keyasint,omitempty"`
	// Complete is true if Listed names all listed VMs; otherwise Listed and
	// Unlisted are changes.
	Complete bool     `cbor:"4,keyasint,omitempty"`
	Listed   []string `cbor:"5,keyasint,omitempty"`
	Unlisted []string `cbor:"6,keyasint,omitempty"`
}

// SetListing records that the roster reflects a listing of the whole fleet, which
// was merged before.
func (r *Roster) SetListing(entries []Entry, revision int64, at time.Time) {
	r.listing.revision, r.listing.at = revision, at
	for _, entry := range entries {
		record := r.records[entry.VM]
		if record != nil && record.storedAt == 0 && !entry.Newer(record.entry) && !record.entry.Newer(entry) {
			record.storedAt = revision
		}
	}
}

// ListingRevision returns the store's revision of the listing that the roster
// reflects; 0 if there is none.
func (r *Roster) ListingRevision() int64 { return r.listing.revision }

// ListingAge returns how long ago the store was listed, and false if this node
// knows of no listing of the whole fleet.
func (r *Roster) ListingAge(now time.Time) (time.Duration, bool) {
	return max(0, now.Sub(r.listing.at)), !r.listing.at.IsZero()
}

// Request states what a node that asks another for changes already has.
type Request struct {
	// Since is the answering roster's sequence up to which the node has the
	// changes; 0 if it has none.
	Since uint64
	// ListingRevision is the store's revision of the listing that the node knows, of
	// the age ListingAge; 0 if it knows none. It needs neither older changes nor
	// entries that were in the store at that revision.
	ListingRevision int64
	ListingAge      time.Duration
}

// changedSince returns a function that reports whether a change of the sequence
// and the time is news to the node.
func (r Request) changedSince(now time.Time) func(sequence uint64, at time.Time) bool {
	oldest := now.Add(-r.ListingAge - listingSlack)
	return func(sequence uint64, at time.Time) bool {
		if r.Since == 0 && r.ListingRevision != 0 {
			return at.After(oldest)
		}
		return sequence > r.Since
	}
}

// News returns the entries of members that are news to the node that asks, ordered
// by name.
func (r *Roster) News(request Request, now time.Time) []Entry {
	isNews := request.changedSince(now)
	return r.collect(func(record *rosterRecord) bool {
		if request.Since == 0 && record.storedAt != 0 && record.storedAt <= request.ListingRevision {
			return false
		}
		return isNews(record.changedAt, record.changedTime)
	})
}

// ListingNews returns the listing as far as it is news to the node that asks.
func (r *Roster) ListingNews(request Request, now time.Time) ForwardedListing {
	age, ok := r.ListingAge(now)
	if !ok {
		return ForwardedListing{}
	}
	forwarded := ForwardedListing{
		Revision: r.listing.revision, Age: age, Sum: r.listingSum(),
		Complete: request.Since == 0 && request.ListingRevision == 0,
	}
	isNews := request.changedSince(now)
	for vm, record := range r.records {
		listed := record.unlistedSince.IsZero()
		switch {
		case listed && (forwarded.Complete || isNews(record.listedChangedAt, record.listedChangedTime)):
			forwarded.Listed = append(forwarded.Listed, vm)
		case !listed && !forwarded.Complete && isNews(record.listedChangedAt, record.listedChangedTime):
			forwarded.Unlisted = append(forwarded.Unlisted, vm)
		}
	}
	slices.Sort(forwarded.Listed)
	slices.Sort(forwarded.Unlisted)
	return forwarded
}

// MergeForwardedListing merges a listing that another node forwarded after its
// entries. It reports whether the roster changed, and whether it now reflects that
// listing or a newer one. If it does not, changes are missing, and the caller has
// to request the listing in full.
func (r *Roster) MergeForwardedListing(forwarded ForwardedListing, now time.Time) (changed, current bool) {
	if forwarded.Revision < r.listing.revision || forwarded.Revision == 0 {
		return false, true
	}
	if forwarded.Complete {
		r.unlistOthers(forwarded.Listed, now)
	}
	for _, vm := range forwarded.Listed {
		if record := r.records[vm]; record != nil {
			r.setListed(record, true, now)
			changed = record.restore() || changed
		}
	}
	for _, vm := range forwarded.Unlisted {
		if record := r.records[vm]; record != nil {
			r.setListed(record, false, now)
		}
	}
	if r.listingSum() != forwarded.Sum {
		return changed, false
	}
	if at := now.Add(-forwarded.Age); at.After(r.listing.at) {
		r.listing.at = at
	}
	r.listing.revision = forwarded.Revision
	return changed, true
}

// unlistOthers marks all VMs but the named ones as unlisted.
func (r *Roster) unlistOthers(names []string, now time.Time) {
	listed := make(map[string]bool, len(names))
	for _, vm := range names {
		listed[vm] = true
	}
	for vm, record := range r.records {
		if !listed[vm] {
			r.setListed(record, false, now)
		}
	}
}

// listingSum returns a hash of the names of the listed VMs that does not depend on
// their order.
func (r *Roster) listingSum() uint64 {
	if r.listing.sumSequence == r.sequence {
		return r.listing.sum
	}
	sum := uint64(0)
	for vm, record := range r.records {
		if record.unlistedSince.IsZero() {
			sum += xxh3.HashString(vm)
		}
	}
	r.listing.sum, r.listing.sumSequence = sum, r.sequence
	return sum
}

// SharesListings reports whether the nodes of a fleet take the listing of the store
// from the relays of their failure domains. In a small fleet each node lists the
// store itself.
func SharesListings(entries []Entry) bool { return len(entries) > maxDirectPeers+1 }

// ListingDue reports whether a node has to list the store, given the VMs of its
// failure domain and the age of the listing that it knows. The relays list it, each
// later than the one before it, and if none does, a few of the other VMs, by
// chance, a random number in [0, 1). A node that is not in the domain counts as one
// of the others.
func ListingDue(domain []Entry, self string, age time.Duration, chance float64) bool {
	if rank := Rank(Relays(domain), self); rank >= 0 {
		return age >= listingInterval+time.Duration(rank)*listingTakeover
	}
	return age >= listingInterval+RelaysPerDomain*listingTakeover && chance*float64(len(domain)) < maxListingTakeovers
}

// ListersToQuery returns the VMs of which a node should ask one for the listing of
// the store, given its age: the relays of its failure domain or, if they have had
// none for long, any of its correspondents. A relay asks those that list the store
// before it. ListersToQuery returns nil if the listing is recent.
func ListersToQuery(domain, correspondents []Entry, self string, age time.Duration) []Entry {
	relays := Relays(domain)
	rank := Rank(relays, self)
	recent := maxFollowedAge
	if rank > 0 {
		recent = listingInterval
	}
	switch {
	case age <= recent:
		return nil
	case age > listingInterval+RelaysPerDomain*listingTakeover:
		return correspondents
	case rank > 0:
		return relays[:rank]
	}
	return slices.DeleteFunc(relays, func(e Entry) bool { return e.VM == self })
}
