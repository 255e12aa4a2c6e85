package main

import (
	"net/http"
	"time"
)

func init() { cases["odd-sequence"] = oddSequence }

// tooLargeSequence is a number that no server reaches with its heartbeats.
const tooLargeSequence = 1 << 62

// oddSequence has another writer send one heartbeat whose sequence number is too large,
// shortly before the server leaves. No request may reach the server later than the bound
// after its leaving was acknowledged.
func oddSequence(s *stage) (int, error) {
	const (
		drainBound = 2500 * time.Millisecond
		// lives is how much longer than the bound the server serves.
		lives     = 4 * time.Second
		oddAt     = 6 * time.Second
		leaveWait = time.Second
		interval  = 30 * time.Millisecond
		deadline  = 5 * time.Second
	)
	work := 20 * time.Millisecond
	if err := s.deploy(
		vm{"riga-vecriga", "quotes", 64, work}, vm{"riga-centrs", "quotes", 64, work}, vm{"riga-vecriga", "tills", 80, work},
	); err != nil {
		return failed, err
	}
	end := make(chan struct{})
	go func() {
		client := newClient()
		for !closed(end) {
			send(s.record, client, s.nodes[0], request{method: http.MethodGet, path: "/quotes/fare", deadline: deadline})
			time.Sleep(interval)
		}
	}()
	time.Sleep(oddAt)
	leaving := s.servers[0]
	if s.trouble {
		odd := leaving.beatBody(tooLargeSequence)
		s.add("another writer sends a heartbeat with the number %d, acknowledged %t", int64(tooLargeSequence), post(s.nodes[0].control, names["beat"]+leaving.instance, odd))
	}
	time.Sleep(leaveWait)
	acknowledged := leaving.drain()
	s.add("the leaving of server %s is acknowledged", leaving.instance)
	time.Sleep(drainBound + lives)
	late := leaving.runsSince(acknowledged.Add(drainBound))
	close(end)
	last := time.Duration(0)
	for _, r := range late {
		last = r.at.Sub(acknowledged)
	}
	s.conclude("%d requests reached the leaving server later than %s after the acknowledgement, the last %s after it", len(late), drainBound, last.Round(time.Millisecond))
	if len(late) > 0 {
		return broken, nil
	}
	return held, nil
}
