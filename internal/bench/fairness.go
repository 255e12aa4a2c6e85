package bench

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/mangomast/mangomast/call"
	"github.com/mangomast/mangomast/config"
	"github.com/mangomast/mangomast/internal/load"
	"github.com/mangomast/mangomast/internal/rig"
	"github.com/mangomast/mangomast/internal/standin"
	"github.com/mangomast/mangomast/jsonc"
)

func init() {
	Register(Case{Name: "fairness", Help: "one organisation at eight times its rate, seven within theirs, near the upstreams' capacity", Run: runFairness})
}

// Load of the fairness case. The capacity of the upstreams is
// fairVMs*fairSlots/fairWork = 356 requests per second, 1.1 times the sum of
// the organisations' rates.
const (
	fairOrgs         = 8
	fairRate         = 40.0
	fairBurst        = 20.0
	fairModestFactor = 0.9
	fairGreedyFactor = 8.0
	fairVMs          = 4
	fairSlots        = 4
	fairWork         = 45 * time.Millisecond
	fairWarmup       = 2 * time.Second
	fairDuration     = 10 * time.Second
	minFairServed    = 0.98
	maxFairWrongful  = 0.005
)

// fairMode is one configuration under which the callers are served.
type fairMode struct {
	name    string
	direct  bool
	modules map[string]json.RawMessage
}

// fairOrg counts the requests of one organisation and their attempts.
type fairOrg struct {
	Sent     int `json:"sent"`
	OK       int `json:"ok"`
	Attempts int `json:"attempts"`
	// Refused counts the attempts that were refused without being executed.
	Refused int `json:"refused"`
}

func (o fairOrg) served() float64 { return float64(o.OK) / float64(max(1, o.Sent)) }

func (o fairOrg) refused() float64 { return float64(o.Refused) / float64(max(1, o.Attempts)) }

// fairRow is the result of one mode.
type fairRow struct {
	Mode string `json:"mode"`
	// WorstServed is the lowest share of requests served to any organisation
	// within its rate; WrongfulRefusals is the share of refused attempts over
	// all organisations within their rates. GreedyPerSecond is the goodput of
	// the organisation that exceeds its rate.
	WorstServed      float64   `json:"worst_served"`
	WrongfulRefusals float64   `json:"wrongful_refusals"`
	GreedyPerSecond  float64   `json:"greedy_per_second"`
	Goodput          float64   `json:"goodput_per_second"`
	Orgs             []fairOrg `json:"organisations"`
}

type fairFigures struct {
	Modes []fairRow `json:"modes"`
}

func runFairness(ctx context.Context, env *Env) (*Report, error) {
	off := sheddingOff()
	off["quota"] = json.RawMessage(`{"mode": "off"}`)
	modes := []fairMode{{name: "layer"}, {name: "quota and shedding off", modules: off}, {name: "straight", direct: true}}
	rows := make([]fairRow, len(modes))
	var err error
	if rows[0], err = measureFairness(ctx, env, modes[0]); err != nil {
		return nil, err
	}
	group, groupCtx := errgroup.WithContext(ctx)
	for i := 1; i < len(modes); i++ {
		group.Go(func() (err error) {
			rows[i], err = measureFairness(groupCtx, env, modes[i])
			return err
		})
	}
	if err := group.Wait(); err != nil {
		return nil, err
	}
	return fairReport(rows), nil
}

func fairReport(rows []fairRow) *Report {
	report := &Report{
		Holds:   rows[0].WorstServed >= minFairServed && rows[0].WrongfulRefusals <= maxFairWrongful,
		Figures: &fairFigures{Modes: rows},
		Header:  []string{"mode", "worst of seven served", "wrongful refusals", "greedy/s", "goodput/s"},
	}
	for _, r := range rows {
		report.Rows = append(report.Rows, []string{
			r.Mode, fmt.Sprintf("%.4f", r.WorstServed), fmt.Sprintf("%.4f", r.WrongfulRefusals), fmt.Sprintf("%.0f", r.GreedyPerSecond), fmt.Sprintf("%.0f", r.Goodput),
		})
	}
	return report
}

// fairRun is the running fleet and the counts of one mode.
type fairRun struct {
	fleet   *rig.Rig
	mode    fairMode
	seed    uint64
	keys    []Key
	client  *http.Client
	started time.Time

	mu   sync.Mutex
	orgs []fairOrg
}

