package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"time"
)

const tenantKey = "6wsjnbanfqasnmgkcuyj"

var lastID atomic.Int64

func newID() string { return fmt.Sprintf("%016x", 0x1c41d07be0000000+lastID.Add(1)) }

// request is one attempt of a client.
type request struct {
	id, method, path string
	deadline         time.Duration
}

// result is what a client saw.
type result struct {
	request
	sent   time.Time
	took   time.Duration
	status int
	signed bool
	body   string
	err    error
}

func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 100, IdleConnTimeout: 10 * time.Second}}
}

// send sends a request to a node and waits for the whole answer.
func send(rec *record, client *http.Client, n *node, q request) result {
	if q.id == "" {
		q.id = newID()
	}
	got := result{request: q, sent: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), q.deadline)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, q.method, "http://"+n.outbound+q.path, nil)
	if err != nil {
		got.err = err
		return got
	}
	req.Host = "desk.example"
	req.Header.Set(names["id"], q.id)
	req.Header.Set(names["deadline"], fmt.Sprint(q.deadline.Milliseconds()))
	req.Header.Set("Authorization", "Token "+tenantKey)
	rec.add("client sends %s %s %s to %s", q.id, q.method, q.path, n.name)
	resp, err := client.Do(req)
	if err == nil {
		var data []byte
		data, err = io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		got.status, got.body = resp.StatusCode, string(data)
		got.signed = resp.Header.Get(names["signature"]) != ""
	}
	got.err, got.took = err, time.Since(got.sent)
	if err != nil {
		rec.add("client has no answer to %s after %s: %v", q.id, got.took.Round(time.Millisecond), err)
		return got
	}
	rec.add("client gets %d for %s after %s, signed %t, %.120q", got.status, q.id, got.took.Round(time.Millisecond), got.signed, got.body)
	return got
}

// ready reports whether the node says that it is ready.
func ready(n *node) bool {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + n.readiness + names["ready"])
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
