package scenario

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
)

// target is an entry that reports what ready returns for each question, which are counted from 1.
func target(t *testing.T, ready func(question int64) bool) (address string) {
	var questions atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if !ready(questions.Add(1)) {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	}))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// A caller is reset although an entry was ready at every moment: one became ready after it was
// asked, and the other stopped before it was.
func TestBalanceAsksAgain(t *testing.T) {
	var stopping atomic.Bool
	starting := target(t, func(int64) bool { return stopping.Swap(true) })
	stopped := target(t, func(int64) bool { return !stopping.Load() })
	b := &scriptRelay{checkReady: true, targets: []string{starting, stopped}}
	conn, err := b.connect()
	if err != nil {
		t.Fatal(err)
	}
	_ = conn.Close()
}

// A connection goes to an entry that isn't ready, or waits for one, so that a stop that leaves
// no entry ready is not noticed.
func TestBalanceRefusesWithoutReadyTarget(t *testing.T) {
	never := target(t, func(int64) bool { return false })
	later := target(t, func(question int64) bool { return question > connectRounds })
	b := &scriptRelay{checkReady: true, targets: []string{never, later}}
	if conn, err := b.connect(); err == nil {
		_ = conn.Close()
		t.Error("connected without a ready target")
	}
}
