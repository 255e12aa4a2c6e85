package bench

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
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
	drainRate         = 300
	drainCallers      = 16
	drainWork         = 40 * time.Millisecond
	maxWorkAfterStop  = 3 * time.Second
	drainStopTimeout  = 8 * time.Second
	drainReadyTimeout = 15 * time.Second
)

// drainFigures are the figures of one variant of the drain case.
type drainFigures struct {
	Restarts int `json:"restarts"`
	Requests int `json:"requests"`
	Failed   int `json:"failed"`
	// Reasons lists the reasons for failed requests, each with its count.
	Reasons string `json:"reasons"`
	// BrokenConnections counts connections that broke after they were
	// established.
	BrokenConnections int64 `json:"cut"`
	// LateWork counts VMs whose upstream began a request more than
	// maxWorkAfterStop after the stop began.
	LateWork int `json:"late_work"`
	// WorstWorkAfterStopMS is the maximum time from the start of a stop until
	// the upstream of the stopped VM last began a request.
	WorstWorkAfterStopMS int64 `json:"worst_work_after_stop_ms"`
	P99MS                int64 `json:"p99_ms"`
	// SlowestStopMS is the longest time from SIGTERM to the exit of the
	// process.
	SlowestStopMS int64 `json:"slowest_stop_ms"`
	// NotStopped counts nodes that were killed because they did not exit in
	// time.
	NotStopped int `json:"not_stopped"`
	// Resent counts the sends that repeat the ID of a request that was answered
	// before the node it was pinned to stopped; ResentAnswered counts those
	// that got the same response.
	Resent         int `json:"resent"`
	ResentAnswered int `json:"resent_answered"`
	// ResentLimited counts those that were first refused by the rate limit.
	ResentLimited int `json:"resent_limited"`
	RunTwice      int `json:"run_twice"`
}

func (f *drainFigures) holds() bool {
	resendsHold := f.Resent > 0 && f.ResentAnswered == f.Resent && f.RunTwice == 0
	return f.Failed == 0 && f.BrokenConnections == 0 && f.LateWork == 0 && f.NotStopped == 0 && resendsHold
}

func (f *drainFigures) cells(name string) []string {
	return []string{
		name, fmt.Sprint(f.Restarts), fmt.Sprint(f.Requests), fmt.Sprint(f.Failed), fmt.Sprint(f.BrokenConnections), fmt.Sprint(f.LateWork),
		fmt.Sprint(f.WorstWorkAfterStopMS), fmt.Sprint(f.P99MS), fmt.Sprint(f.SlowestStopMS), fmt.Sprint(f.NotStopped),
		fmt.Sprint(f.Resent), fmt.Sprint(f.ResentAnswered), fmt.Sprint(f.ResentLimited), fmt.Sprint(f.RunTwice), f.Reasons,
	}
}

// drainVariant is a run with parts of the graceful stop enabled or disabled.
type drainVariant struct {
	name string
	// vms is the number of VMs of each service.
	vms int
	// restarts is the maximum number of VMs to restart; 0 restarts every VM.
	restarts int
	// announceLeave makes every third upstream announce that it is leaving.
	announceLeave bool
	// kill ends the node with SIGKILL instead of a graceful stop.
	kill    bool
	modules map[string]json.RawMessage
}

var (
	drainOff        = drainVariant{name: "leaving off", vms: 3, restarts: 1, kill: true}
	drainNoHandover = drainVariant{name: "handover off", vms: 3, restarts: 1, modules: map[string]json.RawMessage{
		"inbound": json.RawMessage(`{"ledger": {"handover": {"disabled": true}}}`),
	}}
	drainOn     = drainVariant{name: "on", vms: 3, announceLeave: true}
	drainTwoVMs = drainVariant{name: "on, two VMs a service", vms: 2, announceLeave: true}
)

func runDrain(ctx context.Context, env *Env) (*Report, error) {
	var rows [][]string
	var results []*drainFigures
	for _, variant := range []drainVariant{drainOff, drainNoHandover, drainTwoVMs, drainOn} {
		f, err := drainRun(ctx, env, variant)
		if err != nil {
			return nil, err
		}
		results = append(results, f)
		rows = append(rows, f.cells(variant.name))
	}
	off, noHandover, twoVMs, on := results[0], results[1], results[2], results[3]
	return &Report{
		Holds:   on.holds() && twoVMs.holds() && !off.holds() && noHandover.ResentAnswered < noHandover.Resent,
		Figures: on,
		Header:  []string{"arm", "restarts", "requests", "failed", "cut", "VMs with late work", "worst work after stop ms", "p99 ms", "slowest stop ms", "not stopped", "sent again after the stop", "answered again", "rate refused first", "run twice", "why failed"},
		Rows:    rows,
	}, nil
}

