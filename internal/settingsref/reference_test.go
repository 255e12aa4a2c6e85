package main

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// TestThePageIsComplete fails if a setting, its doc comment or its default
// changed and the page was not made again.
func TestThePageIsComplete(t *testing.T) {
	want, err := reference("../..")
	assert.NilError(t, err)
	page, err := os.ReadFile("../../docs/SETTINGS.md")
	assert.NilError(t, err)
	assert.Assert(t, string(page) == want, "run: go run ./internal/settingsref > docs/SETTINGS.md")
	for line := range strings.SplitSeq(want, "\n") {
		assert.Assert(t, !strings.HasSuffix(line, "|  |"), "a setting without a doc comment: %s", line)
	}
}

// TestThePageOfMetricsIsTrue fails if the operators' page names a metric that
// no source has.
func TestThePageOfMetricsIsTrue(t *testing.T) {
	var sources strings.Builder
	read := func(path string, _ fs.DirEntry, err error) error {
		if err != nil || filepath.Ext(path) != ".go" {
			return err
		}
		data, err := os.ReadFile(path)
		sources.Write(data)
		return err
	}
	assert.NilError(t, filepath.WalkDir("../../plugin", read))
	assert.NilError(t, filepath.WalkDir("../../mesh", read))
	page, err := os.ReadFile("../../docs/OPERATING.md")
	assert.NilError(t, err)
	names := regexp.MustCompile(`mangomast_[a-z_]+`).FindAllString(string(page), -1)
	assert.Assert(t, len(names) > 0)
	for _, name := range names {
		// The quota's counters have a common start.
		rest, common := strings.CutPrefix(name, "mangomast_quota_")
		found := strings.Contains(sources.String(), `"`+name+`"`) || common && strings.Contains(sources.String(), `"`+rest+`"`)
		assert.Assert(t, found, name)
	}
}
