package bench

import (
	"context"
	"fmt"
	"math/rand/v2"
	"runtime"
	"slices"
	"strings"
	"time"

	"github.com/mangomast/mangomast/call"
	"github.com/mangomast/mangomast/config"
	"github.com/mangomast/mangomast/edit"
	"github.com/mangomast/mangomast/jsonc"
	"github.com/mangomast/mangomast/ledger"
	"github.com/mangomast/mangomast/membership"
	"github.com/mangomast/mangomast/mesh"
	"github.com/mangomast/mangomast/quota"
	"github.com/mangomast/mangomast/revision"
	"github.com/mangomast/mangomast/routing"
)

func init() {
	Register(Case{
		Name: "decisions", Run: runDecisions,
		Help: "time and memory of the decision packages alone, up to the size to build towards",
	})
}

// DecisionRow is the cost of one operation of a package with decision logic,
// such as membership, routing, quota or ledger, on a state of one size.
type DecisionRow struct {
	// Name identifies the operation, such as "membership heartbeat".
	Name string `json:"name"`
	// Entries is the size of the state that the operation works on.
	Entries int `json:"entries"`
	// Nanos is the mean time of one operation; BytesPerEntry is the memory per
	// entry of the state. Each is 0 if it was not measured.
	Nanos         float64 `json:"ns"`
	BytesPerEntry float64 `json:"bytes_per_entry,omitempty"`
	// Bytes is the size of a message or a store write; 0 if it was not
	// measured.
	Bytes int `json:"bytes,omitempty"`
}

type decisionFigures struct {
	Rows []DecisionRow `json:"decisions"`
}

const (
	fleetVMs           = 24_000
	fleetDomains       = 38
	fleetServices      = 3800
	largestService     = 600
	documentKeys       = 6000
	ledgerEntries      = 50_000
	minMeasureDuration = 200 * time.Millisecond
)

func runDecisions(context.Context, *Env) (*Report, error) {
	figures := &decisionFigures{}
	for _, vms := range []int{1500, 6000, fleetVMs} {
		figures.Rows = append(figures.Rows, membershipRows(vms)...)
	}
	for _, vms := range []int{6, 60, largestService} {
		figures.Rows = append(figures.Rows, routingRow(vms))
	}
	for _, keys := range []int{documentKeys / 16, documentKeys / 4, documentKeys} {
		rows, err := documentRows(keys)
		if err != nil {
			return nil, err
		}
		figures.Rows = append(figures.Rows, rows...)
	}
	for _, holders := range []int{24, 240, 2400} {
		figures.Rows = append(figures.Rows, quotaAskRow(holders))
	}
	figures.Rows = append(figures.Rows, ledgerRow(ledgerEntries))
	report := &Report{Holds: true, Figures: figures, Header: []string{"operation", "entries", "ns", "bytes an entry", "bytes"}}
	for _, r := range figures.Rows {
		report.Rows = append(report.Rows, []string{r.Name, fmt.Sprint(r.Entries), fmt.Sprintf("%.0f", r.Nanos), fmt.Sprintf("%.2f", r.BytesPerEntry), fmt.Sprint(r.Bytes)})
	}
	return report, nil
}

// meanNanos runs the operation for at least minMeasureDuration and returns its
// mean time in nanoseconds.
func meanNanos(operation func(number int)) float64 {
	started := time.Now()
	count := 0
	for time.Since(started) < minMeasureDuration || count < 3 {
		operation(count)
		count++
	}
	return float64(time.Since(started).Nanoseconds()) / float64(count)
}

// heapGrowth calls build and returns its value and the heap memory that the
// value retains, in bytes.
func heapGrowth(build func() any) (any, float64) {
	before := heapInUse()
	value := build()
	after := heapInUse()
	return value, max(0, float64(after)-float64(before))
}

func heapInUse() uint64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

func fleetEntry(number int) membership.Entry {
	domain := number % fleetDomains
	return membership.Entry{
		VM: fmt.Sprintf("vm-%05d", number), Incarnation: 1_800_000_000_000_000_000, Version: 3,
		FailureDomain: fmt.Sprintf("domain-%02d", domain), Region: fmt.Sprintf("region-%02d", domain%11),
		Service: fmt.Sprintf("service-%04d", number%fleetServices), State: membership.Ready, Slots: 40,
		MeshAddress:   fmt.Sprintf("10.%d.%d.2:8081", number/250, number%250),
		CallerAddress: fmt.Sprintf("10.%d.%d.2:8080", number/250, number%250),
		AdminAddress:  fmt.Sprintf("10.%d.%d.2:8083", number/250, number%250),
	}
}

