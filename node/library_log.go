package node

import (
	"bytes"

	"github.com/apex/log"
)

// maxLibraryLineBytes bounds a line of a library, which may quote what a peer sent.
const maxLibraryLineBytes = 256

// libraryLog writes the lines of the standard logger, which net/http uses, to the
// node's log. They would go to standard error otherwise, as plain text, and block
// the goroutine that writes them.
type libraryLog struct {
	log log.Interface
}

// Write implements io.Writer. Each call must pass one line.
func (l libraryLog) Write(line []byte) (int, error) {
	text := bytes.TrimSpace(line)
	l.log.WithField("text", string(text[:min(len(text), maxLibraryLineBytes)])).Warn("message of a library")
	return len(line), nil
}
