package gateway

import (
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"nutmeglane.example/nutmeglane/internal/core"
	"nutmeglane.example/nutmeglane/internal/fleet"
	"nutmeglane.example/nutmeglane/internal/router"
)

// copiesFixture is a gateway with two engines that copy running requests. It routes /run/, whose
// streams allow one attempt and can't be resumed, to one of them.
type copiesFixture struct {
	*fixture
	addresses [2]string

	mu sync.Mutex
	// begun and continued are the headers of the requests that engines received.
	begun, continued []http.Header
}

// runTimeout is the timeout of the route. Tests of an engine that hangs wait for it.
const runTimeout = 2 * time.Second

// newCopiesFixture returns a fixture whose engines serve a request that begins with first, and one
// that continues with next.
func newCopiesFixture(t testing.TB, first, next func(net.Conn)) *copiesFixture {
	t.Helper()
	f := &copiesFixture{}
	for i := range f.addresses {
		// Each engine has a host of its own, since each has a loader.
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.%d:0", i+2))
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = l.Close() })
		f.addresses[i] = l.Addr().String()
		go func() {
			for {
				conn, err := l.Accept()
				if err != nil {
					return
				}
				go f.serve(conn, first, next)
			}
		}()
	}
	f.start(t)
	return f
}

func (f *copiesFixture) serve(conn net.Conn, first, next func(net.Conn)) {
	defer func() { _ = conn.Close() }()
	header := readHeader(conn)
	f.mu.Lock()
	serve := first
	if header.Get("Kv-From") != "" {
		serve = next
		f.continued = append(f.continued, header)
	} else {
		f.begun = append(f.begun, header)
	}
	f.mu.Unlock()
	serve(conn)
}

// readHeader reads a request from a connection and returns its header.
func readHeader(conn net.Conn) http.Header {
	lines := readRequest(conn)
	header := http.Header{}
	for _, line := range strings.Split(lines, "\r\n") {
		if name, value, ok := strings.Cut(line, ": "); ok {
			header.Add(name, value)
		}
	}
	return header
}

// start starts the gateway for engines at the fixture's addresses, and connects their loaders.
func (f *copiesFixture) start(t testing.TB) {
	const pause = 800 * time.Millisecond
	config := &fleet.Config{
		Version: 1,
		Services: map[string]*fleet.Service{"s": {Name: "s", MaxConns: 40, Engine: &fleet.Engine{
			Slots: 64, KVTokens: 100_000, MemoryMB: 80_000, AdapterSlots: 4, StoreLoadsPerSecond: 5,
			Models:  map[string]fleet.Model{"m0": {Name: "m0", MemoryMB: 30_000}},
			Backups: true, CopyLife: 5 * time.Second,
		}}},
		Routes: []fleet.Route{{
			Name: "run", Host: "callers.example", Prefix: "/run/", Kind: fleet.Stream, MaxAttempts: 1,
			Targets: []fleet.Target{{Service: "s", Weight: 1}},
			Timeout: runTimeout, Objective: time.Second, PauseObjective: pause,
		}},
	}
	log := slog.New(slog.DiscardHandler)
	options := router.Options{
		Host: "r", Bounds: retryBounds(),
		Crowding: router.CrowdingOptions{FromPause: pause, RunCopies: true},
	}
	g := New(runningRouter(options), Options{Links: discardEffects{}, Metrics: discardEffects{}, Log: log, Requests: log})
	g.Step(router.ConfigRead{Config: config})
	list := map[string]fleet.Backend{}
	for i, address := range f.addresses {
		id := fmt.Sprintf("i-%d", i)
		list[id] = fleet.Backend{Incarnation: fleet.Incarnation{Instance: id}, Service: "s", Address: address, Slots: 64, Release: fleet.Release{Name: "v1", Known: true}}
	}
	g.Step(router.BackendsRead{Backends: list})
	callers := httptest.NewServer(g)
	t.Cleanup(callers.Close)
	f.fixture = &fixture{t: t, gateway: g, callers: callers}
	for i := range f.addresses {
		g.Step(router.LoaderUp{Loader: f.loader(i)})
		f.report(i, core.Holdings{Models: []core.HeldModel{{Name: "m0", State: core.HoldLoaded}}})
	}
}

