package bench

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/mangomast/mangomast/call"
	"github.com/mangomast/mangomast/config"
	"github.com/mangomast/mangomast/internal/rig"
	"github.com/mangomast/mangomast/internal/standin"
	"github.com/mangomast/mangomast/jsonc"
	"github.com/mangomast/mangomast/retry"
)

func init() {
	Register(Case{Name: "retries", Help: "upstream calls for one request while every hop of a chain of five fails and everyone retries", Run: runRetries})
}

const (
	chainLength = 5
	// callerSends is the maximum number of times that a caller sends a request
	// that fails.
	callerSends        = 4
	concurrentCallers  = 16
	vmsPerService      = 2
	shortCallerTimeout = 25 * time.Millisecond
	longCallerTimeout  = 10 * time.Second
	// membershipSettle is the time in which each node of a new fleet learns of
	// every VM of the services that it calls: two rounds between relays and one
	// between a node and its relay.
	membershipSettle = 2500 * time.Millisecond
)

// retryMode is one way of making the hops of the chain fail.
type retryMode struct {
	name     string
	requests int
	// timeout is the caller's timeout for one send.
	timeout   time.Duration
	behaviour func(level int) standin.Behaviour
	// byRequestID makes callers repeat the request ID of their first response
	// instead of sending an idempotency key.
	byRequestID bool
	// allRegions makes callers distribute their sends over all regions; their
	// idempotency keys name a region.
	allRegions bool
	// injectFaults runs during the requests; nil for no faults.
	injectFaults func(ctx context.Context, fleet *rig.Rig)
}

// retryRow is the result of one mode.
type retryRow struct {
	Mode     string `json:"mode"`
	Requests int    `json:"requests"`
	Answered int    `json:"answered"`
	Bound    int    `json:"bound"`
	// MaxRuns is the maximum number of runs of one request at each level of the
	// chain.
	MaxRuns []int `json:"max_runs"`
	// MaxTotal is the maximum number of runs of one request at all levels
	// together.
	MaxTotal int `json:"max_total"`
	// Runs is the number of runs of all requests at each level.
	Runs []int `json:"runs"`
}

func (r retryRow) holds() bool {
	for _, runs := range r.MaxRuns {
		if runs > r.Bound {
			return false
		}
	}
	return r.MaxRuns[0] > 0
}

type retryFigures struct {
	Budget    int        `json:"budget"`
	Bounded   []retryRow `json:"bounded"`
	Unbounded retryRow   `json:"unbounded"`
	// Throttled is the share of retries at each level with the settings of
	// throttleSettings; ThrottledBound is the maximum permitted share.
	Throttled      []float64 `json:"throttled_retry_shares"`
	ThrottledBound []float64 `json:"throttled_retry_share_bounds"`
}

func runRetries(ctx context.Context, env *Env) (*Report, error) {
	const budget = 3
	figures := &retryFigures{Budget: budget}
	report := &Report{Holds: true, Figures: figures, Header: []string{
		"mode", "requests", "answered", "bound at each level", "max runs at levels 1-5", "max in all",
	}}
	// The reserve disables the throttle, which would stop nearly all retries
	// before the budget is used up.
	err := withChainFleet(ctx, budget, `{"reserve": 1000000}`, func(fleet *rig.Rig, key Key) error {
		for _, mode := range retryModes(budget) {
			row, err := runRetryMode(ctx, fleet, key, mode, budget)
			if err != nil {
				return err
			}
			figures.Bounded = append(figures.Bounded, row)
			report.Holds = report.Holds && row.holds()
			report.Rows = append(report.Rows, row.cells())
		}
		return nil
	})
	if err != nil {
		return nil, err
	}
	err = withChainFleet(ctx, budget, throttleSettings, func(fleet *rig.Rig, key Key) error {
		return runThrottled(ctx, fleet, key, figures, report)
	})
	if err != nil {
		return nil, err
	}
	err = withChainFleet(ctx, 1, `{"unbounded": true}`, func(fleet *rig.Rig, key Key) error {
		figures.Unbounded, err = runRetryMode(ctx, fleet, key, unboundedMode(), 1)
		report.Rows = append(report.Rows, figures.Unbounded.cells())
		return err
	})
	return report, err
}

func (r retryRow) cells() []string {
	return []string{r.Mode, fmt.Sprint(r.Requests), fmt.Sprint(r.Answered), fmt.Sprint(r.Bound), fmt.Sprint(r.MaxRuns), fmt.Sprint(r.MaxTotal)}
}

