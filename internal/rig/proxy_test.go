package rig

import (
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestForwardWaitsForItsAddress holds the address for a moment, as a process
// does that is being started while the address was found free.
func TestForwardWaitsForItsAddress(t *testing.T) {
	holder, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	time.AfterFunc(50*time.Millisecond, func() { _ = holder.Close() })
	network := NewNetwork()
	defer network.Close()
	assert.NilError(t, network.Forward("x", holder.Addr().String(), "127.0.0.1:1"))
}
