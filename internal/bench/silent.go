package bench

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/mangomast/mangomast/client"
	"github.com/mangomast/mangomast/config"
	"github.com/mangomast/mangomast/internal/load"
	"github.com/mangomast/mangomast/internal/rig"
	"github.com/mangomast/mangomast/internal/standin"
)

func init() {
	Register(Case{Name: "silent", Help: "no request waits long because connections between nodes went silent", Run: runSilent})
}

const (
	silentRate        = 300
	blackholeCount    = 4
	blackholeInterval = 2500 * time.Millisecond
	maxSilentWait     = 2 * time.Second
)

// silentFigures are the figures of one run of the silent case.
type silentFigures struct {
	Requests int `json:"requests"`
	// Blackholed counts the connections that were blackholed: they stayed open
	// but dropped all bytes.
	Blackholed int `json:"silenced"`
	// Slow counts the requests that took longer than maxSilentWait.
	Slow int `json:"slow"`
	// Failed counts the requests that did not succeed. PinnedFailed counts
	// those of them that are not idempotent. LateFailed counts those sent more
	// than maxSilentWait after connections were blackholed, and thus over new
	// connections.
	Failed       int `json:"failed"`
	PinnedFailed int `json:"pinned_failed"`
	LateFailed   int `json:"late_failed"`

	LongestMS int64 `json:"longest_ms"`
	P99MS     int64 `json:"p99_ms"`

	// Reasons counts the failures by the reason that the caller saw.
	Reasons map[string]int `json:"reasons,omitempty"`

	mu sync.Mutex
	// blackholedAt is the time at which connections were last blackholed.
	blackholedAt time.Time
}

func (f *silentFigures) holds() bool {
	return f.Slow == 0 && f.PinnedFailed == 0 && f.LateFailed == 0
}

func (f *silentFigures) cells(name string) []string {
	return []string{
		name, fmt.Sprint(f.Requests), fmt.Sprint(f.Blackholed), fmt.Sprint(f.Slow), fmt.Sprint(f.Failed),
		fmt.Sprint(f.PinnedFailed), fmt.Sprint(f.LateFailed),
		fmt.Sprint(f.LongestMS), fmt.Sprint(f.P99MS),
	}
}

func runSilent(ctx context.Context, env *Env) (*Report, error) {
	off, err := silentRun(ctx, env, map[string]json.RawMessage{"mesh": json.RawMessage(`{"ping_interval": "1h"}`)})
	if err != nil {
		return nil, err
	}
	on, err := silentRun(ctx, env, nil)
	if err != nil {
		return nil, err
	}
	return &Report{
		Holds:   on.holds() && off.Slow > 0,
		Figures: on,
		Header:  []string{"pings", "requests", "silenced", "slower than 2 s", "failed", "failed, pinned", "failed later", "longest ms", "p99 ms"},
		Rows:    [][]string{off.cells("off"), on.cells("on")},
	}, nil
}

// silentRun blackholes a third of the connections between nodes blackholeCount
// times under load. modules are additional module settings of the nodes.
func silentRun(ctx context.Context, env *Env, modules map[string]json.RawMessage) (*silentFigures, error) {
	doc := &config.Document{}
	keys := AddOrganisations(doc, 1, 100_000, 100_000)
	AddService(doc, "fares", nil)
	AddService(doc, "charge", func(r *config.Route) { r.Service, r.Idempotent = "fares", false })
	doc.Services = doc.Services[:1]
	AddService(doc, "other", nil)
	nodes := append(SpreadVMs("fares", 4, 60, standin.Behaviour{WorkMicros: 10_000}), SpreadVMs("other", 2, 10, standin.Behaviour{})...)
	for i := range nodes {
		nodes[i].Modules = modules
	}
	AddDomains(doc, nodes)
	fleet, err := rig.Start(ctx, rig.Options{Nodes: nodes, Document: doc})
	if err != nil {
		return nil, err
	}
	defer fleet.Close()
	figures := &silentFigures{Reasons: map[string]int{}}
	random := rand.New(rand.NewPCG(env.Seed, 4))
	var group sync.WaitGroup
	group.Go(func() { figures.send(ctx, fleet, keys[0]) })
	for range blackholeCount {
		time.Sleep(blackholeInterval)
		figures.markBlackholed()
		figures.Blackholed += fleet.Network.Blackhole(func(_, listener string) bool {
			return strings.HasSuffix(listener, "/mesh") && random.IntN(blackholeOneIn) == 0
		})
	}
	group.Wait()
	return figures, nil
}

// send sends requests to all nodes in turn, each without retries, and records
// their latency.
func (f *silentFigures) send(ctx context.Context, fleet *rig.Rig, key Key) {
	callers := make([]*client.Client, len(fleet.Nodes))
	for i, node := range fleet.Nodes {
		callers[i] = client.New(client.Options{Addresses: []string{node.Callers}, Key: key.Secret})
	}
	result := load.Run(ctx, load.Options{Rate: silentRate, Duration: (blackholeCount + 1) * blackholeInterval, Do: func(ctx context.Context, number int) load.Sample {
		req := &client.Request{Method: http.MethodGet, Target: "/fares/quote?bytes=500", Idempotent: true}
		if number%2 == 0 {
			req = &client.Request{Method: http.MethodPost, Target: "/charge/fare?bytes=500"}
		}
		started := time.Now()
		resp, err := callers[number%len(callers)].Send(ctx, req, "")
		ok := err == nil && resp.Status == http.StatusOK
		f.observe(started, !req.Idempotent, ok, failureReason(resp, err))
		return load.Sample{OK: ok}
	}})
	f.Requests, f.Failed = result.All.Sent, result.All.Sent-result.All.OK
	f.P99MS = result.All.Percentile(99).Milliseconds()
}

func (f *silentFigures) markBlackholed() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.blackholedAt = time.Now()
}

func (f *silentFigures) observe(started time.Time, pinned, ok bool, reason string) {
	took := time.Since(started)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.LongestMS = max(f.LongestMS, took.Milliseconds())
	if took > maxSilentWait {
		f.Slow++
	}
	if ok {
		return
	}
	f.Reasons[reason]++
	if pinned {
		f.PinnedFailed++
	}
	if started.Sub(f.blackholedAt) > maxSilentWait {
		f.LateFailed++
	}
}
