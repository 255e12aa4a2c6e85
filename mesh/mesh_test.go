package mesh

import (
	"bytes"
	"context"
	"io"
	"math/rand/v2"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/coder/websocket"
	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus/testutil"
	"gotest.tools/v3/assert"

	"github.com/mangomast/mangomast/internal/bodymemory"
)

const testSecret = "0123456789abcdef"

func newTestMesh(t *testing.T, vm, secret string) (*Mesh, string) {
	t.Helper()
	return newTestMeshWithPing(t, vm, secret, 0, 0)
}

// newTestMeshWithPing returns a mesh with a ping interval and timeout; 0 selects
// the defaults.
func newTestMeshWithPing(t *testing.T, vm, secret string, interval, timeout time.Duration) (*Mesh, string) {
	t.Helper()
	m, err := New(Options{
		PingInterval: interval, PingTimeout: timeout,
		Self:   Identity{VM: vm, Incarnation: 1, FailureDomain: "d", Region: "r"},
		Secret: secret,
		Log:    &log.Logger{Handler: discard.New()},
	})
	assert.NilError(t, err)
	server := httptest.NewServer(m)
	t.Cleanup(func() {
		m.Close()
		server.Close()
	})
	return m, strings.TrimPrefix(server.URL, "http://")
}

func echoHandler(_ context.Context, _ Identity, head, body []byte) ([]byte, io.ReadCloser) {
	return head, io.NopCloser(bytes.NewReader(body))
}

func TestDoCarriesBodiesOfAnySize(t *testing.T) {
	server, address := newTestMesh(t, "server", testSecret)
	server.Handle(KindCall, echoHandler)
	client, _ := newTestMesh(t, "client", testSecret)
	for _, size := range []int{0, 1, InlineBytes - 1, InlineBytes, InlineBytes + 1, 3 << 20} {
		body := make([]byte, size)
		for i := range body {
			body[i] = byte(rand.Uint32())
		}
		request := &Request{Kind: KindCall, Class: Calls, Head: []byte("head"), Body: body}
		resp, err := client.Do(t.Context(), Peer{VM: "server", Address: address}, request)
		assert.NilError(t, err)
		got, err := io.ReadAll(resp.Body)
		assert.NilError(t, err)
		assert.NilError(t, resp.Body.Close())
		assert.Assert(t, bytes.Equal(got, body), "size %d", size)
		assert.Equal(t, string(resp.Head), "head")
	}
}

func TestDoRefusesWrongPeer(t *testing.T) {
	_, address := newTestMesh(t, "server", testSecret)
	client, _ := newTestMesh(t, "client", testSecret)
	outsider, _ := newTestMesh(t, "stranger", "another secret for the fleet")
	for name, do := range map[string]func() error{
		"wrong VM name": func() error {
			_, err := client.Do(t.Context(), Peer{VM: "other", Address: address}, &Request{Kind: KindCall})
			return err
		},
		"wrong secret": func() error {
			_, err := outsider.Do(t.Context(), Peer{Address: address}, &Request{Kind: KindCall})
			return err
		},
	} {
		var transport *TransportError
		assert.Assert(t, errors.As(do(), &transport), name)
		assert.Assert(t, !transport.Sent, name)
	}
}

func TestDoReportsSentIfConnectionIsLost(t *testing.T) {
	server, address := newTestMesh(t, "server", testSecret)
	started := make(chan struct{})
	server.Handle(KindCall, func(ctx context.Context, _ Identity, _, _ []byte) ([]byte, io.ReadCloser) {
		close(started)
		<-ctx.Done()
		return nil, nil
	})
	client, _ := newTestMesh(t, "client", testSecret)
	go func() {
		<-started
		server.Close()
	}()
	_, err := client.Do(t.Context(), Peer{Address: address}, &Request{Kind: KindCall, Class: Calls})
	var transport *TransportError
	assert.Assert(t, errors.As(err, &transport))
	assert.Assert(t, transport.Sent)
}

