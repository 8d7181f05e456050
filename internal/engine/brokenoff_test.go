package engine_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"nutmeglane.example/nutmeglane/internal/code"
	"nutmeglane.example/nutmeglane/internal/core"
	"nutmeglane.example/nutmeglane/internal/engine"
)

// rawServer is a backend server that sends the same bytes to each request and then closes the
// connection, in an orderly way or, if reset is set, by a reset.
type rawServer struct {
	net.Listener
	answer string
	reset  bool
}

func newRawServer(t *testing.T, answer string, reset bool) *rawServer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &rawServer{listener, answer, reset}
	done := make(chan struct{})
	go func() {
		defer close(done)
		s.serve()
	}()
	t.Cleanup(func() {
		_ = listener.Close()
		<-done
	})
	return s
}

func (s *rawServer) serve() {
	for {
		conn, err := s.Accept()
		if err != nil {
			return
		}
		s.respond(conn)
	}
}

func (s *rawServer) respond(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	request, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, request.Body)
	_, _ = io.WriteString(conn, s.answer)
	if s.reset {
		_ = conn.(*net.TCPConn).SetLinger(0)
	}
}

// startRaw returns an Executor whose backend server is a rawServer.
func startRaw(t *testing.T, kind core.BackendKind, s *rawServer) *fixture {
	return start(t, http.NotFoundHandler(), func(o *engine.Options) {
		o.URL, o.Kind = "http://"+s.Addr().String(), kind
	})
}

// The framings in which a raw answer marks its end.
const (
	byLength = "length"
	byChunks = "chunks"
	byClose  = "until close"
)

// framed returns a complete response with the body in a framing.
func framed(framing, contentType, body string) string {
	head := "HTTP/1.1 200 OK\r\nContent-Type: " + contentType + "\r\n"
	switch framing {
	case byLength:
		return fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(body), body)
	case byChunks:
		return head + "Transfer-Encoding: chunked\r\n\r\n" + chunkOf(body) + "0\r\n\r\n"
	default:
		return head + "\r\n" + body
	}
}

func chunkOf(body string) string {
	if body == "" {
		return ""
	}
	return fmt.Sprintf("%x\r\n%s\r\n", len(body), body)
}

var framings = []string{byLength, byChunks, byClose}

const (
	twoEvents   = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
	eventStream = "text/event-stream"
)

// Guards against a service's event stream that stops inside an event and reaches its caller as
// complete, or with a part of that event, however its end is marked.
func TestServiceStreamEndingInsideAnEventFailsRun(t *testing.T) {
	for _, framing := range framings {
		for _, part := range []string{"i", "id: 3", "id: 3\nda", "id: 3\ndata: c\n", "id: 3\r\ndata: c\r", "data: c\n: note\n"} {
			t.Run(fmt.Sprintf("%s %q", framing, part), func(t *testing.T) {
				answer := framed(framing, eventStream+"; charset=utf-8", twoEvents+part)
				f := startRaw(t, core.BackendService, newRawServer(t, answer, false))
				f.Do(call(1, http.MethodGet))
				if a := f.collect(); a.Code != code.BackendFailed || a.Body != twoEvents {
					t.Errorf("code %d, body %q", a.Code, a.Body)
				}
			})
		}
	}
}

// Guards against a service's event stream that ends with its connection and counts as complete
// where the bytes before that show a break, and against a complete one that counts as broken off.
func TestServiceStreamEndingBetweenEvents(t *testing.T) {
	tests := []struct {
		name, body string
		// wholeUntilClose tells whether the stream is complete if its connection marks its
		// end. With a length or chunks, each of them is.
		wholeUntilClose bool
	}{
		{"between events", twoEvents, true},
		{"CRLF", "id: 1\r\ndata: a\r\n\r\n", true},
		{"CR", "id: 1\rdata: a\r\r", true},
		{"after a comment", twoEvents + ": end\n", true},
		{"inside a comment", twoEvents + ": en", false},
		{"inside the CRLF of an empty line", "id: 1\r\ndata: a\r\n\r", false},
		{"before any event", "", false},
		{"after comments only", ": hello\n\n", false},
	}
	for _, test := range tests {
		for _, framing := range framings {
			t.Run(framing+" "+test.name, func(t *testing.T) {
				answer := framed(framing, eventStream, test.body)
				f := startRaw(t, core.BackendService, newRawServer(t, answer, false))
				f.Do(call(1, http.MethodGet))
				a := f.collect()
				if whole := a.Code == code.OK; whole != (framing != byClose || test.wholeUntilClose) {
					t.Errorf("code %d, body %q", a.Code, a.Body)
				}
				if a.Code == code.OK && a.Body != test.body {
					t.Errorf("body %q, want %q", a.Body, test.body)
				}
			})
		}
	}
}

