package bench

import (
	"context"
	"fmt"
	"time"

	"github.com/mangomast/mangomast/call"
	"github.com/mangomast/mangomast/internal/rig"
	"github.com/mangomast/mangomast/internal/standin"
	quotaplugin "github.com/mangomast/mangomast/plugin/quota"
	"github.com/mangomast/mangomast/quota"
)

func init() {
	Register(Case{Name: "quota", Help: "rate and burst over all VMs while demand moves and owners, ingress nodes, the store and a region fail", Run: runQuota})
	Register(Case{Name: "quota-stop", Help: "the same while owners and ingress nodes are stopped as planned", Run: runQuotaStop})
	Register(Case{Name: "quota-loss", Help: "the same while an ingress, a region and an owner are lost, one at a time", Run: runQuotaLoss})
}

const (
	quotaRate  = 100.0
	quotaBurst = 50.0
	// modestDemandFactor and greedyDemandFactor are the demands of the two
	// organisations relative to their rate.
	modestDemandFactor = 0.8
	greedyDemandFactor = 3.0
	// maxWrongful is the maximum share of requests within the rate that may be
	// refused in phases with quotaPhase.bounded set.
	maxWrongful = 0.01
	// localDuration is the duration of the baseline run with local buckets.
	localDuration = 2 * time.Second
	// defaultStoreOutage is the default duration of the store outage.
	defaultStoreOutage = 6 * time.Second
)

// quotaPhase is a period of a run with at most one fault.
type quotaPhase struct {
	name string
	// bounded requires the share of wrongful refusals to stay within
	// maxWrongful.
	bounded bool
	length  time.Duration
	// begin injects the fault and returns a function that ends it; nil for no
	// fault.
	begin func(ctx context.Context, q *quotaRun) (end func() error, err error)
}

// quotaRow counts the requests within the rate that were sent in one phase.
type quotaRow struct {
	Phase string `json:"phase"`
	Sent  int    `json:"sent"`
	// Refused counts requests that were wrongly refused as rate-limited.
	Refused int `json:"refused"`
	// Stale counts requests that found no VM with fresh configuration.
	Stale int `json:"stale"`
	// Failed counts requests with any other error.
	Failed        int     `json:"failed"`
	WrongfulShare float64 `json:"wrongful_share"`
}

func (r *quotaRow) count(reason string) {
	r.Sent++
	switch reason {
	case "":
	case call.CodeRateLimited.String():
		r.Refused++
	case call.CodeStaleConfig.String():
		r.Stale++
	default:
		r.Failed++
	}
}

type quotaFigures struct {
	Rows []quotaRow `json:"phases"`
	// Excess is, by organisation, the maximum over all windows of length w of
	// the run by which the admissions at all VMs exceeded burst + rate*w. It
	// must not be positive.
	Excess   map[string]float64 `json:"excess"`
	Admitted map[string]int     `json:"admitted"`
	// LocalExcess is the same for local buckets, which allow the full rate on
	// each VM.
	LocalExcess map[string]float64 `json:"local_buckets_excess"`
}

func faultPhases(outage time.Duration) []quotaPhase {
	if outage == 0 {
		outage = defaultStoreOutage
	}
	return []quotaPhase{
		{name: "calm", bounded: true, length: 5 * time.Second},
		{name: "store out", bounded: true, length: outage, begin: startStoreOutage},
		{name: "owner paused beyond its lease", length: quota.Lease + 1500*time.Millisecond, begin: pauseOwner},
		{name: "owner resumed", length: 2 * time.Second},
		{name: "owner killed", length: 5 * time.Second, begin: killOwner},
		{name: "ingress killed", length: 4 * time.Second, begin: killIngress},
		{name: "region cut", length: 5 * time.Second, begin: cutRegion},
		{name: "region back", length: 2 * time.Second},
	}
}

// gracefulStopPhases returns phases in which nodes are stopped gracefully. The
// share of wrongful refusals is bounded in all of them.
func gracefulStopPhases() []quotaPhase {
	return []quotaPhase{
		{name: "calm", bounded: true, length: 3 * time.Second},
		{name: "owner stopped", bounded: true, length: 4 * time.Second, begin: stopOwner},
		{name: "owner back", bounded: true, length: 2 * time.Second},
		{name: "next owner stopped", bounded: true, length: 4 * time.Second, begin: stopOwner},
		{name: "next owner back", bounded: true, length: 2 * time.Second},
		{name: "holder stopped", bounded: true, length: 4 * time.Second, begin: stopHolder},
		{name: "holder back", bounded: true, length: 2 * time.Second},
	}
}

// lossPhases returns phases with one loss at a time, each injected after the
// fleet has recovered from the previous one.
func lossPhases() []quotaPhase {
	return []quotaPhase{
		{name: "calm", bounded: true, length: 3 * time.Second},
		{name: "ingress killed", length: 6 * time.Second, begin: killIngress},
		{name: "ingress back", length: 3 * time.Second},
		{name: "region cut", length: 6 * time.Second, begin: cutRegion},
		{name: "region back", length: 5 * time.Second},
		{name: "owner killed", length: 9 * time.Second, begin: killOwner},
		{name: "owner back", length: 2 * time.Second},
	}
}

func runQuotaLoss(ctx context.Context, env *Env) (*Report, error) {
	return runQuotaPhases(ctx, env, lossPhases())
}

func runQuotaStop(ctx context.Context, env *Env) (*Report, error) {
	return runQuotaPhases(ctx, env, gracefulStopPhases())
}

