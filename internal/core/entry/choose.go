package entry

import (
	"time"

	"nutmeglane.example/nutmeglane/internal/code"
	"nutmeglane.example/nutmeglane/internal/core"
)

// candidate is a place, or an agent of a plain service, that may get the
// request.
type candidate struct {
	agent *agent
	place *place // nil for services
	wait  time.Duration
}

// option is a candidate in short form, by its number in the target's order. It
// holds no pointer, so that the lists of options cost the collector nothing.
type option struct {
	number   int
	load     int
	wait     time.Duration
	sameZone bool
}

// choice is a candidate, or the refusal when there is none.
type choice struct {
	candidate
	cold       bool
	result     code.Code
	retryAfter time.Duration
}

// survey is what a look at a target's places found. The ready ones, with the
// model (and adapter) loaded, are in Part.scratch.
type survey struct {
	ready    candidate // least wait
	starting candidate // a load runs or was asked for; least wait
	cold     *place    // the first in the order that all entries share
}

const (
	// nearWait is the difference of predicted waits below which reports, late
	// as they are, tell nothing.
	nearWait = 20 * time.Millisecond
	// reconnectWait is added for an agent without a standing connection.
	reconnectWait = 500 * time.Millisecond
	// startingMargin is how much sooner a later place must be to take a load
	// from an earlier one. Entries see waits that differ a little; without
	// the margin each would choose another place and start another load.
	startingMargin = time.Second
	// adapterWait is the assumed load time of an adapter on a loaded base.
	adapterWait = time.Second
	// runTime is the assumed run of a request until one is learned.
	runTime = 2 * time.Second
	// overflowFactor: a further slot is started when the loaded ones would
	// make a caller wait longer than this many cold starts.
	overflowFactor = 2
	// connectAhead is the number of places beyond the loaded ones, in
	// preference order, whose owners the entry connects to.
	connectAhead = 2
	// movingRetry is when a caller is told to come back while the adapters of
	// a base model move: the change takes an unload and two writes of the slot
	// table, unless running requests hold it up.
	movingRetry = 2 * time.Second
)

// choose picks the candidate for a request.
func (p *Part) choose(r *request, t *target) choice {
	if t.service != "" {
		return p.chooseService(r, t)
	}
	if t.moving {
		return r.refused(code.NoBackend, movingRetry)
	}
	if r.arrived.Key != "" {
		if c, decided := p.chooseKeyOwner(r, t); decided {
			return c
		}
	}
	var s survey
	p.survey(r, t, &s)
	return p.decide(r, t, &s)
}

// survey sorts the usable places into ready, starting and cold.
func (p *Part) survey(r *request, t *target, s *survey) {
	p.scratch = p.scratch[:0]
	ahead := connectAhead
	for i := range t.size() {
		pl := t.place(i)
		if !pl.usable() || r.isTried(pl.agent.host) {
			continue
		}
		if !pl.agent.up && ahead > 0 {
			p.connect(pl.agent)
			ahead--
		}
		p.classify(t, s, i, pl)
	}
}

func (p *Part) classify(t *target, s *survey, number int, pl *place) {
	if !pl.warm() {
		if s.cold == nil {
			s.cold = pl
		}
		return
	}
	c := candidate{pl.agent, pl, pl.wait(p.now, t)}
	if pl.state == core.Loaded && (t.adapter == "" || pl.hasAdapter(t.adapter)) {
		sameZone := pl.agent.zone == p.config.Zone
		p.scratch = append(p.scratch, option{number, pl.load.total(), c.wait, sameZone})
		s.ready = least(s.ready, c, 0)
		return
	}
	if pl.state == core.Loaded {
		c.wait += adapterWait
	}
	s.starting = least(s.starting, c, startingMargin)
}

// least keeps a, the earlier in preference order, unless b is sooner by more
// than the margin.
func least(a, b candidate, margin time.Duration) candidate {
	if a.agent == nil || b.wait < a.wait-margin {
		return b
	}
	return a
}

// warm tells whether the model is loaded or loading there, or was asked for
// by this entry: a request on its way makes the owner load.
func (pl *place) warm() bool {
	return pl.state == core.Loaded || pl.state == core.Loading || pl.load.total() > 0
}

