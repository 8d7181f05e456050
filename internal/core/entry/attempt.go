package entry

import (
	"time"

	"nutmeglane.example/nutmeglane/internal/code"
	"nutmeglane.example/nutmeglane/internal/core"
)

// dispatch routes a request that has no agent, under the configuration in force.
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
	r.replica, r.cold, r.phase = c.replica, c.cold, phaseConnecting
	r.load().sent++
	if c.agent.up {
		p.start(r)
		return
	}
	p.setTimer(r, p.now.Add(p.limits.ConnectWait))
}

// start sends the request to its agent. From then on it may run.
func (p *Part) start(r *request) {
	if r.attempt > 0 {
		p.retries.withdraw()
	}
	r.attempt++
	r.unprovedStarts++
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
	if r.replica != nil {
		m.Slot, m.Generation = r.replica.slot.ID, r.replica.slot.Generation
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
	if r.replica != nil {
		r.replica.applyPrediction(p.now, startsIn, r.arrived.Priority)
	}
	if r.cold && startsIn > 0 && r.replica.model.coldStart.value == 0 {
		r.replica.model.coldStart.add(startsIn)
	}
	r.accepted, r.startsAt = true, p.now.Add(startsIn)
	if r.phase == phaseSent {
		r.phase = phaseRunning
	}
	if !p.endsInTime(r.replica, r.startsAt) {
		p.recall(r)
	}
}

// rejected handles an agent's report that the attempt did not run and will not.
func (p *Part) rejected(a *agent, m core.Rejected) {
	r := p.current(a, m.Attempt)
	switch {
	case r == nil:
	case r.stream.progress:
		p.handleLost(r, reasonLost)
	default:
		p.refusedByAgent(r, m.Code, m.RetryAfter)
	}
}

func (p *Part) refusedByAgent(r *request, result code.Code, retryAfter time.Duration) {
	r.unprovedStarts--
	if result == code.NotOwner {
		result = code.NoBackend // callers don't see slot ownership
	}
	r.refusal, r.retryAfter = result, retryAfter
	if r.recalled {
		p.finish(r, code.Draining, minRetryAfter)
		return
	}
	switch result {
	case code.Draining:
		r.agent.announcedLeaving = true
	case code.BackingOff:
		r.agent.backoffUntil = p.now.Add(retryAfter)
	}
	if finalRefusal(result) || !p.mayRetry(r) {
		p.finish(r, result, retryAfter)
		return
	}
	p.nextCandidate(r, reasonRejected)
}

// finalRefusal reports whether every other agent would refuse for the same reason.
func finalRefusal(result code.Code) bool {
	switch result {
	case code.DuplicateKey, code.DeadlinePassed, code.Cancelled:
		return true
	}
	return result < code.DeadlineUnmet
}

// mayRetry reports whether the request may be sent again; start charges the retry budget.
func (p *Part) mayRetry(r *request) bool {
	return int(r.attempt) < p.limits.MaxAttempts && r.deadline > p.now && p.retries.available()
}

// nextCandidate routes a request to another agent after it was proved not to run at the
// present one.
func (p *Part) nextCandidate(r *request, why reason) {
	r.tried = append(r.tried, r.agent.host)
	p.releaseAgent(r)
	p.countRetry(why)
	p.dispatch(r)
}

func (p *Part) countRetry(why reason) {
	p.emit(counted(counterRetries, string(why)))
}
