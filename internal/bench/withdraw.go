package bench

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/mangomast/mangomast/config"
	"github.com/mangomast/mangomast/internal/rig"
	"github.com/mangomast/mangomast/internal/standin"
)

func init() {
	Register(Case{Name: "withdraw", Help: "a key withdrawn under 200 keep-alive callers: when the last request of it runs", Run: runWithdraw})
	Register(Case{Name: "withdraw-unfenced", Help: "the same with freshness ignored; holds if the withdrawn key lives on", Run: runWithdrawUnfenced})
}

const (
	withdrawCallers = 200
	// maxWithdrawal is the required bound on the time from the withdrawal of a
	// key to the last run of a request with it.
	maxWithdrawal = 4 * time.Second
	// withdrawObservation is the time for which callers keep sending after the
	// withdrawal.
	withdrawObservation = 7 * time.Second
	requestPause        = 100 * time.Millisecond
)

// withdrawScenario is one condition under which a key is withdrawn.
type withdrawScenario struct {
	name string
	// start injects the fault just before the withdrawal; end clears it while
	// the callers still send requests.
	start, end func(ctx context.Context, fleet *rig.Rig) error
}

// withdrawRow is the result of one scenario.
type withdrawRow struct {
	Scenario string `json:"scenario"`
	// LastRunMs is the time from the commit of the withdrawal in the store until
	// an upstream last began a request with the withdrawn key.
	LastRunMs int64 `json:"last_run_ms"`
	// Before and After count the successful requests with the key that were
	// sent before and after the withdrawal.
	Before int `json:"answered_before"`
	After  int `json:"answered_after"`
	// Refused counts the responses to requests with the key whose status was
	// not 200; RefusedStale counts those refused because the node's
	// configuration was stale.
	Refused      int `json:"refused"`
	RefusedStale int `json:"refused_stale"`
}

type withdrawFigures struct {
	Rows []withdrawRow `json:"scenarios"`
}

func runWithdraw(ctx context.Context, env *Env) (*Report, error) {
	report, figures, err := withdrawAll(ctx, env, nil, withdrawScenarios())
	if err != nil {
		return nil, err
	}
	report.Holds = true
	for _, row := range figures.Rows {
		report.Holds = report.Holds && row.Before > 0 && row.Refused > 0 && row.LastRunMs <= maxWithdrawal.Milliseconds()
	}
	return report, nil
}

func runWithdrawUnfenced(ctx context.Context, env *Env) (*Report, error) {
	modules := map[string]json.RawMessage{"config": json.RawMessage(`{"ignore_freshness": true}`)}
	regionCut := slices.DeleteFunc(withdrawScenarios(), func(s withdrawScenario) bool { return s.name != "region cut" })
	report, figures, err := withdrawAll(ctx, env, modules, regionCut)
	if err != nil {
		return nil, err
	}
	report.Holds = figures.Rows[0].LastRunMs > maxWithdrawal.Milliseconds()
	return report, nil
}

func withdrawScenarios() []withdrawScenario {
	noFault := func(context.Context, *rig.Rig) error { return nil }
	slowStore := func(millis int) func(context.Context, *rig.Rig) error {
		return func(ctx context.Context, fleet *rig.Rig) error {
			return fleet.SetStoreFaults(ctx, standin.Faults{DelayMillis: millis})
		}
	}
	return []withdrawScenario{
		{name: "calm", start: noFault, end: noFault},
		{name: "store slow (500 ms)", start: slowStore(500), end: slowStore(0)},
		{name: "region cut", start: partitionRegions, end: healPartition},
		{
			name: "relay frozen",
			start: func(_ context.Context, fleet *rig.Rig) error {
				return FirstRelay(fleet, riga[0]).Process.Freeze()
			},
			end: func(_ context.Context, fleet *rig.Rig) error {
				return FirstRelay(fleet, riga[0]).Process.Resume()
			},
		},
	}
}

// partitionRegions cuts all connections between the regions. The store is in the
// first region.
func partitionRegions(_ context.Context, fleet *rig.Rig) error {
	fleet.Network.SetRule(func(source, listener string) rig.Faults {
		from, to := rig.RegionOf(fleet, source), rig.RegionOf(fleet, listener)
		if listener == rig.StoreListener {
			to = placements[0].region
		}
		return rig.Faults{Cut: from != "" && from != to}
	})
	return nil
}

func healPartition(_ context.Context, fleet *rig.Rig) error {
	fleet.Network.SetRule(func(string, string) rig.Faults { return rig.Faults{} })
	return nil
}

