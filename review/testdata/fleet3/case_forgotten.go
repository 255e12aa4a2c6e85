package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// drainTime is how long a leaving server may get requests after the acknowledgement.
const drainTime = 2500 * time.Millisecond

// playForgottenLeave has the store fail while a server gives notice of leaving, and kills
// all nodes after that was acknowledged. A heartbeat from before the notice comes late. The
// server may get no requests of machines in touch later than the drain time after the
// acknowledgement.
func playForgottenLeave(f *fleet, trouble bool) ([]string, error) {
	const (
		rate      = 20
		outageAt  = 2 * time.Second
		outageFor = 1500 * time.Millisecond
		leaveAt   = outageAt + 500*time.Millisecond
		killAt    = leaveAt + 700*time.Millisecond
		startAt   = killAt + 500*time.Millisecond
		beatAt    = leaveAt + 3*time.Second
		length    = leaveAt + 10*time.Second
		stable    = 4 * time.Second
	)
	front, err := f.add("front", "riga-vecriga", "quotes", 64, 160*time.Millisecond)
	if err != nil {
		return nil, err
	}
	leaving, err := f.add("boards-1", "riga-vecriga", "boards", 29, 100*time.Millisecond)
	if err != nil {
		return nil, err
	}
	if _, err := f.add("boards-2", "riga-centrs", "boards", 29, 100*time.Millisecond); err != nil {
		return nil, err
	}
	if err := f.settle(front, "boards.example", "/board/1"); err != nil {
		return nil, err
	}
	began := time.Now()
	var group sync.WaitGroup
	var inTouch time.Time
	if trouble {
		group.Go(func() {
			time.Sleep(outageAt)
			f.record.printf("the store is down")
			f.store.setDown(true)
			time.Sleep(outageFor)
			f.store.setDown(false)
			f.record.printf("the store is back")
		})
		group.Go(func() {
			time.Sleep(killAt)
			f.record.printf("all nodes are killed")
			for _, v := range f.vms {
				v.kill()
			}
			time.Sleep(time.Until(began.Add(startAt)))
			for _, v := range f.vms {
				if err := v.startNode(); err != nil {
					f.record.printf("%s", err)
				}
			}
			f.record.printf("all nodes are started again")
			inTouch = time.Now().Add(stable)
		})
	}
	var acked time.Time
	group.Go(func() {
		late := leaving.server.nextBeat()
		time.Sleep(leaveAt)
		var err error
		if acked, err = leaving.server.leave(); err != nil {
			f.record.printf("%s", err)
			return
		}
		f.record.printf("the notice of leaving of %s is acknowledged", leaving.server.instance)
		time.Sleep(time.Until(began.Add(beatAt)))
		ok := leaving.server.tell(f.names.Calls["beat"], late)
		f.record.printf("a heartbeat that %s sent before its notice arrives; acknowledged: %t", leaving.server.instance, ok)
	})
	for i := 0; time.Since(began) < length; i++ {
		time.Sleep(time.Until(began.Add(time.Duration(i) * time.Second / rate)))
		group.Go(func() {
			r := f.send(front, request{method: http.MethodGet, host: "boards.example", target: fmt.Sprintf("/board/%d", i), patience: 4 * time.Second})
			f.record.printf("request %s, sent at %.3f s: status %d, error %v", r.id, f.record.at(r.sent), r.status, r.err)
		})
	}
	group.Wait()
	if acked.IsZero() {
		return nil, fmt.Errorf("the notice of leaving was not acknowledged")
	}
	var broken []string
	for _, r := range leaving.server.allRuns() {
		after := r.arrived.Sub(acked)
		if after <= 0 {
			continue
		}
		f.record.printf("request %s reached %s %d ms after the acknowledgement, at %.3f s", r.id, leaving.server.instance, after.Milliseconds(), f.record.at(r.arrived))
		if after > drainTime && r.arrived.After(inTouch) {
			broken = append(broken, fmt.Sprintf("request %s reached %s %d ms after its leaving was acknowledged, with all machines in touch", r.id, leaving.server.instance, after.Milliseconds()))
		}
	}
	return broken, nil
}
