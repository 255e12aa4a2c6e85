// Package capacity extrapolates the cost of each role at the required fleet
// size from results of mangomast-bench, and generates the tables of
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

// Required fleet size and load, and limits. BudgetCores, BudgetBytes (per
// second) and BudgetMemoryMB limit the control traffic of one node.
// StoreCallsPerSecond limits the calls of the whole fleet to the store.
const (
	RequiredServers        = 24_000
	RequiredServices       = 3_800
	CallsPerSecond         = 8_700_000
	RequiredFailureDomains = 38
	ChangesPerDay          = 85_000
	RestartsPerDay         = 1_400
	BudgetCores            = 0.017
	BudgetBytes            = 21_000
	BudgetMemoryMB         = 256
	StoreCallsPerSecond    = 2_000
	secondsPerDay          = 86_400
	// targetChangesPerSecond is ChangesPerDay per second, rounded up to the rate
	// used in the slopes case.
	targetChangesPerSecond = 1
	relaysPerDomain        = 3
)

// Assumptions about the load that the requirements do not specify.
const (
	// largestOrganisationNodes is the number of nodes that receive requests of
	// the largest organisation. They hold leases on its quota.
	largestOrganisationNodes = 2_400
	// askIntervalSeconds is the interval at which such a node sends asks to the
	// quota owner.
	askIntervalSeconds = 7.0 / 3
	// nonIdempotentShare is the share of calls that must run at most once.
	// ledgerRetentionSeconds is how long the ledger keeps their IDs.
	nonIdempotentShare     = 0.1
	ledgerRetentionSeconds = 600
	// entryChangesPerRestart is the number of changes of a VM's membership
	// entry in one restart.
	entryChangesPerRestart = 4
	// controlMessagesPerVM is the number of control messages that a relay
	// receives per second for each VM of its failure domain: a third of the
	// VM's two queries, and a short report from two thirds of the VMs.
	controlMessagesPerVM = 4.0 / 3
)

// Fleet sizes of the slopes case from which relay costs are extrapolated.
const (
	fewNodes    = 16
	manyNodes   = 64
	oneDomain   = 1
	manyDomains = 4
)

// Cost is the cost of control traffic for a node in the slopes case.
type Cost struct {
	Count int     `json:"count"`
	Bytes float64 `json:"control_bytes_per_second"`
	Cores float64 `json:"cores"`
	MB    float64 `json:"rss_mb"`
}

// FleetResult is the result for one fleet of the slopes case.
type FleetResult struct {
	Nodes       int     `json:"nodes"`
	Domains     int     `json:"failure_domains"`
	Changes     int     `json:"changes_per_second"`
	StorePerMin float64 `json:"store_calls_per_minute"`
	Watches     int     `json:"store_watches"`
	RelayCost   Cost    `json:"relay"`
	OtherCost   Cost    `json:"other"`
}

// OperationCost is the cost of one operation, a row of the decisions case.
type OperationCost struct {
	Name          string  `json:"name"`
	Entries       int     `json:"entries"`
	Nanos         float64 `json:"ns"`
	BytesPerEntry float64 `json:"bytes_per_entry"`
	Bytes         float64 `json:"bytes"`
}

// Rate is the CPU usage at one request rate, a row of the added-latency case.
type Rate struct {
	Rate         float64 `json:"rate"`
	IngressCores float64 `json:"ingress_cores"`
	InboundCores float64 `json:"inbound_cores"`
}

// Results has the results of the cases slopes, decisions and added-latency.
type Results struct {
	Sizes     []FleetResult
	Decisions []OperationCost
	Rates     []Rate
}

// caseResult is the JSON object that mangomast-bench prints for a case.
type caseResult struct {
	Case      string          `json:"case"`
	Sizes     []FleetResult   `json:"sizes"`
	Decisions []OperationCost `json:"decisions"`
	Rates     []Rate          `json:"rates"`
}

// Parse decodes the JSON lines that runs of the cases slopes, decisions and
// added-latency print last, in any order.
func Parse(data []byte) (*Results, error) {
	results := &Results{}
	scanner := bufio.NewScanner(bytes.NewReader(data))
	scanner.Buffer(nil, len(data)+1)
	for scanner.Scan() {
		var line caseResult
		if err := json.Unmarshal(scanner.Bytes(), &line); err != nil {
			return nil, errors.Wrap(err, "decode result line")
		}
		switch line.Case {
		case "slopes":
			results.Sizes = line.Sizes
		case "decisions":
			results.Decisions = line.Decisions
		case "added-latency":
			results.Rates = line.Rates
		}
	}
	if len(results.Decisions) == 0 || len(results.Rates) == 0 {
		return nil, errors.New("result lines of the cases decisions and added-latency are both required")
	}
	for _, changes := range []int{0, targetChangesPerSecond} {
		for _, s := range []FleetResult{results.fleet(fewNodes, oneDomain, changes), results.fleet(manyNodes, oneDomain, changes), results.fleet(manyNodes, manyDomains, changes)} {
			if s.Nodes == 0 {
				return nil, errors.New("result line of the case slopes lacks a fleet with one or with four failure domains")
			}
		}
	}
	return results, errors.Wrap(scanner.Err(), "read result lines")
}

