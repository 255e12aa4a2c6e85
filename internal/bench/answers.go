package bench

import (
	"bytes"
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

	"golang.org/x/time/rate"

	"github.com/mangomast/mangomast/call"
	"github.com/mangomast/mangomast/client"
	"github.com/mangomast/mangomast/config"
	"github.com/mangomast/mangomast/internal/load"
	"github.com/mangomast/mangomast/internal/rig"
	"github.com/mangomast/mangomast/internal/standin"
	"github.com/mangomast/mangomast/jsonc"
)

func init() {
	Register(Case{Name: "answers", Help: "answers of 0 B to 20 MB are whole or visibly broken, and small ones do not wait for large ones", Run: runAnswers})
}

const (
	answerWorkers           = 8
	answerDuration          = 8 * time.Second
	maxFaultDuration        = 900 * time.Millisecond
	maxLinkDelay            = 30 * time.Millisecond
	uncheckedDuration       = 3 * time.Second
	smallRequestRate        = 100
	smallDuration           = 3 * time.Second
	warmupDuration          = 1 * time.Second
	smallBytes              = 1000
	bulkBytes               = 5 << 20
	parallelCount           = 24
	parallelBytes           = 1 << 20
	crossLinkBytesPerSecond = 30_000_000 / 8
	crossLinkBurstBytes     = 32 << 10
	// maxSlowdown bounds the p99 latency of small responses during a download,
	// relative to the p99 without one.
	maxSlowdown = 2.0
)

var answerSizes = []int{0, 1, 1000, 32 << 10, 32<<10 + 1, 1 << 20, 20 << 20}

// answerFigures are the figures of the answers case.
type answerFigures struct {
	Answers int `json:"answers"`
	// Complete counts complete and correct responses.
	Complete int `json:"whole"`
	// Broken counts responses that ended with an error visible to the caller.
	Broken int `json:"broken"`
	// Wrong counts responses with a success status whose body differs from
	// what the upstream sent.
	Wrong  int `json:"wrong"`
	Faults int `json:"faults"`
	// UncheckedAnswers and UncheckedWrong are Answers and Wrong of the control
	// run, in which the ingress ignores the body length and broken streams.
	UncheckedAnswers int `json:"unchecked_answers"`
	UncheckedWrong   int `json:"unchecked_wrong"`
	// BaselineP99MS, SharedP99MS and DuringDownloadP99MS are the p99 latency of
	// small responses over the cross-region link: without a download, during a
	// download with a single shared connection, and during a download with
	// several connections. Slowdown is DuringDownloadP99MS divided by
	// BaselineP99MS.
	BaselineP99MS       float64 `json:"alone_p99_ms"`
	SharedP99MS         float64 `json:"shared_beside_p99_ms"`
	DuringDownloadP99MS float64 `json:"beside_p99_ms"`
	Slowdown            float64 `json:"slowdown"`
	// ParallelBroken counts the concurrent downloads over that link that did
	// not complete.
	ParallelBroken int `json:"parallel_broken"`
}

func runAnswers(ctx context.Context, env *Env) (*Report, error) {
	unchecked := map[string]json.RawMessage{"ingress": json.RawMessage(`{"experiments": {"unchecked_answers": true}}`)}
	off := &answerFigures{}
	// Large responses only, so that each fault hits a response in transit.
	if err := off.checkIntegrity(ctx, env, answerVariant{unchecked, answerSizes[len(answerSizes)-1:], uncheckedDuration}); err != nil {
		return nil, err
	}
	f := &answerFigures{UncheckedAnswers: off.Answers, UncheckedWrong: off.Wrong}
	if err := f.checkIntegrity(ctx, env, answerVariant{nil, answerSizes, answerDuration}); err != nil {
		return nil, err
	}
	if err := f.measureDuringDownloads(ctx); err != nil {
		return nil, err
	}
	return &Report{
		Holds:   off.Wrong > 0 && f.Wrong == 0 && f.Complete > 0 && f.ParallelBroken == 0 && f.Slowdown <= maxSlowdown && f.SharedP99MS > maxSlowdown*f.BaselineP99MS,
		Figures: f,
		Header:  []string{"answers", "whole", "broken", "wrong", "faults", "answers, unchecked", "wrong", "p99 alone ms", "beside, one connection", "beside", "slowdown", "parallel, broken"},
		Rows: [][]string{{
			fmt.Sprint(f.Answers), fmt.Sprint(f.Complete), fmt.Sprint(f.Broken), fmt.Sprint(f.Wrong), fmt.Sprint(f.Faults),
			fmt.Sprint(f.UncheckedAnswers), fmt.Sprint(f.UncheckedWrong),
			fmt.Sprintf("%.1f", f.BaselineP99MS), fmt.Sprintf("%.1f", f.SharedP99MS), fmt.Sprintf("%.1f", f.DuringDownloadP99MS), fmt.Sprintf("%.2f", f.Slowdown), fmt.Sprint(f.ParallelBroken),
		}},
	}, nil
}

