// Package front implements the entry's HTTP server for callers. It authenticates
// and parses requests, posts them to the reducer as events, and writes the answers
// contained in the reducer's Respond effects.
//
// Paths: POST /v1/chat/completions and GET /v1/models in the usual form of
// chat APIs, /services/{service}/... for plain services, and /healthz and
// /readyz for the platform's load balancer.
//
// Requests that may be retried after a failure (RequestArrived.Idempotent): a
// completion has no side effects and may be retried unless the caller sends
// "Idempotent: false" or an Idempotency-Key, which requests that it runs at
// most once. A service call may be retried if its method and path are declared
// idempotent and neither of the two headers forbids it. "Idempotent: true"
// changes nothing.
//
// Request contents and API keys are never logged.
package front

import (
	"io"
	"log/slog"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"nutmeglane.example/nutmeglane/internal/api"
	"nutmeglane.example/nutmeglane/internal/body"
	"nutmeglane.example/nutmeglane/internal/code"
	"nutmeglane.example/nutmeglane/internal/core"
)

// Options configures a Front. All fields except Logger and Count are required.
type Options struct {
	// MaxBodyBytes limits the size of a request body.
	MaxBodyBytes int64
	// MaxAnswerBytes limits the size of a completion that is not streamed.
	MaxAnswerBytes int64
	// DefaultTimeout applies without a Request-Timeout header.
	DefaultTimeout time.Duration
	// MaxTimeout is the longest Request-Timeout accepted.
	MaxTimeout time.Duration
	// StreamWindow is the number of data frames of one answer that the
	// reducer allows to be in flight.
	StreamWindow int
	// Bodies is the memory of the bodies of requests. Default: body.DefaultBytes.
	Bodies *body.Memory
	// Logger receives the HTTP server's own errors. Default: discarded.
	Logger *slog.Logger
	// Count receives the Count effects of the metrics in Counters, which cover
	// requests refused before they reach the reducer. It must not block.
	// Default: discarded.
	Count func(core.Effect)
}

// Counters are the metrics that Front emits through Options.Count.
var Counters = []core.CounterDef{{
	Name:   "front_refusals_total",
	Help:   "Requests refused before they reached admission, by result code.",
	Labels: []string{"code"},
}}

// Timings of the HTTP server.
const (
	readHeaderTimeout = 10 * time.Second
	idleTimeout       = 2 * time.Minute
	maxHeaderBytes    = 64 << 10
	// writeGrace is how long after a request's deadline the answer may still
	// be written.
	writeGrace = 5 * time.Second
	// notReadyRetry is the Retry-After of an entry that has no configuration
	// yet or is draining.
	notReadyRetry = time.Second
)

// Front is the callers' HTTP server. Its methods are safe for concurrent use.
type Front struct {
	opts  Options
	post  func(core.Event)
	ready atomic.Bool
	// draining is set when readiness changes from true to false.
	draining atomic.Bool
	config   atomic.Pointer[configIndex]

	mu     sync.Mutex
	closed bool
	queues map[core.RequestID]*effectQueue
}

// New returns a Front that passes events to post. post may block; it is never
// called from within Do.
func New(opts Options, post func(core.Event)) *Front {
	if opts.Logger == nil {
		opts.Logger = slog.New(slog.DiscardHandler)
	}
	if opts.Bodies == nil {
		opts.Bodies = body.NewMemory(body.DefaultBytes)
	}
	opts.Bodies.SetLargest(opts.MaxBodyBytes)
	if opts.Count == nil {
		opts.Count = func(core.Effect) {}
	}
	return &Front{opts: opts, post: post, queues: map[core.RequestID]*effectQueue{}}
}

// Server returns an HTTP server for f, with timeouts for callers that send
// headers too slowly or leave connections idle.
func (f *Front) Server() *http.Server {
	return &http.Server{
		Handler:           f,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          slog.NewLogLogger(f.opts.Logger.Handler(), slog.LevelWarn),
	}
}

// SetSnapshot sets the configuration used for authentication, names and defaults.
func (f *Front) SetSnapshot(s *api.Snapshot) { f.config.Store(newConfigIndex(s)) }

// Close ends every open request, and any later one, with Draining. It is called
// when the reducer has exited.
//
// Without it, a request that arrives between the reducer's last step and the
// closing of the listener would never be answered. The reducer exits with no
// request in flight, so requests still open here were never sent to an agent.
func (f *Front) Close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.closed = true
	for id, queue := range f.queues {
		queue.push(drainingEnd(id))
	}
}

func drainingEnd(id core.RequestID) core.RespondEnd {
	return core.RespondEnd{ID: id, Code: code.Draining, RetryAfter: notReadyRetry}
}

// SetReady sets the result of /readyz, initially false. After a change from true
// to false, answers close their connections: a caller that keeps a connection
// would continue to send requests here, regardless of the load balancer.
func (f *Front) SetReady(ready bool) {
	was := f.ready.Swap(ready)
	f.draining.Store(was && !ready)
}

// Do executes a RespondHead, RespondData or RespondEnd without blocking, and
// reports whether the effect was one of these. An effect for a request that has
// ended is ignored.
func (f *Front) Do(effect core.Effect) bool {
	var id core.RequestID
	switch e := effect.(type) {
	case core.RespondHead:
		id = e.ID
	case core.RespondData:
		id = e.ID
	case core.RespondEnd:
		id = e.ID
	default:
		return false
	}
	f.mu.Lock()
	queue := f.queues[id]
	f.mu.Unlock()
	if queue != nil {
		queue.push(effect)
	}
	return true
}

// ServeHTTP implements http.Handler. It does not use http.ServeMux, which
// redirects service paths that are not in canonical form.
func (f *Front) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/healthz":
		writeText(w, http.StatusOK, "ok\n")
		return
	case "/readyz":
		f.serveReady(w)
		return
	}
	if f.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	in := newIncoming(w, r, f.opts)
	defer func() { in.body.Release() }()
	if refused := f.serveCall(in); refused != nil {
		f.opts.Count(core.Count{Name: Counters[0].Name, Labels: []string{refused.code.String()}, Add: 1})
		in.refuse(refused)
	}
}

func (f *Front) serveReady(w http.ResponseWriter) {
	if !f.ready.Load() {
		writeText(w, http.StatusServiceUnavailable, "not ready\n")
		return
	}
	writeText(w, http.StatusOK, "ready\n")
}

// serveCall serves an API request. It returns a refusal if the request was not
// posted to the reducer.
func (f *Front) serveCall(in *incoming) *refusal {
	handler, refused := f.route(in)
	if refused != nil {
		return refused
	}
	in.config = f.config.Load()
	if in.config == nil {
		return &refusal{code: code.NotReady, retryAfter: notReadyRetry}
	}
	if refused := in.authenticate(); refused != nil {
		return refused
	}
	return handler(in)
}

// route returns the handler for the request's path.
func (f *Front) route(in *incoming) (func(*incoming) *refusal, *refusal) {
	path := in.r.URL.Path
	switch {
	case path == completionsPath:
		return f.serveCompletion, in.checkMethod(http.MethodPost)
	case path == modelsPath:
		return f.serveModels, in.checkMethod(http.MethodGet, http.MethodHead)
	case strings.HasPrefix(path, servicesPath):
		return f.serveService, nil
	default:
		return nil, &refusal{code: code.UnknownPath}
	}
}

func writeText(w http.ResponseWriter, status int, text string) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.WriteHeader(status)
	_, _ = io.WriteString(w, text)
}
