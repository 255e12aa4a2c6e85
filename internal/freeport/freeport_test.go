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
	// printVariable makes the test program print addresses and wait for the
	// end of its input.
	printVariable = "MANGOMAST_PRINT_ADDRESSES"
	perProcess    = 90
	processes     = 6
)

func TestMain(m *testing.M) {
	if os.Getenv(printVariable) == "" {
		os.Exit(m.Run())
	}
	addresses, err := freeport.Addresses("127.0.0.1", perProcess)
	if err != nil {
		fmt.Println(err)
		os.Exit(1)
	}
	fmt.Println(strings.Join(addresses, " "))
	_, _ = os.Stdin.Read(make([]byte, 1))
}

// Before processes held blocks of their own, two demo fleets that started at
// once sometimes chose one port, and one of them could not listen.
func TestProcessesChooseDifferentPorts(t *testing.T) {
	chosen := make([][]string, processes)
	stop := make([]func(), processes)
	var group errgroup.Group
	for i := range processes {
		group.Go(func() error {
			var err error
			chosen[i], stop[i], err = printAddresses()
			return err
		})
	}
	assert.NilError(t, group.Wait())
	owner := map[string]int{}
	for i, addresses := range chosen {
		assert.Equal(t, len(addresses), perProcess)
		for _, address := range addresses {
			other, taken := owner[address]
			assert.Assert(t, !taken, "%s was chosen by processes %d and %d", address, other, i)
			owner[address] = i
		}
	}
	for _, end := range stop {
		end()
	}
}

// printAddresses starts a process that chooses addresses and holds its block
// until the returned function is called.
func printAddresses() ([]string, func(), error) {
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), printVariable+"=yes")
	// The process waits for the end of its input, so the pipe stays open.
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
