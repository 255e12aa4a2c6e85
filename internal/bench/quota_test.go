package bench

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mangomast/mangomast/config"
	"github.com/mangomast/mangomast/internal/rig"
	"github.com/mangomast/mangomast/internal/standin"
)

// TestNodesThatAreNoRelaysServeRates runs more VMs in a failure domain than it
// has relays. The others do not know the whole fleet: they must find the owner
// of a rate all the same, and must not replace owners that they do not know.
func TestNodesThatAreNoRelaysServeRates(t *testing.T) {
	const vmsPerDomain, settle = 6, 4 * time.Second
	doc := &config.Document{}
	keys := NewOrganisations(doc, 4, 1000, 1000)
	var nodes []rig.NodeSpec
	for _, service := range []string{"fares", "ledger", "routes", "desk"} {
		AddService(doc, service, nil)
		nodes = append(nodes, Spread(service, vmsPerDomain/2, 10, standin.Behaviour{})...)
	}
	for i := range nodes {
		nodes[i].FailureDomain, nodes[i].Region = riga[i%2], "riga"
	}
	AddDomains(doc, nodes)
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	fleet, err := rig.Start(ctx, rig.Options{Nodes: nodes, Document: doc})
	assert.NilError(t, err)
	defer fleet.Close()
	assert.NilError(t, waitServing(ctx, fleet.Nodes, keys[0], "/fares/x"))
	before, err := fleet.Owners(ctx)
	assert.NilError(t, err)
	time.Sleep(settle)
	client := newCaller(2 * time.Second)
	for _, node := range fleet.Nodes {
		for _, key := range keys {
			assert.NilError(t, get(ctx, client, "http://"+node.Callers+"/fares/x", key), "%s for %s", node.Spec.VM, key.Organisation)
		}
	}
	after, err := fleet.Owners(ctx)
	assert.NilError(t, err)
	assert.DeepEqual(t, after, before)
}
