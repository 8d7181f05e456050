package entry

import (
	"encoding/binary"

	"nutmeglane.example/nutmeglane/internal/code"
	"nutmeglane.example/nutmeglane/internal/core"
)

// stream is the state of an answer on the caller's side.
type stream struct {
	head bool
	// next is the index of the next token or chunk to deliver.
	next uint64
	// delivered and taken count the data frames handed to the caller's connection and
	// those written out by it, over all attempts.
	delivered uint64
	taken     uint64
	// deliveredBefore is the value of delivered when the current attempt began.
	deliveredBefore uint64
	// credited is the value of taken at the last Credit.
	credited uint64
	// progress is set once a frame of the current attempt has arrived, which proves that
	// it runs.
	progress bool
	headAt   core.Time
	// resumeRequested is set from a Resume until the next frame that fits.
	resumeRequested bool
}

func (s *stream) beginAttempt() {
	s.deliveredBefore, s.credited = s.delivered, s.taken
	s.resumeRequested, s.progress = false, false
}

// allowed returns the total number of data frames that the current attempt may send: a
// window beyond what the caller has taken. A caller that reads slowly blocks only its own
// agent's sending and holds no memory here beyond the window.
func (s *stream) allowed(window uint32) uint64 {
	return s.taken + uint64(window) - min(s.deliveredBefore, s.taken+uint64(window)-1)
}

// maxAheadFactor times the window is how far an agent may be ahead before its stream is
// cut: frames that overlap after a resume may exceed the window.
const maxAheadFactor = 2

func (p *Part) frame(a *agent, m core.Frame) {
	r := p.current(a, m.Attempt)
	if r == nil {
		p.emit(dropStaleAttempt)
		return
	}
	p.accept(r, 0)
	r.stream.progress = r.stream.progress || m.Kind != core.FrameEnd
	switch m.Kind {
	case core.FrameHead:
		p.frameHead(r, &m)
	case core.FrameData:
		p.frameData(r, &m)
	case core.FrameEnd:
		p.frameEnd(r, &m)
	}
}

func (p *Part) frameHead(r *request, m *core.Frame) {
	if r.stream.head {
		p.emit(dropDuplicate)
		return
	}
	p.queue.headSent(r)
	r.stream.head, r.stream.headAt = true, p.now
	p.recordHead(r)
	p.emit(core.RespondHead{ID: r.arrived.ID, Status: m.Status, Header: m.Header})
	p.emit(core.Observe{Name: histogramHead, Value: p.now.Sub(r.arrivedAt).Seconds()})
}

// recordHead takes a response head as proof, ahead of the owner's next Status, that the
// model is loaded, and records the duration of a cold start.
func (p *Part) recordHead(r *request) {
	if r.replica == nil {
		return
	}
	r.replica.state = core.Loaded
	if r.cold {
		r.replica.model.coldStart.add(p.now.Sub(r.arrivedAt))
	}
}

func (p *Part) frameData(r *request, m *core.Frame) {
	s := &r.stream
	switch end := m.Seq + uint64(m.Count); {
	case !s.head || m.Seq > s.next:
		p.handleGap(r)
		return
	case end <= s.next:
		p.emit(dropDuplicate)
		return
	}
	payload, sizes, ok := trim(m, s.next-m.Seq)
	if !ok {
		p.emit(dropMalformed)
		return
	}
	count := uint32(m.Seq + uint64(m.Count) - s.next)
	s.next += uint64(count)
	s.delivered++
	s.resumeRequested = false
	p.emit(core.RespondData{ID: r.arrived.ID, Count: count, Payload: payload, Sizes: sizes})
	if s.delivered-s.taken > maxAheadFactor*uint64(p.limits.StreamWindow) {
		p.cancelAttempt(r)
		p.finish(r, code.AnswerCut, 0)
	}
}

// trim cuts the first skip tokens off a frame that was partly delivered before. A chunk
// of a service can't be split.
func trim(m *core.Frame, skip uint64) (payload, sizes []byte, ok bool) {
	payload, sizes = m.Payload, m.Sizes
	for range skip {
		size, n := binary.Uvarint(sizes)
		if n <= 0 || size > uint64(len(payload)) {
			return nil, nil, false
		}
		sizes, payload = sizes[n:], payload[size:]
	}
	return payload, sizes, true
}

// handleGap handles a frame that arrives while an earlier one is missing, as when frames
// were lost with a replaced connection. Delivering it would leave a hole in the answer,
// so it is dropped and the missing frames are requested, once until one arrives.
func (p *Part) handleGap(r *request) {
	p.emit(dropGap)
	if r.stream.resumeRequested || !r.agent.up {
		return
	}
	p.resume(r)
}

func (p *Part) frameEnd(r *request, m *core.Frame) {
	s := &r.stream
	switch {
	case m.Code.NotRun() && !s.progress:
		p.refusedByAgent(r, m.Code, m.RetryAfter)
	case m.Code == code.BackendFailed && r.repeatable():
		p.retryOrFinish(r, reasonFailed, m.Code)
	case m.Code != code.OK:
		p.finish(r, m.Code, m.RetryAfter)
	case !s.head || m.Seq > s.next:
		p.handleGap(r)
	case m.Seq < s.next:
		p.finish(r, code.AnswerCut, 0)
	default:
		p.recordRunTime(r)
		p.finish(r, code.OK, 0)
	}
}

// recordRunTime records the time from head to end.
func (p *Part) recordRunTime(r *request) {
	if r.replica != nil {
		r.replica.model.runTime.add(p.now.Sub(r.stream.headAt))
	}
}

// callerTook sends credit to the agent, half a window at a time.
func (p *Part) callerTook(ev core.CallerTook) {
	r := p.requests[ev.ID]
	if r == nil {
		return
	}
	s := &r.stream
	s.taken = min(s.taken+uint64(ev.Frames), s.delivered)
	step := max(1, uint64(p.limits.StreamWindow)/2)
	if s.taken-s.credited < step || r.phase != phaseRunning || !r.agent.up {
		return
	}
	s.credited = s.taken
	p.send(r.agent, core.Credit{
		Attempt: r.attemptID(), Frames: s.allowed(p.limits.StreamWindow), Seq: s.next,
	})
}
