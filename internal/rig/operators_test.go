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

// change sets the rate of the organisation through a node's API.
func change(ctx context.Context, t *testing.T, c *operator.Client, from, to string) *edit.Change {
	t.Helper()
	made, err := c.Change(ctx, "", []edit.Edit{{
		Field: "/organisations/org-1/rate", Old: json.RawMessage(from), New: json.RawMessage(to),
	}})
	assert.NilError(t, err)
	return made
}

// waitSettled waits until the fleet's own changes after its start, such as the
// witness table, were in force on every node for a while.
func waitSettled(ctx context.Context, t *testing.T, fleet *rig.Rig) {
	t.Helper()
	const (
		quiet = 3 * time.Second
		pause = 50 * time.Millisecond
	)
	var stream int64
	since := time.Now()
	for time.Since(since) < quiet {
		for _, node := range fleet.Nodes {
			status, err := fleet.OwnStatus(ctx, node)
			assert.NilError(t, err)
			if status.Stream != stream || status.Accepted < stream {
				stream, since = max(stream, status.Stream), time.Now()
			}
		}
		time.Sleep(pause)
	}
}

// TestProgressNamesTheVMThatDoesNotAnswer freezes a VM while a change is made
// at another one. The operator must be told its name, and the change must be in
// force once the VM may not serve any more.
func TestProgressNamesTheVMThatDoesNotAnswer(t *testing.T) {
	const (
		frozen     = "fares-3"
		tillGone   = 15 * time.Second
		pollPause  = 100 * time.Millisecond
		firstRate  = "1000"
		secondRate = "900"
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
	waitSettled(ctx, t, fleet)
	assert.NilError(t, fleet.Nodes[2].Process.Freeze())
	client := operator.NewClient("http://"+fleet.Nodes[0].Admin, token)
	made := change(ctx, t, client, firstRate, secondRate)

	started, named := time.Now(), false
	for {
		progress, err := client.Progress(ctx, made.Revision)
		if err == nil && progress.Accepted {
			break
		}
		if err == nil {
			named = named || slices.ContainsFunc(progress.Waiting, func(w string) bool { return strings.Contains(w, frozen) })
		}
		assert.Assert(t, time.Since(started) < tillGone, "not in force: %+v, %v", progress, err)
		time.Sleep(pollPause)
	}
	assert.Assert(t, named, "the frozen VM was not named")
}

// TestAnotherNodeTakesTheChangeOfOneThatStopped kills the node that an operator
// talks to; the same command goes on at the next one.
func TestAnotherNodeTakesTheChangeOfOneThatStopped(t *testing.T) {
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
	change(ctx, t, client, "1000", "900")
	fleet.Nodes[0].Process.Kill()
	made := change(ctx, t, client, "900", "800")
	assert.Equal(t, made.Number, uint64(3))
}
