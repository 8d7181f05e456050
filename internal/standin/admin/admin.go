// Package admin contains code shared by the stand-ins: admin endpoints, JSON
// bodies, waits that end when the server closes, and the counters of referees.
package admin

import (
	"cmp"
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"nutmeglane.example/nutmeglane/internal/engine/engineapi"
)

const (
	// maxBodyBytes is large enough for the largest KV value in base64, its key
	// and the JSON syntax.
	maxBodyBytes = 1<<20*4/3 + 64<<10
	// hangPoll is the interval of checking whether the hang fault is unset.
	hangPoll = 2 * time.Millisecond
)

// Server is the base of a stand-in. It holds the routes and cancels all calls when
// it closes. It starts no goroutine.
type Server struct {
	*http.ServeMux
	// Hang is the fault that blocks calls.
	Hang atomic.Bool
	ctx  context.Context
	stop context.CancelFunc
}

// NewServer returns a server without routes.
func NewServer() *Server {
	s := &Server{ServeMux: http.NewServeMux()}
	s.ctx, s.stop = context.WithCancel(context.Background())
	return s
}

// ServeHTTP implements http.Handler. The context of a call also ends when the
// server closes.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	defer context.AfterFunc(s.ctx, cancel)()
	s.ServeMux.ServeHTTP(w, r.WithContext(ctx))
}

// Close cancels the contexts of all calls.
func (s *Server) Close() { s.stop() }

// Context returns a context that ends only with Close, for work that continues
// after its caller has disconnected.
func (s *Server) Context() context.Context { return s.ctx }

// AwaitHang waits while the hang fault is set. It returns false if the context
// ends first.
func (s *Server) AwaitHang(ctx context.Context) bool {
	for s.Hang.Load() {
		if !Sleep(ctx, hangPoll, nil) {
			return false
		}
	}
	return true
}

// Sleep waits for a duration, or until wake is closed. It returns false if the
// context ends first.
func Sleep(ctx context.Context, d time.Duration, wake <-chan struct{}) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-wake:
		return true
	case <-ctx.Done():
		return false
	}
}

// RegisterEndpoints registers GET path, which serves the report, and POST
// /admin/faults, which replaces the active faults.
func RegisterEndpoints[R, F any](s *Server, path string, report func() R, setFaults func(F)) {
	s.HandleFunc("GET "+path, JSONHandler(report))
	s.HandleFunc("POST /admin/faults", func(w http.ResponseWriter, r *http.Request) {
		var faults F
		if Decode(w, r, &faults) {
			setFaults(faults)
			WriteJSON(w, http.StatusOK, faults)
		}
	})
}

// JSONHandler returns a handler that responds with the current value as JSON.
func JSONHandler[R any](look func() R) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) { WriteJSON(w, http.StatusOK, look()) }
}

// Decode decodes a JSON body. If the body is malformed or has unknown fields, it
// responds with status 400 and returns false.
func Decode(w http.ResponseWriter, r *http.Request, into any) bool {
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	decoder.DisallowUnknownFields()
	err := decoder.Decode(into)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
	}
	return err == nil
}

// WriteJSON writes a response with body as JSON, or with no body if it is nil.
func WriteJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if body != nil {
		_ = json.NewEncoder(w).Encode(body)
	}
}

// RunID returns the id under which referees count a run: the idempotency key, or
// the request id if there is no key.
func RunID(header http.Header) string {
	return cmp.Or(header.Get("Idempotency-Key"), header.Get(engineapi.HeaderRequestID))
}

// Tally is a set of counters that several servers can share. R is a plain struct
// that survives JSON encoding without loss. Its methods are safe for concurrent
// use.
type Tally[R any] struct {
	mu     sync.Mutex
	counts R
}

// NewTally returns a tally with the given initial counts.
func NewTally[R any](counts R) *Tally[R] { return &Tally[R]{counts: counts} }

// Report returns a copy of the counts, maps included.
func (t *Tally[R]) Report() (report R) {
	t.mu.Lock()
	defer t.mu.Unlock()
	data, _ := json.Marshal(t.counts) // can't fail for a plain struct
	_ = json.Unmarshal(data, &report)
	return report
}

// Count calls change with the counts while holding the lock.
func (t *Tally[R]) Count(change func(*R)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	change(&t.counts)
}
