package main

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/mangomast/mangomast/operator"
)

// fakeNode serves the quarantine API with one quarantined and one suspected
// request.
type fakeNode struct{ lifted []string }

// ServeHTTP implements http.Handler.
func (n *fakeNode) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodDelete {
		n.lifted = append(n.lifted, strings.TrimPrefix(r.URL.Path, operator.PathQuarantine+"/"))
		_ = json.NewEncoder(w).Encode(operator.LiftResponse{})
		return
	}
	record := operator.QuarantineRecord{
		Fingerprint: "aa01", Kind: "quarantined", Service: "fares", Route: "quote", Organisation: "beach-riders",
		Crashes: 2, VMs: []string{"fares-1", "fares-2"}, SinceSeconds: 61, LeftSeconds: 539,
	}
	other := record
	other.Fingerprint, other.Kind = "aa02", "suspect"
	_ = json.NewEncoder(w).Encode(operator.QuarantineResponse{Records: []operator.QuarantineRecord{record, other}, Unheard: []string{"cards"}})
}

func TestListAndLiftQuarantine(t *testing.T) {
	node := &fakeNode{}
	server := httptest.NewServer(node)
	defer server.Close()
	c := &commandLine{t: t, node: server.URL, token: "token"}
	out := c.mustRun("quarantine", "list")
	for _, wanted := range []string{"aa01", "quarantined", "fares-1,fares-2", "1m1s ago", "8m59s", "no VM answered for: cards"} {
		assert.Assert(t, strings.Contains(out, wanted), "%q is not in %s", wanted, out)
	}
	code, out := c.run("quarantine", "lift", "aa0")
	assert.Equal(t, code, exitFailure)
	assert.Assert(t, strings.Contains(out, "several requests"), out)
	code, out = c.run("quarantine", "lift", "ff")
	assert.Equal(t, code, exitFailure)
	assert.Assert(t, strings.Contains(out, "quarantine list"), out)
	assert.Assert(t, strings.Contains(c.mustRun("quarantine", "lift", "AA01"), "lifted"))
	assert.DeepEqual(t, node.lifted, []string{"fares/aa01"})
}
