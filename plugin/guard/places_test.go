package guard

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

// TestPlacesRefuseWhatANodeWithOldNewsSends asks the guard of a VM for requests that
// a node with an older configuration, or without news of an evacuation, may send.
func TestPlacesRefuseWhatANodeWithOldNewsSends(t *testing.T) {
	snapshot := config.NewSnapshot(&config.Document{
		Routes:        []config.Route{{ID: "open"}, {ID: "bound", Regions: []string{"south"}}},
		Organisations: []config.Organisation{{ID: "free"}, {ID: "southern", Regions: []string{"south"}}},
	}, 1)
	var evacuated *call.Reply
	p := places{region: "north", config: fixedConfig{snapshot: snapshot}, checkEvacuation: func() *call.Reply { return evacuated }}
	code := func(route, organisation string) call.Code {
		if refusal := p.check(&call.Head{Route: route, Organisation: organisation}); refusal != nil {
			assert.Equal(t, refusal.Outcome, call.Refused)
			return refusal.Code
		}
		return call.CodeNone
	}
	assert.Equal(t, code("open", "free"), call.CodeNone)
	assert.Equal(t, code("open", ""), call.CodeNone)
	assert.Equal(t, code("later", "free"), call.CodeNone)
	assert.Equal(t, code("bound", ""), call.CodeForeignRegion)
	assert.Equal(t, code("bound", "free"), call.CodeForeignRegion)
	assert.Equal(t, code("open", "southern"), call.CodeForeignRegion)
	p.region = "south"
	assert.Equal(t, code("bound", "southern"), call.CodeNone)
	evacuated = call.Refuse(call.CodeEvacuated, "")
	assert.Equal(t, code("bound", "southern"), call.CodeEvacuated)
}
