package bench

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/mangomast/mangomast/config"
	"github.com/mangomast/mangomast/internal/load"
	"github.com/mangomast/mangomast/internal/rig"
	"github.com/mangomast/mangomast/internal/standin"
)

func init() {
	Register(Case{Name: "store-outage", Help: "the store down for 20 s (--for), then slow: goodput, and the load on it when it returns", Run: runStoreOutage})
	Register(Case{Name: "store-outage-unwitnessed", Help: "the same without witnesses; holds if callers are refused", Run: runOutageWithoutWitnesses})
}

const (
	outageRate          = 400
	defaultOutage       = 20 * time.Second
	outagePhaseDuration = 5 * time.Second
	minOutageShare      = 0.99
	maxStoreCallFactor  = 2
	// storeSampleInterval is the interval over which peak store load is
	// measured.
	storeSampleInterval = 1 * time.Second
	phaseDown           = "down"
)

// outagePhaseRow is one phase of the store-outage case.
type outagePhaseRow struct {
	Phase string `json:"phase"`
	Sent  int    `json:"sent"`
	OK    int    `json:"ok"`
	// StoreCallsPerSecond and StorePeak are the calls that reached the store per
	// second, on average and in the busiest second, including refused calls.
	StoreCallsPerSecond float64 `json:"store_calls_per_second"`
	StorePeak           int64   `json:"store_peak_per_second"`
	// Waiting is the number of watches open at the end of the phase.
	Waiting int64 `json:"watches_waiting"`
}

func (r outagePhaseRow) goodput() float64 { return float64(r.OK) / max(1, float64(r.Sent)) }

type outageFigures struct {
	Phases []outagePhaseRow `json:"phases"`
}

func runStoreOutage(ctx context.Context, env *Env) (*Report, error) {
	outage := env.Duration
	if outage == 0 {
		outage = defaultOutage
	}
	return measureOutage(ctx, nil, outage)
}

func runOutageWithoutWitnesses(ctx context.Context, _ *Env) (*Report, error) {
	modules := map[string]json.RawMessage{"config": json.RawMessage(`{"without_witnesses": true}`)}
	report, err := measureOutage(ctx, modules, outagePhaseDuration)
	if err == nil {
		report.Holds = !report.Holds
	}
	return report, err
}

func measureOutage(ctx context.Context, modules map[string]json.RawMessage, outage time.Duration) (*Report, error) {
	doc := &config.Document{}
	keys := AddOrganisations(doc, 2, 100_000, 100_000)
	AddService(doc, "fares", nil)
	nodes := SpreadVMs("fares", 16, 40, standin.Behaviour{WorkMicros: 1000})
	for i := range nodes {
		nodes[i].Modules = modules
	}
	AddDomains(doc, nodes)
	fleet, err := rig.Start(ctx, rig.Options{Nodes: nodes, Document: doc})
	if err != nil {
		return nil, err
	}
	defer fleet.Close()
	if err := waitWitnesses(ctx, fleet); err != nil {
		return nil, err
	}
	figures := &outageFigures{}
	if err := outagePhases(ctx, fleet, keys, outage, figures); err != nil {
		return nil, err
	}
	return figures.report(), nil
}

// waitWitnesses waits until each failure domain's part of the witness table is
// written and accepted, as it is in a fleet that has been running for long.
func waitWitnesses(ctx context.Context, fleet *rig.Rig) error {
	const settle = 6 * time.Second
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(settle):
	}
	return fleet.WaitReady(ctx)
}

// outagePhases sends a constant load while the store is healthy, down, healthy
// again and slow.
func outagePhases(ctx context.Context, fleet *rig.Rig, keys []Key, outage time.Duration, figures *outageFigures) error {
	phases := []struct {
		name   string
		faults standin.Faults
		length time.Duration
	}{
		{"normal", standin.Faults{}, outagePhaseDuration},
		{phaseDown, standin.Faults{Outage: true}, outage},
		{"back", standin.Faults{}, outagePhaseDuration},
		{"slow (500 ms)", standin.Faults{DelayMillis: 500}, outagePhaseDuration},
	}
	var current atomic.Pointer[string]
	current.Store(&phases[0].name)
	client := newHTTPClient(5 * time.Second)
	loadCtx, stop := context.WithCancel(ctx)
	done := make(chan *load.Result, 1)
	go func() {
		done <- load.Run(loadCtx, load.Options{Rate: outageRate, Duration: time.Hour, Do: func(_ context.Context, number int) load.Sample {
			phase := *current.Load()
			node := fleet.Nodes[number%len(fleet.Nodes)]
			status, _, err := getStatus(ctx, client, "http://"+node.CallersProxy+"/fares/quote", keys[number%len(keys)])
			return load.Sample{OK: err == nil && status == http.StatusOK, Class: phase}
		}})
	}()
	for _, phase := range phases {
		if err := fleet.SetStoreFaults(ctx, phase.faults); err != nil {
			stop()
			return err
		}
		current.Store(&phase.name)
		row, err := measureStoreCalls(ctx, fleet, phase.length)
		if err != nil {
			stop()
			return err
		}
		row.Phase = phase.name
		figures.Phases = append(figures.Phases, row)
	}
	stop()
	result := <-done
	for i := range figures.Phases {
		row := &figures.Phases[i]
		if class := result.Classes[row.Phase]; class != nil {
			row.Sent, row.OK = class.Sent, class.OK
		}
	}
	return nil
}

// measureStoreCalls measures the store calls over the given duration.
func measureStoreCalls(ctx context.Context, fleet *rig.Rig, length time.Duration) (outagePhaseRow, error) {
	var row outagePhaseRow
	first, err := fleet.StoreCounts(ctx)
	if err != nil {
		return row, err
	}
	started, last := time.Now(), first
	for time.Since(started) < length {
		time.Sleep(storeSampleInterval)
		counts, err := fleet.StoreCounts(ctx)
		if err != nil {
			return row, err
		}
		row.StorePeak = max(row.StorePeak, storeCalls(counts)-storeCalls(last))
		last = counts
	}
	row.StoreCallsPerSecond = float64(storeCalls(last)-storeCalls(first)) / time.Since(started).Seconds()
	row.Waiting = last.Waiting
	return row, nil
}

// storeCalls returns the number of calls as the platform counts them, including
// failed ones.
func storeCalls(c standin.Counts) int64 {
	return c.Reads + c.Writes + c.Leases + c.Watches + c.Failed
}

func (f *outageFigures) report() *Report {
	report := &Report{Holds: true, Figures: f, Header: []string{"store", "sent", "goodput", "store calls/s", "worst second", "watches"}}
	normal := f.Phases[0]
	for _, row := range f.Phases {
		report.Rows = append(report.Rows, []string{
			row.Phase, fmt.Sprint(row.Sent), fmt.Sprintf("%.4f", row.goodput()),
			fmt.Sprintf("%.1f", row.StoreCallsPerSecond), fmt.Sprint(row.StorePeak), fmt.Sprint(row.Waiting),
		})
		report.Holds = report.Holds && row.Sent > 0 && row.goodput() >= minOutageShare*normal.goodput()
		if row.Phase != phaseDown {
			report.Holds = report.Holds && row.StoreCallsPerSecond <= maxStoreCallFactor*normal.StoreCallsPerSecond &&
				row.StorePeak <= maxStoreCallFactor*normal.StorePeak
		}
	}
	return report
}
