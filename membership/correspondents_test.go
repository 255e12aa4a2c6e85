package membership

import (
	"fmt"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
)

func fleetEntries(domains, perDomain int) []Entry {
	var entries []Entry
	for d := range domains {
		for i := range perDomain {
			entries = append(entries, Entry{VM: fmt.Sprintf("vm-%02d-%04d", d, i), FailureDomain: fmt.Sprintf("d-%02d", d)})
		}
	}
	return entries
}

// regionalEntries returns the entries of four failure domains in two regions.
func regionalEntries(perDomain int) []Entry {
	entries := fleetEntries(4, perDomain)
	for i := range entries {
		entries[i].Region = "south"
		if entries[i].FailureDomain < "d-02" {
			entries[i].Region = "north"
		}
	}
	return entries
}

func TestCorrespondents(t *testing.T) {
	small := fleetEntries(4, 8)
	small[3].State = Gone
	assert.Equal(t, len(Correspondents(small, small[0])), 30, "all others that have not left")

	for _, c := range []struct{ domains, perDomain, most int }{{8, 12, 11 + 7*RelaysPerDomain}, {38, 631, 2*groupSize + 38*RelaysPerDomain}} {
		entries := fleetEntries(c.domains, c.perDomain)
		for _, self := range []Entry{entries[0], entries[len(entries)/2]} {
			chosen := Correspondents(entries, self)
			assert.Assert(t, len(chosen) <= c.most, "%d of %d", len(chosen), len(entries))
			domains := map[string]int{}
			for _, entry := range chosen {
				assert.Assert(t, entry.VM != self.VM)
				domains[entry.FailureDomain]++
			}
			assert.Equal(t, len(domains), c.domains, "every failure domain is reached")
		}
	}
}

// TestNewsReachesEveryNode spreads one change in a fleet of 300 VMs as the
// nodes do: the announcement goes to the correspondents, then each node asks one
// of its relays in each round. It must be known everywhere within four rounds,
// also when a third of the relays is lost.
func TestNewsReachesEveryNode(t *testing.T) {
	const rounds = 4
	entries := fleetEntries(10, 30)
	relays := map[string][]Entry{}
	for d := range 10 {
		domain := entries[30*d : 30*(d+1)]
		relays[domain[0].FailureDomain] = Relays(domain)
	}
	for _, lost := range []int{0, 1} {
		knows := map[string]bool{entries[7].VM: true}
		dead := map[string]bool{}
		for _, list := range relays {
			for _, relay := range list[:lost] {
				dead[relay.VM] = true
			}
		}
		for _, peer := range Correspondents(entries, entries[7]) {
			knows[peer.VM] = true
		}
		for round := range rounds {
			for i, entry := range entries {
				list := relays[entry.FailureDomain]
				asked := list[(round+i)%len(list)]
				if knows[asked.VM] && !dead[asked.VM] {
					knows[entry.VM] = true
				}
			}
		}
		for _, entry := range entries {
			assert.Assert(t, knows[entry.VM] || dead[entry.VM], "%s does not know, %d relays of each domain lost", entry.VM, lost)
		}
	}
}

// TestRegionalCorrespondents loses the relays of a region one after the other. There
// must always be nodes that exchange with the other region, and few of them.
func TestRegionalCorrespondents(t *testing.T) {
	entries := regionalEntries(75)
	for range 5 {
		crossing := map[string][]string{}
		for _, self := range entries {
			domain := slices.DeleteFunc(slices.Clone(entries), func(e Entry) bool { return e.FailureDomain != self.FailureDomain })
			for _, peer := range RegionalCorrespondents(Correspondents(entries, self), domain, self) {
				if peer.Region != self.Region {
					crossing[self.Region] = append(crossing[self.Region], self.VM)
					break
				}
			}
		}
		assert.Equal(t, len(crossing), 2)
		lost := []string{}
		for _, vms := range crossing {
			assert.Equal(t, len(vms), 2*RelaysPerDomain)
			lost = append(lost, vms...)
		}
		entries = slices.DeleteFunc(entries, func(e Entry) bool { return slices.Contains(lost, e.VM) })
	}
}
