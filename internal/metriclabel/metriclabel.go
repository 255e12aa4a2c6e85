// Package metriclabel bounds the number of values of a metric's label.
package metriclabel

import "sync"

// Other is the label of all values beyond the bound.
const Other = "other"

// MaxOrganisations bounds the organisations with series of their own.
const MaxOrganisations = 200

// Set keeps the first values that it sees apart. It is safe for concurrent use.
type Set struct {
	limit int
	mu    sync.Mutex
	seen  map[string]bool
}

// NewSet returns a set of at most limit values.
func NewSet(limit int) *Set { return &Set{limit: limit, seen: map[string]bool{}} }

// Label returns the value, or Other if the set is full without it.
func (s *Set) Label(value string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.seen[value] && len(s.seen) >= s.limit {
		return Other
	}
	s.seen[value] = true
	return value
}