func membershipRows(vms int) []DecisionRow {
	now := time.Now()
	built, bytes := heapGrowth(func() any {
		table := membership.NewTable()
		for i := range vms {
			table.Observe(fleetEntry(i), now)
		}
		return table
	})
	table := built.(*membership.Table)
	view := membership.NewView(table.Entries())
	entry := fleetEntry(vms / 2)
	rows := []DecisionRow{
		{Name: "membership heartbeat", Nanos: meanNanos(func(int) { table.Observe(entry, now) }), BytesPerEntry: bytes / float64(vms)},
		{Name: "membership changes since", Nanos: meanNanos(func(int) {
			table.Changes(table.Sequence()-1, func(membership.Record) bool { return true })
		})},
		{Name: "membership view of a change", Nanos: meanNanos(func(int) { view.With([]membership.Record{{Entry: entry}}) })},
		{Name: "membership relays of a domain", Nanos: meanNanos(func(int) { table.Relays(entry.FailureDomain) })},
		{Name: "membership revision held in a domain", Nanos: meanNanos(func(int) { table.Held(entry.FailureDomain, time.Time{}) })},
		{Name: "membership relays after a change", Nanos: meanNanos(func(int) { membership.Relays(table.Domain(entry.FailureDomain)) })},
	}
	for i := range rows {
		rows[i].Entries = vms
	}
	runtime.KeepAlive(table)
	return rows
}

func routingRow(vms int) DecisionRow {
	var candidates []membership.Entry
	for i := range vms {
		candidates = append(candidates, fleetEntry(i*fleetServices))
	}
	opts := routing.DefaultOptions()
	opts.Self, opts.Rand = "vm-00001", rand.Float64
	balancer := routing.NewBalancer(opts)
	now := time.Now()
	attempt := routing.Attempt{Head: &call.Head{Service: "service-0000", Route: "r"}, Now: now}
	pick := meanNanos(func(int) {
		if picked, ok := balancer.Pick(attempt, candidates); ok {
			balancer.Begin(attempt, picked)
			balancer.Done(routing.Result{Entry: picked, Head: attempt.Head, Reply: &call.Reply{Outcome: call.Answered}, Now: now})
		}
	})
	return DecisionRow{Name: "routing pick", Entries: vms, Nanos: pick}
}

// fleetDocument returns a document with the given number of keys, one
// organisation per ten keys and one service with a route per two keys.
func fleetDocument(keys int) *config.Document {
	doc := &config.Document{}
	for i := range keys / 10 {
		id := fmt.Sprintf("organisation-%04d", i)
		doc.Organisations = append(doc.Organisations, config.Organisation{ID: id, Weight: 1, Rate: 100, Burst: 100})
	}
	for i := range keys {
		id := fmt.Sprintf("key-%05d", i)
		doc.Keys = append(doc.Keys, config.Key{ID: id, Organisation: doc.Organisations[i/10%len(doc.Organisations)].ID, Hash: config.HashKey(id)})
	}
	for i := range keys / 2 {
		service := fmt.Sprintf("service-%04d", i)
		doc.Services = append(doc.Services, config.Service{ID: service})
		doc.Routes = append(doc.Routes, config.Route{
			ID: service, Method: "GET", Path: "/" + service + "/", Service: service, OpenTo: []string{config.AllOrganisations},
			Importance: 5, Deadline: jsonc.Duration(time.Second), MaxAnswerBytes: 1 << 20,
		})
	}
	return doc
}

// sectionedDocument is a document in its stored form: the head and the changed
// sections, with their encoded values and total size.
type sectionedDocument struct {
	head     *config.Head
	sections []config.NamedSection
	values   []revision.Value
	bytes    int
}

func splitSections(doc, earlier *config.Document, earlierHead *config.Head) (*sectionedDocument, error) {
	head, changed, err := doc.ChangedSections(earlier, earlierHead)
	if err != nil {
		return nil, err
	}
	s := &sectionedDocument{head: head, sections: changed}
	for _, c := range changed {
		data, err := c.Encode()
		if err != nil {
			return nil, err
		}
		s.values = append(s.values, revision.Value{Name: config.SectionPrefix + c.Name, Revision: int64(doc.Change.Number), Data: data})
		s.bytes += len(data)
	}
	data, err := head.Encode()
	s.values = append(s.values, revision.Value{Name: config.DocumentKey, Revision: int64(doc.Change.Number), Data: data})
	s.bytes += len(data)
	return s, err
}

