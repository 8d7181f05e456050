package router

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"nutmeglane.example/nutmeglane/internal/code"
	"nutmeglane.example/nutmeglane/internal/core"
	"nutmeglane.example/nutmeglane/internal/fleet"
)

// This file continues streams that may be sent to one engine only at another engine, when theirs
// is lost.
//
// Engines copy the KV memory of a running request to another engine on demand. The request can
// continue there after its last forwarded event as the same run, also on a route that allows one
// attempt and whose streams can't be resumed. The router names the engine of the copy when it
// sends the request. The engine that holds it says if it has none; then the request ends as it
// does without a copy.
//
// There is one continuation at most, and the connection to the first engine is closed before it
// is sent: an engine drops a request whose connection closes.

const (
	// copyLifeUsed is the fraction of a copy's life that is used. Engines count it from the
	// copy's last part, which they may have received some 100 ms before the break.
	copyLifeUsed = 0.5
	// lastBytesWithin is how long after the end of an engine is known a request waits for its
	// connection to end by itself: the last bytes may be in transit, and how the connection
	// ends shows whether the engine crashed under the request.
	lastBytesWithin = 200 * time.Millisecond
	// continuationDelay is how long after the loss of a run its continuation is sent. Engines may
	// crash together, and an engine that crashes as the continuation arrives may have begun it
	// without a look at its copy, so that the request has run twice. After the delay the end of
	// the other engine shows: it refuses the connection.
	continuationDelay = 150 * time.Millisecond
)

// runCopy is a copy of a running request's memory.
type runCopy struct {
	// backend is the engine that holds it, incarnation the engine's process that was named.
	backend     *backend
	incarnation fleet.Incarnation
	// release is the release of the run: that of the engine that copies, and of backend.
	release fleet.Release
}

// continuation is the continuation of a run at the engine that holds its copy.
type continuation struct {
	*runCopy
	// from is the engine that was lost, at lostAt or before.
	from   string
	lostAt core.Time
	// lastEvent is the id of the last forwarded event, "" if unknown or none.
	lastEvent string
	// pending is set until it is sent, at lostAt plus continuationDelay. paid is set once it was
	// taken from the budget of repeats: before it is sent, so that no more requests leave their
	// engines than can be continued.
	pending, paid bool
	// ended is set once the outcome was recorded.
	ended bool
}

// Outcomes of continuations, in metrics and logs.
const (
	continuedWhole     = "whole"
	continuationCut    = "broken off"
	continuationNone   = "refused"
	continuationFailed = "other answer"
	continuationUnsent = "not sent"
	continuationEnded  = "ended by the router"
	callerLeftIt       = "caller left"
	copyOff            = "switched off"
	copyTooOld         = "too late"
	copyEngineGone     = "engine of the copy ended"
	copyEngineExcluded = "engine of the copy excluded"
	copyEngineChanged  = "engine of the copy changed"
	runSuspected       = "servers ended under it"
	runNotInTime       = "no time left"
	runNoRepeat        = "no repeat left"
)

// copyLife returns for how long the engines of a service keep copies, 0 if copies are not used.
func (r *Router) copyLife(service string) time.Duration {
	engine := r.engine(service)
	if engine == nil || !engine.Backups || !r.crowding(service).RunCopies {
		return 0
	}
	return engine.CopyLife
}

// copyFor chooses the engine for the copy of a request that is about to be sent to an engine. It
// returns nil if no copy is made.
func (r *Router) copyFor(req *request, b *backend) *runCopy {
	if req.route.Kind != fleet.Stream || req.route.Repeatable() || req.continuation != nil {
		return nil
	}
	if req.prompt == nil || req.id == "" || !b.Release.Known || r.copyLife(req.service) == 0 {
		return nil
	}
	var best *backend
	least := 0
	for _, other := range r.holders(req.service, req.prompt.Model) {
		if other == b || other.Address == b.Address || !r.mayHoldCopy(req, other, b.Release) {
			continue
		}
		// Copies count as well: they take memory, and after a crash their requests go there.
		load := r.outstanding(other) + other.copies
		if best == nil || load < least || load == least && scoresHigher(req.id, other, best) {
			best, least = other, load
		}
	}
	if best == nil {
		return nil
	}
	return &runCopy{backend: best, incarnation: best.Incarnation, release: b.Release}
}

// mayHoldCopy reports whether an engine may be named for the copy of a run of a release.
func (r *Router) mayHoldCopy(req *request, b *backend, release fleet.Release) bool {
	return b.Release.Same(release) && req.mayTry(b) && r.usable(b) && !b.limited() && r.hasLoaded(b, req)
}

// count adds to the number of copies at the engine of a copy, if there is one.
func (c *runCopy) count(n int) {
	if c != nil {
		c.backend.copies += n
	}
}

