package bench

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/mangomast/mangomast/call"
	"github.com/mangomast/mangomast/config"
	"github.com/mangomast/mangomast/internal/load"
	"github.com/mangomast/mangomast/internal/rig"
	"github.com/mangomast/mangomast/internal/standin"
	quotaplugin "github.com/mangomast/mangomast/plugin/quota"
	"github.com/mangomast/mangomast/quota"
)

const (
	quotaVMs = 4
	// quotaRegionDelay is added in each direction between regions.
	quotaRegionDelay = 30 * time.Millisecond
	// demandMoveInterval is the time after which most of the demand moves to
	// another VM.
	demandMoveInterval = 3 * time.Second
	// quotaMainPercent is the percentage of the demand on the VM that receives
	// most of it.
	quotaMainPercent = 70
	quotaTimeout     = 2 * time.Second
)

// quotaRun is a fleet under load from two organisations: the first stays within
// its rate, the second is far above it.
type quotaRun struct {
	doc     *config.Document
	fleet   *rig.Rig
	keys    []Key
	client  *http.Client
	seed    uint64
	started time.Time

	mu sync.Mutex
	// row counts the requests of the organisation within its rate in the
	// current phase.
	row *quotaRow
	// avoided has the VMs that callers avoid because they are stopped.
	avoided map[*rig.Node]bool
	// cut is the region that is cut off from the other and from the store.
	cut string
}

// startQuota starts the fleet with the quota module in the given mode. A non-nil
// edit modifies the document before the start.
func startQuota(ctx context.Context, seed uint64, mode string, edit func(*config.Document)) (*quotaRun, error) {
	doc := &config.Document{}
	keys := AddOrganisations(doc, 2, quotaRate, quotaBurst)
	AddService(doc, "fares", nil)
	nodes := SpreadVMs("fares", quotaVMs, 40, standin.Behaviour{WorkMicros: 1000})
	module := json.RawMessage(fmt.Sprintf(`{"mode": %q}`, mode))
	for i := range nodes {
		nodes[i].Modules = map[string]json.RawMessage{string(quotaplugin.ID): module}
	}
	AddDomains(doc, nodes)
	if edit != nil {
		edit(doc)
	}
	fleet, err := rig.Start(ctx, rig.Options{Nodes: nodes, Document: doc, LogLevel: "debug"})
	if err != nil {
		return nil, err
	}
	q := &quotaRun{doc: doc, fleet: fleet, keys: keys, client: newHTTPClient(quotaTimeout), seed: seed, row: &quotaRow{}, avoided: map[*rig.Node]bool{}}
	fleet.Network.SetRule(q.faults)
	return q, nil
}

