// Package store is a simulated weight store for tests and for `nutmeglane dev
// up`.
//
//	GET  /checkpoints/{key}?sizeMiB=N  answers after the time to send N MiB;
//	                                   429 with Retry-After above the rate
//	GET  /admin/referee                Report
//	POST /admin/faults                 Faults
package store

import (
	"cmp"
	"context"
	"net/http"
	"strconv"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"nutmeglane.example/nutmeglane/internal/standin/admin"
)

// Options configure a Server. Zero values mean the defaults given.
type Options struct {
	// LoadsPerSecond is the rate limit of loads per scaled second. Default 5.
	LoadsPerSecond float64
	// Lanes is the number of concurrent loads at full speed. If there are more,
	// they share the bandwidth of that many. Default 4.
	Lanes int
	// LaneMiBPerSecond is the full speed of one load in MiB/s. Default 500.
	LaneMiBPerSecond float64
	// TimeScale is a factor for all durations. Default 1.
	TimeScale float64
}

// Report holds the counts of the store since its creation.
type Report struct {
	// Loads counts the loads started, Finished those sent completely.
	Loads    int `json:"loads"`
	Finished int `json:"finished"`
	// Refusals counts loads refused because of the rate limit.
	Refusals int `json:"refusals"`
	// MaxConcurrent is the maximum number of concurrent loads.
	MaxConcurrent int `json:"maxConcurrent"`
	// ByKey counts the loads started by checkpoint key.
	ByKey map[string]int `json:"byKey"`
}

// Faults are the faults to inject. A POST to /admin/faults replaces all of them.
type Faults struct {
	// Slow is a divisor of the bandwidth if greater than 1.
	Slow float64 `json:"slow,omitempty"`
	// Down makes the store answer each load with status 503.
	Down bool `json:"down,omitempty"`
}

// Server is a simulated weight store.
type Server struct {
	*admin.Server
	*admin.Tally[Report]
	opts    Options
	limiter *rate.Limiter

	mu     sync.Mutex
	faults Faults
	active int
	// changed is closed and replaced when the speed of loads changes.
	changed chan struct{}
}

// New returns a Server.
func New(opts Options) *Server {
	opts.LoadsPerSecond = cmp.Or(opts.LoadsPerSecond, 5)
	opts.Lanes = cmp.Or(opts.Lanes, 4)
	opts.LaneMiBPerSecond = cmp.Or(opts.LaneMiBPerSecond, 500)
	opts.TimeScale = cmp.Or(opts.TimeScale, 1)
	burst := max(1, int(opts.LoadsPerSecond))
	s := &Server{
		Server:  admin.NewServer(),
		Tally:   admin.NewTally(Report{ByKey: map[string]int{}}),
		opts:    opts,
		limiter: rate.NewLimiter(rate.Limit(opts.LoadsPerSecond/opts.TimeScale), burst),
		changed: make(chan struct{}),
	}
	s.HandleFunc("GET /checkpoints/{key}", s.checkpoint)
	admin.RegisterEndpoints(s.Server, "/admin/referee", s.Report, s.SetFaults)
	return s
}

// SetFaults replaces the faults.
func (s *Server) SetFaults(faults Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
	s.notifyTransfers()
}

func (s *Server) checkpoint(w http.ResponseWriter, r *http.Request) {
	size, err := strconv.ParseFloat(r.URL.Query().Get("sizeMiB"), 64)
	if err != nil || size < 0 {
		http.Error(w, "bad sizeMiB", http.StatusBadRequest)
		return
	}
	if status := s.begin(r.PathValue("key")); status != http.StatusOK {
		w.Header().Set("Retry-After", "1")
		http.Error(w, http.StatusText(status), status)
		return
	}
	finished := s.transfer(r.Context(), size)
	s.end(finished)
	if finished {
		admin.WriteJSON(w, http.StatusOK, map[string]string{"key": r.PathValue("key")})
	}
}

func (s *Server) begin(key string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.Down {
		return http.StatusServiceUnavailable
	}
	if !s.limiter.Allow() {
		s.Count(func(r *Report) { r.Refusals++ })
		return http.StatusTooManyRequests
	}
	s.active++
	s.Count(func(r *Report) {
		r.Loads++
		r.ByKey[key]++
		r.MaxConcurrent = max(r.MaxConcurrent, s.active)
	})
	s.notifyTransfers()
	return http.StatusOK
}

func (s *Server) end(finished bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.active--
	if finished {
		s.Count(func(r *Report) { r.Finished++ })
	}
	s.notifyTransfers()
}

// notifyTransfers makes the transfers in progress read their speed again. The
// caller holds mu.
func (s *Server) notifyTransfers() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// speed returns the current speed of one load in MiB/s and a channel that is
// closed at its next change.
func (s *Server) speed() (float64, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	share := min(1, float64(s.opts.Lanes)/float64(max(1, s.active)))
	perSecond := s.opts.LaneMiBPerSecond * share / max(1, s.faults.Slow)
	return perSecond / s.opts.TimeScale, s.changed
}

// transfer waits for the time to send size MiB. It returns false if the client
// disconnects first.
func (s *Server) transfer(ctx context.Context, size float64) bool {
	for size > 0 {
		speed, changed := s.speed()
		begin := time.Now()
		if !admin.Sleep(ctx, time.Duration(size/speed*float64(time.Second)), changed) {
			return false
		}
		size -= time.Since(begin).Seconds() * speed
	}
	return true
}
