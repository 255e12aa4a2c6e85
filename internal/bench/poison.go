package bench

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/mangomast/mangomast/call"
	"github.com/mangomast/mangomast/client"
	"github.com/mangomast/mangomast/config"
	"github.com/mangomast/mangomast/internal/load"
	"github.com/mangomast/mangomast/internal/rig"
	"github.com/mangomast/mangomast/internal/standin"
	"github.com/mangomast/mangomast/operator"
)

func init() {
	Register(Case{Name: "poison", Help: "a request that crashes whatever runs it stops after two upstreams", Run: runPoison})
}

const (
	poisonSends        = 20
	poisonInterval     = 150 * time.Millisecond
	poisonRate         = 200
	poisonRestartDelay = 500 * time.Millisecond
	maxCrashes         = 2
	identicalTarget    = "/fares/quote?bytes=100&popular=1"
	distinctTarget     = "/fares/quote?bytes=100&number=%d"
	poisonTarget       = "/fares/quote?crash=1"
)

// poisonFigures are the figures of one run of the poison case.
type poisonFigures struct {
	Sends   int `json:"sends"`
	Crashes int `json:"crashes"`
	// Quarantined counts the sends that were refused because the request is
	// quarantined.
	Quarantined int `json:"quarantined"`
	// Ordinary counts the requests that do not crash upstreams.
	Ordinary int `json:"innocent"`
	// OrdinaryFailed counts the ordinary requests that did not succeed;
	// OrdinaryQuarantined counts those refused as quarantined.
	OrdinaryFailed      int   `json:"innocent_failed"`
	OrdinaryQuarantined int64 `json:"innocent_quarantined"`
	OrdinaryP99MS       int64 `json:"innocent_p99_ms"`
	// Listed counts the quarantined fingerprints that the operator API lists;
	// StillListed counts those listed after all were lifted.
	Listed      int `json:"listed"`
	StillListed int `json:"still_listed"`
}

func (f *poisonFigures) cells(name string) []string {
	return []string{
		name, fmt.Sprint(f.Sends), fmt.Sprint(f.Crashes), fmt.Sprint(f.Quarantined), fmt.Sprint(f.Ordinary),
		fmt.Sprint(f.OrdinaryFailed), fmt.Sprint(f.OrdinaryQuarantined), fmt.Sprint(f.OrdinaryP99MS),
		fmt.Sprint(f.Listed), fmt.Sprint(f.StillListed),
	}
}

func runPoison(ctx context.Context, _ *Env) (*Report, error) {
	off, err := poisonRun(ctx, json.RawMessage(`{"disabled": true}`))
	if err != nil {
		return nil, err
	}
	on, err := poisonRun(ctx, json.RawMessage(`{}`))
	if err != nil {
		return nil, err
	}
	return &Report{
		Holds: on.Crashes <= maxCrashes && on.OrdinaryQuarantined == 0 && on.Quarantined > 0 &&
			on.Listed == 1 && on.StillListed == 0 && off.Crashes > maxCrashes,
		Figures: on,
		Header: []string{
			"quarantine", "sends", "upstreams crashed", "refused as quarantined", "innocent", "failed", "quarantined", "p99 ms", "listed", "after lift",
		},
		Rows: [][]string{off.cells("off"), on.cells("on")},
	}, nil
}

func poisonRun(ctx context.Context, settings json.RawMessage) (*poisonFigures, error) {
	doc := &config.Document{}
	keys := AddOrganisations(doc, 1, 100_000, 100_000)
	AddService(doc, "fares", nil)
	AddService(doc, "other", nil)
	nodes := append(SpreadVMs("fares", 4, 40, standin.Behaviour{WorkMicros: 50_000, Jitter: 1}), SpreadVMs("other", 2, 10, standin.Behaviour{})...)
	token := config.NewKey()
	operatorSettings := fmt.Sprintf(`{"operators": [{"id": "bench", "hash": %q}]}`, operator.HashToken(token))
	for i := range nodes {
		nodes[i].Modules = map[string]json.RawMessage{"quarantine": settings, "operator": json.RawMessage(operatorSettings)}
	}
	AddDomains(doc, nodes)
	fleet, err := rig.Start(ctx, rig.Options{Nodes: nodes, Document: doc})
	if err != nil {
		return nil, err
	}
	defer fleet.Close()
	p := &poisonExperiment{fleet: fleet, key: keys[0]}
	figures := p.execute(ctx)
	return figures, figures.lift(ctx, operator.NewClient("http://"+fleet.Nodes[len(nodes)-1].Admin, token))
}