// faults is the rule of the network: connections between regions are delayed, or
// cut while a region is cut off.
func (q *quotaRun) faults(source, listener string) rig.Faults {
	from, to := rig.RegionOf(q.fleet, source), rig.RegionOf(q.fleet, listener)
	if listener == rig.StoreListener {
		to = "riga"
	}
	if from == "" || from == to {
		return rig.Faults{}
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.cut != "" {
		return rig.Faults{Cut: true}
	}
	return rig.Faults{Delay: quotaRegionDelay}
}

func (q *quotaRun) setCut(region string) {
	q.mu.Lock()
	q.cut = region
	q.mu.Unlock()
	q.fleet.Network.SetRule(q.faults)
}

func (q *quotaRun) setAvoided(node *rig.Node, avoided bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.avoided[node] = avoided
}

// run executes the phases under load and returns one row per phase.
func (q *quotaRun) run(ctx context.Context, phases []quotaPhase) ([]quotaRow, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	q.started = time.Now()
	var group sync.WaitGroup
	defer group.Wait()
	defer cancel()
	for i, factor := range []float64{modestDemandFactor, greedyDemandFactor} {
		opts := load.Options{Rate: factor * quotaRate, Duration: time.Hour, Do: func(_ context.Context, number int) load.Sample {
			return load.Sample{OK: q.send(i, number)}
		}}
		group.Go(func() { load.Run(ctx, opts) })
	}
	var rows []quotaRow
	for _, phase := range phases {
		row, err := q.phase(ctx, phase)
		if err != nil {
			return nil, errors.Wrap(err, phase.name)
		}
		rows = append(rows, row)
	}
	return rows, nil
}

func (q *quotaRun) phase(ctx context.Context, phase quotaPhase) (quotaRow, error) {
	row := &quotaRow{Phase: phase.name}
	q.mu.Lock()
	q.row = row
	q.mu.Unlock()
	end := func() error { return nil }
	if phase.begin != nil {
		var err error
		if end, err = phase.begin(ctx, q); err != nil {
			return quotaRow{}, err
		}
	}
	time.Sleep(phase.length)
	if err := end(); err != nil {
		return quotaRow{}, err
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	done := *row
	if done.Sent > 0 {
		done.WrongfulShare = float64(done.Refused) / float64(done.Sent)
	}
	return done, nil
}

// send sends one request of an organisation and reports whether it succeeded.
// It tries another VM if one is unreachable or has stale configuration.
func (q *quotaRun) send(org, number int) bool {
	q.mu.Lock()
	row := q.row
	q.mu.Unlock()
	reason := ""
	for try := range quotaVMs {
		node := q.target(number, try)
		if reason = q.request(node, q.keys[org]); reason != call.CodeStaleConfig.String() && reason != dialFailed {
			break
		}
	}
	if org == 0 {
		q.mu.Lock()
		defer q.mu.Unlock()
		row.count(reason)
	}
	return reason == ""
}

// target returns the VM for a try of a request. Most requests go to one VM,
// which changes every demandMoveInterval.
func (q *quotaRun) target(number, try int) *rig.Node {
	nodes := q.fleet.Nodes
	step := int(time.Since(q.started) / demandMoveInterval)
	index := int(q.seed) + step
	if number%100 >= quotaMainPercent {
		index += 1 + number%(quotaVMs-1)
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	for i := range nodes {
		if node := nodes[(index+try+i)%len(nodes)]; !q.avoided[node] {
			return node
		}
	}
	return nodes[0]
}

// dialFailed is the reason of a request that got no HTTP response.
const dialFailed = "dial_failed"

// request sends a request and returns the reason for its failure, or an empty
// string on success.
func (q *quotaRun) request(node *rig.Node, key Key) string {
	req, err := http.NewRequest(http.MethodGet, "http://"+node.Callers+"/fares/quote?bytes=64", http.NoBody)
	if err != nil {
		return err.Error()
	}
	req.Header.Set(call.HeaderKey, key.Secret)
	resp, err := q.client.Do(req)
	if err != nil {
		return dialFailed
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body)
	if resp.StatusCode == http.StatusOK {
		return ""
	}
	return resp.Header.Get(call.HeaderReason)
}

// excess reads the admissions from the logs of all nodes and returns, by
// organisation, the worst excess over all windows and the number of admissions.
// A node logs an admission, with the time at which the token was taken, before
// it forwards the request, so no admission is missing.
func (q *quotaRun) excess() (worst map[string]float64, admitted map[string]int, err error) {
	admissions := map[string][]time.Time{}
	for _, node := range q.fleet.Nodes {
		if err := readAdmissions(q.fleet.LogFile(node.Spec.VM), admissions); err != nil {
			return nil, nil, err
		}
	}
	worst, admitted = map[string]float64{}, map[string]int{}
	for organisation, times := range admissions {
		worst[organisation] = quota.MaxExcess(times, quota.Limit{Rate: quotaRate, Burst: quotaBurst})
		admitted[organisation] = len(times)
	}
	return worst, admitted, nil
}

func readAdmissions(path string, admissions map[string][]time.Time) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return errors.Wrap(err, "read admissions")
	}
	lines := bufio.NewScanner(bytes.NewReader(data))
	const maxLine = 1 << 20
	lines.Buffer(nil, maxLine)
	for lines.Scan() {
		if !bytes.Contains(lines.Bytes(), []byte(`"admitted_unix_ns"`)) {
			continue
		}
		var line struct {
			Fields struct {
				Organisation string `json:"organisation"`
				At           int64  `json:"admitted_unix_ns"`
			} `json:"fields"`
		}
		if err := json.Unmarshal(lines.Bytes(), &line); err != nil {
			return errors.Wrapf(err, "read admission %q", lines.Text())
		}
		org := line.Fields.Organisation
		admissions[org] = append(admissions[org], time.Unix(0, line.Fields.At))
	}
	return errors.Wrap(lines.Err(), "read admissions")
}
