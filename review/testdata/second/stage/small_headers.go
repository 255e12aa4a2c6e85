package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["small-headers"] = smallHeaders }

// smallHeaders has crowds of clients without a key send heads of many short lines, each
// inside the limits of the configuration, and no body. The nodes must stay within their
// memory.
func smallHeaders(s *stage) (int, error) {
	const (
		length = 60 * time.Second
		// attacked is the number of machines to whose nodes such clients connect, and
		// crowd the number of connections to each.
		attacked = 2
		crowd    = 1500
		lines    = 2600
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
	var sent, cut atomic.Int64
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
	head := shortLines(8)
	if s.trouble {
		head = shortLines(lines)
	}
	s.add("%d clients without a key send heads of %d bytes to each of %d nodes", crowd, len(head), attacked)
	for _, n := range s.nodes[:attacked] {
		for i := range crowd {
			source := fmt.Sprintf("%s%d", s.network, 100+i%100)
			group.Go(func() { crowdIn(n, source, head, end, &sent) })
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
	s.conclude("%d such requests sent; %d requests of ordinary clients got no answer", sent.Load(), cut.Load())
	if machines >= 2 {
		return broken, nil
	}
	return held, nil
}

// shortLines returns a head whose body does not follow, with so many lines that have
// names of their own.
func shortLines(lines int) string {
	const letters = "abcdefghijklmnopqrstuvwxyz0123456789!#$%&'*+-.^_`|~"
	var head strings.Builder
	head.WriteString("POST /tills/charge HTTP/1.1\r\nHost: desk.example\r\nContent-Length: 1000\r\n")
	for i := range lines {
		fmt.Fprintf(&head, "%c%c:\r\n", letters[i%len(letters)], letters[i/len(letters)%len(letters)])
	}
	head.WriteString("\r\n")
	return head.String()
}

// crowdIn sends the head on one connection after the other and waits for the answer.
func crowdIn(n *node, source, head string, end <-chan struct{}, sent *atomic.Int64) {
	dialer := net.Dialer{Timeout: time.Second, LocalAddr: &net.TCPAddr{IP: net.ParseIP(source)}}
	for !closed(end) {
		conn, err := dialer.Dial("tcp", n.outbound)
		if err != nil {
			time.Sleep(50 * time.Millisecond)
			continue
		}
		if _, err := io.WriteString(conn, head); err == nil {
			sent.Add(1)
		}
		_ = conn.SetReadDeadline(time.Now().Add(2 * time.Second))
		_, _ = io.Copy(io.Discard, conn)
		_ = conn.Close()
	}
}
