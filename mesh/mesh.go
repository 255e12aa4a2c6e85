package mesh

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/mangomast/mangomast/internal/bodymemory"
	"github.com/mangomast/mangomast/internal/recovered"
)

// Defaults of Options.
const (
	DefaultPingInterval = 500 * time.Millisecond
	DefaultPingTimeout  = 800 * time.Millisecond
)

// Options are the inputs of New.
type Options struct {
	Self       Identity
	Secret     string
	Log        log.Interface
	Registerer prometheus.Registerer
	// LocalIP is the address that connections are dialed from; empty for any.
	LocalIP string
	// PingInterval and PingTimeout detect dead connections; zero selects the
	// defaults.
	PingInterval time.Duration
	PingTimeout  time.Duration
	// SharedConnection sends bulk data on the connection of the Calls class; for
	// experiments only.
	SharedConnection bool
	// OnAccept is called with the context of the HTTP request of each connection of a
	// node that has proved its identity; nil for nothing.
	OnAccept func(context.Context)
}

// Mesh dials and accepts links. It is safe for concurrent use.
type Mesh struct {
	self         Identity
	secret       []byte
	log          log.Interface
	metrics      *metrics
	panics       *recovered.Reporter
	http         *http.Client
	pingInterval time.Duration
	pingTimeout  time.Duration
	// bulk is the class of connection on which bulk data is sent.
	bulk     Class
	pinger   *pinger
	onAccept func(context.Context)
	bodies   *bodymemory.Budget
	// answers is the memory for the windows of chunked answers.
	answers *bodymemory.Budget
	closing sync.Once

	mu     sync.Mutex
	dialed map[string]*link
	// unreachable is the set of addresses whose last dial failed or exceeded
	// dialWait.
	unreachable map[string]bool
	accepted    map[linkKey]*link
	handlers    map[Kind]Handler
}

// New returns a mesh without connections and starts its pinger. Close releases
// it.
func New(opts Options) (*Mesh, error) {
	if len(opts.Secret) < minimumSecretBytes {
		return nil, errors.Errorf("fleet secret has %d bytes; at least %d are needed", len(opts.Secret), minimumSecretBytes)
	}
	m := &Mesh{
		self:         opts.Self,
		secret:       []byte(opts.Secret),
		log:          opts.Log,
		metrics:      newMetrics(opts.Registerer),
		panics:       recovered.NewReporter("mesh handlers", opts.Log, opts.Registerer),
		http:         newHTTPClient(opts.LocalIP),
		pingInterval: opts.PingInterval,
		pingTimeout:  opts.PingTimeout,
		onAccept:     opts.OnAccept,
		bulk:         Calls,
		bodies:       bodymemory.NewBudget(bodyMemoryBytes, bodyMemoryWait),
		answers:      bodymemory.NewBudget(answerMemoryBytes, 0),
		dialed:       map[string]*link{},
		unreachable:  map[string]bool{},
		accepted:     map[linkKey]*link{},
		handlers:     map[Kind]Handler{},
	}
	if !opts.SharedConnection {
		m.bulk = Bulk
	}
	if m.pingInterval == 0 {
		m.pingInterval = DefaultPingInterval
	}
	if m.pingTimeout == 0 {
		m.pingTimeout = DefaultPingTimeout
	}
	m.pinger = newPinger(m)
	go m.pinger.run()
	return m, nil
}

// Self returns this node's identity.
func (m *Mesh) Self() Identity { return m.self }

// Handle registers the handler of a kind of requests. It must be called before
// the mesh accepts connections.
func (m *Mesh) Handle(kind Kind, handler Handler) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.handlers[kind] = handler
}

func (m *Mesh) handler(kind Kind) Handler {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.handlers[kind]
}

// Close stops the pinger and closes all links.
func (m *Mesh) Close() {
	m.closing.Do(func() { close(m.pinger.stop) })
	for _, l := range m.links() {
		l.close(errors.New("node is stopping"))
	}
}

type metrics struct {
	sentBytes         *prometheus.CounterVec
	receivedBytes     *prometheus.CounterVec
	ringFull          *prometheus.CounterVec
	pings             prometheus.Counter
	handshakeFailures prometheus.Counter
	// messages and messageBytes count the control messages that this node began.
	messages     *prometheus.CounterVec
	messageBytes *prometheus.CounterVec
}

func newMetrics(registerer prometheus.Registerer) *metrics {
	m := &metrics{
		sentBytes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "mangomast_mesh_sent_bytes_total",
			Help: "Bytes of frames sent to other nodes, by class of connection.",
		}, []string{"class"}),
		receivedBytes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "mangomast_mesh_received_bytes_total",
			Help: "Bytes of frames received from other nodes, by class of connection.",
		}, []string{"class"}),
		ringFull: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "mangomast_mesh_ring_full_total",
			Help: "Frames that found a connection's send ring full, by class and policy.",
		}, []string{"class", "policy"}),
		pings: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "mangomast_mesh_pings_total",
			Help: "Pings sent on connections to other nodes.",
		}),
		handshakeFailures: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "mangomast_mesh_handshake_failures_total",
			Help: "Connections refused because their handshake was invalid.",
		}),
		messages: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "mangomast_mesh_messages_total",
			Help: "Control messages that this node sent to other nodes, by purpose.",
		}, []string{"purpose"}),
		messageBytes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "mangomast_mesh_message_bytes_total",
			Help: "Bytes of the control messages that this node sent and of their answers, by purpose and direction.",
		}, []string{"purpose", "direction"}),
	}
	if registerer != nil {
		registerer.MustRegister(m.sentBytes, m.receivedBytes, m.ringFull, m.pings, m.handshakeFailures, m.messages, m.messageBytes)
	}
	return m
}
