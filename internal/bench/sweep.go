package bench

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/mangomast/mangomast/config"
	"github.com/mangomast/mangomast/internal/rig"
	"github.com/mangomast/mangomast/internal/standin"
)

func init() {
	for _, s := range routingSweeps() {
		Register(Case{Name: "sweep-" + s.name, Help: "the lying-health load with several values of " + s.parameter, Run: s.run})
	}
	Register(Case{Name: "sweep-retry-share", Help: "one VM, then all VMs of a service fail, with several shares of retries", Run: runRetrySweep})
}

const sweepDuration = 5 * time.Second

// routingSweep runs the lying-health load with several values of a setting.
type routingSweep struct {
	name      string
	parameter string
	values    []string
}

func routingSweeps() []routingSweep {
	return []routingSweep{
		{name: "ejection", parameter: "eject_failures", values: []string{"1", "3", "6", "12"}},
		{name: "ramp", parameter: "ramp", values: []string{`"0s"`, `"3s"`, `"10s"`, `"30s"`}},
		{name: "spill", parameter: "spill_domain", values: []string{"0.4", "0.6", "0.8", "1"}},
		{name: "subset", parameter: "subset_size", values: []string{"1", "2", "4", "20"}},
	}
}

func (s routingSweep) run(ctx context.Context, env *Env) (*Report, error) {
	figures := &lyingFigures{}
	report := &Report{Holds: true, Figures: figures, Header: []string{
		s.parameter, "sent", "ok", "goodput of best", "p99 ms", "runs at failing", "cold", "honest", "says overloaded",
	}}
	duration := env.Duration
	if duration == 0 {
		duration = sweepDuration
	}
	for _, value := range s.values {
		settings := fmt.Sprintf(`{"routing": {%q: %s}}`, s.parameter, value)
		row, err := runLyingVariant(ctx, lyingVariant{name: value, dispatch: settings}, duration)
		if err != nil {
			return nil, err
		}
		figures.Rows = append(figures.Rows, row)
		report.Rows = append(report.Rows, row.cells())
	}
	return report, nil
}

// retryShareRow is the result of one setting of the retry throttle.
type retryShareRow struct {
	Ratio   float64 `json:"ratio"`
	Reserve float64 `json:"reserve"`
	// OKWhileOneFails is the share of requests that succeed while one of four
	// VMs fails every request, measured from the start of the failure.
	OKWhileOneFails float64 `json:"ok_while_one_fails"`
	// RunsWhileAllFail is the number of runs per request while all VMs fail.
	RunsWhileAllFail float64 `json:"runs_while_all_fail"`
}

type retryShareFigures struct {
	Rows []retryShareRow `json:"shares"`
}

func runRetrySweep(ctx context.Context, _ *Env) (*Report, error) {
	figures := &retryShareFigures{}
	report := &Report{Holds: true, Figures: figures, Header: []string{"ratio", "reserve", "ok while one of 4 VMs fails", "runs for each request while all fail"}}
	for _, row := range []retryShareRow{
		{Ratio: 0, Reserve: 0}, {Ratio: 0.02, Reserve: 5}, {Ratio: 0.1, Reserve: 20}, {Ratio: 0.3, Reserve: 100}, {Ratio: 1, Reserve: 1e6},
	} {
		if err := row.measure(ctx); err != nil {
			return nil, err
		}
		figures.Rows = append(figures.Rows, row)
		report.Rows = append(report.Rows, []string{
			fmt.Sprint(row.Ratio), fmt.Sprint(row.Reserve), fmt.Sprintf("%.4f", row.OKWhileOneFails), fmt.Sprintf("%.3f", row.RunsWhileAllFail),
		})
	}
	return report, nil
}

func (r *retryShareRow) measure(ctx context.Context) error {
	const length = 3 * time.Second
	doc := &config.Document{}
	keys := AddOrganisations(doc, 1, 1e6, 1e6)
	AddService(doc, "front", nil)
	AddService(doc, "fares", func(route *config.Route) { route.RetryBudget = lyingRetryBudget })
	nodes := append(SpreadVMs("fares", lyingVMs, lyingSlots, standin.Behaviour{WorkMicros: lyingWorkMicros}),
		SpreadVMs("front", len(placements), 10, standin.Behaviour{})...)
	settings := mustJSON(struct {
		Ratio   float64 `json:"ratio"`
		Reserve float64 `json:"reserve"`
	}{r.Ratio, r.Reserve})
	for i := range nodes {
		nodes[i].Modules = map[string]json.RawMessage{"retry": json.RawMessage(settings)}
	}
	AddDomains(doc, nodes)
	fleet, err := rig.Start(ctx, rig.Options{Nodes: nodes, Document: doc})
	if err != nil {
		return err
	}
	defer fleet.Close()
	if err := waitServing(ctx, fleet.Nodes[lyingVMs:], keys[0], "/fares/quote"); err != nil {
		return err
	}
	sendViaIngress(ctx, fleet, keys[0], length)
	if err := failUpstreams(ctx, fleet, 1); err != nil {
		return err
	}
	oneFailing := sendViaIngress(ctx, fleet, keys[0], length)
	r.OKWhileOneFails = float64(oneFailing.All.OK) / float64(max(1, oneFailing.All.Sent))
	if err := failUpstreams(ctx, fleet, lyingVMs); err != nil {
		return err
	}
	before, err := totalRuns(ctx, fleet, lyingVMs)
	if err != nil {
		return err
	}
	allFailing := sendViaIngress(ctx, fleet, keys[0], length)
	after, err := totalRuns(ctx, fleet, lyingVMs)
	r.RunsWhileAllFail = float64(after-before) / float64(max(1, allFailing.All.Sent))
	return err
}

// failUpstreams makes the upstreams of the first count VMs answer every request
// with an error.
func failUpstreams(ctx context.Context, fleet *rig.Rig, count int) error {
	for _, node := range fleet.Nodes[:count] {
		if err := fleet.SetBehaviour(ctx, node, standin.Behaviour{WorkMicros: 500, FailPercent: 100}); err != nil {
			return err
		}
	}
	return nil
}

// totalRuns returns the number of runs at the first count VMs.
func totalRuns(ctx context.Context, fleet *rig.Rig, count int) (int, error) {
	total := 0
	for _, node := range fleet.Nodes[:count] {
		report, err := fleet.Report(ctx, node)
		if err != nil {
			return 0, err
		}
		total += report.Total
	}
	return total, nil
}
