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
	// replicasPerAnswer is the number of VMs that receive each answer of a
	// stopping node. Lookups query one VM more, as the stopped VM may have
	// restarted and rank among the highest again.
	replicasPerAnswer = 2
	lookupReplicas    = replicasPerAnswer + 1
	maxBatchBytes     = 256 << 10
	// handoverTimeout bounds the handover at a planned stop; lookupTimeout
	// bounds the lookup of one answer.
	handoverTimeout = 2 * time.Second
	lookupTimeout   = 400 * time.Millisecond
)

// HandoverSettings configure the handover of stored answers at a planned stop.
type HandoverSettings struct {
	// Disabled turns the handover off. For experiments only.
	Disabled bool `json:"disabled"`
	// MaxBytes bounds the total size of the answers that one planned stop hands
	// over, newest first.
	MaxBytes int64 `json:"max_bytes"`
}

// handoverMessage carries answers of a stopping node to another VM.
type handoverMessage struct {
	Records []ledger.Record `cbor:"1,keyasint"`
}

// lookupRequest requests the answer to a request whose pinned node has stopped.
type lookupRequest struct {
	ID          string             `cbor:"1,keyasint"`
	Fingerprint ledger.Fingerprint `cbor:"2,keyasint"`
}

// lookupResponse contains the reply to the request and its body, if found.
type lookupResponse struct {
	Found bool       `cbor:"1,keyasint"`
	Reply call.Reply `cbor:"2,keyasint"`
	Body  []byte     `cbor:"3,keyasint,omitempty"`
}

// handover sends the answers in this node's ledger to other VMs at a planned
// stop, and stores those received from stopped nodes. The VMs that store an
// answer are chosen by rendezvous hashing of its pin over the service's VMs. If
// an answer is lost, the outcome of its request stays unknown: the request is
// never run on a node other than its pin.
type handover struct {
	settings HandoverSettings
	clock    clockwork.Clock
	log      log.Interface
	mesh     *mesh.Mesh
	members  membership.Source
	records  *prometheus.CounterVec

	mu       sync.Mutex
	received *ledger.Ledger
}

func newHandover(m *Module, fabric *mesh.Mesh, members membership.Source, registerer prometheus.Registerer) *handover {
	h := &handover{
		settings: m.Ledger.Handover, clock: m.clock, log: m.log, mesh: fabric, members: members,
		received: ledger.New(ledger.Options{
			Validity: m.Ledger.Validity.Std(), MaxEntries: m.Ledger.MaxEntries, MaxAnswerBytes: m.Ledger.MaxAnswerBytes,
		}),
		records: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "mangomast_ledger_handover_records_total",
			Help: "Answers handed on at planned stops, by whether this node sent, received or gave them to an asker.",
		}, []string{"direction"}),
	}
	registerer.MustRegister(h.records)
	fabric.Handle(mesh.KindHandover, mesh.Typed(h.serveHandover))
	fabric.Handle(mesh.KindHandoverLookup, mesh.Typed(h.serveLookup))
	return h
}

func (h *handover) serveHandover(_ context.Context, _ mesh.Identity, message handoverMessage) (struct{}, error) {
	h.records.WithLabelValues("received").Add(float64(len(message.Records)))
	h.mu.Lock()
	defer h.mu.Unlock()
	h.received.Import(message.Records, h.clock.Now())
	return struct{}{}, nil
}

func (h *handover) serveLookup(_ context.Context, _ mesh.Identity, req lookupRequest) (lookupResponse, error) {
	return h.lookUpLocal(req), nil
}

func (h *handover) lookUpLocal(req lookupRequest) lookupResponse {
	h.mu.Lock()
	defer h.mu.Unlock()
	answer, ok := h.received.Find(req.ID, req.Fingerprint, h.clock.Now())
	if !ok {
		return lookupResponse{}
	}
	h.records.WithLabelValues("given").Inc()
	return lookupResponse{Found: true, Reply: *answer.Reply, Body: answer.Body}
}

