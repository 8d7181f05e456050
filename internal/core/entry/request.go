package entry

import (
	"container/heap"
	"slices"
	"time"

	"nutmeglane.example/nutmeglane/internal/code"
	"nutmeglane.example/nutmeglane/internal/core"
)

// phase is the state of a request. docs/REQUESTS.md shows the transitions.
type phase uint8

const (
	// phaseConnecting: an agent is chosen, nothing was sent to it.
	phaseConnecting phase = iota
	// phaseSent: Start was sent; the agent has not accepted it yet.
	phaseSent
	// phaseRunning: the agent accepted the request, and frames may arrive.
	phaseRunning
	// phaseBroken: Start was sent, and the connection is lost.
	phaseBroken
)

// request is a caller's request in flight.
type request struct {
	arrived   core.RequestArrived
	arrivedAt core.Time
	deadline  core.Time

	timer      core.Time
	timerIndex int

	phase      phase
	agent      *agent
	agentIndex int
	replica    *replica // nil for services
	cold       bool     // nothing was loaded there when the replica was chosen
	// attempt is the number of the last Start; sentTo is the process that
	// it was sent to.
	attempt  uint32
	sentTo   core.Incarnation
	accepted bool
	// resumed is set once the attempt was resumed on a further connection.
	resumed bool
	// startsAt is the start of the run that the agent predicted; recalled is set once the
	// entry asked the agent to refuse the request if it has not started.
	startsAt core.Time
	recalled bool
	// unprovedStarts counts the Starts without a proof that they did not run.
	unprovedStarts int
	tried          []core.HostID
	// refusal is the last rejection, reported to the caller when no agent is left.
	refusal    code.Code
	retryAfter time.Duration

	stream stream
}

func (r *request) attemptID() core.AttemptID {
	return core.AttemptID{Request: r.arrived.ID, Attempt: r.attempt}
}

func (r *request) isTried(host core.HostID) bool { return slices.Contains(r.tried, host) }

// load returns the load estimate in which the request is counted.
func (r *request) load() *load {
	if r.replica != nil {
		return &r.replica.load
	}
	return &r.agent.load
}

// current returns the request if the attempt is its current one and at this agent, else
// nil. It discards late messages of an attempt that was given up, which would otherwise
// mix into the answer of its successor; attempt numbers never repeat.
func (p *Part) current(a *agent, id core.AttemptID) *request {
	r := p.requests[id.Request]
	if r == nil || r.agent != a || r.attempt != id.Attempt || r.phase == phaseConnecting {
		return nil
	}
	return r
}

// releaseAgent detaches the request from its agent and resets the state of the attempt.
func (p *Part) releaseAgent(r *request) {
	a := r.agent
	if a == nil {
		return
	}
	r.load().release(r.accepted)
	r.detach()
	p.acknowledgeLeaving(a)
	r.phase, r.accepted, r.resumed, r.sentTo = phaseConnecting, false, false, 0
	r.startsAt, r.recalled = 0, false
}

// cancelAttempt cancels the attempt at the agent, at once or on the next connection.
func (p *Part) cancelAttempt(r *request) {
	switch {
	case r.agent == nil || r.phase == phaseConnecting:
	case r.agent.up:
		p.send(r.agent, core.Cancel{Attempt: r.attemptID()})
	default:
		r.agent.queueCancel(r.attemptID())
	}
}

// minRetryAfter is the shortest Retry-After given to a refused caller.
const minRetryAfter = time.Second

// finish sends the final answer and removes the request, in the step in which the outcome
// is decided.
func (p *Part) finish(r *request, result code.Code, retryAfter time.Duration) {
	result = r.provenCode(result)
	p.remove(r)
	p.extendStopDelay(r)
	p.end(r.arrived.ID, result, retryAfter)
}

// provenCode replaces a "not run" code by one that is proved. It guards against telling a
// caller to repeat a call that ran, which would for example charge twice. All final
// answers go through finish, which checks the one counter of unproved Starts here, so no
// path can omit the check.
func (r *request) provenCode(result code.Code) code.Code {
	switch {
	case !result.NotRun() || r.unprovedStarts == 0 && !r.stream.head:
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
	p.releaseAgent(r)
	heap.Remove(&p.timers, r.timerIndex)
	p.queue.release(r)
	delete(p.requests, r.arrived.ID)
}

// end emits the final answer. Every 2xxx refusal has a Retry-After.
func (p *Part) end(id core.RequestID, result code.Code, retryAfter time.Duration) {
	if result >= code.DeadlineUnmet && result.NotRun() {
		retryAfter = max(retryAfter, minRetryAfter)
	}
	p.emit(core.RespondEnd{ID: id, Code: result, RetryAfter: retryAfter})
	p.emit(p.ends.of(result))
}

// deadlinePassed ends a request whose deadline has passed; provenCode distinguishes a
// request that may have run from one that did not.
func (p *Part) deadlinePassed(r *request) {
	retryAfter := r.retryAfter
	if r.replica != nil {
		retryAfter = max(retryAfter, r.replica.load.readyAt.Sub(p.now))
	}
	p.cancelAttempt(r)
	p.finish(r, code.DeadlinePassed, retryAfter)
}

func (p *Part) callerGone(id core.RequestID) {
	r := p.requests[id]
	if r == nil {
		return
	}
	p.cancelAttempt(r)
	p.remove(r)
	p.emit(p.ends.of(code.Cancelled))
}
