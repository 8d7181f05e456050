// Package kv is a simulated key-value service of the platform. It keeps its data
// in memory, applies the service's limits, counts calls and injects faults. The
// protocol is documented in package internal/kv.
//
// It also serves
//
//	GET  /admin/stats   Stats
//	POST /admin/faults  Faults, which replace the active ones
package kv

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"nutmeglane.example/nutmeglane/internal/kv"
	"nutmeglane.example/nutmeglane/internal/standin/admin"
)

const (
	// maxWait limits the duration of a long poll.
	maxWait = 60 * time.Second
	// minPoll prevents a watch from busy-waiting for a lease about to expire.
	minPoll = time.Millisecond
)

// Options configure a Server. Zero fields mean no limit and the system clock.
type Options struct {
	// WritesPerSecond and ReadsPerSecond are the rate limits.
	WritesPerSecond float64
	ReadsPerSecond  float64
	// Now is the clock for the expiry of leases.
	Now func() time.Time
}

// Faults are the faults to inject.
type Faults struct {
	// Down makes the service answer calls with status 503 and aborts waiting
	// watches.
	Down bool `json:"down"`
	// DelayMillis is the delay in milliseconds before a call takes effect,
	// even if its caller has disconnected.
	DelayMillis int64 `json:"delay_ms"`
	// LoseWriteAnswers is the number of next writes that take effect but whose
	// connection is aborted in place of an answer.
	LoseWriteAnswers int `json:"lose_write_answers"`
	// CompactNow drops the history of changes, once.
	CompactNow bool `json:"compact_now"`
}

// Stats counts calls by kind.
type Stats struct {
	Calls map[kv.Op]int64 `json:"calls"`
	// Refused counts the calls refused because of the rate limits or the Down
	// fault. They are included in Calls.
	Refused  map[kv.Op]int64 `json:"refused"`
	Revision int64           `json:"revision"`
}

// Server is a simulated key-value service.
type Server struct {
	*admin.Server
	now           func() time.Time
	writes, reads *rate.Limiter
	stats         *admin.Tally[Stats]

	mu     sync.Mutex
	store  *store
	faults Faults
}

// New returns a Server with no keys.
func New(opts Options) *Server {
	if opts.Now == nil {
		opts.Now = time.Now
	}
	s := &Server{
		Server: admin.NewServer(), now: opts.Now, store: newStore(),
		writes: limiter(opts.WritesPerSecond), reads: limiter(opts.ReadsPerSecond),
		stats: admin.NewTally(Stats{Calls: map[kv.Op]int64{}, Refused: map[kv.Op]int64{}}),
	}
	s.HandleFunc("GET "+kv.PathGet, s.read(kv.OpGet, func(q url.Values) any { return s.store.get(q.Get("key")) }))
	s.HandleFunc("GET "+kv.PathList, s.read(kv.OpList, func(q url.Values) any { return s.store.list(q.Get("prefix")) }))
	s.HandleFunc("GET "+kv.PathWatch, s.watch)
	s.HandleFunc("POST "+kv.PathCas, write(s, kv.OpCas, s.store.cas))
	s.HandleFunc("POST "+kv.PathLease, write(s, kv.OpLease, s.store.grant))
	s.HandleFunc("POST "+kv.PathKeepAlive, write(s, kv.OpKeepAlive, s.store.keepAlive))
	admin.RegisterEndpoints(s.Server, "/admin/stats", s.Stats, s.SetFaults)
	return s
}

// limiter returns a rate limiter whose burst is the calls of one second.
func limiter(perSecond float64) *rate.Limiter {
	if perSecond == 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond)))
}

// Expire removes the expired leases. Calls and waiting watches do so too. With
// Expire, a test that has advanced its clock doesn't have to wait for them.
func (s *Server) Expire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.store.expire(s.now())
}

// Stats returns the counts so far.
func (s *Server) Stats() Stats {
	stats := s.stats.Report()
	s.mu.Lock()
	defer s.mu.Unlock()
	stats.Revision = s.store.revision
	return stats
}

