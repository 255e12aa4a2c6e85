package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"
)

// playPopular adds a route, and crashes two servers of its service shortly after each other
// while all of them run the same sound request for many clients. In steady state after that,
// the route must not be served less than a quarter as often as the first one.
func playPopular(f *fleet, trouble bool) ([]string, error) {
	const (
		servers   = 7
		boardWork = 640 * time.Millisecond
		boardRate = 40
		quoteRate = 60
		crashAt   = 3 * time.Second
		crashGap  = 300 * time.Millisecond
		crashFor  = 4500 * time.Millisecond
		stable    = 4 * time.Second
		steadyAt  = crashAt + crashGap + crashFor + stable
		length    = 40 * time.Second
		// leastShare is the part of the first route's share below which the rule is broken,
		// and leastAsked the number of requests from which it binds.
		leastShare, leastAsked = 0.25, 20
	)
	first, err := withoutResource(f.names.Config, "r-board", "00000005")
	if err != nil {
		return nil, err
	}
	f.store.put(f.names.ConfigKey, first)
	front, err := f.add("quotes-1", "riga-vecriga", "quotes", 64, 160*time.Millisecond)
	if err != nil {
		return nil, err
	}
	var boards []*vm
	for i := range servers {
		v, err := f.add(fmt.Sprintf("boards-%d", i+1), "riga-centrs", "boards", 29, boardWork)
		if err != nil {
			return nil, err
		}
		boards = append(boards, v)
	}
	if err := f.settle(front, "boards.example", "/quote/1"); err != nil {
		return nil, err
	}
	f.store.put(f.names.ConfigKey, f.names.Config)
	f.record.printf("a version that adds the route of /board/ is acknowledged")
	if err := f.settle(front, "boards.example", "/board/1"); err != nil {
		return nil, err
	}
	began := time.Now()
	var group sync.WaitGroup
	for i, v := range boards[:2] {
		if !trouble {
			break
		}
		group.Go(func() {
			time.Sleep(crashAt + time.Duration(i)*crashGap)
			f.record.printf("server %s crashes", v.server.instance)
			v.server.silent.Store(true)
			v.server.close()
			time.Sleep(crashFor)
			if err := v.restartServer(); err != nil {
				f.record.printf("%s", err)
			}
			f.record.printf("server %s is started", v.server.instance)
		})
	}
	var mu sync.Mutex
	asked, served := map[string]int{}, map[string]int{}
	send := func(kind, target string) {
		r := f.send(front, request{method: http.MethodGet, host: "boards.example", target: target, patience: 5 * time.Second})
		f.record.printf("request %s for %s, sent at %.3f s: status %d, error %v", r.id, target, f.record.at(r.sent), r.status, r.err)
		if r.sent.Sub(began) < steadyAt {
			return
		}
		mu.Lock()
		defer mu.Unlock()
		asked[kind]++
		if r.status == http.StatusOK && r.signed && r.err == nil {
			served[kind]++
		}
	}
	each := func(rate int, send func(i int)) {
		for i := 0; time.Since(began) < length; i++ {
			time.Sleep(time.Until(began.Add(time.Duration(i) * time.Second / time.Duration(rate))))
			group.Go(func() { send(i) })
		}
	}
	group.Go(func() { each(boardRate, func(int) { send("board", "/board/waiting") }) })
	group.Go(func() { each(quoteRate, func(i int) { send("quote", fmt.Sprintf("/quote/%d", i)) }) })
	time.Sleep(length)
	group.Wait()
	share := func(kind string) float64 { return float64(served[kind]) / float64(max(1, asked[kind])) }
	f.record.printf("in steady state: %d of %d served on the added route, %d of %d on the first one", served["board"], asked["board"], served["quote"], asked["quote"])
	if asked["board"] >= leastAsked && share("board") < leastShare*share("quote") {
		return []string{fmt.Sprintf("in steady state %d of %d requests on the added route were served, and %d of %d on the first one",
			served["board"], asked["board"], served["quote"], asked["quote"])}, nil
	}
	return nil, nil
}

// withoutResource returns the configuration without one of its resources, as a version of
// its own.
func withoutResource(config []byte, name, version string) ([]byte, error) {
	var document map[string]any
	if err := json.Unmarshal(config, &document); err != nil {
		return nil, err
	}
	resources, _ := document["resources"].([]any)
	document["version"], document["resources"] = version, slices.DeleteFunc(resources, func(r any) bool {
		return lookup("metadata.name", r) == name
	})
	return json.Marshal(document)
}
