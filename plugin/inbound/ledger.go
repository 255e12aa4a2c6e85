package inbound

import (
	"bytes"
	"context"
	"io"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/mangomast/mangomast/call"
	"github.com/mangomast/mangomast/jsonc"
	"github.com/mangomast/mangomast/ledger"
	"github.com/mangomast/mangomast/mesh"
)

const (
	defaultValidity      = 10 * time.Minute
	defaultLedgerEntries = 50_000
	defaultKeptBytes     = 32 << 20
	defaultKeptEachBytes = 1 << 20
)

// Values of the label of mangomast_ledger_requests_total.
const (
	labelRun    = "run"
	labelReplay = "replay"
	labelJoin   = "join"
)

// LedgerSettings bound the ledger of requests that run at most once.
type LedgerSettings struct {
	// Disabled runs every request that arrives; for experiments only.
	Disabled bool `json:"disabled"`
	// Validity is how long after its mint time a request ID may be run.
	Validity jsonc.Duration `json:"validity"`
	// MaxEntries bounds the IDs that are remembered.
	MaxEntries int `json:"max_entries"`
	// MaxAnswerBytes bounds all kept answers; MaxEachBytes bounds each.
	MaxAnswerBytes int64 `json:"max_answer_bytes"`
	MaxEachBytes   int64 `json:"max_each_bytes"`
	// Handover says what a planned stop passes on.
	Handover HandoverSettings `json:"handover"`
}

func defaultLedgerSettings() LedgerSettings {
	return LedgerSettings{
		Validity: jsonc.Duration(defaultValidity), MaxEntries: defaultLedgerEntries,
		MaxAnswerBytes: defaultKeptBytes, MaxEachBytes: defaultKeptEachBytes,
		Handover: HandoverSettings{MaxBytes: defaultHandoverBytes},
	}
}

// once runs each pinned request at most once. It drives a ledger.Ledger.
type once struct {
	module   *Module
	self     mesh.Identity
	requests *prometheus.CounterVec

	mu      sync.Mutex
	ledger  *ledger.Ledger
	flights map[string]*flight
}

func newOnce(m *Module, self mesh.Identity, registerer prometheus.Registerer) *once {
	o := &once{
		module: m, self: self, flights: map[string]*flight{},
		ledger: ledger.New(ledger.Options{
			Validity: m.Ledger.Validity.Std(), MaxEntries: m.Ledger.MaxEntries, MaxAnswerBytes: m.Ledger.MaxAnswerBytes,
		}),
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "mangomast_ledger_requests_total",
			Help: "Requests that run at most once, by what the ledger decided.",
		}, []string{"decision"}),
	}
	entries := prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "mangomast_ledger_entries",
		Help: "Request IDs that the ledger remembers.",
	}, func() float64 {
		o.mu.Lock()
		defer o.mu.Unlock()
		return float64(o.ledger.Len())
	})
	registerer.MustRegister(o.requests, entries)
	return o
}

// Serve runs a request on the local upstream, or gives the answer that was
// kept for its ID. The context bounds waiting and running; the body, which may
// be nil, must be closed. It is safe for concurrent use and blocks until the
// upstream has answered.
func (m *Module) Serve(ctx context.Context, head *call.Head, body []byte) (*call.Reply, io.ReadCloser) {
	if head.Pin.IsZero() || m.Ledger.Disabled {
		return m.admit(ctx, head, body)
	}
	return m.once.serve(ctx, head, body)
}

// serve runs a pinned request, or joins or repeats an earlier run.
func (o *once) serve(ctx context.Context, head *call.Head, body []byte) (*call.Reply, io.ReadCloser) {
	id, err := ledger.ParseID(head.ID)
	if err != nil {
		return call.Refuse(call.CodeBadRequest, err.Error()), nil
	}
	if head.Pin.VM != o.self.VM || head.Pin.Incarnation != o.self.Incarnation {
		reply := call.Unsure(call.CodePinLost, "the node that may have run the request was replaced; it will not be run again")
		return settled(reply), nil
	}
	decision, f := o.begin(id, head, body)
	switch decision.Action {
	case ledger.Replay:
		o.requests.WithLabelValues(labelReplay).Inc()
		return giveAgain(decision.Answer)
	case ledger.Join:
		o.requests.WithLabelValues(labelJoin).Inc()
	case ledger.Run:
		o.requests.WithLabelValues(labelRun).Inc()
		// The run outlives the asker, who may ask again with the ID.
		go o.run(context.WithoutCancel(ctx), f, head, body)
	}
	return f.wait(ctx)
}

// begin asks the ledger and returns the flight that the request starts or
// joins; nil if there is an answer already.
func (o *once) begin(id ledger.ID, head *call.Head, body []byte) (ledger.Decision, *flight) {
	fingerprint := ledger.FingerprintOf(head, body)
	o.mu.Lock()
	defer o.mu.Unlock()
	decision := o.ledger.Begin(head.ID, id.Minted(), fingerprint, o.module.clock.Now())
	switch decision.Action {
	case ledger.Run:
		f := newFlight()
		o.flights[head.ID] = f
		return decision, f
	case ledger.Join:
		f := o.flights[head.ID]
		f.join()
		return decision, f
	}
	return decision, nil
}

// run runs the request and records its answer.
func (o *once) run(ctx context.Context, f *flight, head *call.Head, body []byte) {
	reply, answer := o.module.admit(ctx, head, body)
	kept, rest := o.keep(reply, answer)
	o.mu.Lock()
	o.ledger.Finish(head.ID, kept)
	delete(o.flights, head.ID)
	o.mu.Unlock()
	f.finish(kept, reply, rest)
}

// keep reads an answer that is small enough to be kept. The rest of a larger
// one is returned for one asker to read.
func (o *once) keep(reply *call.Reply, answer io.ReadCloser) (kept *ledger.Answer, rest io.ReadCloser) {
	kept = &ledger.Answer{Reply: settled(reply)}
	if answer == nil {
		return kept, nil
	}
	limit := o.module.Ledger.MaxEachBytes
	data, err := io.ReadAll(io.LimitReader(answer, limit+1))
	if int64(len(data)) > limit {
		return ledger.NotKept(), &joinedBody{Reader: io.MultiReader(bytes.NewReader(data), answer), Closer: answer}
	}
	_ = answer.Close()
	if err != nil {
		failed := call.Unsure(call.CodeUpstreamFailed, "the upstream broke its answer off")
		failed.Load, failed.RetriesUsed = reply.Load, reply.RetriesUsed
		return &ledger.Answer{Reply: settled(failed)}, nil
	}
	kept.Body = data
	return kept, nil
}

// closed returns the answers that a planned stop passes on.
func (o *once) closed(maxBytes int64) []ledger.Record {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.ledger.Closed(maxBytes)
}

// settled returns a copy of the reply that is final for its ID.
func settled(reply *call.Reply) *call.Reply {
	final := *reply
	final.Settled = true
	return &final
}

func giveAgain(answer *ledger.Answer) (*call.Reply, io.ReadCloser) {
	reply := *answer.Reply
	if reply.Outcome != call.Answered {
		return &reply, nil
	}
	return &reply, io.NopCloser(bytes.NewReader(answer.Body))
}

// joinedBody reads from one place and closes another.
type joinedBody struct {
	io.Reader
	io.Closer
}
