package capacity

import (
	"os"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// TestPageHasTheTables checks that docs/CAPACITY.md shows what the measured
// figures give.
func TestPageHasTheTables(t *testing.T) {
	data, err := os.ReadFile("../../docs/measured.jsonl")
	assert.NilError(t, err)
	measured, err := Parse(data)
	assert.NilError(t, err)
	page, err := os.ReadFile("../../docs/CAPACITY.md")
	assert.NilError(t, err)
	assert.Assert(t, strings.Contains(string(page), measured.Markdown()),
		"run 'go run ./cmd/mangomast-bench capacity' and put its output into the page:\n%s", measured.Markdown())
}

func TestRelayCostIsLinearInTheDomain(t *testing.T) {
	m := &Measured{Sizes: []Size{{Nodes: 16, RelayCost: Cost{Bytes: 100}}, {Nodes: 64, RelayCost: Cost{Bytes: 220}}}}
	cost := m.relay(func(c Cost) float64 { return c.Bytes })
	assert.Equal(t, cost.of(4), 100.0)
	assert.Equal(t, cost.of(26), 320.0)
	assert.Equal(t, cost.limit(320), 26.0)
}
