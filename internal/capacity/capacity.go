// Package capacity works out what each role costs at the size to build
// towards, from figures that mangomast-bench measured. It makes the tables of
// docs/CAPACITY.md.
package capacity

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"math"
	"strings"

	"github.com/pkg/errors"
)

// The size to build towards, from the users' letter, and a node's budget for
// control.
const (
	Servers        = 24_000
	Services       = 3_800
	CallsPerSecond = 8_700_000
	Domains        = 38
	ChangesPerDay  = 85_000
	RestartsPerDay = 1_400
	BudgetCores    = 0.017
	BudgetBytes    = 21_000
	BudgetMemoryMB = 256
	StoreReads     = 2_000
	secondsPerDay  = 86_400
	// targetChanges is ChangesPerDay for a second, rounded up, as in the
	// slopes case.
	targetChanges  = 1
	relaysPerGroup = 3
)

// Assumptions that the letter leaves open.
const (
	// holdersOfLargest is the number of nodes that take requests of the
	// largest organisation.
	holdersOfLargest = 2_400
	// askSeconds is the time between a holder's asks at that size.
	askSeconds = 7.0 / 3
	// notIdempotent is the share of calls that run at most once, and
	// ledgerSeconds how long their IDs are remembered.
	notIdempotent = 0.1
	ledgerSeconds = 600
	// entryChanges is the number of changes of a VM's entry in one restart.
	entryChanges = 4
	// controlMessages is the number of control messages that a relay takes
	// from a VM of its failure domain in a second: a third of the two
	// questions, and a short report from two thirds of the VMs.
	controlMessages = 4.0 / 3
)

// Fleets of the slopes case that the costs of relays are worked out from.
const (
	fewNodes    = 16
	manyNodes   = 64
	oneDomain   = 1
	manyDomains = 4
)

// Cost is what control costs a node in the slopes case.
type Cost struct {
	Count int     `json:"count"`
	Bytes float64 `json:"control_bytes_per_second"`
	Cores float64 `json:"cores"`
	MB    float64 `json:"rss_mb"`
}

// Size is one fleet of the slopes case.
type Size struct {
	Nodes       int     `json:"nodes"`
	Domains     int     `json:"failure_domains"`
	Changes     int     `json:"changes_per_second"`
	StorePerMin float64 `json:"store_calls_per_minute"`
	Watches     int     `json:"store_watches"`
	RelayCost   Cost    `json:"relay"`
	OtherCost   Cost    `json:"other"`
}

// Decision is one row of the decisions case.
type Decision struct {
	Name          string  `json:"name"`
	Entries       int     `json:"entries"`
	Nanos         float64 `json:"ns"`
	BytesPerEntry float64 `json:"bytes_per_entry"`
	Bytes         float64 `json:"bytes"`
}

// Rate is one row of the added-latency case.
type Rate struct {
	Rate         float64 `json:"rate"`
	IngressCores float64 `json:"ingress_cores"`
	InboundCores float64 `json:"inbound_cores"`
}

// Measured are the figures of the three cases.
type Measured struct {
	Sizes     []Size
	Decisions []Decision
	Rates     []Rate
}

// line is one JSON object as mangomast-bench prints it.
type line struct {
	Case      string     `json:"case"`
	Sizes     []Size     `json:"sizes"`
	Decisions []Decision `json:"decisions"`
	Rates     []Rate     `json:"rates"`
}

// Parse reads the last lines of runs of the cases slopes, decisions and
// added-latency, in any order.
func Parse(data []byte) (*Measured, error) {
	m := &Measured{}
	scanner := bufio.NewScanner(bytes.NewReader(data))
	scanner.Buffer(nil, len(data)+1)
	for scanner.Scan() {
		var l line
		if err := json.Unmarshal(scanner.Bytes(), &l); err != nil {
			return nil, errors.Wrap(err, "read a measured line")
		}
		switch l.Case {
		case "slopes":
			m.Sizes = l.Sizes
		case "decisions":
			m.Decisions = l.Decisions
		case "added-latency":
			m.Rates = l.Rates
		}
	}
	if len(m.Decisions) == 0 || len(m.Rates) == 0 {
		return nil, errors.New("the lines of decisions and added-latency are both needed")
	}
	for _, changes := range []int{0, targetChanges} {
		for _, s := range []Size{m.size(fewNodes, oneDomain, changes), m.size(manyNodes, oneDomain, changes), m.size(manyNodes, manyDomains, changes)} {
			if s.Nodes == 0 {
				return nil, errors.New("the line of slopes lacks a fleet of one or of four failure domains")
			}
		}
	}
	return m, errors.Wrap(scanner.Err(), "read measured lines")
}

