package httpcall

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/labstack/echo/v4"
	"gotest.tools/v3/assert"

	"github.com/mangomast/mangomast/call"
)

// TestBrokenAnswerIsNotWhole guards against a caller that takes a part of an answer
// without a length for the whole, also with HTTP/1.0, where it ends with its connection.
func TestBrokenAnswerIsNotWhole(t *testing.T) {
	e := echo.New()
	e.GET("/:answer", func(c echo.Context) error {
		answer := io.Reader(strings.NewReader(strings.Repeat("x", 64<<10)))
		if c.Param("answer") == "broken" {
			answer = io.MultiReader(answer, brokenReader{})
		}
		return WriteReply(c, "", &call.Reply{Outcome: call.Answered, Status: http.StatusOK, Length: -1}, io.NopCloser(answer), 1<<20)
	})
	server := httptest.NewServer(e)
	defer server.Close()
	for _, proto := range []string{"HTTP/1.0", "HTTP/1.1"} {
		for _, path := range []string{"whole", "broken"} {
			conn, err := net.Dial("tcp", server.Listener.Addr().String())
			assert.NilError(t, err)
			_, err = fmt.Fprintf(conn, "GET /%s %s\r\nHost: a\r\n\r\n", path, proto)
			assert.NilError(t, err)
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err == nil {
				_, err = io.ReadAll(resp.Body)
				_ = resp.Body.Close()
			}
			assert.Equal(t, err == nil, path == "whole", "%s %s: %v", proto, path, err)
			assert.NilError(t, conn.Close())
		}
	}
}

type brokenReader struct{}

// Read implements io.Reader.
func (brokenReader) Read([]byte) (int, error) { return 0, errors.New("broken") }