// Guards against a large event that is passed on in part, or in frames over their limit.
func TestServiceStreamWithLargeEvent(t *testing.T) {
	const maxFrame = 32 << 10
	body := twoEvents + "data: " + strings.Repeat("x", 100<<10) + "\n\n"
	f := startRaw(t, core.BackendService, newRawServer(t, framed(byClose, eventStream, body), false))
	f.Do(call(1, http.MethodGet))
	var got strings.Builder
	for {
		p := await[core.RunProgress](f)
		if p.Kind == core.FrameEnd {
			if p.Code != code.OK || got.String() != body {
				t.Errorf("code %d, %d bytes, want %d", p.Code, got.Len(), len(body))
			}
			return
		}
		if len(p.Payload) > maxFrame {
			t.Errorf("a frame of %d bytes", len(p.Payload))
		}
		got.Write(p.Payload)
	}
}

// Guards against an event without end that takes the agent's memory.
func TestServiceStreamWithEndlessEvent(t *testing.T) {
	body := twoEvents + "data: " + strings.Repeat("x", 5<<20) + "\n\n"
	f := startRaw(t, core.BackendService, newRawServer(t, framed(byLength, eventStream, body), false))
	f.Do(call(1, http.MethodGet))
	if a := f.collect(); a.Code != code.BackendFailed || a.Body != twoEvents {
		t.Errorf("code %d, %d bytes, want %d", a.Code, len(a.Body), len(twoEvents))
	}
}

// Guards against a response to HEAD, which has no body, that counts as a stream broken off
// before its first event.
func TestHeadOfServiceStreamIsComplete(t *testing.T) {
	answer := "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"
	f := startRaw(t, core.BackendService, newRawServer(t, answer, false))
	f.Do(call(1, http.MethodHead))
	if a := f.collect(); a.Code != code.OK {
		t.Errorf("code %d", a.Code)
	}
}

// Guards against a service's answer that broke off, by an orderly close or by a reset, and counts
// as complete. Only where the connection marks the end can't a close tell that.
func TestBrokenServiceAnswerFailsRun(t *testing.T) {
	const plain = "text/plain"
	heads := map[string]string{
		byLength: "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n",
		byChunks: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
		byClose:  "HTTP/1.1 200 OK\r\n\r\n",
	}
	tests := []struct {
		name, answer string
		reset        bool
		want         code.Code
	}{
		{"no answer", "", false, code.BackendFailed},
		{"inside the status line", "HTTP/1.1 200 O", false, code.BackendFailed},
		{"inside the head", "HTTP/1.1 200 OK\r\nContent-Le", false, code.BackendFailed},
		{"after a header line", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n", false, code.BackendFailed},
		{"length closed", heads[byLength] + "part", false, code.BackendFailed},
		{"length reset", heads[byLength] + "part", true, code.BackendFailed},
		{"chunks closed between chunks", heads[byChunks] + chunkOf("part"), false, code.BackendFailed},
		{"chunks closed inside a chunk", heads[byChunks] + "9\r\npart", false, code.BackendFailed},
		{"chunks closed inside the last one", heads[byChunks] + chunkOf("part") + "0\r\n", false, code.BackendFailed},
		{"chunks reset", heads[byChunks] + chunkOf("part"), true, code.BackendFailed},
		{"until close, reset", heads[byClose] + "part", true, code.BackendFailed},
		{"until close, closed", heads[byClose] + "whole", false, code.OK},
		{"length reached", framed(byLength, plain, "whole"), false, code.OK},
		{"last chunk reached", framed(byChunks, plain, "whole"), false, code.OK},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			f := startRaw(t, core.BackendService, newRawServer(t, test.answer, test.reset))
			f.Do(call(1, http.MethodGet))
			if a := f.collect(); a.Code != test.want {
				t.Errorf("code %d, want %d: %q", a.Code, test.want, a.Body)
			}
		})
	}
}
