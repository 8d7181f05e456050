package engine

import (
	"slices"
	"time"

	api "nutmeglane.example/nutmeglane/internal/engine/engineapi"
)

const (
	// prefixCapacity is the number of prompt prefixes cached.
	prefixCapacity = 64
	// maxChanges is the number of changes kept for load reports.
	maxChanges = 512
	// lostEventInterval is the interval of sequence numbers whose events are
	// never reported.
	lostEventInterval = 7
)

// change is the state of the batch from a time on, and the cache event at that
// time, if there was one.
type change struct {
	at              time.Time
	running, queued int
	event           api.CacheEvent
}

// recordChange stores a change for the load report. The caller holds mu.
func (s *Server) recordChange(event api.CacheEvent) {
	c := change{at: time.Now(), running: s.running, event: event}
	for _, queue := range s.queues {
		c.queued += len(queue)
	}
	s.changes = append(s.changes, c)
	s.changes = s.changes[max(0, len(s.changes)-maxChanges):]
}

func (s *Server) cachePrefix(prefix uint64) {
	if slices.Contains(s.prefixes, prefix) {
		return
	}
	s.prefixes = append(s.prefixes, prefix)
	s.recordCacheEvent(prefix, false)
	if len(s.prefixes) > prefixCapacity {
		s.recordCacheEvent(s.prefixes[0], true)
		s.prefixes = s.prefixes[1:]
	}
}

// recordCacheEvent stores a cache event for the load report. It drops each event
// whose sequence number is a multiple of lostEventInterval.
func (s *Server) recordCacheEvent(prefix uint64, evicted bool) {
	s.sequence++
	if s.sequence%lostEventInterval != 0 {
		s.recordChange(api.CacheEvent{Sequence: s.sequence, Prefix: prefix, Evicted: evicted})
	}
}

// load returns the load report as of ReportLag ago.
func (s *Server) load() api.Load {
	horizon := time.Now().Add(-s.scale(s.opts.ReportLag))
	s.mu.Lock()
	defer s.mu.Unlock()
	report := api.Load{Epoch: s.epoch, Cached: s.cachedList()}
	for _, c := range s.changes {
		if c.at.After(horizon) {
			break
		}
		report.Running, report.Queued = c.running, c.queued
		if c.event.Sequence > 0 {
			report.Events = append(report.Events, c.event)
		}
	}
	return report
}

// Faults are the faults to inject. A POST to /admin/faults replaces all of them.
type Faults struct {
	// FailNextLoad makes the next load fail at the end of its duration.
	FailNextLoad bool `json:"failNextLoad,omitempty"`
	// LoseNextAnswer closes the connection after the next order has taken
	// effect.
	LoseNextAnswer bool `json:"loseNextAnswer,omitempty"`
	// Hang blocks all requests, including streams in progress, until unset.
	Hang bool `json:"hang,omitempty"`
	// Refuse makes the engine refuse all orders until unset.
	Refuse bool `json:"refuse,omitempty"`
	// SlowTokens is a factor for the time between tokens if greater than 1.
	SlowTokens float64 `json:"slowTokens,omitempty"`
	// Restart unloads everything, once, as a restart of the engine does.
	Restart bool `json:"restart,omitempty"`
}

// SetFaults replaces the faults.
func (s *Server) SetFaults(faults Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
	s.Hang.Store(faults.Hang)
	if faults.Restart {
		s.reset()
	}
}

// consume returns and unsets a one-time fault. The caller holds mu.
func consume(fault *bool) bool {
	was := *fault
	*fault = false
	return was
}
