package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

const apiKey = "6wsjnbanfqasnmgkcuyj"

var requestCount atomic.Int64

// request is one request of a client.
type request struct {
	id           string
	method, host string
	// target is written as it is.
	target   string
	patience time.Duration
	// keyless requests come without a key.
	keyless bool
}

// result is what the client has seen of a request.
type result struct {
	id     string
	status int
	err    error
	sent   time.Time
	ended  time.Time
	// signed is true if the answer bears a server's signature.
	signed bool
}

func nextID() string { return fmt.Sprintf("%016x", requestCount.Add(1)) }

// send sends a request on a new connection, as the clients on the machine do, and waits
// for the whole answer.
func (f *fleet) send(v *vm, r request) result {
	if r.id == "" {
		r.id = nextID()
	}
	out := result{id: r.id, sent: time.Now()}
	out.err = f.exchange(v, r, &out)
	out.ended = time.Now()
	return out
}

func (f *fleet) exchange(v *vm, r request, out *result) error {
	conn, err := net.DialTimeout("tcp", v.outbound, time.Second)
	if err != nil {
		return err
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(r.patience))
	var head strings.Builder
	fmt.Fprintf(&head, "%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\nConnection: close\r\n",
		r.method, r.target, r.host, f.names.Heads["id"], r.id, f.names.Heads["deadline"], r.patience.Milliseconds())
	if !r.keyless {
		head.WriteString("Authorization: Token " + apiKey + "\r\n")
	}
	if _, err := io.WriteString(conn, head.String()+"\r\n"); err != nil {
		return err
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: r.method})
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	out.status, out.signed = resp.StatusCode, resp.Header.Get(f.names.Heads["signature"]) != ""
	_, err = io.Copy(io.Discard, resp.Body)
	return err
}
