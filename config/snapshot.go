package config

import (
	"cmp"
	"slices"
	"strings"
)

// Snapshot is a validated document, indexed for lookups. It is immutable.
type Snapshot struct {
	// Revision is the store revision of the document.
	Revision int64
	Document *Document
	// Owners maps each organisation to the node that grants its rate. It is
	// nil until the first table is known.
	Owners *OwnerTable
	// Stream is the stream revision at which the document and the owner table
	// are current. It is at least the revision of both.
	Stream int64

	organisations map[string]*Organisation
	keysByHash    map[string]*Key
	keysByID      map[string]*Key
	routesByID    map[string]*Route
	exactRoutes   map[string][]*Route
	prefixRoutes  []*Route
}

// Source provides the configuration that is in force on this node.
type Source interface {
	// Snapshot returns the latest known snapshot, or nil if there is none yet.
	Snapshot() *Snapshot
	// Fresh reports whether there is recent proof that the snapshot is the
	// latest accepted one. Without it, keys and rates must not be served.
	Fresh() bool
	// Accepted returns the highest stream revision known to be in force on
	// every node that may serve requests, or 0 if none is known yet. It never
	// decreases.
	Accepted() int64
}

// NewSnapshot indexes a document, which must have been validated.
func NewSnapshot(doc *Document, revision int64) *Snapshot {
	s := &Snapshot{
		Revision:      revision,
		Stream:        revision,
		Document:      doc,
		organisations: make(map[string]*Organisation, len(doc.Organisations)),
		keysByHash:    make(map[string]*Key, len(doc.Keys)),
		keysByID:      make(map[string]*Key, len(doc.Keys)),
		routesByID:    make(map[string]*Route, len(doc.Routes)),
		exactRoutes:   map[string][]*Route{},
	}
	for i := range doc.Organisations {
		s.organisations[doc.Organisations[i].ID] = &doc.Organisations[i]
	}
	for i := range doc.Keys {
		s.keysByHash[strings.ToLower(doc.Keys[i].Hash)] = &doc.Keys[i]
		s.keysByID[doc.Keys[i].ID] = &doc.Keys[i]
	}
	for i := range doc.Routes {
		s.addRoute(&doc.Routes[i])
	}
	for _, routes := range s.exactRoutes {
		slices.SortFunc(routes, byPrecedence)
	}
	slices.SortFunc(s.prefixRoutes, byPrecedence)
	return s
}

// byPrecedence orders longer paths before shorter ones, and then routes for
// one method before routes for any method.
func byPrecedence(a, b *Route) int {
	byMethod := strings.Compare(methodSortKey(b), methodSortKey(a))
	return cmp.Or(len(b.Path)-len(a.Path), byMethod, strings.Compare(a.ID, b.ID))
}

// methodSortKey returns "*" for a route that matches any method and "-", which
// sorts after "*", for all others.
func methodSortKey(r *Route) string {
	if r.Method == "*" {
		return "*"
	}
	return "-"
}

// WithOwners returns a copy of the snapshot with the given owner table and
// stream revision.
func (s *Snapshot) WithOwners(owners *OwnerTable, stream int64) *Snapshot {
	copied := *s
	copied.Owners = owners
	copied.Stream = stream
	return &copied
}

func (s *Snapshot) addRoute(route *Route) {
	s.routesByID[route.ID] = route
	if strings.HasSuffix(route.Path, "/") {
		s.prefixRoutes = append(s.prefixRoutes, route)
		return
	}
	s.exactRoutes[route.Path] = append(s.exactRoutes[route.Path], route)
}

// Organisation returns the organisation with the ID, or nil.
func (s *Snapshot) Organisation(id string) *Organisation { return s.organisations[id] }

// KeyByHash returns the key with the hash, or nil.
func (s *Snapshot) KeyByHash(hash string) *Key { return s.keysByHash[hash] }

// KeyByID returns the key with the ID, or nil.
func (s *Snapshot) KeyByID(id string) *Key { return s.keysByID[id] }

// Route returns the route that matches a request, or nil. An exact path takes
// precedence over a prefix, and a longer prefix over a shorter one.
func (s *Snapshot) Route(host, method, path string) *Route {
	for _, route := range s.exactRoutes[path] {
		if route.matches(host, method) {
			return route
		}
	}
	for _, route := range s.prefixRoutes {
		if strings.HasPrefix(path, route.Path) && route.matches(host, method) {
			return route
		}
	}
	return nil
}

func (r *Route) matches(host, method string) bool {
	return (r.Host == "" || r.Host == host) && (r.Method == "*" || r.Method == method)
}

// PickService picks the service that a request is sent to, by the weights of
// the split. The argument random is uniformly distributed in [0, 1).
func (r *Route) PickService(random float64) string {
	total := 0.0
	for _, split := range r.Split {
		total += split.Weight
	}
	remaining := random * total
	for _, split := range r.Split {
		if remaining -= split.Weight; remaining < 0 {
			return split.Service
		}
	}
	return r.Service
}

// Allows reports whether the route is open to the organisation.
func (r *Route) Allows(organisation string) bool {
	if len(r.OpenTo) == 1 && r.OpenTo[0] == AllOrganisations {
		return true
	}
	return slices.Contains(r.OpenTo, organisation)
}
