package router

import "time"

// This file learns how much engines are slowed down by their load, from answers
// alone. It answers this pattern: a model that many callers use sits on two
// engines, and its prompts come nearly as fast as these can read them. Their
// slots are then mostly free (20 of 128 used), yet callers wait seconds, because
// reading prompts takes the time in which answers would go on.
//
// With u the part of its time that an engine reads prompts, the pause between
// two events of an answer grows by 1/(1-u). In a steady state u/(1-u) is the
// number of running requests times a constant of the service, its share: the
// time to read a prompt over the time of an undisturbed answer. So
//
//	pause = undisturbed pause x (1 + share x running requests)
//
// which gives the share from each answer that ends, without knowing the
// engine's speed or a prompt's length, both of which differ between models.

const (
	// shareMemory is the weight of a new sample of the share: the last 50
	// answers count, some seconds of a router's requests.
	shareMemory = 0.02
	// largestShare bounds a share that chance or a slow engine made large.
	largestShare = 0.5
	// leastEvents is the least number of events of an answer for its mean
	// pause to count.
	leastEvents = 5
	// leastRunning is the least number of requests beside which an answer
	// tells of the load; beside fewer, the difference is noise.
	leastRunning = 2
	// leastRise is by how much a least time rises with each answer, so that one
	// that chance made short is forgotten.
	leastRise = 1.0005
	// tailStep is by how much an answer that takes longer than the tail moves it up; one
	// that does not moves it down by a part, so that one in a hundred lies beyond it.
	tailStep = 0.2
	tailPart = 1.0 / 99
	// tailFirst is the tail before any answer, tailMost bounds it.
	tailFirst, tailMost = 2, 8
)

// speed is what is known of a service's engines.
type speed struct {
	models map[string]*modelSpeed
	// tail is the 99th percentile of the time that answers take to generate, over that
	// without load.
	tail  float64
	share float64
	// samples is the number of answers that the share was learnt from.
	samples int
}

// modelSpeed is how an engine answers for a model without load.
type modelSpeed struct {
	// pause is the least mean pause between events, first the least time to
	// the first event.
	pause, first time.Duration
	// events is the moving average of an answer's events.
	events float64
	// answers is their number.
	answers int
}

func newSpeed() speed { return speed{models: map[string]*modelSpeed{}, tail: tailFirst} }

// answer is what an answer that has ended tells of its engine.
type answer struct {
	model  string
	events int
	// first is the time to the first event, pause the mean pause after it.
	first, pause time.Duration
	// beside is the number of requests that ran beside it.
	beside int
}

// answerEnded learns from an answer.
func (s *speed) answerEnded(a answer) {
	if a.events < leastEvents || a.pause <= 0 {
		return
	}
	m := s.models[a.model]
	if m == nil {
		m = &modelSpeed{pause: a.pause, first: a.first, events: float64(a.events)}
		s.models[a.model] = m
	}
	s.learnTail(float64(a.events) * float64(a.pause) / float64(m.generating()))
	m.pause = least(m.pause, a.pause)
	m.first = least(m.first, a.first)
	m.answers++
	m.events += weight(m.answers) * (float64(a.events) - m.events)
	if a.beside < leastRunning {
		return
	}
	slowdown := float64(a.pause) / float64(m.pause)
	sample := min(largestShare, (slowdown-1)/float64(a.beside))
	s.samples++
	s.share += weight(s.samples) * (sample - s.share)
}

// learnTail takes in how many times its time without load an answer took to generate.
func (s *speed) learnTail(times float64) {
	if times > s.tail {
		s.tail = min(tailMost, s.tail+tailStep)
	} else {
		s.tail = max(1, s.tail-tailStep*tailPart)
	}
}

// weight of the n-th sample: a plain mean at first, so that a router that has
// just started knows the load after some answers instead of after fifty.
func weight(n int) float64 { return max(shareMemory, 1/float64(n)) }

// least is the least sample so far, with a slow rise.
func least(old, sample time.Duration) time.Duration {
	return min(sample, time.Duration(float64(old)*leastRise))
}

// queueFactor is by how much an engine with so many requests is slower than an
// idle one.
func (s *speed) queueFactor(requests int) float64 { return 1 + s.share*float64(requests) }

// answerTime is the time of an answer without load.
func (m *modelSpeed) answerTime() time.Duration {
	return m.first + m.generating()
}

// generating is the time from the first event to the last without load.
func (m *modelSpeed) generating() time.Duration {
	return time.Duration(m.events * float64(m.pause))
}

// undisturbed is the time of an answer of a model without load. For one that
// this router has not seen answer yet it is the mean of the others: demand that
// moves to a new model would else count as no load for as long as its first
// answers take. 0 if nothing is known.
func (s *speed) undisturbed(model string) time.Duration {
	return s.estimate(model, (*modelSpeed).answerTime)
}

// generating is the time from the first event of an answer to its last without load,
// estimated in the same way.
func (s *speed) generating(model string) time.Duration {
	return s.estimate(model, (*modelSpeed).generating)
}

// estimate is a time of a model's answers, the mean of all models' for one that has not
// answered yet, 0 if none has.
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

// load is the part of one engine that requests for a model take, at so many a
// second: of its time to read prompts, or of its slots, whichever is scarcer. An
// engine of few slots is full long before its time is used up, and further
// requests wait at it although each runs fast.
func (s *speed) load(model string, perSecond float64, slots int) float64 {
	running := perSecond * s.undisturbed(model).Seconds()
	if slots <= 0 {
		return running * s.share
	}
	// At the load that is aimed for, answers take this much longer.
	slowdown := s.queueFactor(int(targetLoad * float64(slots)))
	return max(running*s.share, running*slowdown/float64(slots))
}
