package inbound

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/mangomast/mangomast/call"
	"github.com/mangomast/mangomast/config"
)

// fixedConfig is a config.Source with one snapshot.
type fixedConfig struct {
	config.Source
	snapshot *config.Snapshot
}

func (c fixedConfig) Snapshot() *config.Snapshot { return c.snapshot }

func TestCheckRegionRefusesForeignRequests(t *testing.T) {
	snapshot := config.NewSnapshot(&config.Document{Routes: []config.Route{{ID: "open"}, {ID: "bound", Regions: []string{"south"}}}}, 1)
	m := &Module{region: "north", config: fixedConfig{snapshot: snapshot}}
	assert.Assert(t, m.checkRegion(&call.Head{Route: "open"}) == nil)
	refusal := m.checkRegion(&call.Head{Route: "bound"})
	assert.Equal(t, refusal.Outcome, call.Refused)
	assert.Equal(t, refusal.Code, call.CodeForeignRegion)
	m.region = "south"
	assert.Assert(t, m.checkRegion(&call.Head{Route: "bound"}) == nil)
}
