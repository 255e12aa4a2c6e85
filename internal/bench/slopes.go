package bench

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/mangomast/mangomast/config"
	"github.com/mangomast/mangomast/internal/rig"
	"github.com/mangomast/mangomast/internal/standin"
	"github.com/mangomast/mangomast/membership"
)

func init() {
	Register(Case{
		Name: "slopes", Run: runSlopes, Plots: true,
		Help: "4 to 64 nodes in four and in one failure domain: calls on the store, and control bytes, processor and memory of a node",
	})
}

const (
	defaultSlopeDuration = 10 * time.Second
	// fleetSettle is the time that a new fleet gets to settle before the
	// measurement.
	fleetSettle = 8 * time.Second
	// maxStoreGrowth bounds the growth factor of the store calls when the fleet
	// grows sixteenfold with the same number of failure domains.
	maxStoreGrowth = 2
	// Budget of a node for control traffic: processor cores and bytes per
	// second.
	maxControlCores = 0.017
	maxControlBytes = 21_000
	// targetChanges is the target rate of configuration changes per second,
	// rounded up.
	targetChanges = 1
)

// fleetShape is the size of a fleet of the slopes case and its rate of
// configuration changes per second.
type fleetShape struct{ nodes, domains, changes int }

// fleetShapes grow the fleet with a constant number of failure domains, grow a
// single failure domain, and change the configuration at the target rate.
var fleetShapes = []fleetShape{
	{nodes: 4, domains: 4}, {nodes: 16, domains: 4}, {nodes: 64, domains: 4},
	{nodes: 16, domains: 1}, {nodes: 64, domains: 1},
	{nodes: 16, domains: 1, changes: targetChanges}, {nodes: 64, domains: 1, changes: targetChanges},
	{nodes: 64, domains: 4, changes: targetChanges},
}

// nodeCost is the average cost of control traffic for a group of nodes.
type nodeCost struct {
	Count          int     `json:"count"`
	BytesPerSecond float64 `json:"control_bytes_per_second"`
	Cores          float64 `json:"cores"`
	ResidentMB     float64 `json:"rss_mb"`
}

func (c *nodeCost) add(before, after nodeUsage, seconds float64) {
	c.Count++
	c.BytesPerSecond += (after.bytes - before.bytes) / seconds
	c.Cores += (after.usage.CPU - before.usage.CPU).Seconds() / seconds
	c.ResidentMB += float64(after.usage.ResidentBytes) / 1e6
}

func (c *nodeCost) average() {
	n := float64(max(1, c.Count))
	c.BytesPerSecond, c.Cores, c.ResidentMB = c.BytesPerSecond/n, c.Cores/n, c.ResidentMB/n
}

// slopeRow is the result of one fleet shape.
type slopeRow struct {
	Nodes int `json:"nodes"`
	// Domains is the number of failure domains; ChangesPerSecond is the rate of
	// configuration changes.
	Domains             int      `json:"failure_domains"`
	ChangesPerSecond    int      `json:"changes_per_second"`
	StoreCallsPerMinute float64  `json:"store_calls_per_minute"`
	StoreWatches        int64    `json:"store_watches"`
	Relay               nodeCost `json:"relay"`
	Other               nodeCost `json:"other"`
}

type slopeFigures struct {
	Sizes []slopeRow `json:"sizes"`
}

func runSlopes(ctx context.Context, env *Env) (*Report, error) {
	if err := checkPlotFile(env.Plot); err != nil {
		return nil, err
	}
	length := env.Duration
	if length == 0 {
		length = defaultSlopeDuration
	}
	figures := &slopeFigures{}
	for _, shape := range fleetShapes {
		row, err := measureSlope(ctx, shape, length)
		if err != nil {
			return nil, err
		}
		figures.Sizes = append(figures.Sizes, row)
	}
	if env.Plot != "" {
		if err := plotSlopes(figures.Sizes, env.Plot); err != nil {
			return nil, err
		}
	}
	return figures.report(), nil
}

// idleFleet returns nodes without upstreams and their configuration document.
func idleFleet(size, domains int) ([]rig.NodeSpec, *config.Document) {
	doc := &config.Document{}
	AddOrganisations(doc, 8, 1000, 1000)
	AddService(doc, "fares", nil)
	nodes := SpreadVMs("fares", size, 10, standin.Behaviour{})
	for i := range nodes {
		place := placements[i%domains]
		nodes[i].FailureDomain, nodes[i].Region, nodes[i].Service = place.domain, place.region, ""
	}
	AddDomains(doc, nodes)
	return nodes, doc
}

// changeDocument changes the burst of an organisation perSecond times per second
// until ctx ends.
func changeDocument(ctx context.Context, fleet *rig.Rig, doc *config.Document, perSecond int) {
	for number := 0; perSecond > 0; number++ {
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Second / time.Duration(perSecond)):
		}
		doc.Organisations[0].Burst = float64(1000 + number%100)
		if err := fleet.ApplyDocument(ctx, doc); err != nil {
			return
		}
	}
}

