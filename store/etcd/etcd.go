// Package etcd implements store.Store over the JSON gateway of etcd v3. It uses
// net/http only.
package etcd

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/mangomast/mangomast/store"
)

const (
	dialTimeout      = 1 * time.Second
	callTimeout      = 5 * time.Second
	maxResponseBytes = 64 << 20
	// maxIdlePerHost is in connections.
	maxIdlePerHost  = 8
	idleConnTimeout = 30 * time.Second
)

// Options are the inputs of New.
type Options struct {
	// Endpoints are base URLs such as http://10.0.0.5:2379. After a failed
	// request the client switches to the next one.
	Endpoints []string
	// LocalIP is the address that connections are dialed from; empty for any.
	LocalIP string
}

// Client is a client of the JSON gateway.
type Client struct {
	endpoints       []string
	currentEndpoint atomic.Uint32
	http            *http.Client
}

var _ store.Store = (*Client)(nil)

// New returns a client. It connects on first use.
func New(opts Options) *Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	if ip := net.ParseIP(opts.LocalIP); ip != nil && !ip.IsUnspecified() {
		dialer.LocalAddr = &net.TCPAddr{IP: ip}
	}
	transport := &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: maxIdlePerHost,
		IdleConnTimeout:     idleConnTimeout,
	}
	return &Client{endpoints: opts.Endpoints, http: &http.Client{Transport: transport}}
}

// Get implements store.Store.
func (c *Client) Get(ctx context.Context, key string) (store.Listing, error) {
	return c.read(ctx, RangeRequest{Key: []byte(key)})
}

// List implements store.Store.
func (c *Client) List(ctx context.Context, prefix string) (store.Listing, error) {
	return c.read(ctx, RangeRequest{Key: []byte(prefix), RangeEnd: RangeEnd([]byte(prefix))})
}

// ListStale implements store.Store.
func (c *Client) ListStale(ctx context.Context, prefix string) (store.Listing, error) {
	return c.read(ctx, RangeRequest{Key: []byte(prefix), RangeEnd: RangeEnd([]byte(prefix)), Serializable: true})
}

// ListRevisions implements store.Store.
func (c *Client) ListRevisions(ctx context.Context, prefix string) (store.Listing, error) {
	return c.read(ctx, RangeRequest{Key: []byte(prefix), RangeEnd: RangeEnd([]byte(prefix)), KeysOnly: true})
}

func (c *Client) read(ctx context.Context, req RangeRequest) (store.Listing, error) {
	var resp RangeResponse
	if err := c.call(ctx, PathRange, req, &resp); err != nil {
		return store.Listing{}, err
	}
	listing := store.Listing{Revision: resp.Header.Revision}
	for _, kv := range resp.Kvs {
		listing.Records = append(listing.Records, newRecord(kv))
	}
	return listing, nil
}

func newRecord(kv KeyValue) store.Record {
	return store.Record{Key: string(kv.Key), Value: kv.Value, ModRevision: kv.ModRevision}
}

// Commit implements store.Store.
func (c *Client) Commit(ctx context.Context, txn store.Txn) (store.TxnResult, error) {
	var req TxnRequest
	for _, cmp := range txn.Compares {
		op := CompareOp{Key: []byte(cmp.Key), Target: TargetMod, Result: ResultEqual, ModRevision: cmp.Revision}
		req.Compare = append(req.Compare, op)
	}
	for _, put := range txn.Puts {
		op := &PutRequest{Key: []byte(put.Key), Value: put.Value, Lease: int64(put.Lease)}
		req.Success = append(req.Success, RequestOp{Put: op})
	}
	for _, key := range txn.Deletes {
		req.Success = append(req.Success, RequestOp{Delete: &DeleteRequest{Key: []byte(key)}})
	}
	for _, key := range txn.Reads {
		req.Failure = append(req.Failure, RequestOp{Range: &RangeRequest{Key: []byte(key)}})
	}
	var resp TxnResponse
	if err := c.call(ctx, PathTxn, req, &resp); err != nil {
		return store.TxnResult{}, err
	}
	result := store.TxnResult{Succeeded: resp.Succeeded, Revision: resp.Header.Revision}
	for _, op := range resp.Responses {
		if op.Range == nil {
			continue
		}
		for _, kv := range op.Range.Kvs {
			result.Records = append(result.Records, newRecord(kv))
		}
	}
	return result, nil
}

