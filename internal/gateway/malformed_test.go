package gateway

import (
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"nutmeglane.example/nutmeglane/internal/framing/framingtest"
)

const sealed = "Nutmeglane-Request-Id: r1\r\nNutmeglane-Server-Seal: x\r\n"

// Guards against a malformed head that reaches a caller as an answer, or whose bytes are read as the
// next one: a request that may not be repeated fails without saying that it has not run.
func TestMalformedHeadIsNoAnswer(t *testing.T) {
	calls := []struct{ name, path, before string }{
		{"", "/once/x", ""},
		{" to a stream", "/once-stream/x", ""},
		{" behind an answer to another request", "/once/x", answerHead("other", "Content-Length: 5\r\n") + "wrong"},
	}
	for _, call := range calls {
		for _, test := range framingtest.MalformedHeads(sealed, "right") {
			t.Run(test.Name+call.name, func(t *testing.T) {
				var requests atomic.Int64
				s := newFixture(t, func(conn net.Conn) {
					requests.Add(1)
					serveOnce(call.before + test.Answer)(conn)
				})
				status, body, err := s.call(http.MethodPost, call.path, "r1")
				if status != http.StatusBadGateway || err != nil || requests.Load() != 1 {
					t.Errorf("status %d, body %q, %v, %d requests", status, body, err, requests.Load())
				}
				if n := s.gateway.pool.openTo(t); n != 0 {
					t.Errorf("%d connections are kept", n)
				}
			})
		}
	}
}

// Guards against a request that may be repeated and fails, or gets a malformed answer, though a sound
// server is there.
func TestMalformedHeadIsReplaced(t *testing.T) {
	sound := serveOnce(answerHead("r1", "Content-Length: 5\r\nConnection: close\r\n") + "right")
	for _, test := range framingtest.MalformedHeads(sealed, "wrong") {
		t.Run(test.Name, func(t *testing.T) {
			s := newFixture(t, serveOnce(test.Answer), sound)
			for range 4 {
				if status, body, err := s.call(http.MethodGet, "/again/x", "r1"); status != http.StatusOK || body != "right" || err != nil {
					t.Errorf("status %d, body %q, %v", status, body, err)
				}
			}
		})
	}
}