// operation returns the row of the named operation with the most entries.
func (r *Results) operation(name string) OperationCost {
	var largest OperationCost
	for _, d := range r.Decisions {
		if d.Name == name && d.Entries >= largest.Entries {
			largest = d
		}
	}
	return largest
}

// fleet returns the result for a fleet of the slopes case, or the zero value if
// there is none.
func (r *Results) fleet(nodes, domains, changes int) FleetResult {
	for _, s := range r.Sizes {
		if s.Nodes == nodes && s.Domains == domains && s.Changes == changes {
			return s
		}
	}
	return FleetResult{}
}

// linearCost models a relay's cost as linear in the number of VMs in its
// failure domain and in the number of failure domains. base is the cost with
// fewNodes VMs and oneDomain.
type linearCost struct{ base, perVM, perDomain float64 }

func (l linearCost) estimate(vms, domains float64) float64 {
	return l.base + l.perVM*(vms-fewNodes) + l.perDomain*(domains-oneDomain)
}

// maxVMs returns the number of VMs in a failure domain at which the cost
// reaches the budget, for a fleet with the given number of failure domains.
func (l linearCost) maxVMs(budget, domains float64) float64 {
	if l.perVM <= 0 {
		return math.Inf(1)
	}
	return max(0, fewNodes+(budget-l.estimate(fewNodes, domains))/l.perVM)
}

// relay fits a relay's cost at the given changes per second to that of three
// fleets: fewNodes and manyNodes VMs in one failure domain, and manyNodes VMs in
// manyDomains, which is fewNodes VMs per failure domain.
func (r *Results) relay(changes int, cost func(Cost) float64) linearCost {
	few, many := r.fleet(fewNodes, oneDomain, changes), r.fleet(manyNodes, oneDomain, changes)
	multiDomain := r.fleet(manyNodes, manyDomains, changes)
	base := cost(few.RelayCost)
	return linearCost{
		base:      base,
		perVM:     (cost(many.RelayCost) - base) / (manyNodes - fewNodes),
		perDomain: (cost(multiDomain.RelayCost) - base) / (manyDomains - oneDomain),
	}
}

func controlBytes(c Cost) float64 { return c.Bytes }
func controlCores(c Cost) float64 { return c.Cores }

// Row is the cost of one role at the required fleet size.
type Row struct {
	Role, State, Messages string
	Cores, Bytes, MB      float64
	// Control is true if the control budget of a node applies to the role, and
	// false for call traffic.
	Control bool
}

func (r Row) budgetStatus() string {
	switch {
	case !r.Control:
		return "calls, not control"
	case r.Cores <= BudgetCores && r.Bytes <= BudgetBytes && r.MB <= BudgetMemoryMB:
		return "within"
	}
	return "above"
}

