package work

import "time"

const (
	// firstGuess is the time to read a token before any answer was seen. Engines
	// in use read 19 to 38 tokens a ms; a wrong guess lasts for a few answers.
	firstGuess = 40 * time.Microsecond
	// largestBase is the most that counts as the time to the first event of a
	// prompt of no length: a step of the engine and the way there and back. What is
	// above it, reading explains better.
	largestBase = 20 * time.Millisecond
	// leastTokens is the least prompt that tells the speed; of a shorter one the
	// base is the larger part.
	leastTokens = 200
	// quantile of the samples that counts as undisturbed. What a router does not
	// know of, other routers' prompts above all, only ever makes a sample longer:
	// a mean would take waiting for slow reading, and a least one that chance
	// made short would stay.
	quantile = 0.3
	// gain is by how much a sample moves the estimate, in parts of it: a change
	// of engines by a factor of two is learnt within some 30 answers.
	gain = 0.08
	// plainSamples are taken as they are, the least of them counts.
	plainSamples = 4
	// baseRise is by how much the least time rises with each answer, so that one
	// that chance made short is forgotten.
	baseRise = 1.001
)

// Speed is what is known of how fast the engines of a service read prompts. The
// zero value knows nothing.
type Speed struct {
	models map[string]*reading
	base   time.Duration
}

// reading is how fast one model's prompts are read.
type reading struct {
	// perToken is the time of a token, in nanoseconds.
	perToken float64
	samples  int
}

// Reading predicts the time in which an undisturbed engine reads so many tokens.
func (s *Speed) ReadTime(model string, tokens int) time.Duration {
	return time.Duration(s.perToken(model) * float64(tokens))
}

// perToken of a model that has not answered yet is the mean of the others':
// models differ less from each other than from a guess.
func (s *Speed) perToken(model string) float64 {
	if m := s.models[model]; m != nil {
		return m.perToken
	}
	if len(s.models) == 0 {
		return float64(firstGuess)
	}
	sum := 0.0
	for _, m := range s.models {
		sum += m.perToken
	}
	return sum / float64(len(s.models))
}

// Base is the time to the first event beside reading.
func (s *Speed) BaseLatency() time.Duration {
	if s.base == 0 {
		return largestBase
	}
	return s.base
}

// Answered learns from a first event that came so long after its request was
// sent, to an engine that had nothing else to read as far as is known.
func (s *Speed) Observe(model string, tokens int, took time.Duration) {
	s.base = min(took, largestBase, time.Duration(float64(s.BaseLatency())*baseRise))
	if tokens < leastTokens || took <= s.base {
		return
	}
	sample := float64(took-s.base) / float64(tokens)
	if s.models == nil {
		s.models = map[string]*reading{}
	}
	m := s.models[model]
	if m == nil {
		m = &reading{perToken: sample}
		s.models[model] = m
	}
	m.samples++
	switch {
	case m.samples <= plainSamples:
		m.perToken = min(m.perToken, sample)
	case sample < m.perToken:
		m.perToken *= 1 - gain*(1-quantile)
	default:
		m.perToken *= 1 + gain*quantile
	}
}
