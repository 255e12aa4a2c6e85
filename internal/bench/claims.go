package bench

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/mangomast/mangomast/call"
	"github.com/mangomast/mangomast/client"
	"github.com/mangomast/mangomast/config"
	"github.com/mangomast/mangomast/internal/load"
	"github.com/mangomast/mangomast/internal/rig"
	"github.com/mangomast/mangomast/internal/standin"
)

func init() {
	Register(Case{Name: "claims", Help: "callers' own keys are claimed within the store's writes a second, whatever the number of nodes", Run: runClaims})
}

const (
	claimRate     = 1000
	claimDuration = 6 * time.Second
	// claimWarmupDuration lets connections and limits settle before the
	// measurement.
	claimWarmupDuration = 1500 * time.Millisecond
	// claimStoreWriteRate is the number of writes that the store executes per
	// second.
	claimStoreWriteRate   = 300
	claimStoreDelayMillis = 3
	// claimRepeatOneIn is the interval of requests that repeat an earlier key:
	// one in claimRepeatOneIn.
	claimRepeatOneIn = 10
	// maxClaimWriteRate bounds the writes per second that all nodes together
	// send to the store for claims; claimBurst is the burst that the writers
	// may accumulate in addition.
	maxClaimWriteRate = 200
	claimBurst        = 8
	minClaimSuccess   = 0.99
)

// claimVariant is a run with one way of writing claims.
type claimVariant struct {
	name     string
	nodes    int
	keyed    bool
	settings string
}

var (
	claimsUnkeyed     = claimVariant{name: "requests without a key", nodes: 8}
	claimsUnbatched   = claimVariant{name: "one write a claim", nodes: 8, keyed: true, settings: `{"direct": true, "max_batch": 1}`}
	claimsPerNode     = claimVariant{name: "each node writes its claims", nodes: 8, keyed: true, settings: `{"direct": true}`}
	claimsPerNode16   = claimVariant{name: "each node writes its claims", nodes: 16, keyed: true, settings: `{"direct": true}`}
	claimsPerDomain   = claimVariant{name: "one writer a failure domain", nodes: 8, keyed: true, settings: `{}`}
	claimsPerDomain16 = claimVariant{name: "one writer a failure domain", nodes: 16, keyed: true, settings: `{}`}
)

// claimFigures are the figures of one variant of the claims case.
type claimFigures struct {
	Nodes    int     `json:"nodes"`
	Seconds  float64 `json:"seconds"`
	Requests int     `json:"requests"`
	// Succeeded is the share of requests that succeeded.
	Succeeded float64 `json:"succeeded"`
	// Writes and Reads are the store's write and read calls per second.
	Writes         float64 `json:"writes_per_second"`
	Reads          float64 `json:"reads_per_second"`
	ClaimsPerWrite float64 `json:"claims_per_write"`
	P50MS          float64 `json:"p50_ms"`
	P99MS          float64 `json:"p99_ms"`
}

func (f *claimFigures) cells(name string) []string {
	return []string{
		name, fmt.Sprint(f.Nodes), fmt.Sprint(f.Requests), fmt.Sprintf("%.4f", f.Succeeded), fmt.Sprintf("%.0f", f.Writes),
		fmt.Sprintf("%.0f", f.Reads), fmt.Sprintf("%.1f", f.ClaimsPerWrite), fmt.Sprintf("%.1f", f.P50MS), fmt.Sprintf("%.1f", f.P99MS),
	}
}

// holds checks the writes for claims against their bound. The writes of a run
// without keys are not for claims and are subtracted.
func (f *claimFigures) holds(unkeyed *claimFigures) bool {
	maxWrites := maxClaimWriteRate + claimBurst/f.Seconds
	return f.Succeeded >= minClaimSuccess && f.Writes-unkeyed.Writes <= maxWrites
}