// loader returns the name of an engine's loader.
func (f *copiesFixture) loader(i int) core.HostID {
	host, _, _ := net.SplitHostPort(f.addresses[i])
	return core.HostID(host)
}

// report delivers what the loader of an engine reports.
func (f *copiesFixture) report(i int, holdings core.Holdings) {
	holdings.Instance, holdings.Routers, holdings.Coordinator = fmt.Sprintf("i-%d", i), 1, "r"
	f.gateway.Step(router.LoaderReported{Loader: f.loader(i), Holdings: holdings})
}

// run sends a request and returns its answer.
func (f *copiesFixture) run(id string) (status int, header http.Header, body string, err error) {
	f.t.Helper()
	request, err := http.NewRequest(http.MethodPost, f.callers.URL+"/run/x", strings.NewReader("note"))
	if err != nil {
		f.t.Fatal(err)
	}
	request.Host = "callers.example"
	request.Header.Set("Nutmeglane-Request-Id", id)
	request.Header.Set("Nutmeglane-Model", "m0")
	request.Header.Set("Nutmeglane-Token-Count", "600,70")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, nil, "", err
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	return response.StatusCode, response.Header, string(data), err
}

// requests returns the headers of the requests that engines received.
func (f *copiesFixture) requests() (begun, continued []http.Header) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.begun, f.continued
}

// wantOneContinuation checks the requests that engines received: one that names the other engine
// for the copy, and one that continues at that engine after the given event.
func (f *copiesFixture) wantOneContinuation(lastEvent string) {
	f.t.Helper()
	begun, continued := f.requests()
	if len(begun) != 1 || len(continued) != 1 {
		f.t.Fatalf("%d requests began and %d continued", len(begun), len(continued))
	}
	b, c := begun[0], continued[0]
	if to, from := b.Get("Nutmeglane-Kv-Backup"), c.Get("Kv-From"); to == "" || from != to+"/r1" {
		f.t.Errorf("copied to %q, continued from %q", to, from)
	}
	if c.Get("Nutmeglane-Kv-Backup") != "" || b.Get("Kv-From") != "" {
		f.t.Errorf("headers of the other kind: began with %v, continued with %v", b, c)
	}
	if got := c.Get("Last-Event-Id"); got != lastEvent || c.Get("Nutmeglane-Request-Id") != "r1" || c.Get("Nutmeglane-Model") != "m0" {
		f.t.Errorf("continued with %v, want it after %q", c, lastEvent)
	}
}

func events(from, to int) string {
	var b strings.Builder
	for id := from; id <= to; id++ {
		b.WriteString(event(id))
	}
	return b.String()
}

// chunks returns a text as one chunk, and nothing for none: an empty chunk would be the last one.
func chunks(text string) string {
	if text == "" {
		return ""
	}
	return chunk(text)
}

func send(parts ...string) func(net.Conn) {
	return func(conn net.Conn) { _, _ = io.WriteString(conn, strings.Join(parts, "")) }
}

// reset sends a part of an answer and resets the connection once it was received.
func reset(parts ...string) func(net.Conn) {
	return func(conn net.Conn) {
		send(parts...)(conn)
		time.Sleep(20 * time.Millisecond)
		_ = conn.(*net.TCPConn).SetLinger(0)
	}
}

const lastChunk = "0\r\n\r\n"

