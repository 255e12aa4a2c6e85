// Package metriclabel limits the cardinality of a metric label.
package metriclabel

import "sync"

// Other is the label value that replaces all values beyond the limit.
const Other = "other"

// MaxOrganisations is the maximum number of organisations with their own time
// series.
const MaxOrganisations = 200

// Set is a limited set of label values: the first values are kept, later ones
// map to Other. It is safe for concurrent use.
type Set struct {
	limit int
	mu    sync.Mutex
	seen  map[string]bool
}

// NewSet returns an empty set that keeps at most limit values.
func NewSet(limit int) *Set { return &Set{limit: limit, seen: map[string]bool{}} }

// Label returns the value and adds it to the set, or returns Other if the set
// is full and does not have the value.
func (s *Set) Label(value string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.seen[value] && len(s.seen) >= s.limit {
		return Other
	}
	s.seen[value] = true
	return value
}
