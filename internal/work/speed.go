package work

import "time"

const (
	// initialPerToken is the assumed time to read a token before the first answer.
	// Engines in use read 19 to 38 tokens a ms; a wrong value has an effect only until
	// the first few answers.
	initialPerToken = 40 * time.Microsecond
	// maxBase is the maximum time to the first event of a prompt without tokens: one
	// step of the engine and the round trip. Any time above it is better explained by
	// reading.
	maxBase = 20 * time.Millisecond
	// minTokens is the length of the shortest prompt whose time is used as a sample of
	// the speed. For a shorter one the base latency is the larger part.
	minTokens = 200
	// quantile is the quantile of the samples that counts as undisturbed. Influences
	// that a router does not know, mainly other routers' prompts, only make samples
	// longer. A mean would count waiting as slow reading, and a minimum would keep a
	// sample that is short by chance.
	quantile = 0.3
	// gain is the relative step by which a sample moves the estimate: after a change of
	// engines by a factor of two the estimate adapts within some 30 answers.
	gain = 0.08
	// initialSamples is the number of first samples of which the minimum is used.
	initialSamples = 4
	// baseGrowth is the factor by which the minimum time grows with each answer, so that
	// a value that was short by chance does not last.
	baseGrowth = 1.001
)

// Speed estimates how fast the engines of a service read prompts. The zero value has no
// samples.
type Speed struct {
	models map[string]*reading
	base   time.Duration
}

// reading is the estimated speed for one model's prompts.
type reading struct {
	// perToken is the time to read a token, in nanoseconds.
	perToken float64
	samples  int
}

// ReadTime predicts how long an undisturbed engine takes to read this many tokens.
func (s *Speed) ReadTime(model string, tokens int) time.Duration {
	return time.Duration(s.perToken(model) * float64(tokens))
}

// perToken returns the time to read a token. For a model without answers it is the mean
// of the other models, which differ less from each other than from the initial value.
func (s *Speed) perToken(model string) float64 {
	if m := s.models[model]; m != nil {
		return m.perToken
	}
	if len(s.models) == 0 {
		return float64(initialPerToken)
	}
	sum := 0.0
	for _, m := range s.models {
		sum += m.perToken
	}
	return sum / float64(len(s.models))
}

// BaseLatency returns the time to the first event without reading.
func (s *Speed) BaseLatency() time.Duration {
	if s.base == 0 {
		return maxBase
	}
	return s.base
}

// Observe updates the estimates from a first event that arrived this long after its
// request was sent to an engine that had nothing else to read as far as is known.
func (s *Speed) Observe(model string, tokens int, took time.Duration) {
	s.base = min(took, maxBase, time.Duration(float64(s.BaseLatency())*baseGrowth))
	if tokens < minTokens || took <= s.base {
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
	case m.samples <= initialSamples:
		m.perToken = min(m.perToken, sample)
	case sample < m.perToken:
		m.perToken *= 1 - gain*(1-quantile)
	default:
		m.perToken *= 1 + gain*quantile
	}
}
