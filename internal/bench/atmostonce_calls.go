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
	nestedCallRequests = 600
	nestedKillInterval = 250 * time.Millisecond
	nestedRestartDelay = 150 * time.Millisecond
	nestedRetries      = 3
)

// runNestedCalls sends requests whose upstream makes a call that is not
// idempotent and retries it on failure, while the called upstreams are killed.
// It returns the number of calls that ran more than once and the number of
// requests.
func runNestedCalls(ctx context.Context, env *Env) (twice, requests int, err error) {
	doc := &config.Document{}
	keys := AddOrganisations(doc, 1, 100_000, 100_000)
	AddService(doc, "dispatch", func(r *config.Route) { r.Idempotent = false })
	AddService(doc, "fares", func(r *config.Route) {
		r.Idempotent, r.Deadline = false, jsonc.Duration(time.Second)
	})
	nodes := append(
		SpreadVMs("dispatch", 2, 40, standin.Behaviour{Callees: []string{"/fares/charge"}, ChildRetries: nestedRetries}),
		SpreadVMs("fares", 3, 40, standin.Behaviour{WorkMicros: 20_000, Jitter: 1})...)
	AddDomains(doc, nodes)
	fleet, err := rig.Start(ctx, rig.Options{Nodes: nodes, Document: doc})
	if err != nil {
		return 0, 0, err
	}
	defer fleet.Close()
	killCtx, stop := context.WithCancel(ctx)
	var kills, sends sync.WaitGroup
	kills.Go(func() { killCalledUpstreams(killCtx, fleet, rand.New(rand.NewPCG(env.Seed, 5))) })
	c := client.New(client.Options{Addresses: []string{fleet.Nodes[0].Callers, fleet.Nodes[1].Callers}, Key: keys[0].Secret})
	for number := range nestedCallRequests {
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
	return twice, nestedCallRequests, err
}

// killCalledUpstreams kills and restarts random upstreams of the called service
// until the context ends.
func killCalledUpstreams(ctx context.Context, fleet *rig.Rig, random *rand.Rand) {
	for ctx.Err() == nil {
		time.Sleep(nestedKillInterval)
		node := fleet.Nodes[2+random.IntN(3)]
		node.Upstream.Kill()
		time.Sleep(nestedRestartDelay)
		if fleet.StartUpstream(node) != nil {
			return
		}
	}
}
