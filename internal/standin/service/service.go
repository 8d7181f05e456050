// Package service is a small stand-in for a plain service, for tests and the
// embedded default. It answers each call with an Echo of it as JSON.
//
// Besides it serves GET /admin/referee (Report) and POST /admin/faults (Faults).
package service

import (
	"cmp"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"nutmeglane.example/nutmeglane/internal/standin/admin"
)

// maxBody is the size of the largest body echoed, in bytes.
const maxBody = 16 << 20

// Echo is the answer to a call.
type Echo struct {
	// Instance names the server that ran the call.
	Instance string      `json:"instance"`
	Method   string      `json:"method"`
	Path     string      `json:"path"`
	Query    string      `json:"query,omitempty"`
	Header   http.Header `json:"header"`
	Body     string      `json:"body"`
}

// Report is what a Referee has counted since the start.
type Report struct {
	Calls int `json:"calls"`
	// ByID counts by idempotency key, or request id where there is none.
	ByID map[string]int `json:"byID"`
	// ByPath counts by path without the query.
	ByPath map[string]int `json:"byPath"`
	// DoubleRuns counts second and further runs of a non-idempotent call.
	DoubleRuns int `json:"doubleRuns"`
}

// Referee counts calls. Servers of one process may share it.
type Referee = admin.Tally[Report]

// NewReferee returns a Referee with nothing counted.
func NewReferee() *Referee {
	return admin.NewTally(Report{ByID: map[string]int{}, ByPath: map[string]int{}})
}

func (r *Report) call(id, path string, nonIdempotent bool) {
	r.Calls++
	r.ByID[id]++
	r.ByPath[path]++
	if nonIdempotent && r.ByID[id] > 1 {
		r.DoubleRuns++
	}
}

// Options configure a Server.
type Options struct {
	// Instance is echoed.
	Instance string
	// NonIdempotentPaths are prefixes of paths whose calls may run once only,
	// as are all POST and PATCH calls.
	NonIdempotentPaths []string
	// Referee may be shared between servers. Default a new one.
	Referee *Referee
}

// Faults are the settable faults. A POST to /admin/faults replaces them all.
type Faults struct {
	// DieMidway breaks the next answer off in its midst, after the call ran.
	DieMidway bool `json:"dieMidway,omitempty"`
	// SlowMillis is waited before each answer.
	SlowMillis int `json:"slowMillis,omitempty"`
	// Hang holds up all answers, after their calls ran, until it is unset.
	Hang bool `json:"hang,omitempty"`
}

// Server is a running stand-in.
type Server struct {
	*admin.Server
	opts Options

	mu     sync.Mutex
	faults Faults
}

// New returns a Server.
func New(opts Options) *Server {
	opts.Referee = cmp.Or(opts.Referee, NewReferee())
	s := &Server{Server: admin.NewServer(), opts: opts}
	admin.RegisterEndpoints(s.Server, "/admin/referee", opts.Referee.Report, s.SetFaults)
	s.HandleFunc("/", s.echo)
	return s
}

// Referee returns the counts.
func (s *Server) Referee() *Referee { return s.opts.Referee }

// SetFaults replaces the faults.
func (s *Server) SetFaults(faults Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
	s.Hang.Store(faults.Hang)
}

func (s *Server) echo(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	if err != nil {
		http.Error(w, "unreadable body", http.StatusBadRequest)
		return
	}
	s.opts.Referee.Count(func(report *Report) {
		report.call(admin.RunID(r.Header), r.URL.Path, s.nonIdempotent(r))
	})
	die := s.delay(r.Context())
	answer, err := json.Marshal(Echo{
		Instance: s.opts.Instance, Method: r.Method, Path: r.URL.Path,
		Query: r.URL.RawQuery, Header: r.Header, Body: string(body),
	})
	if err != nil {
		http.Error(w, "unencodable call", http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
	if die {
		_, _ = w.Write(answer[:len(answer)/2])
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(answer)
}

func (s *Server) nonIdempotent(r *http.Request) bool {
	declared := slices.ContainsFunc(s.opts.NonIdempotentPaths, func(prefix string) bool {
		return strings.HasPrefix(r.URL.Path, prefix)
	})
	return declared || r.Method == http.MethodPost || r.Method == http.MethodPatch
}

// delay waits as the faults say and reports whether to die midway. It breaks
// the connection when the client or the server goes away.
func (s *Server) delay(ctx context.Context) (die bool) {
	s.mu.Lock()
	faults := s.faults
	s.faults.DieMidway = false
	s.mu.Unlock()
	slow := time.Duration(faults.SlowMillis) * time.Millisecond
	if !s.AwaitHang(ctx) || !admin.Sleep(ctx, slow, nil) {
		panic(http.ErrAbortHandler)
	}
	return faults.DieMidway
}
