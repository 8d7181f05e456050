// Package service is a simulated plain service for tests and for `nutmeglane dev
// up`. It answers each call with an Echo of the call as JSON.
//
// It also serves GET /admin/referee (Report) and POST /admin/faults (Faults).
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

// maxBody is the maximum size of a body in bytes.
const maxBody = 16 << 20

// Echo is the answer to a call. It describes the call as received.
type Echo struct {
	// Instance is the name of the server that ran the call.
	Instance string      `json:"instance"`
	Method   string      `json:"method"`
	Path     string      `json:"path"`
	Query    string      `json:"query,omitempty"`
	Header   http.Header `json:"header"`
	Body     string      `json:"body"`
}

// Report holds the counts of a Referee since its creation.
type Report struct {
	Calls int `json:"calls"`
	// ByID counts calls by idempotency key, or by request id if there is no
	// key.
	ByID map[string]int `json:"byID"`
	// ByPath counts calls by path without the query.
	ByPath map[string]int `json:"byPath"`
	// DoubleRuns counts the runs beyond the first of non-idempotent calls.
	DoubleRuns int `json:"doubleRuns"`
}

// Referee counts calls. Servers in one process may share it.
type Referee = admin.Tally[Report]

// NewReferee returns a Referee with all counts at zero.
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
	// Instance is the name returned in Echo.Instance.
	Instance string
	// NonIdempotentPaths are prefixes of paths whose calls may run only once.
	// The same applies to all POST and PATCH calls.
	NonIdempotentPaths []string
	// Referee may be shared between servers. Default: a new one.
	Referee *Referee
}

// Faults are the faults to inject. A POST to /admin/faults replaces all of them.
type Faults struct {
	// DieMidway aborts the connection in the middle of the next answer, after
	// the call has run.
	DieMidway bool `json:"dieMidway,omitempty"`
	// SlowMillis is the delay before each answer in milliseconds.
	SlowMillis int `json:"slowMillis,omitempty"`
	// Hang blocks all answers, after their calls have run, until unset.
	Hang bool `json:"hang,omitempty"`
}

// Server is a simulated plain service.
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

// Referee returns the server's referee.
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

// delay waits for the injected delays and returns whether to abort the answer in
// the middle. It aborts the connection if the client disconnects or the server
// closes.
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
