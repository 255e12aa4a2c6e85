package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	key       = "key-that-stays"
	secondKey = "key-that-is-withdrawn"
)

// Bounds of the deployment, as in fields.tmpl.
const (
	stable      = 4 * time.Second
	drain       = 2500 * time.Millisecond
	configApply = 2500 * time.Millisecond
	lossSlack   = 200 * time.Millisecond
	grace       = 6 * time.Second
	// A request sent by mayOutlast after a SIGTERM, at which its server is still at
	// work in the last sixth of the grace, may be cut.
	mayOutlast = 3 * time.Second
	lastSixth  = grace - grace/6
)

// traffic sends requests at a steady rate until it is stopped.
type traffic struct {
	mu      sync.Mutex
	results []result
	stopped atomic.Bool
	group   sync.WaitGroup
}

// start begins to send perSecond requests a second. request sends one.
func (t *traffic) start(perSecond int, request func() result) {
	t.group.Go(func() {
		ticker := time.NewTicker(time.Second / time.Duration(perSecond))
		defer ticker.Stop()
		for range ticker.C {
			if t.stopped.Load() {
				return
			}
			t.group.Go(func() {
				got := request()
				t.mu.Lock()
				defer t.mu.Unlock()
				t.results = append(t.results, got)
			})
		}
	})
}

// stop ends the sending and returns the results of all requests.
func (t *traffic) stop() []result {
	t.stopped.Store(true)
	t.group.Wait()
	return t.results
}

// startVMs starts the store and machines, one for each zone, and waits until
// all of them serve.
func (f *fleet) startVMs(work time.Duration, zones ...string) error {
	if f.store == nil {
		if err := f.startStore(); err != nil {
			return err
		}
	}
	if err := f.configure(key, secondKey); err != nil {
		return err
	}
	const slots = 64
	for _, zone := range zones {
		if _, err := f.addVM(zone, slots, work, f.store.address); err != nil {
			return err
		}
	}
	return f.awaitServing(key)
}

// setFaults has all servers decline a share of their requests, and two of them
// send a share of their answers twice.
func (f *fleet) setFaults(declined, copied float64) {
	f.rec.note("all servers decline %.2f of their requests, %s and %s send %.2f of their answers twice", declined, f.vms[0].server.instance, f.vms[1].server.instance, copied)
	for i, v := range f.vms {
		if i >= 2 {
			copied = 0
		}
		v.server.setFaults(declined, copied)
	}
}

// playSecondCopy has servers send some of their answers a second time, when the
// next request has arrived on the connection. With and without that, they decline
// some requests.
func playSecondCopy(f *fleet, trouble bool) (bool, error) {
	const (
		episodes      = 3
		garbleTime    = 5 * time.Second
		declineTime   = 8500 * time.Millisecond
		pause         = 3 * time.Second
		declinedShare = 0.55
		copiedShare   = 0.03
		perSecond     = 200
	)
	if err := f.startVMs(40*time.Millisecond, "a", "b", "c", "d"); err != nil {
		return false, err
	}
	var t traffic
	t.start(perSecond, func() result {
		v := f.vms[rand.IntN(len(f.vms))]
		return send(f.rec, v.Outbound, http.MethodPost, "/order/x", key, "an order")
	})
	for range episodes {
		time.Sleep(pause)
		f.setFaults(declinedShare, 0)
		if trouble {
			f.setFaults(declinedShare, copiedShare)
		}
		time.Sleep(garbleTime)
		f.setFaults(declinedShare, 0)
		time.Sleep(declineTime - garbleTime)
		f.setFaults(0, 0)
	}
	time.Sleep(pause)
	results := t.stop()
	runs := map[string][]string{}
	for _, a := range f.arrivals() {
		if a.ran && a.method == http.MethodPost {
			runs[a.id] = append(runs[a.id], a.instance)
		}
	}
	twice, refused := 0, 0
	for _, r := range results {
		if n := len(runs[r.id]); n > 1 {
			twice++
			f.rec.note("TWICE: request %s ran on %v", r.id, runs[r.id])
		}
		promised := slices.Contains([]int{http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable}, r.status)
		if promised && len(runs[r.id]) > 0 {
			refused++
			f.rec.note("REFUSED: request %s was answered %d and ran on %v", r.id, r.status, runs[r.id])
		}
	}
	f.rec.note("%d requests that are not idempotent: %d ran more than once, %d were refused as not run and ran", len(results), twice, refused)
	return twice == 0 && refused == 0, nil
}

