// Package freeport finds free TCP ports for servers that start shortly
// afterwards, as in tests and the demo.
//
// Nothing listens on a port between its selection and its use, so two processes
// could select the same one. Each process therefore locks a block of ports by
// listening on the block's first port until the process exits, and allocates
// the other ports of the block round-robin.
package freeport

import (
	"net"
	"os"
	"strconv"
	"sync"

	"github.com/pkg/errors"
)

const (
	// firstPort starts a range below the ephemeral ports, because an outgoing
	// connection could bind an ephemeral port between its selection and its use.
	firstPort = 10_000
	// blockSize is the number of ports in a block, including the lock port.
	blockSize  = 100
	blockCount = 200
	// lockIP is the IP address of the lock listeners.
	lockIP = "127.0.0.1"
)

// portBlock is the block of ports that is reserved for this process.
type portBlock struct {
	mu sync.Mutex
	// lock is nil until the first call of Addresses.
	lock net.Listener
	// first is the port that lock listens on.
	first int
	// next is the offset of the next port to try, from 1 to blockSize-1.
	next int
}

var processBlock portBlock

// Addresses returns count different addresses with the given IP address on
// which nothing listens. No other process that uses this package gets them
// while this process runs, and no later call in this process gets them before
// the other ports of the block were returned.
func Addresses(ip string, count int) ([]string, error) {
	processBlock.mu.Lock()
	defer processBlock.mu.Unlock()
	if err := processBlock.acquire(); err != nil {
		return nil, err
	}
	var addresses []string
	for range blockSize - 1 {
		if len(addresses) == count {
			return addresses, nil
		}
		address := net.JoinHostPort(ip, strconv.Itoa(processBlock.nextPort()))
		if isFree(address) {
			addresses = append(addresses, address)
		}
	}
	if len(addresses) == count {
		return addresses, nil
	}
	return nil, errors.Errorf("found fewer than %d free ports in this process's block on %s", count, ip)
}

// acquire locks a block that no other process has locked. The search starts at
// a block derived from the process ID, so that processes started in succession
// start at different blocks.
func (b *portBlock) acquire() error {
	if b.lock != nil {
		return nil
	}
	start := os.Getpid()
	for i := range blockCount {
		first := firstPort + (start+i)%blockCount*blockSize
		lock, err := net.Listen("tcp", net.JoinHostPort(lockIP, strconv.Itoa(first)))
		if err != nil {
			continue
		}
		b.lock, b.first, b.next = lock, first, 1
		return nil
	}
	return errors.Errorf("all %d port blocks are locked by other processes", blockCount)
}

// nextPort returns the next port of the block, in round-robin order.
func (b *portBlock) nextPort() int {
	port := b.first + b.next
	b.next = b.next%(blockSize-1) + 1
	return port
}

func isFree(address string) bool {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return false
	}
	return l.Close() == nil
}