// withdrawAll runs the scenarios sequentially on one fleet, each with the key of
// a different organisation.
func withdrawAll(ctx context.Context, env *Env, modules map[string]json.RawMessage, scenarios []withdrawScenario) (*Report, *withdrawFigures, error) {
	doc := &config.Document{}
	keys := AddOrganisations(doc, len(scenarios), 100_000, 100_000)
	AddService(doc, "fares", nil)
	nodes := SpreadVMs("fares", 16, 40, standin.Behaviour{WorkMicros: 1000})
	for i := range nodes {
		nodes[i].Modules = modules
	}
	AddDomains(doc, nodes)
	fleet, err := rig.Start(ctx, rig.Options{Nodes: nodes, Document: doc})
	if err != nil {
		return nil, nil, err
	}
	defer fleet.Close()
	figures := &withdrawFigures{}
	report := &Report{Figures: figures, Header: []string{"scenario", "last run, ms after", "answered before", "after", "refused", "stale"}}
	for i, s := range scenarios {
		env.Logf("%s ...", s.name)
		row, err := withdrawOne(ctx, env, fleet, doc, keys[i], s)
		if err != nil {
			return nil, nil, errors.Wrap(err, s.name)
		}
		figures.Rows = append(figures.Rows, row)
		report.Rows = append(report.Rows, []string{
			row.Scenario, fmt.Sprint(row.LastRunMs), fmt.Sprint(row.Before), fmt.Sprint(row.After), fmt.Sprint(row.Refused), fmt.Sprint(row.RefusedStale),
		})
		if err := fleet.WaitReady(ctx); err != nil {
			return nil, nil, err
		}
	}
	return report, figures, nil
}

func withdrawOne(ctx context.Context, env *Env, fleet *rig.Rig, doc *config.Document, key Key, s withdrawScenario) (withdrawRow, error) {
	callers := startCallers(ctx, env, fleet, key)
	defer callers.stop()
	time.Sleep(time.Second)
	if err := s.start(ctx, fleet); err != nil {
		return withdrawRow{}, err
	}
	doc.Keys = slices.DeleteFunc(doc.Keys, func(k config.Key) bool { return k.Organisation == key.Organisation })
	if err := fleet.ApplyDocument(ctx, doc); err != nil {
		return withdrawRow{}, err
	}
	withdrawn := time.Now()
	callers.markWithdrawn(withdrawn)
	time.Sleep(withdrawObservation)
	if err := s.end(ctx, fleet); err != nil {
		return withdrawRow{}, err
	}
	time.Sleep(time.Second)
	callers.stop()
	row := callers.row
	row.Scenario = s.name
	for _, node := range fleet.Nodes {
		report, err := fleet.Report(ctx, node)
		if err != nil {
			return row, err
		}
		last := time.UnixMicro(report.LastRunOf[key.Organisation])
		row.LastRunMs = max(row.LastRunMs, last.Sub(withdrawn).Milliseconds())
	}
	return row, nil
}

// keyCallers are callers that all use one key, each over its own keep-alive
// connection.
type keyCallers struct {
	key    Key
	cancel context.CancelFunc
	group  sync.WaitGroup

	mu        sync.Mutex
	withdrawn time.Time
	row       withdrawRow
}

func startCallers(ctx context.Context, env *Env, fleet *rig.Rig, key Key) *keyCallers {
	ctx, cancel := context.WithCancel(ctx)
	c := &keyCallers{key: key, cancel: cancel}
	for i := range withdrawCallers {
		node := fleet.Nodes[i%len(fleet.Nodes)]
		random := rand.New(rand.NewPCG(env.Seed, uint64(i)))
		c.group.Go(func() { c.run(ctx, node, random) })
	}
	return c
}

// run sends requests until the context ends. The timeout is long, so that
// requests are still pending when a frozen node resumes.
func (c *keyCallers) run(ctx context.Context, node *rig.Node, random *rand.Rand) {
	client := newHTTPClient(20 * time.Second)
	for ctx.Err() == nil {
		sent := time.Now()
		status, reason, err := getStatus(ctx, client, "http://"+node.CallersProxy+"/fares/quote", c.key)
		if err == nil {
			c.record(sent, status, reason)
		}
		time.Sleep(requestPause/2 + time.Duration(random.Int64N(int64(requestPause))))
	}
}

func (c *keyCallers) record(sent time.Time, status int, reason string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case status == http.StatusOK && (c.withdrawn.IsZero() || sent.Before(c.withdrawn)):
		c.row.Before++
	case status == http.StatusOK:
		c.row.After++
	default:
		c.row.Refused++
		if reason == "stale_config" {
			c.row.RefusedStale++
		}
	}
}

func (c *keyCallers) markWithdrawn(at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.withdrawn = at
}

func (c *keyCallers) stop() {
	c.cancel()
	c.group.Wait()
}
