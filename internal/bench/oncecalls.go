package bench

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/mangomast/mangomast/client"
	"github.com/mangomast/mangomast/config"
	"github.com/mangomast/mangomast/internal/rig"
	"github.com/mangomast/mangomast/internal/standin"
	"github.com/mangomast/mangomast/jsonc"
)

const (
	onceCalls       = 600
	callsKillPause  = 250 * time.Millisecond
	callsRestart    = 150 * time.Millisecond
	callsOwnRetries = 3
)

// callsRun sends requests whose upstream makes a call that is not idempotent,
// and repeats it when it fails, while the called upstreams are killed. It
// returns how many calls ran twice, of how many requests.
func callsRun(ctx context.Context, env *Env) (twice, requests int, err error) {
	doc := &config.Document{}
	keys := NewOrganisations(doc, 1, 100_000, 100_000)
	AddService(doc, "dispatch", func(r *config.Route) { r.Idempotent = false })
	AddService(doc, "fares", func(r *config.Route) {
		r.Idempotent, r.Deadline = false, jsonc.Duration(time.Second)
	})
	nodes := append(
		Spread("dispatch", 2, 40, standin.Behaviour{Callees: []string{"/fares/charge"}, ChildRetries: callsOwnRetries}),
		Spread("fares", 3, 40, standin.Behaviour{WorkMicros: 20_000, Jitter: 1})...)
	AddDomains(doc, nodes)
	fleet, err := rig.Start(ctx, rig.Options{Nodes: nodes, Document: doc})
	if err != nil {
		return 0, 0, err
	}
	defer fleet.Close()
	killing, stop := context.WithCancel(ctx)
	var kills, sends sync.WaitGroup
	kills.Go(func() { killFares(killing, fleet, rand.New(rand.NewPCG(env.Seed, 5))) })
	c := client.New(client.Options{Addresses: []string{fleet.Nodes[0].Callers, fleet.Nodes[1].Callers}, Key: keys[0].Secret})
	for number := range onceCalls {
		sends.Go(func() {
			req := &client.Request{Method: http.MethodPost, Target: "/dispatch/next", Header: http.Header{}}
			req.Header.Set(standin.HeaderTestID, fmt.Sprintf("call-%d", number))
			if id, refusal, err := c.NewID(ctx, req); err == nil && refusal == nil {
				_, _ = c.Send(ctx, req, id)
			}
		})
		time.Sleep(time.Second / onceRate)
	}
	sends.Wait()
	stop()
	kills.Wait()
	runs, err := fleet.Runs("fares")
	for _, count := range runs {
		if count > 1 {
			twice++
		}
	}
	return twice, onceCalls, err
}

// killFares kills and restarts upstreams of the called service in turn.
func killFares(ctx context.Context, fleet *rig.Rig, random *rand.Rand) {
	for ctx.Err() == nil {
		time.Sleep(callsKillPause)
		node := fleet.Nodes[2+random.IntN(3)]
		node.Upstream.Kill()
		time.Sleep(callsRestart)
		if fleet.StartUpstream(node) != nil {
			return
		}
	}
}