func measureFairness(ctx context.Context, env *Env, mode fairMode) (fairRow, error) {
	doc := &config.Document{}
	keys := AddOrganisations(doc, fairOrgs, fairRate, fairBurst)
	AddService(doc, "fares", func(r *config.Route) { r.Deadline = jsonc.Duration(callerTimeout) })
	nodes := SpreadVMs("fares", fairVMs, fairSlots, standin.Behaviour{WorkMicros: int(fairWork.Microseconds()), Jitter: workJitter})
	for i := range nodes {
		nodes[i].Modules = mode.modules
	}
	AddDomains(doc, nodes)
	fleet, err := rig.Start(ctx, rig.Options{Nodes: nodes, Document: doc})
	if err != nil {
		return fairRow{}, err
	}
	defer fleet.Close()
	run := &fairRun{
		fleet: fleet, mode: mode, seed: env.Seed, keys: keys, client: newHTTPClient(callerTimeout),
		started: time.Now(), orgs: make([]fairOrg, fairOrgs),
	}
	run.generateLoad(ctx)
	return run.row(), nil
}

// generateLoad generates the demand of every organisation. The demand of the
// first one is fairGreedyFactor times its rate.
func (run *fairRun) generateLoad(ctx context.Context) {
	var group sync.WaitGroup
	for org := range fairOrgs {
		demand := fairModestFactor * fairRate
		if org == 0 {
			demand = fairGreedyFactor * fairRate
		}
		group.Go(func() {
			load.Run(ctx, load.Options{Rate: demand, Duration: fairWarmup + fairDuration, Do: run.request(org)})
		})
	}
	group.Wait()
}

// request returns a function that sends one request of an organisation with the
// caller's own retries. Requests sent during the warm-up are not counted.
func (run *fairRun) request(org int) func(context.Context, int) load.Sample {
	return func(ctx context.Context, number int) load.Sample {
		random := rand.New(rand.NewPCG(run.seed, uint64(org)<<32+uint64(number)))
		counted := time.Since(run.started) >= fairWarmup
		result := fairOrg{Sent: 1}
		for attempt := 0; attempt <= callerRetries && result.OK == 0; attempt++ {
			if attempt > 0 {
				time.Sleep(callerRetryPause)
			}
			result.Attempts++
			ok, refused := run.attempt(ctx, run.fleet.Nodes[random.IntN(fairVMs)], run.keys[org])
			if ok {
				result.OK = 1
			}
			if refused {
				result.Refused++
			}
		}
		if counted {
			run.add(org, result)
		}
		return load.Sample{OK: result.OK == 1}
	}
}

func (run *fairRun) add(org int, result fairOrg) {
	run.mu.Lock()
	defer run.mu.Unlock()
	sum := &run.orgs[org]
	sum.Sent++
	sum.OK += result.OK
	sum.Attempts += result.Attempts
	sum.Refused += result.Refused
}

func (run *fairRun) attempt(ctx context.Context, node *rig.Node, key Key) (ok, refused bool) {
	address := node.Callers
	if run.mode.direct {
		address = node.UpstreamAddress
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/fares/quote?bytes=64", http.NoBody)
	if err != nil {
		return false, false
	}
	req.Header.Set("Authorization", "Bearer "+key.Secret)
	resp, err := run.client.Do(req)
	if err != nil {
		return false, false
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	refused = resp.Header.Get(call.HeaderOutcome) == call.Refused.String()
	return err == nil && resp.StatusCode == http.StatusOK, refused
}

func (run *fairRun) row() fairRow {
	run.mu.Lock()
	defer run.mu.Unlock()
	row := fairRow{Mode: run.mode.name, WorstServed: 1, Orgs: run.orgs}
	var within fairOrg
	for i, org := range run.orgs {
		row.Goodput += float64(org.OK) / fairDuration.Seconds()
		if i == 0 {
			row.GreedyPerSecond = row.Goodput
			continue
		}
		row.WorstServed = min(row.WorstServed, org.served())
		within.Attempts += org.Attempts
		within.Refused += org.Refused
	}
	row.WrongfulRefusals = within.refused()
	return row
}
