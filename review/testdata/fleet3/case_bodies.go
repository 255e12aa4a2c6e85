package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// playCrowdBodies has a crowd of clients begin requests on a public route whose bodies they
// do not send. The node says that it is ready, so it must take connections of other clients.
func playCrowdBodies(f *fleet, trouble bool) ([]string, error) {
	const (
		crowdSize = 2300
		clients   = 8
		interval  = 200 * time.Millisecond
		crowdAt   = 2 * time.Second
		crowdFor  = 10 * time.Second
		length    = crowdAt + crowdFor + 4*time.Second
		// stable is the time without a new connection that breaks the rule.
		stable = 4 * time.Second
	)
	if err := checkDescriptors(crowdSize); err != nil {
		return nil, err
	}
	front, err := f.add("front", "riga-vecriga", "quotes", 64, 160*time.Millisecond)
	if err != nil {
		return nil, err
	}
	if _, err := f.add("boards-1", "riga-centrs", "boards", 64, 40*time.Millisecond); err != nil {
		return nil, err
	}
	if err := f.settle(front, "boards.example", "/board/1", "/public/1"); err != nil {
		return nil, err
	}
	began := time.Now()
	end := began.Add(length)
	var group sync.WaitGroup
	if trouble {
		group.Go(func() {
			time.Sleep(crowdAt)
			f.record.printf("%d clients begin requests whose bodies they do not send", crowdSize)
			f.crowd(front, crowdSize, began.Add(crowdAt+crowdFor))
			f.record.printf("these clients have left")
		})
	}
	var mu sync.Mutex
	taken, unready := []time.Time{began}, 0
	for client := range clients {
		group.Go(func() {
			for i := 0; time.Now().Before(end); i++ {
				r := f.send(front, request{method: http.MethodGet, host: "boards.example", target: fmt.Sprintf("/board/%d-%d", client, i), patience: 2 * time.Second})
				f.record.printf("client %d: request %s, sent at %.3f s: status %d, error %v", client, r.id, f.record.at(r.sent), r.status, r.err)
				if r.status != 0 {
					mu.Lock()
					taken = append(taken, r.sent)
					mu.Unlock()
				}
				time.Sleep(interval)
			}
		})
	}
	group.Go(func() {
		for time.Now().Before(end) {
			if !front.ready() {
				unready++
				f.record.printf("the node is not ready")
			}
			time.Sleep(time.Second)
		}
	})
	group.Wait()
	if !front.alive() {
		return []string{"the node's process has ended"}, nil
	}
	if unready > 0 {
		return nil, fmt.Errorf("the node was not ready %d times", unready)
	}
	slices.SortFunc(taken, time.Time.Compare)
	taken = append(taken, end)
	var broken []string
	for i, at := range taken[1:] {
		if gap := at.Sub(taken[i]); gap > stable {
			broken = append(broken, fmt.Sprintf("from %.3f s to %.3f s the ready node took no new connection, while %d clients tried", f.record.at(taken[i]), f.record.at(at), clients))
		}
	}
	return broken, nil
}

// crowd keeps connections open until the end, on each of which half of a body was sent. A
// client whose connection is closed opens another one.
func (f *fleet) crowd(v *vm, size int, end time.Time) {
	var group sync.WaitGroup
	for i := range size {
		group.Go(func() {
			for time.Now().Before(end) {
				f.holdBody(v, i, end)
				time.Sleep(50 * time.Millisecond)
			}
		})
	}
	group.Wait()
}

func (f *fleet) holdBody(v *vm, client int, end time.Time) {
	conn, err := net.DialTimeout("tcp", v.outbound, time.Second)
	if err != nil {
		return
	}
	defer conn.Close()
	_ = conn.SetDeadline(end)
	_, _ = fmt.Fprintf(conn, "POST /public/%d HTTP/1.1\r\nHost: boards.example\r\n%s: %s\r\nContent-Length: 100\r\n\r\n%s",
		client, f.names.Heads["id"], nextID(), strings.Repeat("x", 50))
	_, _ = io.Copy(io.Discard, conn)
}