// wait predicts the time to the start of one more request. Without the
// owner's word it is zero: a guess must never start a second load.
func (pl *place) wait(now core.Time, t *target) time.Duration {
	wait := max(0, pl.load.readyAt.Sub(now))
	over := min(pl.load.sent, pl.load.total()+1-t.concurrent)
	if over > 0 && pl.state == core.Loaded {
		wait += pl.model.runTime.or(runTime) * time.Duration(over) / time.Duration(t.concurrent)
	}
	if !pl.agent.up {
		wait += reconnectWait
	}
	return wait
}

// surelyLate tells that the place is too late for any client account.
//
// Failure: the owner's queue is full of one client account's requests up to its
// patience, and the entry, which sees one wait for all, refuses the others too.
// Guard: the entry refuses by itself only what no place in the fair queue
// could help; the owner, which knows the queue, decides on the rest at once.
func (pl *place) surelyLate(now core.Time, budget time.Duration) bool {
	return pl.load.firstAt.Sub(now) > budget
}

// decide weighs the loaded places against a cold start.
//
// A burst at many entries must become one load. So a further slot is started
// only on the owner's word that the loaded or loading ones are too late, and
// only when a cold start would not be too late itself. A model that nobody
// loads is sent to its first slot whatever the guess says: the owner knows
// better, and its refusal starts the load for the caller's next try.
func (p *Part) decide(r *request, t *target, s *survey) choice {
	budget := r.deadline.Sub(p.now)
	cold := p.limits.ColdStart
	if t.base != nil {
		cold = t.base.coldStart.or(cold)
	}
	best, ready := s.starting, false
	if s.ready.agent != nil && (best.agent == nil || s.ready.wait <= best.wait) {
		best, ready = s.ready, true
	}
	coldHelps := s.cold != nil && r.refusal != code.DeadlineUnmet
	switch {
	case best.agent == nil && coldHelps:
		return p.coldChoice(s.cold)
	case best.agent == nil:
		return r.refused(code.NoBackend, 0)
	case best.wait > min(budget, overflowFactor*cold) && coldHelps && cold <= budget:
		return p.coldChoice(s.cold)
	case best.wait > budget && best.place.surelyLate(p.now, budget):
		return r.refused(code.DeadlineUnmet, best.wait)
	case ready:
		return choice{candidate: p.pickNear(r, t, best.wait)}
	default:
		return choice{candidate: best}
	}
}

func (p *Part) coldChoice(pl *place) choice {
	return choice{candidate: candidate{agent: pl.agent, place: pl}, cold: true}
}

// refused is the choice of nobody. An agent's own rejection says more than
// that no other is left.
func (r *request) refused(result code.Code, retryAfter time.Duration) choice {
	if r.refusal != code.OK {
		result = r.refusal
		if retryAfter == 0 {
			retryAfter = r.retryAfter
		}
	}
	return choice{result: result, retryAfter: retryAfter}
}

// pickNear chooses among the ready places whose waits are near the least:
// those with the warm prefix and room if there are any, then by two choices.
func (p *Part) pickNear(r *request, t *target, least time.Duration) candidate {
	limit := least + max(nearWait, least/4)
	near := keep(p.scratch, func(o *option) bool { return o.wait <= limit })
	if r.arrived.Prefix != 0 {
		warm := keep(near, func(o *option) bool {
			_, cached := t.place(o.number).agent.prefixes[r.arrived.Prefix]
			return cached && o.load < t.concurrent
		})
		if len(warm) > 0 {
			near = warm
		}
	}
	pl := t.place(p.twoChoices(near))
	return candidate{agent: pl.agent, place: pl}
}

// keep moves the options that pass to the front and returns them.
func keep(all []option, pass func(*option) bool) []option {
	n := 0
	for i := range all {
		if pass(&all[i]) {
			all[n], all[i] = all[i], all[n]
			n++
		}
	}
	return all[:n]
}

// twoChoices draws two options and returns the number of the less loaded one,
// or on a tie of the one in this availability zone. It guards against the herd: reports lag,
// so if all entries took the least loaded one, they would all take the same.
func (p *Part) twoChoices(all []option) int {
	if len(all) == 1 {
		return all[0].number
	}
	i := p.rand.IntN(len(all))
	j := p.rand.IntN(len(all) - 1)
	if j >= i {
		j++
	}
	a, b := &all[i], &all[j]
	if b.load < a.load || b.load == a.load && b.sameZone && !a.sameZone {
		return b.number
	}
	return a.number
}
