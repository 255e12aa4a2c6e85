package bench

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mangomast/mangomast/config"
	"github.com/mangomast/mangomast/internal/load"
	"github.com/mangomast/mangomast/internal/rig"
	"github.com/mangomast/mangomast/internal/standin"
	quotaplugin "github.com/mangomast/mangomast/plugin/quota"
)

// TestNonRelayNodesServeRateLimits runs more VMs in a failure domain than it has
// relays. Nodes that are not relays do not have the full membership. The test
// guards against such nodes not finding the owner of a rate, or replacing owners
// that are missing from their membership.
func TestNonRelayNodesServeRateLimits(t *testing.T) {
	const vmsPerDomain, settle = 6, 4 * time.Second
	doc := &config.Document{}
	keys := AddOrganisations(doc, 4, 1000, 1000)
	var nodes []rig.NodeSpec
	for _, service := range []string{"fares", "ledger", "routes", "desk"} {
		AddService(doc, service, nil)
		nodes = append(nodes, SpreadVMs(service, vmsPerDomain/2, 10, standin.Behaviour{})...)
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
	client := newHTTPClient(2 * time.Second)
	for _, node := range fleet.Nodes {
		for _, key := range keys {
			assert.NilError(t, getOK(ctx, client, "http://"+node.Callers+"/fares/x", key), "%s for %s", node.Spec.VM, key.Organisation)
		}
	}
	after, err := fleet.Owners(ctx)
	assert.NilError(t, err)
	assert.DeepEqual(t, after, before)
}

// TestHoldersLendAfterOwnerLoss kills an owner and moves the demand from one VM
// to another before the owner is replaced. Without loans, the second VM can only
// use its previous share, a tenth of the rate.
func TestHoldersLendAfterOwnerLoss(t *testing.T) {
	q, err := startQuota(t.Context(), 1, quotaplugin.ModeFleet, nil)
	assert.NilError(t, err)
	defer q.fleet.Close()
	owner, err := q.fleet.Owner(t.Context(), q.keys[0].Organisation)
	assert.NilError(t, err)
	var others []*rig.Node
	for _, node := range q.fleet.Nodes {
		if node != owner {
			others = append(others, node)
		}
	}
	serve := func(node *rig.Node, length time.Duration) (served, sent int) {
		const rate = 50
		opts := load.Options{Rate: rate, Duration: length, Do: func(context.Context, int) load.Sample {
			return load.Sample{OK: q.request(node, q.keys[0]) == ""}
		}}
		for _, interval := range load.Run(t.Context(), opts).Timeline {
			served, sent = served+interval.Answered, sent+interval.Sent
		}
		return served, sent
	}
	serve(others[0], 3*time.Second)
	owner.Process.Kill()
	serve(others[0], time.Second)
	served, sent := serve(others[1], 2*time.Second)
	assert.Assert(t, 2*served > sent, "%d of %d served", served, sent)
}
