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

// TestSettingsPageIsUpToDate fails if a setting, its doc comment or its default
// value changed and the page was not regenerated.
func TestSettingsPageIsUpToDate(t *testing.T) {
	want, err := renderPage("../..")
	assert.NilError(t, err)
	page, err := os.ReadFile("../../docs/SETTINGS.md")
	assert.NilError(t, err)
	assert.Assert(t, string(page) == want, "run: go run ./internal/settingsref > docs/SETTINGS.md")
	for line := range strings.SplitSeq(want, "\n") {
		assert.Assert(t, !strings.HasSuffix(line, "|  |"), "a setting without a doc comment: %s", line)
	}
}

// TestOperatingPageNamesExistingMetrics fails if docs/OPERATING.md names a
// metric that no source file defines.
func TestOperatingPageNamesExistingMetrics(t *testing.T) {
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
		// The quota metrics are defined without their common prefix.
		suffix, isQuota := strings.CutPrefix(name, "mangomast_quota_")
		found := strings.Contains(sources.String(), `"`+name+`"`) || isQuota && strings.Contains(sources.String(), `"`+suffix+`"`)
		assert.Assert(t, found, name)
	}
}