// Guards against a stream that is lost with its engine, and against one that reaches its caller
// with an event twice, missing or in parts, wherever it broke off.
func TestLostRunIsContinuedAtItsCopy(t *testing.T) {
	head := answerHead("r1", streamHead)
	rest := func(from int) func(net.Conn) { return send(head, chunk(events(from, 4)), lastChunk) }
	tests := []struct {
		name        string
		first, next func(net.Conn)
		last        string
	}{
		{"without an answer", send(), rest(1), ""},
		{"reset without an answer", reset(), rest(1), ""},
		{"inside the head", send("HTTP/1.1 200 OK\r\nNutmeglane-Server-Seal: x\r\n"), rest(1), ""},
		{"before the first event", send(head), rest(1), ""},
		{"inside the first event", send(head, chunk("id: 1\nda")), rest(1), ""},
		{"after a comment", send(head, chunk(": hello\n\n")), rest(1), ""},
		{"inside an event", send(head, chunk(events(1, 2)+"id: 3\nda")), rest(3), "2"},
		{"inside a chunk", send(head, chunk(events(1, 2)), "ff\r\nid: 3"), rest(3), "2"},
		{"between events", send(head, chunk(events(1, 3))), rest(4), "3"},
		{"reset between events", reset(head, chunk(events(1, 3))), rest(4), "3"},
		{"not a chunk", send(head, chunk(events(1, 3)), "broken\r\n"), rest(4), "3"},
		{"before the end", send(head, chunk(events(1, 4))), send(head, lastChunk), "4"},
		{"marked as ended inside an event", send(head, chunk(events(1, 2)+"id: 3\nda"), lastChunk), rest(3), "2"},
		{"until close, inside an event", send(answerHead("r1", closeHead), events(1, 2)+"id: 3\n"), rest(3), "2"},
		{"two late answers before it", send(head, chunk(events(1, 3))),
			send(answerHead("r8", "Content-Length: 4\r\n")+"late", answerHead("r9", streamHead)+chunk(event(4))+lastChunk, head, chunk(event(4)), lastChunk), "3"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			f := newCopiesFixture(t, test.first, test.next)
			status, _, body, err := f.run("r1")
			if status != http.StatusOK || body != events(1, 4) || err != nil {
				t.Errorf("status %d, %v, body %q", status, err, body)
			}
			f.wantOneContinuation(test.last)
		})
	}
}

