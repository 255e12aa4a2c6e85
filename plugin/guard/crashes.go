package guard

import (
	"encoding/hex"
	"sync"
	"time"

	"github.com/apex/log"
	"golang.org/x/sync/singleflight"

	"github.com/mangomast/mangomast/call"
	"github.com/mangomast/mangomast/internal/crashprobe"
	"github.com/mangomast/mangomast/ledger"
	quarantineplugin "github.com/mangomast/mangomast/plugin/quarantine"
	"github.com/mangomast/mangomast/quarantine"
)

const (
	// brokenFor is how long a run counts as part of a crash after its connection broke.
	// A process that ends may close its connections before it stops listening.
	brokenFor = time.Second
	// maxLoggedRuns bounds the requests that the log line of a crash names.
	maxLoggedRuns = 16
)

// probeDelays are the times between probes after a connection broke while the upstream
// still accepted connections.
var probeDelays = []time.Duration{100 * time.Millisecond, 400 * time.Millisecond}

// run is a request that the upstream runs.
type run struct {
	head     *call.Head
	body     []byte
	upstream Announcement
	// weight is the part of the suspects' semaphore that the run holds; 0 if it is no
	// suspect.
	weight int64
	// broken is true once its connection broke, and inCrash once it was found running in
	// a crash. crashes.mu guards both.
	broken, inCrash bool
	// fingerprint identifies the request among its repetitions.
	fingerprint func() ledger.Fingerprint
}

func newRun(head *call.Head, body []byte, upstream Announcement) *run {
	r := &run{head: head, body: body, upstream: upstream}
	r.fingerprint = sync.OnceValue(func() ledger.Fingerprint { return quarantine.FingerprintOf(r.head, r.body) })
	return r
}

// crashes finds out whether the upstream has crashed, and which requests it was
// running then. It is safe for concurrent use.
type crashes struct {
	module *Module
	probes singleflight.Group

	mu      sync.Mutex
	running map[*run]struct{}
}

func newCrashes(m *Module) *crashes { return &crashes{module: m, running: map[*run]struct{}{}} }

// begin is called before the request is sent to the upstream.
func (c *crashes) begin(r *run) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.running[r] = struct{}{}
}

// end is called when the upstream's answer is complete, or nothing more of it is
// expected.
func (c *crashes) end(r *run) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if r.broken && !r.inCrash {
		// Only the fingerprint is needed from here on.
		_ = r.fingerprint()
		r.body = nil
		c.module.clock.AfterFunc(brokenFor, func() { c.forget(r) })
		return
	}
	delete(c.running, r)
}

func (c *crashes) forget(r *run) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.running, r)
}

// connectionBroke is called before the end of a run whose connection broke. If the
// upstream refuses connections, it blocks until the crash is recorded; otherwise the
// upstream is probed some more times in the background.
func (c *crashes) connectionBroke(r *run) {
	c.mu.Lock()
	r.broken = true
	c.mu.Unlock()
	if c.probe(r.upstream) {
		return
	}
	go func() {
		_, _, _ = c.probes.Do("again "+r.upstream.key(), func() (any, error) {
			for _, delay := range probeDelays {
				c.module.clock.Sleep(delay)
				if c.probe(r.upstream) {
					break
				}
			}
			return nil, nil
		})
	}()
}

// connectionRefused is called when the upstream refused a connection. Requests whose
// connections are open may still be answered, by a process that has stopped listening.
func (c *crashes) connectionRefused(upstream Announcement) {
	go c.crashed(upstream, func(r *run) bool { return r.broken })
}

// probe tries to connect to the upstream, once for all callers at the same time, and
// records a crash if that is refused. It reports whether it was.
func (c *crashes) probe(upstream Announcement) bool {
	refused, _, _ := c.probes.Do(upstream.key(), func() (any, error) {
		refused := crashprobe.Refused(c.module.Address)
		if refused {
			c.crashed(upstream, func(*run) bool { return true })
		}
		return refused, nil
	})
	return refused.(bool)
}

// crashed records a crash of the upstream with those of its runs that match, unless it
// had given notice of leaving.
func (c *crashes) crashed(upstream Announcement, match func(*run) bool) {
	if c.module.leavesOrLeft(upstream) {
		return
	}
	c.mu.Lock()
	var runs []*run
	for r := range c.running {
		if !r.inCrash && r.upstream.incarnation() == upstream.incarnation() && match(r) {
			r.inCrash = true
			runs = append(runs, r)
		}
	}
	c.mu.Unlock()
	if len(runs) > 0 {
		c.record(upstream, runs)
	}
}

// record records the crash, so that the service's other VMs treat the requests as
// suspects.
func (c *crashes) record(upstream Announcement, runs []*run) {
	c.module.metrics.crashes.Inc()
	var ids, fingerprints []string
	inCrash := make([]quarantineplugin.Run, 0, len(runs))
	for i, r := range runs {
		fingerprint := r.fingerprint()
		inCrash = append(inCrash, quarantineplugin.Run{
			Head: r.head, Run: quarantine.Run{Fingerprint: fingerprint, Isolated: r.weight > 0},
		})
		if i < maxLoggedRuns {
			ids = append(ids, r.head.ID)
			fingerprints = append(fingerprints, hex.EncodeToString(fingerprint[:4]))
		}
	}
	c.module.log.WithFields(log.Fields{
		"instance": upstream.Instance, "born": upstream.Born, "running": len(runs), "request_ids": ids, "fingerprints": fingerprints,
	}).Warn("local upstream crashed")
	c.module.quarantine.RecordCrash(upstream.Service, inCrash)
}
