package bench

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/mangomast/mangomast/config"
	"github.com/mangomast/mangomast/internal/rig"
	"github.com/mangomast/mangomast/jsonc"
	quotaplugin "github.com/mangomast/mangomast/plugin/quota"
	"github.com/mangomast/mangomast/revision"
)

func init() {
	Register(Case{Name: "quota-cut-off", Help: "a region cut off while keys are withdrawn: how long serve_when_cut_off serves them, and the rate", Run: runQuotaCutOff})
}

const (
	// serveWhenCutOff is longer than the lease of a share without this setting.
	serveWhenCutOff = 10 * time.Second
	// cutOffDuration is the time for which the region stays cut off.
	cutOffDuration     = 13 * time.Second
	cutOffCallInterval = 100 * time.Millisecond
	// cutOffMargin is the time after the cut and before the end of the setting's
	// validity that is excluded from the served share.
	cutOffMargin = time.Second
	// minCutOffServed is the minimum share of requests served in between.
	minCutOffServed = 0.95
	cutOffRegion    = "jurmala"
)

// cutOffRow is the result for the callers of one organisation in the region that
// is cut off.
type cutOffRow struct {
	Organisation string `json:"organisation"`
	// SettingMs is the organisation's serve_when_cut_off.
	SettingMs int64 `json:"setting_ms"`
	// LastServedMs is the time from the cut, at which the key is withdrawn too,
	// to the send of the last request that was served.
	LastServedMs int64 `json:"last_served_ms"`
	// Sent and Served count the requests during the validity of the setting,
	// less cutOffMargin at both ends.
	Sent        int     `json:"sent"`
	Served      int     `json:"served"`
	ServedShare float64 `json:"served_share"`
}

type cutOffFigures struct {
	Rows   []cutOffRow        `json:"organisations"`
	Excess map[string]float64 `json:"excess"`
}

// runQuotaCutOff withdraws the keys of two organisations just after a region is
// cut off. Only the first organisation has serve_when_cut_off.
func runQuotaCutOff(ctx context.Context, env *Env) (*Report, error) {
	q, err := startQuota(ctx, env.Seed, quotaplugin.ModeFleet, func(doc *config.Document) {
		doc.Organisations[0].ServeWhenCutOff = jsonc.Duration(serveWhenCutOff)
	})
	if err != nil {
		return nil, err
	}
	defer q.fleet.Close()
	callers := q.startCutOffCallers(ctx)
	defer callers.stop()
	const settle = 3 * time.Second
	time.Sleep(settle)
	callers.markCut(time.Now())
	q.setCut(cutOffRegion)
	doc := *q.doc
	doc.Keys = slices.Clone(doc.Keys)[len(q.keys):]
	if err := q.fleet.ApplyDocument(ctx, &doc); err != nil {
		return nil, err
	}
	time.Sleep(cutOffDuration)
	callers.stop()
	figures := &cutOffFigures{Rows: callers.rows}
	if figures.Excess, _, err = q.excess(); err != nil {
		return nil, err
	}
	return figures.report(), nil
}

func (f *cutOffFigures) report() *Report {
	report := &Report{Holds: true, Figures: f, Header: []string{
		"organisation", "serve_when_cut_off, ms", "last served, ms after the cut", "served share until then", "worst window",
	}}
	for i := range f.Rows {
		row := &f.Rows[i]
		bound := max(row.SettingMs, revision.DefaultBound.Milliseconds())
		if row.Sent > 0 {
			row.ServedShare = float64(row.Served) / float64(row.Sent)
		}
		report.Rows = append(report.Rows, []string{
			row.Organisation, fmt.Sprint(row.SettingMs), fmt.Sprint(row.LastServedMs),
			fmt.Sprintf("%.4f of %d", row.ServedShare, row.Sent), fmt.Sprintf("%+.2f", f.Excess[row.Organisation]),
		})
		served := row.SettingMs == 0 || row.ServedShare >= minCutOffServed
		report.Holds = report.Holds && served && row.LastServedMs <= bound && f.Excess[row.Organisation] <= 0
	}
	return report
}

// cutOffCallers send requests to the nodes of the region that is cut off.
type cutOffCallers struct {
	cancel context.CancelFunc
	group  sync.WaitGroup

	mu sync.Mutex
	// cut is the time at which the region was cut off; zero before.
	cut  time.Time
	rows []cutOffRow
}

func (q *quotaRun) startCutOffCallers(ctx context.Context) *cutOffCallers {
	ctx, cancel := context.WithCancel(ctx)
	c := &cutOffCallers{cancel: cancel}
	for i, key := range q.keys {
		setting := q.doc.Organisations[i].ServeWhenCutOff.Std()
		c.rows = append(c.rows, cutOffRow{Organisation: key.Organisation, SettingMs: setting.Milliseconds()})
		for _, node := range q.fleet.Nodes {
			if node.Spec.Region == cutOffRegion {
				c.group.Go(func() { c.call(ctx, q, node, i) })
			}
		}
	}
	return c
}

func (c *cutOffCallers) call(ctx context.Context, q *quotaRun, node *rig.Node, org int) {
	ticker := time.NewTicker(cutOffCallInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		sent := time.Now()
		served := q.request(node, q.keys[org]) == ""
		c.record(org, sent, served)
		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
	}
}

func (c *cutOffCallers) record(org int, sent time.Time, served bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	row := &c.rows[org]
	since := sent.Sub(c.cut)
	if c.cut.IsZero() || since < 0 {
		return
	}
	if served {
		row.LastServedMs = max(row.LastServedMs, since.Milliseconds())
	}
	if since < cutOffMargin || since > time.Duration(row.SettingMs)*time.Millisecond-cutOffMargin {
		return
	}
	row.Sent++
	if served {
		row.Served++
	}
}

func (c *cutOffCallers) markCut(cut time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cut = cut
}

func (c *cutOffCallers) stop() {
	c.cancel()
	c.group.Wait()
}
