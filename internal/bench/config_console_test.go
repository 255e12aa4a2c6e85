package bench

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mangomast/mangomast/config"
	"github.com/mangomast/mangomast/internal/rig"
	"github.com/mangomast/mangomast/internal/standin"
	"github.com/mangomast/mangomast/operator"
)

// TestConcurrentConsoleChangesCommitOne runs the console races of the config
// case on a small fleet. It guards against two concurrent changes of one field
// that are both committed, or both rejected.
func TestConcurrentConsoleChangesCommitOne(t *testing.T) {
	doc := &config.Document{}
	AddOrganisations(doc, 1, 100, 100)
	token, hash := operator.NewToken()
	doc.Operators = []config.Operator{{ID: "night-shift", Hash: hash}}
	AddService(doc, "fares", nil)
	nodes := SpreadVMs("fares", 2, 10, standin.Behaviour{})
	AddDomains(doc, nodes)
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	fleet, err := rig.Start(ctx, rig.Options{Nodes: nodes, Document: doc})
	assert.NilError(t, err)
	defer fleet.Close()
	decided, err := raceConsoles(ctx, fleet, token)
	assert.NilError(t, err)
	assert.Equal(t, decided, consoleRaces)
}
