package daemon

import (
	"sync"
	"time"
)

const (
	// standstillAfter is the time between two beats from which the process counts as having stood
	// still: twice the interval of beats.
	standstillAfter = 2 * schedLatencyInterval
	// standstillRecent is how long after a standstill an event may still have happened within it: the
	// time in which the process handles what has gathered.
	standstillRecent = time.Second
)

// standstill notices when the process did not run, as on a host whose processor is busy.
//
// It guards against a stop that is counted from the moment at which the process handles SIGTERM: the
// platform counts from the signal and kills the process in the midst of answers that it took on for
// the time after that.
type standstill struct {
	mu sync.Mutex
	// last is the last beat, zero before the first one. from and until are the begin and end of the
	// last standstill.
	last, from, until time.Time
}

// beat records that the process runs. It is called every schedLatencyInterval.
func (s *standstill) beat(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stands(now) {
		s.from, s.until = s.begin(), now
	}
	s.last = now
}

// stands reports whether the process did not run from the last beat until now.
func (s *standstill) stands(now time.Time) bool {
	return !s.last.IsZero() && now.Sub(s.last) >= standstillAfter
}

// begin returns when a standstill began that lasted from the last beat on. One that follows another
// within standstillRecent belongs to that: what gathered in it may still wait.
func (s *standstill) begin() time.Time {
	if !s.until.IsZero() && s.last.Sub(s.until) < standstillRecent {
		return s.from
	}
	return s.last
}

// lateness returns how long ago an event that is handled now may have happened, 0 if the process has
// been running.
func (s *standstill) lateness(now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.stands(now):
		return now.Sub(s.begin())
	case !s.until.IsZero() && now.Sub(s.until) < standstillRecent:
		return now.Sub(s.from)
	default:
		return 0
	}
}
