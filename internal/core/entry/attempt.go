package entry

import (
	"time"

	"nutmeglane.example/nutmeglane/internal/code"
	"nutmeglane.example/nutmeglane/internal/core"
)

// dispatch routes a request that has no agent, under the configuration now in
// force.
func (p *Part) dispatch(r *request) {
	t, result := p.resolve(&r.arrived.Target)
	if result != code.OK {
		p.finish(r, result, 0)
		return
	}
	p.route(r, &t)
}

func (p *Part) route(r *request, t *target) {
	c := p.choose(r, t)
	if c.agent == nil {
		p.finish(r, c.result, c.retryAfter)
		return
	}
	if !p.inTime(&c) {
		p.finish(r, code.Draining, minRetryAfter)
		return
	}
	p.connect(c.agent)
	c.agent.attach(r)
	r.place, r.cold, r.phase = c.place, c.cold, phaseConnecting
	r.load().sent++
	if c.agent.up {
		p.start(r)
		return
	}
	p.setTimer(r, p.now.Add(p.limits.ConnectWait))
}

// start sends the request. From here on it may run.
func (p *Part) start(r *request) {
	if r.attempt > 0 {
		p.retries.pay()
	}
	r.attempt++
	r.unproved++
	r.phase, r.resumed, r.sentTo = phaseSent, false, r.agent.incarnation
	r.stream.beginAttempt()
	p.setTimer(r, r.deadline)
	ev := &r.arrived
	m := core.Start{
		Attempt: r.attemptID(), Target: ev.Target, Priority: ev.Priority,
		ClientAccount: ev.ClientAccount, Remaining: r.deadline.Sub(p.now),
		Key: ev.Key, Idempotent: ev.Idempotent,
		Method: ev.Method, Path: ev.Path, Header: ev.Header, Body: ev.Body,
		ResumeFrom: r.stream.next,
		Window:     uint32(r.stream.allowed(p.limits.StreamWindow)),
	}
	count := countServiceStart
	if r.place != nil {
		m.Slot, m.Generation = r.place.slot.ID, r.place.slot.Generation
		count = countModelStart
	}
	p.send(r.agent, m)
	p.emit(count)
}

func (p *Part) accepted(a *agent, m core.Accepted) {
	if r := p.current(a, m.Attempt); r != nil {
		p.accept(r, m.StartsIn)
	}
}

func (p *Part) accept(r *request, startsIn time.Duration) {
	if r.accepted {
		return
	}
	r.load().accept(startsIn)
	if r.place != nil {
		r.place.accepted(p.now, startsIn, r.arrived.Priority)
	}
	if r.cold && startsIn > 0 && r.place.model.coldStart.value == 0 {
		r.place.model.coldStart.add(startsIn)
	}
	r.accepted, r.startsAt = true, p.now.Add(startsIn)
	if r.phase == phaseSent {
		r.phase = phaseRunning
	}
	if !p.endsInTime(r.place, r.startsAt) {
		p.recall(r)
	}
}

// rejected handles an agent's word that the attempt did not run and will not.
func (p *Part) rejected(a *agent, m core.Rejected) {
	r := p.current(a, m.Attempt)
	switch {
	case r == nil:
	case r.stream.progress:
		p.lost(r, reasonLost)
	default:
		p.refusedByAgent(r, m.Code, m.RetryAfter)
	}
}

func (p *Part) refusedByAgent(r *request, result code.Code, retryAfter time.Duration) {
	r.unproved--
	if result == code.NotOwner {
		result = code.NoBackend // what it means to a caller
	}
	r.refusal, r.retryAfter = result, retryAfter
	if r.recalled {
		p.finish(r, code.Draining, minRetryAfter)
		return
	}
	if result == code.Draining {
		r.agent.noticed = true
	}
	if finalRefusal(result) || !p.mayRetry(r) {
		p.finish(r, result, retryAfter)
		return
	}
	p.nextCandidate(r, reasonRejected)
}

// finalRefusal tells whether every other agent would refuse just the same.
func finalRefusal(result code.Code) bool {
	switch result {
	case code.DuplicateKey, code.DeadlinePassed, code.Cancelled:
		return true
	}
	return result < code.DeadlineUnmet
}

// mayRetry tells whether the request may be sent again; start pays for it.
func (p *Part) mayRetry(r *request) bool {
	return int(r.attempt) < p.limits.MaxAttempts && r.deadline > p.now && p.retries.left()
}

// nextCandidate moves a request on that is proved not to run where it is.
func (p *Part) nextCandidate(r *request, why reason) {
	r.tried = append(r.tried, r.agent.host)
	p.leave(r)
	p.countRetry(why)
	p.dispatch(r)
}

func (p *Part) countRetry(why reason) {
	p.emit(counted(counterRetries, string(why)))
}
