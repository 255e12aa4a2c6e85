package main

import (
	"fmt"
	"net/http"
	"time"
)

// playRawPath sends requests whose paths have a character that browsers do not escape. A
// server must get the path as the client sent it.
func playRawPath(f *fleet, trouble bool) ([]string, error) {
	front, err := f.add("front", "riga-vecriga", "quotes", 64, 160*time.Millisecond)
	if err != nil {
		return nil, err
	}
	boards, err := f.add("boards-1", "riga-centrs", "boards", 64, 40*time.Millisecond)
	if err != nil {
		return nil, err
	}
	if err := f.settle(front, "boards.example", "/board/1"); err != nil {
		return nil, err
	}
	sent := map[string]string{}
	for i := range 20 {
		bar := "%7C"
		if trouble {
			bar = "|"
		}
		id, target := nextID(), fmt.Sprintf("/board/hotel%%2Friga%s%d?from=a%%2Fb", bar, i)
		sent[id] = target
		r := f.send(front, request{id: id, method: http.MethodGet, host: "boards.example", target: target, patience: 4 * time.Second})
		f.record.printf("request %s for %s: status %d, error %v", id, target, r.status, r.err)
	}
	var broken []string
	for _, r := range boards.server.allRuns() {
		target, ok := sent[r.id]
		if !ok {
			continue
		}
		f.record.printf("server %s ran request %s for %s", boards.server.instance, r.id, r.target)
		if r.target != target {
			broken = append(broken, fmt.Sprintf("request %s was sent for %s and run for %s", r.id, target, r.target))
		}
	}
	return broken, nil
}
