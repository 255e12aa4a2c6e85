package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// playRefusedRestart has the store turn one machine away after a server there has left, and
// restarts its node. A heartbeat from before the notice comes late. The node has acknowledged
// the notice, so its server may get no requests later than the drain time after that.
func playRefusedRestart(f *fleet, trouble bool) ([]string, error) {
	const (
		rate      = 20
		leaveAt   = 2 * time.Second
		refuseAt  = leaveAt + 500*time.Millisecond
		refuseFor = 9 * time.Second
		killAt    = leaveAt + 700*time.Millisecond
		startAt   = killAt + 500*time.Millisecond
		beatAt    = leaveAt + 3*time.Second
		length    = leaveAt + 10*time.Second
		stable    = 4 * time.Second
	)
	leaving, err := f.add("boards-1", "riga-vecriga", "boards", 29, 100*time.Millisecond)
	if err != nil {
		return nil, err
	}
	if _, err := f.add("boards-2", "riga-centrs", "boards", 29, 100*time.Millisecond); err != nil {
		return nil, err
	}
	if err := f.settle(leaving, "boards.example", "/board/1"); err != nil {
		return nil, err
	}
	began := time.Now()
	var group sync.WaitGroup
	var inTouch time.Time
	if trouble {
		group.Go(func() {
			time.Sleep(refuseAt)
			f.record.printf("the store turns %s away", leaving.name)
			f.store.refuse(leaving.ip)
			time.Sleep(refuseFor)
			f.store.refuse("")
			f.record.printf("the store serves %s again", leaving.name)
		})
		group.Go(func() {
			time.Sleep(killAt)
			leaving.kill()
			f.record.printf("the node of %s is killed", leaving.name)
			time.Sleep(time.Until(began.Add(startAt)))
			if err := leaving.startNode(); err != nil {
				f.record.printf("%s", err)
			}
			f.record.printf("it is started again")
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
			r := f.send(leaving, request{method: http.MethodGet, host: "boards.example", target: fmt.Sprintf("/board/%d", i), patience: 4 * time.Second})
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
			broken = append(broken, fmt.Sprintf("request %s reached %s %d ms after its leaving was acknowledged", r.id, leaving.server.instance, after.Milliseconds()))
		}
	}
	return broken, nil
}
