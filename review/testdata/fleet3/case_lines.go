package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// playManyLines has a crowd of clients send requests whose heads are inside the limit of
// the configuration and have many short lines. The node's process must stay within the
// memory of its machine.
func playManyLines(f *fleet, trouble bool) ([]string, error) {
	const (
		crowdSize = 2300
		lines     = 3000
		crowdFor  = 12 * time.Second
		// memoryBytes is what the machine has.
		memoryBytes = 284_000_000
	)
	if err := checkDescriptors(crowdSize); err != nil {
		return nil, err
	}
	front, err := f.add("front", "riga-vecriga", "quotes", 64, 160*time.Millisecond)
	if err != nil {
		return nil, err
	}
	for i := range 4 {
		if _, err := f.add(fmt.Sprintf("boards-%d", i+1), "riga-centrs", "boards", 158, 640*time.Millisecond); err != nil {
			return nil, err
		}
	}
	if err := f.settle(front, "boards.example", "/board/1", "/public/1"); err != nil {
		return nil, err
	}
	head := ""
	if trouble {
		head = strings.Repeat("A:\r\n", lines)
	}
	f.record.printf("%d clients send requests with heads of %d more bytes; the process has taken %d bytes at most", crowdSize, len(head), front.peakMemory())
	end := time.Now().Add(crowdFor)
	answers := atomic.Int64{}
	var group sync.WaitGroup
	for i := range crowdSize {
		group.Go(func() {
			for time.Now().Before(end) && front.alive() {
				f.sendHead(front, i, head, end, &answers)
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	var broken []string
	for time.Now().Before(end) && front.alive() && len(broken) == 0 {
		time.Sleep(50 * time.Millisecond)
		if peak := front.peakMemory(); peak > memoryBytes {
			broken = append(broken, fmt.Sprintf("the process has taken %d bytes of memory; its machine has %d", peak, memoryBytes))
		}
	}
	if !front.alive() {
		broken = append(broken, "the node's process has ended")
	}
	f.record.printf("%d answers; the process has taken %d bytes at most", answers.Load(), front.peakMemory())
	front.kill()
	group.Wait()
	return broken, nil
}

// sendHead sends a request with further head lines on a new connection and reads what comes.
func (f *fleet) sendHead(v *vm, client int, head string, end time.Time, answers *atomic.Int64) {
	conn, err := net.DialTimeout("tcp", v.outbound, time.Second)
	if err != nil {
		return
	}
	defer conn.Close()
	_ = conn.SetDeadline(end)
	_, _ = fmt.Fprintf(conn, "GET /public/%d HTTP/1.1\r\nHost: boards.example\r\n%s: %s\r\n%s\r\n", client, f.names.Heads["id"], nextID(), head)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return
	}
	_ = resp.Body.Close()
	answers.Add(1)
}

// peakMemory returns the most memory that the node's process has had resident, in bytes;
// 0 if that is not known.
func (v *vm) peakMemory() int64 {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", v.process.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(status)) {
		if value, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kilobytes, err := strconv.ParseInt(strings.Fields(value)[0], 10, 64)
			if err != nil {
				return 0
			}
			return kilobytes << 10
		}
	}
	return 0
}