// drainRun restarts the VMs of a fleet one at a time under load.
func drainRun(ctx context.Context, env *Env, variant drainVariant) (*drainFigures, error) {
	doc := &config.Document{}
	keys := AddOrganisations(doc, 1, 100_000, 100_000)
	AddService(doc, "dispatch", nil)
	AddService(doc, "charge", func(r *config.Route) { r.Service, r.Idempotent = "dispatch", false })
	doc.Services = doc.Services[:1]
	AddService(doc, "fares", nil)
	work := int(drainWork.Microseconds())
	nodes := append(
		SpreadVMs("dispatch", variant.vms, 40, standin.Behaviour{WorkMicros: work, Jitter: 1, Callees: []string{"/fares/quote"}}),
		SpreadVMs("fares", variant.vms, 40, standin.Behaviour{WorkMicros: work, Jitter: 1})...)
	for i := range nodes {
		nodes[i].Modules = variant.modules
	}
	AddDomains(doc, nodes)
	fleet, err := rig.Start(ctx, rig.Options{Nodes: nodes, Document: doc})
	if err != nil {
		return nil, err
	}
	defer fleet.Close()
	d := &drainExperiment{fleet: fleet, variant: variant, figures: &drainFigures{}, resends: newResends(fleet, keys[0], env.Seed)}
	return d.execute(ctx, keys[0])
}

// drainExperiment runs one variant of the drain case.
type drainExperiment struct {
	fleet   *rig.Rig
	variant drainVariant
	figures *drainFigures
	resends *resends
	// broken counts the callers' connections that broke.
	broken atomic.Int64
}

func (d *drainExperiment) execute(ctx context.Context, key Key) (*drainFigures, error) {
	loadCtx, stop := context.WithCancel(ctx)
	defer stop()
	var result *load.Result
	var group sync.WaitGroup
	group.Go(func() { result = d.sendLoad(loadCtx, key) })
	err := d.restartAll(ctx)
	stop()
	group.Wait()
	d.figures.Requests, d.figures.Failed = result.All.Sent, result.All.Sent-result.All.OK
	d.figures.Reasons = summarizeFailures(result)
	d.figures.P99MS = result.All.Percentile(99).Milliseconds()
	d.figures.BrokenConnections = d.broken.Load()
	if err != nil {
		return nil, err
	}
	d.figures.ResentLimited = d.resends.rateLimited
	if d.resends.lastFailure != "" {
		d.figures.Reasons += "; sent again: " + d.resends.lastFailure
	}
	d.figures.Resent, d.figures.ResentAnswered = d.resends.sent, d.resends.answered
	d.figures.RunTwice, err = d.resends.runTwice()
	return d.figures, err
}

// sendLoad sends requests until the context ends and waits for those in flight.
func (d *drainExperiment) sendLoad(ctx context.Context, key Key) *load.Result {
	addresses := make([]string, 0, len(d.fleet.Nodes))
	for _, node := range d.fleet.Nodes {
		addresses = append(addresses, node.Callers)
	}
	callers := make([]*client.Client, drainCallers)
	for i := range callers {
		transport := &brokenConnCounter{inner: &http.Transport{MaxIdleConnsPerHost: 8}, broken: &d.broken}
		callers[i] = client.New(client.Options{Addresses: addresses, Key: key.Secret, Transport: transport})
	}
	return load.Run(ctx, load.Options{Rate: drainRate, Duration: time.Hour, Do: func(ctx context.Context, number int) load.Sample {
		req := &client.Request{Method: http.MethodGet, Target: "/dispatch/next?bytes=2000", Idempotent: true}
		if number%2 == 0 {
			req = &client.Request{Method: http.MethodPost, Target: "/charge/fare?bytes=2000"}
		}
		resp, err := callers[number%len(callers)].Do(context.WithoutCancel(ctx), req)
		ok := err == nil && resp.Outcome == call.Answered && resp.Status == http.StatusOK && len(resp.Body) == 2000
		if !ok {
			return load.Sample{Class: failureReason(resp, err)}
		}
		return load.Sample{OK: true}
	}})
}

