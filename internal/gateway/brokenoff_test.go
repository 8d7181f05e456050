package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
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
	conn, err := net.Dial("tcp", s.callers.Listener.Addr().String())
	if err != nil {
		s.t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	request := "POST " + path + " " + protocol + "\r\nHost: callers.example\r\nNutmeglane-Request-Id: r1\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
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