// startAnswerFleet starts an ingress in one region and two upstreams in the
// other.
func startAnswerFleet(ctx context.Context, modules map[string]json.RawMessage) (*rig.Rig, Key, error) {
	doc := &config.Document{}
	keys := AddOrganisations(doc, 1, 100_000, 100_000)
	AddService(doc, "other", nil)
	AddService(doc, "fares", func(r *config.Route) { r.Deadline = jsonc.Duration(30 * time.Second) })
	nodes := append(SpreadVMs("other", 1, 10, standin.Behaviour{}), SpreadVMs("fares", 2, 60, standin.Behaviour{})...)
	for i := range nodes {
		nodes[i].Modules = modules
		if nodes[i].Service == "fares" {
			nodes[i].Region, nodes[i].FailureDomain = "jurmala", jurmala[i%2]
		}
	}
	AddDomains(doc, nodes)
	fleet, err := rig.Start(ctx, rig.Options{Nodes: nodes, Document: doc})
	return fleet, keys[0], err
}

// answerVariant configures a run that checks responses of the given sizes.
type answerVariant struct {
	modules  map[string]json.RawMessage
	sizes    []int
	duration time.Duration
}

// checkIntegrity compares the body of every response with a success status
// with what the upstream sent, while connections are delayed, frozen and
// blackholed.
func (f *answerFigures) checkIntegrity(ctx context.Context, env *Env, variant answerVariant) error {
	fleet, key, err := startAnswerFleet(ctx, variant.modules)
	if err != nil {
		return err
	}
	defer fleet.Close()
	ctx, cancel := context.WithTimeout(ctx, variant.duration)
	defer cancel()
	var mu sync.Mutex
	var group sync.WaitGroup
	for worker := range answerWorkers {
		random := rand.New(rand.NewPCG(env.Seed, uint64(worker)))
		group.Go(func() {
			for number := 0; ctx.Err() == nil; number++ {
				id := fmt.Sprintf("answer-%d-%d", worker, number)
				complete, wrong := fetchAnswer(ctx, fleet.Nodes[0], key, id, variant.sizes, random)
				if ctx.Err() != nil {
					return
				}
				mu.Lock()
				f.Answers++
				switch {
				case complete:
					f.Complete++
				case wrong:
					f.Wrong++
				default:
					f.Broken++
				}
				mu.Unlock()
			}
		})
	}
	f.Faults = injectMeshFaults(ctx, fleet, rand.New(rand.NewPCG(env.Seed, 99)))
	group.Wait()
	return nil
}

// injectMeshFaults delays, freezes and blackholes connections between nodes
// until the context ends, and returns the number of faults.
func injectMeshFaults(ctx context.Context, fleet *rig.Rig, random *rand.Rand) int {
	for faults := 0; ; faults++ {
		if ctx.Err() != nil {
			return faults
		}
		kind, delay := faults%4, time.Duration(random.Int64N(int64(maxLinkDelay)))
		faultyListener := fleet.Nodes[1+random.IntN(2)].Spec.VM + "/mesh"
		fleet.Network.SetRule(func(_, listener string) rig.Faults {
			if listener != faultyListener {
				return rig.Faults{}
			}
			return rig.Faults{Delay: delay, FreezeForward: kind == 1, FreezeBackward: kind == 2}
		})
		if kind == 3 {
			fleet.Network.Blackhole(func(_, listener string) bool {
				return strings.HasSuffix(listener, "/mesh") && random.IntN(blackholeOneIn) == 0
			})
		}
		time.Sleep(time.Duration(random.Int64N(int64(maxFaultDuration))))
	}
}

// fetchAnswer requests a response of a random size, chunked or not. A response
// that ended with an error is neither complete nor wrong.
func fetchAnswer(ctx context.Context, node *rig.Node, key Key, id string, sizes []int, random *rand.Rand) (complete, wrong bool) {
	size := sizes[random.IntN(len(sizes))]
	target := fmt.Sprintf("http://%s/fares/quote?bytes=%d&chunked=%d", node.Callers, size, random.IntN(2))
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, target, http.NoBody)
	if err != nil {
		return false, false
	}
	req.Header.Set("Authorization", "Bearer "+key.Secret)
	req.Header.Set(standin.HeaderTestID, id)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false, false
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil || resp.StatusCode != http.StatusOK {
		return false, false
	}
	complete = bytes.Equal(body, standin.Payload(id, size))
	return complete, !complete
}

