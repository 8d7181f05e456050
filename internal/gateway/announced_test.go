package gateway

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"nutmeglane.example/nutmeglane/internal/fleet"
	"nutmeglane.example/nutmeglane/internal/router"
)

// What a server states in the head of an answer must reach the router whatever becomes of the
// answer: it counts for other requests, even if this one fails or is sent elsewhere.
func TestAnnouncementsOfAllAnswersAreRecorded(t *testing.T) {
	const leaving = "Server-Leaving: 1\r\n"
	tests := []struct{ name, path, answer string }{
		{"a whole answer", "/once/x", answerHead("r1", leaving+"Content-Length: 2\r\n") + "ok"},
		{"a stream", "/stream/x", answerHead("r1", leaving+streamHead) + chunk(event(1)) + "0\r\n\r\n"},
		{"an answer that breaks off", "/once/x", answerHead("r1", leaving+"Content-Length: 9\r\n") + "ok"},
		{"an answer without signature", "/once/x", "HTTP/1.1 200 OK\r\n" + leaving + "Content-Length: 0\r\n\r\n"},
		{"an answer to another request", "/once/x", answerHead("r0", leaving+"Content-Length: 0\r\n")},
		{"a failure", "/once/x", "HTTP/1.1 500 No\r\nNutmeglane-Request-Id: r1\r\n" + leaving + "Content-Length: 0\r\n\r\n"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := newFixture(t, func(conn net.Conn) {
				defer func() { _ = conn.Close() }()
				readRequest(conn)
				_, _ = io.WriteString(conn, test.answer)
			})
			_, _, _ = s.call(http.MethodPost, test.path, "r1") // the caller's result differs by case and is not examined
			s.gateway.Inspect(func(r *router.Router) {
				if state := r.Dump().Backends[0]; state.DrainingFor == 0 {
					t.Errorf("the router does not know that the server is draining: %+v", state)
				}
			})
		})
	}
}

// Guards against a request that is written to a server which announced draining while a
// connection to it was opened: the connection must close without it.
func TestNothingIsWrittenToAServerExcludedMeanwhile(t *testing.T) {
	received := make(chan string, 1)
	s := newFixture(t, func(conn net.Conn) {
		defer func() { _ = conn.Close() }()
		received <- readRequest(conn)
	})
	server := fleet.Incarnation{Instance: "i-0"}
	var address string
	s.gateway.Inspect(func(r *router.Router) { address = r.Dump().Backends[0].Address })
	s.gateway.Step(router.ServerAnnounced{Server: server, Answer: fleet.Answer{Status: 200, Draining: true}})

	request := httptest.NewRequest(http.MethodPost, "/once/x", nil)
	c := s.gateway.register(request, nil)
	defer s.gateway.unregister(c)
	c.attempt(router.Send{Key: c.key, Attempt: 1, Incarnation: server, Address: address, MaxConns: 1, Until: c.now().Add(time.Minute)})
	if got := <-received; got != "" {
		t.Errorf("the server received %q", got)
	}
}
