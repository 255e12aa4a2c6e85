// Package demo runs a small fleet in one process on the loopback interface: a
// stand-in store, four nodes in four regions with stand-in upstreams of two
// separate service graphs, and callers.
package demo

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"github.com/mangomast/mangomast/call"
	"github.com/mangomast/mangomast/client"
	"github.com/mangomast/mangomast/config"
	"github.com/mangomast/mangomast/edit"
	"github.com/mangomast/mangomast/internal/freeport"
	"github.com/mangomast/mangomast/internal/httpserver"
	"github.com/mangomast/mangomast/internal/standin"
	"github.com/mangomast/mangomast/jsonc"
	"github.com/mangomast/mangomast/membership"
	"github.com/mangomast/mangomast/node"
	"github.com/mangomast/mangomast/operator"
	"github.com/mangomast/mangomast/settings"
	"github.com/mangomast/mangomast/store/etcd"

	// The demo runs standard nodes.
	_ "github.com/mangomast/mangomast/plugin/standard"
)

const (
	fleetSecret       = "the secret of a fleet on one machine"
	reportInterval    = 2 * time.Second
	readyPollInterval = 50 * time.Millisecond
	slots             = 8
	connections       = 64
)

// vmSpec describes one VM of the demo. callee is the target that its upstream
// calls, if not empty.
type vmSpec struct {
	vm, domain, region, service, callee string
}

var vmSpecs = []vmSpec{
	{"desk-1", "riga-a", "riga", "dispatch", "/fares/quote"},
	{"desk-2", "jurmala-a", "jurmala", "fares", ""},
	{"shop-1", "north-a", "north", "cards", "/models/core-box"},
	{"shop-2", "south-a", "south", "models", ""},
}

// fleet is the state of a running demo.
type fleet struct {
	out           io.Writer
	storeURL      string
	nodes         []*settings.Node
	operatorToken string
	tokenHash     string
	keys          []string
	group         *errgroup.Group
}

// Options configure Run.
type Options struct {
	Out io.Writer
	// Ready, if not nil, is called when all nodes are ready, with the URL of an
	// admin listener and an operator's token.
	Ready func(admin, token string)
}

// Run runs the demo until ctx is done.
func Run(ctx context.Context, opts Options) error {
	group, groupCtx := errgroup.WithContext(ctx)
	f := &fleet{out: opts.Out, group: group}
	f.operatorToken, f.tokenHash = operator.NewToken()
	err := f.start(groupCtx)
	if err == nil {
		err = f.waitReady(groupCtx)
	}
	if err == nil {
		f.printInstructions()
		if opts.Ready != nil {
			opts.Ready("http://"+f.nodes[0].Listen.Admin, f.operatorToken)
		}
		group.Go(func() error { return f.sendRequests(groupCtx) })
	}
	// The group returns the first error. err may only be the cancellation of
	// groupCtx that followed it.
	if waitErr := group.Wait(); waitErr != nil {
		err = waitErr
	}
	if errors.Is(err, context.Canceled) || errors.Is(err, context.DeadlineExceeded) {
		err = nil
	}
	_, _ = fmt.Fprintln(opts.Out, "demo ended")
	return err
}

func (f *fleet) start(ctx context.Context) error {
	store := httpserver.New("127.0.0.1:0", standin.NewStore())
	if err := f.serve(ctx, store); err != nil {
		return err
	}
	f.storeURL = "http://" + store.Address()
	if err := f.applyDocument(ctx); err != nil {
		return err
	}
	for _, spec := range vmSpecs {
		if err := f.startVM(ctx, spec); err != nil {
			return err
		}
	}
	return nil
}

func (f *fleet) serve(ctx context.Context, server *httpserver.Server) error {
	if err := server.Listen(); err != nil {
		return err
	}
	f.group.Go(func() error { return server.Run(ctx) })
	return nil
}

func (f *fleet) applyDocument(ctx context.Context) error {
	doc := &config.Document{}
	for _, name := range []string{"beach-riders", "old-town-clerks", "kiwi-castings"} {
		key := config.NewKey()
		f.keys = append(f.keys, key)
		doc.Organisations = append(doc.Organisations, config.Organisation{ID: name, Weight: 1, Rate: 200, Burst: 200})
		doc.Keys = append(doc.Keys, config.Key{ID: name + "-1", Organisation: name, Hash: config.HashKey(key)})
	}
	for i, spec := range vmSpecs {
		doc.Services = append(doc.Services, config.Service{ID: spec.service})
		weight := 1
		if i == 0 {
			weight = 2
		}
		doc.Domains = append(doc.Domains, config.FailureDomain{ID: spec.domain, Region: spec.region, Weight: weight})
		doc.Routes = append(doc.Routes, config.Route{
			ID: spec.service, Method: "*", Path: "/" + spec.service + "/", Service: spec.service, Idempotent: true,
			OpenTo: []string{config.AllOrganisations}, Importance: uint8(3 + i), Deadline: jsonc.Duration(2 * time.Second),
			RetryBudget: 2, MaxRequestBytes: 1 << 20, MaxAnswerBytes: 8 << 20,
		})
	}
	edits := edit.Diff(&config.Document{}, doc)
	editor := edit.NewEditor(etcd.New(etcd.Options{Endpoints: []string{f.storeURL}}), "/mangomast/", clockwork.NewRealClock())
	_, err := editor.Commit(ctx, edit.Proposal{Author: "demo", Note: "first document", Edits: edits})
	return err
}

