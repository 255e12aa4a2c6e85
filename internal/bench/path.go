package bench

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/mangomast/mangomast/call"
	"github.com/mangomast/mangomast/config"
	"github.com/mangomast/mangomast/internal/rig"
	"github.com/mangomast/mangomast/internal/standin"
	"github.com/mangomast/mangomast/jsonc"
)

func init() {
	Register(Case{Name: "path", Help: "whole answers through ingress, inbound and a chain of three services", Run: runPath})
}

// pathFigures are the figures of the path case.
type pathFigures struct {
	Requests int `json:"requests"`
	Whole    int `json:"whole"`
	KeysSeen int `json:"keys_seen"`
	// ChainRuns counts runs at the three services.
	ChainRuns []int `json:"chain_runs"`
}

const crossRegionDelay = 15 * time.Millisecond

// chainFleet is a chain of three services in two regions.
func chainFleet() []rig.NodeSpec {
	dispatch := Spread("dispatch", 2, 40, standin.Behaviour{WorkMicros: 1000, Next: []string{"/fares/quote"}})
	fares := Spread("fares", 2, 40, standin.Behaviour{WorkMicros: 1000, Next: []string{"/ledger/entry"}})
	ledger := Spread("ledger", 2, 40, standin.Behaviour{WorkMicros: 1000})
	return append(append(dispatch, fares...), ledger...)
}

func runPath(ctx context.Context, env *Env) (*Report, error) {
	doc := &config.Document{}
	keys := NewOrganisations(doc, 2, 1000, 1000)
	for _, service := range []string{"dispatch", "fares", "ledger"} {
		AddService(doc, service, func(r *config.Route) { r.Deadline = jsonc.Duration(30 * time.Second) })
	}
	nodes := chainFleet()
	AddDomains(doc, nodes)
	fleet, err := rig.Start(ctx, rig.Options{Nodes: nodes, Document: doc})
	if err != nil {
		return nil, err
	}
	defer fleet.Close()
	fleet.Network.SetRule(func(source, listener string) rig.Faults {
		if rig.RegionOf(fleet, source) != rig.RegionOf(fleet, listener) {
			return rig.Faults{Delay: crossRegionDelay}
		}
		return rig.Faults{}
	})
	figures := &pathFigures{}
	report := &Report{Figures: figures, Header: []string{"answer bytes", "requests", "whole", "first error"}}
	for _, size := range []int{0, 16 << 10, 5 << 20} {
		whole, first := pathRequests(ctx, fleet, keys, size)
		figures.Requests += requestsPerSize
		figures.Whole += whole
		report.Rows = append(report.Rows, []string{fmt.Sprint(size), fmt.Sprint(requestsPerSize), fmt.Sprint(whole), fmt.Sprint(first)})
	}
	if err := pathReports(ctx, fleet, figures); err != nil {
		return nil, err
	}
	chained := len(figures.ChainRuns) == 3 && figures.ChainRuns[1] >= figures.Requests && figures.ChainRuns[2] >= figures.Requests
	report.Holds = figures.Whole == figures.Requests && figures.KeysSeen == 0 && chained
	return report, nil
}

const requestsPerSize = 20

func pathRequests(ctx context.Context, fleet *rig.Rig, keys []Key, size int) (whole int, first error) {
	client := newCaller(30 * time.Second)
	for i := range requestsPerSize {
		node := fleet.Nodes[i%len(fleet.Nodes)]
		err := pathRequest(ctx, client, node, keys[i%len(keys)], i, size)
		if err == nil {
			whole++
		} else if first == nil {
			first = err
		}
	}
	return whole, first
}

// pathRequest puts the key in one of the four places and checks each byte.
func pathRequest(ctx context.Context, client *http.Client, node *rig.Node, key Key, number, size int) error {
	id := fmt.Sprintf("path-%d-%d", size, number)
	target := fmt.Sprintf("http://%s/dispatch/next?bytes=%d", node.CallersProxy, size)
	if number%4 == 2 {
		target += "&mangomast_key=" + key.Secret
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return err
	}
	req.Header.Set(standin.HeaderTestID, id)
	req.Header.Set("X-Note", "copy of "+key.Secret)
	switch number % 4 {
	case 0:
		req.Header.Set("Authorization", "Bearer "+key.Secret)
	case 1:
		req.Header.Set(call.HeaderKey, key.Secret)
	case 3:
		req.AddCookie(&http.Cookie{Name: "mangomast_key", Value: key.Secret})
	}
	resp, err := client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		return errors.Errorf("status %s: %.200s", resp.Status, body)
	}
	if !bytes.Equal(body, standin.Payload(id, size)) {
		return errors.Errorf("answer of %d bytes differs from what was sent", len(body))
	}
	return nil
}

func pathReports(ctx context.Context, fleet *rig.Rig, figures *pathFigures) error {
	figures.ChainRuns = make([]int, 3)
	order := []string{"dispatch", "fares", "ledger"}
	for _, node := range fleet.Nodes {
		report, err := fleet.Report(ctx, node)
		if err != nil {
			return err
		}
		figures.KeysSeen += report.KeysSeen
		for i, service := range order {
			if node.Spec.Service == service {
				figures.ChainRuns[i] += report.Total
			}
		}
	}
	return nil
}