func runQuotaPhases(ctx context.Context, env *Env, phases []quotaPhase) (*Report, error) {
	figures := &quotaFigures{}
	if err := figures.measure(ctx, env, phases); err != nil {
		return nil, err
	}
	return figures.report(phases), nil
}

func runQuota(ctx context.Context, env *Env) (*Report, error) {
	figures := &quotaFigures{}
	phases := faultPhases(env.Duration)
	if err := figures.measure(ctx, env, phases); err != nil {
		return nil, err
	}
	if err := figures.measureLocal(ctx, env); err != nil {
		return nil, err
	}
	return figures.report(phases), nil
}

func (f *quotaFigures) measure(ctx context.Context, env *Env, phases []quotaPhase) error {
	q, err := startQuota(ctx, env.Seed, quotaplugin.ModeFleet, nil)
	if err != nil {
		return err
	}
	defer q.fleet.Close()
	if f.Rows, err = q.run(ctx, phases); err != nil {
		return err
	}
	f.Excess, f.Admitted, err = q.excess()
	return err
}

// measureLocal measures the excess with local buckets as a baseline.
func (f *quotaFigures) measureLocal(ctx context.Context, env *Env) error {
	q, err := startQuota(ctx, env.Seed, quotaplugin.ModeLocal, nil)
	if err != nil {
		return err
	}
	defer q.fleet.Close()
	if _, err = q.run(ctx, []quotaPhase{{name: "calm", length: localDuration}}); err != nil {
		return err
	}
	f.LocalExcess, _, err = q.excess()
	return err
}

func (f *quotaFigures) report(phases []quotaPhase) *Report {
	report := &Report{Holds: true, Figures: f, Header: []string{
		"phase", "sent within rate", "rate-limited", "stale", "failed", "wrongful share",
	}}
	for i, row := range f.Rows {
		report.Rows = append(report.Rows, []string{
			row.Phase, fmt.Sprint(row.Sent), fmt.Sprint(row.Refused), fmt.Sprint(row.Stale), fmt.Sprint(row.Failed), fmt.Sprintf("%.4f", row.WrongfulShare),
		})
		report.Holds = report.Holds && !(phases[i].bounded && row.WrongfulShare > maxWrongful)
	}
	for _, org := range []string{"org-1", "org-2"} {
		report.Rows = append(report.Rows, []string{
			"every window, " + org, fmt.Sprintf("%d admitted", f.Admitted[org]), fmt.Sprintf("worst %+.2f", f.Excess[org]),
			fmt.Sprintf("local buckets %+.2f", f.LocalExcess[org]), "", "",
		})
		report.Holds = report.Holds && f.Admitted[org] > 0 && f.Excess[org] <= 0
	}
	return report
}

func startStoreOutage(ctx context.Context, q *quotaRun) (func() error, error) {
	err := q.fleet.SetStoreFaults(ctx, standin.Faults{Outage: true})
	return func() error { return q.fleet.SetStoreFaults(ctx, standin.Faults{}) }, err
}

func pauseOwner(ctx context.Context, q *quotaRun) (func() error, error) {
	owner, err := q.fleet.Owner(ctx, q.keys[0].Organisation)
	if err != nil {
		return nil, err
	}
	q.setAvoided(owner, true)
	return func() error {
		q.setAvoided(owner, false)
		return owner.Process.Resume()
	}, owner.Process.Freeze()
}

// stopOwner stops the owner of the first organisation's rate gracefully and
// starts it again at the end of the phase.
func stopOwner(ctx context.Context, q *quotaRun) (func() error, error) {
	owner, err := q.fleet.Owner(ctx, q.keys[0].Organisation)
	if err != nil {
		return nil, err
	}
	return q.stop(owner)
}

// stopHolder does the same to the VM that receives most of the demand or, if
// that is the owner, to the next one.
func stopHolder(ctx context.Context, q *quotaRun) (func() error, error) {
	owner, err := q.fleet.Owner(ctx, q.keys[0].Organisation)
	if err != nil {
		return nil, err
	}
	node := q.target(0, 0)
	if node == owner {
		node = q.target(0, 1)
	}
	return q.stop(node)
}

// stop stops a node gracefully and returns a function that starts it again.
func (q *quotaRun) stop(node *rig.Node) (func() error, error) {
	q.setAvoided(node, true)
	return func() error {
		<-node.Process.Done()
		q.setAvoided(node, false)
		return q.fleet.StartNode(node)
	}, node.Process.Terminate()
}

func killOwner(ctx context.Context, q *quotaRun) (func() error, error) {
	owner, err := q.fleet.Owner(ctx, q.keys[0].Organisation)
	if err != nil {
		return nil, err
	}
	return q.kill(owner), nil
}

func killIngress(ctx context.Context, q *quotaRun) (func() error, error) {
	owner, err := q.fleet.Owner(ctx, q.keys[0].Organisation)
	if err != nil {
		return nil, err
	}
	for _, node := range q.fleet.Nodes {
		if node != owner && node.Spec.Region == owner.Spec.Region {
			return q.kill(node), nil
		}
	}
	return q.kill(q.fleet.Nodes[quotaVMs-1]), nil
}

// kill kills a node and returns a function that starts it again.
func (q *quotaRun) kill(node *rig.Node) func() error {
	q.setAvoided(node, true)
	node.Process.Kill()
	return func() error {
		q.setAvoided(node, false)
		return q.fleet.StartNode(node)
	}
}

func cutRegion(_ context.Context, q *quotaRun) (func() error, error) {
	q.setCut("jurmala")
	return func() error { q.setCut(""); return nil }, nil
}