// Rows computes the cost of each role.
func (r *Results) Rows() []Row {
	vmsPerDomain := float64(RequiredServers) / RequiredFailureDomains
	changes := float64(ChangesPerDay) / secondsPerDay
	callsPerNode := float64(CallsPerSecond) / RequiredServers
	largestFleet := r.fleet(manyNodes, manyDomains, targetChangesPerSecond)
	rate := r.Rates[len(r.Rates)-1]
	compileSeconds := (r.operation("change: sections compiled").Nanos + r.operation("change: delta applied").Nanos) / 1e9
	deltaBytes := r.operation("change: bytes to each node").Bytes
	document := r.operation("document in memory")
	documentMB := document.BytesPerEntry * float64(document.Entries) / 1e6
	cores, traffic := r.relay(targetChangesPerSecond, controlCores), r.relay(targetChangesPerSecond, controlBytes)
	idleCores, idleTraffic := r.relay(0, controlCores), r.relay(0, controlBytes)
	entriesMB := r.operation("membership heartbeat").BytesPerEntry * RequiredServers / 1e6
	viewCores := r.operation("membership view of a change").Nanos / 1e9 * RestartsPerDay * entryChangesPerRestart / secondsPerDay
	messageCores := idleCores.perVM / controlMessagesPerVM
	ask := r.operation("quota ask")
	asksPerSecond := largestOrganisationNodes / askIntervalSeconds
	nonIdempotentPerNode := callsPerNode * nonIdempotentShare
	ledger := r.operation("ledger begin and finish")
	return []Row{
		{Role: "ingress", State: "none kept", Messages: fmt.Sprintf("%.0f calls/s", callsPerNode), Cores: callsPerNode * rate.IngressCores / rate.Rate, MB: largestFleet.OtherCost.MB},
		{Role: "inbound", State: "queue, limit", Messages: fmt.Sprintf("%.0f calls/s", callsPerNode), Cores: callsPerNode * rate.InboundCores / rate.Rate},
		{Role: "ledger", State: fmt.Sprintf("%.0f IDs", nonIdempotentPerNode*ledgerRetentionSeconds), Messages: fmt.Sprintf("%.0f requests/s", nonIdempotentPerNode),
			Cores: nonIdempotentPerNode * ledger.Nanos / 1e9, MB: nonIdempotentPerNode * ledgerRetentionSeconds * ledger.BytesPerEntry / 1e6},
		{Role: "any node's control", State: fmt.Sprintf("document of %.1f MB", float64(document.Entries)/1e6), Messages: fmt.Sprintf("%.2f changes/s", changes),
			Cores: largestFleet.OtherCost.Cores + changes*compileSeconds, Bytes: largestFleet.OtherCost.Bytes + changes*deltaBytes, MB: largestFleet.OtherCost.MB + documentMB, Control: true},
		{Role: "relay", State: fmt.Sprintf("%d entries", RequiredServers), Messages: fmt.Sprintf("%.0f/s from %.0f VMs", vmsPerDomain*controlMessagesPerVM, vmsPerDomain),
			Cores: cores.estimate(vmsPerDomain, RequiredFailureDomains) + changes*compileSeconds + viewCores, Bytes: traffic.estimate(vmsPerDomain, RequiredFailureDomains) + changes*deltaBytes*vmsPerDomain/relaysPerDomain,
			MB: largestFleet.RelayCost.MB + documentMB + entriesMB, Control: true},
		{Role: "quota owner", State: fmt.Sprintf("%d holders of the largest organisation", largestOrganisationNodes), Messages: fmt.Sprintf("%.0f asks/s", asksPerSecond),
			Cores: asksPerSecond * (ask.Nanos/1e9 + messageCores), Bytes: asksPerSecond * idleTraffic.perVM / controlMessagesPerVM, MB: ask.BytesPerEntry * largestOrganisationNodes / 1e6, Control: true},
	}
}

// Limits describes, as a Markdown list, the fleet sizes at which relays exceed
// their budget, and the load on the store.
func (r *Results) Limits() string {
	changes := float64(ChangesPerDay) / secondsPerDay
	var b strings.Builder
	for _, scenario := range []struct {
		name    string
		changes int
		domains float64
	}{{"without changes, four failure domains", 0, manyDomains}, {"without changes", 0, RequiredFailureDomains}, {"one change a second", targetChangesPerSecond, RequiredFailureDomains}} {
		cores, traffic := r.relay(scenario.changes, controlCores), r.relay(scenario.changes, controlBytes)
		fmt.Fprintf(&b, "- A relay, %s: %d bytes a second at %.0f VMs in its failure domain, %.1f%% of a core at %.0f; each VM adds %.0f bytes a second and %.4f%% of a core.\n",
			scenario.name, BudgetBytes, traffic.maxVMs(BudgetBytes, scenario.domains), 100*BudgetCores, cores.maxVMs(BudgetCores, scenario.domains), traffic.perVM, 100*cores.perVM)
	}
	idlePerDomain, changingPerDomain := r.fleet(manyNodes, manyDomains, 0).StorePerMin/60/manyDomains, r.fleet(manyNodes, manyDomains, targetChangesPerSecond).StorePerMin/60/manyDomains
	perChange := (changingPerDomain - idlePerDomain) / targetChangesPerSecond
	fmt.Fprintf(&b, "- The store gets %.0f calls a second of %d: %.2f a second for each failure domain and %.2f for each change.\n",
		RequiredFailureDomains*(idlePerDomain+perChange*changes), StoreCallsPerSecond, idlePerDomain, perChange)
	return b.String()
}

// Markdown returns the table of rows and the list of limits.
func (r *Results) Markdown() string {
	var b strings.Builder
	b.WriteString("| role | state | messages | cores | bytes/s | MB | budget |\n|---|---|---|---|---|---|---|\n")
	for _, row := range r.Rows() {
		fmt.Fprintf(&b, "| %s | %s | %s | %.4f | %.0f | %.1f | %s |\n", row.Role, row.State, row.Messages, row.Cores, row.Bytes, row.MB, row.budgetStatus())
	}
	b.WriteString("\n" + r.Limits())
	return b.String()
}