// failureReason returns why a request failed.
func failureReason(resp *client.Response, err error) string {
	switch {
	case err != nil:
		return err.Error()
	case resp.Outcome == call.Answered:
		return resp.Outcome.String() + " " + strconv.Itoa(resp.Status)
	}
	return resp.Outcome.String() + " " + resp.Reason
}

// summarizeFailures lists the reasons for failed requests, each with its count.
func summarizeFailures(result *load.Result) string {
	var list []string
	for reason, class := range result.Classes {
		if reason != "" {
			list = append(list, fmt.Sprintf("%d %s", class.Sent, reason))
		}
	}
	if len(list) == 0 {
		return "none"
	}
	slices.Sort(list)
	return strings.Join(list, "; ")
}

// restartAll restarts the VMs one after the other.
func (d *drainExperiment) restartAll(ctx context.Context) error {
	for i, node := range d.fleet.Nodes {
		if d.variant.restarts > 0 && i >= d.variant.restarts {
			return nil
		}
		if err := d.resends.sendPinned(ctx, node); err != nil {
			return err
		}
		if err := d.restart(ctx, node, d.variant.announceLeave && i%3 == 1); err != nil {
			return err
		}
		d.resends.resendAll(ctx, nil)
		d.figures.Restarts++
	}
	return nil
}

// restart stops a VM's node and starts the node and its upstream again. With
// upstreamFirst, the upstream announces that it is leaving before the node is
// stopped.
func (d *drainExperiment) restart(ctx context.Context, node *rig.Node, upstreamFirst bool) error {
	stopped := time.Now()
	if upstreamFirst {
		if err := d.fleet.LeaveUpstream(ctx, node); err != nil {
			return err
		}
		time.Sleep(maxWorkAfterStop + 500*time.Millisecond)
	}
	terminated := time.Now()
	if err := d.stop(node); err != nil {
		return err
	}
	select {
	case <-node.Process.Done():
	case <-time.After(drainStopTimeout):
		// A node that does not leave keeps receiving work and does not exit.
		node.Process.Kill()
		d.figures.NotStopped++
	}
	d.figures.SlowestStopMS = max(d.figures.SlowestStopMS, time.Since(terminated).Milliseconds())
	report, err := d.fleet.Report(ctx, node)
	if err != nil {
		return err
	}
	after := time.UnixMicro(report.LastRunUnixMicros).Sub(stopped)
	d.figures.WorstWorkAfterStopMS = max(d.figures.WorstWorkAfterStopMS, after.Milliseconds())
	if after > maxWorkAfterStop {
		d.figures.LateWork++
	}
	d.resends.resendAll(ctx, node)
	node.Upstream.Kill()
	if err := d.fleet.StartUpstream(node); err != nil {
		return err
	}
	if err := d.fleet.StartNode(node); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, drainReadyTimeout)
	defer cancel()
	return d.fleet.WaitReady(ctx)
}

func (d *drainExperiment) stop(node *rig.Node) error {
	if d.variant.kill {
		node.Process.Kill()
		return nil
	}
	return node.Process.Terminate()
}

// brokenConnCounter is a transport that counts the connections that broke after
// they were established.
type brokenConnCounter struct {
	inner  http.RoundTripper
	broken *atomic.Int64
}

// RoundTrip implements http.RoundTripper.
func (c *brokenConnCounter) RoundTrip(r *http.Request) (*http.Response, error) {
	resp, err := c.inner.RoundTrip(r)
	if err != nil {
		var op *net.OpError
		if !errors.As(err, &op) || op.Op != "dial" {
			c.broken.Add(1)
		}
		return resp, err
	}
	resp.Body = &brokenConnBody{ReadCloser: resp.Body, broken: c.broken}
	return resp, nil
}

// brokenConnBody is a response body that counts read errors other than io.EOF.
type brokenConnBody struct {
	io.ReadCloser
	broken *atomic.Int64
}

// Read implements io.Reader.
func (b *brokenConnBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil && !errors.Is(err, io.EOF) {
		b.broken.Add(1)
	}
	return n, err
}
