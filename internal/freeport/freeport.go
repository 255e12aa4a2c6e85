// Package freeport finds TCP ports for servers that are started a moment
// later, as in tests and the demo.
//
// Between the choice of a port and its use nothing listens on it, so two
// processes could choose the same one. Each process therefore holds a block of
// ports for itself, by listening on the block's first port until it ends, and
// hands out the others in turn.
package freeport

import (
	"net"
	"os"
	"strconv"
	"sync"

	"github.com/pkg/errors"
)

const (
	// Ports are taken from below the range of outgoing connections, which
	// would take a free port between its choice and its use.
	firstPort = 10_000
	// blockSize is the count of ports in a process's block; the first is its
	// lock.
	blockSize  = 100
	blockCount = 200
	// lockIP is the address on which the locks of blocks are held.
	lockIP = "127.0.0.1"
)

// block is the ports that this process has to itself.
type block struct {
	mu sync.Mutex
	// lock is nil until the first port is asked for.
	lock net.Listener
	// first is the port of the lock.
	first int
	// next is the offset of the port to try next, from 1 to blockSize-1.
	next int
}

var process block

// Addresses returns different addresses on the IP number on which nothing
// listens. No other process that uses this package is given the same ones
// while this process runs, nor is a later call before the block's other ports
// were handed out.
func Addresses(ip string, count int) ([]string, error) {
	process.mu.Lock()
	defer process.mu.Unlock()
	if err := process.claim(); err != nil {
		return nil, err
	}
	var addresses []string
	for range blockSize - 1 {
		if len(addresses) == count {
			return addresses, nil
		}
		address := net.JoinHostPort(ip, strconv.Itoa(process.take()))
		if isFree(address) {
			addresses = append(addresses, address)
		}
	}
	if len(addresses) == count {
		return addresses, nil
	}
	return nil, errors.Errorf("no %d free ports were found on %s", count, ip)
}

// claim takes a block that no other process holds. The search begins at a
// block that differs between processes started one after another.
func (b *block) claim() error {
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
	return errors.Errorf("all %d blocks of ports are held by other processes", blockCount)
}

// take returns the next port of the block.
func (b *block) take() int {
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
