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
	answerWorkers  = 8
	answerTime     = 8 * time.Second
	freezeMax      = 900 * time.Millisecond
	reorderDelay   = 30 * time.Millisecond
	answerOffTime  = 3 * time.Second
	smallRate      = 100
	smallTime      = 3 * time.Second
	warmTime       = 1 * time.Second
	smallBytes     = 1000
	bulkBytes      = 5 << 20
	parallelCount  = 24
	parallelBytes  = 1 << 20
	crossLinkBytes = 30_000_000 / 8
	crossLinkBurst = 32 << 10
	// maxSlowdown bounds the p99 of small answers beside a download.
	maxSlowdown = 2.0
)

var answerSizes = []int{0, 1, 1000, 32 << 10, 32<<10 + 1, 1 << 20, 20 << 20}

// answerFigures are the figures of the answers case.
type answerFigures struct {
	Answers int `json:"answers"`
	Whole   int `json:"whole"`
	// Broken answers ended with an error that the caller sees.
	Broken int `json:"broken"`
	// Wrong answers had a success status and other contents than were sent.
	Wrong  int `json:"wrong"`
	Faults int `json:"faults"`
	// UncheckedWrong of UncheckedAnswers were wrong with length and breaks
	// ignored.
	UncheckedAnswers int `json:"unchecked_answers"`
	UncheckedWrong   int `json:"unchecked_wrong"`
	// Small answers over the cross-region link, without and beside a download,
	// with one connection for everything and with several.
	AloneP99MS  float64 `json:"alone_p99_ms"`
	SharedP99MS float64 `json:"shared_beside_p99_ms"`
	BesideP99MS float64 `json:"beside_p99_ms"`
	Slowdown    float64 `json:"slowdown"`
	// ParallelBroken counts downloads at the same time over that link that
	// did not arrive whole.
	ParallelBroken int `json:"parallel_broken"`
}

func runAnswers(ctx context.Context, env *Env) (*Report, error) {
	unchecked := map[string]json.RawMessage{"ingress": json.RawMessage(`{"experiments": {"unchecked_answers": true}}`)}
	off := &answerFigures{}
	// Large answers only, so that each fault meets one on its way.
	if err := off.integrity(ctx, env, answerArm{unchecked, answerSizes[len(answerSizes)-1:], answerOffTime}); err != nil {
		return nil, err
	}
	f := &answerFigures{UncheckedAnswers: off.Answers, UncheckedWrong: off.Wrong}
	if err := f.integrity(ctx, env, answerArm{nil, answerSizes, answerTime}); err != nil {
		return nil, err
	}
	if err := f.besideDownloads(ctx); err != nil {
		return nil, err
	}
	return &Report{
		Holds:   off.Wrong > 0 && f.Wrong == 0 && f.Whole > 0 && f.ParallelBroken == 0 && f.Slowdown <= maxSlowdown && f.SharedP99MS > maxSlowdown*f.AloneP99MS,
		Figures: f,
		Header:  []string{"answers", "whole", "broken", "wrong", "faults", "answers, unchecked", "wrong", "p99 alone ms", "beside, one connection", "beside", "slowdown", "parallel, broken"},
		Rows: [][]string{{
			fmt.Sprint(f.Answers), fmt.Sprint(f.Whole), fmt.Sprint(f.Broken), fmt.Sprint(f.Wrong), fmt.Sprint(f.Faults),
			fmt.Sprint(f.UncheckedAnswers), fmt.Sprint(f.UncheckedWrong),
			fmt.Sprintf("%.1f", f.AloneP99MS), fmt.Sprintf("%.1f", f.SharedP99MS), fmt.Sprintf("%.1f", f.BesideP99MS), fmt.Sprintf("%.2f", f.Slowdown), fmt.Sprint(f.ParallelBroken),
		}},
	}, nil
}