// SetFaults replaces the active faults.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if f.CompactNow {
		s.store.compact(0)
		f.CompactNow = false
	}
	s.faults = f
	s.store.notifyWatches()
}

// admit counts a call. It returns true after the injected delay, or answers with
// a refusal and returns false. If the server closes during the delay, the
// connection is aborted.
func (s *Server) admit(w http.ResponseWriter, op kv.Op, limit *rate.Limiter) bool {
	s.mu.Lock()
	faults := s.faults
	s.mu.Unlock()
	s.stats.Count(func(stats *Stats) { stats.Calls[op]++ })
	status := http.StatusTooManyRequests
	if faults.Down {
		status = http.StatusServiceUnavailable
	} else if limit.Allow() {
		delay := time.Duration(faults.DelayMillis) * time.Millisecond
		if !admin.Sleep(s.Context(), delay, nil) {
			panic(http.ErrAbortHandler)
		}
		return true
	}
	s.stats.Count(func(stats *Stats) { stats.Refused[op]++ })
	http.Error(w, http.StatusText(status), status)
	return false
}

// read returns a handler for a call that only reads the store.
func (s *Server) read(op kv.Op, look func(url.Values) any) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if !s.admit(w, op, s.reads) {
			return
		}
		s.mu.Lock()
		s.store.expire(s.now())
		out := look(r.URL.Query())
		s.mu.Unlock()
		admin.WriteJSON(w, http.StatusOK, out)
	}
}

// write returns a handler for a call that changes the store. apply returns the
// status and the answer.
func write[Q any](s *Server, op kv.Op, apply func(Q, time.Time) (int, any)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var req Q
		if !admin.Decode(w, r, &req) || !s.admit(w, op, s.writes) {
			return
		}
		s.mu.Lock()
		now := s.now()
		s.store.expire(now)
		status, out := apply(req, now)
		lost := status == http.StatusOK && s.faults.LoseWriteAnswers > 0
		if lost {
			s.faults.LoseWriteAnswers--
		}
		s.mu.Unlock()
		if lost {
			panic(http.ErrAbortHandler)
		}
		admin.WriteJSON(w, status, out)
	}
}

func (s *Server) watch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, errAfter := strconv.ParseInt(query.Get("after"), 10, 64)
	wait, errWait := strconv.Atoi(query.Get("wait_ms"))
	heartbeat, errBeat := strconv.Atoi(query.Get("heartbeat_ms"))
	if errAfter != nil || errWait != nil || errBeat != nil || heartbeat <= 0 {
		http.Error(w, "malformed watch", http.StatusBadRequest)
		return
	}
	if !s.admit(w, kv.OpWatch, s.reads) {
		return
	}
	ctx, end := context.WithTimeout(r.Context(), min(time.Duration(wait)*time.Millisecond, maxWait))
	defer end()
	flush := http.NewResponseController(w).Flush
	for {
		batch, changed, pause := s.poll(query.Get("prefix"), after, time.Duration(heartbeat)*time.Millisecond)
		if batch.Compacted || len(batch.Changes) > 0 || ctx.Err() != nil {
			_ = json.NewEncoder(w).Encode(batch)
			return
		}
		_, _ = w.Write([]byte("\n"))
		if flush() != nil || !admin.Sleep(ctx, max(pause, minPoll), changed) && r.Context().Err() != nil {
			panic(http.ErrAbortHandler)
		}
	}
}

// poll returns the changes so far, a channel that is closed at the next one,
// and the time after which to poll in any case.
func (s *Server) poll(prefix string, after int64, heartbeat time.Duration) (kv.Batch, <-chan struct{}, time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.Down {
		panic(http.ErrAbortHandler)
	}
	now := s.now()
	s.store.expire(now)
	return s.store.since(prefix, after), s.store.changed, s.store.untilExpiry(now, heartbeat)
}
