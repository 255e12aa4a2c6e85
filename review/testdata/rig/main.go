// Command rig plays the cases of the review. It starts the project's nodes as
// separate processes beside stand-ins of the platform's store, of application
// servers and of clients, which run in its own process, and judges what these
// have seen.
package main

import (
	"bufio"
	"embed"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"
)

// Exit statuses of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// maxRuntime ends a case that hangs.
const maxRuntime = 115 * time.Second

//go:embed names.json config.tmpl fields.tmpl
var files embed.FS

// names are the names of the platform's headers, calls and keys.
var names struct {
	RequestID        string `json:"request_id"`
	Deadline         string `json:"deadline"`
	Expected         string `json:"expected"`
	Signature        string `json:"signature"`
	NotRun           string `json:"not_run"`
	Instance         string `json:"instance"`
	Beat             string `json:"beat"`
	Leave            string `json:"leave"`
	Ready            string `json:"ready"`
	Range            string `json:"range"`
	Watch            string `json:"watch"`
	Txn              string `json:"txn"`
	Lease            string `json:"lease"`
	Keep             string `json:"keep"`
	LeaseEnd         string `json:"lease_end"`
	ConfigKey        string `json:"config_key"`
	SettingsVariable string `json:"settings_variable"`
}

// cases are the functions that play a case. Each returns whether the rule held.
var cases = map[string]func(f *fleet, trouble bool) (bool, error){
	"second-copy": playSecondCopy,
	"hangup":      playHangup,
	"departure":   playDeparture,
	"idle-watch":  playIdleWatch,
	"open-route":  playOpenRoute,
	"fatal":       playFatal,
}

func main() { os.Exit(run()) }

func run() int {
	name := flag.String("case", "", "the case to play")
	out := flag.String("record", "record.txt", "the file for the record")
	flag.Parse()
	play := cases[*name]
	if play == nil {
		fmt.Fprintf(os.Stderr, "unknown case %q\n", *name)
		return exitNotRun
	}
	trouble := os.Getenv("TROUBLE") != "0"
	rec, err := newRecord(*out)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer rec.close()
	data, err := files.ReadFile("names.json")
	if err == nil {
		err = json.Unmarshal(data, &names)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	f := newFleet(rec)
	defer f.close()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGTERM, os.Interrupt)
	type result struct {
		held bool
		err  error
	}
	done := make(chan result, 1)
	go func() {
		held, err := play(f, trouble)
		done <- result{held, err}
	}()
	select {
	case got := <-done:
		return rec.verdict(got.held, got.err)
	case <-time.After(maxRuntime):
		return rec.verdict(false, fmt.Errorf("the case did not end in time"))
	case <-interrupted:
		return rec.verdict(false, fmt.Errorf("interrupted"))
	}
}

// record is the file that lists what was sent, answered and run.
type record struct {
	mu      sync.Mutex
	file    *os.File
	writer  *bufio.Writer
	started time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: file, writer: bufio.NewWriter(file), started: time.Now()}, nil
}

// add writes a line with the time since the start in seconds.
func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.writer, "%9.4f  %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, args...))
}

// note writes a line and shows it.
func (r *record) note(format string, args ...any) {
	r.add(format, args...)
	fmt.Printf("%7.2f s  %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, args...))
}

func (r *record) verdict(held bool, err error) int {
	switch {
	case err != nil:
		r.note("NOT RUN: %v", err)
		return exitNotRun
	case held:
		r.note("HELD")
		return exitHeld
	}
	r.note("BROKEN")
	return exitBroken
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.writer.Flush()
	_ = r.file.Close()
}
