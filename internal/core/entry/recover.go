package entry

import (
	"slices"

	"nutmeglane.example/nutmeglane/internal/code"
	"nutmeglane.example/nutmeglane/internal/core"
)

// peerUp greets the agent, sends what waited for the connection and resumes
// what was cut off from it. A PeerUp without PeerDown replaced a connection,
// which may have lost messages: that is the same as a loss.
func (p *Part) peerUp(ev core.PeerUp) {
	a := p.agents[ev.Peer]
	if a == nil {
		return
	}
	a.up, a.failed = true, false
	if a.incarnation != ev.Incarnation {
		p.newProcess(a, ev.Incarnation)
	}
	p.send(a, core.Hello{
		Host: p.config.Host, Incarnation: p.config.Incarnation, Zone: p.config.Zone,
		Steward: p.peers.Collecting(), ConfigRevision: p.configRevision(),
	})
	for _, attempt := range a.orphans {
		p.send(a, core.Cancel{Attempt: attempt})
	}
	a.orphans = nil
	for _, r := range slices.Clone(a.requests) {
		p.reconnected(r, ev.Incarnation)
	}
}

// newProcess forgets what the last process at the host said.
func (p *Part) newProcess(a *agent, incarnation core.Incarnation) {
	a.incarnation, a.noticed, a.partAsked, a.lastWord = incarnation, false, false, nil
	a.orphans, a.prefixes = nil, nil
	a.load = load{sent: a.load.sent}
	for _, pl := range a.places {
		pl.forget()
	}
}

func (p *Part) configRevision() int64 {
	if p.snapshot == nil {
		return 0
	}
	return p.snapshot.Revision
}

func (p *Part) reconnected(r *request, incarnation core.Incarnation) {
	switch {
	case r.phase == phaseConnecting && r.stillWelcome():
		p.start(r)
	case r.phase == phaseConnecting:
		p.nextCandidate(r, reasonUnreachable)
	case r.sentTo != incarnation:
		p.lost(r, reasonLost)
	default:
		r.phase, r.resumed = phaseSent, true
		if r.accepted {
			r.phase = phaseRunning
		}
		p.setTimer(r, r.deadline)
		p.resume(r)
	}
}

// stillWelcome guards against new work for an agent that began to leave, or
// lost the slot, while the request waited for the connection.
func (r *request) stillWelcome() bool {
	if r.place != nil {
		return r.place.usable()
	}
	return r.agent.usable()
}

func (p *Part) resume(r *request) {
	s := &r.stream
	s.credited, s.gapAsked = s.took, true
	p.send(r.agent, core.Resume{
		Attempt: r.attemptID(), Seq: s.next, HaveHead: s.head,
		Frames: s.allowed(p.limits.StreamWindow),
	})
	p.emit(countResume)
}

// peerDown moves requests on that were not sent, or that the agent never took, and
// starts the resume window of the others.
func (p *Part) peerDown(ev core.PeerDown) {
	a := p.agents[ev.Peer]
	if a == nil {
		return
	}
	a.failed, a.up = !a.up, false
	for _, r := range slices.Clone(a.requests) {
		switch {
		case r.phase == phaseConnecting:
			p.nextCandidate(r, reasonUnreachable)
		case ev.Planned && r.neverTaken():
			p.refusedByAgent(r, code.Draining, minRetryAfter)
		case r.phase != phaseBroken:
			r.phase = phaseBroken
			p.setTimer(r, p.now.Add(p.limits.ResumeWindow))
		}
	}
	if a.gone {
		p.hostGone(a)
	}
	p.follow(a)
}

// neverTaken tells whether a planned end of the connection proves that the attempt did
// not run and never will.
//
// An agent that stops takes no Start any more, then writes out all that it has to say, and
// closes behind it. Each Start that it took has been answered, by Accepted at least, on
// the connection that it came on. A Start of an earlier connection may have been answered
// there, in a message that was lost.
//
// It guards against a call whose outcome nobody knows because an agent was stopped as
// planned while the Start was on its way.
func (r *request) neverTaken() bool {
	return r.phase == phaseSent && !r.accepted && !r.resumed
}

// loseAll decides on every request of an agent that will not come back.
func (p *Part) loseAll(a *agent) {
	for _, r := range slices.Clone(a.requests) {
		if r.phase == phaseConnecting {
			p.nextCandidate(r, reasonUnreachable)
		} else {
			p.lost(r, reasonLost)
		}
	}
}

// notStarted handles an agent's promise that it never started the attempt. It
// proves something only for the process that the Start went to: a successor
// knows nothing of what its predecessor ran.
func (p *Part) notStarted(a *agent, m core.NotStarted) {
	r := p.current(a, m.Attempt)
	if r == nil {
		return
	}
	if m.Incarnation != r.sentTo || r.stream.progress {
		p.lost(r, reasonLost)
		return
	}
	r.unproved--
	if !p.mayRetry(r) {
		p.finish(r, code.NoBackend, 0)
		return
	}
	p.leave(r)
	p.countRetry(reasonNotStarted)
	p.dispatch(r)
}

// repeatable tells whether a second run can't harm or show: the caller marked
// the request idempotent, and what it already has of the answer comes out the
// same again. Tokens do (they are deterministic per request, and Start tells
// from which to begin), bytes of a service don't.
func (r *request) repeatable() bool {
	return r.arrived.Idempotent && (r.place != nil || !r.stream.head)
}

// lost decides on an attempt whose outcome can't be learned any more.
func (p *Part) lost(r *request, why reason) {
	result := code.OutcomeUnknown
	if r.stream.head {
		result = code.AnswerCut
	}
	if !r.repeatable() {
		p.finish(r, result, 0)
		return
	}
	p.again(r, why, result)
}

// again runs an idempotent request once more, or answers with the result.
func (p *Part) again(r *request, why reason, result code.Code) {
	if !p.mayRetry(r) {
		p.finish(r, result, 0)
		return
	}
	if !r.agent.up {
		r.tried = append(r.tried, r.agent.host)
	}
	p.leave(r)
	p.countRetry(why)
	p.dispatch(r)
}
