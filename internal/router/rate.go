package router

import (
	"maps"
	"math"
	"time"

	"nutmeglane.example/nutmeglane/internal/core"
	"nutmeglane.example/nutmeglane/internal/fleet"
)

const (
	// slowMemory and fastMemory are the time constants of the two rates, which are also
	// sent to loaders.
	slowMemory = core.RateMemory
	fastMemory = core.FastRateMemory
	// historyNeeded is two time constants of the fast rate: after that it shows 0.86 of a
	// steady demand.
	historyNeeded = 2 * fastMemory
	// minHistory bounds the correction of a rate with a short history: below it, one call
	// by chance would count as several a second.
	minHistory = 500 * time.Millisecond
	// maxRates is the number of rates of a service above which no adapter's is added.
	maxRates = 8192
	// pruneInterval is the minimum time between two searches for adapters that are not called any
	// more, those whose count has decayed below forgottenCount.
	pruneInterval  = time.Second
	forgottenCount = 0.05
)

// rate is an arrival rate, kept as exponentially decaying counts.
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

// perSecond returns the larger of both rates: it follows a rise at once, and distinguishes
// a model that was called some seconds ago from an idle one.
//
// Both are corrected for a short history. After a restart of a whole fleet all callers are
// present, engines are empty, and a decaying count shows a third of a model's calls after
// one second and two thirds after 2.5. Without the correction busy models got their further
// copies that much later.
func (r *rate) perSecond(now core.Time) float64 {
	slow, fast := r.both(now)
	return max(slow, fast)
}

// both returns the slow and the fast rate.
func (r *rate) both(now core.Time) (slow, fast float64) {
	r.decay(now)
	return r.corrected(r.slow, slowMemory), r.corrected(r.fast, fastMemory)
}

// corrected returns the rate for a decaying count that began at r.since.
func (r *rate) corrected(count float64, memory time.Duration) float64 {
	history := float64(max(minHistory, r.at.Sub(r.since)))
	return count / (memory.Seconds() * (1 - math.Exp(-history/float64(memory))))
}

// slowRate returns the uncorrected slow rate, which a single call changes little.
func (r *rate) slowRate(now core.Time) float64 {
	r.decay(now)
	return r.slow / slowMemory.Seconds()
}

// demandKnown reports whether arrivals were counted for long enough to conclude that a
// model is not called.
//
// It guards against a start: a router without known rates considers all copies of a busy
// model spare. After a restart of the whole fleet they were evicted within a second, just
// when callers came back.
func (s *service) demandKnown(now core.Time) bool {
	return s.firstArrival != 0 && now.Sub(s.firstArrival) > historyNeeded
}

// arrival records a request for a model and, if it names one, its adapter.
func (s *service) arrival(now core.Time, p *fleet.Prompt) {
	if s.firstArrival == 0 {
		s.firstArrival = now
	}
	s.all.add(now)
	s.count(now, modelKey{model: p.Model})
	if p.Adapter != "" && s.hasRoomForAdapter(now) {
		s.count(now, modelKey{p.Model, p.Adapter})
	}
}

func (s *service) count(now core.Time, key modelKey) {
	counted := s.rate(key)
	s.rates[key] = counted
	counted.add(now)
}

// rate returns the rate of a model or adapter. That of a model is recorded from when it is first read
// on, also without a call: calls have then been counted for as long. One of an adapter is not, since
// callers may name adapters that don't exist.
func (s *service) rate(key modelKey) *rate {
	counted := s.rates[key]
	if counted == nil {
		counted = &rate{since: s.firstArrival}
	}
	if key.adapter == "" {
		s.rates[key] = counted
	}
	return counted
}

// hasRoomForAdapter reports whether the rate of a further adapter can be recorded. Callers may name
// adapters that don't exist, so that those that are not called any more have to go.
func (s *service) hasRoomForAdapter(now core.Time) bool {
	if len(s.rates) < maxRates {
		return true
	}
	if now.Sub(s.ratesPrunedAt) < pruneInterval {
		return false
	}
	s.ratesPrunedAt = now
	maps.DeleteFunc(s.rates, func(key modelKey, counted *rate) bool {
		counted.decay(now)
		return key.adapter != "" && counted.slow < forgottenCount
	})
	return len(s.rates) < maxRates
}
