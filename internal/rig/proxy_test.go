package rig

import (
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestForwardRetriesAddressInUse checks that Forward retries while its address
// is briefly in use. A child process forked while the address was probed
// inherits the probing socket and holds the address until it calls exec.
func TestForwardRetriesAddressInUse(t *testing.T) {
	occupier, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	time.AfterFunc(50*time.Millisecond, func() { _ = occupier.Close() })
	network := NewNetwork()
	defer network.Close()
	assert.NilError(t, network.Forward("x", occupier.Addr().String(), "127.0.0.1:1"))
}