// answerFleet is an ingress in one region and two upstreams in the other.
func answerFleet(ctx context.Context, modules map[string]json.RawMessage) (*rig.Rig, Key, error) {
	doc := &config.Document{}
	keys := NewOrganisations(doc, 1, 100_000, 100_000)
	AddService(doc, "other", nil)
	AddService(doc, "fares", func(r *config.Route) { r.Deadline = jsonc.Duration(30 * time.Second) })
	nodes := append(Spread("other", 1, 10, standin.Behaviour{}), Spread("fares", 2, 60, standin.Behaviour{})...)
	for i := range nodes {
		nodes[i].Modules = modules
		if nodes[i].Service == "fares" {
			nodes[i].Region, nodes[i].FailureDomain = "jurmala", jurma[i%2]
		}
	}
	AddDomains(doc, nodes)
	fleet, err := rig.Start(ctx, rig.Options{Nodes: nodes, Document: doc})
	return fleet, keys[0], err
}

// answerArm is a run that compares answers of the sizes.
type answerArm struct {
	modules map[string]json.RawMessage
	sizes   []int
	length  time.Duration
}

// integrity compares every answer that came with a success status with what
// the upstream sent, while connections freeze, lag and go silent.
func (f *answerFigures) integrity(ctx context.Context, env *Env, arm answerArm) error {
	fleet, key, err := answerFleet(ctx, arm.modules)
	if err != nil {
		return err
	}
	defer fleet.Close()
	ctx, cancel := context.WithTimeout(ctx, arm.length)
	defer cancel()
	var mu sync.Mutex
	var group sync.WaitGroup
	for worker := range answerWorkers {
		random := rand.New(rand.NewPCG(env.Seed, uint64(worker)))
		group.Go(func() {
			for number := 0; ctx.Err() == nil; number++ {
				id := fmt.Sprintf("answer-%d-%d", worker, number)
				whole, wrong := fetchAnswer(ctx, fleet.Nodes[0], key, id, arm.sizes, random)
				if ctx.Err() != nil {
					return
				}
				mu.Lock()
				f.Answers++
				switch {
				case whole:
					f.Whole++
				case wrong:
					f.Wrong++
				default:
					f.Broken++
				}
				mu.Unlock()
			}
		})
	}
	f.Faults = disturb(ctx, fleet, rand.New(rand.NewPCG(env.Seed, 99)))
	group.Wait()
	return nil
}

// disturb delays, freezes and silences connections between nodes.
func disturb(ctx context.Context, fleet *rig.Rig, random *rand.Rand) int {
	for faults := 0; ; faults++ {
		if ctx.Err() != nil {
			return faults
		}
		kind, delay := faults%4, time.Duration(random.Int64N(int64(reorderDelay)))
		victim := fleet.Nodes[1+random.IntN(2)].Spec.VM + "/mesh"
		fleet.Network.SetRule(func(_, listener string) rig.Faults {
			if listener != victim {
				return rig.Faults{}
			}
			return rig.Faults{Delay: delay, FreezeForward: kind == 1, FreezeBackward: kind == 2}
		})
		if kind == 3 {
			fleet.Network.Blackhole(func(_, listener string) bool {
				return strings.HasSuffix(listener, "/mesh") && random.IntN(silentShare) == 0
			})
		}
		time.Sleep(time.Duration(random.Int64N(int64(freezeMax))))
	}
}

// fetchAnswer asks for an answer of a random size, chunked or not. A broken
// answer is neither whole nor wrong.
func fetchAnswer(ctx context.Context, node *rig.Node, key Key, id string, sizes []int, random *rand.Rand) (whole, wrong bool) {
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
	whole = bytes.Equal(body, standin.Payload(id, size))
	return whole, !whole
}

