// Package quarantine replicates records of requests that crash upstreams
// between the VMs of a service, and provides *Module to the modules that run
// requests.
package quarantine

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/jonboulle/clockwork"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/mangomast/mangomast/call"
	"github.com/mangomast/mangomast/finding"
	"github.com/mangomast/mangomast/jsonc"
	"github.com/mangomast/mangomast/kernel"
	"github.com/mangomast/mangomast/ledger"
	"github.com/mangomast/mangomast/membership"
	"github.com/mangomast/mangomast/mesh"
	membershipplugin "github.com/mangomast/mangomast/plugin/membership"
	meshplugin "github.com/mangomast/mangomast/plugin/mesh"
	"github.com/mangomast/mangomast/quarantine"
)

// ID is the module's ID.
const ID kernel.ID = "quarantine"

const (
	defaultSuspectFor    = 10 * time.Minute
	defaultQuarantineFor = 10 * time.Minute
	defaultMaxRecords    = 1000
	// broadcastTimeout bounds how long the reply to a request that crashed an
	// upstream is delayed until the service's other VMs have its record.
	broadcastTimeout = 300 * time.Millisecond
	syncInterval     = 1 * time.Second
	syncTimeout      = 800 * time.Millisecond
)

func init() {
	kernel.Register(kernel.ModuleInfo{
		ID:    ID,
		Needs: []kernel.ID{meshplugin.ID, membershipplugin.ID},
		New: func() kernel.Module {
			return &Module{
				SuspectFor: jsonc.Duration(defaultSuspectFor), QuarantineFor: jsonc.Duration(defaultQuarantineFor),
				MaxRecords: defaultMaxRecords,
			}
		},
	})
}

// Module holds the records of the local upstream's service. It is safe for
// concurrent use.
type Module struct {
	// Disabled turns quarantine off: every request runs as an ordinary one. For
	// experiments only.
	Disabled bool `json:"disabled"`
	// SuspectFor is how long a request stays suspected if it does not run again;
	// QuarantineFor is how long a quarantined request is refused.
	SuspectFor    jsonc.Duration `json:"suspect_for"`
	QuarantineFor jsonc.Duration `json:"quarantine_for"`
	// MaxRecords bounds the stored records; the oldest are evicted.
	MaxRecords int `json:"max_records"`

	clock   clockwork.Clock
	log     log.Interface
	mesh    *mesh.Mesh
	members membership.Source
	crashes *prometheus.CounterVec

	mu         sync.Mutex
	table      *quarantine.Table
	lastNumber uint64
}

var (
	_ kernel.Module      = (*Module)(nil)
	_ kernel.Validator   = (*Module)(nil)
	_ kernel.ActorSource = (*Module)(nil)
)

// Validate implements kernel.Validator.
func (m *Module) Validate(prefix string, findings *finding.List) {
	if m.SuspectFor <= 0 {
		findings.Addf(prefix+"/suspect_for", "must be above 0s")
	}
	if m.QuarantineFor <= 0 {
		findings.Addf(prefix+"/quarantine_for", "must be above 0s")
	}
	if m.MaxRecords < 1 {
		findings.Addf(prefix+"/max_records", "must be at least 1")
	}
}

// Provision implements kernel.Module.
func (m *Module) Provision(ctx *kernel.Context) error {
	if err := kernel.Resolve(ctx, &m.mesh, &m.members); err != nil {
		return err
	}
	m.clock, m.log = ctx.Clock, ctx.Log
	m.table = quarantine.NewTable(quarantine.Options{
		SuspectFor: m.SuspectFor.Std(), QuarantineFor: m.QuarantineFor.Std(), MaxRecords: m.MaxRecords,
	})
	m.registerMetrics(ctx.Registry)
	m.mesh.Handle(mesh.KindQuarantine, mesh.Typed(m.serveExchange))
	kernel.Provide(ctx, m)
	return nil
}

func (m *Module) registerMetrics(registerer prometheus.Registerer) {
	m.crashes = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "mangomast_quarantine_crashes_total",
		Help: "Requests that were running when the local upstream crashed, by what they became.",
	}, []string{"kind"})
	records := prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "mangomast_quarantine_records",
		Help: "Records about suspected and quarantined requests, settled ones included.",
	}, func() float64 {
		m.mu.Lock()
		defer m.mu.Unlock()
		return float64(m.table.Len())
	})
	registerer.MustRegister(m.crashes, records)
}

