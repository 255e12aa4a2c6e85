package config

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/mangomast/mangomast/finding"
)

func TestMayServe(t *testing.T) {
	doc := &Document{
		Routes: []Route{
			{ID: "open", Path: "/open/"},
			{ID: "north", Path: "/north/", Regions: []string{"north"}},
			{ID: "both", Path: "/both/", Regions: []string{"north", "south"}},
		},
		Organisations: []Organisation{{ID: "free"}, {ID: "southern", Regions: []string{"south"}}},
	}
	snapshot := NewSnapshot(doc, 1)
	for _, c := range []struct {
		route, organisation string
		north, south        bool
	}{
		{"open", "", true, true},
		{"open", "free", true, true},
		{"open", "southern", false, true},
		{"north", "", true, false},
		{"north", "free", true, false},
		{"north", "southern", false, false},
		{"both", "southern", false, true},
		{"unknown", "free", true, true},
		{"unknown", "southern", false, true},
		{"north", "unknown", true, false},
	} {
		assert.Equal(t, snapshot.MayServe(c.route, c.organisation, "north"), c.north, "%v", c)
		assert.Equal(t, snapshot.MayServe(c.route, c.organisation, "south"), c.south, "%v", c)
	}
	assert.Assert(t, !BoundToRegions(&doc.Routes[0], nil) && !BoundToRegions(&doc.Routes[0], &doc.Organisations[0]))
	assert.Assert(t, !snapshot.BoundToRegions("open", "free") && !snapshot.BoundToRegions("unknown", ""))
	assert.Assert(t, snapshot.BoundToRegions("north", "") && snapshot.BoundToRegions("open", "southern"))
	assert.Assert(t, BoundToRegions(&doc.Routes[1], nil) && BoundToRegions(&doc.Routes[0], &doc.Organisations[1]))
}

// TestRegionsAreValidated uses names that no region can have. If they were dropped
// one by one, an empty list would remain, which allows all regions.
func TestRegionsAreValidated(t *testing.T) {
	for _, region := range []string{"", "North", "no rth", "../north"} {
		findings := &finding.List{}
		v := validator{findings: findings}
		v.regions("/regions", []string{"south", region})
		assert.Equal(t, len(findings.Findings()), 1, "%q", region)
	}
}