// measureDuringDownloads measures the latency of small responses over the
// cross-region link, without and during a download, with a single shared
// connection and with several. It then counts how many of a number of
// concurrent downloads break.
func (f *answerFigures) measureDuringDownloads(ctx context.Context) error {
	shared := map[string]json.RawMessage{"mesh": json.RawMessage(`{"shared_connection": true}`)}
	single, key, err := startLimitedLinkFleet(ctx, shared)
	if err != nil {
		return err
	}
	f.SharedP99MS = smallP99DuringDownload(ctx, single.Nodes[0], key)
	single.Close()
	multiple, key, err := startLimitedLinkFleet(ctx, nil)
	if err != nil {
		return err
	}
	defer multiple.Close()
	f.BaselineP99MS = smallP99(ctx, multiple.Nodes[0], key, smallDuration)
	f.DuringDownloadP99MS = smallP99DuringDownload(ctx, multiple.Nodes[0], key)
	f.Slowdown = f.DuringDownloadP99MS / f.BaselineP99MS
	f.ParallelBroken = parallelDownloads(ctx, multiple.Nodes[0], key)
	return nil
}

// startLimitedLinkFleet starts the fleet of startAnswerFleet with the bandwidth
// and latency limits of the cross-region link, and sends some requests to open
// its connections.
func startLimitedLinkFleet(ctx context.Context, modules map[string]json.RawMessage) (*rig.Rig, Key, error) {
	fleet, key, err := startAnswerFleet(ctx, modules)
	if err != nil {
		return nil, key, err
	}
	// All connections of the link share one limiter for both directions.
	limit := rate.NewLimiter(crossLinkBytesPerSecond, crossLinkBurstBytes)
	fleet.Network.SetRule(func(source, listener string) rig.Faults {
		if rig.RegionOf(fleet, source) != rig.RegionOf(fleet, listener) {
			return rig.Faults{Delay: crossRegionDelay, Limit: limit}
		}
		return rig.Faults{}
	})
	smallP99(ctx, fleet.Nodes[0], key, warmupDuration)
	return fleet, key, nil
}

// smallP99DuringDownload returns the p99 latency of small responses during
// downloads, in milliseconds.
func smallP99DuringDownload(ctx context.Context, node *rig.Node, key Key) float64 {
	downloads, stop := context.WithCancel(ctx)
	var group sync.WaitGroup
	group.Go(func() {
		c := client.New(client.Options{Addresses: []string{node.Callers}, Key: key.Secret, TryTimeout: time.Minute})
		req := &client.Request{Method: http.MethodGet, Target: fmt.Sprintf("/fares/model?bytes=%d", bulkBytes), Idempotent: true}
		for downloads.Err() == nil {
			_, _ = c.Send(downloads, req, "")
		}
	})
	p99 := smallP99(ctx, node, key, smallDuration)
	stop()
	group.Wait()
	return p99
}

// parallelDownloads runs concurrent downloads and counts those that were
// accepted but did not complete.
func parallelDownloads(ctx context.Context, node *rig.Node, key Key) int {
	c := client.New(client.Options{Addresses: []string{node.Callers}, Key: key.Secret, TryTimeout: time.Minute})
	var broken atomic.Int64
	var group sync.WaitGroup
	for range parallelCount {
		group.Go(func() {
			req := &client.Request{Method: http.MethodGet, Target: fmt.Sprintf("/fares/model?bytes=%d", parallelBytes), Idempotent: true}
			resp, err := c.Send(ctx, req, "")
			complete := err == nil && resp.Outcome == call.Answered && len(resp.Body) == parallelBytes
			if !complete && (err != nil || resp.Outcome != call.Refused) {
				broken.Add(1)
			}
		})
	}
	group.Wait()
	return int(broken.Load())
}

// smallP99 returns the p99 latency of small responses in milliseconds.
func smallP99(ctx context.Context, node *rig.Node, key Key, length time.Duration) float64 {
	c := client.New(client.Options{Addresses: []string{node.Callers}, Key: key.Secret})
	req := &client.Request{Method: http.MethodGet, Target: fmt.Sprintf("/fares/quote?bytes=%d", smallBytes), Idempotent: true}
	result := load.Run(ctx, load.Options{Rate: smallRequestRate, Duration: length, Do: func(ctx context.Context, _ int) load.Sample {
		resp, err := c.Send(ctx, req, "")
		return load.Sample{OK: err == nil && resp.Status == http.StatusOK}
	}})
	return milliseconds(result.All.Percentile(99))
}
