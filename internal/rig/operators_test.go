package rig_test

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mangomast/mangomast/config"
	"github.com/mangomast/mangomast/edit"
	"github.com/mangomast/mangomast/internal/rig"
	"github.com/mangomast/mangomast/operator"
)

// setRate changes the organisation's rate through a node's API.
func setRate(ctx context.Context, t *testing.T, c *operator.Client, from, to string) *edit.Change {
	t.Helper()
	change, err := c.Change(ctx, "", []edit.Edit{{
		Field: "/organisations/org-1/rate", Old: json.RawMessage(from), New: json.RawMessage(to),
	}})
	assert.NilError(t, err)
	return change
}

// waitConfigStable waits until the configuration changes that the fleet makes
// after its start, such as the witness table, are in force on every node and no
// further one has followed for a few seconds.
func waitConfigStable(ctx context.Context, t *testing.T, fleet *rig.Rig) {
	t.Helper()
	const (
		quietPeriod  = 3 * time.Second
		pollInterval = 50 * time.Millisecond
	)
	var stream int64
	lastChange := time.Now()
	for time.Since(lastChange) < quietPeriod {
		for _, node := range fleet.Nodes {
			status, err := fleet.OwnStatus(ctx, node)
			assert.NilError(t, err)
			if status.Stream != stream || status.Accepted < stream {
				stream, lastChange = max(stream, status.Stream), time.Now()
			}
		}
		time.Sleep(pollInterval)
	}
}

// TestProgressNamesUnresponsiveVM freezes a VM while a change is made through
// another one. The progress must name the frozen VM, and the change must be
// accepted once the frozen VM is no longer allowed to serve.
func TestProgressNamesUnresponsiveVM(t *testing.T) {
	const (
		frozen        = "fares-3"
		acceptTimeout = 15 * time.Second
		pollInterval  = 100 * time.Millisecond
		firstRate     = "1000"
		secondRate    = "900"
	)
	token, hash := operator.NewToken()
	doc := &config.Document{
		Organisations: []config.Organisation{{ID: "org-1", Weight: 1, Rate: 1000, Burst: 1000}},
		Services:      []config.Service{{ID: service}},
		Operators:     []config.Operator{{ID: "night-shift", Hash: hash}},
	}
	var specs []rig.NodeSpec
	for i := range 3 {
		domain := fmt.Sprintf("domain-%d", i+1)
		doc.Domains = append(doc.Domains, config.FailureDomain{ID: domain, Region: "r"})
		specs = append(specs, rig.NodeSpec{
			VM: fmt.Sprintf("fares-%d", i+1), FailureDomain: domain, Region: "r", Service: service, Slots: 4, Connections: 8,
		})
	}
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	fleet, err := rig.Start(ctx, rig.Options{Nodes: specs, Document: doc})
	assert.NilError(t, err)
	defer fleet.Close()
	waitConfigStable(ctx, t, fleet)
	assert.NilError(t, fleet.Nodes[2].Process.Freeze())
	client := operator.NewClient("http://"+fleet.Nodes[0].Admin, token)
	change := setRate(ctx, t, client, firstRate, secondRate)

	started, named := time.Now(), false
	for {
		progress, err := client.Progress(ctx, change.Revision)
		if err == nil && progress.Accepted {
			break
		}
		if err == nil {
			named = named || slices.ContainsFunc(progress.Waiting, func(w string) bool { return strings.Contains(w, frozen) })
		}
		assert.Assert(t, time.Since(started) < acceptTimeout, "the change was not accepted in time: progress %+v, error %v", progress, err)
		time.Sleep(pollInterval)
	}
	assert.Assert(t, named, "the progress did not name the frozen VM")
}

// TestClientFailsOverToAnotherNode kills the node that the operator's client
// uses. The client must make the next change through the next node in its list.
func TestClientFailsOverToAnotherNode(t *testing.T) {
	token, hash := operator.NewToken()
	doc := &config.Document{
		Organisations: []config.Organisation{{ID: "org-1", Weight: 1, Rate: 1000, Burst: 1000}},
		Services:      []config.Service{{ID: service}},
		Domains:       []config.FailureDomain{{ID: "a", Region: "r"}},
		Operators:     []config.Operator{{ID: "night-shift", Hash: hash}},
	}
	var specs []rig.NodeSpec
	for _, vm := range []string{"fares-1", "fares-2"} {
		specs = append(specs, rig.NodeSpec{VM: vm, FailureDomain: "a", Region: "r", Service: service, Slots: 4, Connections: 8})
	}
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	fleet, err := rig.Start(ctx, rig.Options{Nodes: specs, Document: doc})
	assert.NilError(t, err)
	defer fleet.Close()
	client := operator.NewClient("http://"+fleet.Nodes[0].Admin+",http://"+fleet.Nodes[1].Admin, token)
	setRate(ctx, t, client, "1000", "900")
	fleet.Nodes[0].Process.Kill()
	change := setRate(ctx, t, client, "900", "800")
	assert.Equal(t, change.Number, uint64(3))
}
