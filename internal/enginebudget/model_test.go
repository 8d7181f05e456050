package enginebudget

import (
	"math"
	"math/rand/v2"
	"time"

	"nutmeglane.example/nutmeglane/internal/core"
)

// modelEngine simulates, in virtual time, an engine that reads prompts between the steps of
// its running requests.
type modelEngine struct {
	slots       int
	prompt      int // tokens of each prompt
	events      int // mean events of a request
	eventTokens int
	tokensPerMS float64
	step        time.Duration
	// chunk is the largest number of prompt tokens that are read between two steps.
	chunk int

	rand    *rand.Rand
	now     core.Time
	waiting []*modelRequest
	running []*modelRequest
	// begun and produced count first events and all events since the last sample.
	begun, produced int
	sampledAt       core.Time
	// maxPause and maxFirst are the longest since the last reset.
	maxPause, maxFirst time.Duration
	// began counts first events and latePauses pauses over the objective since then.
	began, latePauses int
}

type modelRequest struct {
	arrived          core.Time
	unread           int // prompt tokens
	events           int
	tokens           int // tokens produced
	lastEvent        core.Time
	producedAnyEvent bool
}

// firstDeployment is an engine of the first deployment in docs/design/hard-load.md.
func firstDeployment(chunk int) *modelEngine {
	return &modelEngine{
		slots: 128, prompt: 646, events: 23, eventTokens: 3, tokensPerMS: 19.2, step: 9470 * time.Microsecond,
		chunk: chunk, rand: rand.New(rand.NewPCG(7, 7)), now: core.Time(time.Hour), sampledAt: core.Time(time.Hour),
	}
}

// secondDeployment is an engine of the second one, with the same requests.
func secondDeployment(chunk int) *modelEngine {
	e := firstDeployment(chunk)
	e.slots, e.tokensPerMS, e.step = 64, 30.6, 6730*time.Microsecond
	return e
}

var firstTargets = Targets{FirstEvent: time.Second, Pause: 800 * time.Millisecond}

// arrive adds a request. Answers differ in length by up to a third from the mean: requests of
// equal length that fill all slots begin and end together.
func (e *modelEngine) arrive(at core.Time) {
	third := e.events / 3
	events := e.events - third + e.rand.IntN(2*third+1)
	e.waiting = append(e.waiting, &modelRequest{arrived: at, unread: e.prompt, events: events})
}

// advance reads one chunk and makes one step, or waits for the time until if there is nothing
// to do.
func (e *modelEngine) advance(until core.Time) {
	for len(e.waiting) > 0 && len(e.running) < e.slots {
		e.running, e.waiting = append(e.running, e.waiting[0]), e.waiting[1:]
	}
	if len(e.running) == 0 {
		e.now = until
		return
	}
	left := e.chunk
	for _, r := range e.running {
		read := min(left, r.unread)
		r.unread -= read
		left -= read
	}
	reading := float64(e.chunk-left) / e.tokensPerMS * float64(time.Millisecond)
	e.now = e.now.Add(time.Duration(reading) + e.step)
	e.produce()
}

// produce makes a token of each request whose prompt has been read.
func (e *modelEngine) produce() {
	var still []*modelRequest
	for _, r := range e.running {
		if r.unread == 0 {
			r.tokens++
			if r.tokens%e.eventTokens == 0 {
				e.event(r)
			}
		}
		if r.tokens < r.events*e.eventTokens {
			still = append(still, r)
		}
	}
	e.running = still
}

func (e *modelEngine) event(r *modelRequest) {
	e.produced++
	if !r.producedAnyEvent {
		r.producedAnyEvent = true
		e.begun++
		e.began++
		e.maxFirst = max(e.maxFirst, e.now.Sub(r.arrived))
	} else {
		pause := e.now.Sub(r.lastEvent)
		e.maxPause = max(e.maxPause, pause)
		if pause > firstTargets.Pause {
			e.latePauses++
		}
	}
	r.lastEvent = e.now
}

func (e *modelEngine) unread() int {
	n := len(e.waiting)
	for _, r := range e.running {
		if !r.producedAnyEvent {
			n++
		}
	}
	return n
}

