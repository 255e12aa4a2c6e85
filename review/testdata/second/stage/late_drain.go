package main

import (
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

func init() { cases["late-drain"] = lateDrain }

// lateDrain has one of three servers turn slow while many clients come, and leave while
// requests wait for it. No request may reach it
// later than the bound after its leaving was acknowledged.
func lateDrain(s *stage) (int, error) {
	const (
		drainBound = 2500 * time.Millisecond
		// lives is how much longer than the bound the server serves.
		lives    = 1500 * time.Millisecond
		deadline = 8 * time.Second
		slots    = 29
		work     = 640 * time.Millisecond
		slowness = 6
		slowFor  = 9 * time.Second
		spread   = 0.3
		// perSecond is 0.94 of what the servers serve while none is slow; burst multiplies
		// it for burstFor.
		perSecond = 128.
		burst     = 1.8
		burstFor  = 6500 * time.Millisecond
		length    = 16 * time.Second
		slowAt    = 3 * time.Second
		drainAt   = 9 * time.Second
	)
	if err := s.deploy(
		vm{"riga-vecriga", "boards", slots, work}, vm{"riga-centrs", "boards", slots, work}, vm{"riga-vecriga", "boards", slots, work},
	); err != nil {
		return failed, err
	}
	for _, srv := range s.servers {
		srv.spread = spread
	}
	var group sync.WaitGroup
	var mu sync.Mutex
	results := map[string]result{}
	client, started := newClient(), time.Now()
	group.Go(func() {
		for i := 0; time.Since(started) < length; i++ {
			n := s.nodes[i%len(s.nodes)]
			group.Go(func() {
				got := send(s.record, client, n, request{method: http.MethodGet, path: "/boards/view", deadline: deadline})
				mu.Lock()
				defer mu.Unlock()
				results[got.id] = got
			})
			rate := perSecond
			if since := time.Since(started); s.trouble && since > slowAt && since < slowAt+burstFor {
				rate *= burst
			}
			time.Sleep(time.Duration(rand.ExpFloat64() * float64(time.Second) / rate))
		}
	})
	slow := s.servers[0]
	time.Sleep(slowAt)
	if s.trouble {
		for _, srv := range s.servers[:1] {
			srv.work.Store(int64(slowness * work))
			time.AfterFunc(slowFor, func() { srv.work.Store(int64(work)) })
			s.add("server %s works %d times as long for %s", srv.instance, slowness, slowFor)
		}
	}
	time.Sleep(drainAt - slowAt)
	acknowledged := slow.drain()
	s.add("the leaving of server %s is acknowledged", slow.instance)
	time.Sleep(drainBound + lives)
	late := slow.runsSince(acknowledged.Add(drainBound))
	slow.deregister()
	slow.end()
	s.add("server %s has ended", slow.instance)
	group.Wait()
	lost := 0
	for _, r := range late {
		s.add("late: %s reached the server %s after the acknowledgement; its client got %d", r.id, r.at.Sub(acknowledged).Round(time.Millisecond), results[r.id].status)
		if results[r.id].status != http.StatusOK {
			lost++
		}
	}
	s.conclude("%d requests reached the leaving server later than %s after the acknowledgement, %d of them got no success", len(late), drainBound, lost)
	if len(late) > 0 {
		return broken, nil
	}
	return held, nil
}
