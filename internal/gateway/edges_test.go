package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"syscall"
	"testing"

	"github.com/cockroachdb/errors"
)

// Guards against a break that a caller of HTTP/1.0 can't see: it has closed its side of the
// connection for writing, which ends the request.
func TestHalfClosedCallerOverHTTP10SeesTheBreak(t *testing.T) {
	s := newFixture(t, func(conn net.Conn) {
		readRequest(conn)
		_, _ = io.WriteString(conn, answerHead("r1", chunkedHead)+chunk(event(1)))
		_, _ = io.Copy(io.Discard, conn) // until the gateway closes the connection
	})
	conn, err := net.Dial("tcp", s.callers.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	_, _ = io.WriteString(conn, "POST /once-stream/x HTTP/1.0\r\nHost: callers.example\r\nNutmeglane-Request-Id: r1\r\nContent-Length: 0\r\n\r\n")
	reader := bufio.NewReader(conn)
	for line := ""; line != "data: e1\n"; {
		if line, err = reader.ReadString('\n'); err != nil {
			t.Fatal(err)
		}
	}
	_ = conn.(*net.TCPConn).CloseWrite()
	rest, err := io.ReadAll(reader)
	if !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("after the first event: %q, then %v, want a reset", rest, err)
	}
}

// Guards against a caller who gets the rest of a stream appended to an answer of another kind: a
// body that is not a stream broke off after a part of it was forwarded.
func TestPlainAnswerIsNotContinuedByAStream(t *testing.T) {
	long := strings.Repeat("x", maxBufferedBytes+1)
	first := make(chan struct{}, 1)
	serve := func(conn net.Conn) {
		defer func() { _ = conn.Close() }()
		readRequest(conn)
		select {
		case first <- struct{}{}:
			_, _ = io.WriteString(conn, answerHead("r1", fmt.Sprintf("Content-Length: %d\r\n", 2*len(long)))+long)
		default:
			_, _ = io.WriteString(conn, answerHead("r1", chunkedHead)+chunk(event(1))+"0\r\n\r\n")
		}
	}
	raw, err := newFixture(t, serve, serve).rawCall("HTTP/1.1", "/stream/x")
	got, err := parseAnswer(raw, err)
	if err == nil {
		t.Errorf("complete: %d bytes that end with %q", len(got), got[max(0, len(got)-40):])
	}
}

// Guards against an answer that is begun by a comment: until its first event another answer must
// still be possible.
func TestCommentDoesNotBeginTheAnswer(t *testing.T) {
	for name, end := range map[string]string{"a comment": ": hello\n\n", "an empty line": "\n"} {
		t.Run(name, func(t *testing.T) {
			raw, err := newFixture(t, serveOnce(answerHead("r1", chunkedHead)+chunk(end))).rawCall("HTTP/1.1", "/once-stream/x")
			if !strings.HasPrefix(raw, "HTTP/1.1 502 ") {
				t.Errorf("%q, %v, want 502", raw, err)
			}
		})
	}
}

// Guards against an event that its caller misreads: the stream that resumes another one begins
// with a byte order mark, which has a meaning only at the start of a stream.
func TestByteOrderMarkOfAResumedStreamIsDropped(t *testing.T) {
	const mark = "\xef\xbb\xbf"
	serve := func(conn net.Conn) {
		defer func() { _ = conn.Close() }()
		if strings.Contains(readRequest(conn), "Last-Event-Id: 1") {
			_, _ = io.WriteString(conn, answerHead("r1", chunkedHead)+chunk(mark+event(2))+"0\r\n\r\n")
			return
		}
		_, _ = io.WriteString(conn, answerHead("r1", chunkedHead)+chunk(mark+event(1)))
	}
	got, err := parseAnswer(newFixture(t, serve, serve).rawCall("HTTP/1.1", "/stream/x"))
	if want := mark + event(1) + event(2); got != want || err != nil {
		t.Errorf("body %q, %v, want %q", got, err, want)
	}
}

// Guards against a safe request that fails although nothing of its answer was given and another
// server has it: the answer was a stream without an event.
func TestSafeStreamThatBreaksBeforeItsFirstEventIsSentAgain(t *testing.T) {
	first := make(chan struct{}, 1)
	serve := func(conn net.Conn) {
		defer func() { _ = conn.Close() }()
		readRequest(conn)
		answer := answerHead("r1", chunkedHead)
		select {
		case first <- struct{}{}:
		default:
			answer += chunk(event(1)) + "0\r\n\r\n"
		}
		_, _ = io.WriteString(conn, answer)
	}
	got, err := parseAnswer(newFixture(t, serve, serve).rawCall("HTTP/1.1", "/again/x"))
	if got != event(1) || err != nil {
		t.Errorf("body %q, %v", got, err)
	}
}

// Guards against a router that runs out of memory because a server never ends an event.
func TestEventWithoutEndIsBrokenOff(t *testing.T) {
	s := newFixture(t, func(conn net.Conn) {
		defer func() { _ = conn.Close() }()
		readRequest(conn)
		_, _ = io.WriteString(conn, answerHead("r1", closeHead)+event(1)+"data: ")
		_, _ = io.CopyN(conn, neverEnding('x'), 64*maxEventBytes) // ends when the gateway closes the connection
	})
	got, err := parseAnswer(s.rawCall("HTTP/1.1", "/once-stream/x"))
	if got != event(1) || err == nil {
		t.Errorf("%d bytes, %v", len(got), err)
	}
}

// neverEnding reads as an endless sequence of one byte.
type neverEnding byte

// Read implements io.Reader.
func (b neverEnding) Read(p []byte) (int, error) {
	for i := range p {
		p[i] = byte(b)
	}
	return len(p), nil
}

// Comments before the first event are forwarded with it, and those of a whole stream without events
// at its end.
func TestCommentsBeforeTheFirstEventAreForwarded(t *testing.T) {
	for _, body := range []string{": hello\n\n" + event(1), ": hello\n\n", "\n" + event(1) + ": bye\n\n"} {
		got, err := parseAnswer(newFixture(t, serveOnce(answerHead("r1", chunkedHead)+chunk(body)+"0\r\n\r\n")).rawCall("HTTP/1.1", "/once-stream/x"))
		if got != body || err != nil {
			t.Errorf("body %q, %v, want %q", got, err, body)
		}
	}
}
