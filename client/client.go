// Package client sends requests to a fleet of nodes the way docs/CALLERS.md
// asks for: a request that is not idempotent gets an ID first, is sent again
// under the same ID while its outcome is unknown, and under a new one only
// after a refusal; refusals are retried after the time that they name.
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
	minPause          = 50 * time.Millisecond
	maxPause          = 1 * time.Second
	// avoidFailed and avoidLeaving are how long a node is avoided that failed,
	// or that closed the connection as a node does that is leaving.
	avoidFailed  = 2 * time.Second
	avoidLeaving = 15 * time.Second
	idsPath      = "/.mangomast/ids"
	maxIDs       = 4 << 10
)

// Options are the inputs of New.
type Options struct {
	// Addresses are the caller addresses of some nodes, as IP:port.
	Addresses []string
	// Key is the organisation's key.
	Key string
	// Attempts bounds the sends of one request; 6 if 0.
	Attempts int
	// TryTimeout bounds one send; 10 s if 0.
	TryTimeout time.Duration
	// Transport carries the requests; a transport of its own if nil.
	Transport http.RoundTripper
}

// Client sends requests. It is safe for concurrent use.
type Client struct {
	opts Options
	http *http.Client

	mu      sync.Mutex
	avoided map[string]time.Time
}

// Request is what a caller wants done.
type Request struct {
	Method string
	// Target is the path with its query.
	Target string
	Header http.Header
	Body   []byte
	// Idempotent requests may run more than once.
	Idempotent bool
}

// Response is what became of a request.
type Response struct {
	Outcome call.Outcome
	// Reason is the value of Mangomast-Reason; empty for answered requests.
	Reason string
	// RequestID names the request; asking again with it is always safe.
	RequestID string
	Status    int
	Header    http.Header
	// Body is the whole answer.
	Body []byte
	// Sends counts how often the request was sent.
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

// Do sends a request until its outcome is final, the attempts are used up or
// the context ends. An error means that no node told the outcome: a request
// that is not idempotent may have run, and the Response has its ID.
func (c *Client) Do(ctx context.Context, req *Request) (*Response, error) {
	last := &Response{Outcome: call.Refused}
	var lastErr error
	for attempt := range c.opts.Attempts {
		if attempt > 0 {
			if err := pause(ctx, attempt, last); err != nil {
				return last, errors.Wrap(firstError(lastErr, err), "send request")
			}
		}
		next, err := c.attempt(ctx, req, last)
		lastErr = err
		next.Sends += last.Sends
		last = next
		if err == nil && final(next, req.Idempotent) {
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

// attempt gets an ID if one is needed and sends the request once. The ID is
// kept while the outcome is unknown.
func (c *Client) attempt(ctx context.Context, req *Request, last *Response) (*Response, error) {
	id := ""
	if last.Outcome == call.Unknown {
		id = last.RequestID
	}
	if id == "" && !req.Idempotent {
		minted, refusal, err := c.NewID(ctx, req)
		if err != nil || refusal != nil {
			return orRefused(refusal), err
		}
		id = minted
	}
	return c.Send(ctx, req, id)
}

func orRefused(refusal *Response) *Response {
	if refusal == nil {
		return &Response{Outcome: call.Refused}
	}
	return refusal
}

// NewID gets an ID for a request that is not idempotent. A refusal is
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
	var minted struct {
		ID string `json:"id"`
	}
	if len(resp.Body) > maxIDs {
		return "", nil, errors.New("request id is too large")
	}
	err = json.Unmarshal(resp.Body, &minted)
	return minted.ID, nil, errors.Wrap(err, "read request id")
}

// Send sends a request once, under the ID if it is not empty. After an error
// the outcome in the Response is Unknown.
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
	address := c.pick()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+target, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, "build request")
	}
	req.Header = header
	req.Header.Set("Authorization", "Bearer "+c.opts.Key)
	resp, err := c.http.Do(req)
	if err != nil {
		c.avoid(address, avoidFailed)
		return nil, err
	}
	defer resp.Body.Close()
	if resp.Close {
		c.avoid(address, avoidLeaving)
	}
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return nil, errors.Wrap(err, "read answer")
	}
	return &Response{
		Outcome: outcomeOf(resp.Header), Reason: resp.Header.Get(call.HeaderReason),
		Status: resp.StatusCode, Header: resp.Header, Body: data, Sends: 1,
	}, nil
}

// pick returns a random address that is not being avoided, or any.
func (c *Client) pick() string {
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

func (c *Client) avoid(address string, length time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.avoided[address] = time.Now().Add(length)
}

// pause waits for the time that the last answer named, or a growing random
// time.
func pause(ctx context.Context, attempt int, last *Response) error {
	wait := min(maxPause, minPause<<attempt)
	wait = wait/2 + rand.N(wait/2)
	if seconds, err := strconv.Atoi(last.Header.Get("Retry-After")); err == nil && seconds > 0 {
		wait = time.Duration(seconds) * time.Second
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