// Grant implements store.Store.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (store.LeaseID, error) {
	var resp LeaseResponse
	err := c.call(ctx, PathGrant, LeaseRequest{TTL: int64(ttl / time.Second)}, &resp)
	return store.LeaseID(resp.ID), err
}

// KeepAlive implements store.Store.
func (c *Client) KeepAlive(ctx context.Context, id store.LeaseID) (time.Duration, error) {
	var resp KeepAliveResponse
	err := c.call(ctx, PathKeepAlive, LeaseRequest{ID: int64(id)}, &resp)
	return store.Lifetime(resp.Result.TTL, time.Second), err
}

// Revoke implements store.Store.
func (c *Client) Revoke(ctx context.Context, id store.LeaseID) error {
	var resp LeaseResponse
	return c.call(ctx, PathRevoke, LeaseRequest{ID: int64(id)}, &resp)
}

// Watch implements store.Store.
func (c *Client) Watch(ctx context.Context, prefix string, from int64, _ func() bool, handle func(store.WatchBatch)) error {
	key := []byte(prefix)
	req := WatchRequest{Create: WatchCreate{Key: key, RangeEnd: RangeEnd(key), StartRevision: from}}
	resp, err := c.post(ctx, PathWatch, req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	decoder := json.NewDecoder(resp.Body)
	for {
		var message WatchMessage
		if err := decoder.Decode(&message); err != nil {
			return errors.Wrap(err, "read watch response")
		}
		handle(newWatchBatch(message.Result))
	}
}

func newWatchBatch(result WatchResult) store.WatchBatch {
	b := store.WatchBatch{Revision: result.Header.Revision}
	for _, event := range result.Events {
		b.Events = append(b.Events, store.Event{Record: newRecord(event.Kv), Deleted: event.Type == EventDeleted})
	}
	return b
}

func (c *Client) call(ctx context.Context, path string, req, resp any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	httpResp, err := c.post(ctx, path, req)
	if err != nil {
		return err
	}
	defer httpResp.Body.Close()
	if err := json.NewDecoder(io.LimitReader(httpResp.Body, maxResponseBytes)).Decode(resp); err != nil {
		return errors.Wrap(WrapOutcomeUnknown(err), path)
	}
	return nil
}

// WrapOutcomeUnknown returns store.ErrOutcomeUnknown wrapped with the text of
// err, the error of a failed or truncated response.
func WrapOutcomeUnknown(err error) error {
	return errors.Wrap(store.ErrOutcomeUnknown, err.Error())
}

func (c *Client) post(ctx context.Context, path string, body any) (*http.Response, error) {
	data, err := json.Marshal(body)
	if err != nil {
		return nil, errors.Wrap(err, "encode store request")
	}
	index := c.currentEndpoint.Load()
	endpoint := c.endpoints[int(index)%len(c.endpoints)]
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, endpoint+path, bytes.NewReader(data))
	if err != nil {
		return nil, errors.Wrap(err, "build store request")
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.http.Do(req)
	if err != nil {
		c.currentEndpoint.CompareAndSwap(index, index+1)
		return nil, classify(err)
	}
	if resp.StatusCode != http.StatusOK {
		defer resp.Body.Close()
		c.currentEndpoint.CompareAndSwap(index, index+1)
		return nil, errors.Wrapf(store.ErrUnavailable, "%s answered %s", path, resp.Status)
	}
	return resp, nil
}

// classify returns ErrUnavailable for a failed dial, after which the store
// cannot have seen the request, and ErrOutcomeUnknown for any other failure.
func classify(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return errors.Wrap(store.ErrUnavailable, err.Error())
	}
	return WrapOutcomeUnknown(err)
}
