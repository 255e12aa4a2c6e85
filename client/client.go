// Package client sends requests to a fleet of nodes as docs/CALLERS.md
// specifies. A request that is not idempotent is assigned an ID before it is
// sent. While its outcome is unknown, it is retried with the same ID; only after
// a refusal does it get a new one. Refused requests are retried after the delay
// in the Retry-After header.
package client

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/mangomast/mangomast/call"
)

const (
	defaultAttempts   = 6
	defaultTryTimeout = 10 * time.Second
	minBackoff        = 50 * time.Millisecond
	maxBackoff        = 1 * time.Second
	// maxRetryAfterSeconds bounds the Retry-After that is waited for.
	maxRetryAfterSeconds = 3600
	// avoidAfterError is how long a node is avoided after a failed request.
	// avoidAfterClose is how long a node is avoided after it closed the
	// connection with its response, as nodes do when they shut down.
	avoidAfterError    = 2 * time.Second
	avoidAfterClose    = 15 * time.Second
	idsPath            = "/.mangomast/ids"
	maxIDResponseBytes = 4 << 10
)

// Options configures a Client.
type Options struct {
	// Addresses are the addresses, as IP:port, of the callers' listeners of
	// some nodes.
	Addresses []string
	// Key is the organisation's key.
	Key string
	// Attempts is the maximum number of attempts of a request; 6 if 0.
	Attempts int
	// TryTimeout is the timeout of one HTTP request; 10 s if 0.
	TryTimeout time.Duration
	// Transport sends the HTTP requests; if nil, the client creates its own.
	Transport http.RoundTripper
}

// Client sends requests. It is safe for concurrent use.
type Client struct {
	opts Options
	http *http.Client

	mu      sync.Mutex
	avoided map[string]time.Time
}

// Request is a request to a service of the fleet.
type Request struct {
	Method string
	// Target is the path and query.
	Target string
	Header http.Header
	Body   []byte
	// Idempotent requests may run more than once.
	Idempotent bool
}

// Response is the result of a request.
type Response struct {
	Outcome call.Outcome
	// Reason is the value of the Mangomast-Reason header; empty for answered
	// requests.
	Reason string
	// RequestID identifies the request. It is always safe to retry the request
	// with this ID.
	RequestID string
	Status    int
	Header    http.Header
	// Body is the complete response body.
	Body []byte
	// Sends is the number of times that the request was sent.
	Sends int
}