func TestCancelReachesHandler(t *testing.T) {
	server, address := newTestMesh(t, "server", testSecret)
	cancelled := make(chan struct{})
	server.Handle(KindCall, func(ctx context.Context, _ Identity, _, _ []byte) ([]byte, io.ReadCloser) {
		<-ctx.Done()
		close(cancelled)
		return nil, nil
	})
	client, _ := newTestMesh(t, "client", testSecret)
	// On a busy machine the dial may take longer than the deadline; such a
	// request is not sent and is repeated.
	for attempt, sent := 0, false; !sent; attempt++ {
		assert.Assert(t, attempt < 100, "no request was sent")
		ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
		_, err := client.Do(ctx, Peer{Address: address}, &Request{Kind: KindCall, Class: Calls})
		cancel()
		assert.ErrorIs(t, err, context.DeadlineExceeded)
		var transport *TransportError
		assert.Assert(t, errors.As(err, &transport))
		sent = transport.Sent
	}
	select {
	case <-cancelled:
	case <-time.After(5 * time.Second):
		t.Fatal("handler was not cancelled")
	}
}

func TestMalformedHelloDoesNotAffectOtherConnections(t *testing.T) {
	server, address := newTestMesh(t, "server", testSecret)
	server.Handle(KindCall, echoHandler)
	for _, garbage := range [][]byte{nil, {0xff}, bytes.Repeat([]byte{0x9f}, 100), make([]byte, 8<<10)} {
		ws, _, err := websocket.Dial(t.Context(), "ws://"+address+Path, nil) //nolint:bodyclose // the websocket package owns the body
		assert.NilError(t, err)
		_, _, err = ws.Read(t.Context())
		assert.NilError(t, err)
		assert.NilError(t, ws.Write(t.Context(), websocket.MessageBinary, garbage))
		_, _, err = ws.Read(t.Context())
		assert.Assert(t, err != nil)
	}
	client, _ := newTestMesh(t, "client", testSecret)
	resp, err := client.Do(t.Context(), Peer{Address: address}, &Request{Kind: KindCall, Class: Calls})
	assert.NilError(t, err)
	assert.NilError(t, resp.Body.Close())
}

func FuzzDecodeFrame(f *testing.F) {
	seed, err := Encode(&frame{Type: frameRequest, Stream: 3, Head: []byte("h"), Data: []byte("d"), End: true})
	assert.NilError(f, err)
	f.Add(seed)
	f.Add([]byte{0x9f, 0xff})
	f.Fuzz(func(t *testing.T, data []byte) {
		if decoded, err := decodeFrame(data); err == nil {
			_, err := Encode(decoded)
			assert.NilError(t, err)
		}
	})
}

// TestCancelledBodyEndsOnlyItsStream cancels a request whose body has not
// arrived completely. Its handler must not run, its resources must be released,
// and other requests must be served on the same link.
func TestCancelledBodyEndsOnlyItsStream(t *testing.T) {
	server, address := newTestMesh(t, "server", testSecret)
	server.Handle(KindCall, echoHandler)
	server.Handle(KindPool, func(context.Context, Identity, []byte, []byte) ([]byte, io.ReadCloser) {
		t.Error("the handler got a request with an incomplete body")
		return nil, nil
	})
	client, _ := newTestMesh(t, "client", testSecret)
	call := func() {
		resp, err := client.Do(t.Context(), Peer{Address: address}, &Request{Kind: KindCall, Class: Calls})
		assert.NilError(t, err)
		assert.NilError(t, resp.Body.Close())
	}
	call()
	dialed := client.dialedLink(address)
	s, err := dialed.openStream(Calls)
	assert.NilError(t, err)
	partial := &frame{Type: frameRequest, Stream: s.id, ToAcceptor: true, Kind: KindPool, Data: make([]byte, InlineBytes)}
	assert.NilError(t, dialed.enqueue(t.Context(), Calls, partial))
	serverStreams := func() int {
		server.mu.Lock()
		defer server.mu.Unlock()
		open := 0
		for _, l := range server.accepted {
			l.mu.Lock()
			open += len(l.streams)
			l.mu.Unlock()
		}
		return open
	}
	eventually(t, "the server receives the body", func() bool { return serverStreams() == 1 })
	dialed.cancelStream(s)
	eventually(t, "the server releases the stream", func() bool { return serverStreams() == 0 })
	call()
	assert.Assert(t, client.dialedLink(address) == dialed, "the link was closed")
}

