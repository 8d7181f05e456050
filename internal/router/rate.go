package router

import (
	"math"
	"time"

	"nutmeglane.example/nutmeglane/internal/core"
	"nutmeglane.example/nutmeglane/internal/fleet"
)

const (
	// slowMemory and fastMemory are the time constants of the two rates that
	// loaders are told of too.
	slowMemory = core.RateMemory
	fastMemory = core.FastRateMemory
	// historyNeeded is two time constants of the fast rate: by then it shows
	// 0.86 of a steady demand.
	historyNeeded = 2 * fastMemory
	// leastHistory bounds the correction of a young rate: below, one call by
	// chance would count as several a second.
	leastHistory = 500 * time.Millisecond
)

// rate is an arrival rate, as exponentially decaying counts.
type rate struct {
	slow, fast float64
	at         core.Time
	// since is when counting began.
	since core.Time
}

func (r *rate) decay(now core.Time) {
	past := float64(now.Sub(r.at))
	r.slow *= math.Exp(-past / float64(slowMemory))
	r.fast *= math.Exp(-past / float64(fastMemory))
	r.at = now
}

func (r *rate) add(now core.Time) {
	r.decay(now)
	r.slow++
	r.fast++
}

// perSecond is the larger of both rates: it follows a rise at once, and keeps
// a model that was called some seconds ago apart from an idle one.
//
// Both are corrected for a short history. It answers the restart of a whole
// fleet: all callers are there, engines are empty, and a decaying count shows a
// third of a model's calls after one second and two thirds after 2.5. Busy models
// got their further copies that much later.
func (r *rate) perSecond(now core.Time) float64 {
	slow, fast := r.both(now)
	return max(slow, fast)
}

// both are the slow and the fast rate.
func (r *rate) both(now core.Time) (slow, fast float64) {
	r.decay(now)
	return r.corrected(r.slow, slowMemory), r.corrected(r.fast, fastMemory)
}

// corrected is the rate of a decaying count that began at r.since.
func (r *rate) corrected(count float64, memory time.Duration) float64 {
	history := float64(max(leastHistory, r.at.Sub(r.since)))
	return count / (memory.Seconds() * (1 - math.Exp(-history/float64(memory))))
}

// slowly is the slow rate, which one call more or less does not change much.
func (r *rate) slowly(now core.Time) float64 {
	r.decay(now)
	return r.slow / slowMemory.Seconds()
}

// knowsDemand tells whether arrivals were counted for long enough to say that a
// model is not called.
//
// It guards against a start: a router that knows no rates yet takes all copies
// of a busy model for spare. After a restart of the whole fleet they were
// evicted within a second, just when callers came back.
func (s *service) knowsDemand(now core.Time) bool {
	return s.firstArrival != 0 && now.Sub(s.firstArrival) > historyNeeded
}

// arrival counts a request for a model and, if it names one, its adapter.
func (s *service) arrival(now core.Time, p *fleet.Prompt) {
	if s.firstArrival == 0 {
		s.firstArrival = now
	}
	s.all.add(now)
	s.rate(modelKey{model: p.Model}).add(now)
	if p.Adapter != "" {
		s.rate(modelKey{p.Model, p.Adapter}).add(now)
	}
}

func (s *service) rate(key modelKey) *rate {
	found := s.rates[key]
	if found == nil {
		found = &rate{since: s.firstArrival}
		s.rates[key] = found
	}
	return found
}
