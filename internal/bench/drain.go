package bench

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/mangomast/mangomast/call"
	"github.com/mangomast/mangomast/client"
	"github.com/mangomast/mangomast/config"
	"github.com/mangomast/mangomast/internal/load"
	"github.com/mangomast/mangomast/internal/rig"
	"github.com/mangomast/mangomast/internal/standin"
)

func init() {
	Register(Case{Name: "drain", Help: "a rolling restart of every VM under load cuts and fails nothing", Run: runDrain})
}

const (
	drainRate        = 300
	drainCallers     = 16
	drainWork        = 40 * time.Millisecond
	maxWorkAfterStop = 3 * time.Second
	drainStopTimeout = 8 * time.Second
	drainReady       = 15 * time.Second
)

// drainFigures are the figures of one arm of the drain case.
type drainFigures struct {
	Restarts int `json:"restarts"`
	Requests int `json:"requests"`
	Failed   int `json:"failed"`
	// Cut counts connections that broke after the request was sent.
	Cut int64 `json:"cut"`
	// LateWork counts VMs whose upstream began work later than 3 s after the
	// stop was announced.
	LateWork int   `json:"late_work"`
	WorstMS  int64 `json:"worst_work_after_stop_ms"`
	P99MS    int64 `json:"p99_ms"`
	// SlowestStopMS is the longest time from SIGTERM to the process's end.
	SlowestStopMS int64 `json:"slowest_stop_ms"`
	// NotStopped counts nodes that were killed because they did not stop.
	NotStopped int `json:"not_stopped"`
}

func (f *drainFigures) holds() bool {
	return f.Failed == 0 && f.Cut == 0 && f.LateWork == 0 && f.NotStopped == 0
}

func (f *drainFigures) cells(name string) []string {
	return []string{
		name, fmt.Sprint(f.Restarts), fmt.Sprint(f.Requests), fmt.Sprint(f.Failed), fmt.Sprint(f.Cut), fmt.Sprint(f.LateWork),
		fmt.Sprint(f.WorstMS), fmt.Sprint(f.P99MS), fmt.Sprint(f.SlowestStopMS), fmt.Sprint(f.NotStopped),
	}
}

func runDrain(ctx context.Context, _ *Env) (*Report, error) {
	off, err := drainRun(ctx, false, map[string]json.RawMessage{
		"inbound": json.RawMessage(`{"leave_delay": "0s"}`),
		"ingress": json.RawMessage(`{"leave_grace": "0s"}`),
	})
	if err != nil {
		return nil, err
	}
	on, err := drainRun(ctx, true, nil)
	if err != nil {
		return nil, err
	}
	return &Report{
		Holds:   on.holds() && !off.holds(),
		Figures: on,
		Header:  []string{"leaving", "restarts", "requests", "failed", "cut", "VMs with late work", "worst work after stop ms", "p99 ms", "slowest stop ms", "not stopped"},
		Rows:    [][]string{off.cells("off"), on.cells("on")},
	}, nil
}

// drainRun restarts every VM in turn under load.
func drainRun(ctx context.Context, graceful bool, modules map[string]json.RawMessage) (*drainFigures, error) {
	doc := &config.Document{}
	keys := NewOrganisations(doc, 1, 100_000, 100_000)
	AddService(doc, "dispatch", nil)
	AddService(doc, "charge", func(r *config.Route) { r.Service, r.Idempotent = "dispatch", false })
	doc.Services = doc.Services[:1]
	AddService(doc, "fares", nil)
	work := int(drainWork.Microseconds())
	nodes := append(
		Spread("dispatch", 3, 40, standin.Behaviour{WorkMicros: work, Jitter: 1, Next: []string{"/fares/quote"}}),
		Spread("fares", 3, 40, standin.Behaviour{WorkMicros: work, Jitter: 1})...)
	for i := range nodes {
		nodes[i].Modules = modules
	}
	AddDomains(doc, nodes)
	fleet, err := rig.Start(ctx, rig.Options{Nodes: nodes, Document: doc})
	if err != nil {
		return nil, err
	}
	defer fleet.Close()
	d := &drainExperiment{fleet: fleet, figures: &drainFigures{}}
	return d.execute(ctx, keys[0], graceful)
}

// drainExperiment is one arm of the drain case.
type drainExperiment struct {
	fleet   *rig.Rig
	figures *drainFigures
	cut     atomic.Int64
}