// New returns a client.
func New(opts Options) *Client {
	if opts.Attempts == 0 {
		opts.Attempts = defaultAttempts
	}
	if opts.TryTimeout == 0 {
		opts.TryTimeout = defaultTryTimeout
	}
	if opts.Transport == nil {
		opts.Transport = &http.Transport{MaxIdleConnsPerHost: 64}
	}
	return &Client{
		opts: opts, avoided: map[string]time.Time{},
		http: &http.Client{
			Transport: opts.Transport, Timeout: opts.TryTimeout,
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
	}
}

// Do sends a request until its outcome is final, the attempts are exhausted or
// the context ends. An error means that no node reported the outcome: a request
// that is not idempotent may have run, and the Response has its ID.
func (c *Client) Do(ctx context.Context, req *Request) (*Response, error) {
	last := &Response{Outcome: call.Refused}
	var lastErr error
	for attempt := range c.opts.Attempts {
		if attempt > 0 {
			if err := backoff(ctx, attempt, last); err != nil {
				return last, errors.Wrap(firstError(lastErr, err), "send request")
			}
		}
		next, err := c.attempt(ctx, req, last)
		lastErr = err
		next.Sends += last.Sends
		last = next
		if err == nil && isFinal(next, req.Idempotent) {
			return next, nil
		}
	}
	return last, lastErr
}

func firstError(first, second error) error {
	if first != nil {
		return first
	}
	return second
}

// attempt requests an ID if one is needed and sends the request once. If the
// outcome of the last attempt is unknown, its ID is reused.
func (c *Client) attempt(ctx context.Context, req *Request, last *Response) (*Response, error) {
	id := ""
	if last.Outcome == call.Unknown {
		id = last.RequestID
	}
	if id == "" && !req.Idempotent {
		created, refusal, err := c.NewID(ctx, req)
		if err != nil || refusal != nil {
			return refusedIfNil(refusal), err
		}
		id = created
	}
	return c.Send(ctx, req, id)
}

// refusedIfNil returns the refusal, or an empty refused Response if it is nil.
func refusedIfNil(refusal *Response) *Response {
	if refusal == nil {
		return &Response{Outcome: call.Refused}
	}
	return refusal
}

// NewID requests an ID for a request that is not idempotent. A refusal is
// returned as a Response.
func (c *Client) NewID(ctx context.Context, req *Request) (string, *Response, error) {
	path, _, _ := strings.Cut(req.Target, "?")
	query := url.Values{"method": {req.Method}, "path": {path}}
	resp, err := c.roundTrip(ctx, http.MethodPost, idsPath+"?"+query.Encode(), http.Header{}, nil)
	if err != nil {
		return "", nil, err
	}
	if resp.Status != http.StatusCreated {
		resp.Outcome, resp.Sends = call.Refused, 0
		return "", resp, nil
	}
	var created struct {
		ID string `json:"id"`
	}
	if len(resp.Body) > maxIDResponseBytes {
		return "", nil, errors.New("response with the request ID exceeds 4 KiB")
	}
	err = json.Unmarshal(resp.Body, &created)
	return created.ID, nil, errors.Wrap(err, "decode request ID")
}

// Send sends a request once, with the given ID unless it is empty. If it
// returns an error, the outcome in the Response is Unknown.
func (c *Client) Send(ctx context.Context, req *Request, id string) (*Response, error) {
	header := req.Header.Clone()
	if header == nil {
		header = http.Header{}
	}
	if id != "" {
		header.Set(call.HeaderRequestID, id)
	}
	resp, err := c.roundTrip(ctx, req.Method, req.Target, header, req.Body)
	if err != nil {
		return &Response{Outcome: call.Unknown, RequestID: id, Sends: 1}, err
	}
	resp.RequestID = resp.Header.Get(call.HeaderRequestID)
	if id != "" {
		resp.RequestID = id
	}
	return resp, nil
}

func outcomeOf(header http.Header) call.Outcome {
	for _, outcome := range []call.Outcome{call.Answered, call.Refused} {
		if header.Get(call.HeaderOutcome) == outcome.String() {
			return outcome
		}
	}
	return call.Unknown
}

func (c *Client) roundTrip(ctx context.Context, method, target string, header http.Header, body []byte) (*Response, error) {
	address := c.pickAddress()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+target, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, "build request")
	}
	req.Header = header
	req.Header.Set("Authorization", "Bearer "+c.opts.Key)
	resp, err := c.http.Do(req)
	if err != nil {
		c.avoid(address, avoidAfterError)
		return nil, err
	}
	defer resp.Body.Close()
	if resp.Close {
		c.avoid(address, avoidAfterClose)
	}
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return nil, errors.Wrap(err, "read response body")
	}
	return &Response{
		Outcome: outcomeOf(resp.Header), Reason: resp.Header.Get(call.HeaderReason),
		Status: resp.StatusCode, Header: resp.Header, Body: data, Sends: 1,
	}, nil
}

// pickAddress returns a random address that is not avoided at present, or any
// address if all are avoided.
func (c *Client) pickAddress() string {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	usable := make([]string, 0, len(c.opts.Addresses))
	for _, address := range c.opts.Addresses {
		if now.After(c.avoided[address]) {
			usable = append(usable, address)
		}
	}
	if len(usable) == 0 {
		usable = c.opts.Addresses
	}
	return usable[rand.IntN(len(usable))]
}

func (c *Client) avoid(address string, duration time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.avoided[address] = time.Now().Add(duration)
}

// backoff waits for the time in the Retry-After header of the last response or,
// without one, for an exponentially increasing time with jitter.
func backoff(ctx context.Context, attempt int, last *Response) error {
	wait := min(maxBackoff, minBackoff<<attempt)
	wait = wait/2 + rand.N(wait/2)
	if after, ok := retryAfter(last); ok {
		wait = after
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// retryAfter returns the time in the Retry-After header, if there is one.
func retryAfter(resp *Response) (time.Duration, bool) {
	seconds, err := strconv.Atoi(resp.Header.Get("Retry-After"))
	if err != nil || seconds <= 0 {
		return 0, false
	}
	return time.Duration(min(seconds, maxRetryAfterSeconds)) * time.Second, true
}
