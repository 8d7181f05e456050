package harness

import (
	"encoding/binary"
	"strings"
	"time"

	"nutmeglane.example/nutmeglane/internal/code"
	"nutmeglane.example/nutmeglane/internal/core"
)

// Outcome is what became of one request, as its caller saw it.
type Outcome struct {
	ID         core.RequestID
	Target     core.Target
	Idempotent bool
	// Arrived is when the request was sent and Deadline when its caller gives
	// up waiting.
	Arrived, Deadline core.Time
	// FirstToken and Ended are zero until they happen.
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

// Wait is the time until the first token, or until the end without one.
func (o *Outcome) Wait() time.Duration {
	if o.FirstToken != 0 {
		return o.FirstToken.Sub(o.Arrived)
	}
	return o.Ended.Sub(o.Arrived)
}

// due is when the answer has to be there. A request that reached its entry
// during a pause is seen, and its time counted, only after it.
func (o *Outcome) due() core.Time {
	if woke := o.entry.resumedAt; o.Arrived < woke {
		return woke.Add(o.Deadline.Sub(o.Arrived))
	}
	return o.Deadline
}

// Request lets a caller send a request to an entry. The body asks for a
// number of tokens; callers with the same idempotency key send the same body.
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

// Abandon lets a caller close its connection. What comes after is not judged
// but for the number of runs.
func (w *World) Abandon(o *Outcome) {
	if o.Ended != 0 {
		return
	}
	o.Ended, o.Code, o.abandoned = w.now, code.OutcomeUnknown, true
	if o.entry.Incarnation == o.entryIncarnation {
		o.entry.post(core.CallerGone{ID: o.ID})
	}
}

// respond plays the caller's side of an answer.
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

// compare checks a piece of an answer against the one that the request should
// get: another caller's, a repeated or a missing piece shows.
func (r *Checker) checkPayload(o *Outcome, payload []byte) {
	for _, b := range payload {
		if o.Tokens >= o.Want || b != token(o.body, o.Tokens) {
			r.ReportViolation("request %s got a wrong piece at %d of %d", o.ID, o.Tokens, o.Want)
			return
		}
		o.Tokens++
	}
}