// lift lifts every listed quarantine through the operator API of a node of
// another service.
func (f *poisonFigures) lift(ctx context.Context, operatorClient *operator.Client) error {
	before, err := operatorClient.Quarantine(ctx, "fares")
	if err != nil {
		return err
	}
	for _, record := range before.Records {
		if record.Kind != "quarantined" {
			continue
		}
		f.Listed++
		if err := operatorClient.LiftQuarantine(ctx, "fares", record.Fingerprint); err != nil {
			return err
		}
	}
	after, err := operatorClient.Quarantine(ctx, "fares")
	if err != nil {
		return err
	}
	for _, record := range after.Records {
		if record.Kind == "quarantined" {
			f.StillListed++
		}
	}
	return nil
}

// poisonExperiment is one run of the poison case.
type poisonExperiment struct {
	fleet       *rig.Rig
	key         Key
	crashes     atomic.Int64
	quarantined atomic.Int64
}

func (p *poisonExperiment) execute(ctx context.Context) *poisonFigures {
	var restarts, sends sync.WaitGroup
	loadCtx, stopLoad := context.WithCancel(ctx)
	watchCtx, stopWatch := context.WithCancel(ctx)
	for _, node := range p.fleet.Nodes {
		restarts.Go(func() { p.restartCrashed(watchCtx, node) })
	}
	var result *load.Result
	sends.Go(func() { result = p.sendOrdinary(loadCtx) })
	f := &poisonFigures{Sends: poisonSends}
	time.Sleep(time.Second)
	for number := range poisonSends {
		if p.sendPoison(ctx, p.fleet.Nodes[number%len(p.fleet.Nodes)]) == call.CodeQuarantined.String() {
			f.Quarantined++
		}
		time.Sleep(poisonInterval)
	}
	stopLoad()
	sends.Wait()
	stopWatch()
	restarts.Wait()
	f.Crashes = int(p.crashes.Load())
	f.Ordinary, f.OrdinaryFailed = result.All.Sent, result.All.Sent-result.All.OK
	f.OrdinaryQuarantined = p.quarantined.Load()
	f.OrdinaryP99MS = result.All.Percentile(99).Milliseconds()
	return f
}

// restartCrashed counts the crashes of a node's upstream and restarts it, as the
// platform does.
func (p *poisonExperiment) restartCrashed(ctx context.Context, node *rig.Node) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-node.Upstream.Done():
		}
		p.crashes.Add(1)
		time.Sleep(poisonRestartDelay)
		if p.fleet.StartUpstream(node) != nil {
			return
		}
	}
}

// sendPoison sends the request that crashes upstreams and returns the reason in
// the response.
func (p *poisonExperiment) sendPoison(ctx context.Context, node *rig.Node) string {
	c := client.New(client.Options{Addresses: []string{node.Callers}, Key: p.key.Secret})
	resp, err := c.Send(ctx, &client.Request{Method: http.MethodGet, Target: poisonTarget, Idempotent: true}, "")
	if err != nil {
		return err.Error()
	}
	return resp.Reason
}

// sendOrdinary sends requests that do not crash upstreams. Half of them are
// identical, the others are distinct.
func (p *poisonExperiment) sendOrdinary(ctx context.Context) *load.Result {
	addresses := make([]string, 0, len(p.fleet.Nodes))
	for _, node := range p.fleet.Nodes {
		addresses = append(addresses, node.Callers)
	}
	c := client.New(client.Options{Addresses: addresses, Key: p.key.Secret})
	return load.Run(ctx, load.Options{Rate: poisonRate, Duration: time.Hour, Do: func(ctx context.Context, number int) load.Sample {
		req := &client.Request{Method: http.MethodGet, Target: identicalTarget, Idempotent: true}
		if number%2 == 0 {
			req.Target = fmt.Sprintf(distinctTarget, number)
		}
		resp, err := c.Do(context.WithoutCancel(ctx), req)
		if err == nil && resp.Reason == call.CodeQuarantined.String() {
			p.quarantined.Add(1)
		}
		return load.Sample{OK: err == nil && resp.Outcome == call.Answered && resp.Status == http.StatusOK}
	}})
}
