package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// drainTime is how long a leaving server may get requests after the acknowledgement.
const drainTime = 2500 * time.Millisecond

// playDrainQueue has the servers of a service turn slow, so that requests wait for them,
// and one of them leave meanwhile. No request may reach it later than the drain time
// after its leaving was acknowledged.
func playDrainQueue(f *fleet, trouble bool) ([]string, error) {
	const (
		slots    = 29
		work     = 320 * time.Millisecond
		rate     = 120
		slowAt   = 2 * time.Second
		slowFor  = 9 * time.Second
		drainAt  = slowAt + 5100*time.Millisecond
		length   = drainAt + 5*time.Second
		slowness = 12
	)
	front, err := f.add("front", "riga-vecriga", "quotes", 64, 160*time.Millisecond)
	if err != nil {
		return nil, err
	}
	leaving, err := f.add("boards-1", "riga-vecriga", "boards", slots, work)
	if err != nil {
		return nil, err
	}
	staying, err := f.add("boards-2", "riga-centrs", "boards", slots, work)
	if err != nil {
		return nil, err
	}
	if err := f.settle(front, "boards.example", "/board/1"); err != nil {
		return nil, err
	}
	began := time.Now()
	if trouble {
		time.AfterFunc(slowAt, func() {
			f.record.printf("the servers of the service turn %d times as slow", slowness)
			leaving.server.slowness.Store(slowness)
			staying.server.slowness.Store(slowness)
		})
		time.AfterFunc(slowAt+slowFor, func() {
			f.record.printf("the servers are as fast as before")
			leaving.server.slowness.Store(1)
			staying.server.slowness.Store(1)
		})
	}
	var group sync.WaitGroup
	drained := make(chan time.Time, 1)
	group.Go(func() {
		time.Sleep(drainAt)
		f.record.printf("server %s reports that it leaves", leaving.server.instance)
		acked, err := leaving.server.drain()
		if err != nil {
			f.record.printf("%s", err)
		}
		drained <- acked
	})
	counts, mu := map[string]int{}, sync.Mutex{}
	for i := 0; time.Since(began) < length; i++ {
		time.Sleep(time.Until(began.Add(time.Duration(i) * time.Second / rate)))
		group.Go(func() {
			r := f.send(front, request{method: http.MethodGet, host: "boards.example", target: fmt.Sprintf("/board/%d", i), patience: 8 * time.Second})
			mu.Lock()
			counts[fmt.Sprint(r.status)]++
			mu.Unlock()
			f.record.printf("request %s, sent at %.3f s: status %d, error %v", r.id, f.record.at(r.sent), r.status, r.err)
		})
	}
	group.Wait()
	acked := <-drained
	if acked.IsZero() {
		return nil, fmt.Errorf("the notice of leaving was not acknowledged")
	}
	f.record.printf("the leaving of %s was acknowledged at %.3f s; answers by status: %v", leaving.server.instance, f.record.at(acked), counts)
	var broken []string
	for _, r := range leaving.server.allRuns() {
		after := r.arrived.Sub(acked)
		if after > 0 {
			f.record.printf("request %s reached %s %d ms after the acknowledgement", r.id, leaving.server.instance, after.Milliseconds())
		}
		if after > drainTime {
			broken = append(broken, fmt.Sprintf("request %s reached %s %d ms after its leaving was acknowledged", r.id, leaving.server.instance, after.Milliseconds()))
		}
	}
	return broken, nil
}
