package router

import (
	"math"
	"time"

	"nutmeglane.example/nutmeglane/internal/core"
	"nutmeglane.example/nutmeglane/internal/fleet"
)

// rateMemory is the time constant of arrival rates: long enough to tell a
// model called every few seconds from an idle one, short enough to follow a
// shift of demand within some seconds.
const rateMemory = 10 * time.Second

// rate is an exponentially decaying arrival rate.
type rate struct {
	// sum is the decayed number of arrivals at the time.
	sum float64
	at  core.Time
}

func (r *rate) decay(now core.Time) {
	r.sum *= math.Exp(-float64(now.Sub(r.at)) / float64(rateMemory))
	r.at = now
}

func (r *rate) add(now core.Time, amount float64) {
	r.decay(now)
	r.sum += amount
}

// perSecond is the rate at a time.
func (r *rate) perSecond(now core.Time) float64 {
	r.decay(now)
	return r.sum / rateMemory.Seconds()
}

// arrival counts a request for a model and, if it names one, its adapter.
func (s *service) arrival(now core.Time, p *fleet.Prompt) {
	s.rate(modelKey{model: p.Model}).add(now, 1)
	if p.Adapter != "" {
		s.rate(modelKey{p.Model, p.Adapter}).add(now, 1)
	}
}

func (s *service) rate(key modelKey) *rate {
	found := s.rates[key]
	if found == nil {
		found = &rate{}
		s.rates[key] = found
	}
	return found
}
