package serverbudget

import (
	"math/rand/v2"
	"time"

	"nutmeglane.example/nutmeglane/internal/core"
)

// This file simulates routers and a server of a plain service in virtual time.

const (
	start = core.Time(time.Hour)
	// step is the simulation step, messageDelay the time of a message to the loader.
	step         = time.Millisecond
	messageDelay = 2 * time.Millisecond
	// objective is that of the callers.
	objective = 150 * time.Millisecond
	// slots and queueLength are those of the server. workAlone is the time of an answer on an
	// idle server; with all slots in use it takes a third longer, so that the server finishes
	// 150 requests a second.
	slots, queueLength = 6, 24
	workAlone          = 30 * time.Millisecond
	slowdownFull       = 1.0 / 3
	capacity           = 150.0
	// routers is their number, reportInterval the minimum time between two reports of one
	// router while there is no budget.
	routers        = 34
	reportInterval = 100 * time.Millisecond
	// burst is the number of seconds of the budget that may be admitted at once.
	burst = 0.1
)

// job is a request at the server.
type job struct {
	router        int
	arrived, ends core.Time
}

// answer is a served request.
type answer struct {
	at   core.Time
	took time.Duration
}

// turn is a change of the budget's direction.
type turn struct {
	at     core.Time
	rising bool
}

// model is the state of a run.
type model struct {
	rand   *rand.Rand
	budget *Budget
	now    core.Time
	// offered is the rate of callers' requests, slower the factor by which work takes longer
	// than usual. paceStated is set if answers state that factor.
	offered    func(core.Time) float64
	slower     func(core.Time) float64
	paceStated bool

	tokens       float64
	running      []job
	queue        []job
	usual        [routers]time.Duration
	reportedAt   [routers]core.Time
	messages     []Sample
	answers      []answer
	admitted     []core.Time
	refused      []core.Time
	serverRefuse int
	turns        []turn
	lastLimit    float64
}

func newModel(seed uint64, offered float64) *model {
	m := &model{
		rand: rand.New(rand.NewPCG(seed, 1)), budget: New(objective), now: start,
		offered: func(core.Time) float64 { return offered },
		slower:  func(core.Time) float64 { return 1 },
	}
	for i := range m.usual {
		m.usual[i] = workAlone
	}
	return m
}

// run advances the time by d.
func (m *model) run(d time.Duration) {
	for end := m.now.Add(d); m.now < end; m.now = m.now.Add(step) {
		m.deliver()
		m.noteTurn()
		m.finish()
		if m.rand.Float64() < m.offered(m.now)*step.Seconds() {
			m.arrive(m.rand.IntN(routers))
		}
	}
}

func (m *model) deliver() {
	for len(m.messages) > 0 && m.messages[0].At <= m.now {
		s := m.messages[0]
		s.At = m.now
		m.messages = m.messages[1:]
		m.budget.Observe(s)
	}
	m.budget.Advance(m.now)
	if perSecond, limited := m.budget.Limit(); limited {
		m.tokens = min(1+burst*perSecond, m.tokens+perSecond*step.Seconds())
	}
}

// noteTurn records changes of direction. A missing budget counts as an endless one.
func (m *model) noteTurn() {
	now, limited := m.budget.Limit()
	if !limited {
		now = 1e9
	}
	if m.lastLimit == 0 {
		m.lastLimit = now
	}
	if now == m.lastLimit {
		return
	}
	rising := now > m.lastLimit
	if len(m.turns) == 0 || rising != m.turns[len(m.turns)-1].rising {
		m.turns = append(m.turns, turn{m.now, rising})
	}
	m.lastLimit = now
}

// arrive handles a caller's request at a router.
func (m *model) arrive(router int) {
	if _, limited := m.budget.Limit(); limited {
		m.send(Sample{Asked: 1})
		if m.tokens < 1 {
			m.refused = append(m.refused, m.now)
			return
		}
		m.tokens--
	}
	m.admitted = append(m.admitted, m.now)
	j := job{router: router, arrived: m.now}
	switch {
	case len(m.running) < slots:
		m.begin(j)
	case len(m.queue) < queueLength:
		m.queue = append(m.queue, j)
	default:
		m.serverRefuse++
	}
}

func (m *model) begin(j job) {
	full := 1 + slowdownFull*float64(len(m.running))/(slots-1)
	work := float64(workAlone) * full * m.slower(m.now) * (0.8 + 0.4*m.rand.Float64())
	j.ends = m.now.Add(time.Duration(work))
	m.running = append(m.running, j)
}

// finish ends the jobs whose work is done and begins the next ones.
func (m *model) finish() {
	for i := 0; i < len(m.running); {
		j := m.running[i]
		if j.ends > m.now {
			i++
			continue
		}
		m.running = append(m.running[:i], m.running[i+1:]...)
		if len(m.queue) > 0 {
			next := m.queue[0]
			m.queue = m.queue[1:]
			m.begin(next)
		}
		m.answer(j)
	}
}

// answer delivers an answer to its router, which may report the load.
func (m *model) answer(j job) {
	took := m.now.Sub(j.arrived)
	m.answers = append(m.answers, answer{m.now, took})
	pace := 1.0
	if m.paceStated {
		pace = m.slower(m.now)
	}
	alone := float64(took) / (1 + float64(len(m.queue))/slots) / pace
	u := &m.usual[j.router]
	*u = time.Duration(alone)
	_, limited := m.budget.Limit()
	if !limited && len(m.queue) == 0 || m.now.Sub(m.reportedAt[j.router]) < reportInterval {
		return
	}
	m.reportedAt[j.router] = m.now
	m.send(Sample{Running: len(m.running), Waiting: len(m.queue), Slots: slots, Usual: time.Duration(pace * float64(*u))})
}

func (m *model) send(s Sample) {
	s.At = m.now.Add(messageDelay)
	m.messages = append(m.messages, s)
}

// onTime returns the share of the requests admitted from a time on that were answered within
// the objective. Those that the server refused count as not answered.
func (m *model) onTime(from core.Time) float64 {
	good, all := 0, 0
	for _, at := range m.admitted {
		if at >= from && at <= m.now.Add(-time.Second) {
			all++
		}
	}
	for _, a := range m.answers {
		if sent := a.at.Add(-a.took); sent >= from && sent <= m.now.Add(-time.Second) && a.took <= objective {
			good++
		}
	}
	return float64(good) / float64(max(1, all))
}

// finished returns the rate of answers between two times.
func (m *model) finished(from, to core.Time) float64 {
	n := 0
	for _, a := range m.answers {
		if a.at >= from && a.at < to {
			n++
		}
	}
	return float64(n) / to.Sub(from).Seconds()
}

// shortestTurn returns the shortest time between two changes of direction from a time on.
func (m *model) shortestTurn(from core.Time) time.Duration {
	shortest := time.Hour
	for i := 1; i < len(m.turns); i++ {
		if m.turns[i-1].at >= from {
			shortest = min(shortest, m.turns[i].at.Sub(m.turns[i-1].at))
		}
	}
	return shortest
}
