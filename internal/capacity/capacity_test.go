package capacity

import (
	"os"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// TestCapacityPageIsUpToDate fails if docs/CAPACITY.md does not have the tables
// generated from docs/measured.jsonl.
func TestCapacityPageIsUpToDate(t *testing.T) {
	data, err := os.ReadFile("../../docs/measured.jsonl")
	assert.NilError(t, err)
	results, err := Parse(data)
	assert.NilError(t, err)
	page, err := os.ReadFile("../../docs/CAPACITY.md")
	assert.NilError(t, err)
	assert.Assert(t, strings.Contains(string(page), results.Markdown()),
		"run 'go run ./cmd/mangomast-bench capacity' and put its output into the page:\n%s", results.Markdown())
}

func TestRelayCostIsLinearInVMsAndFailureDomains(t *testing.T) {
	results := &Results{Sizes: []FleetResult{
		{Nodes: 4, Domains: 4, RelayCost: Cost{Bytes: 7}},
		{Nodes: 16, Domains: 1, RelayCost: Cost{Bytes: 100}},
		{Nodes: 64, Domains: 1, RelayCost: Cost{Bytes: 580}},
		{Nodes: 64, Domains: 4, RelayCost: Cost{Bytes: 130}},
		{Nodes: 64, Domains: 4, Changes: 1, RelayCost: Cost{Bytes: 1000}},
	}}
	cost := results.relay(0, controlBytes)
	assert.Equal(t, cost.estimate(16, 1), 100.0)
	assert.Equal(t, cost.estimate(26, 1), 200.0)
	assert.Equal(t, cost.estimate(26, 4), 230.0)
	assert.Equal(t, cost.maxVMs(230, 4), 26.0)
	assert.Equal(t, cost.maxVMs(0, 38), 0.0)
}

func TestParseReportsMissingFleet(t *testing.T) {
	_, err := Parse([]byte(`{"case":"decisions","decisions":[{}]}` + "\n" + `{"case":"added-latency","rates":[{}]}`))
	assert.ErrorContains(t, err, "slopes")
}
