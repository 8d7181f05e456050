package gateway

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"nutmeglane.example/nutmeglane/internal/framing"
	"nutmeglane.example/nutmeglane/internal/router"
	"nutmeglane.example/nutmeglane/internal/sse"
)

// movedCall returns a call whose first attempt was abandoned while the bytes of its answer were
// already read from the connection, and that answer.
func movedCall(t *testing.T, body string) (*call, *answer, *httptest.ResponseRecorder) {
	t.Helper()
	s := newFixture(t)
	recorder := httptest.NewRecorder()
	c := s.gateway.register(httptest.NewRequest(http.MethodPost, "/stream/x", nil), nil)
	t.Cleanup(func() { s.gateway.unregister(c) })
	c.writer = recorder
	c.abandon(1)
	response := &http.Response{StatusCode: http.StatusOK, Header: http.Header{}, Body: io.NopCloser(strings.NewReader(body))}
	return c, &answer{attempt: 1, response: response, framing: framing.Chunked, stream: true}, recorder
}

// Guards against an empty answer that looks complete: the router has moved a request to another
// server when the whole stream of the one before arrives.
func TestStreamOfAMovedAttemptDoesNotEndTheRequest(t *testing.T) {
	c, a, recorder := movedCall(t, event(1)+event(2))
	if c.relayStream(a) || c.started {
		t.Errorf("ended as complete with status %d, body %q", recorder.Code, recorder.Body)
	}
}

// Guards against a stream without its first events, of two servers: the events of a moved attempt
// that follow the first one are in the read buffer.
func TestLaterEventsOfAMovedAttemptAreNotForwarded(t *testing.T) {
	c, a, recorder := movedCall(t, "")
	scanner := sse.Resume(c.position)
	c.relayBlocks(a, scanner, scanner.Feed([]byte(event(1))))
	c.relayBlocks(a, scanner, scanner.Feed([]byte(event(2))))
	if c.started || recorder.Body.Len() > 0 || c.position != (sse.Position{}) {
		t.Errorf("started %t, body %q, position %+v", c.started, recorder.Body, c.position)
	}
}

// Guards against events that come twice: an event without an id that is forwarded after its
// attempt was moved can't be excluded from what the next server sends.
func TestAnonymousEventOfAMovedAttemptIsNotForwarded(t *testing.T) {
	c, a, recorder := movedCall(t, "")
	c.mu.Lock()
	c.abandoned = 0
	c.mu.Unlock()
	scanner := sse.Resume(c.position)
	c.relayBlocks(a, scanner, scanner.Feed([]byte(event(1))))
	c.abandon(1)
	c.relayBlocks(a, scanner, scanner.Feed([]byte("data: b\n\n")))
	if !c.position.Exact() {
		t.Errorf("the next attempt resumes at %+v after %q", c.position, recorder.Body)
	}
}

// Guards against an answer that looks complete and has no event: closing the connection of a moved
// attempt does not take back what was read from it together with the head.
func TestBufferedStreamOfAMovedAttemptDoesNotEndTheRequest(t *testing.T) {
	s := newFixture(t)
	address, accepted := listen(t)
	go func() { serveOnce(answerHead("r1", chunkedHead) + chunk(event(1)+event(2)) + "0\r\n\r\n")(<-accepted) }()
	recorder := httptest.NewRecorder()
	c := s.gateway.register(httptest.NewRequest(http.MethodPost, "/stream/x", nil), nil)
	defer s.gateway.unregister(c)
	c.writer, c.info.ID = recorder, "r1"
	conn, err := s.gateway.pool.get(t.Context(), address, 1)
	if err != nil || !c.setConn(conn, 1) {
		t.Fatal(err)
	}
	if _, err := c.write(conn, http.Header{}); err != nil {
		t.Fatal(err)
	}
	a, err := c.readHead(router.Send{Attempt: 1}, conn)
	if err != nil {
		t.Fatal(err)
	}
	c.abandon(1)
	if c.relayStream(a) || c.started {
		t.Errorf("ended as complete with status %d, body %q", recorder.Code, recorder.Body)
	}
}
