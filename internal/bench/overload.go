package bench

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"github.com/mangomast/mangomast/call"
	"github.com/mangomast/mangomast/internal/load"
	"github.com/mangomast/mangomast/internal/rig"
	"github.com/mangomast/mangomast/internal/standin"
)

func init() {
	Register(Case{Name: "overload", Help: "the deepest of four services slows down while demand triples and callers retry", Run: runOverload})
}

// Load of the overload case. The capacity of the deepest service is
// chainVMs*deepSlots/deepWork = 400 requests per second, and a third of that,
// 133, while it is slow.
const (
	normalRate        = 200
	surgeRate         = 600
	overloadWarmup    = 3 * time.Second
	overloadSurge     = 10 * time.Second
	overloadRecovery  = 6 * time.Second
	callerTimeout     = 1 * time.Second
	callerRetries     = 3
	callerRetryPause  = 50 * time.Millisecond
	chainVMs          = 2
	chainSlots        = 40
	chainWork         = 5 * time.Millisecond
	deepSlots         = 8
	deepWork          = 40 * time.Millisecond
	slowFactor        = 3
	workJitter        = 0.1
	hopTimeout        = 500 * time.Millisecond
	hopRetries        = 3
	topImportance     = 9
	overloadOrgs      = 8
	minOfCapacity     = 0.9
	minTopOK          = 0.99
	maxWasted         = 0.05
	minRecoveredShare = 0.95
	maxRecovery       = 3 * time.Second
)

// chain lists the services of the call chain from the first to the deepest.
var chain = []string{"dispatch", "fares", "riders", "ledger"}

// callerClass is a class of requests and its share of the demand.
type callerClass struct {
	name       string
	importance uint8
	share      float64
}

var callerClasses = []callerClass{
	{name: "charge", importance: topImportance, share: 0.15},
	{name: "quote", importance: 5, share: 0.45},
	{name: "history", importance: 2, share: 0.40},
}

// Streams of requests, each sent at its own rate.
const (
	normalStream = iota
	surgeStream
	// ingressOnlyStream is sent through the nodes without an upstream.
	ingressOnlyStream
)

// overloadMode is one configuration under which the chain is run.
type overloadMode struct {
	name string
	// direct makes all calls bypass the nodes.
	direct bool
	// ingressOnly is the number of nodes without an upstream.
	ingressOnly int
	modules     map[string]json.RawMessage
}

// sheddingOff returns module settings that disable load shedding, which leaves
// a concurrency limit and a FIFO queue.
func sheddingOff() map[string]json.RawMessage {
	off := json.RawMessage(`{"shedding": false}`)
	return map[string]json.RawMessage{"inbound": off, "ingress": off}
}

// overloadRow is the result of one mode.
type overloadRow struct {
	Mode          string  `json:"mode"`
	NormalGoodput float64 `json:"normal_goodput"`
	SurgeGoodput  float64 `json:"surge_goodput"`
	// OfCapacity is the goodput during the surge as a share of the capacity of
	// the slowed chain.
	OfCapacity float64 `json:"of_capacity"`
	// TopOK is the share of requests with topImportance that succeeded. Wasted
	// is the share of upstream work time spent on attempts that did not succeed.
	// Both are of the requests sent during the surge.
	TopOK  float64 `json:"top_ok"`
	Wasted float64 `json:"wasted"`
	// RecoverySeconds is the time after the surge until goodput stays at
	// minRecoveredShare of its normal value.
	RecoverySeconds float64 `json:"recovery_s"`
	AttemptsPerCall float64 `json:"attempts_per_call"`
	P99Millis       int64   `json:"p99_ms"`
}

type overloadFigures struct {
	SlowedCapacity float64       `json:"slowed_capacity"`
	Modes          []overloadRow `json:"modes"`
}

func runOverload(ctx context.Context, env *Env) (*Report, error) {
	runs, err := startOverloads(ctx, env, []overloadMode{
		{name: "layer"},
		{name: "shedding off", modules: sheddingOff()},
		{name: "straight", direct: true},
	})
	defer closeOverloads(runs)
	if err != nil {
		return nil, err
	}
	rows := make([]overloadRow, len(runs))
	if rows[0], err = runs[0].measure(ctx, env); err != nil {
		return nil, err
	}
	group, groupCtx := errgroup.WithContext(ctx)
	for i, run := range runs[1:] {
		group.Go(func() (err error) {
			rows[1+i], err = run.measure(groupCtx, env)
			return err
		})
	}
	if err := group.Wait(); err != nil {
		return nil, err
	}
	return overloadReport(rows), nil
}