// decision returns the row of an operation at its largest size.
func (m *Measured) decision(name string) Decision {
	var largest Decision
	for _, d := range m.Decisions {
		if d.Name == name && d.Entries >= largest.Entries {
			largest = d
		}
	}
	return largest
}

// size returns the fleet of the slopes case; its zero value if it was not run.
func (m *Measured) size(nodes, domains, changes int) Size {
	for _, s := range m.Sizes {
		if s.Nodes == nodes && s.Domains == domains && s.Changes == changes {
			return s
		}
	}
	return Size{}
}

// linear is a relay's cost, which grows with the VMs of its failure domain and
// with the number of failure domains.
type linear struct{ value, perVM, perDomain float64 }

func (l linear) of(vms, domains float64) float64 {
	return l.value + l.perVM*(vms-fewNodes) + l.perDomain*(domains-oneDomain)
}

// limit returns the VMs of a failure domain at which the cost reaches a
// budget, of a fleet with the number of failure domains.
func (l linear) limit(budget, domains float64) float64 {
	if l.perVM <= 0 {
		return math.Inf(1)
	}
	return max(0, fewNodes+(budget-l.of(fewNodes, domains))/l.perVM)
}

// relay returns a relay's cost at a rate of changes, from three fleets: two of
// one failure domain, and one with as many VMs for each of several.
func (m *Measured) relay(changes int, cost func(Cost) float64) linear {
	few, many := m.size(fewNodes, oneDomain, changes), m.size(manyNodes, oneDomain, changes)
	spread := m.size(manyNodes, manyDomains, changes)
	value := cost(few.RelayCost)
	return linear{
		value:     value,
		perVM:     (cost(many.RelayCost) - value) / (manyNodes - fewNodes),
		perDomain: (cost(spread.RelayCost) - value) / (manyDomains - oneDomain),
	}
}

func bytesOf(c Cost) float64 { return c.Bytes }
func coresOf(c Cost) float64 { return c.Cores }

// Row is one role at full size.
type Row struct {
	Role, State, Messages string
	Cores, Bytes, MB      float64
	// Control roles are held to the budget of a node for control; call
	// traffic is not.
	Control bool
}

func (r Row) verdict() string {
	switch {
	case !r.Control:
		return "calls, not control"
	case r.Cores <= BudgetCores && r.Bytes <= BudgetBytes && r.MB <= BudgetMemoryMB:
		return "within"
	}
	return "above"
}

