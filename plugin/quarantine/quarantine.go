// Package quarantine replicates records of requests that crash upstreams
// between the VMs of a service, and provides *Module to the modules that run
// requests.
package quarantine

import (
	"encoding/hex"
	"sync"
	"sync/atomic"
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
	meshplugin "github.com/mangomast/mangomast/plugin/mesh"
	"github.com/mangomast/mangomast/quarantine"
)

// ID is the module's ID.
const ID kernel.ID = "quarantine"

const (
	defaultSuspectFor    = 10 * time.Minute
	defaultQuarantineFor = 10 * time.Minute
	defaultTrialAfter    = 30 * time.Second
	defaultMaxRecords    = 1000
	// broadcastTimeout bounds how long the reply to a request that crashed an
	// upstream is delayed until the service's other VMs have its record.
	broadcastTimeout = 300 * time.Millisecond
	syncInterval     = 1 * time.Second
	syncTimeout      = 800 * time.Millisecond
	// settleDelay is how long settled records wait for others that are sent with them.
	settleDelay = 200 * time.Millisecond
	// joinTimeout bounds how long a node that starts waits for the records of other
	// VMs, and joinPeers is the number of VMs that it asks.
	joinTimeout = 200 * time.Millisecond
	joinPeers   = 3
	// maxSyncRecords bounds the records that two VMs exchange at once.
	maxSyncRecords = 200
)

// membershipID and rosterID are the IDs of the modules that keep the member list. A
// program has one of them; importing its package would add it to every program.
const (
	membershipID kernel.ID = "membership"
	rosterID     kernel.ID = "roster"
)

