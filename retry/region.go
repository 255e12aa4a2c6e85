package retry

import (
	"net/url"
	"strings"
)

// regionSeparator separates an ID from the region in it.
const regionSeparator = "@"

// WithRegion appends the name of the region that holds the request's retry
// budget to the ID. All sends with this ID, through any region, share that
// budget. The name needs no signature: a caller who changes it gains no more
// than a new ID would give.
func WithRegion(id, region string) string {
	if region == "" {
		return id
	}
	return id + regionSeparator + url.QueryEscape(region)
}

// RegionOf returns the region in an ID; empty if there is none.
func RegionOf(id string) string {
	i := strings.LastIndex(id, regionSeparator)
	if i < 0 {
		return ""
	}
	region, err := url.QueryUnescape(id[i+len(regionSeparator):])
	if err != nil {
		return ""
	}
	return region
}
