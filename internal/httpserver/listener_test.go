package httpserver

import (
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestStopBeforeTheLastAcceptIsNoError guards against a planned stop that ends a busy node
// at once, because its listener was closed while Accept still waited to run.
func TestStopBeforeTheLastAcceptIsNoError(t *testing.T) {
	s := New("127.0.0.1:0", nil)
	assert.NilError(t, s.Listen())
	now := time.Now()
	s.listener.stopped.Store(&now)
	assert.NilError(t, s.listener.Close())
	_, err := s.listener.Accept()
	assert.ErrorIs(t, err, errDrained)

	s = New("127.0.0.1:0", nil)
	assert.NilError(t, s.Listen())
	assert.NilError(t, s.listener.Close())
	_, err = s.listener.Accept()
	assert.ErrorIs(t, err, net.ErrClosed)
}
