// Package evacuation keeps track of the failure domains that operators evacuate:
// nothing new may be sent to their upstreams until they are taken back. The load
// that it answers is that of an evacuated domain, which has to run elsewhere in full
// and nowhere twice, whatever order the news arrives in.
//
// It starts no goroutines and uses no sockets, clock or random source.
package evacuation

import (
	"slices"

	"github.com/pkg/errors"

	"github.com/mangomast/mangomast/settings"
)

// Set is the set of evacuated failure domains at a revision of the store. It is
// immutable. The zero Set is not known yet.
type Set struct {
	// Revision is the store's revision that the set is known to be current at. It
	// is 0 if nothing is known.
	Revision int64 `cbor:"1,keyasint"`
	// Domains are the evacuated failure domains, in order.
	Domains []string `cbor:"2,keyasint,omitempty"`
}

// Change begins or ends the evacuation of a failure domain.
type Change struct {
	Domain string
	// Revision is the store's revision of the change.
	Revision int64
	// Ended is true if the domain is taken back.
	Ended bool
}

// Listed returns the set of a complete listing of the store.
func Listed(revision int64, domains []string) Set {
	ordered := slices.Clone(domains)
	slices.Sort(ordered)
	return Set{Revision: revision, Domains: slices.Compact(ordered)}
}

// Validate checks a set that another node sent.
func (s Set) Validate() error {
	if s.Revision < 0 {
		return errors.Errorf("revision %d is negative", s.Revision)
	}
	for i, domain := range s.Domains {
		if !settings.ValidName(domain) {
			return errors.Errorf("%.80q is not a valid name of a failure domain", domain)
		}
		if i > 0 && domain <= s.Domains[i-1] {
			return errors.New("the failure domains are not in order")
		}
	}
	return nil
}

// Known reports whether the set was read from the store, by this node or another.
func (s Set) Known() bool { return s.Revision > 0 }

// Has reports whether the failure domain is evacuated.
func (s Set) Has(domain string) bool {
	_, found := slices.BinarySearch(s.Domains, domain)
	return found
}

// Merge returns the newer of two sets. A lower revision never replaces a higher one.
func (s Set) Merge(other Set) Set {
	if other.Revision > s.Revision {
		return other
	}
	return s
}

// Apply returns the set after changes of the store, in their order, of which none
// after the set's revision may be missing. Changes up to that revision are already
// part of the set. Several changes may have one revision.
func (s Set) Apply(changes []Change) Set {
	if !s.Known() {
		return s
	}
	domains, revision := slices.Clone(s.Domains), s.Revision
	for _, change := range changes {
		if change.Revision <= s.Revision {
			continue
		}
		revision = max(revision, change.Revision)
		at, found := slices.BinarySearch(domains, change.Domain)
		switch {
		case found && change.Ended:
			domains = slices.Delete(domains, at, at+1)
		case !found && !change.Ended:
			domains = slices.Insert(domains, at, change.Domain)
		}
	}
	return Set{Revision: revision, Domains: domains}
}

// Without returns the domains of s that other does not contain.
func (s Set) Without(other Set) []string {
	return slices.DeleteFunc(slices.Clone(s.Domains), other.Has)
}
