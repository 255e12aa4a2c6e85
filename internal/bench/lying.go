package bench

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/mangomast/mangomast/config"
	"github.com/mangomast/mangomast/internal/load"
	"github.com/mangomast/mangomast/internal/rig"
	"github.com/mangomast/mangomast/internal/standin"
	"github.com/mangomast/mangomast/jsonc"
	"github.com/mangomast/mangomast/membership"
)

func init() {
	Register(Case{Name: "lying-health", Help: "one upstream says healthy and fails, one says overloaded and is fine, one starts cold", Run: runLyingHealth})
}

const (
	lyingSlots      = 8
	lyingWorkMicros = 40_000
	// lyingRate is 1.5 times the capacity of one VM. Two working VMs and the
	// cold one remain to serve it, so at best all requests succeed.
	lyingRate        = 300
	lyingDuration    = 6 * time.Second
	minLyingGoodput  = 0.95
	lyingColdMillis  = 4000
	lyingColdFactor  = 5
	coldStartDelay   = time.Second
	lyingVMs         = 4
	lyingDeadline    = 2 * time.Second
	lyingRetryBudget = 2
)

// Indexes of the four VMs of the service. All other nodes of the fleet are
// ingress nodes.
const (
	failingVM = iota
	coldVM
	healthyVM
	falseOverloadVM
)

// lyingVariant is one configuration of the nodes.
type lyingVariant struct {
	name     string
	dispatch string
	retries  int
	// required is set if the variant must reach minLyingGoodput.
	required bool
}

func lyingVariants() []lyingVariant {
	return []lyingVariant{
		{name: "as shipped", dispatch: `{}`, retries: lyingRetryBudget, required: true},
		{name: "no retries", dispatch: `{}`, required: true},
		{name: "no retries, no ejection", dispatch: `{"routing": {"eject_failures": 0}}`},
		{name: "no retries, nothing learned", dispatch: `{"routing": {"policy": "near"}}`},
	}
}

type lyingRow struct {
	Variant string `json:"variant"`
	Sent    int    `json:"sent"`
	OK      int    `json:"ok"`
	// Goodput is the share of the best possible goodput, at which all requests
	// succeed.
	Goodput float64 `json:"goodput_of_best"`
	P99Ms   int64   `json:"p99_ms"`
	// Runs are the runs at failingVM, coldVM, healthyVM and falseOverloadVM, in
	// this order.
	Runs []int `json:"runs"`
}

type lyingFigures struct {
	Rows []lyingRow `json:"variants"`
}

func runLyingHealth(ctx context.Context, env *Env) (*Report, error) {
	figures := &lyingFigures{}
	report := &Report{Holds: true, Figures: figures, Header: []string{
		"variant", "sent", "ok", "goodput of best", "p99 ms", "runs at failing", "cold", "honest", "says overloaded",
	}}
	duration := env.Duration
	if duration == 0 {
		duration = lyingDuration
	}
	runs, err := startLying(ctx, lyingVariants())
	defer closeLying(runs)
	if err != nil {
		return nil, err
	}
	for _, run := range runs {
		row, err := run.measure(ctx, duration)
		if err != nil {
			return nil, err
		}
		figures.Rows = append(figures.Rows, row)
		report.Rows = append(report.Rows, row.cells())
		report.Holds = report.Holds && (!run.variant.required || row.Goodput >= minLyingGoodput)
	}
	return report, nil
}

func (r lyingRow) cells() []string {
	cells := []string{r.Variant, fmt.Sprint(r.Sent), fmt.Sprint(r.OK), fmt.Sprintf("%.4f", r.Goodput), fmt.Sprint(r.P99Ms)}
	for _, runs := range r.Runs {
		cells = append(cells, fmt.Sprint(runs))
	}
	return cells
}

// lyingFleet returns the four VMs of the service, followed by four ingress
// nodes.
func lyingFleet(settings string) []rig.NodeSpec {
	nodes := SpreadVMs("fares", lyingVMs, lyingSlots, standin.Behaviour{WorkMicros: lyingWorkMicros, Jitter: 0.2})
	nodes[failingVM].Behaviour.FailPercent = 100
	nodes[failingVM].Behaviour.WorkMicros = 500
	nodes[failingVM].Behaviour.AnnouncedHealth = "healthy"
	nodes[coldVM].Behaviour.ColdMillis = lyingColdMillis
	nodes[coldVM].Behaviour.ColdFactor = lyingColdFactor
	nodes[falseOverloadVM].Behaviour.AnnouncedHealth = "overloaded"
	nodes[falseOverloadVM].Behaviour.AnnouncedLoad = 1
	nodes = append(nodes, SpreadVMs("front", len(placements), 10, standin.Behaviour{})...)
	for i := range nodes {
		nodes[i].Modules = map[string]json.RawMessage{"dispatch": json.RawMessage(settings)}
	}
	return nodes
}

