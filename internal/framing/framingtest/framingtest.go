// Package framingtest provides an HTTP server for tests whose responses break off.
package framingtest

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"

	"nutmeglane.example/nutmeglane/internal/framing"
)

// Kinds are the framings of a response with a body.
var Kinds = []framing.Kind{framing.Length, framing.Chunked, framing.UntilClose}

// UploadBytes is the size of a request's body, in bytes, that is more than the sockets of both sides
// hold of it while the server does not read.
const UploadBytes = 12 << 20

// Server sends the same bytes to each request and then closes the connection.
type Server struct {
	listener net.Listener
	work     sync.WaitGroup

	mu     sync.Mutex
	conns  map[net.Conn]bool
	answer string
	reset  bool
	// resetAfter is set if the answer is sent before the request's body is read; the connection is
	// reset once it is closed.
	resetAfter <-chan struct{}
}

// NewServer starts a server, which is stopped at the end of the test.
func NewServer(t testing.TB) *Server {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &Server{listener: listener, conns: map[net.Conn]bool{}}
	s.work.Go(s.serve)
	t.Cleanup(s.close)
	return s
}

// Address returns the server's address, "IP:port".
func (s *Server) Address() string { return s.listener.Addr().String() }

// URL returns the server's base URL.
func (s *Server) URL() string { return "http://" + s.Address() }

// Respond sets the bytes that the server sends, and whether it then closes the connection by a
// reset instead of in an orderly way.
func (s *Server) Respond(answer string, reset bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answer, s.reset, s.resetAfter = answer, reset, nil
}

// RespondEarly makes the server send the bytes with nothing read of a request's body, and reset the
// connection once the channel is closed.
func (s *Server) RespondEarly(answer string, resetAfter <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answer, s.resetAfter = answer, resetAfter
}

func (s *Server) close() {
	_ = s.listener.Close()
	s.mu.Lock()
	for conn := range s.conns {
		_ = conn.Close()
	}
	s.mu.Unlock()
	s.work.Wait()
}

func (s *Server) serve() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.conns[conn] = true
		s.mu.Unlock()
		s.work.Go(func() { s.respond(conn) })
	}
}

func (s *Server) respond(conn net.Conn) {
	defer func() {
		_ = conn.Close()
		s.mu.Lock()
		delete(s.conns, conn)
		s.mu.Unlock()
	}()
	s.mu.Lock()
	answer, reset, resetAfter := s.answer, s.reset, s.resetAfter
	s.mu.Unlock()
	if resetAfter != nil {
		AnswerEarly(conn, answer, 0, resetAfter)
		return
	}
	request, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	// An unread rest of the request would turn an orderly close into a reset.
	_, _ = io.Copy(io.Discard, request.Body)
	_, _ = io.WriteString(conn, answer)
	if reset {
		_ = conn.(*net.TCPConn).SetLinger(0)
	}
}

// AnswerEarly reads the head of a request and a part of its body, sends the bytes and resets the
// connection, once a channel is closed if one is given.
func AnswerEarly(conn net.Conn, answer string, read int64, resetAfter <-chan struct{}) {
	defer func() { _ = conn.Close() }()
	request, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	_, _ = io.CopyN(io.Discard, request.Body, read)
	_, _ = io.WriteString(conn, answer)
	if resetAfter != nil {
		<-resetAfter
	}
	_ = conn.(*net.TCPConn).SetLinger(0)
}

// Response returns a complete response with the status and the body in a framing. Header holds
// further fields, each with its line end. It announces the close of the connection: a client
// could otherwise send its next request just before that.
func Response(kind framing.Kind, status int, header, body string) string {
	head := fmt.Sprintf("HTTP/1.1 %d %s\r\nConnection: close\r\n%s", status, http.StatusText(status), header)
	switch kind {
	case framing.Length:
		return fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(body), body)
	case framing.Chunked:
		return head + "Transfer-Encoding: chunked\r\n\r\n" + chunk(body) + "0\r\n\r\n"
	default:
		return head + "\r\n" + body
	}
}

func chunk(body string) string {
	if body == "" {
		return ""
	}
	return fmt.Sprintf("%x\r\n%s\r\n", len(body), body)
}

// EachCut calls check once for each place, in each framing, at which a response with the body can
// break off before the end of the body, and once for each complete response.
func EachCut(t *testing.T, status int, header, body string, check func(t *testing.T, s *Server, whole bool)) {
	t.Helper()
	s := NewServer(t)
	for _, kind := range Kinds {
		answer := Response(kind, status, header, body)
		end := strings.LastIndex(answer, body) + len(body)
		for cut := range end {
			t.Run(fmt.Sprintf("%v, %d bytes", kind, cut), func(t *testing.T) {
				s.Respond(answer[:cut], false)
				check(t, s, false)
			})
		}
		t.Run(kind.String()+", whole", func(t *testing.T) {
			s.Respond(answer, false)
			check(t, s, true)
		})
	}
}
