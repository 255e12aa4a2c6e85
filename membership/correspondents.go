package membership

import (
	"slices"
)

// maxDirectPeers is the largest number of peers up to which each node
// corresponds with all others.
const maxDirectPeers = 32

// Correspondents returns the VMs that a node exchanges entries with and sends
// announcements to. In a small fleet these are all others. In a larger one they
// are the node's group and the relays of each failure domain, from whom the
// other nodes of the domain learn the news: otherwise the connections of the
// fleet, and the messages for each change, would grow with the square of its
// size.
func Correspondents(entries []Entry, self Entry) []Entry {
	others := slices.DeleteFunc(slices.Clone(entries), func(e Entry) bool { return e.VM == self.VM || e.State == Gone })
	if len(others) <= maxDirectPeers {
		return others
	}
	chosen := map[string]bool{}
	for _, entry := range Group(entries, self) {
		chosen[entry.VM] = true
	}
	domains := map[string][]Entry{}
	for _, entry := range others {
		domains[entry.FailureDomain] = append(domains[entry.FailureDomain], entry)
	}
	for _, domain := range domains {
		for _, relay := range Relays(domain) {
			chosen[relay.VM] = true
		}
	}
	return slices.DeleteFunc(others, func(e Entry) bool { return !chosen[e.VM] })
}

// RegionalCorrespondents returns those of a node's correspondents to which it sends
// what is not urgent: in a fleet that shares listings, only the relays of a failure
// domain, given its VMs, exchange with other regions, and the other nodes learn from
// them. Each link between regions costs pings and, after each restart, a dial.
func RegionalCorrespondents(correspondents, domain []Entry, self Entry) []Entry {
	if Rank(Relays(domain), self.VM) >= 0 {
		return correspondents
	}
	return slices.DeleteFunc(slices.Clone(correspondents), func(e Entry) bool { return e.Region != self.Region })
}
