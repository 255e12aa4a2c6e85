package bench

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/mangomast/mangomast/config"
	"github.com/mangomast/mangomast/internal/load"
	"github.com/mangomast/mangomast/internal/rig"
	"github.com/mangomast/mangomast/internal/standin"
)

func init() {
	Register(Case{Name: "added-latency", Help: "time that two nodes add to a call, beside the same call made straight", Run: runAddedLatency})
}

// maxAddedP99 is the required bound on the increase of the p99 latency.
const maxAddedP99 = 1900 * time.Microsecond

// latencyRow is the result of the added-latency case at one request rate.
type latencyRow struct {
	Rate          int     `json:"rate"`
	DirectP50Us   int64   `json:"straight_p50_us"`
	DirectP99Us   int64   `json:"straight_p99_us"`
	ViaNodesP50Us int64   `json:"through_p50_us"`
	ViaNodesP99Us int64   `json:"through_p99_us"`
	AddedP99Us    int64   `json:"added_p99_us"`
	Failed        int     `json:"failed"`
	IngressCores  float64 `json:"ingress_cores"`
	IngressMB     float64 `json:"ingress_rss_mb"`
	InboundCores  float64 `json:"inbound_cores"`
	InboundMB     float64 `json:"inbound_rss_mb"`
}

type latencyFigures struct {
	Rows []latencyRow `json:"rates"`
}

func runAddedLatency(ctx context.Context, env *Env) (*Report, error) {
	doc := &config.Document{}
	keys := AddOrganisations(doc, 1, 100_000, 100_000)
	AddService(doc, "fares", nil)
	AddService(doc, "other", nil)
	// The ingress node belongs to another service, so that calls cross the mesh.
	nodes := append(SpreadVMs("other", 1, 10, standin.Behaviour{}), SpreadVMs("fares", 1, 60, standin.Behaviour{WorkMicros: 2000})...)
	AddDomains(doc, nodes)
	for i := range nodes {
		nodes[i].Modules = map[string]json.RawMessage{"admin": json.RawMessage(`{"profiling": true}`)}
	}
	fleet, err := rig.Start(ctx, rig.Options{Nodes: nodes, Document: doc})
	if err != nil {
		return nil, err
	}
	defer fleet.Close()
	figures := &latencyFigures{}
	report := &Report{Holds: true, Figures: figures, Header: []string{
		"rate/s", "straight p50", "p99", "through p50", "p99", "added p99", "failed", "ingress cores", "MB", "inbound cores", "MB",
	}}
	env.Logf("profiles: http://%s/debug/pprof/profile?seconds=3 and http://%s/debug/pprof/profile?seconds=3", fleet.Nodes[0].Admin, fleet.Nodes[1].Admin)
	duration := env.Duration
	if duration == 0 {
		duration = 8 * time.Second
	}
	for _, rate := range []int{200, 2000} {
		row, err := measureLatency(ctx, fleet, keys[0], rate, duration)
		if err != nil {
			return nil, err
		}
		figures.Rows = append(figures.Rows, row)
		report.Rows = append(report.Rows, row.cells())
		report.Holds = report.Holds && row.Failed == 0 && row.AddedP99Us <= maxAddedP99.Microseconds()
	}
	return report, nil
}

func (r latencyRow) cells() []string {
	return []string{
		fmt.Sprint(r.Rate), fmt.Sprint(r.DirectP50Us), fmt.Sprint(r.DirectP99Us),
		fmt.Sprint(r.ViaNodesP50Us), fmt.Sprint(r.ViaNodesP99Us), fmt.Sprint(r.AddedP99Us), fmt.Sprint(r.Failed),
		fmt.Sprintf("%.2f", r.IngressCores), fmt.Sprintf("%.0f", r.IngressMB),
		fmt.Sprintf("%.2f", r.InboundCores), fmt.Sprintf("%.0f", r.InboundMB),
	}
}

// measureLatency sends direct calls and calls through the nodes concurrently,
// each at the given rate, so that both see the same load of the machine.
func measureLatency(ctx context.Context, fleet *rig.Rig, key Key, rate int, duration time.Duration) (latencyRow, error) {
	ingress, inbound := fleet.Nodes[0], fleet.Nodes[1]
	before, err := processUsages(ingress, inbound)
	if err != nil {
		return latencyRow{}, err
	}
	started := time.Now()
	var direct, viaNodes *load.Result
	var group sync.WaitGroup
	group.Go(func() { direct = sendLoad(ctx, inbound.UpstreamAddress, key, rate, duration) })
	group.Go(func() { viaNodes = sendLoad(ctx, ingress.Callers, key, rate, duration) })
	group.Wait()
	elapsed := time.Since(started).Seconds()
	after, err := processUsages(ingress, inbound)
	if err != nil {
		return latencyRow{}, err
	}
	row := latencyRow{
		Rate:          rate,
		DirectP50Us:   direct.All.Percentile(50).Microseconds(),
		DirectP99Us:   direct.All.Percentile(99).Microseconds(),
		ViaNodesP50Us: viaNodes.All.Percentile(50).Microseconds(),
		ViaNodesP99Us: viaNodes.All.Percentile(99).Microseconds(),
		Failed:        direct.All.Sent - direct.All.OK + viaNodes.All.Sent - viaNodes.All.OK,
		IngressCores:  (after[0].CPU - before[0].CPU).Seconds() / elapsed,
		InboundCores:  (after[1].CPU - before[1].CPU).Seconds() / elapsed,
		IngressMB:     float64(after[0].ResidentBytes) / 1e6,
		InboundMB:     float64(after[1].ResidentBytes) / 1e6,
	}
	row.AddedP99Us = row.ViaNodesP99Us - row.DirectP99Us
	return row, nil
}

func processUsages(nodes ...*rig.Node) ([]rig.Usage, error) {
	var all []rig.Usage
	for _, node := range nodes {
		usage, err := node.Process.Usage()
		if err != nil {
			return nil, err
		}
		all = append(all, usage)
	}
	return all, nil
}

func sendLoad(ctx context.Context, address string, key Key, rate int, duration time.Duration) *load.Result {
	client := newHTTPClient(5 * time.Second)
	return load.Run(ctx, load.Options{Rate: float64(rate), Duration: duration, Do: func(ctx context.Context, _ int) load.Sample {
		return load.Sample{OK: getOK(ctx, client, "http://"+address+"/fares/quote?bytes=512", key) == nil}
	}})
}

// getOK sends a GET request with a key and reads the whole response. It returns
// an error unless the status is 200.
func getOK(ctx context.Context, client *http.Client, target string, key Key) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return err
	}
	req.Header.Set("Authorization", "Bearer "+key.Secret)
	resp, err := client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("status %s", resp.Status)
	}
	return nil
}