// withChainFleet runs f on a fleet with the services hop-1 to hop-5, each of
// which calls the next.
func withChainFleet(ctx context.Context, budget int, settings string, f func(*rig.Rig, Key) error) error {
	doc := &config.Document{}
	keys := AddOrganisations(doc, 1, 1e6, 1e6)
	var nodes []rig.NodeSpec
	for level := 1; level <= chainLength; level++ {
		service := hopService(level)
		AddService(doc, service, func(r *config.Route) {
			r.RetryBudget = budget
			r.Deadline = jsonc.Duration(longCallerTimeout)
		})
		for _, node := range SpreadVMs(service, vmsPerService, 100, standin.Behaviour{}) {
			node.Modules = map[string]json.RawMessage{"retry": json.RawMessage(settings)}
			nodes = append(nodes, node)
		}
	}
	AddDomains(doc, nodes)
	fleet, err := rig.Start(ctx, rig.Options{Nodes: nodes, Document: doc})
	if err != nil {
		return err
	}
	defer fleet.Close()
	if err := waitServing(ctx, fleet.Nodes, keys[0], "/"+hopService(1)+"/x"); err != nil {
		return err
	}
	return f(fleet, keys[0])
}

func hopService(level int) string { return fmt.Sprintf("hop-%d", level) }

// nextTargets returns the targets that the upstream of a level calls.
func nextTargets(level int) []string {
	if level == chainLength {
		return nil
	}
	return []string{"/" + hopService(level+1) + "/x"}
}

func retryModes(budget int) []retryMode {
	failing := func(percent int, abort bool) func(int) standin.Behaviour {
		return func(level int) standin.Behaviour {
			return standin.Behaviour{
				WorkMicros: 500, FailPercent: percent, FailLate: true, Abort: abort,
				Callees: nextTargets(level), ChildRetries: budget,
			}
		}
	}
	slow := func(level int) standin.Behaviour {
		return standin.Behaviour{WorkMicros: 10_000, Jitter: 0.5, Callees: nextTargets(level), ChildRetries: budget}
	}
	return []retryMode{
		{name: "answered 500", requests: 200, timeout: longCallerTimeout, behaviour: failing(100, false)},
		{name: "answered 500, by request id", requests: 200, timeout: longCallerTimeout, behaviour: failing(100, false), byRequestID: true},
		{name: "answered 500, by request id, two regions", requests: 200, timeout: longCallerTimeout, behaviour: failing(100, false), byRequestID: true, allRegions: true},
		{name: "answered 500, two regions", requests: 200, timeout: longCallerTimeout, behaviour: failing(100, false), allRegions: true},
		{name: "half answered 500", requests: 200, timeout: longCallerTimeout, behaviour: failing(50, false)},
		{name: "broken connections", requests: 200, timeout: longCallerTimeout, behaviour: failing(100, true)},
		{name: "half broken", requests: 200, timeout: longCallerTimeout, behaviour: failing(50, true)},
		{name: "callers give up", requests: 100, timeout: shortCallerTimeout, behaviour: slow},
		{name: "nodes cut off", requests: 200, timeout: longCallerTimeout, behaviour: failing(30, false), injectFaults: flapConnections},
		{name: "refused connections", requests: 100, timeout: longCallerTimeout, behaviour: failing(50, false), injectFaults: killLastHop},
	}
}

// unboundedMode sends fewer requests with fewer retries than the other modes,
// because without a budget the retries of the levels multiply.
func unboundedMode() retryMode {
	return retryMode{name: "answered 500, unbounded", requests: 4, timeout: longCallerTimeout, behaviour: func(level int) standin.Behaviour {
		return standin.Behaviour{WorkMicros: 500, FailPercent: 100, FailLate: true, Callees: nextTargets(level), ChildRetries: 1}
	}}
}

// flapConnections cuts the connections into each node in turn.
func flapConnections(ctx context.Context, fleet *rig.Rig) {
	const interval = 40 * time.Millisecond
	defer fleet.Network.SetRule(func(string, string) rig.Faults { return rig.Faults{} })
	for i := 0; ctx.Err() == nil; i++ {
		cutListener := fleet.Nodes[i%len(fleet.Nodes)].Spec.VM + "/mesh"
		fleet.Network.SetRule(func(_, listener string) rig.Faults { return rig.Faults{Cut: listener == cutListener} })
		time.Sleep(interval)
	}
}

// killLastHop kills the upstreams of the last service. Their nodes keep running.
func killLastHop(_ context.Context, fleet *rig.Rig) {
	for _, node := range fleet.Nodes[len(fleet.Nodes)-vmsPerService:] {
		node.Upstream.Kill()
	}
}

