package retry

import (
	"net/url"
	"strings"
)

// regionMark stands between an ID and the region that it names.
const regionMark = "@"

// InRegion returns the ID with the name of the region that keeps the budget of
// its request. Whoever sends the ID, through whichever region, shares that
// budget. The name needs no signature: a caller who changes it gets what a new
// ID would have given it.
func InRegion(id, region string) string {
	if region == "" {
		return id
	}
	return id + regionMark + url.QueryEscape(region)
}

// RegionOf returns the region that an ID names; empty for none.
func RegionOf(id string) string {
	at := strings.LastIndex(id, regionMark)
	if at < 0 {
		return ""
	}
	region, err := url.QueryUnescape(id[at+len(regionMark):])
	if err != nil {
		return ""
	}
	return region
}
