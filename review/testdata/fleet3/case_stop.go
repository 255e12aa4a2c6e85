package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// playStopPublic stops the node of a machine as planned, whose clients send requests without
// a key on a public route all the while. None that was passed on may end without a complete
// answer of its server.
func playStopPublic(f *fleet, trouble bool) ([]string, error) {
	const (
		slots        = 80
		longWork     = 5 * time.Second
		longRate     = 24
		publicWork   = 2500 * time.Millisecond
		publicRate   = 20
		publicWaits  = 4200 * time.Millisecond
		stopAt       = 7 * time.Second
		length       = stopAt + 5*time.Second
		grace        = 6 * time.Second
		excusedUntil = 3 * time.Second
	)
	var vms []*vm
	for i, zone := range []string{"riga-vecriga", "riga-centrs", "riga-centrs"} {
		v, err := f.add(fmt.Sprintf("boards-%d", i+1), zone, "boards", slots, publicWork)
		if err != nil {
			return nil, err
		}
		v.server.workOf = map[string]time.Duration{"/board/": longWork}
		vms = append(vms, v)
	}
	stopped := vms[0]
	if err := f.settle(stopped, "boards.example", "/board/1", "/public/1"); err != nil {
		return nil, err
	}
	began := time.Now()
	var stoppedAt time.Time
	var group sync.WaitGroup
	if trouble {
		group.Go(func() {
			time.Sleep(stopAt)
			stoppedAt = time.Now()
			f.record.printf("SIGTERM to the node of %s", stopped.name)
			_ = stopped.process.Process.Signal(syscall.SIGTERM)
			select {
			case <-stopped.exited:
				f.record.printf("the node of %s has ended", stopped.name)
			case <-time.After(grace):
				stopped.kill()
				f.record.printf("the node of %s is killed at the end of its grace", stopped.name)
			}
		})
	}
	var mu sync.Mutex
	var public []result
	each := func(rate int, until time.Duration, send func(i int)) {
		for i := 0; time.Since(began) < until; i++ {
			time.Sleep(time.Until(began.Add(time.Duration(i) * time.Second / time.Duration(rate))))
			group.Go(func() { send(i) })
		}
	}
	group.Go(func() {
		each(longRate, stopAt, func(i int) {
			r := f.send(vms[i%len(vms)], request{method: http.MethodGet, host: "boards.example", target: fmt.Sprintf("/board/%d", i), patience: 8 * time.Second})
			f.record.printf("request %s with a key, sent at %.3f s: status %d, error %v", r.id, f.record.at(r.sent), r.status, r.err)
		})
	})
	group.Go(func() {
		each(publicRate, length, func(i int) {
			// Every other one may not be repeated.
			method, target := http.MethodGet, fmt.Sprintf("/public/%d", i)
			if i%2 == 0 {
				method, target = http.MethodPost, fmt.Sprintf("/order/%d", i)
			}
			r := f.send(stopped, request{method: method, host: "boards.example", target: target, patience: publicWaits, keyless: true})
			f.record.printf("request %s without a key, %s %s, sent at %.3f s: status %d, signed %t, error %v", r.id, method, target, f.record.at(r.sent), r.status, r.signed, r.err)
			mu.Lock()
			defer mu.Unlock()
			public = append(public, r)
		})
	})
	time.Sleep(length)
	group.Wait()
	ran := map[string]run{}
	for _, v := range vms {
		for _, r := range v.server.allRuns() {
			ran[r.id] = r
		}
	}
	var broken []string
	for _, r := range public {
		begun, ok := ran[r.id]
		if !ok || r.signed && r.err == nil || r.ended.Sub(r.sent) >= publicWaits {
			continue
		}
		line := fmt.Sprintf("request %s (%s %s), sent at %.3f s, was passed on at %.3f s and ended at %.3f s with status %d, error %v",
			r.id, begun.method, begun.target, f.record.at(r.sent), f.record.at(begun.arrived), f.record.at(r.ended), r.status, r.err)
		if !trouble || r.sent.Sub(stoppedAt) > excusedUntil {
			broken = append(broken, fmt.Sprintf("%s; it was sent %d ms after the SIGTERM", line, r.sent.Sub(stoppedAt).Milliseconds()))
		} else {
			f.record.printf("excused: %s", line)
		}
	}
	return broken, nil
}