// playHangup stops a node and sends it SIGHUP while it finishes its requests.
func playHangup(f *fleet, trouble bool) (bool, error) {
	const (
		work        = 1200 * time.Millisecond
		perSecond   = 20
		hangupAfter = time.Second
		probePause  = time.Second
	)
	if err := f.startVMs(work, "a", "b"); err != nil {
		return false, err
	}
	v := f.vms[0]
	var t traffic
	var out atomic.Bool
	t.start(perSecond, func() result {
		if out.Load() {
			return result{refusedConn: true}
		}
		return send(f.rec, v.Outbound, http.MethodPost, "/order/x", key, "an order")
	})
	time.Sleep(stable + time.Second)
	terminated := time.Now()
	v.signal(syscall.SIGTERM)
	if trouble {
		time.AfterFunc(hangupAfter, func() { v.signal(syscall.SIGHUP) })
	}
	for misses := 0; misses < 2; {
		time.Sleep(probePause)
		if v.ready() {
			misses = 0
			continue
		}
		misses++
		f.rec.note("readiness probe of %s: miss %d", v.Name, misses)
	}
	out.Store(true)
	select {
	case <-v.exited:
	case <-time.After(8 * time.Second):
		return false, fmt.Errorf("node %s did not stop", v.Name)
	}
	f.rec.note("node %s was there for %.1f s after SIGTERM", v.Name, time.Since(terminated).Seconds())
	reached := map[string]bool{}
	for _, a := range f.arrivals() {
		reached[a.id] = true
	}
	sent, lost := 0, 0
	for _, r := range t.stop() {
		if r.refusedConn {
			continue
		}
		sent++
		if !r.whole && (reached[r.id] || r.ended.Sub(r.sent) > lossSlack) {
			lost++
			f.rec.note("LOST: request %s, passed on to a server: %t, ended after %.3f s without an answer (%s)", r.id, reached[r.id], r.ended.Sub(r.sent).Seconds(), r.failure)
		}
	}
	f.rec.note("%d requests, %d lost", sent, lost)
	return lost == 0, nil
}

// playDeparture restarts a node whose server gives notice of leaving meanwhile. A
// heartbeat that the server sent before the notice arrives late.
func playDeparture(f *fleet, trouble bool) (bool, error) {
	const (
		perSecond    = 60
		beatAfter    = 1800 * time.Millisecond
		beatDelay    = 3 * time.Second
		noticeAfter  = 200 * time.Millisecond
		restartAfter = time.Second
		servesFor    = 10 * time.Second
	)
	if err := f.startVMs(30*time.Millisecond, "a", "b", "c"); err != nil {
		return false, err
	}
	v := f.vms[0]
	s := v.server
	var t traffic
	var out atomic.Bool
	t.start(perSecond, func() result {
		entry := f.vms[rand.IntN(len(f.vms))]
		if entry == v && out.Load() {
			return result{refusedConn: true}
		}
		return send(f.rec, entry.Outbound, http.MethodGet, "/read/x", key, "")
	})
	time.Sleep(stable + time.Second)
	v.beating.Store(false)
	started := v.started
	restarted := make(chan error, 1)
	if !trouble {
		restarted <- nil
	} else {
		exited := v.exited
		v.signal(syscall.SIGTERM)
		go func() {
			<-exited
			time.Sleep(restartAfter)
			restarted <- v.start()
		}()
		// Its clients have no answer from it until it is back.
		time.AfterFunc(2*time.Second, func() { out.Store(true) })
	}
	time.Sleep(beatAfter)
	path, body := s.heartbeat()
	f.rec.note("server %s sends a heartbeat, which will arrive %.1f s late", s.instance, beatDelay.Seconds())
	time.AfterFunc(beatDelay, func() {
		f.rec.note("the late heartbeat arrives; acknowledged: %t", post(v.Control, path, body))
	})
	time.Sleep(noticeAfter)
	if !post(v.Control, names.Leave+s.instance, fmt.Sprintf(`{"born":%d}`, s.born)) {
		return false, fmt.Errorf("the notice of leaving was not acknowledged")
	}
	acknowledged := time.Now()
	f.rec.note("node %s has acknowledged that server %s leaves", v.Name, s.instance)
	if err := <-restarted; err != nil {
		return false, err
	}
	if trouble {
		started = v.started
		time.Sleep(restartAfter)
		out.Store(false)
	}
	time.Sleep(time.Until(acknowledged.Add(servesFor)))
	t.stop()
	s.exit()
	f.rec.note("server %s has ended", s.instance)
	late, inTouch := 0, 0
	for _, a := range s.seen() {
		if !a.ran || !a.at.After(acknowledged.Add(drain)) {
			continue
		}
		late++
		if a.at.After(started.Add(stable)) {
			inTouch++
			f.rec.add("DRAIN: request %s reached server %s %.2f s after the acknowledgement and %.2f s after the start of the node beside it", a.id, s.instance, a.at.Sub(acknowledged).Seconds(), a.at.Sub(started).Seconds())
		}
	}
	f.rec.note("%d requests reached the server later than %.1f s after the acknowledgement, %d of them through nodes in touch", late, drain.Seconds(), inTouch)
	return inTouch == 0, nil
}

