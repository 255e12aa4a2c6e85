package bench

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/mangomast/mangomast/call"
	"github.com/mangomast/mangomast/client"
	"github.com/mangomast/mangomast/config"
	"github.com/mangomast/mangomast/internal/rig"
	"github.com/mangomast/mangomast/internal/standin"
)

func init() {
	Register(Case{Name: "at-most-once", Help: "requests re-sent through random nodes amid kills, silence and a store outage run at most once", Run: runAtMostOnce})
}

const (
	onceRequests        = 5000
	onceControlRequests = 200
	// maxControlRuns bounds the number of runs without the ledger.
	maxControlRuns  = 3
	onceRate        = 250
	onceMaxSends    = 5
	onceMaxPause    = 400 * time.Millisecond
	onceTryTimeout  = 4 * time.Second
	onceAnswerBytes = 256
	// onceKeyOneIn is the interval of requests that carry a caller-supplied
	// idempotency key instead of an ID: one in onceKeyOneIn.
	onceKeyOneIn = 4
)

// onceFigures are the figures of one run of the at-most-once case.
type onceFigures struct {
	Requests int `json:"requests"`
	Sends    int `json:"sends"`
	// NoID counts requests that were never sent because no ID was issued.
	NoID     int `json:"no_id"`
	RunTwice int `json:"run_twice"`
	// RefusedRan counts IDs that were refused as not executed although the
	// request ran.
	RefusedRan int `json:"refused_ran"`
	// AnsweredNotRun counts IDs that were answered although the request never
	// ran.
	AnsweredNotRun int     `json:"answered_not_run"`
	WrongAnswers   int     `json:"wrong_answers"`
	Answered       int     `json:"answered"`
	Refused        int     `json:"refused"`
	Unknown        int     `json:"unknown"`
	DefiniteShare  float64 `json:"definite_share"`
	Linearizable   bool    `json:"linearizable"`
	Faults         int     `json:"faults"`
	// PlannedStops counts the graceful stops of a node, in addition to the
	// faults.
	PlannedStops int `json:"planned_stops"`
	// Calls counts requests whose upstream calls another service and retries
	// the call on failure; CallsTwice counts those whose call ran twice.
	Calls      int `json:"calls"`
	CallsTwice int `json:"calls_twice"`
}

func (f *onceFigures) holds() bool {
	return f.RunTwice == 0 && f.RefusedRan == 0 && f.AnsweredNotRun == 0 && f.WrongAnswers == 0 && f.Linearizable && f.CallsTwice == 0
}

func (f *onceFigures) cells(name string) []string {
	return []string{
		name, fmt.Sprint(f.Requests), fmt.Sprint(f.Sends), fmt.Sprint(f.Faults), fmt.Sprint(f.PlannedStops), fmt.Sprint(f.RunTwice),
		fmt.Sprint(f.RefusedRan), fmt.Sprint(f.AnsweredNotRun), fmt.Sprint(f.WrongAnswers), fmt.Sprint(f.Linearizable),
		fmt.Sprintf("%.2f %%", 100*f.DefiniteShare), fmt.Sprint(f.Answered), fmt.Sprint(f.Refused), fmt.Sprint(f.Unknown), fmt.Sprint(f.NoID),
		fmt.Sprint(f.Calls), fmt.Sprint(f.CallsTwice),
	}
}

func runAtMostOnce(ctx context.Context, env *Env) (*Report, error) {
	off, err := onceControlRun(ctx, env)
	if err != nil {
		return nil, err
	}
	requests := onceRequests
	if env.Duration > 0 {
		requests = int(env.Duration.Seconds() * onceRate)
	}
	on, err := onceRun(ctx, env, requests, false)
	if err != nil {
		return nil, err
	}
	if on.CallsTwice, on.Calls, err = runNestedCalls(ctx, env); err != nil {
		return nil, err
	}
	return &Report{
		// The run without the ledger proves that the case detects duplicates.
		Holds:   on.holds() && off.RunTwice > 0,
		Figures: on,
		Header: []string{
			"ledger", "requests", "sends", "faults", "planned stops", "run twice", "refused but ran", "answered, not run", "wrong",
			"linearizable", "definite", "answered", "refused", "unknown", "no id", "upstreams' calls", "twice",
		},
		Rows: [][]string{off.cells("off"), on.cells("on")},
	}, nil
}

// onceControlRun repeats the run without the ledger until a request ran twice,
// at most maxControlRuns times: a run in which the fleet refuses most requests
// may show no duplicate.
func onceControlRun(ctx context.Context, env *Env) (figures *onceFigures, err error) {
	for range maxControlRuns {
		figures, err = onceRun(ctx, env, onceControlRequests, true)
		if err != nil || figures.RunTwice > 0 {
			break
		}
	}
	return figures, err
}

// onceRun starts a fleet and sends the requests to it.
func onceRun(ctx context.Context, env *Env, requests int, ledgerOff bool) (*onceFigures, error) {
	doc := &config.Document{}
	keys := AddOrganisations(doc, 1, 100_000, 100_000)
	AddService(doc, "fares", func(r *config.Route) { r.Idempotent = false })
	AddService(doc, "other", nil)
	nodes := append(SpreadVMs("fares", 4, 40, standin.Behaviour{WorkMicros: 5000, Jitter: 1}), SpreadVMs("other", 2, 10, standin.Behaviour{})...)
	if ledgerOff {
		for i := range nodes {
			nodes[i].Modules = map[string]json.RawMessage{"inbound": json.RawMessage(`{"ledger": {"disabled": true}}`)}
		}
	}
	AddDomains(doc, nodes)
	fleet, err := rig.Start(ctx, rig.Options{Nodes: nodes, Document: doc})
	if err != nil {
		return nil, err
	}
	defer fleet.Close()
	run := &onceExperiment{fleet: fleet, random: rand.New(rand.NewPCG(env.Seed, 1)), faultRandom: rand.New(rand.NewPCG(env.Seed, 3))}
	addresses := make([]string, 0, len(fleet.Nodes))
	for _, node := range fleet.Nodes {
		addresses = append(addresses, node.CallersProxy)
	}
	run.client = client.New(client.Options{Addresses: addresses, Key: keys[0].Secret, TryTimeout: onceTryTimeout})
	return run.execute(ctx, requests)
}

