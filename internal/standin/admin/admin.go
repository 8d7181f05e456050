// Package admin is what the stand-ins have in common: the admin endpoints,
// JSON bodies, waits that end with the server, and the counts of referees.
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
	// maxBodyBytes holds the largest KV value in base64, its key and the JSON.
	maxBodyBytes = 1<<20*4/3 + 64<<10
	// hangPoll is the interval of looking whether the hang fault is unset.
	hangPoll = 2 * time.Millisecond
)

// Server is the base of a stand-in: its routes, and an end that all its calls
// notice. It starts no goroutine.
type Server struct {
	*http.ServeMux
	// Hang is the fault that holds calls up.
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

// ServeHTTP implements http.Handler. The context of a call ends with the
// server too.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	defer context.AfterFunc(s.ctx, cancel)()
	s.ServeMux.ServeHTTP(w, r.WithContext(ctx))
}

// Close ends the contexts of all calls.
func (s *Server) Close() { s.stop() }

// Context ends with Close only, for work that goes on without its caller.
func (s *Server) Context() context.Context { return s.ctx }

// AwaitHang waits while the hang fault is set. It reports false if the context
// ends first.
func (s *Server) AwaitHang(ctx context.Context) bool {
	for s.Hang.Load() {
		if !Sleep(ctx, hangPoll, nil) {
			return false
		}
	}
	return true
}

// Sleep waits for a duration, or until wake is closed, and reports false if
// the context ends first.
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

// Decode reads a body without unknown fields or answers that it is malformed.
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

// RunID returns what referees count runs by: the idempotency key, or the
// request id where there is none.
func RunID(header http.Header) string {
	return cmp.Or(header.Get("Idempotency-Key"), header.Get(engineapi.HeaderRequestID))
}

// Tally is a report that several servers count in. R is a plain struct that
// JSON holds in full.
type Tally[R any] struct {
	mu     sync.Mutex
	counts R
}

// NewTally returns a tally that begins with the given counts.
func NewTally[R any](counts R) *Tally[R] { return &Tally[R]{counts: counts} }

// Report returns a copy of the counts, maps included.
func (t *Tally[R]) Report() (report R) {
	t.mu.Lock()
	defer t.mu.Unlock()
	data, _ := json.Marshal(t.counts) // can't fail for a plain struct
	_ = json.Unmarshal(data, &report)
	return report
}

// Count changes the counts.
func (t *Tally[R]) Count(change func(*R)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	change(&t.counts)
}
