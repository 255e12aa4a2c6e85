package main

import (
	"net/http"
	"sync"
	"time"
)

func init() { cases["odd-beat"] = oddBeat }

// tooManySlots is a number that no server has and that fits into 64 bits.
const tooManySlots = 1 << 61

// oddBeat has another writer send one heartbeat whose number of slots is too large. The
// heartbeat names no server to use; requests must be answered as before.
func oddBeat(s *stage) (int, error) {
	const (
		routeTimeout = 1500 * time.Millisecond
		slack        = 500 * time.Millisecond
		deadline     = 5 * time.Second
		interval     = 50 * time.Millisecond
		length       = 14 * time.Second
		troubleAt    = 7 * time.Second
	)
	work := 40 * time.Millisecond
	if err := s.deploy(
		vm{"riga-vecriga", "quotes", 64, work}, vm{"riga-centrs", "quotes", 64, work}, vm{"riga-vecriga", "tills", 80, work},
	); err != nil {
		return failed, err
	}
	var group sync.WaitGroup
	var mu sync.Mutex
	var results []result
	client := newClient()
	started, sentOdd := time.Now(), false
	for time.Since(started) < length {
		if s.trouble && !sentOdd && time.Since(started) > troubleAt {
			sentOdd = true
			// It is the server's last heartbeat with the next number and too many slots.
			odd := s.servers[0].beatBody(s.servers[0].seq.Load() + 1)
			odd["slots"] = tooManySlots
			s.add("another writer sends a heartbeat with %d slots, acknowledged %t", int64(tooManySlots), post(s.nodes[0].control, names["beat"]+s.servers[0].instance, odd))
		}
		group.Go(func() {
			got := send(s.record, client, s.nodes[0], request{method: http.MethodGet, path: "/quotes/fare", deadline: deadline})
			mu.Lock()
			defer mu.Unlock()
			results = append(results, got)
		})
		time.Sleep(interval)
	}
	group.Wait()
	long, late, none := 0, 0, 0
	for _, got := range results {
		if got.took > routeTimeout {
			long++
		}
		if got.took > routeTimeout+slack {
			late++
		}
		if got.err != nil {
			none++
		}
	}
	s.conclude("%d requests; %d lasted longer than the route's time-out, %d of them over 0.5 s longer; %d got no answer at all", len(results), long, late, none)
	if late >= 8 && 4*late > long {
		return broken, nil
	}
	return held, nil
}