// handOver sends the given records, and those received from nodes that stopped
// earlier, to the VMs that store them from now on. It blocks until these have
// acknowledged them, or the context or handoverTimeout ends.
func (h *handover) handOver(ctx context.Context, service string, own []ledger.Record) {
	ctx, cancel := context.WithTimeout(ctx, handoverTimeout)
	defer cancel()
	h.mu.Lock()
	records := slices.Concat(own, h.received.Export(h.settings.MaxBytes))
	h.mu.Unlock()
	var group sync.WaitGroup
	for entry, assigned := range h.assignments(service, records) {
		group.Go(func() { h.sendBatches(ctx, entry, assigned) })
	}
	group.Wait()
}

// assignments returns the records that each VM must store.
func (h *handover) assignments(service string, records []ledger.Record) map[membership.Entry][]ledger.Record {
	self := h.members.Self().VM
	var others []membership.Entry
	for _, entry := range h.members.View().Service(service) {
		if entry.VM != self {
			others = append(others, entry)
		}
	}
	assignments := map[membership.Entry][]ledger.Record{}
	for _, record := range records {
		id, err := ledger.ParseID(record.ID)
		if err != nil {
			continue
		}
		for _, replica := range routing.Subset(rendezvousKey(id.Pin()), others, replicasPerAnswer) {
			assignments[replica] = append(assignments[replica], record)
		}
	}
	return assignments
}

// rendezvousKey returns the key by which the VMs of a service are ranked.
func rendezvousKey(pin call.Pin) string { return pin.VM }

// sendBatches sends the records to a VM in batches of bounded size.
func (h *handover) sendBatches(ctx context.Context, replica membership.Entry, records []ledger.Record) {
	for len(records) > 0 {
		count := 1
		for size := records[0].Size(); count < len(records); count++ {
			if size += records[count].Size(); size > maxBatchBytes {
				break
			}
		}
		var ack struct{}
		peer := mesh.Peer{VM: replica.VM, Address: replica.MeshAddress}
		if err := h.mesh.Exchange(ctx, peer, mesh.KindHandover, handoverMessage{Records: records[:count]}, &ack); err != nil {
			h.log.WithError(err).WithField("vm", replica.VM).WithField("answers", len(records)).Warn("handover of stored answers to a VM failed; the unsent answers are skipped")
			return
		}
		h.records.WithLabelValues("sent").Add(float64(count))
		records = records[count:]
	}
}

// Inherited looks up the answer that a stopped pinned node handed over. If none
// is found, allReached reports whether every VM that should store it answered.
// It blocks for at most lookupTimeout.
func (m *Module) FindHandedOver(ctx context.Context, head *call.Head, body []byte) (reply *call.Reply, answer io.ReadCloser, allReached bool) {
	if m.Ledger.Handover.Disabled {
		return nil, nil, true
	}
	ctx, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	req := lookupRequest{ID: head.ID, Fingerprint: ledger.FingerprintOf(head, body)}
	found, allReached := m.handover.lookUpAll(ctx, head, req)
	if !found.Found {
		return nil, nil, allReached
	}
	reply, answer = replay(&ledger.Answer{Reply: &found.Reply, Body: found.Body})
	return reply, answer, true
}

// lookUpAll queries all possible holders concurrently and returns the first
// answer found.
func (h *handover) lookUpAll(ctx context.Context, head *call.Head, req lookupRequest) (found lookupResponse, allReached bool) {
	holders := routing.Subset(rendezvousKey(head.Pin), h.members.View().Service(head.Service), lookupReplicas)
	type result struct {
		answer lookupResponse
		err    error
	}
	results := make(chan result, len(holders))
	for _, holder := range holders {
		go func() {
			answer, err := h.lookUpOn(ctx, holder, req)
			results <- result{answer, err}
		}()
	}
	allReached = true
	for range holders {
		r := <-results
		if r.err == nil && r.answer.Found {
			return r.answer, true
		}
		allReached = allReached && r.err == nil
	}
	return lookupResponse{}, allReached
}

func (h *handover) lookUpOn(ctx context.Context, holder membership.Entry, req lookupRequest) (lookupResponse, error) {
	if holder.VM == h.members.Self().VM {
		return h.lookUpLocal(req), nil
	}
	var answer lookupResponse
	peer := mesh.Peer{VM: holder.VM, Address: holder.MeshAddress}
	err := h.mesh.Exchange(ctx, peer, mesh.KindHandoverLookup, req, &answer)
	return answer, err
}