// startOverloads starts the fleets of several modes concurrently. If one fails,
// the fleets that did start are returned along with the error.
func startOverloads(ctx context.Context, env *Env, modes []overloadMode) ([]*overloadRun, error) {
	runs := make([]*overloadRun, len(modes))
	group, ctx := errgroup.WithContext(ctx)
	for i, mode := range modes {
		group.Go(func() (err error) {
			runs[i], err = startOverload(ctx, env, mode)
			return err
		})
	}
	return runs, group.Wait()
}

func closeOverloads(runs []*overloadRun) {
	for _, run := range runs {
		if run != nil {
			run.fleet.Close()
		}
	}
}

func slowedCapacity() float64 {
	return chainVMs * deepSlots / (slowFactor * deepWork.Seconds())
}

func overloadReport(rows []overloadRow) *Report {
	report := &Report{
		Holds:   rows[0].holds(),
		Figures: &overloadFigures{SlowedCapacity: slowedCapacity(), Modes: rows},
		Header:  []string{"mode", "normal/s", "surge/s", "of slowed capacity", "top importance ok", "wasted work", "recovery s", "attempts/request", "p99 ms"},
	}
	for _, r := range rows {
		report.Rows = append(report.Rows, []string{
			r.Mode, fmt.Sprintf("%.0f", r.NormalGoodput), fmt.Sprintf("%.0f", r.SurgeGoodput),
			fmt.Sprintf("%.3f", r.OfCapacity), fmt.Sprintf("%.4f", r.TopOK), fmt.Sprintf("%.3f", r.Wasted),
			fmt.Sprintf("%.1f", r.RecoverySeconds), fmt.Sprintf("%.2f", r.AttemptsPerCall), fmt.Sprint(r.P99Millis),
		})
	}
	return report
}

func (r overloadRow) holds() bool {
	return r.OfCapacity >= minOfCapacity && r.TopOK >= minTopOK && r.Wasted <= maxWasted &&
		r.RecoverySeconds <= maxRecovery.Seconds()
}

// overloadRun is the running fleet and the requests of one mode.
type overloadRun struct {
	fleet   *rig.Rig
	mode    overloadMode
	seed    uint64
	keys    []Key
	client  *http.Client
	started time.Time

	// serving lists the nodes without an upstream that receive requests.
	serving atomic.Pointer[[]*rig.Node]

	mu       sync.Mutex
	requests []overloadRequest
}

// overloadRequest is the result of one request of a caller.
type overloadRequest struct {
	stream uint64
	// due and done are the times of the first send and of completion, relative
	// to the start of the run.
	due, done time.Duration
	ok        bool
	// top is set if the request has topImportance.
	top bool
	// attempts has the test ID of each attempt.
	attempts []string
	// failures are the reasons for failed attempts.
	failures []string
}

func measureOverload(ctx context.Context, env *Env, mode overloadMode) (overloadRow, error) {
	run, err := startOverload(ctx, env, mode)
	if err != nil {
		return overloadRow{}, err
	}
	defer run.fleet.Close()
	return run.measure(ctx, env)
}

// startOverload starts the fleet of a mode and waits until it serves requests.
func startOverload(ctx context.Context, env *Env, mode overloadMode) (*overloadRun, error) {
	doc, keys := overloadDocument()
	nodes := overloadNodes(mode)
	AddDomains(doc, nodes)
	fleet, err := rig.Start(ctx, rig.Options{Nodes: nodes, Document: doc})
	if err != nil {
		return nil, err
	}
	run := &overloadRun{fleet: fleet, mode: mode, seed: env.Seed, keys: keys, client: newHTTPClient(callerTimeout)}
	err = run.setSpeed(ctx, 1)
	if err == nil {
		err = run.waitAnswered(ctx)
	}
	if err != nil {
		fleet.Close()
		return nil, err
	}
	return run, nil
}

// measure generates the load and returns the figures of the mode.
func (run *overloadRun) measure(ctx context.Context, env *Env) (overloadRow, error) {
	if err := run.generateLoad(ctx); err != nil {
		return overloadRow{}, err
	}
	mode := run.mode
	env.Logf("%s: goodput each second %v", mode.name, run.perSecond())
	env.Logf("%s: failed attempts before the surge %v, in it %v, after it %v", mode.name,
		run.failures(0, overloadWarmup), run.failures(overloadWarmup, overloadWarmup+overloadSurge),
		run.failures(overloadWarmup+overloadSurge, overloadWarmup+overloadSurge+overloadRecovery))
	return run.row(ctx, env)
}

