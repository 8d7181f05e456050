package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"syscall"
	"testing"

	"github.com/cockroachdb/errors"

	"nutmeglane.example/nutmeglane/internal/sse"
)

// The headers of streams by the way in which they mark their end.
const (
	eventStream = "Content-Type: text/event-stream\r\n"
	chunkedHead = eventStream + "Transfer-Encoding: chunked\r\n"
	closeHead   = eventStream
)

func lengthHead(body string) string {
	return fmt.Sprintf("%sContent-Length: %d\r\n", eventStream, len(body))
}

// serveOnce responds to the first request of each connection and closes it in an orderly way.
func serveOnce(answer string) func(net.Conn) {
	return func(conn net.Conn) {
		defer func() { _ = conn.Close() }()
		if readRequest(conn) != "" {
			_, _ = io.WriteString(conn, answer)
		}
	}
}

// rawCall sends a request over a connection of its own and returns all bytes up to its end.
func (s *fixture) rawCall(protocol, path string) (raw string, err error) {
	s.t.Helper()
	return s.rawSend("POST " + path + " " + protocol + "\r\nHost: callers.example\r\nNutmeglane-Request-Id: r1\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
}

// rawSend sends bytes over a connection of its own and returns all bytes up to its end.
func (s *fixture) rawSend(request string) (raw string, err error) {
	s.t.Helper()
	conn, err := net.Dial("tcp", s.callers.Listener.Addr().String())
	if err != nil {
		s.t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	if _, err := io.WriteString(conn, request); err != nil {
		s.t.Fatal(err)
	}
	data, err := io.ReadAll(conn)
	return string(data), err
}

// parseAnswer returns the body of a response, and an error unless it is complete by its bytes.
func parseAnswer(raw string, end error) (body string, err error) {
	response, err := http.ReadResponse(bufio.NewReader(strings.NewReader(raw)), nil)
	if err != nil {
		return "", err
	}
	data, err := io.ReadAll(response.Body)
	if err == nil {
		err = end
	}
	return string(data), err
}

// Guards against a stream that stops inside an event and reaches its caller as complete, or with
// a part of that event, however its end is marked.
func TestStreamEndingInsideAnEventIsNotComplete(t *testing.T) {
	parts := map[string]string{
		"inside a field":            "id: 3\nda",
		"after a line":              "id: 3\ndata: e3\n",
		"after a field":             "id: 3",
		"inside a CRLF":             "id: 3\r\ndata: e3\r",
		"after a CRLF line":         "id: 3\r\ndata: e3\r\n",
		"after one byte of a field": "i",
	}
	for place, part := range parts {
		body := event(1) + event(2) + part
		answers := map[string]string{
			"until close": answerHead("r1", closeHead) + body,
			"chunked":     answerHead("r1", chunkedHead) + chunk(body) + "0\r\n\r\n",
			"length":      answerHead("r1", lengthHead(body)) + body,
		}
		for framing, answer := range answers {
			t.Run(framing+" "+place, func(t *testing.T) {
				got, err := parseAnswer(newFixture(t, serveOnce(answer)).rawCall("HTTP/1.1", "/once-stream/x"))
				if err == nil {
					t.Errorf("the caller got it as complete: %q", got)
				}
				if want := event(1) + event(2); got != want {
					t.Errorf("body %q, want %q", got, want)
				}
			})
		}
	}
}

// Guards against a stream that stops inside an event and isn't resumed, although its route allows
// that and another server has the rest.
func TestStreamEndingInsideAnEventIsResumed(t *testing.T) {
	heads := map[string]string{"until close": closeHead, "chunked": chunkedHead}
	for framing, head := range heads {
		t.Run(framing, func(t *testing.T) {
			serve := func(conn net.Conn) {
				defer func() { _ = conn.Close() }()
				body := event(1) + event(2) + "id: 3\nda"
				if strings.Contains(readRequest(conn), "Last-Event-Id: 2") {
					body = event(3) + event(4)
				}
				if framing == "chunked" {
					body = chunk(body) + "0\r\n\r\n"
				}
				_, _ = io.WriteString(conn, answerHead("r1", head)+body)
			}
			got, err := parseAnswer(newFixture(t, serve, serve).rawCall("HTTP/1.1", "/stream/x"))
			if want := event(1) + event(2) + event(3) + event(4); got != want || err != nil {
				t.Errorf("body %q, %v, want %q", got, err, want)
			}
		})
	}
}

// Guards against a stream that ends with its connection and reaches its caller as complete where
// the bytes before that show a break: inside a line, or before any event.
func TestStreamUntilCloseIsCompleteBetweenEventsOnly(t *testing.T) {
	tests := []struct {
		name, body string
		whole      bool
	}{
		{"between events", event(1) + event(2), true},
		{"after a comment", event(1) + ": end\n", true},
		{"after an empty line", event(1) + "\n", true},
		{"CR as line end", "id: 1\rdata: a\r\r", true},
		{"inside a comment", event(1) + ": en", false},
		{"inside the CRLF of an empty line", "id: 1\r\ndata: a\r\n\r", false},
		{"before any event", "", false},
		{"after comments only", ": hello\n\n", false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := newFixture(t, serveOnce(answerHead("r1", closeHead)+test.body))
			raw, err := s.rawCall("HTTP/1.1", "/once-stream/x")
			got, err := parseAnswer(raw, err)
			success := strings.HasPrefix(raw, "HTTP/1.1 200")
			if whole := success && err == nil; whole != test.whole {
				t.Errorf("complete %t, want %t: %q, %v", whole, test.whole, raw, err)
			}
			if test.whole && got != test.body {
				t.Errorf("body %q, want %q", got, test.body)
			}
		})
	}
}

// Guards against a router that makes up for a server's missing mark: a reset is a break in each
// framing, also between two events.
func TestResetIsABreakInEachFraming(t *testing.T) {
	body := event(1) + event(2)
	heads := map[string]string{
		"until close": closeHead + "\r\n", "length": lengthHead(body+body) + "\r\n", "chunked": chunkedHead + "\r\n",
	}
	for framing := range heads {
		t.Run(framing, func(t *testing.T) {
			head, sent := strings.TrimSuffix(heads[framing], "\r\n"), body
			if framing == "chunked" {
				sent = chunk(body)
			}
			s := newFixture(t, func(conn net.Conn) {
				readRequest(conn)
				_, _ = io.WriteString(conn, answerHead("r1", head)+sent)
				_ = conn.(*net.TCPConn).SetLinger(0)
				_ = conn.Close()
			})
			if raw, err := s.rawCall("HTTP/1.1", "/once-stream/x"); strings.HasPrefix(raw, "HTTP/1.1 200") {
				if got, err := parseAnswer(raw, err); err == nil {
					t.Errorf("the caller got it as complete: %q", got)
				}
			}
		})
	}
}

// Guards against events that come twice: a stream whose last events have no id can't be resumed
// exactly after them.
func TestStreamWithoutAnIDIsNotResumed(t *testing.T) {
	const anonymous = "data: b\n\n"
	for name, body := range map[string]string{"no event has one": anonymous, "the last one has none": event(1) + anonymous} {
		t.Run(name, func(t *testing.T) {
			serve := serveOnce(answerHead("r1", chunkedHead) + chunk(body))
			got, err := parseAnswer(newFixture(t, serve, serve).rawCall("HTTP/1.1", "/stream/x"))
			if got != body || err == nil {
				t.Errorf("body %q, error %v, want %q and an error", got, err, body)
			}
		})
	}
}

// Guards against a break that a caller of HTTP/1.0 can't see: its answers end with the
// connection, so that only a reset tells a break from the end.
func TestBreakIsSeenOverHTTP10(t *testing.T) {
	whole := chunk(event(1)) + chunk(event(2))
	for name, last := range map[string]string{"whole": "0\r\n\r\n", "broken off": ""} {
		t.Run(name, func(t *testing.T) {
			s := newFixture(t, serveOnce(answerHead("r1", chunkedHead)+whole+last))
			raw, err := s.rawCall("HTTP/1.0", "/once-stream/x")
			if broken := errors.Is(err, syscall.ECONNRESET); broken == (name == "whole") {
				t.Errorf("got %q, then %v", raw, err)
			}
		})
	}
}

// Guards against events of two servers in one answer: the router has moved a request to another
// server when the first event of the one before arrives.
func TestEventsOfAMovedAttemptAreNotForwarded(t *testing.T) {
	s := newFixture(t)
	recorder := httptest.NewRecorder()
	c := s.gateway.register(httptest.NewRequest(http.MethodPost, "/stream/x", nil), nil)
	defer s.gateway.unregister(c)
	c.writer = recorder
	c.abandon(1)
	a := &answer{attempt: 1, response: &http.Response{StatusCode: http.StatusOK, Header: http.Header{}}}
	scanner := sse.Resume(c.position)
	c.relayBlocks(a, scanner, scanner.Feed([]byte(event(1))))
	if c.started || recorder.Body.Len() > 0 || c.position != (sse.Position{}) {
		t.Errorf("started %t, body %q, position %+v", c.started, recorder.Body, c.position)
	}
}
