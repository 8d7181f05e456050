package entry

import (
	"container/heap"
	"slices"
	"time"

	"nutmeglane.example/nutmeglane/internal/code"
	"nutmeglane.example/nutmeglane/internal/core"
)

// phase is where a request is on its way. docs/REQUESTS.md shows the life of
// a request.
type phase uint8

const (
	// phaseConnecting: an agent is chosen, nothing was sent to it.
	phaseConnecting phase = iota
	// phaseSent: Start was sent; the agent has not said that it has it.
	phaseSent
	// phaseRunning: the agent accepted, and frames may come.
	phaseRunning
	// phaseBroken: Start was sent, and the connection is lost.
	phaseBroken
)

// request is a caller's request in flight.
type request struct {
	arrived  core.RequestArrived
	began    core.Time
	deadline core.Time

	timer      core.Time
	timerIndex int

	phase      phase
	agent      *agent
	agentIndex int
	place      *place // nil for services
	cold       bool   // the place had nothing loaded when it was chosen
	// attempt is the number of the last Start; sentTo is the process that
	// it was sent to.
	attempt  uint32
	sentTo   core.Incarnation
	accepted bool
	// resumed is set once the attempt was taken up again on a further connection.
	resumed bool
	// startsAt is when the agent predicted that it starts, and recalled is set once it was
	// called back.
	startsAt core.Time
	recalled bool
	// unproved counts the Starts without a proof that they did not run.
	unproved int
	tried    []core.HostID
	// refusal is the last rejection, the answer when no agent is left.
	refusal    code.Code
	retryAfter time.Duration

	stream stream
}

func (r *request) attemptID() core.AttemptID {
	return core.AttemptID{Request: r.arrived.ID, Attempt: r.attempt}
}

func (r *request) isTried(host core.HostID) bool { return slices.Contains(r.tried, host) }

// load returns the counters that the request adds to.
func (r *request) load() *load {
	if r.place != nil {
		return &r.place.load
	}
	return &r.agent.load
}

// current returns the request whose current attempt at this agent is meant.
// Late messages of an attempt that was given up, which would mix into the
// answer of its successor, find nothing here: attempt numbers never repeat.
func (p *Part) current(a *agent, id core.AttemptID) *request {
	r := p.requests[id.Request]
	if r == nil || r.agent != a || r.attempt != id.Attempt || r.phase == phaseConnecting {
		return nil
	}
	return r
}

// leave takes the request off its agent.
func (p *Part) leave(r *request) {
	a := r.agent
	if a == nil {
		return
	}
	r.load().release(r.accepted)
	r.detach()
	p.partIfDone(a)
	r.phase, r.accepted, r.resumed, r.sentTo = phaseConnecting, false, false, 0
	r.startsAt, r.recalled = 0, false
}

// abandon tells the agent that nobody waits for the attempt any more, now or
// on the next connection.
func (p *Part) abandon(r *request) {
	switch {
	case r.agent == nil || r.phase == phaseConnecting:
	case r.agent.up:
		p.send(r.agent, core.Cancel{Attempt: r.attemptID()})
	default:
		r.agent.orphan(r.attemptID())
	}
}

// minRetryAfter is the least time that a refused caller is told to stay away.
const minRetryAfter = time.Second

// finish answers the caller for the last time and forgets the request. It is
// called in the step in which the request is given up on.
func (p *Part) finish(r *request, result code.Code, retryAfter time.Duration) {
	result = r.truth(result)
	p.remove(r)
	p.answered(r)
	p.end(r.arrived.ID, result, retryAfter)
}

// truth turns a "not run" code into what is proved. It guards against telling
// a caller to repeat a call that ran: that would show as a second charge. The
// one place through which all answers go checks the one counter of unproved
// Starts, so no path can forget it.
func (r *request) truth(result code.Code) code.Code {
	switch {
	case !result.NotRun() || r.unproved == 0 && !r.stream.head:
		return result
	case result == code.DeadlinePassed:
		return code.TimedOut
	case r.stream.head:
		return code.AnswerCut
	default:
		return code.OutcomeUnknown
	}
}

func (p *Part) remove(r *request) {
	p.leave(r)
	heap.Remove(&p.timers, r.timerIndex)
	p.waiting.drop(r)
	delete(p.requests, r.arrived.ID)
}

// end emits the final answer. Every 2xxx refusal tells when to come back.
func (p *Part) end(id core.RequestID, result code.Code, retryAfter time.Duration) {
	if result >= code.DeadlineUnmet && result.NotRun() {
		retryAfter = max(retryAfter, minRetryAfter)
	}
	p.emit(core.RespondEnd{ID: id, Code: result, RetryAfter: retryAfter})
	p.emit(p.ends.of(result))
}

// deadlinePassed answers a request whose caller's time is over; truth tells a
// request that may have run from one that did not.
func (p *Part) deadlinePassed(r *request) {
	retryAfter := r.retryAfter
	if r.place != nil {
		retryAfter = max(retryAfter, r.place.load.readyAt.Sub(p.now))
	}
	p.abandon(r)
	p.finish(r, code.DeadlinePassed, retryAfter)
}

func (p *Part) callerGone(id core.RequestID) {
	r := p.requests[id]
	if r == nil {
		return
	}
	p.abandon(r)
	p.remove(r)
	p.emit(p.ends.of(code.Cancelled))
}
