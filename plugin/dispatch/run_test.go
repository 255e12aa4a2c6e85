package dispatch

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/mangomast/mangomast/call"
	"github.com/mangomast/mangomast/config"
	"github.com/mangomast/mangomast/membership"
)

// fixedConfig is a config.Source with one snapshot.
type fixedConfig struct {
	config.Source
	snapshot *config.Snapshot
}

func (c fixedConfig) Snapshot() *config.Snapshot { return c.snapshot }

func TestExcludedKeepsBoundRequestsInTheirRegions(t *testing.T) {
	snapshot := config.NewSnapshot(&config.Document{
		Routes:        []config.Route{{ID: "open"}, {ID: "bound", Regions: []string{"south"}}},
		Organisations: []config.Organisation{{ID: "northern", Regions: []string{"north"}}},
	}, 1)
	m := &Module{config: fixedConfig{snapshot: snapshot}}
	north, south := membership.Entry{VM: "a", Region: "north"}, membership.Entry{VM: "b", Region: "south"}
	assert.Assert(t, m.excluded(&call.Head{Route: "open"}) == nil)
	bound := m.excluded(&call.Head{Route: "bound"})
	assert.Assert(t, bound(north) && !bound(south))
	both := m.excluded(&call.Head{Route: "bound", Organisation: "northern"})
	assert.Assert(t, both(north) && both(south))
}
