// Package freeport finds TCP ports for servers that are started a moment
// later, as in tests and the demo.
package freeport

import (
	"math/rand/v2"
	"net"
	"strconv"

	"github.com/pkg/errors"
)

const (
	// Ports are taken from below the range of outgoing connections, which
	// would take a free port between its choice and its use.
	firstPort = 10_000
	portCount = 20_000
	attempts  = 200
)

// Addresses returns different addresses on the IP number on which nothing
// listens.
func Addresses(ip string, count int) ([]string, error) {
	var addresses []string
	for range attempts {
		if len(addresses) == count {
			return addresses, nil
		}
		address := net.JoinHostPort(ip, strconv.Itoa(firstPort+rand.IntN(portCount)))
		l, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		// It stays taken until all have been chosen, so that none comes twice.
		defer func() { _ = l.Close() }()
		addresses = append(addresses, address)
	}
	if len(addresses) == count {
		return addresses, nil
	}
	return nil, errors.Errorf("no %d free ports were found on %s", count, ip)
}
