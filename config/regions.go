package config

import "slices"

// MayServe reports whether requests of the route and the organisation may run in
// the region. The organisation is nil for requests without a key. Where both are
// bound to regions, both bind, so that there may be no region at all.
func MayServe(route *Route, organisation *Organisation, region string) bool {
	return includesRegion(route.Regions, region) && (organisation == nil || includesRegion(organisation.Regions, region))
}

// BoundToRegions reports whether requests of the route and the organisation, which
// may be nil, may run in some regions only.
func BoundToRegions(route *Route, organisation *Organisation) bool {
	return len(route.Regions) > 0 || organisation != nil && len(organisation.Regions) > 0
}

// BoundToRegions is like the function of that name, for the IDs that MayServe takes.
func (s *Snapshot) BoundToRegions(route, organisation string) bool {
	matched := s.routesByID[route]
	return matched != nil && len(matched.Regions) > 0 || BoundToRegions(&Route{}, s.Organisation(organisation))
}

// MayServe reports whether requests of the route and the organisation with these
// IDs may run in the region. The organisation is empty for requests without a key.
// What the snapshot does not contain binds to no region: the node where the request
// entered has matched it by a later or an earlier version.
func (s *Snapshot) MayServe(route, organisation, region string) bool {
	matched := s.routesByID[route]
	if matched == nil {
		matched = &Route{}
	}
	return MayServe(matched, s.Organisation(organisation), region)
}

func includesRegion(regions []string, region string) bool {
	return len(regions) == 0 || slices.Contains(regions, region)
}
