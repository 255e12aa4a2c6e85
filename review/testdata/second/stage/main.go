// Command stage plays the cases of the second review: it starts nodes with the command
// of the deploy file, stand-ins of the store, of servers and of clients, and judges what
// clients and servers see. It exits with 1 if a rule was broken, 0 if it held, and 2 if
// the case could not run.
package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"time"
)

const (
	held = iota
	broken
	failed
)

// readyTimeout is how long the nodes may take to become ready.
const readyTimeout = 20 * time.Second

// cases are the cases by name. Each registers itself.
var cases = map[string]func(*stage) (int, error){}

// stage is one small deployment.
type stage struct {
	*record
	dir     string
	network string
	store   *store
	nodes   []*node
	servers []*server
	// trouble is false if the case is played without its disruption.
	trouble bool
}

func main() { os.Exit(play()) }

func play() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stage CASE RECORD")
		return failed
	}
	rec, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	defer rec.close()
	s := &stage{record: rec, trouble: os.Getenv("TROUBLE") != "0", network: fmt.Sprintf("127.%d.%d.", 10+rand.IntN(200), 1+rand.IntN(250))}
	if s.dir, err = os.MkdirTemp("", "mangomast-review-"); err != nil {
		rec.conclude("cannot run: %v", err)
		return failed
	}
	defer s.close()
	verdict, err := cases[os.Args[1]](s)
	if err != nil {
		rec.conclude("cannot run: %v", err)
		return failed
	}
	return verdict
}

func (s *stage) close() {
	for _, srv := range s.servers {
		srv.end()
	}
	for _, n := range s.nodes {
		n.kill()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(s.dir)
		return
	}
	fmt.Println("logs are in", s.dir)
}

// vm describes a VM of the deployment.
type vm struct {
	zone, service string
	slots         int
	work          time.Duration
}

// deploy starts the store, the nodes and the servers and waits until all are ready.
func (s *stage) deploy(vms ...vm) error {
	var err error
	if s.store, err = startStore(s.network + "250"); err != nil {
		return err
	}
	s.store.putConfig(1, configFile)
	for i, v := range vms {
		name := fmt.Sprintf("sidecar-%s-%d", v.zone, i+1)
		n, err := newNode(s.dir, name, fmt.Sprintf("%s%d", s.network, i+1), v.zone, v.service, s.store.address)
		if err != nil {
			return err
		}
		if err := n.start(); err != nil {
			return fmt.Errorf("start %s (build it with the deploy file's build line): %w", filepath.Base(program), err)
		}
		s.nodes = append(s.nodes, n)
		if v.slots == 0 {
			continue
		}
		srv, err := startServer(s.record, n, fmt.Sprintf("i-%s-%d", v.service, i+1), v.slots, v.work)
		if err != nil {
			return err
		}
		s.servers = append(s.servers, srv)
	}
	return s.awaitReady()
}

func (s *stage) awaitReady() error {
	until := time.Now().Add(readyTimeout)
	for _, n := range s.nodes {
		for !ready(n) {
			if time.Now().After(until) || !n.running() {
				return fmt.Errorf("%s is not ready", n.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
		s.add("%s is ready", n.name)
	}
	return nil
}

// closed reports whether the channel is closed.
func closed(end <-chan struct{}) bool {
	select {
	case <-end:
		return true
	default:
		return false
	}
}
