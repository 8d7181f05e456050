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

// leftCaller is a caller whose connection is closed: writes to it fail. It is
// noticed by the write before the server's HTTP code tells of the end.
type leftCaller struct{ http.ResponseWriter }

func (leftCaller) Write([]byte) (int, error) { return 0, errors.New("broken pipe") }

// A caller closes its connection while an answer is written to it. The engine
// does nothing wrong: it must not count as failing, and a stream that could be
// resumed must not go to another engine, where it would run for nobody.
func TestCallerWhoLeftIsNoFailureOfTheServer(t *testing.T) {
	for _, path := range []string{"/stream/x", "/again/x"} {
		t.Run(path, func(t *testing.T) {
			var taken atomic.Int32
			serve := func(conn net.Conn) {
				defer func() { _ = conn.Close() }()
				take(conn)
				taken.Add(1)
				if path == "/again/x" {
					_, _ = io.WriteString(conn, answerHead("r1", "Content-Length: 5\r\n")+"whole")
					return
				}
				_, _ = io.WriteString(conn, answerHead("r1", streamHead)+chunk(event(1))+chunk(event(2)))
				_, _ = io.Copy(io.Discard, conn) // until the gateway hangs up
			}
			s := newSystem(t, serve, serve)
			request := httptest.NewRequest(http.MethodPost, path, strings.NewReader("note"))
			request.Host = "callers.example"
			request.Header.Set("Nutmeglane-Request-Id", "r1")
			func() {
				defer func() {
					if cause := recover(); cause != http.ErrAbortHandler { //nolint:errorlint // net/http compares it so
						t.Errorf("the handler ended with %v", cause)
					}
				}()
				s.gateway.ServeHTTP(leftCaller{httptest.NewRecorder()}, request)
			}()
			if n := taken.Load(); n != 1 {
				t.Errorf("%d servers got the request, want 1", n)
			}
			if n := s.gateway.ActiveRequests(); n != 0 {
				t.Errorf("%d requests are left", n)
			}
		})
	}
}
