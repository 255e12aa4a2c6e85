package node

import (
	"bufio"
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mangomast/mangomast/internal/freeport"
	"github.com/mangomast/mangomast/kernel"
)

// childSettings is the environment variable that makes the test binary run a node
// with the settings file that it names.
const childSettings = "MANGOMAST_TEST_NODE_SETTINGS"

// slowModule writes a line to standard error at each stage of its life and takes
// some time to start and to drain.
type slowModule struct{}

const slowModuleDelay = 300 * time.Millisecond

func (slowModule) Provision(*kernel.Context) error {
	fmt.Fprintln(os.Stderr, "starting")
	time.Sleep(slowModuleDelay)
	return nil
}

func (slowModule) Actors() []kernel.Actor {
	return []kernel.Actor{{Name: "wait", Run: func(ctx context.Context) error {
		fmt.Fprintln(os.Stderr, "running")
		<-ctx.Done()
		return ctx.Err()
	}}}
}

func (slowModule) Drain(context.Context) error {
	fmt.Fprintln(os.Stderr, "draining")
	time.Sleep(slowModuleDelay)
	fmt.Fprintln(os.Stderr, "drained")
	return nil
}

func TestMain(m *testing.M) {
	if file := os.Getenv(childSettings); file != "" {
		kernel.Register(kernel.ModuleInfo{ID: "slow", New: func() kernel.Module { return slowModule{} }})
		os.Exit(Main([]string{"--settings", file}, os.Stdout))
	}
	os.Exit(m.Run())
}

// TestSignalsDoNotEndTheNode covers SIGHUP while a node starts, runs and drains
// after SIGTERM, and SIGPIPE when the reader of its log is gone. It must finish its
// work; the signals' default action would cut the requests that it is finishing.
func TestSignalsDoNotEndTheNode(t *testing.T) {
	for name, closeLog := range map[string]bool{"SIGHUP": false, "SIGHUP and SIGPIPE": true} {
		t.Run(name, func(t *testing.T) {
			child := exec.Command(os.Args[0])
			child.Env = append(os.Environ(), childSettings+"="+writeSettings(t))
			logs, err := child.StdoutPipe()
			assert.NilError(t, err)
			stderr, err := child.StderrPipe()
			assert.NilError(t, err)
			assert.NilError(t, child.Start())
			t.Cleanup(func() { _ = child.Process.Kill() })
			if closeLog {
				assert.NilError(t, logs.Close())
			}
			var stages []string
			for lines := bufio.NewScanner(stderr); lines.Scan(); {
				stages = append(stages, lines.Text())
				if lines.Text() == "running" {
					assert.NilError(t, child.Process.Signal(syscall.SIGTERM))
				}
				assert.NilError(t, child.Process.Signal(syscall.SIGHUP))
			}
			assert.NilError(t, child.Wait())
			assert.DeepEqual(t, stages, []string{"starting", "running", "draining", "drained"})
		})
	}
}

// writeSettings writes the settings file of a node that is in no fleet.
func writeSettings(t *testing.T) string {
	addresses, err := freeport.Addresses("127.0.0.1", 3)
	assert.NilError(t, err)
	file := filepath.Join(t.TempDir(), "node.json")
	assert.NilError(t, os.WriteFile(file, fmt.Appendf(nil, `{
"vm": "vm-1", "failure_domain": "a", "region": "r", "fleet_secret": "0123456789abcdef",
"listen": {"callers": %q, "mesh": %q, "admin": %q},
"store": {"endpoints": ["http://127.0.0.1:9"], "prefix": "mangomast/"}}`, addresses[0], addresses[1], addresses[2]), 0o600))
	return file
}