// playIdleWatch silences the connections to the store that have been idle for
// some seconds, as a middlebox does that has forgotten them, and then withdraws a
// key.
func playIdleWatch(f *fleet, trouble bool) (bool, error) {
	const (
		idleAfter   = 5 * time.Second
		changeAfter = stable + time.Second
		judgedFor   = 10 * time.Second
		probePause  = 250 * time.Millisecond
	)
	if err := f.startStore(); err != nil {
		return false, err
	}
	proxy, err := startProxy(f.store.address, f.rec)
	if err != nil {
		return false, err
	}
	defer proxy.close()
	f.store.address = proxy.address
	if err := f.startVMs(30*time.Millisecond, "a", "a", "a", "b"); err != nil {
		return false, err
	}
	time.Sleep(stable)
	// A change that all nodes take restarts their watches.
	if err := f.configure(key, secondKey); err != nil {
		return false, err
	}
	time.Sleep(idleAfter + time.Second)
	if trouble {
		proxy.silenceIdle(idleAfter)
	}
	time.Sleep(changeAfter)
	if err := f.configure(key); err != nil {
		return false, err
	}
	changed := time.Now()
	time.Sleep(configApply + probePause)
	served, other := 0, 0
	last := map[string]time.Time{}
	for time.Since(changed) < configApply+judgedFor {
		for _, v := range f.vms {
			got := send(f.rec, v.Outbound, http.MethodGet, "/read/x", secondKey, "")
			if got.status != http.StatusOK {
				other++
				continue
			}
			served++
			last[v.Name] = got.sent
			f.rec.add("CONFIG: node %s served request %s with the withdrawn key %.2f s after the acknowledgement", v.Name, got.id, got.sent.Sub(changed).Seconds())
		}
		time.Sleep(probePause)
	}
	for name, at := range last {
		f.rec.note("node %s served the withdrawn key until %.1f s after the acknowledgement", name, at.Sub(changed).Seconds())
	}
	f.rec.note("%d requests with the withdrawn key were served later than %.1f s after the acknowledgement, %d were not", served, configApply.Seconds(), other)
	return served == 0, nil
}

// playOpenRoute stops the only node of a zone, while its clients send requests on
// a public route. As fewer than half of the zone's nodes are in, these clients get
// new work all the while.
func playOpenRoute(f *fleet, trouble bool) (bool, error) {
	const (
		work         = time.Second
		perSecond    = 10
		restartAfter = time.Second
		planned      = grace + time.Second
	)
	if err := f.startVMs(work, "a", "a", "b"); err != nil {
		return false, err
	}
	v := f.vms[2]
	var t traffic
	t.start(perSecond, func() result { return send(f.rec, v.Outbound, http.MethodGet, "/open/x", "", "") })
	time.Sleep(stable + time.Second)
	terminated := time.Now()
	if trouble {
		v.signal(syscall.SIGTERM)
		<-v.exited
		time.Sleep(restartAfter)
		if err := v.start(); err != nil {
			return false, err
		}
	}
	time.Sleep(time.Until(terminated.Add(planned)))
	return f.judgeStop(t.stop(), terminated, work), nil
}

