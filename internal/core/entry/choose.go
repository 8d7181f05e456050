package entry

import (
	"time"

	"nutmeglane.example/nutmeglane/internal/code"
	"nutmeglane.example/nutmeglane/internal/core"
)

// candidate is a replica, or an agent of a plain service, that may get the request.
type candidate struct {
	agent   *agent
	replica *replica // nil for services
	wait    time.Duration
}

// option is a candidate in short form, by its position in the target's preference order.
// It holds no pointer, so that the garbage collector need not scan lists of options.
type option struct {
	number   int
	load     int
	wait     time.Duration
	sameZone bool
}

// choice is the chosen candidate, or the refusal when there is none.
type choice struct {
	candidate
	cold       bool
	result     code.Code
	retryAfter time.Duration
}

// scanResult groups a target's usable replicas by load state. The ready ones, with the
// model (and adapter) loaded, are also in Part.scratch.
type scanResult struct {
	ready    candidate // shortest wait
	starting candidate // loading or a load was requested; shortest wait
	cold     *replica  // the first in the preference order that all entries share
}

const (
	// waitTolerance is the difference of predicted waits that is ignored, because reports
	// lag.
	waitTolerance = 20 * time.Millisecond
	// reconnectPenalty is added to the wait at an agent without a connection.
	reconnectPenalty = 500 * time.Millisecond
	// startingMargin is how much sooner a later replica must be ready to be preferred to
	// an earlier one. The waits that entries see differ slightly; without the margin each
	// entry would choose another replica and start another load.
	startingMargin = time.Second
	// adapterLoadTime is the assumed load time of an adapter on a loaded base model.
	adapterLoadTime = time.Second
	// defaultRunTime is the assumed run time of a request until one is measured.
	defaultRunTime = 2 * time.Second
	// overflowFactor: a further slot is started when the loaded ones would make a caller
	// wait longer than this many cold starts.
	overflowFactor = 2
	// connectAhead is the number of replicas without a connection, in preference order,
	// to whose owners a scan requests connections.
	connectAhead = 2
	// movingRetryAfter is the Retry-After while the adapters of a base model move: the
	// change takes an unload and two writes of the slot table, unless running requests
	// delay it.
	movingRetryAfter = 2 * time.Second
)

// choose picks the candidate for a request.
func (p *Part) choose(r *request, t *target) choice {
	if t.service != "" {
		return p.chooseService(r, t)
	}
	if t.moving {
		return r.refused(code.NoBackend, movingRetryAfter)
	}
	if r.arrived.Key != "" {
		if c, decided := p.chooseKeyOwner(r, t); decided {
			return c
		}
	}
	var s scanResult
	p.scan(r, t, &s)
	return p.decide(r, t, &s)
}

// scan sorts the usable replicas into ready, starting and cold.
func (p *Part) scan(r *request, t *target, s *scanResult) {
	p.scratch = p.scratch[:0]
	ahead := connectAhead
	for i := range t.size() {
		rep := t.replica(i)
		if !rep.usable() || r.isTried(rep.agent.host) {
			continue
		}
		if !rep.agent.up && ahead > 0 {
			p.connect(rep.agent)
			ahead--
		}
		p.classify(t, s, i, rep)
	}
}

func (p *Part) classify(t *target, s *scanResult, number int, rep *replica) {
	if !rep.warm() {
		if s.cold == nil {
			s.cold = rep
		}
		return
	}
	c := candidate{rep.agent, rep, rep.wait(p.now, t)}
	if rep.state == core.Loaded && (t.adapter == "" || rep.hasAdapter(t.adapter)) {
		sameZone := rep.agent.zone == p.config.Zone
		p.scratch = append(p.scratch, option{number, rep.load.total(), c.wait, sameZone})
		s.ready = sooner(s.ready, c, 0)
		return
	}
	if rep.state == core.Loaded {
		c.wait += adapterLoadTime
	}
	s.starting = sooner(s.starting, c, startingMargin)
}

// sooner returns a, the earlier in preference order, unless b's wait is shorter by more
// than the margin.
func sooner(a, b candidate, margin time.Duration) candidate {
	if a.agent == nil || b.wait < a.wait-margin {
		return b
	}
	return a
}

