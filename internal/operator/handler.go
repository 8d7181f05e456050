// Package operator serves the operators' API of an entry. Resources are read from the
// configuration in force at the entry. Changes are passed to the reducer, and the
// handler waits for the result.
//
// Paths, all below /apis/nutmeglane/v1:
//
//	POST   /apply?prune=true              create or replace, all or none
//	GET    /{kind}s                       all resources of a kind, with status
//	GET    /{kind}s?watch=true&resourceVersion=N
//	                                      changes after revision N, see watch.go
//	POST   /{kind}s                       create one resource
//	GET    /{kind}s/{name}                one resource, with status
//	PATCH  /{kind}s/{name}                JSON merge patch (RFC 7396)
//	DELETE /{kind}s/{name}?resourceVersion=N
//	GET    /revision                      the revision in force at this entry
//	GET    /rollout                       the revision in force at each daemon
//
// Every change accepts dryRun=true, which validates the change and reports its effect
// without applying it. Bodies are JSON with comments. A resource that states
// metadata.resourceVersion is changed only if that is current (409 otherwise). If it
// states none, the last write wins.
//
// The handler does not check the token; package auth does.
package operator

import (
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"nutmeglane.example/nutmeglane/internal/api"
	"nutmeglane.example/nutmeglane/internal/code"
	"nutmeglane.example/nutmeglane/internal/core"
	"nutmeglane.example/nutmeglane/internal/defaults"
	"nutmeglane.example/nutmeglane/internal/operator/status"
)

// Prefix is the path prefix of the API.
const Prefix = "/apis/nutmeglane/v1"

// LiftPath, at the operators' address of a router, allows a request that was classified as
// poison to be sent to servers again. The query parameter "request" is its fingerprint.
const LiftPath = "/admin/lift"

// DrainPath, at the operators' address of every process, starts its graceful
// shutdown.
const DrainPath = "/admin/drain"

// Defaults of Options.
const (
	DefaultMaxBody          = 32 << 20
	DefaultTimeout          = 30 * time.Second
	DefaultHistory          = 4096
	DefaultBookmarkInterval = 30 * time.Second
)

// Options configure the handler.
type Options struct {
	// MaxBody limits a request body in bytes. Default DefaultMaxBody.
	MaxBody int64
	// Timeout limits the wait for the reducer's result. Default DefaultTimeout.
	Timeout time.Duration
	// View returns the entry's state of daemons and replicas. Default: an empty
	// view.
	View func() status.View
	// History is the number of resource changes kept for resuming watches.
	// Default DefaultHistory.
	History int
	// BookmarkInterval is the time between bookmarks of a watch without changes.
	// Default DefaultBookmarkInterval.
	BookmarkInterval time.Duration
}

// Handler serves the operators' API.
type Handler struct {
	opts     Options
	post     func(core.Event)
	mux      *http.ServeMux
	snapshot atomic.Pointer[api.Snapshot]
	history  *history
	// stopped is closed by Close.
	stopped chan struct{}
	stop    sync.Once

	mu      sync.Mutex
	lastID  uint64
	pending map[uint64]chan core.ApplyDone
}

// New returns a handler that passes changes to post and receives their results by Do.
func New(opts Options, post func(core.Event)) *Handler {
	defaults.Set(&opts.MaxBody, DefaultMaxBody)
	defaults.Set(&opts.Timeout, DefaultTimeout)
	defaults.Set(&opts.History, DefaultHistory)
	defaults.Set(&opts.BookmarkInterval, DefaultBookmarkInterval)
	if opts.View == nil {
		opts.View = func() status.View { return status.View{} }
	}
	h := &Handler{
		opts: opts, post: post, mux: http.NewServeMux(), history: newHistory(opts.History),
		stopped: make(chan struct{}), pending: map[uint64]chan core.ApplyDone{},
	}
	h.mux.HandleFunc("POST "+Prefix+"/apply", h.apply)
	h.mux.HandleFunc("GET "+Prefix+"/revision", h.revision)
	h.mux.HandleFunc("GET "+Prefix+"/rollout", h.rollout)
	h.mux.HandleFunc("GET "+Prefix+"/{kind}", h.listOrWatch)
	h.mux.HandleFunc("POST "+Prefix+"/{kind}", h.create)
	h.mux.HandleFunc("GET "+Prefix+"/{kind}/{name}", h.get)
	h.mux.HandleFunc("PATCH "+Prefix+"/{kind}/{name}", h.patch)
	h.mux.HandleFunc("DELETE "+Prefix+"/{kind}/{name}", h.delete)
	h.mux.HandleFunc("/", NotFound)
	return h
}

// Update replaces the configuration that reads are served from. changed lists the
// resources that may differ from the previous configuration, or is nil if any may.
// Update must be called from one goroutine, with increasing revisions.
func (h *Handler) Update(s *api.Snapshot, changed []api.Key) {
	before := h.snapshot.Swap(s)
	h.history.add(before, s, changed)
}

// SetSnapshot is Update with a configuration in which any resource may differ.
func (h *Handler) SetSnapshot(s *api.Snapshot) { h.Update(s, nil) }

// Snapshot returns the configuration in force at this entry, or nil.
func (h *Handler) Snapshot() *api.Snapshot { return h.snapshot.Load() }

// Do handles a core.ApplyDone effect and reports whether the effect was one.
func (h *Handler) Do(effect core.Effect) bool {
	done, ok := effect.(core.ApplyDone)
	if !ok {
		return false
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if answer := h.pending[done.ID]; answer != nil {
		answer <- done // does not block: the buffer has room for the only result
		delete(h.pending, done.ID)
	}
	return true
}

// Close ends all watches, so that a stopping process does not wait for them.
func (h *Handler) Close() { h.stop.Do(func() { close(h.stopped) }) }

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) { h.mux.ServeHTTP(w, r) }

// current returns the configuration in force. If there is none, it responds with an
// error and returns nil.
func (h *Handler) current(w http.ResponseWriter) *api.Snapshot {
	s := h.snapshot.Load()
	if s == nil {
		w.Header().Set("Retry-After", strconv.Itoa(retryAfterSeconds))
		writeError(w, http.StatusServiceUnavailable, Failure{
			Code: code.NotReady, Message: "no configuration is in force here yet",
			Next: "apply a first one, or wait until the entry has fetched it",
		})
	}
	return s
}

// kind returns the kind in the path. If it does not exist, kind responds with an
// error and returns false.
func (h *Handler) kind(w http.ResponseWriter, r *http.Request) (api.Kind, bool) {
	for _, kind := range api.Kinds() {
		if kind.Plural() == r.PathValue("kind") {
			return kind, true
		}
	}
	NotFound(w, r)
	return "", false
}

// flag reads a boolean query parameter; absent means false.
func flag(r *http.Request, name string) (bool, error) {
	text := r.URL.Query().Get(name)
	if text == "" {
		return false, nil
	}
	value, err := strconv.ParseBool(text)
	if err != nil {
		return false, errors.Newf("query parameter %s: got %q, wanted true or false", name, text)
	}
	return value, nil
}

// version reads the query parameter resourceVersion; absent means 0.
func version(r *http.Request) (int64, error) {
	text := r.URL.Query().Get("resourceVersion")
	if text == "" {
		return 0, nil
	}
	value, err := strconv.ParseInt(text, 10, 64)
	if err != nil || value < 0 {
		return 0, errors.Newf("query parameter resourceVersion: got %q, wanted a whole number of 0 or more", text)
	}
	return value, nil
}
