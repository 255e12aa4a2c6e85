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

// commandLine runs commands against a demo fleet.
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

func (c *commandLine) must(args ...string) string {
	c.t.Helper()
	code, out := c.run(args...)
	assert.Equal(c.t, code, 0, "%v: %s", args, out)
	return out
}

func TestOperatorsChangesComeIntoForce(t *testing.T) {
	c := startFleet(t)
	assert.Assert(t, strings.Contains(c.must("status"), "4 VMs"))
	file := filepath.Join(t.TempDir(), "doc.json")
	shown := c.must("show")
	assert.NilError(t, os.WriteFile(file, []byte(shown), 0o600))
	assert.Assert(t, strings.Contains(c.must("validate", file), "3 organisations"))

	out := c.must("edit", "/organisations/beach-riders/rate", "77", "--note", "holiday")
	assert.Assert(t, strings.Contains(out, "in force on 4 of 4 VMs"), out)
	assert.Assert(t, strings.Contains(c.must("history"), "holiday"))

	// A document made from the older version keeps the rate.
	mine := strings.Replace(shown, `"burst": 200`, `"burst": 300`, 1)
	assert.NilError(t, os.WriteFile(file, []byte(mine), 0o600))
	c.must("apply", file)
	shown = c.must("show")
	assert.Assert(t, strings.Contains(shown, `"rate": 77`) && strings.Contains(shown, `"burst": 300`), shown)

	c.must("undo", "2")
	assert.Assert(t, !strings.Contains(c.must("show"), `"rate": 77`))
}

func TestRefusalsSayWhatToDo(t *testing.T) {
	c := startFleet(t)
	code, out := c.run("edit", "--", "/organisations/beach-riders/rate", "-3")
	assert.Equal(t, code, exitRefused)
	assert.Assert(t, strings.Contains(out, "/organisations/beach-riders/rate: must be 0 to"), out)

	code, out = c.run("edit", "/organisations/beach-riders/rate", "9", "--old", "8")
	assert.Equal(t, code, exitConflict)
	assert.Assert(t, strings.Contains(out, "is now 200, was 8"), out)

	code, out = c.run("key", "withdraw", "nothing")
	assert.Equal(t, code, exitRefused)
	assert.Assert(t, strings.Contains(out, "lists the keys"), out)

	stranger := &commandLine{t: t, node: c.node, token: "wrong"}
	code, out = stranger.run("show")
	assert.Equal(t, code, exitRefused)
	assert.Assert(t, strings.Contains(out, "--token"), out)

	code, out = c.run("edit")
	assert.Equal(t, code, exitUsage)
	assert.Assert(t, strings.Contains(out, "--help"), out)
}

func TestKeysAreGrantedAndWithdrawn(t *testing.T) {
	c := startFleet(t)
	var granted operator.KeyAnswer
	assert.NilError(t, json.Unmarshal([]byte(c.must("--json", "key", "grant", "beach-riders", "spare")), &granted))
	assert.Assert(t, strings.HasPrefix(granted.Key, "mm_"))
	assert.Assert(t, !strings.Contains(c.must("show"), granted.Key))
	assert.Assert(t, strings.Contains(c.must("key", "withdraw", "spare"), "in force"))
	assert.Assert(t, !strings.Contains(c.must("show"), "spare"))
}

func TestACommandSaysWhatCameOfAChange(t *testing.T) {
	c := startFleet(t)
	const rate = "/organisations/beach-riders/rate"
	out := c.must("edit", rate, "88", "--dry-run")
	assert.Assert(t, strings.Contains(out, "200") && strings.Contains(out, "-> 88"), out)
	assert.Assert(t, strings.Contains(c.must("edit", rate, "200"), "nothing to change"))
	assert.Assert(t, !strings.Contains(c.must("history"), rate))

	// The first node is gone; the second takes the change.
	spare := &commandLine{t: t, node: "http://127.0.0.1:1," + c.node, token: c.token}
	var result changeResult
	assert.NilError(t, json.Unmarshal([]byte(spare.must("--json", "edit", rate, "88")), &result))
	assert.Assert(t, result.Progress.Accepted)
	assert.Assert(t, strings.Contains(c.must("undo", "--dry-run", "2"), "-> 200"))
	assert.Assert(t, strings.Contains(c.must("progress", strconv.FormatInt(result.Change.Revision, 10)), "in force on 4 of 4"))
	code, out := c.run("progress", "--wait", "300ms", "999999")
	assert.Equal(t, code, exitPending, out)

	c.must("key", "grant", "beach-riders", "spare")
	code, out = c.run("key", "grant", "beach-riders", "spare")
	assert.Equal(t, code, exitConflict)
	assert.Assert(t, strings.Contains(out, "exists already") && strings.Contains(out, "night-shift"), out)
}

func TestAnAnswerThatIsLostIsNoRefusal(t *testing.T) {
	for _, test := range []struct {
		name   string
		status int
		code   int
	}{
		{"broken off", 0, exitUnknown},
		{"not known", http.StatusGatewayTimeout, exitUnknown},
		{"unavailable", http.StatusServiceUnavailable, exitRefused},
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
