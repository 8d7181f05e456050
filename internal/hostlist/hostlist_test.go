package hostlist_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"go.uber.org/goleak"

	"nutmeglane.example/nutmeglane/internal/core"
	"nutmeglane.example/nutmeglane/internal/framing/framingtest"
	"nutmeglane.example/nutmeglane/internal/hostlist"
	"nutmeglane.example/nutmeglane/internal/standin/hosts"
)

// testTimeout is the time after which a test that waits for an event fails.
const testTimeout = 30 * time.Second

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func host(id string) core.Host {
	return core.Host{ID: core.HostID(id), Address: "127.0.0.1:1", Zone: "olten", Role: core.RoleBackend, State: core.HostLive}
}

func poll(t *testing.T, handler http.Handler) (events <-chan core.Event, reads <-chan error) {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return pollURL(t, server.URL)
}

func pollURL(t *testing.T, url string) (events <-chan core.Event, reads <-chan error) {
	t.Helper()
	posted := make(chan core.Event, 16)
	done := make(chan error)
	stop := make(chan struct{})
	onRead := func(err error) {
		select {
		case done <- err:
		case <-stop:
		}
	}
	p := hostlist.NewPoller(url+"/hosts", time.Millisecond, func(e core.Event) { posted <- e }, hostlist.Options{OnRead: onRead})
	t.Cleanup(func() { close(stop); p.Close() })
	return posted, done
}

func receive[T any](t *testing.T, c <-chan T) T {
	t.Helper()
	select {
	case v := <-c:
		return v
	case <-time.After(testTimeout):
		t.Fatal("nothing received")
		panic("unreachable")
	}
}

func TestChangesArePostedOnceTheyAreOlderThanTheLag(t *testing.T) {
	var seconds atomic.Int64
	list := hosts.New(hosts.Options{
		Lag:   5 * time.Second,
		Hosts: []core.Host{host("b"), host("a")},
		Now:   func() time.Time { return time.Unix(seconds.Load(), 0) },
	})
	events, reads := poll(t, list)
	// After three reads, the result of one that began after the change has been posted.
	read := func() {
		t.Helper()
		for range 3 {
			if err := receive(t, reads); err != nil {
				t.Fatal(err)
			}
		}
	}
	expect := func(want ...core.Host) {
		t.Helper()
		read()
		if diff := cmp.Diff(core.Event(core.HostList{Hosts: want}), receive(t, events)); diff != "" {
			t.Fatal(diff)
		}
	}
	expect(host("a"), host("b"))
	list.SetLeaving("a")
	read()
	if len(events) != 0 {
		t.Fatal("a change was posted before the lag was over")
	}
	seconds.Store(5)
	leaving := host("a")
	leaving.State = core.HostLeaving
	expect(leaving, host("b"))
	list.Remove("a")
	seconds.Store(10)
	expect(host("b"))
}

// The list is truncated, empty, or contains an invalid line. Hosts missing in it would
// count as reclaimed, and their slots would be reassigned while they still have them
// loaded. Nothing must be posted.
func TestInvalidListIsNotPosted(t *testing.T) {
	const line = `{"id":"a","address":"127.0.0.1:1","zone":"olten","role":"backend","state":"live"}` + "\n"
	answers := map[string]http.HandlerFunc{
		"error status": func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) },
		"empty":        func(http.ResponseWriter, *http.Request) {},
		"bad state":    func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, line, `{"id":"b","state":"odd"}`) },
		"twice":        func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, line, line) },
		"half a line":  func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, line, line[:20]) },
		"cut by length": func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", fmt.Sprint(2*len(line)))
			fmt.Fprint(w, line)
		},
		"cut between chunks": func(w http.ResponseWriter, _ *http.Request) {
			fmt.Fprint(w, line)
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		},
		"cut without a length": func(w http.ResponseWriter, _ *http.Request) {
			conn, _, err := w.(http.Hijacker).Hijack()
			if err == nil {
				fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n", line)
				conn.Close()
			}
		},
	}
	for name, answer := range answers {
		t.Run(name, func(t *testing.T) {
			events, reads := poll(t, answer)
			for range 2 {
				if receive(t, reads) == nil {
					t.Error("the read did not fail")
				}
			}
			if len(events) != 0 {
				t.Errorf("posted %v", receive(t, events))
			}
		})
	}
}

// With thousands of hosts the list has hundreds of kilobytes, and every daemon reads it
// every few seconds. An unchanged list must not be sent again.
func TestUnchangedListIsNotSentAgain(t *testing.T) {
	list := hosts.New(hosts.Options{Hosts: []core.Host{host("a")}})
	var sent atomic.Int64
	_, reads := poll(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		list.ServeHTTP(countingWriter{w, &sent}, r)
	}))
	receive(t, reads)
	first := sent.Load()
	for range 3 {
		if err := receive(t, reads); err != nil {
			t.Fatal(err)
		}
	}
	if got := sent.Load(); first == 0 || got != first {
		t.Errorf("%d bytes of lists sent, %d by the first read", got, first)
	}
}

type countingWriter struct {
	http.ResponseWriter
	bytes *atomic.Int64
}

func (w countingWriter) Write(data []byte) (int, error) {
	w.bytes.Add(int64(len(data)))
	return w.ResponseWriter.Write(data)
}

// Guards against a malformed answer that counts as a list of hosts: a host that is missing in it would
// count as gone.
func TestMalformedListFails(t *testing.T) {
	const list = `{"id":"a","address":"127.0.0.1:1","zone":"olten","role":"backend","state":"live"}` + "\n"
	framingtest.EachMalformed(t, list, func(t *testing.T, s *framingtest.Server) {
		events, reads := pollURL(t, s.URL())
		if err := receive(t, reads); err == nil {
			t.Errorf("%+v", receive(t, events))
		}
	})
}
