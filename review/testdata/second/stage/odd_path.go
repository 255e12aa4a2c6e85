package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

func init() { cases["odd-path"] = oddPath }

// oddPath has clients send paths with characters that are not escaped. A server must get
// the path as it was sent, or nothing.
func oddPath(s *stage) (int, error) {
	work := 10 * time.Millisecond
	if err := s.deploy(vm{"riga-vecriga", "quotes", 64, work}, vm{"riga-centrs", "tills", 80, work}); err != nil {
		return failed, err
	}
	time.Sleep(2 * beatInterval)
	paths := []string{"/quotes/a%7Cb", "/quotes/%7Bfare%7D", "/quotes/majori-st%C4%81v", "/quotes/~a;b=1,c:@!$&'()*+"}
	if s.trouble {
		paths = []string{"/quotes/a|b", "/quotes/{fare}", "/quotes/majori-st\u0101v", "/quotes/a^b"}
	}
	changed, sent := 0, 0
	for _, n := range s.nodes {
		for _, path := range paths {
			id := newID()
			status, err := sendRaw(n, id, path)
			if err != nil {
				return failed, err
			}
			sent++
			ran := s.servers[0].target(id)
			s.add("client sends %s %q to %s and gets %d; the server ran %q", id, path, n.name, status, ran)
			if ran != "" && ran != path {
				changed++
			}
		}
	}
	s.conclude("%d requests sent; a server ran %d of them with another path", sent, changed)
	if changed > 0 {
		return broken, nil
	}
	return held, nil
}

// sendRaw sends a request whose path is sent byte for byte, and returns the status of the
// answer.
func sendRaw(n *node, id, path string) (int, error) {
	conn, err := net.DialTimeout("tcp", n.outbound, time.Second)
	if err != nil {
		return 0, err
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
	_, err = fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: desk.example\r\n%s: %s\r\n%s: 3000\r\nAuthorization: Token %s\r\n\r\n",
		path, names["id"], id, names["deadline"], tenantKey)
	if err != nil {
		return 0, err
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, err
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, resp.Body.Close()
}
