package harness

import (
	"encoding/binary"
	"strings"
	"time"

	"nutmeglane.example/nutmeglane/internal/code"
	"nutmeglane.example/nutmeglane/internal/core"
)

// Outcome is the result of one request as observed by its caller.
type Outcome struct {
	ID         core.RequestID
	Target     core.Target
	Idempotent bool
	// Arrived is the time at which the request was sent; Deadline is the time
	// at which the caller stops waiting.
	Arrived, Deadline core.Time
	// FirstToken and Ended are the times of the first token and of the end of
	// the answer; zero before that.
	FirstToken, Ended core.Time
	Tokens, Want      uint64
	Code              code.Code
	RetryAfter        time.Duration
	// Cold is set when no replica of the model was loaded at arrival.
	Cold bool

	body             []byte
	entry            *Process
	entryIncarnation core.Incarnation
	abandoned        bool
}

// Wait returns the time from arrival to the first token, or to the end if there
// was no token.
func (o *Outcome) Wait() time.Duration {
	if o.FirstToken != 0 {
		return o.FirstToken.Sub(o.Arrived)
	}
	return o.Ended.Sub(o.Arrived)
}

// due returns the time by which the request must be answered. An entry that was
// paused when the request arrived starts the timeout when it resumes.
func (o *Outcome) due() core.Time {
	if woke := o.entry.resumedAt; o.Arrived < woke {
		return woke.Add(o.Deadline.Sub(o.Arrived))
	}
	return o.Deadline
}

// Request sends a caller's request for a number of tokens to an entry. Requests
// with the same idempotency key and number of tokens have the same body.
func (w *World) Request(entry core.HostID, request core.RequestArrived, tokens uint64) *Outcome {
	binary.BigEndian.PutUint64(request.ID[:8], w.rand.Uint64())
	binary.BigEndian.PutUint64(request.ID[8:], w.rand.Uint64())
	seed := w.rand.Uint64()
	if request.Key != "" {
		seed = core.Score(request.Key, "")
	}
	request.Body = bodyOf(tokens, seed)
	p := w.processes[entry]
	o := &Outcome{
		ID: request.ID, Target: request.Target, Idempotent: request.Idempotent,
		Arrived: w.now, Deadline: w.now.Add(request.Timeout), Want: tokens,
		Cold: !w.anyLoaded(request.Target), body: request.Body,
		entry: p, entryIncarnation: p.Incarnation,
	}
	w.Checker.Outcomes = append(w.Checker.Outcomes, o)
	if !p.alive {
		o.Ended, o.Code = w.now, code.PeerLost
		return o
	}
	p.outcomes[request.ID] = o
	p.post(request)
	return o
}

func (w *World) anyLoaded(t core.Target) bool {
	name := t.Model
	if t.Adapter != "" {
		name = t.Adapter
	}
	for _, host := range w.order {
		if e := w.processes[host].Engine; e != nil {
			for key, it := range e.items {
				if it.loaded && strings.HasPrefix(key, name+"@") {
					return true
				}
			}
		}
	}
	return false
}

// Abandon closes the caller's connection of a request. Later events of the
// request are not checked, except for the number of runs.
func (w *World) Abandon(o *Outcome) {
	if o.Ended != 0 {
		return
	}
	o.Ended, o.Code, o.abandoned = w.now, code.OutcomeUnknown, true
	if o.entry.Incarnation == o.entryIncarnation {
		o.entry.post(core.CallerGone{ID: o.ID})
	}
}

// respond handles an answer on the caller's side and records it in the outcome.
func (p *Process) respond(effect core.Effect) {
	r := p.world.Checker
	switch e := effect.(type) {
	case core.RespondData:
		o := p.outcomes[e.ID]
		if o != nil && o.abandoned {
			return
		}
		if o == nil || o.Ended != 0 {
			r.ReportViolation("data for request %s after its end", e.ID)
			return
		}
		if o.FirstToken == 0 {
			o.FirstToken = p.world.now
		}
		r.checkPayload(o, e.Payload)
		p.post(core.CallerTook{ID: e.ID, Frames: 1})
	case core.RespondEnd:
		o := p.outcomes[e.ID]
		if o != nil && o.abandoned {
			return
		}
		if o == nil || o.Ended != 0 {
			r.ReportViolation("request %s ended twice", e.ID)
			return
		}
		o.Ended, o.Code, o.RetryAfter = p.world.now, e.Code, e.RetryAfter
		r.checkOutcome(o)
	}
}

// checkPayload compares a part of an answer with the expected tokens. It detects
// parts of another request's answer as well as repeated and missing parts.
func (r *Checker) checkPayload(o *Outcome, payload []byte) {
	for _, b := range payload {
		if o.Tokens >= o.Want || b != token(o.body, o.Tokens) {
			r.ReportViolation("request %s got a wrong piece at %d of %d", o.ID, o.Tokens, o.Want)
			return
		}
		o.Tokens++
	}
}