// lyingRun is the running fleet of one variant.
type lyingRun struct {
	variant lyingVariant
	fleet   *rig.Rig
	key     Key
}

// startLying starts the fleets of all variants concurrently. If one fails, the
// fleets that did start are returned along with the error.
func startLying(ctx context.Context, variants []lyingVariant) ([]*lyingRun, error) {
	runs := make([]*lyingRun, len(variants))
	group, ctx := errgroup.WithContext(ctx)
	for i, variant := range variants {
		group.Go(func() (err error) {
			runs[i], err = startLyingVariant(ctx, variant)
			return err
		})
	}
	return runs, group.Wait()
}

func closeLying(runs []*lyingRun) {
	for _, run := range runs {
		if run != nil {
			run.fleet.Close()
		}
	}
}

func runLyingVariant(ctx context.Context, variant lyingVariant, duration time.Duration) (lyingRow, error) {
	run, err := startLyingVariant(ctx, variant)
	if err != nil {
		return lyingRow{}, err
	}
	defer run.fleet.Close()
	return run.measure(ctx, duration)
}

func startLyingVariant(ctx context.Context, variant lyingVariant) (*lyingRun, error) {
	doc := &config.Document{}
	keys := AddOrganisations(doc, 1, 1e6, 1e6)
	AddService(doc, "front", nil)
	AddService(doc, "fares", func(r *config.Route) {
		r.Deadline = jsonc.Duration(lyingDeadline)
		r.RetryBudget = variant.retries
	})
	nodes := lyingFleet(variant.dispatch)
	AddDomains(doc, nodes)
	fleet, err := rig.Start(ctx, rig.Options{Nodes: nodes, Document: doc})
	if err != nil {
		return nil, err
	}
	if err := waitServing(ctx, fleet.Nodes[lyingVMs:], keys[0], "/front/x"); err != nil {
		fleet.Close()
		return nil, err
	}
	return &lyingRun{variant: variant, fleet: fleet, key: keys[0]}, nil
}

// measure stops the upstream of the cold VM, generates the load and starts the
// upstream again after coldStartDelay.
func (run *lyingRun) measure(ctx context.Context, duration time.Duration) (lyingRow, error) {
	fleet := run.fleet
	delayBetweenRegions(fleet)
	if err := stopUpstream(ctx, fleet, coldVM); err != nil {
		return lyingRow{}, err
	}
	started := make(chan error, 1)
	go func() {
		time.Sleep(coldStartDelay)
		started <- fleet.StartUpstream(fleet.Nodes[coldVM])
	}()
	result := sendViaIngress(ctx, fleet, run.key, duration)
	if err := <-started; err != nil {
		return lyingRow{}, err
	}
	return countLyingRuns(ctx, fleet, run.variant, result)
}

func delayBetweenRegions(fleet *rig.Rig) {
	fleet.Network.SetRule(func(source, listener string) rig.Faults {
		from, to := rig.RegionOf(fleet, source), rig.RegionOf(fleet, listener)
		if from != to && from != "" && to != "" {
			return rig.Faults{Delay: crossRegionDelay}
		}
		return rig.Faults{}
	})
}

// stopUpstream kills the upstream of a VM and waits until no node lists the VM
// as ready.
func stopUpstream(ctx context.Context, fleet *rig.Rig, index int) error {
	stopped := fleet.Nodes[index]
	stopped.Upstream.Kill()
	for _, node := range fleet.Nodes {
		for ready := true; ready; {
			status, err := fleet.Status(ctx, node)
			if err != nil {
				return err
			}
			ready = false
			for _, entry := range status.Members {
				ready = ready || (entry.VM == stopped.Spec.VM && entry.State == membership.Ready)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	return nil
}

// sendViaIngress sends the load through the ingress nodes in turn.
func sendViaIngress(ctx context.Context, fleet *rig.Rig, key Key, duration time.Duration) *load.Result {
	client := newHTTPClient(2 * lyingDeadline)
	ingressNodes := fleet.Nodes[lyingVMs:]
	return load.Run(ctx, load.Options{Rate: lyingRate, Duration: duration, Do: func(ctx context.Context, number int) load.Sample {
		target := "http://" + ingressNodes[number%len(ingressNodes)].Callers + "/fares/quote?bytes=512"
		return load.Sample{OK: getOK(ctx, client, target, key) == nil}
	}})
}

func countLyingRuns(ctx context.Context, fleet *rig.Rig, variant lyingVariant, result *load.Result) (lyingRow, error) {
	row := lyingRow{
		Variant: variant.name, Sent: result.All.Sent, OK: result.All.OK,
		Goodput: float64(result.All.OK) / float64(max(1, result.All.Sent)),
		P99Ms:   result.All.Percentile(99).Milliseconds(),
	}
	for _, node := range fleet.Nodes[:lyingVMs] {
		report, err := fleet.Report(ctx, node)
		if err != nil {
			return row, err
		}
		row.Runs = append(row.Runs, report.Total)
	}
	return row, nil
}
