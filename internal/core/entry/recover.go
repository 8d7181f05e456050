package entry

import (
	"slices"

	"nutmeglane.example/nutmeglane/internal/code"
	"nutmeglane.example/nutmeglane/internal/core"
)

// peerUp sends Hello to the agent, sends the requests that waited for the connection and
// resumes those that were interrupted. A PeerUp without a PeerDown replaced a connection,
// which may have lost messages: it is handled like a loss.
func (p *Part) peerUp(ev core.PeerUp) {
	a := p.agents[ev.Peer]
	if a == nil {
		return
	}
	a.up, a.dialFailed = true, false
	if a.incarnation != ev.Incarnation {
		p.resetProcess(a, ev.Incarnation)
	}
	p.send(a, core.Hello{
		Host: p.config.Host, Incarnation: p.config.Incarnation, Zone: p.config.Zone,
		Steward: p.peers.Collecting(), ConfigRevision: p.configRevision(),
	})
	for _, attempt := range a.pendingCancels {
		p.send(a, core.Cancel{Attempt: attempt})
	}
	a.pendingCancels = nil
	for _, r := range slices.Clone(a.requests) {
		p.reconnected(r, ev.Incarnation)
	}
}

// resetProcess drops what the previous process at the host reported.
func (p *Part) resetProcess(a *agent, incarnation core.Incarnation) {
	a.incarnation, a.announcedLeaving, a.leaveAckPending, a.lastStatus = incarnation, false, false, nil
	a.pendingCancels, a.prefixes, a.backoffUntil = nil, nil, 0
	a.load = load{sent: a.load.sent}
	for _, rep := range a.replicas {
		rep.reset()
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
	case r.phase == phaseConnecting && r.stillUsable():
		p.start(r)
	case r.phase == phaseConnecting:
		p.nextCandidate(r, reasonUnreachable)
	case r.sentTo != incarnation:
		p.handleLost(r, reasonLost)
	default:
		r.phase, r.resumed = phaseSent, true
		if r.accepted {
			r.phase = phaseRunning
		}
		p.setTimer(r, r.deadline)
		p.resume(r)
	}
}

// stillUsable guards against new work for an agent that started to leave, or lost the
// slot, while the request waited for the connection.
func (r *request) stillUsable() bool {
	if r.replica != nil {
		return r.replica.usable()
	}
	return r.agent.usable()
}

func (p *Part) resume(r *request) {
	s := &r.stream
	s.credited, s.resumeRequested = s.taken, true
	p.send(r.agent, core.Resume{
		Attempt: r.attemptID(), Seq: s.next, HaveHead: s.head,
		Frames: s.allowed(p.limits.StreamWindow),
	})
	p.emit(countResume)
}

// peerDown reroutes the requests that were not sent, or that the agent never accepted,
// and starts the resume window of the others.
func (p *Part) peerDown(ev core.PeerDown) {
	a := p.agents[ev.Peer]
	if a == nil {
		return
	}
	a.dialFailed, a.up = !a.up, false
	for _, r := range slices.Clone(a.requests) {
		switch {
		case r.phase == phaseConnecting:
			p.nextCandidate(r, reasonUnreachable)
		case ev.Planned && r.provedNotStarted():
			p.refusedByAgent(r, code.Draining, minRetryAfter)
		case r.phase != phaseBroken:
			r.phase = phaseBroken
			p.setTimer(r, p.now.Add(p.limits.ResumeWindow))
		}
	}
	if a.delisted {
		p.hostGone(a)
	}
	p.refreshConnection(a)
}

// provedNotStarted reports whether a planned end of the connection proves that the
// attempt did not run and never will.
//
// An agent that stops accepts no further Start, then sends all its pending messages and
// closes the connection. Each Start that it accepted has been answered, by Accepted at
// least, on the connection that it came on. A Start of an earlier connection may have
// been answered there, in a message that was lost.
//
// It guards against a call with an unknown outcome because an agent was stopped as
// planned while the Start was in transit.
func (r *request) provedNotStarted() bool {
	return r.phase == phaseSent && !r.accepted && !r.resumed
}

// handleLostAgent handles every request of an agent that will not come back.
func (p *Part) handleLostAgent(a *agent) {
	for _, r := range slices.Clone(a.requests) {
		if r.phase == phaseConnecting {
			p.nextCandidate(r, reasonUnreachable)
		} else {
			p.handleLost(r, reasonLost)
		}
	}
}

// notStarted handles an agent's guarantee that it never started the attempt. It is a
// proof only from the process that the Start was sent to: its successor has no record of
// what it ran.
func (p *Part) notStarted(a *agent, m core.NotStarted) {
	r := p.current(a, m.Attempt)
	if r == nil {
		return
	}
	if m.Incarnation != r.sentTo || r.stream.progress {
		p.handleLost(r, reasonLost)
		return
	}
	r.unprovedStarts--
	if !p.mayRetry(r) {
		p.finish(r, code.NoBackend, 0)
		return
	}
	p.releaseAgent(r)
	p.countRetry(reasonNotStarted)
	p.dispatch(r)
}

// repeatable reports whether a second run is harmless and invisible: the caller marked
// the request idempotent, and the part of the answer already sent comes out the same
// again. Tokens do (they are deterministic per request, and Start gives the token from
// which to begin), bytes of a service don't.
func (r *request) repeatable() bool {
	return r.arrived.Idempotent && (r.replica != nil || !r.stream.head)
}

// handleLost handles an attempt whose outcome can't be learned any more.
func (p *Part) handleLost(r *request, why reason) {
	result := code.OutcomeUnknown
	if r.stream.head {
		result = code.AnswerCut
	}
	if !r.repeatable() {
		p.finish(r, result, 0)
		return
	}
	p.retryOrFinish(r, why, result)
}

// retryOrFinish runs an idempotent request once more, or finishes it with the result.
func (p *Part) retryOrFinish(r *request, why reason, result code.Code) {
	if !p.mayRetry(r) {
		p.finish(r, result, 0)
		return
	}
	if !r.agent.up {
		r.tried = append(r.tried, r.agent.host)
	}
	p.releaseAgent(r)
	p.countRetry(why)
	p.dispatch(r)
}
