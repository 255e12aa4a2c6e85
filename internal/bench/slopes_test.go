package bench

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"
)

func TestPlotSlopesUsesFormatOfFileExtension(t *testing.T) {
	rows := []slopeRow{{Nodes: 4, Domains: 4, StoreCallsPerMinute: 500}, {Nodes: 16, Domains: 4, StoreCallsPerMinute: 510}, {Nodes: 16, Domains: 1}}
	for ending, start := range map[string]string{".png": "\x89PNG", ".svg": "<?xml"} {
		file := filepath.Join(t.TempDir(), "slopes"+ending)
		assert.NilError(t, checkPlotFile(file))
		assert.NilError(t, plotSlopes(rows, file))
		data, err := os.ReadFile(file)
		assert.NilError(t, err)
		assert.Assert(t, bytes.HasPrefix(data, []byte(start)), "%s begins with %q", ending, data[:8])
	}
}

func TestCheckPlotFileRejectsUnknownExtension(t *testing.T) {
	assert.ErrorContains(t, checkPlotFile("slopes.txt"), "slopes.txt")
	assert.NilError(t, checkPlotFile(""))
}
