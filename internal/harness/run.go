package harness

import (
	"bytes"
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"nutmeglane.example/nutmeglane/internal/code"
	"nutmeglane.example/nutmeglane/internal/core"
)

// frameTokens is the most tokens that the fake engine sends at once.
const frameTokens = 8

// run is a request being executed by an engine or service.
type run struct {
	order core.Run
	post  func(core.RunProgress)
	// next is the index of the next token to send; total is the number of tokens.
	next, total uint64
}

// bodyOf encodes a request body: the number of tokens wanted and the seed of
// their values. The seed makes it possible to check that a token belongs to
// this request and to this position of the answer.
func bodyOf(tokens, seed uint64) []byte {
	return binary.BigEndian.AppendUint64(binary.BigEndian.AppendUint64(nil, tokens), seed)
}

func tokenCount(body []byte) uint64 { return binary.BigEndian.Uint64(body) }

// token returns the value of the token at an index of the answer to a body.
func token(body []byte, index uint64) byte {
	seed := binary.BigEndian.Uint64(body[8:])
	return byte((seed + index) * 0x9e3779b97f4a7c15 >> 56)
}

func (e *Engine) run(p *Process, o core.Run, post poster) {
	if o.Target.Service == "" && (!e.Loaded(o.Key) || e.role == core.EngineDraining) {
		post(time.Millisecond, core.RunProgress{Attempt: o.Attempt, Kind: core.FrameEnd, Code: code.EngineNotLoaded})
		return
	}
	e.world.Checker.runStarted(o.Attempt)
	r := &run{
		order: o, next: o.ResumeFrom, total: tokenCount(o.Body),
		post: func(m core.RunProgress) { m.Attempt = o.Attempt; post(0, m) },
	}
	e.running[o.Attempt] = r
	e.count(o.Key, 1)
	e.world.After(e.FirstToken, func() {
		if e.running[o.Attempt] == r {
			r.post(core.RunProgress{Kind: core.FrameHead, Status: 200})
			e.emit(r)
		}
	})
}

// emit sends the next tokens of a run and schedules the following batch.
func (e *Engine) emit(r *run) {
	if e.running[r.order.Attempt] != r {
		return
	}
	n := min(frameTokens, r.total-min(r.next, r.total))
	if n > 0 {
		r.post(r.frame(n))
		r.next += n
	}
	if r.next < r.total {
		e.world.After(time.Duration(n)*e.PerToken, func() { e.emit(r) })
		return
	}
	e.end(r.order.Attempt)
	r.post(core.RunProgress{Kind: core.FrameEnd})
}

func (r *run) frame(n uint64) core.RunProgress {
	m := core.RunProgress{Kind: core.FrameData, Count: 1}
	for i := range n {
		m.Payload = append(m.Payload, token(r.order.Body, r.next+i))
	}
	if r.order.Target.Service == "" {
		m.Count = uint32(n)
		for range n {
			m.Sizes = append(m.Sizes, 1)
		}
	}
	return m
}

// end removes a run and reports whether it was running.
func (e *Engine) end(attempt core.AttemptID) bool {
	r, ok := e.running[attempt]
	if ok {
		delete(e.running, attempt)
		e.count(r.order.Key, -1)
	}
	return ok
}

// cutRuns aborts the runs on a checkpoint that is being unloaded.
func (e *Engine) cutRuns(key string) {
	for _, attempt := range sortedAttempts(e.running) {
		if r := e.running[attempt]; r.order.Key == key {
			e.end(attempt)
			e.RunsCut++
			r.post(core.RunProgress{Kind: core.FrameEnd, Code: code.BackendFailed})
		}
	}
}

func sortedAttempts(runs map[core.AttemptID]*run) []core.AttemptID {
	attempts := make([]core.AttemptID, 0, len(runs))
	for a := range runs {
		attempts = append(attempts, a)
	}
	slices.SortFunc(attempts, func(a, b core.AttemptID) int {
		return cmp.Or(bytes.Compare(a.Request[:], b.Request[:]), cmp.Compare(a.Attempt, b.Attempt))
	})
	return attempts
}