// TestRequestWithoutMemoryForItsBodyIsNotSent fills the server's memory for
// bodies. A further request with a large body must end as not sent, so that it
// can go to another node, and a small one must be served.
func TestRequestWithoutMemoryForItsBodyIsNotSent(t *testing.T) {
	const size, fitting = 256 << 10, 4
	server, address := newTestMesh(t, "server", testSecret)
	server.bodies = bodymemory.NewBudget(size*fitting, bodyMemoryWait)
	release := make(chan struct{})
	var running atomic.Int64
	server.Handle(KindCall, func(_ context.Context, _ Identity, head, _ []byte) ([]byte, io.ReadCloser) {
		running.Add(1)
		<-release
		return head, nil
	})
	server.Handle(KindPool, echoHandler)
	client, _ := newTestMesh(t, "client", testSecret)
	do := func(kind Kind, size int) error {
		resp, err := client.Do(t.Context(), Peer{Address: address}, &Request{Kind: kind, Class: Calls, Body: make([]byte, size)})
		if err == nil {
			err = resp.Body.Close()
		}
		return err
	}
	results := make(chan error, fitting)
	for range fitting {
		go func() { results <- do(KindCall, size) }()
	}
	eventually(t, "the memory is in use", func() bool { return running.Load() == fitting })
	var transport *TransportError
	err := do(KindPool, size)
	assert.Assert(t, errors.As(err, &transport) && !transport.Sent, "%v", err)
	assert.NilError(t, do(KindPool, 1000))
	close(release)
	for range fitting {
		assert.NilError(t, <-results)
	}
	assert.NilError(t, do(KindPool, size))
}

// TestHandlerPanicEndsOnlyItsRequest makes a handler panic. The process must go
// on, and the requester must get no answer that looks complete.
func TestHandlerPanicEndsOnlyItsRequest(t *testing.T) {
	server, address := newTestMesh(t, "server", testSecret)
	server.Handle(KindCall, echoHandler)
	server.Handle(KindPool, func(context.Context, Identity, []byte, []byte) ([]byte, io.ReadCloser) { panic("unexpected") })
	client, _ := newTestMesh(t, "client", testSecret)
	_, err := client.Do(t.Context(), Peer{Address: address}, &Request{Kind: KindPool, Class: Calls})
	var transport *TransportError
	assert.Assert(t, errors.As(err, &transport) && transport.Sent, "%v", err)
	eventually(t, "the server answers again", func() bool {
		resp, err := client.Do(t.Context(), Peer{Address: address}, &Request{Kind: KindCall, Class: Calls})
		return err == nil && resp.Body.Close() == nil
	})
}

func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(5 * time.Second); !condition(); time.Sleep(5 * time.Millisecond) {
		assert.Assert(t, time.Now().Before(deadline), "not in time: %s", what)
	}
}

// TestUnreadAnswersAreBounded requests many answers without end and reads none of
// them. What the node receives must stay within its memory for answers, apart from the
// smallest windows, and an answer that is read must still arrive whole.
func TestUnreadAnswersAreBounded(t *testing.T) {
	const (
		requests = 100
		budget   = 4 * windowBytes
		long     = 1 << 20
	)
	server, address := newTestMesh(t, "server", testSecret)
	server.Handle(KindCall, func(_ context.Context, _ Identity, head, _ []byte) ([]byte, io.ReadCloser) {
		return head, io.NopCloser(endlessReader{})
	})
	server.Handle(KindPool, func(context.Context, Identity, []byte, []byte) ([]byte, io.ReadCloser) {
		return nil, io.NopCloser(io.LimitReader(endlessReader{}, long))
	})
	client, _ := newTestMesh(t, "client", testSecret)
	client.answers = bodymemory.NewBudget(budget, 0)
	var unread []*Response
	for range requests {
		resp, err := client.Do(t.Context(), Peer{Address: address}, &Request{Kind: KindCall, Class: Calls})
		assert.NilError(t, err)
		unread = append(unread, resp)
	}
	resp, err := client.Do(t.Context(), Peer{Address: address}, &Request{Kind: KindPool, Class: Calls})
	assert.NilError(t, err)
	n, err := io.Copy(io.Discard, resp.Body)
	assert.NilError(t, err)
	assert.Equal(t, n, int64(long))
	assert.NilError(t, resp.Body.Close())
	received := 0
	for _, resp := range unread {
		body := resp.Body.(*streamBody)
		body.mu.Lock()
		received += body.buffered
		assert.NilError(t, body.err)
		body.mu.Unlock()
	}
	assert.Assert(t, received <= budget+requests*minWindowBytes, "%d bytes", received)
	for _, resp := range unread {
		assert.NilError(t, resp.Body.Close())
	}
	assert.Assert(t, client.answers.TryReserve(budget) != nil, "memory was not released")
}