func (d *drainExperiment) execute(ctx context.Context, key Key, graceful bool) (*drainFigures, error) {
	loadCtx, stop := context.WithCancel(ctx)
	defer stop()
	var result *load.Result
	var group sync.WaitGroup
	group.Go(func() { result = d.sendLoad(loadCtx, key) })
	err := d.restartAll(ctx, graceful)
	stop()
	group.Wait()
	d.figures.Requests, d.figures.Failed = result.All.Sent, result.All.Sent-result.All.OK
	d.figures.P99MS = result.All.Quantile(99).Milliseconds()
	d.figures.Cut = d.cut.Load()
	return d.figures, err
}

// sendLoad sends requests until the context ends; those under way finish.
func (d *drainExperiment) sendLoad(ctx context.Context, key Key) *load.Result {
	addresses := make([]string, 0, len(d.fleet.Nodes))
	for _, node := range d.fleet.Nodes {
		addresses = append(addresses, node.Callers)
	}
	callers := make([]*client.Client, drainCallers)
	for i := range callers {
		transport := &cutCounter{inner: &http.Transport{MaxIdleConnsPerHost: 8}, cut: &d.cut}
		callers[i] = client.New(client.Options{Addresses: addresses, Key: key.Secret, Transport: transport})
	}
	return load.Run(ctx, load.Options{Rate: drainRate, Duration: time.Hour, Do: func(ctx context.Context, number int) load.Sample {
		req := &client.Request{Method: http.MethodGet, Target: "/dispatch/next?bytes=2000", Idempotent: true}
		if number%2 == 0 {
			req = &client.Request{Method: http.MethodPost, Target: "/charge/fare?bytes=2000"}
		}
		resp, err := callers[number%len(callers)].Do(context.WithoutCancel(ctx), req)
		ok := err == nil && resp.Outcome == call.Answered && resp.Status == http.StatusOK && len(resp.Body) == 2000
		return load.Sample{OK: ok}
	}})
}

// restartAll stops and starts one VM after the other; in a run that is not
// graceful, one of each service. In a graceful run, every third upstream
// announces itself that it is leaving.
func (d *drainExperiment) restartAll(ctx context.Context, graceful bool) error {
	for i, node := range d.fleet.Nodes {
		if !graceful && i%3 != 0 {
			continue
		}
		if err := d.restart(ctx, node, graceful && i%3 == 1); err != nil {
			return err
		}
		d.figures.Restarts++
	}
	return nil
}

// restart stops a VM's node, or first lets its upstream announce that it is
// leaving, and starts both again.
func (d *drainExperiment) restart(ctx context.Context, node *rig.Node, upstreamFirst bool) error {
	stopped := time.Now()
	if upstreamFirst {
		if err := d.fleet.LeaveUpstream(ctx, node); err != nil {
			return err
		}
		time.Sleep(maxWorkAfterStop + 500*time.Millisecond)
	}
	terminated := time.Now()
	if err := node.Process.Terminate(); err != nil {
		return err
	}
	select {
	case <-node.Process.Done():
	case <-time.After(drainStopTimeout):
		// Without leaving, new work keeps the node from stopping.
		node.Process.Kill()
		d.figures.NotStopped++
	}
	d.figures.SlowestStopMS = max(d.figures.SlowestStopMS, time.Since(terminated).Milliseconds())
	report, err := d.fleet.Report(ctx, node)
	if err != nil {
		return err
	}
	after := time.UnixMicro(report.LastRunUnixMicros).Sub(stopped)
	d.figures.WorstMS = max(d.figures.WorstMS, after.Milliseconds())
	if after > maxWorkAfterStop {
		d.figures.LateWork++
	}
	node.Upstream.Kill()
	if err := d.fleet.StartUpstream(node); err != nil {
		return err
	}
	if err := d.fleet.StartNode(node); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, drainReady)
	defer cancel()
	return d.fleet.WaitReady(ctx)
}

// cutCounter counts the connections that broke after they were made.
type cutCounter struct {
	inner http.RoundTripper
	cut   *atomic.Int64
}

// RoundTrip implements http.RoundTripper.
func (c *cutCounter) RoundTrip(r *http.Request) (*http.Response, error) {
	resp, err := c.inner.RoundTrip(r)
	if err != nil {
		var op *net.OpError
		if !errors.As(err, &op) || op.Op != "dial" {
			c.cut.Add(1)
		}
		return resp, err
	}
	resp.Body = &cutBody{ReadCloser: resp.Body, cut: c.cut}
	return resp, nil
}

// cutBody counts a body that breaks off.
type cutBody struct {
	io.ReadCloser
	cut *atomic.Int64
}

// Read implements io.Reader.
func (b *cutBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil && !errors.Is(err, io.EOF) {
		b.cut.Add(1)
	}
	return n, err
}