// documentRows measures the cost for a node of a change to a single field.
func documentRows(keys int) ([]DecisionRow, error) {
	doc := fleetDocument(keys)
	doc.Change.Number = 1
	full, err := splitSections(doc, &config.Document{}, &config.Head{})
	if err != nil {
		return nil, err
	}
	edited := *doc
	edited.Organisations = slices.Clone(doc.Organisations)
	edited.Organisations[0].Rate = 7
	edited.Change.Number = 2
	change, err := splitSections(&edited, doc, full.head)
	if err != nil {
		return nil, err
	}
	from := revision.NewState(full.values)
	delta := revision.Diff(from, revision.NewState(replaceByName(full.values, change.values)))
	encodedDelta, err := mesh.Encode(delta)
	if err != nil {
		return nil, err
	}
	assembler := config.NewAssembler()
	addSections(assembler, full.values)
	_, snapshotBytes := heapGrowth(func() any {
		fresh := config.NewAssembler()
		addSections(fresh, full.values)
		assembled, _ := fresh.Document(full.head)
		return config.NewSnapshot(assembled, 1)
	})
	editing, err := editRow(doc, full)
	if err != nil {
		return nil, err
	}
	return []DecisionRow{
		editing,
		{Name: "document in memory", Entries: full.bytes, BytesPerEntry: snapshotBytes / float64(full.bytes)},
		{Name: "change: bytes written", Entries: full.bytes, Bytes: change.bytes},
		{Name: "change: bytes to each node", Entries: full.bytes, Bytes: len(encodedDelta)},
		{Name: "change: delta applied", Entries: full.bytes, Nanos: meanNanos(func(int) { _, _ = revision.Apply(from, delta) })},
		{Name: "change: sections compiled", Entries: full.bytes, Nanos: meanNanos(func(int) {
			addSections(assembler, change.values)
			assembled, _ := assembler.Document(change.head)
			config.NewSnapshot(assembled, 2)
		})},
	}, nil
}

// editRow measures the cost of an operator's change to a single field for the
// node that commits it: the preview, then the check, the sections and the
// encoding of the writes. Store reads and writes are not included.
func editRow(doc *config.Document, full *sectionedDocument) (DecisionRow, error) {
	edits := []edit.Edit{{Field: "/organisations/" + doc.Organisations[0].ID + "/rate", Old: []byte("100"), New: []byte("7")}}
	if _, err := edit.Apply(doc, edits); err != nil {
		return DecisionRow{}, err
	}
	cost := meanNanos(func(int) {
		_, _ = edit.Apply(doc, edits)
		edited, _ := edit.Apply(doc, edits)
		edited.Change.Number = doc.Change.Number + 1
		_, _ = splitSections(edited, doc, full.head)
	})
	return DecisionRow{Name: "change: previewed and committed", Entries: full.bytes, Nanos: cost}, nil
}

// replaceByName returns a copy of values in which each newer value replaces the
// one of the same name.
func replaceByName(values, newer []revision.Value) []revision.Value {
	result := slices.Clone(values)
	for _, n := range newer {
		for i := range result {
			if result[i].Name == n.Name {
				result[i] = n
			}
		}
	}
	return result
}

func addSections(assembler *config.Assembler, values []revision.Value) {
	for _, v := range values {
		if name, ok := strings.CutPrefix(v.Name, config.SectionPrefix); ok {
			_ = assembler.Add(name, v.Data)
		}
	}
}

func quotaAskRow(holders int) DecisionRow {
	now := time.Now()
	limit := quota.Limit{Rate: 10_000, Burst: 10_000}
	built, bytes := heapGrowth(func() any {
		owner := quota.NewOwner(now, 1, limit, quota.Lease)
		for i := range holders {
			askOwner(owner, i, now, 1, limit)
		}
		return owner
	})
	owner := built.(*quota.Owner)
	handle := meanNanos(func(number int) {
		askOwner(owner, number%holders, now.Add(time.Duration(number)*time.Millisecond), uint64(2+number), limit)
	})
	runtime.KeepAlive(owner)
	return DecisionRow{Name: "quota ask", Entries: holders, Nanos: handle, BytesPerEntry: bytes / float64(holders)}
}

func askOwner(owner *quota.Owner, holder int, now time.Time, number uint64, limit quota.Limit) {
	from := quota.HolderID{VM: fmt.Sprintf("vm-%05d", holder), Incarnation: 1}
	_, _, _ = owner.Handle(now, from, quota.Ask{Organisation: "org", Term: 1, Number: number, Demand: 10, Want: 1, Limit: limit})
}

func ledgerRow(entries int) DecisionRow {
	now := time.Now()
	signer := ledger.NewSigner("0123456789abcdef")
	id := func(number int) string {
		scope := ledger.Scope{Organisation: "org", Route: "charge"}
		text, _ := signer.Mint(scope, call.Pin{VM: "vm-00001", Incarnation: 1}, ledger.NewNonce(), now.Add(time.Duration(number)))
		return text
	}
	built, bytes := heapGrowth(func() any {
		l := ledger.New(ledger.Options{Validity: time.Hour, MaxEntries: entries, MaxAnswerBytes: 1 << 20})
		for i := range entries {
			text := id(i)
			l.Begin(text, now.Add(time.Duration(i)), ledger.Fingerprint{1}, now)
			l.Finish(text, &ledger.Answer{Reply: &call.Reply{Outcome: call.Answered}})
		}
		return l
	})
	l := built.(*ledger.Ledger)
	begin := meanNanos(func(number int) {
		text := id(entries + number)
		l.Begin(text, now.Add(time.Duration(entries+number)), ledger.Fingerprint{1}, now)
		l.Finish(text, &ledger.Answer{Reply: &call.Reply{Outcome: call.Answered}})
	})
	runtime.KeepAlive(l)
	return DecisionRow{Name: "ledger begin and finish", Entries: entries, Nanos: begin, BytesPerEntry: bytes / float64(entries)}
}