type endlessReader struct{}

func (endlessReader) Read(p []byte) (int, error) { return len(p), nil }

// TestControlMessagesCarryLargeBodies sends a control message whose request and
// answer need chunks over a link that has no connection of another class, as between
// nodes that exchange only the configuration.
func TestControlMessagesCarryLargeBodies(t *testing.T) {
	const size = 3 * windowBytes
	server, address := newTestMesh(t, "server", testSecret)
	server.Handle(KindDocument, Typed(func(_ context.Context, _ Identity, body []byte) ([]byte, error) { return body, nil }))
	client, _ := newTestMesh(t, "client", testSecret)
	body := make([]byte, size)
	for i := range body {
		body[i] = byte(rand.Uint32())
	}
	for range 3 {
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		var got []byte
		assert.NilError(t, client.Exchange(ctx, Peer{VM: "server", Address: address}, KindDocument, body, &got))
		assert.Assert(t, bytes.Equal(got, body))
		cancel()
	}
	dialed := client.dialedLink(address)
	assert.Assert(t, dialed.conn(Calls) == nil && dialed.conn(Bulk) == nil, "a connection of another class was dialed")
}

// TestExchangeEndsWithItsContext has a peer send a part of an answer and no more. The
// exchange must end in time: its caller may start no other one meanwhile.
func TestExchangeEndsWithItsContext(t *testing.T) {
	server, address := newTestMesh(t, "server", testSecret)
	stalled := make(chan struct{})
	t.Cleanup(func() { close(stalled) })
	server.Handle(KindDocument, func(context.Context, Identity, []byte, []byte) ([]byte, io.ReadCloser) {
		part := io.LimitReader(endlessReader{}, 2*InlineBytes)
		return controlAnswer(nil), io.NopCloser(io.MultiReader(part, stalledReader(stalled)))
	})
	client, _ := newTestMesh(t, "client", testSecret)
	ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
	defer cancel()
	started := time.Now()
	var got []byte
	err := client.Exchange(ctx, Peer{VM: "server", Address: address}, KindDocument, struct{}{}, &got)
	assert.Assert(t, errors.Is(err, ErrIncompleteBody), "%v", err)
	assert.Assert(t, time.Since(started) < time.Second, "%s", time.Since(started))
}

// stalledReader blocks until the channel is closed.
type stalledReader <-chan struct{}

func (r stalledReader) Read([]byte) (int, error) {
	<-r
	return 0, io.EOF
}

// TestExchangeCountsBytesByPurpose sends two messages with answers of known size.
func TestExchangeCountsBytesByPurpose(t *testing.T) {
	server, address := newTestMesh(t, "server", testSecret)
	server.Handle(KindRoster, Typed(func(_ context.Context, _ Identity, text string) (string, error) { return text + text, nil }))
	client, _ := newTestMesh(t, "client", testSecret)
	for range 2 {
		var answer string
		assert.NilError(t, client.Exchange(t.Context(), Peer{Address: address}, KindRoster, "ten bytes!", &answer))
	}
	const header = 1
	assert.Equal(t, testutil.ToFloat64(client.metrics.messages.WithLabelValues("roster")), 2.)
	assert.Equal(t, testutil.ToFloat64(client.metrics.messageBytes.WithLabelValues("roster", "sent")), 2.*(header+10))
	assert.Equal(t, testutil.ToFloat64(client.metrics.messageBytes.WithLabelValues("roster", "received")), 2.*(header+20))
}
