package freeport_test

import (
	"fmt"
	"os"
	"os/exec"
	"strings"
	"testing"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"github.com/mangomast/mangomast/internal/freeport"
)

const (
	// printAddressesVariable is the environment variable that makes the test
	// binary print addresses and wait until its standard input is closed.
	printAddressesVariable = "MANGOMAST_PRINT_ADDRESSES"
	addressesPerProcess    = 90
	processCount           = 6
)

func TestMain(m *testing.M) {
	if os.Getenv(printAddressesVariable) == "" {
		os.Exit(m.Run())
	}
	addresses, err := freeport.Addresses("127.0.0.1", addressesPerProcess)
	if err != nil {
		fmt.Println(err)
		os.Exit(1)
	}
	fmt.Println(strings.Join(addresses, " "))
	_, _ = os.Stdin.Read(make([]byte, 1))
}

// TestProcessesChooseDifferentPorts guards against two processes that select
// the same port at the same time. Without a block per process, one of two demo
// fleets that started together sometimes failed to listen.
func TestProcessesChooseDifferentPorts(t *testing.T) {
	chosen := make([][]string, processCount)
	stop := make([]func(), processCount)
	var group errgroup.Group
	for i := range processCount {
		group.Go(func() error {
			var err error
			chosen[i], stop[i], err = printAddresses()
			return err
		})
	}
	assert.NilError(t, group.Wait())
	owner := map[string]int{}
	for i, addresses := range chosen {
		assert.Equal(t, len(addresses), addressesPerProcess)
		for _, address := range addresses {
			other, taken := owner[address]
			assert.Assert(t, !taken, "%s was chosen by processes %d and %d", address, other, i)
			owner[address] = i
		}
	}
	for _, stopProcess := range stop {
		stopProcess()
	}
}

// printAddresses starts a process that prints the addresses it selected. The
// process keeps its block locked until the returned function is called.
func printAddresses() ([]string, func(), error) {
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), printAddressesVariable+"=yes")
	// The process exits when its input is closed, so the pipe stays open.
	if _, err := cmd.StdinPipe(); err != nil {
		return nil, nil, err
	}
	output, err := cmd.StdoutPipe()
	if err != nil {
		return nil, nil, err
	}
	if err := cmd.Start(); err != nil {
		return nil, nil, err
	}
	line := make([]byte, 64<<10)
	n, err := output.Read(line)
	stop := func() {
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
	}
	return strings.Fields(string(line[:n])), stop, err
}

func TestCallsChooseDifferentPorts(t *testing.T) {
	first, err := freeport.Addresses("127.0.0.1", 40)
	assert.NilError(t, err)
	second, err := freeport.Addresses("127.0.0.1", 40)
	assert.NilError(t, err)
	for _, address := range first {
		for _, other := range second {
			assert.Assert(t, address != other, address)
		}
	}
}
