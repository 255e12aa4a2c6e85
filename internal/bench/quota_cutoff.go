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
	// serveWhenCutOff is longer than the lease of a share is without it.
	serveWhenCutOff = 10 * time.Second
	// cutOffWatch is how long the region stays cut.
	cutOffWatch = 13 * time.Second
	cutOffPause = 100 * time.Millisecond
	// cutOffEdge is the time after the cut and before the end that is not
	// counted in the served share.
	cutOffEdge = time.Second
	// minCutOffServed is the least share that is served in between.
	minCutOffServed = 0.95
	cutOffRegion    = "jurmala"
)

// cutOffRow is what one organisation's callers in the region that is cut off
// were answered.
type cutOffRow struct {
	Organisation string `json:"organisation"`
	// SettingMs is the organisation's serve_when_cut_off.
	SettingMs int64 `json:"setting_ms"`
	// LastServedMs is when the last request that was answered was sent, after
	// the cut and the withdrawal of the key.
	LastServedMs int64 `json:"last_served_ms"`
	// Sent and Served count the requests while the setting counts.
	Sent        int     `json:"sent"`
	Served      int     `json:"served"`
	ServedShare float64 `json:"served_share"`
}

type cutOffFigures struct {
	Rows   []cutOffRow        `json:"organisations"`
	Excess map[string]float64 `json:"excess"`
}

// runQuotaCutOff withdraws the keys of two organisations just after a region
// was cut off, where only the first has serve_when_cut_off.
func runQuotaCutOff(ctx context.Context, env *Env) (*Report, error) {
	q, err := startQuota(ctx, env.Seed, quotaplugin.ModeFleet, func(doc *config.Document) {
		doc.Organisations[0].ServeWhenCutOff = jsonc.Duration(serveWhenCutOff)
	})
	if err != nil {
		return nil, err
	}
	defer q.fleet.Close()
	callers := q.startCutOff(ctx)
	defer callers.stop()
	const settle = 3 * time.Second
	time.Sleep(settle)
	callers.begin(time.Now())
	q.setCut(cutOffRegion)
	doc := *q.doc
	doc.Keys = slices.Clone(doc.Keys)[len(q.keys):]
	if err := q.fleet.ApplyDocument(ctx, &doc); err != nil {
		return nil, err
	}
	time.Sleep(cutOffWatch)
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

// cutOffCallers call the nodes of the region that will be cut off.
type cutOffCallers struct {
	cancel context.CancelFunc
	group  sync.WaitGroup

	mu sync.Mutex
	// cut is when the region was cut off; zero before.
	cut  time.Time
	rows []cutOffRow
}

func (q *quotaRun) startCutOff(ctx context.Context) *cutOffCallers {
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
	ticker := time.NewTicker(cutOffPause)
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
	if since < cutOffEdge || since > time.Duration(row.SettingMs)*time.Millisecond-cutOffEdge {
		return
	}
	row.Sent++
	if served {
		row.Served++
	}
}

func (c *cutOffCallers) begin(cut time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cut = cut
}

func (c *cutOffCallers) stop() {
	c.cancel()
	c.group.Wait()
}