// Guards against events, or an answer, that do not continue what the caller has: the answer is
// broken off, or refused with a status that does not promise that nothing has run.
func TestOtherAnswersAreNotJoined(t *testing.T) {
	status := func(line, more string) string {
		return strings.Replace(answerHead("r1", more), "200 OK", line, 1)
	}
	const empty = "Content-Length: 0\r\n"
	head := answerHead("r1", streamHead)
	type answers struct {
		name string
		next func(net.Conn)
		// begins is the part that fits.
		begins string
	}
	afterEvents := []answers{
		{"the last event again", send(head, chunk(events(2, 4)), lastChunk), ""},
		{"from the start", send(head, chunk(events(1, 4)), lastChunk), ""},
		{"a gap", send(head, chunk(events(4, 5)), lastChunk), ""},
		{"a gap later", send(head, chunk(event(3)+event(5)), lastChunk), event(3)},
		{"an event again later", send(head, chunk(event(3)), chunk(event(3)), lastChunk), event(3)},
		{"no id", send(head, chunk("data: e3\n\n"), lastChunk), ""},
		{"broken off again", send(head, chunk(event(3))), event(3)},
	}
	any := []answers{
		{"no copy there", send(status("503 Service Unavailable", empty)), ""},
		{"not run there", send(status("503 Service Unavailable", empty+"Nutmeglane-Not-Executed: 1\r\n")), ""},
		{"another instance", send(status("421 Misdirected Request", empty)), ""},
		{"an error", send(status("500 Failed", empty)), ""},
		{"a client error", send(status("400 Bad Request", empty)), ""},
		{"a stream with another status", send(status("206 Partial Content", streamHead), chunk(events(3, 4)), lastChunk), ""},
		{"no stream", send(answerHead("r1", "Content-Length: 5\r\n"), "whole"), ""},
		{"no seal", send("HTTP/1.1 200 OK\r\nNutmeglane-Request-Id: r1\r\n"+streamHead+"\r\n", chunk(events(3, 4)), lastChunk), ""},
		{"too many late answers", send(strings.Repeat(answerHead("r8", "Content-Length: 0\r\n"), 3), head, chunk(events(3, 4)), lastChunk), ""},
		{"closed", send(), ""},
		{"reset", reset(), ""},
		{"hangs", func(conn net.Conn) { _, _ = io.Copy(io.Discard, conn) }, ""},
		{"hangs after its head", func(conn net.Conn) {
			send(head)(conn)
			_, _ = io.Copy(io.Discard, conn)
		}, ""},
	}
	beforeEvents := []answers{{"a later event first", send(head, chunk(events(2, 4)), lastChunk), ""}}
	run := func(name, given string, list []answers) {
		for _, test := range list {
			t.Run(name+": "+test.name, func(t *testing.T) {
				t.Parallel()
				f := newCopiesFixture(t, send(head, chunks(given)), test.next)
				status, header, body, err := f.run("r1")
				if given != "" && (status != http.StatusOK || body != given+test.begins || err == nil) {
					t.Errorf("status %d, %v, body %q, want a break after %q", status, err, body, given+test.begins)
				}
				if given == "" && (status < 500 || status == http.StatusServiceUnavailable || header.Get("Nutmeglane-Not-Executed") != "") {
					t.Errorf("status %d, %v, header %v, body %q", status, err, header, body)
				}
				if begun, continued := f.requests(); len(begun) != 1 || len(continued) != 1 {
					t.Errorf("%d requests began and %d continued", len(begun), len(continued))
				}
			})
		}
	}
	run("after events", events(1, 2), afterEvents)
	run("after events", events(1, 2), any)
	run("before events", "", beforeEvents)
	run("before events", "", any)
}

// Guards against a caller who waits for an engine that does not end its answer, although the events
// do not fit.
func TestAnswerThatDoesNotFitIsLeftAtOnce(t *testing.T) {
	head := answerHead("r1", streamHead)
	f := newCopiesFixture(t, send(head, chunk(events(1, 2))), func(conn net.Conn) {
		send(head, chunk(events(4, 5)))(conn)
		_, _ = io.Copy(io.Discard, conn) // until the gateway closes the connection
	})
	begun := time.Now()
	if _, _, body, err := f.run("r1"); body != events(1, 2) || err == nil || time.Since(begun) >= runTimeout {
		t.Errorf("body %q, %v after %v", body, err, time.Since(begun))
	}
}

// Guards against a continuation that can't be checked: the events' ids are no numbers, or the last
// event has none.
func TestRunWithoutNumbersIsNotContinued(t *testing.T) {
	for name, given := range map[string]string{"no number": "id: a\ndata: x\n\n", "no id": event(1) + "data: x\n\n"} {
		t.Run(name, func(t *testing.T) {
			f := newCopiesFixture(t, send(answerHead("r1", streamHead), chunk(given)), send(answerHead("r1", streamHead), lastChunk))
			status, _, body, err := f.run("r1")
			if _, continued := f.requests(); status != http.StatusOK || body != given || err == nil || len(continued) != 0 {
				t.Errorf("status %d, %v, body %q, continued %d times", status, err, body, len(continued))
			}
		})
	}
}

// Guards against a second run beside the first one: an engine drops a request when its connection
// closes, which must happen before the continuation is sent.
func TestFirstConnectionIsClosedBeforeTheContinuation(t *testing.T) {
	head := answerHead("r1", streamHead)
	closed := make(chan struct{})
	first := func(conn net.Conn) {
		send(head, chunk(events(1, 2)), "broken\r\n")(conn)
		_, _ = io.Copy(io.Discard, conn) // until the gateway closes the connection
		close(closed)
	}
	next := func(conn net.Conn) {
		select {
		case <-closed:
			send(head, chunk(events(3, 4)), lastChunk)(conn)
		case <-time.After(runTimeout / 2):
			t.Error("the first connection is open")
		}
	}
	f := newCopiesFixture(t, first, next)
	if _, _, body, err := f.run("r1"); body != events(1, 4) || err != nil {
		t.Errorf("body %q, %v", body, err)
	}
}

