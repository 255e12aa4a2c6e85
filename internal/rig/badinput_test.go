package rig_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/coder/websocket"
	"gotest.tools/v3/assert"

	"github.com/mangomast/mangomast/call"
	"github.com/mangomast/mangomast/config"
	"github.com/mangomast/mangomast/internal/rig"
	"github.com/mangomast/mangomast/jsonc"
)

func TestMain(m *testing.M) {
	code := m.Run()
	rig.RemoveBuild()
	os.Exit(code)
}

const service = "fares"

// startSingleNode runs one VM with two organisations. Only the first is allowed
// on the route.
func startSingleNode(t *testing.T) (*rig.Rig, *rig.Node, []string) {
	t.Helper()
	doc := &config.Document{
		Services: []config.Service{{ID: service}},
		Domains:  []config.FailureDomain{{ID: "a", Region: "r"}},
		Routes: []config.Route{{
			ID: service, Method: "*", Path: "/fares/", Service: service, Idempotent: true, OpenTo: []string{"org-1"},
			Importance: 5, Deadline: jsonc.Duration(2 * time.Second), MaxRequestBytes: 1000, MaxAnswerBytes: 1 << 20,
		}},
	}
	var keys []string
	for i := range 2 {
		org, key := fmt.Sprintf("org-%d", i+1), config.NewKey()
		keys = append(keys, key)
		doc.Organisations = append(doc.Organisations, config.Organisation{ID: org, Weight: 1, Rate: 1000, Burst: 1000})
		doc.Keys = append(doc.Keys, config.Key{ID: org, Organisation: org, Hash: config.HashKey(key)})
	}
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	spec := rig.NodeSpec{VM: "fares-1", FailureDomain: "a", Region: "r", Service: service, Slots: 4, Connections: 8}
	fleet, err := rig.Start(ctx, rig.Options{Nodes: []rig.NodeSpec{spec}, Document: doc})
	assert.NilError(t, err)
	t.Cleanup(fleet.Close)
	return fleet, fleet.Nodes[0], keys
}

// send posts a body and returns the response's status, outcome and reason.
func send(t *testing.T, node *rig.Node, key string, body io.Reader) (status int, outcome, reason string) {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+node.Callers+"/fares/x", body)
	assert.NilError(t, err)
	if key != "" {
		req.Header.Set(call.HeaderKey, key)
	}
	resp, err := http.DefaultClient.Do(req)
	assert.NilError(t, err)
	defer resp.Body.Close()
	return resp.StatusCode, resp.Header.Get(call.HeaderOutcome), resp.Header.Get(call.HeaderReason)
}

// TestRefusedRequestsAreNotRun checks that invalid requests are refused with
// the right status and reason, and that they do not reach the upstream.
func TestRefusedRequestsAreNotRun(t *testing.T) {
	fleet, node, keys := startSingleNode(t)
	for _, c := range []struct {
		key    string
		body   string
		status int
		reason string
	}{
		{"", "", 401, "unauthenticated"},
		{"mm_unknown", "", 401, "unauthenticated"},
		{keys[1], "", 403, "forbidden"},
		{keys[0], strings.Repeat("x", 2000), 413, "too_large"},
	} {
		status, outcome, reason := send(t, node, c.key, strings.NewReader(c.body))
		assert.Equal(t, status, c.status)
		assert.Equal(t, outcome, "refused")
		assert.Equal(t, reason, c.reason)
	}
	report, err := fleet.Report(t.Context(), node)
	assert.NilError(t, err)
	assert.Equal(t, report.Total, 0)
	status, outcome, _ := send(t, node, keys[0], nil)
	assert.Equal(t, status, 200)
	assert.Equal(t, outcome, "answered")
}

// TestKeysAreNotLogged checks that callers' keys, valid or not, are in the logs
// of neither the node nor its upstream.
func TestKeysAreNotLogged(t *testing.T) {
	fleet, node, keys := startSingleNode(t)
	for _, key := range append(keys, "mm_unknown") {
		send(t, node, key, nil)
	}
	for _, name := range []string{node.Spec.VM, node.Spec.VM + "-upstream"} {
		data, err := os.ReadFile(fleet.LogFile(name))
		assert.NilError(t, err)
		assert.Assert(t, !bytes.Contains(data, []byte(config.KeyPrefix)), "%s: %s", name, data)
	}
}

// TestNodeSurvivesMalformedInput checks that malformed HTTP on any listener and
// malformed frames on the mesh neither stop the node nor keep it from serving.
func TestNodeSurvivesMalformedInput(t *testing.T) {
	_, node, keys := startSingleNode(t)
	garbage := []string{
		"\x00\x01\x02\r\n\r\n",
		"GET / HTTP/9.9\r\n\r\n",
		"POST /fares/x HTTP/1.1\r\nHost: x\r\nContent-Length: -5\r\n\r\n",
		"POST /fares/x HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
		"POST /fares/x HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"GET /" + strings.Repeat("a", 100_000) + " HTTP/1.1\r\n\r\n",
	}
	for _, address := range []string{node.Callers, node.Mesh, node.Egress, node.Admin} {
		for _, text := range garbage {
			sendRaw(t, address, text)
		}
	}
	sendBadHellos(t, node.Mesh)
	status, _, _ := send(t, node, keys[0], nil)
	assert.Equal(t, status, 200)
	select {
	case <-node.Process.Done():
		t.Fatalf("node exited: %v", node.Process.Err())
	default:
	}
}

// sendRaw sends raw bytes and discards the response.
func sendRaw(t *testing.T, address, text string) {
	t.Helper()
	conn, err := net.DialTimeout("tcp", address, time.Second)
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	assert.NilError(t, conn.SetDeadline(time.Now().Add(300*time.Millisecond)))
	_, _ = io.WriteString(conn, text)
	_, _ = io.Copy(io.Discard, bufio.NewReader(conn))
}

// sendBadHellos opens mesh connections and sends invalid CBOR, text and
// oversized frames in place of the hello message.
func sendBadHellos(t *testing.T, address string) {
	t.Helper()
	for _, data := range [][]byte{nil, {0xff}, bytes.Repeat([]byte{0x9f}, 200), make([]byte, 1<<20)} {
		for _, kind := range []websocket.MessageType{websocket.MessageBinary, websocket.MessageText} {
			ws, _, err := websocket.Dial(t.Context(), "ws://"+address+"/mesh", nil) //nolint:bodyclose // the websocket package owns the body
			assert.NilError(t, err)
			_ = ws.Write(t.Context(), kind, data)
			_ = ws.CloseNow()
		}
	}
}
