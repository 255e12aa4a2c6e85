package node

import (
	"strings"
	"testing"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"
	"gotest.tools/v3/assert"
)

func TestLibraryLinesAreBounded(t *testing.T) {
	handler := memory.New()
	l := libraryLog{log: &log.Logger{Handler: handler, Level: log.InfoLevel}}
	for _, line := range []string{"short\n", strings.Repeat("x", 1<<20), ""} {
		n, err := l.Write([]byte(line))
		assert.NilError(t, err)
		assert.Equal(t, n, len(line))
	}
	assert.Equal(t, len(handler.Entries), 3)
	assert.Equal(t, handler.Entries[0].Fields.Get("text"), "short")
	assert.Equal(t, len(handler.Entries[1].Fields.Get("text").(string)), maxLibraryLineBytes)
}