func init() {
	kernel.Register(kernel.ModuleInfo{
		ID:    ID,
		Needs: []kernel.ID{meshplugin.ID},
		After: []kernel.ID{membershipID, rosterID},
		New: func() kernel.Module {
			return &Module{
				SuspectFor: jsonc.Duration(defaultSuspectFor), QuarantineFor: jsonc.Duration(defaultQuarantineFor),
				TrialAfter: jsonc.Duration(defaultTrialAfter), MaxRecords: defaultMaxRecords,
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
	// TrialAfter is the time after which a quarantined request runs again on one VM; it
	// doubles if the upstream crashes then. 0 means never.
	TrialAfter jsonc.Duration `json:"trial_after"`
	// MaxRecords bounds the stored records. Of a full table settled ones are evicted
	// first and quarantined ones last.
	MaxRecords int `json:"max_records"`

	clock   clockwork.Clock
	log     log.Interface
	mesh    *mesh.Mesh
	members membership.Source
	crashes *prometheus.CounterVec
	// size is the number of records, so that requests need no fingerprint while
	// there are none.
	size atomic.Int64
	// filled signals that the table may have got its first records.
	filled chan struct{}
	join   sync.Once

	mu    sync.Mutex
	table *quarantine.Table
	// lastNumber and lastCrash number this node's records and crashes.
	lastNumber, lastCrash uint64
	// settled are records that the service's other VMs do not know as settled yet.
	settled []quarantine.Record
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
	if m.TrialAfter < 0 {
		findings.Addf(prefix+"/trial_after", "must not be negative")
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
		VM: ctx.Node.VM, TrialAfter: m.TrialAfter.Std(),
	})
	m.filled = make(chan struct{}, 1)
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
		return float64(m.size.Load())
	})
	registerer.MustRegister(m.crashes, records)
}

// Verdict returns how a request must be treated, and for a refused one how long it
// stays quarantined.
func (m *Module) Verdict(fingerprint func() ledger.Fingerprint) (verdict quarantine.Verdict, left time.Duration) {
	if m.Disabled || m.size.Load() == 0 {
		return quarantine.RunConcurrently, 0
	}
	f := fingerprint()
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.clock.Now()
	return m.table.Verdict(f, now), m.table.Left(f, now)
}

// Refusal returns the reply to a request that stays quarantined for the time left.
func Refusal(left time.Duration) *call.Reply {
	refusal := call.Refuse(call.CodeQuarantined, "the request crashed the upstreams that ran it; it is not run for now")
	refusal.RetryAfter = left
	return refusal
}

// Run is a request that was running when the local upstream crashed.
type Run struct {
	quarantine.Run
	Head *call.Head
}

// RecordCrash records a crash of the local upstream and the requests that it was
// running. It blocks until the service's other VMs have the records or broadcastTimeout
// expires.
func (m *Module) RecordCrash(service string, runs []Run) {
	if m.Disabled || len(runs) == 0 {
		return
	}
	accused := make([]quarantine.Run, 0, len(runs))
	for _, run := range runs {
		accused = append(accused, run.Run)
	}
	m.record(service, runs, m.accuse(accused))
}

func (m *Module) accuse(runs []quarantine.Run) map[ledger.Fingerprint]quarantine.Kind {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.table.Accuse(runs, m.clock.Now())
}

// RecordRun records the finding from one run of a request. After a crash it blocks like
// RecordCrash.
func (m *Module) RecordRun(head *call.Head, fingerprint func() ledger.Fingerprint, found quarantine.Finding) {
	if m.Disabled {
		return
	}
	kind := quarantine.Suspect
	switch found {
	case quarantine.NothingFound:
		return
	case quarantine.FoundHarmless:
		m.Settle(head.Service, fingerprint)
		return
	case quarantine.FoundCause:
		kind = quarantine.Quarantined
	}
	run := Run{Head: head, Run: quarantine.Run{Fingerprint: fingerprint()}}
	m.record(head.Service, []Run{run}, map[ledger.Fingerprint]quarantine.Kind{run.Fingerprint: kind})
}

// record adds a record of each fingerprint, also if several of its copies ran.
func (m *Module) record(service string, runs []Run, kinds map[ledger.Fingerprint]quarantine.Kind) {
	records := m.addRecords(runs, kinds)
	m.logCrash(runs, records)
	m.broadcast(service, records)
}

func (m *Module) addRecords(runs []Run, kinds map[ledger.Fingerprint]quarantine.Kind) []quarantine.Record {
	self := m.mesh.Self()
	var records []quarantine.Record
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lastCrash++
	for _, run := range runs {
		kind, ok := kinds[run.Fingerprint]
		if !ok {
			continue
		}
		delete(kinds, run.Fingerprint)
		m.lastNumber++
		records = append(records, quarantine.Record{
			ID:          quarantine.RecordID{VM: self.VM, Incarnation: self.Incarnation, Number: m.lastNumber},
			Fingerprint: run.Fingerprint, Kind: kind, Organisation: run.Head.Organisation, Route: run.Head.Route,
			Crash: m.lastCrash,
		})
	}
	m.mergeLocked(records)
	return records
}

// logCrash logs what the requests that ran in a crash have become.
func (m *Module) logCrash(runs []Run, records []quarantine.Record) {
	suspects := 0
	for _, record := range records {
		m.crashes.WithLabelValues(record.Kind.String()).Inc()
		if record.Kind == quarantine.Suspect {
			suspects++
			continue
		}
		for _, run := range runs {
			if run.Fingerprint == record.Fingerprint {
				m.log.WithFields(log.Fields{
					"fingerprint": hex.EncodeToString(run.Fingerprint[:]), "request_id": run.Head.ID, "organisation": record.Organisation,
					"route": record.Route, "quarantined_for": m.QuarantineFor.Std().String(),
				}).Warn("local upstream crashed again with this request, the only suspect there; it is quarantined")
			}
		}
	}
	if suspects > 0 {
		m.log.WithField("suspects", suspects).Info("requests that ran when the local upstream crashed are suspects")
	}
}

// Settle ends the suspicion and the quarantine of a request that was answered
// completely.
func (m *Module) Settle(service string, fingerprint func() ledger.Fingerprint) {
	if m.Disabled || m.size.Load() == 0 {
		return
	}
	f := fingerprint()
	m.mu.Lock()
	defer m.mu.Unlock()
	settled := m.table.Settle(f, m.clock.Now())
	if len(settled) == 0 {
		return
	}
	m.log.WithFields(log.Fields{
		"fingerprint": hex.EncodeToString(f[:]), "service": service, "route": settled[0].Route, "records": len(settled),
	}).Info("a suspected or quarantined request was answered; it is neither any more")
	if len(m.settled) == 0 {
		m.clock.AfterFunc(settleDelay, func() { m.sendSettled(service) })
	}
	m.settled = append(m.settled, settled...)
}

func (m *Module) sendSettled(service string) {
	m.mu.Lock()
	settled := m.settled
	m.settled = nil
	m.mu.Unlock()
	m.broadcast(service, settled)
}

// Actors implements kernel.ActorSource.
func (m *Module) Actors() []kernel.Actor {
	return []kernel.Actor{{Name: "synchronize", Run: m.run}}
}
