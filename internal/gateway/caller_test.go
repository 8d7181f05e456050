package gateway

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/cockroachdb/errors"
)

// disconnectedCaller is a response writer whose writes fail, as after the caller closed its
// connection. The write fails before net/http cancels the request's context.
type disconnectedCaller struct{ http.ResponseWriter }

func (disconnectedCaller) Write([]byte) (int, error) { return 0, errors.New("broken pipe") }

// A caller closes its connection while a response is written to it. This must not count as a
// failure of the engine, and a resumable stream must not be sent to another engine, which
// would execute it without a recipient.
func TestCallerDisconnectIsNotServerFailure(t *testing.T) {
	for _, path := range []string{"/stream/x", "/again/x"} {
		t.Run(path, func(t *testing.T) {
			var taken atomic.Int32
			serve := func(conn net.Conn) {
				defer func() { _ = conn.Close() }()
				readRequest(conn)
				taken.Add(1)
				if path == "/again/x" {
					_, _ = io.WriteString(conn, answerHead("r1", "Content-Length: 5\r\n")+"whole")
					return
				}
				_, _ = io.WriteString(conn, answerHead("r1", streamHead)+chunk(event(1))+chunk(event(2)))
				_, _ = io.Copy(io.Discard, conn) // until the gateway closes the connection
			}
			s := newFixture(t, serve, serve)
			request := httptest.NewRequest(http.MethodPost, path, strings.NewReader("note"))
			request.Host = "callers.example"
			request.Header.Set("Nutmeglane-Request-Id", "r1")
			func() {
				defer func() {
					if cause := recover(); cause != http.ErrAbortHandler { //nolint:errorlint // net/http compares it in the same way
						t.Errorf("the handler ended with %v", cause)
					}
				}()
				s.gateway.ServeHTTP(disconnectedCaller{httptest.NewRecorder()}, request)
			}()
			if n := taken.Load(); n != 1 {
				t.Errorf("%d servers got the request, want 1", n)
			}
			if n := s.gateway.ActiveRequests(); n != 0 {
				t.Errorf("%d active requests, want 0", n)
			}
		})
	}
}
