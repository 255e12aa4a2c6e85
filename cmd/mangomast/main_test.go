package main

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/mangomast/mangomast/internal/demo"
	"github.com/mangomast/mangomast/operator"
)

// commandLine runs commands against the admin API at the URL node.
type commandLine struct {
	t     *testing.T
	node  string
	token string
}

func startFleet(t *testing.T) *commandLine {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	ready := make(chan *commandLine, 1)
	done := make(chan error, 1)
	go func() {
		done <- demo.Run(ctx, demo.Options{Out: io.Discard, Ready: func(node, token string) {
			ready <- &commandLine{t: t, node: node, token: token}
		}})
	}()
	t.Cleanup(func() {
		cancel()
		assert.NilError(t, <-done)
	})
	select {
	case c := <-ready:
		return c
	case err := <-done:
		done <- err
		t.Fatalf("the demo fleet ended before it served: %v", err)
		return nil
	}
}

// run executes a command and returns its exit code and output.
func (c *commandLine) run(args ...string) (int, string) {
	var out bytes.Buffer
	code := run(append([]string{"--node", c.node, "--token", c.token}, args...), &out, &out)
	return code, out.String()
}

func (c *commandLine) mustRun(args ...string) string {
	c.t.Helper()
	code, out := c.run(args...)
	assert.Equal(c.t, code, 0, "%v: %s", args, out)
	return out
}

func TestChangesTakeEffectOnAllVMs(t *testing.T) {
	c := startFleet(t)
	assert.Assert(t, strings.Contains(c.mustRun("status"), "4 VMs"))
	file := filepath.Join(t.TempDir(), "doc.json")
	shown := c.mustRun("show")
	assert.NilError(t, os.WriteFile(file, []byte(shown), 0o600))
	assert.Assert(t, strings.Contains(c.mustRun("validate", file), "3 organisations"))

	out := c.mustRun("edit", "/organisations/beach-riders/rate", "77", "--note", "holiday")
	assert.Assert(t, strings.Contains(out, "in force on 4 of 4 VMs"), out)
	assert.Assert(t, strings.Contains(c.mustRun("history"), "holiday"))

	// Applying a document that is based on the older version keeps the rate.
	edited := strings.Replace(shown, `"burst": 200`, `"burst": 300`, 1)
	assert.NilError(t, os.WriteFile(file, []byte(edited), 0o600))
	c.mustRun("apply", file)
	shown = c.mustRun("show")
	assert.Assert(t, strings.Contains(shown, `"rate": 77`) && strings.Contains(shown, `"burst": 300`), shown)

	c.mustRun("undo", "2")
	assert.Assert(t, !strings.Contains(c.mustRun("show"), `"rate": 77`))
}

func TestErrorsSayHowToProceed(t *testing.T) {
	c := startFleet(t)
	code, out := c.run("edit", "--", "/organisations/beach-riders/rate", "-3")
	assert.Equal(t, code, exitFailure)
	assert.Assert(t, strings.Contains(out, "/organisations/beach-riders/rate: must be 0 to"), out)

	code, out = c.run("edit", "/organisations/beach-riders/rate", "9", "--old", "8")
	assert.Equal(t, code, exitConflict)
	assert.Assert(t, strings.Contains(out, "is now 200, was 8"), out)

	code, out = c.run("key", "withdraw", "nothing")
	assert.Equal(t, code, exitFailure)
	assert.Assert(t, strings.Contains(out, "lists the keys"), out)

	unauthorized := &commandLine{t: t, node: c.node, token: "wrong"}
	code, out = unauthorized.run("show")
	assert.Equal(t, code, exitFailure)
	assert.Assert(t, strings.Contains(out, "--token"), out)

	code, out = c.run("edit")
	assert.Equal(t, code, exitUsage)
	assert.Assert(t, strings.Contains(out, "--help"), out)
}

func TestGrantAndWithdrawKey(t *testing.T) {
	c := startFleet(t)
	var granted operator.KeyResponse
	assert.NilError(t, json.Unmarshal([]byte(c.mustRun("--json", "key", "grant", "beach-riders", "spare")), &granted))
	assert.Assert(t, strings.HasPrefix(granted.Key, "mm_"))
	assert.Assert(t, !strings.Contains(c.mustRun("show"), granted.Key))
	assert.Assert(t, strings.Contains(c.mustRun("key", "withdraw", "spare"), "in force"))
	assert.Assert(t, !strings.Contains(c.mustRun("show"), "spare"))
}

func TestCommandsReportResultOfChange(t *testing.T) {
	c := startFleet(t)
	const rate = "/organisations/beach-riders/rate"
	out := c.mustRun("edit", rate, "88", "--dry-run")
	assert.Assert(t, strings.Contains(out, "200") && strings.Contains(out, "-> 88"), out)
	assert.Assert(t, strings.Contains(c.mustRun("edit", rate, "200"), "nothing to change"))
	assert.Assert(t, !strings.Contains(c.mustRun("history"), rate))

	// The first node does not answer; the second one accepts the change.
	failover := &commandLine{t: t, node: "http://127.0.0.1:1," + c.node, token: c.token}
	var result changeResult
	assert.NilError(t, json.Unmarshal([]byte(failover.mustRun("--json", "edit", rate, "88")), &result))
	assert.Assert(t, result.Progress.Accepted)
	assert.Assert(t, strings.Contains(c.mustRun("undo", "--dry-run", "2"), "-> 200"))
	assert.Assert(t, strings.Contains(c.mustRun("progress", strconv.FormatInt(result.Change.Revision, 10)), "in force on 4 of 4"))
	code, out := c.run("progress", "--wait", "300ms", "999999")
	assert.Equal(t, code, exitPending, out)

	c.mustRun("key", "grant", "beach-riders", "spare")
	code, out = c.run("key", "grant", "beach-riders", "spare")
	assert.Equal(t, code, exitConflict)
	assert.Assert(t, strings.Contains(out, "exists already") && strings.Contains(out, "night-shift"), out)
}

// Guards against reporting a change as refused when its response is lost after
// the node may have committed it.
func TestLostResponseIsReportedAsUnknownOutcome(t *testing.T) {
	for _, test := range []struct {
		name   string
		status int
		code   int
	}{
		{"connection aborted", 0, exitUnknown},
		{"gateway timeout", http.StatusGatewayTimeout, exitUnknown},
		{"unavailable", http.StatusServiceUnavailable, exitFailure},
	} {
		t.Run(test.name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				if test.status == 0 {
					panic(http.ErrAbortHandler)
				}
				w.WriteHeader(test.status)
				_ = json.NewEncoder(w).Encode(operator.Problem{Message: "the store did not answer"})
			}))
			defer server.Close()
			c := &commandLine{t: t, node: server.URL}
			code, out := c.run("undo", "3")
			assert.Equal(t, code, test.code, out)
			code, out = c.run("key", "grant", "beach-riders", "spare")
			assert.Equal(t, code, test.code, out)
			assert.Equal(t, strings.Contains(out, "its key is mm_"), test.code == exitUnknown, out)
		})
	}
}
