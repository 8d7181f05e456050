package router

import (
	"math"
	"time"
)

// This file learns how fast engines are, from answers alone. It answers this
// pattern: a model that many callers use sits on two engines, and its prompts
// come as fast as these can read them. Their slots are then nearly all free (20
// of 128 used), yet callers wait seconds, because an engine reads the prompts of
// all its requests one piece after the other. So load is measured in time to
// read prompts, not in slots:
//
//	share of an engine that a request takes = tokens x time per token
//
// The time per token is the slope of first-event latency over prompt length. A
// slope does not mind what else a latency contains (network, a fixed first
// step, the wait behind others), as long as that does not depend on the length.

const (
	// speedMemory is the weight that a sample keeps with each further one:
	// about the last 200 count, some 10 s of a router's requests.
	speedMemory = 0.995
	// speedSamples is the least weight of samples for a slope to count.
	speedSamples = 15
	// leastSpread is the least standard deviation of lengths, as a part of their
	// mean, for a slope to count: with less it is made of noise.
	leastSpread = 0.05
	// slowestToken bounds a slope that chance made steep: 1,000 tokens a
	// second is far below any engine in use.
	slowestToken = time.Millisecond
	// fullShare is the share of an engine in use from which a queue is taken
	// to be as long as there.
	fullShare = 0.9
)

// slope is a linear regression with exponential forgetting.
type slope struct{ n, x, y, xx, xy float64 }

func (s *slope) add(x, y float64) {
	s.n = s.n*speedMemory + 1
	s.x = s.x*speedMemory + x
	s.y = s.y*speedMemory + y
	s.xx = s.xx*speedMemory + x*x
	s.xy = s.xy*speedMemory + x*y
}

// perUnit is the slope, 0 while too little is known.
func (s *slope) perUnit() float64 {
	spread := s.n*s.xx - s.x*s.x
	if s.n < speedSamples || spread <= leastSpread*leastSpread*s.x*s.x {
		return 0
	}
	return max(0, (s.n*s.xy-s.x*s.y)/spread)
}

// speed is what is known of a service's engines.
type speed struct {
	reading slope
	// tokens is the moving average of a prompt's length without shared parts,
	// run that of the time from sending to the end.
	tokens float64
	run    time.Duration
}

// firstEvent learns from the first event of an answer.
func (s *speed) firstEvent(tokens int, latency time.Duration) {
	s.reading.add(float64(tokens), float64(latency))
	if s.tokens == 0 {
		s.tokens = float64(tokens)
	}
	s.tokens += smoothing * (float64(tokens) - s.tokens)
}

// ended learns from the end of an answer.
func (s *speed) ended(took time.Duration) { s.run = average(s.run, took) }

// perToken is the time that an engine takes to read a token, 0 if unknown.
func (s *speed) perToken() time.Duration {
	return min(slowestToken, time.Duration(s.reading.perUnit()))
}

// share is the part of an engine that one running request takes on average.
func (s *speed) share() float64 {
	if s.run <= 0 {
		return 0
	}
	return s.tokens * float64(s.perToken()) / float64(s.run)
}

// queueFactor is by how much an engine with so many requests is slower than an
// idle one: the mean wait of a queue with one server.
func (s *speed) queueFactor(requests int) float64 {
	return 1 / (1 - math.Min(fullShare, float64(requests)*s.share()))
}