// copyAddress is the address to which the memory is copied, "" without a copy.
func (c *runCopy) copyAddress() string {
	if c == nil {
		return ""
	}
	return c.backend.Address
}

// copySource names the copy from which a request continues, "" if it does not.
func (req *request) copySource() string {
	if req.continuation == nil {
		return ""
	}
	return req.continuation.backend.Address + "/" + req.id
}

// continueLost continues a request whose attempt was lost at an engine, by a failure of its
// connection. It reports whether the request proceeds or has ended.
func (r *Router) continueLost(req *request, b *backend, e AttemptFailed) bool {
	lost := e.Failure == NoAnswer || e.Failure == Broken && req.attempt.began
	return lost && r.continueRun(req, b, r.now, e.LastEvent)
}

// continueRun sends a request that was lost at an engine to the engine that holds its copy, if it
// has one that can be used. The attempt has ended, and its connection is closed.
func (r *Router) continueRun(req *request, from *backend, lostAt core.Time, lastEvent string) bool {
	if req.attempt.copy == nil {
		return false // also if it was a continuation, which has no copy
	}
	c := &continuation{runCopy: req.attempt.copy, from: from.Instance, lostAt: lostAt, lastEvent: lastEvent}
	if problem := r.continuationProblem(req, c); problem != "" {
		r.recordContinuation(req, c, problem)
		return false
	}
	req.continuation = c
	if !req.bound {
		// Nothing was forwarded. The copy fits to the release of the run only.
		req.bound, req.release = true, c.release
	}
	if req.forwarded {
		req.firstEventDeadline = min(req.deadline, r.now.Add(firstEventTimeout(req.route)))
	}
	c.pending, c.paid = true, r.takeRetry(req)
	r.sendContinuation(req)
	return true
}

// sendContinuation sends the continuation of a request once it is due.
func (r *Router) sendContinuation(req *request) {
	c := req.continuation
	if r.now.Sub(c.lostAt) < continuationDelay {
		return
	}
	c.pending = false
	choice := r.estimateCost(req, c.backend)
	r.send(req, &choice)
}

// continuationPending reports whether the continuation of a request is still to be sent.
func (req *request) continuationPending() bool {
	return req.continuation != nil && req.continuation.pending
}

// continuationProblem returns why a request can't be continued from its copy now, "" if it can.
func (r *Router) continuationProblem(req *request, c *continuation) string {
	b := c.backend
	life := time.Duration(copyLifeUsed * float64(r.copyLife(req.service)))
	switch {
	case life == 0:
		return copyOff
	case r.now.Sub(c.lostAt) >= life:
		return copyTooOld
	case c.incarnation != b.Incarnation || b.endedAt >= req.attempt.at:
		return copyEngineGone
	case !r.usable(b):
		return copyEngineExcluded
	case !c.release.Same(b.Release) || req.bound && !req.release.Same(c.release) || !r.hasLoaded(b, req):
		return copyEngineChanged
	case r.suspected(req):
		return runSuspected
	case r.now >= req.deadline || !r.endsInTime(req, 0):
		return runNotInTime
	case !c.paid && !r.hasRetry(req.service):
		return runNoRepeat
	default:
		return ""
	}
}

// suspected reports whether another server than the request's last one ended under the request, or
// under a part of its prompt on which the last one may have crashed.
//
// It guards against a request that crashes engines: its continuation would end the next one
// together with the requests of all callers there.
func (r *Router) suspected(req *request) bool {
	if r.ledger.Empty() {
		return false
	}
	if _, poison := r.poisonIn(req); poison || r.endedElsewhere(req.fingerprint, req.attempt.incarnation) {
		return true
	}
	return slices.ContainsFunc(r.suspectParts(req), func(p promptPart) bool {
		return r.endedElsewhere(p.fingerprint, req.attempt.incarnation)
	})
}

// endedElsewhere reports whether servers ended under a suspect other than the given incarnation.
func (r *Router) endedElsewhere(f core.Fingerprint, incarnation fleet.Incarnation) bool {
	other := func(end core.ServerEnd) bool {
		life := fleet.Incarnation{Instance: end.Life.Instance, Born: end.Life.Born}
		return life.Instance != incarnation.Instance || life.Compare(incarnation) != 0
	}
	return f != 0 && slices.ContainsFunc(r.ledger.Evidence(r.now, f), other)
}

// runEnded reports whether the engine at which a request is was found to have ended since the
// request was sent, and the connection had time to end by itself.
func (r *Router) runEnded(req *request) bool {
	a, b := req.attempt, req.backend
	if a.copy == nil || a.incarnation.Compare(b.Incarnation) >= 0 && b.endedAt < a.at {
		return false
	}
	if a.endedAt == 0 {
		a.endedAt = r.now
	}
	return r.now.Sub(a.endedAt) >= lastBytesWithin
}

