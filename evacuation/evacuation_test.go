package evacuation

import (
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// history is the sequence of the store's changes; the index of a change is its
// revision minus firstRevision.
type history []Change

const firstRevision = 10

// at returns the set of evacuated domains at a revision.
func (h history) at(revision int64) []string {
	var domains []string
	for _, change := range h {
		if change.Revision > revision {
			break
		}
		domains = slices.DeleteFunc(domains, func(d string) bool { return d == change.Domain })
		if !change.Ended {
			domains = append(domains, change.Domain)
		}
	}
	slices.Sort(domains)
	return domains
}

func drawHistory(t *rapid.T) history {
	var h history
	for i := range rapid.IntRange(0, 20).Draw(t, "changes") {
		h = append(h, Change{
			Domain:   rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "domain"),
			Revision: firstRevision + int64(i), Ended: rapid.Bool().Draw(t, "ended"),
		})
	}
	return h
}

// node is a node with its set and the revision that its watch has reached; 0 if it
// does not watch.
type node struct {
	set     Set
	watched int64
}

// TestNodesNeverLeaveTheStoresHistory has nodes list, watch and exchange their sets
// in random order, while the store advances. Each set must be that of the store at
// the set's revision, no revision may decrease, and all nodes must agree in the end.
func TestNodesNeverLeaveTheStoresHistory(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := drawHistory(t)
		now := int64(firstRevision - 1)
		last := firstRevision + int64(len(h)) - 1
		nodes := make([]node, 4)
		for range rapid.IntRange(0, 60).Draw(t, "steps") {
			n := &nodes[rapid.IntRange(0, len(nodes)-1).Draw(t, "node")]
			before := n.set.Revision
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				now = min(last, now+int64(rapid.IntRange(0, 3).Draw(t, "advance")))
			case 1:
				n.set = n.set.Merge(Listed(now, h.at(now)))
				n.watched = now
			case 2:
				if n.watched > 0 {
					to := min(now, n.watched+int64(rapid.IntRange(0, 3).Draw(t, "events")))
					n.set = n.set.Apply(h[n.watched+1-firstRevision : to+1-firstRevision])
					n.watched = to
				}
			case 3:
				other := nodes[rapid.IntRange(0, len(nodes)-1).Draw(t, "peer")]
				assert.NilError(t, other.set.Validate())
				n.set = n.set.Merge(other.set)
			}
			assert.Assert(t, n.set.Revision >= before)
			if n.set.Known() {
				assert.Assert(t, slices.Equal(n.set.Domains, h.at(n.set.Revision)), "%v at %d", n.set, now)
			}
		}
		newest := Listed(last, h.at(last))
		for _, n := range nodes {
			for _, domain := range []string{"a", "b", "c"} {
				assert.Equal(t, n.set.Merge(newest).Has(domain), slices.Contains(h.at(last), domain))
			}
		}
	})
}

func TestApplyTakesAllChangesOfOneRevision(t *testing.T) {
	s := Listed(10, []string{"c"})
	s = s.Apply([]Change{{Domain: "b", Revision: 11}, {Domain: "a", Revision: 11}, {Domain: "c", Revision: 11, Ended: true}})
	assert.DeepEqual(t, s, Set{Revision: 11, Domains: []string{"a", "b"}})
	assert.DeepEqual(t, s.Without(Listed(1, []string{"b"})), []string{"a"})
}

// TestApplyKnowsNothingWithoutAListing checks that changes do not make a set known:
// evacuations that began before them would be missing.
func TestApplyKnowsNothingWithoutAListing(t *testing.T) {
	assert.Assert(t, !Set{}.Apply([]Change{{Domain: "a", Revision: 11}}).Known())
}

func TestValidateRejectsOddSets(t *testing.T) {
	for name, s := range map[string]Set{
		"negative":   {Revision: -1},
		"odd name":   {Revision: 1, Domains: []string{"../a"}},
		"unordered":  {Revision: 1, Domains: []string{"b", "a"}},
		"duplicates": {Revision: 1, Domains: []string{"a", "a"}},
	} {
		assert.Assert(t, s.Validate() != nil, name)
	}
}