// waitAnswered waits until a request of each organisation succeeds at each node,
// so that the start-up of the fleet does not affect the measurement.
func (run *overloadRun) waitAnswered(ctx context.Context) error {
	const tries, pause = 100, 100 * time.Millisecond
	group, ctx := errgroup.WithContext(ctx)
	for _, node := range run.fleet.Nodes {
		for _, key := range run.keys {
			group.Go(func() error {
				failure := ""
				for range tries {
					target := "http://" + node.Callers + "/" + chain[0] + "/" + callerClasses[0].name + "/x"
					if failure = run.attempt(ctx, target, key, "settle"); failure == "" {
						return nil
					}
					time.Sleep(pause)
				}
				return errors.Errorf("requests of organisation %s keep failing at node %s: %s", key.Organisation, node.Spec.VM, failure)
			})
		}
	}
	return group.Wait()
}

// generateLoad sends the load: normalRate throughout and the difference to
// surgeRate during the surge, in which the deepest service is slowed down.
func (run *overloadRun) generateLoad(ctx context.Context) error {
	run.started = time.Now()
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error {
		load.Run(ctx, load.Options{Rate: normalRate, Duration: overloadWarmup + overloadSurge + overloadRecovery, Do: run.request(normalStream)})
		return nil
	})
	group.Go(func() error {
		time.Sleep(time.Until(run.started.Add(overloadWarmup)))
		if err := run.setSpeed(ctx, slowFactor); err != nil {
			return err
		}
		load.Run(ctx, load.Options{Rate: surgeRate - normalRate, Duration: overloadSurge, Do: run.request(surgeStream)})
		return nil
	})
	group.Go(func() error {
		time.Sleep(time.Until(run.started.Add(overloadWarmup + overloadSurge)))
		return run.setSpeed(ctx, 1)
	})
	if run.mode.ingressOnly > 0 {
		run.generateIngressOnlyLoad(ctx, group)
	}
	return group.Wait()
}

// ingressNodes returns the nodes that receive the requests of the stream.
func (run *overloadRun) ingressNodes(stream uint64) []*rig.Node {
	if stream == ingressOnlyStream {
		return *run.serving.Load()
	}
	return run.vms()
}

// request returns a function that sends one request of a stream with the
// caller's own retries and records the result.
func (run *overloadRun) request(stream uint64) func(context.Context, int) load.Sample {
	return func(ctx context.Context, number int) load.Sample {
		random := rand.New(rand.NewPCG(run.seed, stream<<32+uint64(number)))
		class := pickClass(random.Float64())
		key := run.keys[random.IntN(len(run.keys))]
		request := overloadRequest{stream: stream, due: time.Since(run.started), top: class.importance == topImportance}
		for attempt := 0; attempt <= callerRetries && !request.ok; attempt++ {
			if attempt > 0 {
				time.Sleep(callerRetryPause)
			}
			id := fmt.Sprintf("%d-%d-%d", stream, number, attempt)
			request.attempts = append(request.attempts, id)
			failure := run.attempt(ctx, run.entryURL(stream, class, random), key, id)
			request.ok = failure == ""
			if !request.ok {
				request.failures = append(request.failures, failure)
			}
		}
		request.done = time.Since(run.started)
		run.mu.Lock()
		defer run.mu.Unlock()
		run.requests = append(run.requests, request)
		return load.Sample{OK: request.ok}
	}
}

// pickClass returns the class for a uniformly distributed number in [0, 1),
// according to the shares of the classes.
func pickClass(at float64) callerClass {
	for _, class := range callerClasses {
		if at -= class.share; at < 0 {
			return class
		}
	}
	return callerClasses[len(callerClasses)-1]
}

// entryURL returns the URL that a caller sends its request to: a random node for
// the stream or, for direct calls, a random upstream of the first service.
func (run *overloadRun) entryURL(stream uint64, class callerClass, random *rand.Rand) string {
	path := "/" + chain[0] + "/" + class.name + "/x"
	if run.mode.direct {
		targets := run.targets(chain[0], path)
		return targets[random.IntN(len(targets))]
	}
	nodes := run.ingressNodes(stream)
	return "http://" + nodes[random.IntN(len(nodes))].Callers + path
}

// attempt sends the request once and returns the reason for its failure, or an
// empty string on success.
func (run *overloadRun) attempt(ctx context.Context, target string, key Key, id string) string {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return err.Error()
	}
	req.Header.Set("Authorization", "Bearer "+key.Secret)
	req.Header.Set(standin.HeaderTestID, id)
	resp, err := run.client.Do(req)
	if err != nil {
		return "no answer"
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return "broken answer"
	}
	if resp.StatusCode != http.StatusOK {
		return strings.TrimSpace(fmt.Sprintf("%d %s", resp.StatusCode, resp.Header.Get(call.HeaderReason)))
	}
	return ""
}