// onceExperiment is one run of the at-most-once case.
type onceExperiment struct {
	fleet  *rig.Rig
	client *client.Client
	random *rand.Rand

	// mu guards the fields below.
	mu      sync.Mutex
	history []onceSend
	noID    int
	// faultRandom selects the targets of the faults.
	faultRandom *rand.Rand
}

// onceSend is one send of a request and its outcome.
type onceSend struct {
	number        int
	called, ended int64
	outcome       call.Outcome
	wrong         bool
}

func (e *onceExperiment) execute(ctx context.Context, requests int) (*onceFigures, error) {
	faultCtx, stop := context.WithCancel(ctx)
	faults := make(chan int, 1)
	stops := make(chan int, 1)
	go func() { faults <- e.injectFaults(faultCtx) }()
	go func() { stops <- e.stopGracefully(faultCtx) }()
	var group sync.WaitGroup
	for number := range requests {
		seed := e.random.Uint64()
		group.Go(func() { e.request(ctx, number, rand.New(rand.NewPCG(seed, 2))) })
		time.Sleep(time.Second / onceRate)
	}
	group.Wait()
	stop()
	injected, planned := <-faults, <-stops
	runs, err := e.fleet.Runs("fares")
	if err != nil {
		return nil, err
	}
	figures := e.figures(requests, runs)
	figures.Faults, figures.PlannedStops = injected, planned
	return figures, nil
}

func onceTestID(number int) string { return fmt.Sprintf("once-%d", number) }

// request obtains an ID or uses its own idempotency key, sends the request
// several times concurrently and then sequentially, until onceMaxSends sends
// were made or a sequential send returns a definite outcome.
func (e *onceExperiment) request(ctx context.Context, number int, random *rand.Rand) {
	req := &client.Request{Method: http.MethodPost, Target: fmt.Sprintf("/fares/charge?bytes=%d", onceAnswerBytes), Header: http.Header{}}
	req.Header.Set(standin.HeaderTestID, onceTestID(number))
	req.Body = []byte(onceTestID(number))
	id := ""
	if number%onceKeyOneIn == 0 {
		req.Header.Set("Idempotency-Key", onceTestID(number))
	} else if id = e.newID(ctx, req, random); id == "" {
		e.mu.Lock()
		e.noID++
		e.mu.Unlock()
		return
	}
	concurrent := 1 + random.IntN(3)
	var group sync.WaitGroup
	for range concurrent {
		wait := time.Duration(random.Int64N(int64(onceMaxPause)))
		group.Go(func() {
			time.Sleep(wait)
			e.send(ctx, req, id, number)
		})
	}
	group.Wait()
	for range onceMaxSends - concurrent {
		time.Sleep(time.Duration(random.Int64N(int64(onceMaxPause))))
		if e.send(ctx, req, id, number) != call.Unknown {
			return
		}
	}
}

func (e *onceExperiment) newID(ctx context.Context, req *client.Request, random *rand.Rand) string {
	const attempts = 5
	for range attempts {
		id, refusal, err := e.client.NewID(ctx, req)
		if err == nil && refusal == nil {
			return id
		}
		time.Sleep(time.Duration(random.Int64N(int64(onceMaxPause))))
	}
	return ""
}

func (e *onceExperiment) send(ctx context.Context, req *client.Request, id string, number int) call.Outcome {
	called := time.Now().UnixNano()
	resp, err := e.client.Send(ctx, req, id)
	sent := onceSend{number: number, called: called, ended: time.Now().UnixNano(), outcome: call.Unknown}
	if err == nil {
		sent.outcome = resp.Outcome
		sent.wrong = resp.Outcome == call.Answered && !bytes.Equal(resp.Body, standin.Payload(onceTestID(number), onceAnswerBytes))
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.history = append(e.history, sent)
	return sent.outcome
}

// figures compares the outcomes of each request with its number of runs.
func (e *onceExperiment) figures(requests int, runs map[string]int) *onceFigures {
	answered, refused := map[int]bool{}, map[int]bool{}
	f := &onceFigures{Requests: requests, Sends: len(e.history), NoID: e.noID}
	for _, sent := range e.history {
		answered[sent.number] = answered[sent.number] || sent.outcome == call.Answered
		refused[sent.number] = refused[sent.number] || sent.outcome == call.Refused
		if sent.wrong {
			f.WrongAnswers++
		}
	}
	for number := range requests {
		ran := runs[onceTestID(number)]
		if ran > 1 {
			f.RunTwice++
		}
		if refused[number] && ran > 0 {
			f.RefusedRan++
		}
		if answered[number] && ran == 0 {
			f.AnsweredNotRun++
		}
		switch {
		case answered[number]:
			f.Answered++
		case refused[number]:
			f.Refused++
		}
	}
	f.Unknown = requests - f.NoID - f.Answered - f.Refused
	f.DefiniteShare = float64(f.Answered+f.Refused) / float64(max(1, requests-f.NoID))
	f.Linearizable = linearizable(e.history, requests, runs)
	return f
}
