package gateway

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"nutmeglane.example/nutmeglane/internal/clock"
	"nutmeglane.example/nutmeglane/internal/core"
	"nutmeglane.example/nutmeglane/internal/fleet"
	"nutmeglane.example/nutmeglane/internal/framing/framingtest"
	"nutmeglane.example/nutmeglane/internal/router"
)

// discardEffects implements Options.Links and Options.Metrics and ignores all effects.
type discardEffects struct{}

func (discardEffects) Do(core.Effect) bool { return true }

// fixture is a gateway with an HTTP server for callers and fake backend servers.
type fixture struct {
	t       testing.TB
	gateway *Gateway
	callers *httptest.Server
}

// newFixture returns a gateway that routes /stream/ (resumable), /once-stream/ (a stream that is not),
// /once/ (non-idempotent) and /again/ (idempotent) to servers that handle each connection with the given functions.
func newFixture(t testing.TB, servers ...func(net.Conn)) *fixture {
	t.Helper()
	return newFixtureOf(t, router.Options{Host: "r", Bounds: retryBounds()}, servers...)
}

// newHedgingFixture is newFixture with a router under which a slow machine does not end hedges.
func newHedgingFixture(t testing.TB, servers ...func(net.Conn)) *fixture {
	t.Helper()
	return newFixtureOf(t, router.Options{Host: "r", Bounds: retryBounds(), HedgeOverlap: time.Minute}, servers...)
}

// newFixtureOf is newFixture with options of the router.
func newFixtureOf(t testing.TB, options router.Options, servers ...func(net.Conn)) *fixture {
	t.Helper()
	route := func(name string, kind fleet.Kind, attempts int, resumable bool) fleet.Route {
		return fleet.Route{
			Name: name, Host: "callers.example", Prefix: "/" + name + "/", Kind: kind, Resumable: resumable,
			Targets: []fleet.Target{{Service: "s", Weight: 1}}, MaxAttempts: attempts,
			Timeout: 20 * time.Second, Objective: 10 * time.Second,
		}
	}
	config := &fleet.Config{
		Version:  1,
		Limits:   fleet.Limits{MaxBodyBytes: framingtest.UploadBytes},
		Services: map[string]*fleet.Service{"s": {Name: "s", MaxConns: 40}},
		Routes: []fleet.Route{
			route("stream", fleet.Stream, 3, true), route("once-stream", fleet.Stream, 1, false),
			route("once", fleet.NonIdempotent, 1, false),
			route("again", fleet.Idempotent, 3, false),
		},
	}
	list := map[string]fleet.Backend{}
	for i, serve := range servers {
		address, accepted := listen(t)
		go func() {
			for conn := range accepted {
				go serve(conn)
			}
		}()
		id := fmt.Sprintf("i-%d", i)
		list[id] = fleet.Backend{Incarnation: fleet.Incarnation{Instance: id}, Service: "s", Address: address, Slots: 4, Release: fleet.Release{Name: "v1", Known: true}}
	}
	log := slog.New(slog.DiscardHandler)
	g := New(runningRouter(options),
		Options{Links: discardEffects{}, Metrics: discardEffects{}, Log: log, Requests: log})
	g.Step(router.ConfigRead{Config: config})
	g.Step(router.BackendsRead{Backends: list})
	g.Step(router.RegistryConfirmed{AsOf: core.Never}) // no server joins later
	callers := httptest.NewServer(g)
	t.Cleanup(callers.Close)
	return &fixture{t: t, gateway: g, callers: callers}
}

// retryBounds are bounds under which each test may retry.
func retryBounds() fleet.Bounds {
	return fleet.Bounds{RetrySlack: 100, RetryWindow: 10 * time.Second, RetryRouters: 1}
}

// runningRouter returns a router that has run for a minute: what it may do does not depend on what
// the process before it did.
func runningRouter(options router.Options) *router.Router {
	r := router.New(options)
	r.Step(clock.Now().Add(-time.Minute), router.Tick{})
	return r
}

func (s *fixture) call(method, path, id string) (int, string, error) {
	s.t.Helper()
	request, err := http.NewRequest(method, s.callers.URL+path, strings.NewReader("note"))
	if err != nil {
		s.t.Fatal(err)
	}
	request.Host = "callers.example"
	request.Header.Set("Nutmeglane-Request-Id", id)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return response.StatusCode, string(body), err
}

// readRequest reads a request from a connection and returns its header lines.
func readRequest(conn net.Conn) string {
	request, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return ""
	}
	_, _ = io.Copy(io.Discard, request.Body)
	var head bytes.Buffer
	_ = request.Header.Write(&head)
	return head.String()
}

func answerHead(id, more string) string {
	return "HTTP/1.1 200 OK\r\nNutmeglane-Request-Id: " + id + "\r\nNutmeglane-Server-Seal: x\r\n" + more + "\r\n"
}

func event(id int) string { return fmt.Sprintf("id: %d\ndata: e%d\n\n", id, id) }

func chunk(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }

const streamHead = "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"

// An engine crashes in the middle of an event. The caller must get each event completely and
// exactly once: the incomplete event is not forwarded, and the other engine resumes after the
// last complete one.
func TestStreamResumesOnAnotherServer(t *testing.T) {
	serve := func(conn net.Conn) {
		defer func() { _ = conn.Close() }()
		head := readRequest(conn)
		if strings.Contains(head, "Last-Event-Id: 2") {
			_, _ = io.WriteString(conn, answerHead("r1", streamHead)+chunk(event(3))+chunk(event(4))+"0\r\n\r\n")
			return
		}
		_, _ = io.WriteString(conn, answerHead("r1", streamHead)+chunk(event(1))+chunk(event(2)+"id: 3\nda"))
	}
	s := newFixture(t, serve, serve)
	status, body, err := s.call(http.MethodPost, "/stream/x", "r1")
	if want := event(1) + event(2) + event(3) + event(4); status != 200 || body != want || err != nil {
		t.Fatalf("status %d, %v, body %q, want %q", status, err, body, want)
	}
}

// An engine fails in the middle of a stream, and the engine that should resume it responds with
// an error status. If that response ended the stream normally, the caller would take an
// incomplete response, for example three of eight events, for the complete one. The stream
// must be resumed by a third engine or end with an error.
func TestFailedResumptionDoesNotEndStream(t *testing.T) {
	serve := func(conn net.Conn) {
		defer func() { _ = conn.Close() }()
		if !strings.Contains(readRequest(conn), "Last-Event-Id") {
			_, _ = io.WriteString(conn, answerHead("r1", streamHead)+chunk(event(1)))
			return
		}
		failure := strings.Replace(answerHead("r1", "Content-Length: 0\r\n"), "200 OK", "500 Failed", 1)
		_, _ = io.WriteString(conn, failure)
	}
	s := newFixture(t, serve, serve)
	if status, body, err := s.call(http.MethodPost, "/stream/x", "r1"); err == nil {
		t.Fatalf("status %d, body %q, and no error", status, body)
	}
}

// A stream that was interrupted and can't be resumed by any engine must not look complete.
func TestBrokenStreamIsReportedAsBroken(t *testing.T) {
	s := newFixture(t, func(conn net.Conn) {
		readRequest(conn)
		_, _ = io.WriteString(conn, answerHead("r1", streamHead)+chunk(event(1)))
		_ = conn.Close()
	})
	status, body, err := s.call(http.MethodPost, "/stream/x", "r1")
	if err == nil {
		t.Fatalf("status %d, body %q, and no error", status, body)
	}
}

// A faulty server sends a second response to the previous request. The next request on that
// connection must get its own response.
func TestStrayAnswerIsNotDelivered(t *testing.T) {
	s := newFixture(t, func(conn net.Conn) {
		defer func() { _ = conn.Close() }()
		readRequest(conn)
		stray := answerHead("other", "Content-Length: 5\r\n") + "wrong"
		own := answerHead("r1", "Content-Length: 5\r\n") + "right"
		_, _ = io.WriteString(conn, stray+own)
	})
	if status, body, err := s.call(http.MethodPost, "/once/x", "r1"); status != 200 || body != "right" || err != nil {
		t.Fatalf("status %d, %v, body %q", status, err, body)
	}
}

// A server truncates a response. An idempotent request must get the complete response of
// another server. A non-idempotent one must fail with a status that leaves open whether it was
// executed.
func TestTruncatedAnswer(t *testing.T) {
	truncated := func(conn net.Conn) {
		readRequest(conn)
		_, _ = io.WriteString(conn, answerHead("r1", "Content-Length: 50\r\n")+"half")
		_ = conn.Close()
	}
	whole := func(conn net.Conn) {
		readRequest(conn)
		_, _ = io.WriteString(conn, answerHead("r1", "Content-Length: 5\r\n")+"whole")
		_ = conn.Close()
	}
	if status, body, err := newFixture(t, truncated, whole).call(http.MethodGet, "/again/x", "r1"); status != 200 || body != "whole" || err != nil {
		t.Errorf("idempotent: status %d, %v, body %q", status, err, body)
	}
	if status, _, err := newFixture(t, truncated).call(http.MethodPost, "/once/x", "r1"); status != 502 || err != nil {
		t.Errorf("non-idempotent: status %d, %v, want 502", status, err)
	}
}

// A success response without the server's seal was generated by something between the router
// and the server, or is corrupted. It must not be forwarded to the caller.
func TestUnsealedSuccessIsNotDelivered(t *testing.T) {
	s := newFixture(t, func(conn net.Conn) {
		readRequest(conn)
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nNutmeglane-Request-Id: r1\r\nContent-Length: 4\r\n\r\nfake")
		_ = conn.Close()
	})
	if status, body, err := s.call(http.MethodPost, "/once/x", "r1"); status != 502 || err != nil {
		t.Fatalf("status %d, %v, body %q, want 502", status, err, body)
	}
}
