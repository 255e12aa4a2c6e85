package admission_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mangomast/mangomast/admission"
	"github.com/mangomast/mangomast/warming"
)

// pacer is the pacer of one VM in virtual time. Its requests are sent when they are
// admitted.
type pacer struct {
	limiter *warming.Limiter
	sent    []time.Time
}

func (p *pacer) Admit(_ *admission.Request, now time.Time) bool {
	h := p.limiter.Admit(now)
	if h == nil {
		return false
	}
	p.limiter.Written(h, now)
	p.sent = append(p.sent, now)
	return true
}

func (p *pacer) Done(*admission.Request) {}

func (p *pacer) Rate(now time.Time) float64 { return p.limiter.Rate(now) }

// coldDomain is a failure domain whose VMs have come back at the same moment.
type coldDomain struct {
	vms     []*admission.Controller
	pacers  []*pacer
	arrived map[*admission.Request]time.Time
	ends    map[*admission.Request]time.Time
	vmOf    map[*admission.Request]int
	// served and refused count requests by importance; slowest is the longest time to
	// a refusal.
	served, refused map[uint8]int
	slowest         time.Duration
}

const coldServiceTime = 100 * time.Millisecond

var coldBound = warming.Bound{Rate: 10, Overage: 1.5, Slack: 5, ColdStart: 3 * time.Second}

func newColdDomain(vms int, now time.Time) *coldDomain {
	d := &coldDomain{
		arrived: map[*admission.Request]time.Time{}, ends: map[*admission.Request]time.Time{}, vmOf: map[*admission.Request]int{},
		served: map[uint8]int{}, refused: map[uint8]int{},
	}
	for range vms {
		p := &pacer{limiter: warming.New(coldBound, now.Add(-time.Minute))}
		p.limiter.Restarted(now)
		p.limiter.Announced(coldBound.ColdStart, true, now)
		opts := admission.SlotsOptions(40, admission.SlotsMaxWait)
		opts.Pacer = p
		d.pacers = append(d.pacers, p)
		d.vms = append(d.vms, admission.NewController(opts, now))
	}
	return d
}

func (d *coldDomain) apply(actions []admission.Action, now time.Time) {
	for _, a := range actions {
		if a.Run {
			d.served[a.Request.Importance]++
			d.ends[a.Request] = now.Add(coldServiceTime)
			continue
		}
		d.refused[a.Request.Importance]++
		d.slowest = max(d.slowest, now.Sub(d.arrived[a.Request]))
	}
}

func (d *coldDomain) submit(random *rand.Rand, importance uint8, now time.Time) {
	r := &admission.Request{Importance: importance, Organisation: "o", Weight: 1, Deadline: now.Add(2 * time.Second), Kind: "k"}
	vm := random.IntN(len(d.vms))
	d.arrived[r], d.vmOf[r] = now, vm
	d.apply(d.vms[vm].Submit(r, now), now)
}

func (d *coldDomain) finish(now time.Time) {
	for r, end := range d.ends {
		if !now.Before(end) {
			delete(d.ends, r)
			d.apply(d.vms[d.vmOf[r]].Finish(admission.Completion{Request: r, Answered: true}, now), now)
		}
	}
}

// TestColdDomainServesImportantRequestsFirst plays a failure domain that comes back
// cold while ten times what it bears arrives. The important requests, half of what it
// bears, are served; of the others those that fit, and the rest are refused early.
func TestColdDomainServesImportantRequestsFirst(t *testing.T) {
	const vms, important, others = 4, 20, 400
	now := time.Unix(1_800_000_000, 0)
	random := rand.New(rand.NewPCG(1, 2))
	d := newColdDomain(vms, now)
	for ms := range 3000 {
		at := now.Add(time.Duration(ms) * time.Millisecond)
		d.finish(at)
		if ms%25 == 0 {
			for _, c := range d.vms {
				d.apply(c.Tick(at), at)
			}
		}
		if ms%(1000/important) == 0 {
			d.submit(random, 9, at)
		}
		if ms*others/1000 != (ms+1)*others/1000 {
			d.submit(random, 1, at)
		}
	}
	total := d.served[9] + d.served[1]
	assert.Assert(t, d.refused[9] <= 1, "%d important requests refused, %d served", d.refused[9], d.served[9])
	assert.Assert(t, total >= vms*3*int(coldBound.Rate), "served %d", total)
	assert.Assert(t, d.slowest <= admission.SlotsMaxWait+2*admission.TickInterval, "the slowest refusal took %s", d.slowest)
	for _, p := range d.pacers {
		for i := coldBound.Allowance(); i < len(p.sent); i++ {
			assert.Assert(t, p.sent[i].Sub(p.sent[i-coldBound.Allowance()]) >= time.Second, "more than %d requests in a second", coldBound.Allowance())
		}
	}
}