func runClaims(ctx context.Context, env *Env) (*Report, error) {
	var rows [][]string
	var results []*claimFigures
	for _, variant := range []claimVariant{claimsUnkeyed, claimsUnbatched, claimsPerNode, claimsPerNode16, claimsPerDomain, claimsPerDomain16} {
		f, err := runClaimVariant(ctx, env, variant)
		if err != nil {
			return nil, err
		}
		results = append(results, f)
		rows = append(rows, f.cells(variant.name))
	}
	unkeyed, unbatched, perDomain, perDomain16 := results[0], results[1], results[4], results[5]
	return &Report{
		Holds:   perDomain.holds(unkeyed) && perDomain16.holds(unkeyed) && !unbatched.holds(unkeyed),
		Figures: perDomain16,
		Header:  []string{"claims", "nodes", "requests", "succeeded", "writes/s", "reads/s", "claims a write", "p50 ms", "p99 ms"},
		Rows:    rows,
	}, nil
}

// runClaimVariant sends requests with idempotency keys through all nodes.
func runClaimVariant(ctx context.Context, env *Env, variant claimVariant) (*claimFigures, error) {
	doc := &config.Document{}
	keys := AddOrganisations(doc, 1, 100_000, 100_000)
	AddService(doc, "fares", func(r *config.Route) { r.Idempotent = false })
	nodes := SpreadVMs("fares", variant.nodes, 100, standin.Behaviour{})
	if variant.settings != "" {
		for i := range nodes {
			nodes[i].Modules = map[string]json.RawMessage{"claims": json.RawMessage(variant.settings)}
		}
	}
	AddDomains(doc, nodes)
	fleet, err := rig.Start(ctx, rig.Options{Nodes: nodes, Document: doc})
	if err != nil {
		return nil, err
	}
	defer fleet.Close()
	if err := fleet.SetStoreFaults(ctx, standin.Faults{DelayMillis: claimStoreDelayMillis, WritesPerSecond: claimStoreWriteRate}); err != nil {
		return nil, err
	}
	length := claimDuration
	if env.Duration > 0 {
		length = env.Duration
	}
	sendKeyed(ctx, fleet, keys[0], variant, "warm", claimWarmupDuration)
	return measureClaims(ctx, fleet, keys[0], variant, length)
}

// measureClaims runs the load and counts the store calls made during it.
func measureClaims(ctx context.Context, fleet *rig.Rig, key Key, variant claimVariant, length time.Duration) (*claimFigures, error) {
	before, err := fleet.StoreCounts(ctx)
	if err != nil {
		return nil, err
	}
	started := time.Now()
	result := sendKeyed(ctx, fleet, key, variant, "measured", length)
	seconds := time.Since(started).Seconds()
	after, err := fleet.StoreCounts(ctx)
	if err != nil {
		return nil, err
	}
	writes := float64(after.Writes - before.Writes)
	return &claimFigures{
		Nodes: variant.nodes, Seconds: seconds, Requests: result.All.Sent,
		Succeeded: float64(result.All.OK) / float64(result.All.Sent),
		Writes:    writes / seconds, Reads: float64(after.Reads-before.Reads) / seconds,
		ClaimsPerWrite: float64(result.All.Sent) / max(1, writes),
		P50MS:          milliseconds(result.All.Percentile(50)), P99MS: milliseconds(result.All.Percentile(99)),
	}, nil
}

func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

// sendKeyed sends requests at a constant rate, some of which repeat the key of
// an earlier request.
func sendKeyed(ctx context.Context, fleet *rig.Rig, key Key, variant claimVariant, phase string, length time.Duration) *load.Result {
	addresses := make([]string, 0, len(fleet.Nodes))
	for _, node := range fleet.Nodes {
		addresses = append(addresses, node.Callers)
	}
	c := client.New(client.Options{Addresses: addresses, Key: key.Secret, Transport: &http.Transport{MaxIdleConnsPerHost: 256}})
	return load.Run(ctx, load.Options{Rate: claimRate, Duration: length, Do: func(ctx context.Context, number int) load.Sample {
		req := &client.Request{Method: http.MethodPost, Target: "/fares/charge?bytes=100", Header: http.Header{}}
		if number%claimRepeatOneIn == claimRepeatOneIn-1 {
			number -= claimRepeatOneIn / 2
		}
		if variant.keyed {
			req.Header.Set("Idempotency-Key", phase+"-"+strconv.Itoa(number))
		}
		resp, err := c.Send(ctx, req, "")
		return load.Sample{OK: err == nil && resp.Outcome == call.Answered}
	}})
}
