// Package inbound controls all access to the local upstream. It admits or
// refuses each request from other nodes or from this node's own ingress, and
// runs the admitted ones.
package inbound

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/jonboulle/clockwork"
	"github.com/labstack/echo/v4"
	"golang.org/x/sync/semaphore"

	"github.com/mangomast/mangomast/call"
	"github.com/mangomast/mangomast/config"
	"github.com/mangomast/mangomast/finding"
	"github.com/mangomast/mangomast/internal/meshcall"
	"github.com/mangomast/mangomast/internal/resetconn"
	"github.com/mangomast/mangomast/jsonc"
	"github.com/mangomast/mangomast/kernel"
	"github.com/mangomast/mangomast/membership"
	"github.com/mangomast/mangomast/mesh"
	configplugin "github.com/mangomast/mangomast/plugin/config"
	membershipplugin "github.com/mangomast/mangomast/plugin/membership"
	meshplugin "github.com/mangomast/mangomast/plugin/mesh"
	quarantineplugin "github.com/mangomast/mangomast/plugin/quarantine"
	"github.com/mangomast/mangomast/settings"
	"github.com/mangomast/mangomast/shedding"
)

// ID is the module's ID.
const ID kernel.ID = "inbound"

const (
	upstreamDialTimeout = 1 * time.Second
	// queuePerSlot is the maximum queue length per slot.
	queuePerSlot   = 4
	defaultMaxWait = 100 * time.Millisecond
	minMaxWait     = 1 * time.Millisecond
	maxMaxWait     = 10 * time.Second
	maxGrowth      = 100
)

func init() {
	kernel.Register(kernel.ModuleInfo{
		ID:    ID,
		Needs: []kernel.ID{meshplugin.ID, membershipplugin.ID, configplugin.ID, quarantineplugin.ID},
		New: func() kernel.Module {
			return &Module{
				Shedding: true, MaxWait: jsonc.Duration(defaultMaxWait),
				QueueShare: shedding.DefaultQueueShare, Growth: shedding.DefaultGrowth,
				Ledger: defaultLedgerSettings(), LeaveDelay: jsonc.Duration(defaultLeaveDelay),
			}
		},
	})
}

// Module serves requests on the local upstream.
type Module struct {
	// Shedding enables the adaptive concurrency limit, shedding by importance,
	// and reporting the accepted share of requests to ingresses. If false, the
	// upstream's slots are the limit and requests wait in order of arrival.
	Shedding bool `json:"shedding"`
	// MaxWait is the maximum time in the queue. If the mean run time of requests
	// is longer, they may wait for that time instead.
	MaxWait jsonc.Duration `json:"max_wait"`
	// QueueShare is the target queue length under overload, as a share of the
	// concurrency limit. The shares accepted from ingresses are set to reach it.
	QueueShare float64 `json:"queue_share"`
	// Growth is the maximum relative growth per second of the accepted share of
	// an importance.
	Growth float64 `json:"growth"`

	// Ledger bounds the records of requests that run at most once.
	Ledger LedgerSettings `json:"ledger"`

	// LeaveDelay is the minimum time between the announcement of a planned stop
	// and the end of the node's connections.
	LeaveDelay jsonc.Duration `json:"leave_delay"`

	deduplicator *deduplicator
	handover     *handover
	// active counts the requests that wait or run on this node.
	active       atomic.Int64
	leavingSince atomic.Pointer[time.Time]
	// isolation is a weighted semaphore: a request that must run alone acquires
	// all of it, any other request one unit.
	isolation  *semaphore.Weighted
	quarantine *quarantineplugin.Module
	clock      clockwork.Clock
	log        log.Interface
	vm         string
	config     config.Source
	region     string
	metrics    *metrics
	running    *call.Registry
	routes     *routeLevels
	upstream   *upstreamState
	// localUpstream is replaced when the upstream's service, address, slots or
	// connections change.
	localUpstream atomic.Pointer[localUpstream]
}

