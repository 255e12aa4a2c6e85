package inbound

import (
	"context"
	"io"
	"slices"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/jonboulle/clockwork"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/mangomast/mangomast/call"
	"github.com/mangomast/mangomast/ledger"
	"github.com/mangomast/mangomast/membership"
	"github.com/mangomast/mangomast/mesh"
	"github.com/mangomast/mangomast/routing"
)

const (
	defaultHandoverBytes = 4 << 20
	// heirs is the number of VMs that get each answer of a node that stops.
	// One more is asked, as the stopped VM may be back among those that rank
	// highest.
	heirs     = 2
	askHeirs  = heirs + 1
	partBytes = 256 << 10
	// handoverTimeout bounds a planned stop's wait for its heirs; askTimeout
	// bounds the question for an answer.
	handoverTimeout = 2 * time.Second
	askTimeout      = 400 * time.Millisecond
)

// HandoverSettings bound what a stopping node passes on of its ledger.
type HandoverSettings struct {
	// Disabled passes nothing on; for experiments only.
	Disabled bool `json:"disabled"`
	// MaxBytes bounds the answers that one planned stop passes on, the newest
	// first.
	MaxBytes int64 `json:"max_bytes"`
}

// handoverMessage passes answers of a node that stops on to another VM.
type handoverMessage struct {
	Records []ledger.Record `cbor:"1,keyasint"`
}

// inheritedQuestion asks for the answer of a request whose pin has stopped.
type inheritedQuestion struct {
	ID          string             `cbor:"1,keyasint"`
	Fingerprint ledger.Fingerprint `cbor:"2,keyasint"`
}

// inheritedAnswer is the reply and body of the request, if they are known.
type inheritedAnswer struct {
	Found bool       `cbor:"1,keyasint"`
	Reply call.Reply `cbor:"2,keyasint"`
	Body  []byte     `cbor:"3,keyasint,omitempty"`
}

// handover passes the answers of this node's ledger on at a planned stop, and
// keeps those of nodes that stopped. The holders of an answer are found by the
// rendezvous hash of its pin over the service's VMs. An answer that is lost
// leaves its request unknown; nobody but the pin runs it.
type handover struct {
	settings HandoverSettings
	clock    clockwork.Clock
	log      log.Interface
	mesh     *mesh.Mesh
	members  membership.Source
	records  *prometheus.CounterVec

	mu        sync.Mutex
	inherited *ledger.Ledger
}

func newHandover(m *Module, fabric *mesh.Mesh, members membership.Source, registerer prometheus.Registerer) *handover {
	h := &handover{
		settings: m.Ledger.Handover, clock: m.clock, log: m.log, mesh: fabric, members: members,
		inherited: ledger.New(ledger.Options{
			Validity: m.Ledger.Validity.Std(), MaxEntries: m.Ledger.MaxEntries, MaxAnswerBytes: m.Ledger.MaxAnswerBytes,
		}),
		records: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "mangomast_ledger_handover_records_total",
			Help: "Answers handed on at planned stops, by whether this node sent, received or gave them to an asker.",
		}, []string{"direction"}),
	}
	registerer.MustRegister(h.records)
	fabric.Handle(mesh.KindHandover, mesh.Typed(h.serveHandover))
	fabric.Handle(mesh.KindInherited, mesh.Typed(h.serveQuestion))
	return h
}

func (h *handover) serveHandover(_ context.Context, _ mesh.Identity, message handoverMessage) (struct{}, error) {
	h.records.WithLabelValues("received").Add(float64(len(message.Records)))
	h.mu.Lock()
	defer h.mu.Unlock()
	h.inherited.Adopt(message.Records, h.clock.Now())
	return struct{}{}, nil
}

func (h *handover) serveQuestion(_ context.Context, _ mesh.Identity, q inheritedQuestion) (inheritedAnswer, error) {
	return h.find(q), nil
}

func (h *handover) find(q inheritedQuestion) inheritedAnswer {
	h.mu.Lock()
	defer h.mu.Unlock()
	answer, ok := h.inherited.Find(q.ID, q.Fingerprint, h.clock.Now())
	if !ok {
		return inheritedAnswer{}
	}
	h.records.WithLabelValues("given").Inc()
	return inheritedAnswer{Found: true, Reply: *answer.Reply, Body: answer.Body}
}

