package router

import "time"

// This file estimates how much engines are slowed down by their load, from answers alone.
// If a model with many callers is loaded on two engines, its prompts may arrive nearly as
// fast as these can read them. Then most of their slots are free (20 of 128 used), yet
// callers wait for seconds, because reading prompts takes the time in which answers would
// be generated.
//
// Let u be the fraction of its time in which an engine reads prompts. The pause between two
// events of an answer grows by the factor 1/(1-u). In a steady state u/(1-u) is the number
// of running requests times a constant of the service, its share: the time to read a prompt
// divided by the time of an answer without load. So
//
//	pause = pause without load x (1 + share x running requests)
//
// This yields the share from each answer that ends, without knowing the engine's speed or a
// prompt's length, both of which differ between models.

const (
	// shareWeight is the weight of a new sample of the share: the last 50 answers count,
	// some seconds of a router's requests.
	shareWeight = 0.02
	// largestShare bounds a share that is overestimated by chance or because of a slow
	// engine.
	largestShare = 0.5
	// minEvents is the minimum number of events of an answer for its mean pause to count.
	minEvents = 5
	// minConcurrent is the minimum number of concurrent requests for an answer to be a
	// sample of the load; with fewer, the difference is noise.
	minConcurrent = 2
	// minTimeRise is the factor by which a minimum time rises with each answer, so that a
	// value that was low by chance is forgotten.
	minTimeRise = 1.0005
	// tailStep is by how much an answer that takes longer than the tail increases it. Other
	// answers decrease it by a fraction of that, tailPart, so that one in a hundred lies
	// beyond it.
	tailStep = 0.2
	tailPart = 1.0 / 99
	// tailFirst is the initial tail, tailMost bounds it.
	tailFirst, tailMost = 2, 8
)

// speed is the estimated speed of a service's engines.
type speed struct {
	models map[string]*modelSpeed
	// tail is the 99th percentile of the time that answers take to generate, relative to
	// that without load.
	tail  float64
	share float64
	// samples is the number of answers that the share was estimated from.
	samples int
}

// modelSpeed describes an engine's answers for a model without load.
type modelSpeed struct {
	// pause is the minimum mean pause between events, first the minimum time to the first
	// event.
	pause, first time.Duration
	// events is the moving average of the number of events of an answer.
	events float64
	// answers is the number of answers seen.
	answers int
}

func newSpeed() speed { return speed{models: map[string]*modelSpeed{}, tail: tailFirst} }

// answer is a measured answer that has ended.
type answer struct {
	model  string
	events int
	// first is the time to the first event, pause the mean pause after it.
	first, pause time.Duration
	// concurrent is the number of requests that ran at the same time.
	concurrent int
}

// answerEnded updates the estimates with an answer.
func (s *speed) answerEnded(a answer) {
	if a.events < minEvents || a.pause <= 0 {
		return
	}
	m := s.models[a.model]
	if m == nil {
		m = &modelSpeed{pause: a.pause, first: a.first, events: float64(a.events)}
		s.models[a.model] = m
	}
	s.learnTail(float64(a.events) * float64(a.pause) / float64(m.generating()))
	m.pause = decayingMin(m.pause, a.pause)
	m.first = decayingMin(m.first, a.first)
	m.answers++
	m.events += weight(m.answers) * (float64(a.events) - m.events)
	if a.concurrent < minConcurrent {
		return
	}
	slowdown := float64(a.pause) / float64(m.pause)
	sample := min(largestShare, (slowdown-1)/float64(a.concurrent))
	s.samples++
	s.share += weight(s.samples) * (sample - s.share)
}

// learnTail updates the tail with how many times its time without load an answer took to
// generate.
func (s *speed) learnTail(times float64) {
	if times > s.tail {
		s.tail = min(tailMost, s.tail+tailStep)
	} else {
		s.tail = max(1, s.tail-tailStep*tailPart)
	}
}

// weight returns the weight of the n-th sample: that of a plain mean at first, so that a
// router that has just started knows the load after some answers instead of after fifty.
func weight(n int) float64 { return max(shareWeight, 1/float64(n)) }

// decayingMin returns the minimum sample so far, with a slow rise.
func decayingMin(old, sample time.Duration) time.Duration {
	return min(sample, time.Duration(float64(old)*minTimeRise))
}

// queueFactor returns the factor by which an engine with the given number of requests is
// slower than an idle one.
func (s *speed) queueFactor(requests int) float64 { return 1 + s.share*float64(requests) }

// answerTime returns the time of an answer without load.
func (m *modelSpeed) answerTime() time.Duration {
	return m.first + m.generating()
}

// generating returns the time from the first event to the last without load.
func (m *modelSpeed) generating() time.Duration {
	return time.Duration(m.events * float64(m.pause))
}

// unloadedTime returns the time of an answer of a model without load. For a model without
// answers at this router it is the mean of the others: otherwise demand that moves to a new
// model would count as no load until its first answers arrive. It is 0 if nothing is known.
func (s *speed) unloadedTime(model string) time.Duration {
	return s.estimate(model, (*modelSpeed).answerTime)
}

// generating returns the time from the first event of an answer to its last without load,
// estimated in the same way.
func (s *speed) generating(model string) time.Duration {
	return s.estimate(model, (*modelSpeed).generating)
}

// estimate returns a time of a model's answers, the mean of all models' for one that has
// not answered yet, 0 if none has.
func (s *speed) estimate(model string, of func(*modelSpeed) time.Duration) time.Duration {
	if m := s.models[model]; m != nil {
		return of(m)
	}
	sum := time.Duration(0)
	for _, m := range s.models {
		sum += of(m)
	}
	return sum / time.Duration(max(1, len(s.models)))
}

// load returns the fraction of one engine that requests for a model take at the given rate:
// of its time to read prompts, or of its slots, whichever is scarcer. An engine with few
// slots is full long before its time is used up, and further requests wait at it although
// each runs fast.
func (s *speed) load(model string, perSecond float64, slots int) float64 {
	running := perSecond * s.unloadedTime(model).Seconds()
	if slots <= 0 {
		return running * s.share
	}
	// At the target load, answers take this much longer.
	slowdown := s.queueFactor(int(targetLoad * float64(slots)))
	return max(running*s.share, running*slowdown/float64(slots))
}