// Guards against events of both engines in one answer: the first engine's end is reported by its
// loader, and it continues to send until its connection is closed, and tries to after that.
func TestLateEventsOfTheFirstEngineAreNotForwarded(t *testing.T) {
	const all = 60
	head := answerHead("r1", streamHead)
	begun := make(chan struct{})
	late := func(conn net.Conn) {
		send(head, chunk(event(1)))(conn)
		close(begun)
		for id, failed := 2, 0; id <= all && failed < 3; id++ {
			time.Sleep(10 * time.Millisecond)
			if _, err := io.WriteString(conn, chunk(event(id))); err != nil {
				failed++
			}
		}
	}
	var f *copiesFixture
	f = newCopiesFixture(t, late, func(conn net.Conn) {
		_, continued := f.requests()
		var last int
		_, _ = fmt.Sscan(continued[0].Get("Last-Event-Id"), &last)
		send(head, chunk(events(last+1, all)), lastChunk)(conn)
	})
	go func() {
		<-begun
		header, _ := f.requests()
		for i, address := range f.addresses {
			if address != header[0].Get("Nutmeglane-Kv-Backup") {
				f.report(i, core.Holdings{Ended: true})
			}
		}
	}()
	status, _, body, err := f.run("r1")
	if status != http.StatusOK || body != events(1, all) || err != nil {
		t.Errorf("status %d, %v, body %q", status, err, body)
	}
	if _, continued := f.requests(); len(continued) != 1 {
		t.Errorf("continued %d times", len(continued))
	}
}

// The answer keeps the head of the engine that began it.
func TestContinuedAnswerKeepsItsHead(t *testing.T) {
	own, other := streamHead+"X-Engine: first\r\n", streamHead+"X-Engine: second\r\n"
	f := newCopiesFixture(t, send(answerHead("r1", own), chunk(event(1))), send(answerHead("r1", other), chunk(event(2)), lastChunk))
	_, header, body, err := f.run("r1")
	if header.Get("X-Engine") != "first" || body != events(1, 2) || err != nil {
		t.Errorf("header %v, body %q, %v", header, body, err)
	}
}

// afterContinuation is twice the time after which a router continues a lost run. A shorter wait
// would not see a continuation.
const afterContinuation = 300 * time.Millisecond

// Guards against a continuation for a caller who has left.
func TestCallerWhoLeftGetsNoContinuation(t *testing.T) {
	head := answerHead("r1", streamHead)
	begun := make(chan struct{})
	gone := make(chan struct{})
	f := newCopiesFixture(t, func(conn net.Conn) {
		send(head, chunk(event(1)))(conn)
		close(begun)
		<-gone
	}, send(head, chunk(event(2)), lastChunk))
	conn, err := net.Dial("tcp", f.callers.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	_, _ = io.WriteString(conn, "POST /run/x HTTP/1.1\r\nHost: callers.example\r\nNutmeglane-Request-Id: r1\r\nNutmeglane-Model: m0\r\nContent-Length: 0\r\n\r\n")
	<-begun
	_ = conn.Close()
	for deadline := time.Now().Add(time.Second); f.gateway.ActiveRequests() > 0 && time.Now().Before(deadline); {
		time.Sleep(time.Millisecond)
	}
	close(gone)
	time.Sleep(afterContinuation)
	if _, continued := f.requests(); len(continued) != 0 || f.gateway.ActiveRequests() != 0 {
		t.Errorf("continued %d times, %d requests left", len(continued), f.gateway.ActiveRequests())
	}
}