// passOn sends the records, and those inherited from nodes that stopped
// earlier, to the VMs that will be asked for them. It blocks until they have
// taken them or the context ends.
func (h *handover) passOn(ctx context.Context, service string, own []ledger.Record) {
	ctx, cancel := context.WithTimeout(ctx, handoverTimeout)
	defer cancel()
	h.mu.Lock()
	records := slices.Concat(own, h.inherited.Closed(h.settings.MaxBytes))
	h.mu.Unlock()
	var group sync.WaitGroup
	for entry, share := range h.shares(service, records) {
		group.Go(func() { h.sendAll(ctx, entry, share) })
	}
	group.Wait()
}

// shares divides the records between the VMs that will be asked for them.
func (h *handover) shares(service string, records []ledger.Record) map[membership.Entry][]ledger.Record {
	self := h.members.Self().VM
	var others []membership.Entry
	for _, entry := range h.members.View().Service(service) {
		if entry.VM != self {
			others = append(others, entry)
		}
	}
	shares := map[membership.Entry][]ledger.Record{}
	for _, record := range records {
		id, err := ledger.ParseID(record.ID)
		if err != nil {
			continue
		}
		for _, heir := range routing.Subset(heirKey(id.Pin()), others, heirs) {
			shares[heir] = append(shares[heir], record)
		}
	}
	return shares
}

// heirKey is what the VMs of a service are ranked for.
func heirKey(pin call.Pin) string { return pin.VM }

// sendAll sends the records in parts of bounded size.
func (h *handover) sendAll(ctx context.Context, heir membership.Entry, records []ledger.Record) {
	for len(records) > 0 {
		count := 1
		for size := records[0].Size(); count < len(records); count++ {
			if size += records[count].Size(); size > partBytes {
				break
			}
		}
		var taken struct{}
		peer := mesh.Peer{VM: heir.VM, Address: heir.MeshAddress}
		if err := h.mesh.Exchange(ctx, peer, mesh.KindHandover, handoverMessage{Records: records[:count]}, &taken); err != nil {
			h.log.WithError(err).WithField("vm", heir.VM).WithField("answers", len(records)).Warn("answers were not handed on")
			return
		}
		h.records.WithLabelValues("sent").Add(float64(count))
		records = records[count:]
	}
}

// Inherited looks for the answer that a stopped pin handed on. If none is
// found, reached tells whether every VM that should have it was asked. It
// blocks for a short time at most.
func (m *Module) Inherited(ctx context.Context, head *call.Head, body []byte) (reply *call.Reply, answer io.ReadCloser, reached bool) {
	if m.Ledger.Handover.Disabled {
		return nil, nil, true
	}
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	question := inheritedQuestion{ID: head.ID, Fingerprint: ledger.FingerprintOf(head, body)}
	found, reached := m.handover.ask(ctx, head, question)
	if !found.Found {
		return nil, nil, reached
	}
	reply, answer = giveAgain(&ledger.Answer{Reply: &found.Reply, Body: found.Body})
	return reply, answer, true
}

// ask asks all possible holders at once and takes the first answer.
func (h *handover) ask(ctx context.Context, head *call.Head, q inheritedQuestion) (found inheritedAnswer, reached bool) {
	holders := routing.Subset(heirKey(head.Pin), h.members.View().Service(head.Service), askHeirs)
	type result struct {
		answer inheritedAnswer
		err    error
	}
	results := make(chan result, len(holders))
	for _, holder := range holders {
		go func() {
			answer, err := h.askOne(ctx, holder, q)
			results <- result{answer, err}
		}()
	}
	reached = true
	for range holders {
		r := <-results
		if r.err == nil && r.answer.Found {
			return r.answer, true
		}
		reached = reached && r.err == nil
	}
	return inheritedAnswer{}, reached
}

func (h *handover) askOne(ctx context.Context, holder membership.Entry, q inheritedQuestion) (inheritedAnswer, error) {
	if holder.VM == h.members.Self().VM {
		return h.find(q), nil
	}
	var answer inheritedAnswer
	peer := mesh.Peer{VM: holder.VM, Address: holder.MeshAddress}
	err := h.mesh.Exchange(ctx, peer, mesh.KindInherited, q, &answer)
	return answer, err
}