func runRetryMode(ctx context.Context, fleet *rig.Rig, key Key, mode retryMode, budget int) (retryRow, error) {
	for i, node := range fleet.Nodes {
		if err := fleet.SetBehaviour(ctx, node, mode.behaviour(1+i/vmsPerService)); err != nil {
			return retryRow{}, err
		}
	}
	if mode.allRegions {
		time.Sleep(membershipSettle)
	}
	row := retryRow{Mode: mode.name, Requests: mode.requests, Bound: 1 + budget}
	faultCtx, stop := context.WithCancel(ctx)
	defer stop()
	faultsDone := make(chan struct{})
	go func() {
		defer close(faultsDone)
		if mode.injectFaults != nil {
			mode.injectFaults(faultCtx, fleet)
		}
	}()
	row.Answered = sendWithRetries(ctx, fleet, key, mode)
	stop()
	<-faultsDone
	return row, countRuns(ctx, fleet, mode, &row)
}

// sendWithRetries sends the requests of the mode, each up to callerSends times,
// and returns the number that succeeded.
func sendWithRetries(ctx context.Context, fleet *rig.Rig, key Key, mode retryMode) int {
	client := newHTTPClient(mode.timeout)
	ingress := nodesInRegion(fleet, placements[0].region)
	if mode.allRegions {
		ingress = fleet.Nodes
	}
	succeeded := make([]bool, mode.requests)
	var group errgroup.Group
	group.SetLimit(concurrentCallers)
	for i := range mode.requests {
		group.Go(func() error {
			caller := claimingCaller{client: client, key: key, testID: mode.id(i), claim: mode.id(i), header: "Idempotency-Key"}
			if mode.allRegions {
				caller.claim = retry.WithRegion(caller.claim, placements[i%len(placements)].region)
			}
			if mode.byRequestID {
				caller.claim, caller.header = "", call.HeaderRequestID
			}
			for n := 0; n < callerSends && !succeeded[i]; n++ {
				succeeded[i] = caller.send(ctx, ingress[(i+n)%len(ingress)])
			}
			return nil
		})
	}
	_ = group.Wait()
	count := 0
	for _, ok := range succeeded {
		if ok {
			count++
		}
	}
	return count
}

func (m retryMode) id(number int) string { return fmt.Sprintf("%s-%d", m.name, number) }

// nodesInRegion returns the nodes of a region.
func nodesInRegion(fleet *rig.Rig, region string) []*rig.Node {
	var nodes []*rig.Node
	for _, node := range fleet.Nodes {
		if node.Spec.Region == region {
			nodes = append(nodes, node)
		}
	}
	return nodes
}

// claimingCaller sends one request repeatedly under the same claim, an
// idempotency key or a request ID.
type claimingCaller struct {
	client *http.Client
	key    Key
	testID string
	// claim is sent in the header named by header. If it is empty, it is set to
	// the request ID of the first response.
	claim  string
	header string
}

func (c *claimingCaller) send(ctx context.Context, node *rig.Node) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+node.Callers+"/"+hopService(1)+"/x", nil)
	if err != nil {
		return false
	}
	req.Header.Set("Authorization", "Bearer "+c.key.Secret)
	req.Header.Set(standin.HeaderTestID, c.testID)
	if c.claim != "" {
		req.Header.Set(c.header, c.claim)
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	if c.claim == "" {
		c.claim = resp.Header.Get(call.HeaderRequestID)
	}
	_, err = io.Copy(io.Discard, resp.Body)
	return err == nil && resp.StatusCode == http.StatusOK
}

// countRuns adds the runs of the mode's requests at the upstreams to the row.
func countRuns(ctx context.Context, fleet *rig.Rig, mode retryMode, row *retryRow) error {
	runs := make([][]int, mode.requests)
	for i := range runs {
		runs[i] = make([]int, chainLength)
	}
	for n, node := range fleet.Nodes {
		report, err := fleet.Report(ctx, node)
		if err != nil && mode.injectFaults == nil {
			return err
		}
		for i := range runs {
			runs[i][n/vmsPerService] += report.Runs[mode.id(i)]
		}
	}
	row.MaxRuns, row.Runs = make([]int, chainLength), make([]int, chainLength)
	for _, levels := range runs {
		total := 0
		for level, count := range levels {
			row.MaxRuns[level] = max(row.MaxRuns[level], count)
			row.Runs[level] += count
			total += count
		}
		row.MaxTotal = max(row.MaxTotal, total)
	}
	return nil
}
