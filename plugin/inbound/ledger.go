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
	defaultValidity       = 10 * time.Minute
	defaultMaxEntries     = 50_000
	defaultMaxAnswerBytes = 32 << 20
	defaultMaxEachBytes   = 1 << 20
)

// Values of the label decision of mangomast_ledger_requests_total.
const (
	labelRun    = "run"
	labelReplay = "replay"
	labelJoin   = "join"
)

// LedgerSettings configure the ledger of requests that run at most once.
type LedgerSettings struct {
	// Disabled turns deduplication off: every request that arrives runs. For
	// experiments only.
	Disabled bool `json:"disabled"`
	// Validity is how long after the creation of its ID a request may run.
	Validity jsonc.Duration `json:"validity"`
	// MaxEntries bounds the number of recorded IDs.
	MaxEntries int `json:"max_entries"`
	// MaxAnswerBytes bounds the total size of stored answers, MaxEachBytes the
	// size of each.
	MaxAnswerBytes int64 `json:"max_answer_bytes"`
	MaxEachBytes   int64 `json:"max_each_bytes"`
	// Handover configures the handover of stored answers at a planned stop.
	Handover HandoverSettings `json:"handover"`
}

func defaultLedgerSettings() LedgerSettings {
	return LedgerSettings{
		Validity: jsonc.Duration(defaultValidity), MaxEntries: defaultMaxEntries,
		MaxAnswerBytes: defaultMaxAnswerBytes, MaxEachBytes: defaultMaxEachBytes,
		Handover: HandoverSettings{MaxBytes: defaultHandoverBytes},
	}
}

// deduplicator runs each pinned request at most once. It records IDs and
// answers in a ledger.Ledger and shares runs in flight between callers.
type deduplicator struct {
	module   *Module
	self     mesh.Identity
	requests *prometheus.CounterVec

	mu       sync.Mutex
	ledger   *ledger.Ledger
	inFlight map[string]*inFlightRun
}

func newDeduplicator(m *Module, self mesh.Identity, registerer prometheus.Registerer) *deduplicator {
	d := &deduplicator{
		module: m, self: self, inFlight: map[string]*inFlightRun{},
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
		d.mu.Lock()
		defer d.mu.Unlock()
		return float64(d.ledger.Len())
	})
	registerer.MustRegister(d.requests, entries)
	return d
}

// Serve runs a request on the local upstream, or returns the answer stored for
// its ID. It blocks until the upstream has answered. The context bounds how long
// the caller waits, and also the run if the request is not deduplicated. The
// caller must close the returned body, which may be nil. Serve is safe for
// concurrent use.
func (m *Module) Serve(ctx context.Context, head *call.Head, body []byte) (*call.Reply, io.ReadCloser) {
	if head.Pin.IsZero() || m.Ledger.Disabled {
		return m.serveTracked(ctx, head, body)
	}
	return m.deduplicator.serve(ctx, head, body)
}

// serve runs a pinned request, joins a run in flight, or replays a stored
// answer.
func (d *deduplicator) serve(ctx context.Context, head *call.Head, body []byte) (*call.Reply, io.ReadCloser) {
	id, err := ledger.ParseID(head.ID)
	if err != nil {
		return call.Refuse(call.CodeBadRequest, err.Error()), nil
	}
	if head.Pin.VM != d.self.VM || head.Pin.Incarnation != d.self.Incarnation {
		reply := call.UnknownOutcome(call.CodePinLost, "the node that may have run the request was replaced; it will not be run again")
		return finalReply(reply), nil
	}
	decision, r := d.begin(id, head, body)
	switch decision.Action {
	case ledger.Replay:
		d.requests.WithLabelValues(labelReplay).Inc()
		return replay(decision.Answer)
	case ledger.Join:
		d.requests.WithLabelValues(labelJoin).Inc()
	case ledger.Run:
		d.requests.WithLabelValues(labelRun).Inc()
		// The run continues if the caller gives up, as the caller may retry with
		// the same ID.
		go d.run(context.WithoutCancel(ctx), r, head, body)
	}
	return r.wait(ctx)
}

// begin records the request in the ledger and returns the run that the request
// starts or joins; nil if the ledger already has an answer.
func (d *deduplicator) begin(id ledger.ID, head *call.Head, body []byte) (ledger.Decision, *inFlightRun) {
	fingerprint := ledger.FingerprintOf(head, body)
	d.mu.Lock()
	defer d.mu.Unlock()
	decision := d.ledger.Begin(head.ID, id.Minted(), fingerprint, d.module.clock.Now())
	switch decision.Action {
	case ledger.Run:
		r := newInFlightRun()
		d.inFlight[head.ID] = r
		return decision, r
	case ledger.Join:
		r := d.inFlight[head.ID]
		r.join()
		return decision, r
	}
	return decision, nil
}

// run runs the request, stores its answer and publishes it to the waiters.
func (d *deduplicator) run(ctx context.Context, r *inFlightRun, head *call.Head, body []byte) {
	reply, answer := d.module.serveTracked(ctx, head, body)
	stored, stream := d.readAnswer(reply, answer)
	d.mu.Lock()
	d.ledger.Finish(head.ID, stored)
	delete(d.inFlight, head.ID)
	d.mu.Unlock()
	r.finish(stored, reply, stream)
}

// readAnswer reads the body of an answer and returns it for storing. If the
// body exceeds MaxEachBytes, stored marks an answer that was not kept, and
// stream returns the whole body for one caller to read.
func (d *deduplicator) readAnswer(reply *call.Reply, answer io.ReadCloser) (stored *ledger.Answer, stream io.ReadCloser) {
	stored = &ledger.Answer{Reply: finalReply(reply)}
	if answer == nil {
		return stored, nil
	}
	limit := d.module.Ledger.MaxEachBytes
	data, err := io.ReadAll(io.LimitReader(answer, limit+1))
	if int64(len(data)) > limit {
		return ledger.DroppedAnswer(), &partlyReadBody{Reader: io.MultiReader(bytes.NewReader(data), answer), Closer: answer}
	}
	_ = answer.Close()
	if err != nil {
		failed := call.UnknownOutcome(call.CodeUpstreamFailed, "the upstream broke its answer off")
		failed.Load, failed.RetriesUsed = reply.Load, reply.RetriesUsed
		return &ledger.Answer{Reply: finalReply(failed)}, nil
	}
	stored.Body = data
	return stored, nil
}

// completedRecords returns the records that a planned stop hands over.
func (d *deduplicator) completedRecords(maxBytes int64) []ledger.Record {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.ledger.Export(maxBytes)
}

// finalReply returns a copy of the reply that is marked as final for its ID.
func finalReply(reply *call.Reply) *call.Reply {
	final := *reply
	final.Final = true
	return &final
}

// replay returns a stored answer as a new reply and body.
func replay(answer *ledger.Answer) (*call.Reply, io.ReadCloser) {
	reply := *answer.Reply
	if reply.Outcome != call.Answered {
		return &reply, nil
	}
	return &reply, io.NopCloser(bytes.NewReader(answer.Body))
}

// partlyReadBody is a body of which a part was already read into memory: Reader
// yields that part and the remainder, Closer closes the original body.
type partlyReadBody struct {
	io.Reader
	io.Closer
}