// measureSlope starts nodes without upstreams and measures the cost of control
// traffic.
func measureSlope(ctx context.Context, shape fleetShape, length time.Duration) (slopeRow, error) {
	nodes, doc := idleFleet(shape.nodes, shape.domains)
	fleet, err := rig.Start(ctx, rig.Options{Nodes: nodes, Document: doc})
	if err != nil {
		return slopeRow{}, err
	}
	defer fleet.Close()
	changeCtx, stop := context.WithCancel(ctx)
	defer stop()
	go changeDocument(changeCtx, fleet, doc, shape.changes)
	time.Sleep(fleetSettle)
	storeBefore, err := fleet.StoreCounts(ctx)
	if err != nil {
		return slopeRow{}, err
	}
	before, err := nodeUsages(ctx, fleet)
	if err != nil {
		return slopeRow{}, err
	}
	started := time.Now()
	time.Sleep(length)
	after, err := nodeUsages(ctx, fleet)
	if err != nil {
		return slopeRow{}, err
	}
	seconds := time.Since(started).Seconds()
	storeAfter, err := fleet.StoreCounts(ctx)
	if err != nil {
		return slopeRow{}, err
	}
	row := slopeRow{
		Nodes: shape.nodes, Domains: shape.domains, ChangesPerSecond: shape.changes, StoreWatches: storeAfter.Waiting,
		StoreCallsPerMinute: float64(storeCalls(storeAfter)-storeCalls(storeBefore)) / seconds * 60,
	}
	relays := relayNames(fleet)
	for i, node := range fleet.Nodes {
		cost := &row.Other
		if relays[node.Spec.VM] {
			cost = &row.Relay
		}
		cost.add(before[i], after[i], seconds)
	}
	row.Relay.average()
	row.Other.average()
	return row, nil
}

// relayNames returns the VMs that are relays when all nodes are up.
func relayNames(fleet *rig.Rig) map[string]bool {
	domains := map[string][]membership.Entry{}
	for _, node := range fleet.Nodes {
		domain := node.Spec.FailureDomain
		domains[domain] = append(domains[domain], membership.Entry{VM: node.Spec.VM, FailureDomain: domain})
	}
	names := map[string]bool{}
	for _, entries := range domains {
		for _, relay := range membership.Relays(entries) {
			names[relay.VM] = true
		}
	}
	return names
}

// nodeUsage is the cumulative resource usage of a node.
type nodeUsage struct {
	usage rig.Usage
	bytes float64
}

func nodeUsages(ctx context.Context, fleet *rig.Rig) ([]nodeUsage, error) {
	var all []nodeUsage
	for _, node := range fleet.Nodes {
		usage, err := node.Process.Usage()
		if err != nil {
			return nil, err
		}
		bytes, err := meshBytes(ctx, node)
		if err != nil {
			return nil, err
		}
		all = append(all, nodeUsage{usage: usage, bytes: bytes})
	}
	return all, nil
}

// meshBytes returns the number of bytes that a node has sent to and received
// from other nodes.
func meshBytes(ctx context.Context, node *rig.Node) (float64, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+node.Admin+"/metrics", nil)
	if err != nil {
		return 0, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, errors.Wrap(err, "read metrics")
	}
	defer resp.Body.Close()
	total := 0.0
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		name, value, _ := strings.Cut(lines.Text(), " ")
		if !strings.HasPrefix(name, "mangomast_mesh_sent_bytes_total") && !strings.HasPrefix(name, "mangomast_mesh_received_bytes_total") {
			continue
		}
		number, err := strconv.ParseFloat(value, 64)
		if err != nil {
			return 0, errors.Wrap(err, name)
		}
		total += number
	}
	return total, errors.Wrap(lines.Err(), "read metrics")
}

func (f *slopeFigures) report() *Report {
	report := &Report{Holds: true, Figures: f, Header: []string{
		"nodes", "domains", "changes/s", "store calls/min", "watches", "relays: B/s", "cores", "MB", "others: B/s", "cores", "MB",
	}}
	first := f.Sizes[0]
	for _, row := range f.Sizes {
		cells := []string{fmt.Sprint(row.Nodes), fmt.Sprint(row.Domains), fmt.Sprint(row.ChangesPerSecond), fmt.Sprintf("%.0f", row.StoreCallsPerMinute), fmt.Sprint(row.StoreWatches)}
		for _, cost := range []nodeCost{row.Relay, row.Other} {
			cells = append(cells, fmt.Sprintf("%.0f", cost.BytesPerSecond), fmt.Sprintf("%.4f", cost.Cores), fmt.Sprintf("%.0f", cost.ResidentMB))
			if row.Domains < len(placements) {
				continue
			}
			report.Holds = report.Holds && cost.BytesPerSecond <= maxControlBytes && cost.Cores <= maxControlCores
		}
		report.Rows = append(report.Rows, cells)
		if row.ChangesPerSecond > 0 || row.Domains < len(placements) {
			continue
		}
		report.Holds = report.Holds && row.StoreCallsPerMinute <= maxStoreGrowth*first.StoreCallsPerMinute
	}
	return report
}
