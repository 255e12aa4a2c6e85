// Package httpcall reads request bodies from and writes replies to HTTP
// connections. The ingress and the egress share it.
package httpcall

import (
	"encoding/json"
	"io"
	"math"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"sync"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/pkg/errors"

	"github.com/mangomast/mangomast/call"
	"github.com/mangomast/mangomast/internal/bodymemory"
)

const copyBufferBytes = 32 << 10

// copyBuffers is a pool of buffers for copying answers.
var copyBuffers = sync.Pool{New: func() any { return new([copyBufferBytes]byte) }}

const (
	// bodyMemoryBytes bounds the bodies of the requests of one listener. It
	// leaves most of the smallest VM's memory (184 MB) to other uses.
	bodyMemoryBytes = 32 << 20
	// bodyMemoryWait is how long a request waits for memory for its body.
	bodyMemoryWait = 200 * time.Millisecond
	// bodyMemoryRetryAfter is the mean Retry-After without memory, when slow
	// senders hold it for seconds.
	bodyMemoryRetryAfter = time.Second
)

// BodyReader reads request bodies within a bound on their total size. It is
// safe for concurrent use.
type BodyReader struct {
	budget *bodymemory.Budget
}

// NewBodyReader returns a BodyReader for one listener.
func NewBodyReader() *BodyReader {
	return &BodyReader{budget: bodymemory.NewBudget(bodyMemoryBytes, bodyMemoryWait)}
}

// Read reads a request's body of at most limit bytes. It returns a refusal if
// the body is too large or incomplete, or if there is no memory for it.
// Otherwise the caller calls release once the body is no longer used.
func (b *BodyReader) Read(c echo.Context, limit int64) (body []byte, release func(), refusal *call.Reply) {
	r := c.Request()
	body, reservation, err := b.budget.Read(r.Context(), r.Body, r.ContentLength, limit)
	switch {
	case err == nil:
		return body, reservation.Release, nil
	case errors.Is(err, bodymemory.ErrTooLarge):
		return nil, nil, call.Refuse(call.CodeTooLarge, "the request body is larger than the route allows")
	case errors.Is(err, bodymemory.ErrNoMemory):
		refusal := call.Refuse(call.CodeOverloaded, "the node has no memory for the request body")
		refusal.RetryAfter = time.Duration((0.5 + rand.Float64()) * float64(bodyMemoryRetryAfter))
		return nil, nil, refusal
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, nil, call.Refuse(call.CodeSlowBody, "the request body did not arrive in time")
	}
	return nil, nil, call.Refuse(call.CodeBadRequest, "the request body did not arrive whole")
}

// problem is the JSON body of a reply that does not come from an upstream.
type problem struct {
	Outcome   string `json:"outcome"`
	Reason    string `json:"reason"`
	Message   string `json:"message"`
	RequestID string `json:"request_id,omitempty"`
}

// WriteReply writes a reply and closes its body. An answer whose length is known
// to exceed maxAnswerBytes is replaced by an unknown outcome. If an answer turns
// out to be truncated or too large while it is copied, the connection is aborted
// so that the caller does not mistake the answer for a complete one.
func WriteReply(c echo.Context, requestID string, reply *call.Reply, answer io.ReadCloser, maxAnswerBytes int64) error {
	if answer != nil {
		defer answer.Close()
	}
	header := c.Response().Header()
	if reply.Outcome != call.Answered {
		writeOutcomeHeaders(header, requestID, reply)
		return writeProblem(c, requestID, reply)
	}
	if !call.IsFinalStatus(reply.Status) {
		// A node of another version sent it.
		invalid := call.UnknownOutcome(call.CodeUpstreamFailed, "the upstream's answer is not valid")
		writeOutcomeHeaders(header, requestID, invalid)
		return writeProblem(c, requestID, invalid)
	}
	if reply.Length > maxAnswerBytes {
		tooLarge := call.UnknownOutcome(call.CodeTooLarge, "the answer is larger than the route allows")
		writeOutcomeHeaders(header, requestID, tooLarge)
		return writeProblem(c, requestID, tooLarge)
	}
	call.AddFields(header, reply.Header)
	writeOutcomeHeaders(header, requestID, reply)
	if reply.Length >= 0 {
		header.Set("Content-Length", strconv.FormatInt(reply.Length, 10))
	}
	c.Response().WriteHeader(reply.Status)
	copyAnswer(c, answer, reply.Length, maxAnswerBytes)
	return nil
}

func writeOutcomeHeaders(header http.Header, requestID string, reply *call.Reply) {
	header.Set(call.HeaderOutcome, reply.Outcome.String())
	if requestID != "" {
		header.Set(call.HeaderRequestID, requestID)
	}
	if reply.Outcome != call.Answered {
		header.Set(call.HeaderReason, reply.Code.String())
	}
	if reply.RetryAfter > 0 {
		header.Set("Retry-After", strconv.Itoa(int(math.Ceil(reply.RetryAfter.Seconds()))))
	}
}

func writeProblem(c echo.Context, requestID string, reply *call.Reply) error {
	body, err := json.Marshal(problem{
		Outcome: reply.Outcome.String(), Reason: reply.Code.String(), Message: reply.Message, RequestID: requestID,
	})
	if err != nil {
		return err
	}
	return c.JSONBlob(Status(reply), body)
}

// Status returns the HTTP status of a reply. Unless the reply is an upstream's
// answer, 503 means that the request was not run: every refusal with a 5xx code
// maps to 503, and an unknown outcome never does.
func Status(reply *call.Reply) int {
	status := reply.Code.HTTPStatus()
	switch {
	case reply.Outcome == call.Answered:
		return reply.Status
	case reply.Outcome == call.Unknown && status == http.StatusServiceUnavailable:
		return http.StatusBadGateway
	case reply.Outcome == call.Refused && status >= http.StatusInternalServerError:
		return http.StatusServiceUnavailable
	}
	return status
}

// copyAnswer copies the answer and aborts the connection if it is incomplete or
// larger than limit.
func copyAnswer(c echo.Context, answer io.Reader, length, limit int64) {
	if answer == nil {
		return
	}
	buffer := copyBuffers.Get().(*[copyBufferBytes]byte)
	written, err := io.CopyBuffer(onlyWriter{c.Response()}, io.LimitReader(answer, limit+1), buffer[:])
	copyBuffers.Put(buffer)
	bodyless := c.Request().Method == http.MethodHead
	short := length >= 0 && written != length && !bodyless
	if err != nil || short || written > limit {
		abort(c)
	}
}

// abort ends the connection so that the caller does not take what it got for the whole
// answer. For HTTP/1.0 an answer without a length ends with its connection, which is
// therefore reset.
func abort(c echo.Context) {
	if !c.Request().ProtoAtLeast(1, 1) {
		if conn, _, err := http.NewResponseController(c.Response()).Hijack(); err == nil {
			if tcp, ok := conn.(interface{ SetLinger(sec int) error }); ok {
				_ = tcp.SetLinger(0)
			}
			_ = conn.Close()
		}
	}
	panic(http.ErrAbortHandler)
}

// onlyWriter hides ReadFrom, which would bypass the buffer.
type onlyWriter struct{ io.Writer }