// judgeStop checks what became of the requests that a node took after its SIGTERM;
// servers work on each for the given time.
func (f *fleet) judgeStop(results []result, terminated time.Time, work time.Duration) bool {
	begun := map[string]time.Time{}
	for _, a := range f.arrivals() {
		if a.ran {
			begun[a.id] = a.at
		}
	}
	cut, replaced := 0, 0
	for _, r := range results {
		after, ended := r.sent.Sub(terminated), r.ended.Sub(terminated)
		atWork := !begun[r.id].IsZero() && r.ended.Before(begun[r.id].Add(work))
		switch {
		case r.refusedConn || r.sent.Before(terminated) || !atWork || (after <= mayOutlast && ended >= lastSixth):
		case !r.whole:
			cut++
			f.rec.note("LOST: request %s, sent %.2f s after the SIGTERM, ended %.2f s after it without an answer (%s), with a server at work on it", r.id, after.Seconds(), ended.Seconds(), r.failure)
		case !r.signed:
			replaced++
			f.rec.note("LOST: request %s, sent %.2f s after the SIGTERM, was given up %.2f s after it with a %d of the node's own, with a server at work on it", r.id, after.Seconds(), ended.Seconds(), r.status)
		}
	}
	f.rec.note("%d requests, %d cut without an answer, %d given up", len(results), cut, replaced)
	return cut == 0 && replaced == 0
}

// playFatal has a client send a request again and again that crashes the servers
// that run it.
func playFatal(f *fleet, trouble bool) (bool, error) {
	const (
		fatalPath = "/read/fatal"
		pause     = time.Second
		sendsFor  = 40 * time.Second
		perSecond = 40
	)
	if err := f.startVMs(200*time.Millisecond, "a", "b", "c", "d"); err != nil {
		return false, err
	}
	if trouble {
		for _, v := range f.vms {
			v.server.fatalPath = fatalPath
		}
	}
	var t traffic
	t.start(perSecond, func() result {
		v := f.vms[rand.IntN(len(f.vms))]
		return send(f.rec, v.Outbound, http.MethodPost, "/order/x", key, "an order")
	})
	time.Sleep(stable + time.Second)
	sent := map[string]time.Time{}
	for begin := time.Now(); time.Since(begin) < sendsFor; time.Sleep(pause) {
		v := f.vms[rand.IntN(len(f.vms))]
		got := send(f.rec, v.Outbound, http.MethodGet, fatalPath, key, "")
		sent[got.id] = got.sent
	}
	return f.judgeFatal(t.stop(), sent, fatalPath), nil
}

// judgeFatal checks on how many servers a fatal request ran after its third crash.
// results are those of other requests, sent are the sends of the fatal one.
func (f *fleet) judgeFatal(results []result, sent map[string]time.Time, fatalPath string) bool {
	const (
		fatalCrashes = 3
		maxRetries   = 3
	)
	var runs []arrival
	reached := map[string]bool{}
	for _, a := range f.arrivals() {
		reached[a.id] = a.ran
		if a.ran && a.path == fatalPath {
			runs = append(runs, a)
		}
	}
	slices.SortFunc(runs, func(a, b arrival) int { return a.at.Compare(b.at) })
	f.rec.note("%d sends of the fatal request, %d runs of it", len(sent), len(runs))
	if f.vms[0].server.fatalPath == "" || len(runs) < fatalCrashes {
		return true
	}
	third := runs[fatalCrashes-1].at
	retries := map[string]bool{}
	for _, a := range runs {
		if sent[a.id].After(third.Add(stable)) {
			retries[a.id] = true
			f.rec.add("BUDGET: retry %s reached server %s %.1f s after the third crash", a.id, a.instance, a.at.Sub(third).Seconds())
		}
	}
	lost := 0
	for _, r := range results {
		if r.status != http.StatusOK && reached[r.id] {
			lost++
		}
	}
	f.rec.note("%d retries reached servers later than %.0f s after the third crash; %d of %d orders of others ran at a server and were not answered", len(retries), stable.Seconds(), lost, len(results))
	return len(retries) <= maxRetries
}