// sample returns the sample since the last one.
func (e *modelEngine) sample() Sample {
	s := Sample{
		At: e.now, Running: len(e.running), Waiting: len(e.waiting), Unread: e.unread(),
		Begun: e.begun, Events: e.produced, KVTotal: 1 << 30,
	}
	e.begun, e.produced, e.sampledAt = 0, 0, e.now
	return s
}

// capacity measures the rate at which the engine begins requests while it always has unread
// prompts.
func (e *modelEngine) capacity() float64 {
	c := *e
	c.waiting, c.running = nil, nil
	const lasts = 60 * time.Second
	end := c.now.Add(lasts)
	for c.now < end {
		for len(c.waiting) < 2*c.slots {
			c.arrive(c.now)
		}
		c.advance(end)
	}
	return float64(c.began) / lasts.Seconds()
}

// trial drives an engine with a budget and callers whose requests arrive at random.
type trial struct {
	engine *modelEngine
	budget *Budget
	rand   *rand.Rand
	// rate returns the requests per second at a time since the start.
	rate func(time.Duration) float64
	// unlimited sends all requests whatever the budget.
	unlimited bool

	start, next, filledAt core.Time
	tokens                float64
	asked                 int
	limits                []float64
	// crowdedSamples counts the samples in which the engine was crowded.
	crowdedSamples int
}

func newTrial(e *modelEngine, targets Targets, seed uint64, rate func(time.Duration) float64) *trial {
	t := &trial{engine: e, budget: New(targets), rand: rand.New(rand.NewPCG(seed, 1)), rate: rate, start: e.now, next: e.now, filledAt: e.now}
	return t
}

// burst is the time that the bucket takes to fill, as in the loader: half of the shortest
// objective.
func (t *trial) burst() time.Duration { return t.budget.promptsBound() }

// run advances by a duration and resets the maxima before.
func (t *trial) run(d time.Duration) {
	e := t.engine
	e.maxPause, e.maxFirst, e.began, e.latePauses = 0, 0, 0, 0
	t.limits, t.crowdedSamples = nil, 0
	for end := e.now.Add(d); e.now < end; {
		t.arrivals()
		e.advance(min(end, t.next, e.sampledAt.Add(100*time.Millisecond)))
		if e.now.Sub(e.sampledAt) >= 100*time.Millisecond {
			t.takeSample()
		}
	}
}

func (t *trial) takeSample() {
	s := t.engine.sample()
	s.Asked, t.asked = t.asked, 0
	t.budget.Add(s)
	limit, limited := t.budget.Limit()
	if !limited {
		limit = math.Inf(1)
	}
	t.limits = append(t.limits, limit)
	if t.budget.Crowded() != CauseNone {
		t.crowdedSamples++
	}
}

// arrivals delivers the requests up to now.
func (t *trial) arrivals() {
	for t.next <= t.engine.now {
		rate := t.rate(t.next.Sub(t.start))
		if t.admit(t.next) {
			t.engine.arrive(t.next)
		}
		t.next = t.next.Add(time.Duration(t.rand.ExpFloat64() / rate * float64(time.Second)))
	}
}

func (t *trial) admit(at core.Time) bool {
	perSecond, limited := t.budget.Limit()
	if !limited || t.unlimited {
		t.tokens, t.filledAt = 0, at
		return true
	}
	t.asked++
	t.tokens = min(1+perSecond*t.burst().Seconds(), t.tokens+perSecond*at.Sub(t.filledAt).Seconds())
	t.filledAt = at
	if t.tokens < 1 {
		return false
	}
	t.tokens--
	return true
}

// turns counts the changes of direction of the limits that exceed a tenth, which is the
// smallest change that routers are told.
func turns(limits []float64) int {
	const least = 0.1
	count, direction := 0, 0
	extreme := limits[0]
	for _, limit := range limits {
		switch {
		case direction >= 0 && limit > extreme, direction <= 0 && limit < extreme && direction != 0:
			extreme = limit
		case direction >= 0 && limit < extreme*(1-least):
			if direction > 0 {
				count++
			}
			direction, extreme = -1, limit
		case direction <= 0 && limit > extreme*(1+least):
			if direction < 0 {
				count++
			}
			direction, extreme = 1, limit
		}
	}
	return count
}
