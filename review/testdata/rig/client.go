package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// host is the host of the routes in config.tmpl.
const host = "api.example"

// clientDeadline is the time that clients wait for an answer.
const clientDeadline = 5 * time.Second

var lastID atomic.Int64

// result is what a client saw of one request.
type result struct {
	id      string
	sent    time.Time
	ended   time.Time
	status  int
	failure string
	// whole is true if a complete answer arrived, and signed if it is a server's.
	whole, signed bool
	// refusedConn is true if no connection could be made.
	refusedConn bool
}

// send sends one request to a node on a new connection, without a key if it is
// empty.
func send(rec *record, address, method, path, key, body string) result {
	got := result{id: fmt.Sprintf("%016x", lastID.Add(1))}
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		got.refusedConn, got.failure, got.ended = true, err.Error(), time.Now()
		return got
	}
	defer func() { _ = conn.Close() }()
	got.sent = time.Now()
	_ = conn.SetDeadline(got.sent.Add(clientDeadline))
	rec.add("client sends %s (%s %s) to %s", got.id, method, path, address)
	auth := ""
	if key != "" {
		auth = "Authorization: Token " + key + "\r\n"
	}
	length := ""
	if body != "" {
		length = fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	_, err = fmt.Fprintf(conn, "%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n%s%s\r\n%s",
		method, path, host, names.RequestID, got.id, names.Deadline, clientDeadline.Milliseconds(), auth, length, body)
	if err == nil {
		err = got.read(conn, method)
	}
	got.ended = time.Now()
	if err != nil {
		got.failure = err.Error()
	}
	rec.add("client of %s gets status %d, whole %t %s", got.id, got.status, got.whole, got.failure)
	return got
}

// read reads the answer.
func (r *result) read(conn net.Conn, method string) error {
	resp, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: method})
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	r.status, r.signed = resp.StatusCode, resp.Header.Get(names.Signature) != ""
	if _, err := io.ReadAll(resp.Body); err != nil {
		return err
	}
	r.whole = true
	return nil
}