// startVM starts the VM's upstream and node.
func (f *fleet) startVM(ctx context.Context, spec vmSpec) error {
	addresses, err := freeport.Addresses("127.0.0.1", 5)
	if err != nil {
		return err
	}
	n := &settings.Node{
		VM: spec.vm, FailureDomain: spec.domain, Region: spec.region, FleetSecret: fleetSecret, LogLevel: "error",
		Listen: settings.Listen{Callers: addresses[0], Mesh: addresses[1], Egress: addresses[2], Admin: addresses[3]},
		Store:  settings.Store{Endpoints: []string{f.storeURL}},
	}
	n.SetDefaults()
	if len(f.nodes) > 0 {
		n.Seeds = []string{f.nodes[0].Listen.Mesh}
	}
	operatorSettings := struct {
		Operators []config.Operator `json:"operators"`
	}{[]config.Operator{{ID: "night-shift", Hash: f.tokenHash}}}
	raw, err := json.Marshal(operatorSettings)
	if err != nil {
		return errors.Wrap(err, "encode operators")
	}
	n.Modules = map[string]json.RawMessage{"operator": raw}
	f.nodes = append(f.nodes, n)
	behaviour := standin.Behaviour{WorkMicros: 4000, Jitter: 0.5}
	if spec.callee != "" {
		behaviour.Callees = []string{spec.callee}
	}
	upstream := standin.NewUpstream(standin.UpstreamOptions{Slots: slots, Egress: "http://" + n.Listen.Egress, Behaviour: behaviour})
	if err := f.serve(ctx, httpserver.New(addresses[4], upstream)); err != nil {
		return err
	}
	announcer := &standin.Announcer{
		Egress: "http://" + n.Listen.Egress, Service: spec.service, Address: addresses[4], Slots: slots, Connections: connections,
	}
	f.group.Go(func() error { return announcer.Run(ctx) })
	f.group.Go(func() error { return node.Run(ctx, n, io.Discard) })
	return nil
}

// waitReady polls the nodes until each one has fresh configuration and lists
// every upstream as ready.
func (f *fleet) waitReady(ctx context.Context) error {
	for _, n := range f.nodes {
		client := operator.NewClient("http://"+n.Listen.Admin, f.operatorToken)
		for {
			status, err := client.Status(ctx)
			if err == nil && status.Revision > 0 && status.Fresh && status.Owned && countReady(status) == len(f.nodes) {
				break
			}
			select {
			case <-ctx.Done():
				return ctx.Err()
			case <-time.After(readyPollInterval):
			}
		}
	}
	return nil
}

func countReady(status *operator.Status) int {
	ready := 0
	for _, m := range status.Members {
		if m.State == membership.Ready {
			ready++
		}
	}
	return ready
}

func (f *fleet) printInstructions() {
	_, _ = fmt.Fprintf(f.out, "four nodes serve: %s, %s, %s, %s\n", vmSpecs[0].vm, vmSpecs[1].vm, vmSpecs[2].vm, vmSpecs[3].vm)
	_, _ = fmt.Fprintf(f.out, "console: http://%s/ (sign in with token %s)\n", f.nodes[0].Listen.Admin, f.operatorToken)
	_, _ = fmt.Fprintf(f.out, "try:     curl -i -H 'Authorization: Bearer %s' http://%s/dispatch/ride\n", f.keys[0], f.nodes[0].Listen.Callers)
	_, _ = fmt.Fprintf(f.out, "or:      go run ./cmd/mangomast status --node http://%s --token %s\n", f.nodes[0].Listen.Admin, f.operatorToken)
}

// sendRequests sends requests to all nodes and periodically prints how many
// succeeded and how many did not.
func (f *fleet) sendRequests(ctx context.Context) error {
	const requestInterval = 10 * time.Millisecond
	var addresses []string
	for _, n := range f.nodes {
		addresses = append(addresses, n.Listen.Callers)
	}
	callers := make([]*client.Client, len(f.keys))
	for i, key := range f.keys {
		callers[i] = client.New(client.Options{Addresses: addresses, Key: key})
	}
	counts := [2]int{}
	report := time.NewTicker(reportInterval)
	defer report.Stop()
	for number := 0; ; number++ {
		if sendRequest(ctx, callers[number%len(callers)], number) {
			counts[0]++
		} else {
			counts[1]++
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-report.C:
			_, _ = fmt.Fprintf(f.out, "callers: %d answered, %d refused or failed\n", counts[0], counts[1])
		case <-time.After(requestInterval):
		}
	}
}

// sendRequest sends one request and reports whether it succeeded. Successive
// numbers alternate between the first services of the two service graphs.
func sendRequest(ctx context.Context, caller *client.Client, number int) bool {
	req := &client.Request{
		Method: http.MethodGet, Target: "/" + vmSpecs[number%2*2].service + "/demo?bytes=200", Idempotent: true,
	}
	resp, err := caller.Do(ctx, req)
	return err == nil && resp.Outcome == call.Answered && resp.Status == http.StatusOK
}
