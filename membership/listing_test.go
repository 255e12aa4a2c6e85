package membership

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// listingFleet is a fleet whose nodes decide with ListingDue and ListersToQuery in
// steps of virtual time. Exchanges take no time.
type listingFleet struct {
	now      time.Time
	random   *rand.Rand
	revision int64
	// store has the listed entries; cut are the VMs that cannot reach it.
	store map[string]Entry
	cut   map[string]bool
	nodes map[string]*listingNode
	// listings and forwarded count listings of the store, and entries and names in
	// exchanges.
	listings, forwarded int
}

type listingNode struct {
	self      Entry
	roster    *Roster
	startedAt time.Time
	known     map[string]uint64
	full      map[string]bool
	// domain and correspondents are of the last change and the number of the
	// members at computedAt.
	computedAt             [2]uint64
	domain, correspondents []Entry
}

// compute updates domain and correspondents after a change of the roster.
func (n *listingNode) compute() {
	at := [2]uint64{}
	for _, record := range n.roster.records {
		if record.removed.IsZero() {
			at[0], at[1] = max(at[0], record.changedAt), at[1]+1
		}
	}
	if at == n.computedAt {
		return
	}
	n.computedAt = at
	entries := n.roster.Entries()
	n.correspondents, n.domain = Correspondents(entries, n.self), nil
	for _, entry := range entries {
		if entry.FailureDomain == n.self.FailureDomain && entry.State != Gone {
			n.domain = append(n.domain, entry)
		}
	}
}

func newListingFleet(entries []Entry) *listingFleet {
	f := &listingFleet{
		now: time.Unix(1000, 0), revision: 1, random: rand.New(rand.NewPCG(1, 2)), store: map[string]Entry{},
		cut: map[string]bool{}, nodes: map[string]*listingNode{},
	}
	for _, entry := range entries {
		f.store[entry.VM] = entry
	}
	for _, entry := range entries {
		f.start(entry)
	}
	return f
}

// start starts a node that has listed its failure domain.
func (f *listingFleet) start(entry Entry) {
	n := &listingNode{
		self: entry, startedAt: f.now, known: map[string]uint64{}, full: map[string]bool{},
		roster: NewRoster(RosterOptions{MissingAfter: 2 * time.Second, ForgetAfter: time.Minute}),
	}
	n.roster.Observe(entry, f.now)
	n.roster.MergeDomainListing(entry.FailureDomain, f.list(entry.FailureDomain), f.now)
	f.nodes[entry.VM] = n
	f.store[entry.VM] = entry
	f.revision++
}

// lose ends a node; its entry leaves the store at once.
func (f *listingFleet) lose(vm string) {
	delete(f.nodes, vm)
	delete(f.store, vm)
	f.revision++
}

func (f *listingFleet) list(domain string) []Entry {
	var entries []Entry
	for _, entry := range f.store {
		if domain == "" || entry.FailureDomain == domain {
			entries = append(entries, entry)
		}
	}
	return entries
}

func (f *listingFleet) age(n *listingNode) time.Duration {
	if age, ok := n.roster.ListingAge(f.now); ok {
		return age
	}
	return f.now.Sub(n.startedAt) + 4500*time.Millisecond
}

// run advances the time; each node exchanges with another one once a second.
func (f *listingFleet) run(duration time.Duration) {
	const step = 500 * time.Millisecond
	for end := f.now.Add(duration); f.now.Before(end); f.now = f.now.Add(step) {
		i := 0
		for _, entry := range fleetNames(f.nodes) {
			n := f.nodes[entry]
			f.listIfDue(n)
			if i++; (f.now.UnixMilli()/step.Milliseconds()+int64(i))%2 == 0 {
				f.exchange(n)
			}
		}
	}
}

func fleetNames(nodes map[string]*listingNode) []string {
	names := []string{}
	for _, entry := range sortedEntries(nodes) {
		names = append(names, entry.VM)
	}
	return names
}

func sortedEntries(nodes map[string]*listingNode) []Entry {
	r := NewRoster(RosterOptions{})
	for _, n := range nodes {
		r.Observe(n.self, time.Time{})
	}
	return r.Entries()
}

func (f *listingFleet) listIfDue(n *listingNode) {
	n.compute()
	if !ListingDue(n.domain, n.self.VM, f.age(n), f.random.Float64()) {
		return
	}
	f.listings++
	if f.cut[n.self.VM] {
		return
	}
	entries := f.list("")
	n.roster.MergeListing(entries, f.now)
	n.roster.SetListing(entries, f.revision, f.now)
	n.roster.Expire(n.self.VM, f.now)
}

func (f *listingFleet) exchange(n *listingNode) {
	n.compute()
	candidates := ListersToQuery(n.domain, n.correspondents, n.self.VM, f.age(n))
	if len(candidates) == 0 {
		candidates = RegionalCorrespondents(n.correspondents, n.domain, n.self)
	}
	if len(candidates) == 0 {
		return
	}
	peer := f.nodes[candidates[f.random.IntN(len(candidates))].VM]
	if peer == nil {
		return
	}
	request := Request{Since: n.known[peer.self.VM]}
	if !n.full[peer.self.VM] {
		request.ListingAge, _ = n.roster.ListingAge(f.now)
		request.ListingRevision = n.roster.ListingRevision()
	}
	entries, listing := peer.roster.News(request, f.now), peer.roster.ListingNews(request, f.now)
	f.forwarded += len(entries) + len(listing.Listed) + len(listing.Unlisted)
	n.roster.Observe(peer.self, f.now)
	peer.roster.Observe(n.self, f.now)
	for _, entry := range entries {
		n.roster.Merge(entry, f.now)
	}
	n.known[peer.self.VM] = peer.roster.Sequence()
	_, current := n.roster.MergeForwardedListing(listing, f.now)
	if !current && !n.full[peer.self.VM] {
		n.full[peer.self.VM] = true
		delete(n.known, peer.self.VM)
		return
	}
	delete(n.full, peer.self.VM)
	n.roster.Expire(n.self.VM, f.now)
}