// besideDownloads times small answers over the cross-region link, alone and
// beside a download, with one connection for everything and with several. Then
// it counts how many of several downloads at once break.
func (f *answerFigures) besideDownloads(ctx context.Context) error {
	shared := map[string]json.RawMessage{"mesh": json.RawMessage(`{"shared_connection": true}`)}
	one, key, err := linkedFleet(ctx, shared)
	if err != nil {
		return err
	}
	f.SharedP99MS = besideDownload(ctx, one.Nodes[0], key)
	one.Close()
	several, key, err := linkedFleet(ctx, nil)
	if err != nil {
		return err
	}
	defer several.Close()
	f.AloneP99MS = smallP99(ctx, several.Nodes[0], key, smallTime)
	f.BesideP99MS = besideDownload(ctx, several.Nodes[0], key)
	f.Slowdown = f.BesideP99MS / f.AloneP99MS
	f.ParallelBroken = parallelDownloads(ctx, several.Nodes[0], key)
	return nil
}

// linkedFleet is an answerFleet with the cross-region link between its nodes,
// after some requests that open its connections.
func linkedFleet(ctx context.Context, modules map[string]json.RawMessage) (*rig.Rig, Key, error) {
	fleet, key, err := answerFleet(ctx, modules)
	if err != nil {
		return nil, key, err
	}
	// One limiter is shared by both directions of all connections of the link.
	limit := rate.NewLimiter(crossLinkBytes, crossLinkBurst)
	fleet.Network.SetRule(func(source, listener string) rig.Faults {
		if rig.RegionOf(fleet, source) != rig.RegionOf(fleet, listener) {
			return rig.Faults{Delay: crossRegionDelay, Limit: limit}
		}
		return rig.Faults{}
	})
	smallP99(ctx, fleet.Nodes[0], key, warmTime)
	return fleet, key, nil
}

// besideDownload returns the p99 of small answers beside a download, in
// milliseconds.
func besideDownload(ctx context.Context, node *rig.Node, key Key) float64 {
	downloads, stop := context.WithCancel(ctx)
	var group sync.WaitGroup
	group.Go(func() {
		c := client.New(client.Options{Addresses: []string{node.Callers}, Key: key.Secret, TryTimeout: time.Minute})
		req := &client.Request{Method: http.MethodGet, Target: fmt.Sprintf("/fares/model?bytes=%d", bulkBytes), Idempotent: true}
		for downloads.Err() == nil {
			_, _ = c.Send(downloads, req, "")
		}
	})
	beside := smallP99(ctx, node, key, smallTime)
	stop()
	group.Wait()
	return beside
}

// parallelDownloads counts the downloads that were taken and did not arrive
// whole.
func parallelDownloads(ctx context.Context, node *rig.Node, key Key) int {
	c := client.New(client.Options{Addresses: []string{node.Callers}, Key: key.Secret, TryTimeout: time.Minute})
	var broken atomic.Int64
	var group sync.WaitGroup
	for range parallelCount {
		group.Go(func() {
			req := &client.Request{Method: http.MethodGet, Target: fmt.Sprintf("/fares/model?bytes=%d", parallelBytes), Idempotent: true}
			resp, err := c.Send(ctx, req, "")
			whole := err == nil && resp.Outcome == call.Answered && len(resp.Body) == parallelBytes
			if !whole && (err != nil || resp.Outcome != call.Refused) {
				broken.Add(1)
			}
		})
	}
	group.Wait()
	return int(broken.Load())
}

// smallP99 returns the p99 of small answers in milliseconds.
func smallP99(ctx context.Context, node *rig.Node, key Key, length time.Duration) float64 {
	c := client.New(client.Options{Addresses: []string{node.Callers}, Key: key.Secret})
	req := &client.Request{Method: http.MethodGet, Target: fmt.Sprintf("/fares/quote?bytes=%d", smallBytes), Idempotent: true}
	result := load.Run(ctx, load.Options{Rate: smallRate, Duration: length, Do: func(ctx context.Context, _ int) load.Sample {
		resp, err := c.Send(ctx, req, "")
		return load.Sample{OK: err == nil && resp.Status == http.StatusOK}
	}})
	return milliseconds(result.All.Percentile(99))
}