// Verdict returns how a request must be treated.
func (m *Module) Verdict(fingerprint ledger.Fingerprint) quarantine.Verdict {
	if m.Disabled {
		return quarantine.RunConcurrently
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.table.Verdict(fingerprint, m.clock.Now())
}

// Record records the finding from a run of a request. After a crash it blocks
// until the service's other VMs have the record or broadcastTimeout expires.
func (m *Module) Record(head *call.Head, fingerprint ledger.Fingerprint, found quarantine.Finding) {
	if m.Disabled {
		return
	}
	switch found {
	case quarantine.FoundSuspect:
		m.recordCrash(head, fingerprint, quarantine.Suspect)
	case quarantine.FoundCause:
		m.recordCrash(head, fingerprint, quarantine.Quarantined)
	case quarantine.FoundHarmless:
		m.mu.Lock()
		m.table.Settle(fingerprint)
		m.mu.Unlock()
		go m.broadcast(head.Service)
	}
}

func (m *Module) recordCrash(head *call.Head, fingerprint ledger.Fingerprint, kind quarantine.Kind) {
	self := m.mesh.Self()
	record := quarantine.Record{Fingerprint: fingerprint, Kind: kind, Organisation: head.Organisation, Route: head.Route}
	m.mu.Lock()
	m.lastNumber++
	record.ID = quarantine.RecordID{VM: self.VM, Incarnation: self.Incarnation, Number: m.lastNumber}
	m.table.Merge([]quarantine.Record{record}, m.clock.Now())
	m.mu.Unlock()
	m.crashes.WithLabelValues(kind.String()).Inc()
	m.log.WithField("request_id", head.ID).WithField("kind", kind.String()).Warn("local upstream crashed while the request ran; a quarantine record was added")
	m.broadcast(head.Service)
}

// exchangeMessage carries records between two VMs of a service, in both
// directions of an exchange.
type exchangeMessage struct {
	Records []quarantine.Record `cbor:"1,keyasint"`
}

func (m *Module) records() exchangeMessage {
	m.mu.Lock()
	defer m.mu.Unlock()
	return exchangeMessage{Records: m.table.Records(m.clock.Now())}
}

func (m *Module) merge(message exchangeMessage) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.table.Merge(message.Records, m.clock.Now())
}

func (m *Module) serveExchange(_ context.Context, _ mesh.Identity, request exchangeMessage) (exchangeMessage, error) {
	m.merge(request)
	return m.records(), nil
}

// broadcast exchanges records with the service's other VMs concurrently.
func (m *Module) broadcast(service string) {
	ctx, cancel := context.WithTimeout(context.Background(), broadcastTimeout)
	defer cancel()
	var group sync.WaitGroup
	for _, entry := range m.peers(service) {
		group.Go(func() { m.exchange(ctx, entry) })
	}
	group.Wait()
}

// peers returns the other VMs of the service.
func (m *Module) peers(service string) []membership.Entry {
	var peers []membership.Entry
	for _, entry := range m.members.View().Service(service) {
		if entry.VM != m.mesh.Self().VM {
			peers = append(peers, entry)
		}
	}
	return peers
}

func (m *Module) exchange(ctx context.Context, entry membership.Entry) {
	var answer exchangeMessage
	peer := mesh.Peer{VM: entry.VM, Address: entry.MeshAddress}
	if err := m.mesh.Exchange(ctx, peer, mesh.KindQuarantine, m.records(), &answer); err != nil {
		m.log.WithError(err).WithField("vm", entry.VM).Debug("exchanging quarantine records with a VM failed")
		return
	}
	m.merge(answer)
}

// Actors implements kernel.ActorSource.
func (m *Module) Actors() []kernel.Actor {
	return []kernel.Actor{{Name: "synchronize", Run: m.run}}
}

// run periodically exchanges records with a random other VM of the service, so
// that VMs that are new or missed a broadcast receive them.
func (m *Module) run(ctx context.Context) error {
	return kernel.Every(ctx, m.clock, syncInterval, m.synchronize)
}

func (m *Module) synchronize(ctx context.Context) {
	service := m.members.Self().Service
	if service == "" {
		return
	}
	peers := m.peers(service)
	if len(peers) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, syncTimeout)
	defer cancel()
	m.exchange(ctx, peers[rand.IntN(len(peers))])
}