// leaveEnded continues a request whose engine has ended although its connection has not, as when
// the engine's host is gone. If it can't be continued, it stays: the sign may be wrong.
func (r *Router) leaveEnded(req *request) {
	b, a := req.backend, req.attempt
	// The continuation waits from the close of the connection on: if the sign was wrong, the
	// engine drops the request only then.
	c := &continuation{runCopy: a.copy, from: b.Instance, lostAt: r.now}
	if r.continuationProblem(req, c) != "" || a.copy.backend.limited() {
		return
	}
	r.emit(Abandon{Key: req.key, Attempt: req.number})
	r.release(req, leftEnded)
	req.arrivals++
	req.mayHaveRun = true
	r.continueRun(req, b, r.now, "")
}

// answeredContinuation ends a request whose continuation was answered with another status than
// that of a stream. Nothing of that answer may reach the caller: the first attempt may have run,
// whatever the engine of the copy says.
func (r *Router) answeredContinuation(req *request, e Answered) {
	b, outcome := req.backend, continuationFailed
	end := endedServerError
	if e.Answer.NotRun {
		end = endedRefused
	}
	r.release(req, end)
	req.arrivals++
	switch {
	case e.Answer.NotRun || e.Answer.Status == statusUnavailable:
		outcome = continuationNone
	case e.Answer.Status >= 500:
		b.failureRate += (1 - b.failureRate) * smoothing
	}
	if e.Answer.Absent {
		r.forgetModel(b, req.prompt.Model)
	}
	r.endContinuation(req, outcome)
	r.giveUp(req, code.OutcomeUnknown, "the engine that should hold its copy answered with another status")
}

// The statuses of an engine that continues a run, and of one that has no copy of it.
const (
	statusOK          = 200
	statusUnavailable = 503
)

// loseContinuation ends a request whose continuation failed.
func (r *Router) loseContinuation(req *request, outcome string) {
	r.endContinuation(req, outcome)
	r.giveUp(req, code.OutcomeUnknown, "the attempt failed, and so did its continuation at another engine")
}

// continuationBroke ends a request whose continuation failed by its connection or its answer.
func (r *Router) continuationBroke(req *request, e AttemptFailed) {
	req.forwarded = req.forwarded && !e.NothingGiven
	if !e.Failure.sent() {
		r.loseContinuation(req, continuationUnsent)
		return
	}
	req.arrivals++
	r.loseContinuation(req, continuationCut)
}

// endContinuation records the outcome of a request's continuation, if it has one and its outcome
// is not recorded yet.
func (r *Router) endContinuation(req *request, outcome string) {
	if c := req.continuation; c != nil && !c.ended {
		c.ended = true
		r.recordContinuation(req, c, outcome)
	}
}

// recordContinuation counts and logs the outcome of a continuation, or why there is none.
func (r *Router) recordContinuation(req *request, c *continuation, outcome string) {
	r.emit(Count{core.Count{Name: metricContinuations, Labels: []string{req.service, outcome}, Add: 1}})
	r.log(SingleRequest, "continuation of a run", req.attrs("instance", c.from, "copy", c.backend.Instance,
		"last_event", c.lastEvent, "lost_ago", r.now.Sub(c.lostAt).String(), "outcome", outcome)...)
}

// maxDumpedCopies bounds the requests with a copy in a dump.
const maxDumpedCopies = 100

// RunCopyState is the dump of a request with a copy.
type RunCopyState struct {
	Request, Service, Model string
	// Instance is the engine that runs the request, "" while none does. Copy is the engine of
	// the copy.
	Instance, Copy string
	// Continues is set if the request continues from the copy.
	Continues bool
}

// dumpRunCopies returns the number of requests with a copy, and the first of them.
func (r *Router) dumpRunCopies() (count int, first []RunCopyState) {
	for _, key := range slices.SortedFunc(maps.Keys(r.requests), cmp.Compare[Key]) {
		req := r.requests[key]
		if req.attempt == nil || req.attempt.copy == nil && req.continuation == nil {
			continue
		}
		count++
		if count <= maxDumpedCopies {
			first = append(first, req.copyState())
		}
	}
	return count, first
}

func (req *request) copyState() RunCopyState {
	s := RunCopyState{Request: req.id, Service: req.service, Model: req.model(), Continues: req.continuation != nil}
	if req.backend != nil {
		s.Instance = req.backend.Instance
	}
	held := req.attempt.copy
	if s.Continues {
		held = req.continuation.runCopy
	}
	s.Copy = held.backend.Instance
	return s
}
