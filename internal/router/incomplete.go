package router

import (
	"log/slog"
	"time"

	"nutmeglane.example/nutmeglane/internal/code"
	"nutmeglane.example/nutmeglane/internal/core"
)

// This file records how the attempts of a request ended, and reports requests that a server may
// have run and whose caller did not get a whole answer.

// attemptEnd is how an attempt ended, for logs and metrics.
type attemptEnd string

const (
	endedWhole       attemptEnd = "whole"
	endedServerError attemptEnd = "server error"
	endedRefused     attemptEnd = "refused"
	endedUnsent      attemptEnd = "not sent"
	endedNoAnswer    attemptEnd = "no answer"
	endedBadAnswer   attemptEnd = "bad answer"
	endedBroken      attemptEnd = "broken off"
	leftSlower       attemptEnd = "left: the other server was first"
	leftLate         attemptEnd = "left: no event in time"
	leftSilent       attemptEnd = "left: silent"
	leftEnded        attemptEnd = "left: server ended"
	leftRestarted    attemptEnd = "left: server restarted"
	leftOtherRelease attemptEnd = "left: other release"
	leftByRouter     attemptEnd = "left: request ended by the router"
	leftByCaller     attemptEnd = "left: caller left"
	noAttempt        attemptEnd = "no attempt"
)

// maxLoggedAttempts is the number of attempts, the last ones, that a line names.
const maxLoggedAttempts = 8

// attemptEnd returns how an attempt with a failure ended.
func (f Failure) attemptEnd() attemptEnd {
	switch f {
	case NoAnswer:
		return endedNoAnswer
	case BadAnswer:
		return endedBadAnswer
	case Broken:
		return endedBroken
	default:
		return endedUnsent
	}
}

// pastAttempt is an attempt that has ended.
type pastAttempt struct {
	instance string
	took     time.Duration
	end      attemptEnd
}

func (p pastAttempt) String() string {
	return p.instance + " " + string(p.end) + " after " + p.took.String()
}

// lastEnd returns how the last attempt of a request ended.
func (req *request) lastEnd() attemptEnd {
	if len(req.past) == 0 {
		return noAttempt
	}
	return req.past[len(req.past)-1].end
}

// stage returns how far a request is, for logs.
func (req *request) stage() string {
	switch {
	case req.backend == nil && req.forwarded:
		return "between attempts, answer begun"
	case req.backend == nil && req.number > 0:
		return "between attempts"
	case req.backend == nil:
		return "waiting"
	case req.forwarded:
		return "answer begun"
	case req.attempt.began:
		return "head received"
	default:
		return "sent"
	}
}

// endAttrs are log attributes of a request that was sent and ends without a whole answer: the stage
// that it was at, its attempts, and the time since the process began to stop and until the deadline.
func (r *Router) endAttrs(req *request, stage string) []any {
	if req.number == 0 {
		return nil
	}
	var attempts []string
	for _, p := range req.past[max(0, len(req.past)-maxLoggedAttempts):] {
		attempts = append(attempts, p.String())
	}
	sinceStop := ""
	if r.stoppingSince != 0 {
		sinceStop = r.now.Sub(r.stoppingSince).String()
	}
	deadlineIn := ""
	if req.deadline != core.Never {
		deadlineIn = req.deadline.Sub(r.now).String()
	}
	return []any{"stage", stage, "tried", attempts, "since_stop", sinceStop, "deadline_in", deadlineIn}
}

// logUnserved logs the end of a request without a whole answer, with what its caller was given.
func (r *Router) logUnserved(req *request, message string, attrs []slog.Attr) {
	r.emit(Log{About: SingleRequest, Message: message, Attrs: attrs, Of: req.key})
}

// countIncomplete counts a request that a server may have run and whose caller gets no whole answer.
func (r *Router) countIncomplete(req *request, c code.Code) {
	r.emit(Count{core.Count{Name: metricIncomplete, Labels: []string{req.service, c.String(), string(req.lastEnd())}, Add: 1}})
}
