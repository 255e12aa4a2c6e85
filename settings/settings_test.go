package settings

import (
	"math"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/mangomast/mangomast/finding"
)

const validSettings = `{
  // One node beside the fares upstream.
  "vm": "riga-a-1",
  "failure_domain": "riga-a",
  "region": "riga",
  "fleet_secret": "0123456789abcdef",
  "listen": {
    "callers": "127.0.0.1:8080",
    "mesh": "127.0.0.1:8081",
    "egress": "127.0.0.1:8082",
    "admin": "127.0.0.1:8083",
  },
  "store": {"endpoints": ["http://127.0.0.1:2379"]},
}`

func TestParseAcceptsComments(t *testing.T) {
	node, findings := Parse("node.json", []byte(validSettings))
	assert.NilError(t, findings.Err())
	assert.Equal(t, node.Store.Prefix, "/mangomast/")
	assert.Equal(t, node.Advertise.Mesh, "127.0.0.1:8081")
}

func TestParseReportsEveryFindingWithItsPosition(t *testing.T) {
	invalid := strings.NewReplacer(
		`"riga-a-1"`, `"Riga A"`,
		`"127.0.0.1:8081"`, `"localhost:8081"`,
		`"127.0.0.1:8082"`, `"10.0.0.1:8082"`,
		`"region": "riga"`, `"region": 7, "zone": "x"`,
	).Replace(validSettings)
	_, findings := Parse("node.json", []byte(invalid))
	err := findings.Err()
	assert.ErrorContains(t, err, `node.json:3:9: /vm: "Riga A" must be`)
	assert.ErrorContains(t, err, "node.json:5:13: /region: expected a string, found a number")
	assert.ErrorContains(t, err, `node.json:5:16: /zone: unknown field "zone"`)
	assert.ErrorContains(t, err, "node.json:9:13: /listen/mesh: ")
	assert.ErrorContains(t, err, "must be a loopback address")
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(validSettings))
	f.Add([]byte(`{"listen": [1, 2], "modules": {"x": null}}`))
	f.Add([]byte("{\"vm\": /* "))
	f.Fuzz(func(t *testing.T, data []byte) {
		node, findings := Parse("", data)
		assert.Assert(t, node != nil)
		_ = findings.Err()
	})
}

// TestNumbersOutOfRangeAreFindings guards against limits whose product overflows.
func TestNumbersOutOfRangeAreFindings(t *testing.T) {
	findings := &finding.List{}
	Limits{MemoryMB: math.MaxInt, Descriptors: minDescriptors}.validate(findings)
	(&Upstream{Service: "quotes", Address: "127.0.0.1:1", Slots: 1 << 61, Connections: math.MaxInt}).Validate("/upstream", findings)
	fields := []string{}
	for _, f := range findings.Findings() {
		fields = append(fields, f.Field)
	}
	assert.DeepEqual(t, fields, []string{"/limits/memory_mb", "/upstream/slots"})
}
