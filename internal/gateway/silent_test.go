package gateway

import (
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"nutmeglane.example/nutmeglane/internal/fleet"
	"nutmeglane.example/nutmeglane/internal/router"
)

// silentServers are two servers, the first of which to get a request is silent in the middle of its
// stream until the other one has got the request, and then completes the stream.
type silentServers struct {
	requests atomic.Int32
	// next is closed once the second server has done what it does.
	next chan struct{}
	once sync.Once
	// answer is what the second server does with the request.
	answer func(conn net.Conn)
}

func (s *silentServers) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	readRequest(conn)
	if s.requests.Add(1) > 1 {
		s.answer(conn)
		return
	}
	_, _ = io.WriteString(conn, answerHead("r1", streamHead)+chunk(event(1))+chunk(event(2)))
	<-s.next
	_, _ = io.WriteString(conn, chunk(event(3))+chunk(event(4))+"0\r\n\r\n")
}

func (s *silentServers) passed() { s.once.Do(func() { close(s.next) }) }

// Guards against a stream that is cut because its server was silent for a moment: the router leaves
// that server for one that refuses the stream, fails or is silent as well.
func TestSilentServerIsNotLeftForOneWithoutAnAnswer(t *testing.T) {
	refusal := strings.Replace(answerHead("r1", "Nutmeglane-Not-Executed: 1\r\nContent-Length: 0\r\n"), "200 OK", "503 Unavailable", 1)
	failure := strings.Replace(answerHead("r1", "Content-Length: 0\r\n"), "200 OK", "500 Failed", 1)
	others := map[string]func(conn net.Conn){
		"refuses": func(conn net.Conn) { _, _ = io.WriteString(conn, refusal) },
		"fails":   func(conn net.Conn) { _, _ = io.WriteString(conn, failure) },
		"resets":  func(conn net.Conn) { _ = conn.(*net.TCPConn).SetLinger(0) },
		"answers with its head, then breaks off": func(conn net.Conn) {
			_, _ = io.WriteString(conn, answerHead("r1", streamHead))
		},
	}
	for name, answer := range others {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			servers := &silentServers{next: make(chan struct{})}
			servers.answer = func(conn net.Conn) {
				answer(conn)
				_ = conn.Close()
				servers.passed()
			}
			s := newHedgingFixture(t, servers.serve, servers.serve)
			s.expectWhole()
		})
	}
	t.Run("is silent", func(t *testing.T) {
		t.Parallel()
		servers := &silentServers{next: make(chan struct{})}
		servers.answer = func(conn net.Conn) {
			servers.passed()
			_, _ = io.Copy(io.Discard, conn) // until the router closes the connection
		}
		s := newHedgingFixture(t, servers.serve, servers.serve)
		s.expectWhole()
	})
}

// expectWhole calls the resumable route and expects all four events.
func (s *fixture) expectWhole() {
	s.t.Helper()
	status, body, err := s.call(http.MethodPost, "/stream/x", "r1")
	if want := event(1) + event(2) + event(3) + event(4); status != 200 || body != want || err != nil {
		s.t.Errorf("status %d, %v, body %q, want %q", status, err, body, want)
	}
}

// Guards against a stream with all events that is cut because its server was silent before the end:
// the other server has no further event, and closes its answer without a mark of its end.
func TestStreamIsNotLeftForAnAnswerWithoutAnEvent(t *testing.T) {
	var requests atomic.Int32
	next := make(chan struct{})
	serve := func(conn net.Conn) {
		defer func() { _ = conn.Close() }()
		readRequest(conn)
		if requests.Add(1) > 1 {
			_, _ = io.WriteString(conn, answerHead("r1", closeHead))
			_ = conn.Close()
			close(next)
			return
		}
		_, _ = io.WriteString(conn, answerHead("r1", streamHead)+chunk(event(1)+event(2)+event(3)+event(4)))
		<-next
		// A router that leaves this server closes the connection within that time.
		_ = conn.SetReadDeadline(time.Now().Add(100 * time.Millisecond))
		_, _ = conn.Read(make([]byte, 1))
		_, _ = io.WriteString(conn, "0\r\n\r\n")
	}
	newHedgingFixture(t, serve, serve).expectWhole()
}

// Guards against a stream that stays at a server that hangs for good, and against events that come
// twice or are missing when another one takes it up.
func TestHangingServerLosesItsStream(t *testing.T) {
	servers := &silentServers{next: make(chan struct{})}
	t.Cleanup(servers.passed)
	servers.answer = func(conn net.Conn) {
		_, _ = io.WriteString(conn, answerHead("r1", streamHead)+chunk(event(3))+chunk(event(4))+"0\r\n\r\n")
	}
	newHedgingFixture(t, servers.serve, servers.serve).expectWhole()
}

// shortObjectives gives the routes objectives after which their requests are overdue soon.
func (s *fixture) shortObjectives() {
	var config *fleet.Config
	s.gateway.Inspect(func(r *router.Router) { config = r.Config() })
	next := *config
	next.Version++
	next.Routes = slices.Clone(config.Routes)
	for i := range next.Routes {
		next.Routes[i].Objective = 100 * time.Millisecond
	}
	s.gateway.Step(router.ConfigRead{Config: &next})
}

// Guards against a request that ends without an answer, or with a mix of two, because its server was
// silent before its answer: the other one refuses it, fails, or is first.
func TestServerThatIsSilentBeforeItsAnswerIsNotLeftForNone(t *testing.T) {
	refusal := strings.Replace(answerHead("r1", "Nutmeglane-Not-Executed: 1\r\nContent-Length: 0\r\n"), "200 OK", "503 Unavailable", 1)
	failure := strings.Replace(answerHead("r1", "Content-Length: 0\r\n"), "200 OK", "500 Failed", 1)
	stream := answerHead("r1", streamHead) + chunk(event(1)+event(2)) + "0\r\n\r\n"
	plain := answerHead("r1", "Content-Length: 4\r\n") + "note"
	cases := map[string]struct{ path, first, other, want string }{
		"plain, refuses":  {"/again/x", plain, refusal, "note"},
		"plain, fails":    {"/again/x", plain, failure, "note"},
		"plain, is first": {"/again/x", "", plain, "note"},
		"stream, refuses": {"/stream/x", stream, refusal, event(1) + event(2)},
		"stream, fails":   {"/stream/x", stream, failure, event(1) + event(2)},
		"stream, first":   {"/stream/x", "", stream, event(1) + event(2)},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var requests atomic.Int32
			next := make(chan struct{})
			serve := func(conn net.Conn) {
				defer func() { _ = conn.Close() }()
				readRequest(conn)
				if requests.Add(1) == 1 {
					<-next
					_, _ = io.WriteString(conn, c.first)
					return
				}
				_, _ = io.WriteString(conn, c.other)
				if c.first != "" {
					close(next)
				}
				_, _ = io.Copy(io.Discard, conn) // until the router closes the connection
			}
			s := newHedgingFixture(t, serve, serve)
			if c.first == "" {
				t.Cleanup(func() { close(next) })
			}
			s.shortObjectives()
			status, body, err := s.call(http.MethodPost, c.path, "r1")
			if status != 200 || body != c.want || err != nil {
				t.Errorf("status %d, %v, body %q, want %q", status, err, body, c.want)
			}
		})
	}
}
