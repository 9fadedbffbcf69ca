package proxy

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// FuzzRawRequest sends arbitrary bytes to an entry, as a caller might. The target must not execute more requests than the
// caller gets responses, and another caller must still get its own response.
func FuzzRawRequest(f *testing.F) {
	head := "POST /x HTTP/1.1\r\nHost: plans\r\n"
	for _, seed := range []string{
		head + "Content-Length: 5\r\n\r\nhello",
		head + "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /smuggled HTTP/1.1\r\nHost: plans\r\n\r\n",
		head + "Content-Length: 5\r\nContent-Length: 6\r\n\r\nhello!",
		head + "Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n",
		head + "Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n\r\n0\r\n\r\n",
		head + "Content-Length: -1\r\n\r\n",
		head + "Content-Length: 10\r\n\r\nshort",
		head + "X: " + strings.Repeat("a", 100<<10) + "\r\n\r\n",
		"POST /x HTTP/1.1\nHost: plans\nContent-Length: 2\n\nhi",
		head + "X: a\r\n b\r\nContent-Length: 0\r\n\r\n",
		head + "X\x00: a\r\n\r\n",
		head + "Daisysaddle-Hop: Spill\r\nContent-Length: 0\r\n\r\n",
		head + "Idempotency-Key: \"\"\r\nRequest-Timeout: NaN\r\nContent-Length: 0\r\n\r\n",
		head + "Transfer-Encoding: chunked\r\n\r\n5;a=b\r\nhello\r\n0\r\nTrailer: x\r\n\r\n",
		head + "Transfer-Encoding: chunked\r\n\r\nFFFFFFFFFFFFFFFFF\r\n",
		"GET http://other/x HTTP/1.1\r\nHost: plans\r\n\r\nGET /y HTTP/1.1\r\nHost: plans\r\n\r\n",
		"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n",
		"CONNECT plans:80 HTTP/1.1\r\nHost: plans\r\n\r\n",
		head + "Connection: Upgrade, Idempotency-Key\r\nUpgrade: websocket\r\nContent-Length: 0\r\n\r\n",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		target := newRawTarget(t, func(s *session) {
			for {
				r, ok := s.readRequest()
				if !ok {
					return
				}
				s.respond(r.Header.Get("Own"))
			}
		})
		_, server := newProxy(t, nil, target.address())
		done := sendRaw(t, server.Listener.Addr().String(), raw)
		must.LessEq(t, int64(done), target.executions.Load())
		_, text, err := sendRequest(t, server, http.MethodPut, "", "Own", "mine")
		must.NoError(t, err)
		must.Eq(t, "mine", text)
	})
}

const rawTimeout = 10 * time.Second

// sendRaw writes raw to a new connection, closes its write side and returns the number of final responses.
func sendRaw(t *testing.T, address string, raw []byte) int {
	conn, err := net.Dial("tcp", address)
	must.NoError(t, err)
	defer conn.Close()
	must.NoError(t, conn.SetDeadline(time.Now().Add(rawTimeout)))
	_, _ = conn.Write(raw) // the entry may close before it has read everything
	_ = conn.(*net.TCPConn).CloseWrite()
	answers := 0
	reader := bufio.NewReader(conn)
	for {
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			return answers
		}
		if _, err := io.Copy(io.Discard, response.Body); err != nil {
			return answers
		}
		if response.StatusCode >= http.StatusOK {
			answers++
		}
	}
}
