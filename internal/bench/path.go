package bench

import (
	"bytes"
	"context"
	"encoding/json"
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
	// Complete counts requests whose response was complete and correct;
	// KeysSeen counts the requests in which an upstream saw a caller's key.
	Complete int `json:"whole"`
	KeysSeen int `json:"keys_seen"`
	// UnknownKeyRuns counts runs of requests with a key that was never issued.
	UnknownKeyRuns int `json:"stranger_runs"`
	// ChainRuns counts the runs at each of the three services.
	ChainRuns []int `json:"chain_runs"`
}

const crossRegionDelay = 15 * time.Millisecond

// chainFleet returns the VMs of a chain of three services in two regions.
func chainFleet() []rig.NodeSpec {
	dispatch := SpreadVMs("dispatch", 2, 40, standin.Behaviour{WorkMicros: 1000, Callees: []string{"/fares/quote"}})
	fares := SpreadVMs("fares", 2, 40, standin.Behaviour{WorkMicros: 1000, Callees: []string{"/ledger/entry"}})
	ledger := SpreadVMs("ledger", 2, 40, standin.Behaviour{WorkMicros: 1000})
	return append(append(dispatch, fares...), ledger...)
}

// uncheckedKeySettings are ingress settings that leave keys in requests and
// accept any key.
const uncheckedKeySettings = `{"experiments": {"keep_keys": true, "unchecked_keys": true}}`

func runPath(ctx context.Context, env *Env) (*Report, error) {
	off, _, err := pathRun(ctx, uncheckedKeySettings, []int{0})
	if err != nil {
		return nil, err
	}
	on, rows, err := pathRun(ctx, `{}`, []int{0, 16 << 10, 5 << 20})
	if err != nil {
		return nil, err
	}
	rows = append(rows,
		[]string{"keys at upstreams", fmt.Sprint(on.Requests), fmt.Sprint(on.KeysSeen), fmt.Sprintf("%d with the key left in", off.KeysSeen)},
		[]string{"runs without a known key", fmt.Sprint(unknownKeyRequests), fmt.Sprint(on.UnknownKeyRuns), fmt.Sprintf("%d with keys unchecked", off.UnknownKeyRuns)})
	return &Report{
		Holds:   on.holds() && off.KeysSeen > 0 && off.UnknownKeyRuns > 0,
		Figures: on,
		Header:  []string{"answer bytes", "requests", "whole", "first error"},
		Rows:    rows,
	}, nil
}

func (f *pathFigures) holds() bool {
	chained := len(f.ChainRuns) == 3 && f.ChainRuns[1] >= f.Requests && f.ChainRuns[2] >= f.Requests
	return f.Complete == f.Requests && f.KeysSeen == 0 && f.UnknownKeyRuns == 0 && chained
}

// pathRun starts a fleet and sends requests for responses of the given sizes to
// it.
func pathRun(ctx context.Context, ingress string, sizes []int) (*pathFigures, [][]string, error) {
	doc := &config.Document{}
	keys := AddOrganisations(doc, 2, 1000, 1000)
	for _, service := range []string{"dispatch", "fares", "ledger"} {
		AddService(doc, service, func(r *config.Route) { r.Deadline = jsonc.Duration(30 * time.Second) })
	}
	nodes := chainFleet()
	for i := range nodes {
		nodes[i].Modules = map[string]json.RawMessage{"ingress": json.RawMessage(ingress)}
	}
	AddDomains(doc, nodes)
	fleet, err := rig.Start(ctx, rig.Options{Nodes: nodes, Document: doc})
	if err != nil {
		return nil, nil, err
	}
	defer fleet.Close()
	fleet.Network.SetRule(func(source, listener string) rig.Faults {
		if rig.RegionOf(fleet, source) != rig.RegionOf(fleet, listener) {
			return rig.Faults{Delay: crossRegionDelay}
		}
		return rig.Faults{}
	})
	figures := &pathFigures{}
	var rows [][]string
	for _, size := range sizes {
		complete, firstErr := pathRequests(ctx, fleet, keys, size)
		figures.Requests += requestsPerSize
		figures.Complete += complete
		rows = append(rows, []string{fmt.Sprint(size), fmt.Sprint(requestsPerSize), fmt.Sprint(complete), fmt.Sprint(firstErr)})
	}
	if err := addPathReports(ctx, fleet, figures); err != nil {
		return nil, nil, err
	}
	figures.UnknownKeyRuns, err = sendUnknownKeys(ctx, fleet)
	return figures, rows, err
}

// unknownKeyRequests is the number of requests with a key that was never issued.
const unknownKeyRequests = 12

// sendUnknownKeys sends requests with unknown keys and returns the number of
// their runs.
func sendUnknownKeys(ctx context.Context, fleet *rig.Rig) (int, error) {
	caller := newHTTPClient(10 * time.Second)
	for i := range unknownKeyRequests {
		node := fleet.Nodes[i%len(fleet.Nodes)]
		// Refusals are returned as errors; only the runs matter here.
		_ = pathRequest(ctx, caller, node, Key{Secret: config.NewKey()}, i, unknownKeyBytes)
	}
	runs, err := fleet.Runs("dispatch")
	total := 0
	for i := range unknownKeyRequests {
		total += runs[pathTestID(unknownKeyBytes, i)]
	}
	return total, err
}

// unknownKeyBytes is the response size of requests with unknown keys. It makes
// their test IDs distinct from those of the other requests.
const unknownKeyBytes = 77

func pathTestID(size, number int) string { return fmt.Sprintf("path-%d-%d", size, number) }

const requestsPerSize = 20

func pathRequests(ctx context.Context, fleet *rig.Rig, keys []Key, size int) (complete int, firstErr error) {
	client := newHTTPClient(30 * time.Second)
	for i := range requestsPerSize {
		node := fleet.Nodes[i%len(fleet.Nodes)]
		err := pathRequest(ctx, client, node, keys[i%len(keys)], i, size)
		if err == nil {
			complete++
		} else if firstErr == nil {
			firstErr = err
		}
	}
	return complete, firstErr
}

// pathRequest sends a request with the key in one of the four supported places
// and compares the response body with the expected payload. A header that is not
// one of these places carries the key too.
func pathRequest(ctx context.Context, client *http.Client, node *rig.Node, key Key, number, size int) error {
	id := pathTestID(size, number)
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

func addPathReports(ctx context.Context, fleet *rig.Rig, figures *pathFigures) error {
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
