package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["log-flood"] = logFlood }

const (
	// memoryLimit is the memory of a process by the settings. The platform kills a
	// process that exceeds it and starts it again after restartDelay.
	memoryLimit  = 284_000_000
	restartDelay = 500 * time.Millisecond
	memoryCheck  = 20 * time.Millisecond
	// floodInterval is the least time between two requests on a connection.
	floodInterval = 10 * time.Millisecond
)

// logFlood has clients without a key send requests for a route that does not exist, with
// long request IDs. Each request stays inside the limits of the configuration. The nodes
// must stay within their memory.
func logFlood(s *stage) (int, error) {
	const (
		length = 60 * time.Second
		// attacked is the number of machines whose nodes get such requests, and crowd
		// the number of connections to each.
		attacked = 2
		crowd    = 40
		idBytes  = 15_000
		// maxEnds is the number of ends on each of two machines that breaks the rule.
		maxEnds = 3
	)
	work := 20 * time.Millisecond
	if err := s.deploy(
		vm{"riga-vecriga", "quotes", 64, work}, vm{"riga-centrs", "quotes", 64, work},
		vm{"riga-vecriga", "tills", 80, work}, vm{"riga-centrs", "tills", 80, work},
	); err != nil {
		return failed, err
	}
	end := make(chan struct{})
	var group sync.WaitGroup
	ends := make([]atomic.Int64, len(s.nodes))
	for i, n := range s.nodes {
		group.Go(func() { s.enforceMemory(n, &ends[i], end) })
	}
	var sent, answered, cut atomic.Int64
	for i, n := range s.nodes {
		group.Go(func() {
			client := newClient()
			for !closed(end) {
				got := send(s.record, client, n, request{method: http.MethodGet, path: []string{"/quotes/fare", "/tills/charge"}[i%2], deadline: 5 * time.Second})
				if got.err != nil {
					cut.Add(1)
				}
				time.Sleep(100 * time.Millisecond)
			}
		})
	}
	time.Sleep(5 * time.Second)
	id := strings.Repeat("7", 16)
	if s.trouble {
		id = strings.Repeat("<", idBytes)
	}
	s.add("%d clients without a key send requests with IDs of %d bytes to each of %d nodes", crowd, len(id), attacked)
	for _, n := range s.nodes[:attacked] {
		for range crowd {
			group.Go(func() { flood(n, id, end, &sent, &answered) })
		}
	}
	for started := time.Now(); time.Since(started) < length && (ends[0].Load() < maxEnds || ends[1].Load() < maxEnds); {
		time.Sleep(100 * time.Millisecond)
	}
	close(end)
	group.Wait()
	machines := 0
	for i, n := range s.nodes {
		s.conclude("%s: its process was ended %d times for its memory", n.name, ends[i].Load())
		if ends[i].Load() >= maxEnds {
			machines++
		}
	}
	s.conclude("%d such requests sent, %d answered; %d requests of ordinary clients got no answer", sent.Load(), answered.Load(), cut.Load())
	if machines >= 2 {
		return broken, nil
	}
	return held, nil
}

// enforceMemory ends the node's process when it exceeds its memory, and starts it again,
// as the platform does.
func (s *stage) enforceMemory(n *node, ends *atomic.Int64, end <-chan struct{}) {
	for !closed(end) {
		time.Sleep(memoryCheck)
		if resident := n.residentBytes(); resident > memoryLimit {
			ends.Add(1)
			s.add("%s has %d MB of %d: its process is ended", n.name, resident/1_000_000, memoryLimit/1_000_000)
			n.kill()
			time.Sleep(restartDelay)
			if err := n.start(); err != nil {
				s.add("cannot start %s again: %v", n.name, err)
				return
			}
		}
	}
}

// flood sends requests one after the other.
func flood(n *node, id string, end <-chan struct{}, sent, answered *atomic.Int64) {
	text := fmt.Sprintf("GET /nowhere/ HTTP/1.1\r\nHost: desk.example\r\n%s: %s\r\n%s: 1000\r\n\r\n", names["id"], id, names["deadline"])
	for !closed(end) {
		conn, err := net.DialTimeout("tcp", n.outbound, time.Second)
		if err != nil {
			time.Sleep(50 * time.Millisecond)
			continue
		}
		reader := bufio.NewReader(conn)
		for !closed(end) {
			_ = conn.SetDeadline(time.Now().Add(time.Second))
			if _, err := io.WriteString(conn, text); err != nil {
				break
			}
			sent.Add(1)
			resp, err := http.ReadResponse(reader, nil)
			if err != nil {
				break
			}
			_, _ = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()
			answered.Add(1)
			time.Sleep(floodInterval)
		}
		_ = conn.Close()
	}
}