// Rows works out each role.
func (m *Measured) Rows() []Row {
	perDomain := float64(Servers) / Domains
	changes := float64(ChangesPerDay) / secondsPerDay
	calls := float64(CallsPerSecond) / Servers
	last := m.size(manyNodes, manyDomains, targetChanges)
	rate := m.Rates[len(m.Rates)-1]
	compile := (m.decision("change: sections compiled").Nanos + m.decision("change: delta applied").Nanos) / 1e9
	delta := m.decision("change: bytes to each node").Bytes
	document := m.decision("document in memory")
	documentMB := document.BytesPerEntry * float64(document.Entries) / 1e6
	cores, traffic := m.relay(targetChanges, coresOf), m.relay(targetChanges, bytesOf)
	idleCores, idleTraffic := m.relay(0, coresOf), m.relay(0, bytesOf)
	entries := m.decision("membership heartbeat").BytesPerEntry * Servers / 1e6
	view := m.decision("membership view of a change").Nanos / 1e9 * RestartsPerDay * entryChanges / secondsPerDay
	message := idleCores.perVM / controlMessages
	ask := m.decision("quota ask")
	asks := holdersOfLargest / askSeconds
	pinned := calls * notIdempotent
	ledger := m.decision("ledger begin and finish")
	return []Row{
		{Role: "ingress", State: "none kept", Messages: fmt.Sprintf("%.0f calls/s", calls), Cores: calls * rate.IngressCores / rate.Rate, MB: last.OtherCost.MB},
		{Role: "inbound", State: "queue, limit", Messages: fmt.Sprintf("%.0f calls/s", calls), Cores: calls * rate.InboundCores / rate.Rate},
		{Role: "ledger", State: fmt.Sprintf("%.0f IDs", pinned*ledgerSeconds), Messages: fmt.Sprintf("%.0f requests/s", pinned),
			Cores: pinned * ledger.Nanos / 1e9, MB: pinned * ledgerSeconds * ledger.BytesPerEntry / 1e6},
		{Role: "any node's control", State: fmt.Sprintf("document of %.1f MB", float64(document.Entries)/1e6), Messages: fmt.Sprintf("%.2f changes/s", changes),
			Cores: last.OtherCost.Cores + changes*compile, Bytes: last.OtherCost.Bytes + changes*delta, MB: last.OtherCost.MB + documentMB, Control: true},
		{Role: "relay", State: fmt.Sprintf("%d entries", Servers), Messages: fmt.Sprintf("%.0f/s from %.0f VMs", perDomain*controlMessages, perDomain),
			Cores: cores.of(perDomain, Domains) + changes*compile + view, Bytes: traffic.of(perDomain, Domains) + changes*delta*perDomain/relaysPerGroup,
			MB: last.RelayCost.MB + documentMB + entries, Control: true},
		{Role: "quota owner", State: fmt.Sprintf("%d holders of the largest organisation", holdersOfLargest), Messages: fmt.Sprintf("%.0f asks/s", asks),
			Cores: asks * (ask.Nanos/1e9 + message), Bytes: asks * idleTraffic.perVM / controlMessages, MB: ask.BytesPerEntry * holdersOfLargest / 1e6, Control: true},
	}
}

// Limits says where today's build breaks first.
func (m *Measured) Limits() string {
	changes := float64(ChangesPerDay) / secondsPerDay
	var b strings.Builder
	for _, at := range []struct {
		name    string
		changes int
		domains float64
	}{{"without changes, four failure domains", 0, manyDomains}, {"without changes", 0, Domains}, {"one change a second", targetChanges, Domains}} {
		cores, traffic := m.relay(at.changes, coresOf), m.relay(at.changes, bytesOf)
		fmt.Fprintf(&b, "- A relay, %s: %d bytes a second at %.0f VMs in its failure domain, %.1f%% of a core at %.0f; each VM adds %.0f bytes a second and %.4f%% of a core.\n",
			at.name, BudgetBytes, traffic.limit(BudgetBytes, at.domains), 100*BudgetCores, cores.limit(BudgetCores, at.domains), traffic.perVM, 100*cores.perVM)
	}
	idle, changing := m.size(manyNodes, manyDomains, 0).StorePerMin/60/manyDomains, m.size(manyNodes, manyDomains, targetChanges).StorePerMin/60/manyDomains
	perChange := (changing - idle) / targetChanges
	fmt.Fprintf(&b, "- The store gets %.0f calls a second of %d: %.2f a second for each failure domain and %.2f for each change.\n",
		Domains*(idle+perChange*changes), StoreReads, idle, perChange)
	return b.String()
}

// Markdown returns the tables.
func (m *Measured) Markdown() string {
	var b strings.Builder
	b.WriteString("| role | state | messages | cores | bytes/s | MB | budget |\n|---|---|---|---|---|---|---|\n")
	for _, r := range m.Rows() {
		fmt.Fprintf(&b, "| %s | %s | %s | %.4f | %.0f | %.1f | %s |\n", r.Role, r.State, r.Messages, r.Cores, r.Bytes, r.MB, r.verdict())
	}
	b.WriteString("\n" + m.Limits())
	return b.String()
}