// localUpstream is the upstream with the gate and HTTP client created for it.
type localUpstream struct {
	upstream settings.Upstream
	gate     gate
	client   *http.Client
}

var (
	_ kernel.Module      = (*Module)(nil)
	_ kernel.Validator   = (*Module)(nil)
	_ kernel.ActorSource = (*Module)(nil)
	_ kernel.Leaver      = (*Module)(nil)
	_ kernel.Drainer     = (*Module)(nil)
)

// Validate implements kernel.Validator.
func (m *Module) Validate(prefix string, findings *finding.List) {
	if wait := m.MaxWait.Std(); wait < minMaxWait || wait > maxMaxWait {
		findings.Addf(prefix+"/max_wait", "must be %s to %s", minMaxWait, maxMaxWait)
	}
	if !(m.QueueShare > 0) || m.QueueShare > queuePerSlot {
		findings.Addf(prefix+"/queue_share", "must be above 0 and at most %d", queuePerSlot)
	}
	if !(m.Growth > 0) || m.Growth > maxGrowth {
		findings.Addf(prefix+"/growth", "must be above 0 and at most %d", maxGrowth)
	}
}

// Provision implements kernel.Module.
func (m *Module) Provision(ctx *kernel.Context) error {
	fabric, err := kernel.Require[*mesh.Mesh](ctx)
	if err != nil {
		return err
	}
	announcer, err := kernel.Require[membership.Announcer](ctx)
	if err != nil {
		return err
	}
	m.region = ctx.Node.Region
	if m.config, err = kernel.Require[config.Source](ctx); err != nil {
		return err
	}
	m.clock, m.log, m.vm = ctx.Clock, ctx.Log, ctx.Node.VM
	m.metrics = newMetrics(ctx.Registry, m.load)
	if m.quarantine, err = kernel.Require[*quarantineplugin.Module](ctx); err != nil {
		return err
	}
	m.isolation = newIsolation()
	m.running = call.NewRegistry()
	var members membership.Source
	if members, err = kernel.Require[membership.Source](ctx); err != nil {
		return err
	}
	m.handover = newHandover(m, fabric, members, ctx.Registry)
	m.routes = newRouteLevels(ctx.Clock, announcer)
	m.deduplicator = newDeduplicator(m, fabric.Self(), ctx.Registry)
	m.upstream = &upstreamState{
		clock: ctx.Clock, log: ctx.Log, announcer: announcer,
		static: ctx.Node.Upstream, onChange: m.rebuild,
	}
	m.rebuild(settings.Upstream{Slots: 1, Connections: 1})
	fabric.Handle(mesh.KindCall, meshcall.Handler(m.log, m.Serve))
	fabric.Handle(mesh.KindLevels, mesh.Typed(m.routes.serve))
	kernel.Provide(ctx, m)
	kernel.Provide(ctx, m.running)
	return nil
}

// rebuild creates a new gate and HTTP client for the upstream.
func (m *Module) rebuild(upstream settings.Upstream) {
	dialer := &net.Dialer{Timeout: upstreamDialTimeout}
	transport := &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return resetconn.New(conn), nil
		},
		MaxConnsPerHost:     upstream.Connections,
		MaxIdleConnsPerHost: upstream.Connections,
		DisableCompression:  true,
	}
	m.localUpstream.Store(&localUpstream{
		upstream: upstream,
		gate:     m.newGate(upstream),
		client: &http.Client{
			Transport:     transport,
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
	})
}

// Actors implements kernel.ActorSource.
func (m *Module) Actors() []kernel.Actor {
	return []kernel.Actor{
		{Name: "watch upstream", Run: m.upstream.watch},
		{Name: "adjust admission", Run: m.tickGate},
		{Name: "announce shedding", Run: m.routes.run},
	}
}

// RegisterLoopback registers the route for the upstream's announcements on the
// loopback listener.
func (m *Module) RegisterLoopback(e *echo.Echo) {
	e.POST("/.mangomast/announce", m.upstream.serveAnnounce)
}