// oldest returns the greatest age of the listing that any node knows.
func (f *listingFleet) oldest() time.Duration {
	oldest := time.Duration(0)
	for _, n := range f.nodes {
		oldest = max(oldest, f.age(n))
	}
	return oldest
}

// assertAgree checks that all nodes know the members that the store lists.
func (f *listingFleet) assertAgree(t *testing.T, after string) {
	t.Helper()
	for vm, n := range f.nodes {
		if got := len(n.roster.Entries()); got != len(f.store) {
			t.Fatalf("%s: %s knows %d VMs of %d", after, vm, got, len(f.store))
		}
	}
}

// maxListingAge is how old the listing of any node may be while some VM of its
// failure domain reaches the store.
const maxListingAge = 10 * time.Second

// TestListingsAreShared runs fleets of up to 300 VMs in four failure domains. The
// listings of the store may not grow with the VMs.
func TestListingsAreShared(t *testing.T) {
	for _, perDomain := range []int{25, 75} {
		t.Run(fmt.Sprintf("%d VMs", 4*perDomain), func(t *testing.T) {
			f := newListingFleet(regionalEntries(perDomain))
			f.run(20 * time.Second)
			f.assertAgree(t, "start")
			f.listings, f.forwarded = 0, 0
			const calm = 10 * time.Second
			f.run(calm)
			// Once in listingInterval in each domain, and a second time at most.
			assert.Assert(t, f.listings <= 2*4*int(calm/listingInterval), "%d listings", f.listings)
			assert.Assert(t, f.oldest() <= maxListingAge, "%s", f.oldest())
			t.Logf("%d listings, %d entries and names forwarded in %s", f.listings, f.forwarded, calm)
		})
	}
}

// TestListingsSurviveLosses loses what stands between a node and the store.
func TestListingsSurviveLosses(t *testing.T) {
	const perDomain = 24
	entries := regionalEntries(perDomain)
	domain := entries[0].FailureDomain
	relays := Relays(entries[:perDomain])
	for name, lose := range map[string]func(f *listingFleet){
		"first relay lost":          func(f *listingFleet) { f.lose(relays[0].VM) },
		"all relays lost":           func(f *listingFleet) { loseAll(f, relays) },
		"failure domain lost":       func(f *listingFleet) { loseAll(f, entries[perDomain:2*perDomain]) },
		"region lost":               func(f *listingFleet) { loseAll(f, entries[2*perDomain:]) },
		"a VM that is no relay":     func(f *listingFleet) { f.lose(entries[perDomain-1].VM) },
		"relays cut from the store": func(f *listingFleet) { cutAll(f, relays); f.lose(entries[perDomain+5].VM) },
		"domain cut from the store, in contact with the others": func(f *listingFleet) { cutAll(f, entries[:perDomain]); f.lose(entries[perDomain+5].VM) },
	} {
		t.Run(name, func(t *testing.T) {
			f := newListingFleet(entries)
			f.run(10 * time.Second)
			lose(f)
			f.run(20 * time.Second)
			f.assertAgree(t, name+" in "+domain)
			assert.Assert(t, f.oldest() <= maxListingAge, "%s", f.oldest())
		})
	}
}

func loseAll(f *listingFleet, entries []Entry) {
	for _, entry := range entries {
		f.lose(entry.VM)
	}
}

func cutAll(f *listingFleet, entries []Entry) {
	for _, entry := range entries {
		f.cut[entry.VM] = true
	}
}

// TestListingsAfterRestart restarts all VMs of a fleet at once, with later
// incarnations, and one of them again after another has been replaced.
func TestListingsAfterRestart(t *testing.T) {
	f := newListingFleet(regionalEntries(24))
	f.run(10 * time.Second)
	for _, entry := range sortedEntries(f.nodes) {
		entry.Incarnation++
		f.start(entry)
	}
	f.run(3 * time.Second)
	f.assertAgree(t, "restart of all")
	for _, n := range f.nodes {
		for _, entry := range n.roster.Entries() {
			assert.Equal(t, entry.Incarnation, f.store[entry.VM].Incarnation, "%s at %s", entry.VM, n.self.VM)
		}
	}
}

// TestStaleListingIsNotMerged forwards a listing that is older than the known one.
func TestStaleListingIsNotMerged(t *testing.T) {
	now := time.Unix(1000, 0)
	r := NewRoster(RosterOptions{MissingAfter: 2 * time.Second, ForgetAfter: time.Minute})
	r.MergeListing([]Entry{{VM: "a"}, {VM: "b"}}, now)
	r.SetListing(nil, 20, now)
	_, current := r.MergeForwardedListing(ForwardedListing{Revision: 19, Complete: true, Listed: []string{"a"}}, now)
	assert.Assert(t, current)
	assert.Equal(t, len(r.Unlisted()), 0)

	// Changes that do not lead to the sender's listing are requested in full.
	other := NewRoster(RosterOptions{})
	other.MergeListing([]Entry{{VM: "a"}, {VM: "c"}}, now)
	other.SetListing(nil, 21, now)
	partial := other.ListingNews(Request{Since: other.Sequence()}, now)
	_, current = r.MergeForwardedListing(partial, now)
	assert.Assert(t, !current)
	r.Merge(Entry{VM: "c"}, now)
	_, current = r.MergeForwardedListing(other.ListingNews(Request{}, now), now)
	assert.Assert(t, current)
	assert.DeepEqual(t, names(r.Unlisted()), []string{"b"})
}