// warm reports whether the model is loaded or loading there, or was requested by this
// entry: a request on its way makes the owner load.
func (rep *replica) warm() bool {
	return rep.state == core.Loaded || rep.state == core.Loading || rep.load.total() > 0
}

// wait predicts the time until one more request would start. Without a report of the
// owner it is zero, so that an estimate alone never starts a second load.
func (rep *replica) wait(now core.Time, t *target) time.Duration {
	wait := max(0, rep.load.readyAt.Sub(now))
	over := min(rep.load.sent, rep.load.total()+1-t.concurrent)
	if over > 0 && rep.state == core.Loaded {
		wait += rep.model.runTime.valueOr(defaultRunTime) * time.Duration(over) / time.Duration(t.concurrent)
	}
	if !rep.agent.up {
		wait += reconnectPenalty
	}
	return wait
}

// lateForAllAccounts reports whether the replica is too late for every client account.
//
// Failure: the owner's queue is full of one client account's requests, up to the waiting
// time that it accepts, and the entry, which has one wait for all client accounts,
// refuses the others too. Guard: the entry itself refuses only a request that would be
// late at any position in the fair queue; the owner decides on the others at once.
func (rep *replica) lateForAllAccounts(now core.Time, budget time.Duration) bool {
	return rep.load.newAccountReadyAt.Sub(now) > budget
}

// decide chooses between the loaded replicas and a cold start.
//
// A burst of requests at many entries must cause one load. So a further slot is started
// only if the owners report that the loaded or loading replicas are too late, and only if
// a cold start would not itself be too late. A model that is loaded nowhere is sent to
// its first slot whatever the estimate: the owner's estimate is better, and its refusal
// still starts the load for the caller's next attempt.
func (p *Part) decide(r *request, t *target, s *scanResult) choice {
	budget := r.deadline.Sub(p.now)
	cold := p.limits.ColdStart
	if t.base != nil {
		cold = t.base.coldStart.valueOr(cold)
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
	case best.wait > budget && best.replica.lateForAllAccounts(p.now, budget):
		return r.refused(code.DeadlineUnmet, best.wait)
	case ready:
		return choice{candidate: p.pickNearBest(r, t, best.wait)}
	default:
		return choice{candidate: best}
	}
}

func (p *Part) coldChoice(rep *replica) choice {
	return choice{candidate: candidate{agent: rep.agent, replica: rep}, cold: true}
}

// refused returns the choice of no candidate. An agent's own rejection takes precedence
// over the given result, since it is more specific.
func (r *request) refused(result code.Code, retryAfter time.Duration) choice {
	if r.refusal != code.OK {
		result = r.refusal
		if retryAfter == 0 {
			retryAfter = r.retryAfter
		}
	}
	return choice{result: result, retryAfter: retryAfter}
}

// pickNearBest chooses among the ready replicas whose waits are close to the shortest:
// those with the prompt prefix cached and free capacity if there are any, then by two
// random choices.
func (p *Part) pickNearBest(r *request, t *target, least time.Duration) candidate {
	limit := least + max(waitTolerance, least/4)
	near := partition(p.scratch, func(o *option) bool { return o.wait <= limit })
	if r.arrived.Prefix != 0 {
		warm := partition(near, func(o *option) bool {
			_, cached := t.replica(o.number).agent.prefixes[r.arrived.Prefix]
			return cached && o.load < t.concurrent
		})
		if len(warm) > 0 {
			near = warm
		}
	}
	rep := t.replica(p.twoChoices(near))
	return candidate{agent: rep.agent, replica: rep}
}

// partition moves the options that pass to the front and returns them.
func partition(all []option, pass func(*option) bool) []option {
	n := 0
	for i := range all {
		if pass(&all[i]) {
			all[n], all[i] = all[i], all[n]
			n++
		}
	}
	return all[:n]
}

// twoChoices draws two options and returns the number of the less loaded one, or on a tie
// of the one in this availability zone. Reports lag, so if all entries took the least
// loaded option, they would all overload the same one.
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
