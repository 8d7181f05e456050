package agent

import (
	"nutmeglane.example/nutmeglane/internal/code"
	"nutmeglane.example/nutmeglane/internal/core"
)

// progress processes one event of the answer of the backend server.
func (p *Part) progress(ev core.RunProgress) {
	j := p.runs[ev.Attempt]
	if j == nil {
		return
	}
	switch ev.Kind {
	case core.FrameHead:
		j.answer.head, j.answer.status, j.answer.header = true, ev.Status, ev.Header
		if j.target.slot.service {
			p.noteBackoff(j.target.slot, ev)
		}
	case core.FrameData:
		j.answer.add(ev)
	case core.FrameEnd:
		p.runEnded(j, ev)
		return
	}
	if !j.preemptible() {
		j.start.Body = nil // started and not preemptible: it won't be queued again
	}
	p.pumpAll(j)
	p.trim(j)
}

// runEnded processes the end of a run at the backend server.
func (p *Part) runEnded(j *job, ev core.RunProgress) {
	p.stopRunning(j)
	started := j.answer.head || j.answer.total() > 0
	if ev.Code == code.EngineNotLoaded && !started && !j.cancelled {
		p.notLoaded(j)
		return
	}
	if j.preempting && ev.Code == code.Cancelled && !j.cancelled {
		p.requeuePreempted(j)
		return
	}
	if ev.Code == code.OK && j.preemptions == 0 {
		j.target.slot.runTime[j.class].add(p.now.Sub(j.startedAt))
	}
	j.state = jobEnded
	j.answer.code = endCode(j, ev.Code)
	j.start.Body = nil
	p.countCode(requestsTotal, j.answer.code)
	p.pumpAll(j)
	p.keepResult(j)
}

// endCode returns the code of the end frame. A request that was passed to the
// backend server may have run, so a code that means "not run" is replaced by
// OutcomeUnknown.
func endCode(j *job, result code.Code) code.Code {
	switch {
	case result == code.OK:
		return code.OK
	case j.cut:
		return code.AnswerCut
	case result == code.EngineNotLoaded, result.NotRun():
		return code.OutcomeUnknown
	}
	return result
}

// notLoaded queues a request again that the engine did not run because the
// model is not loaded. This happens when the engine was restarted and the agent
// still records the model as loaded; every request for it would fail. The item
// becomes unknown, so that no request runs on it before an inventory.
func (p *Part) notLoaded(j *job) {
	t := j.target
	if it := t.item; it != nil && it.state == itemLoaded && it.orderedAt <= j.startedAt {
		it.state = itemUnknown
		it.lastInventory = p.inventory.sequence // a pending inventory may predate this failure
		p.reparkUnloaded(t.slot)
		p.scheduleInventory(p.now)
	}
	if base := t.slot.base.item; t.adapter && base != nil && base.state == itemLoaded {
		p.scheduleInventory(p.now)
	}
	j.state = jobWaiting
	j.requeues++
	p.enqueue(j)
	if j.requeues > maxRequeues {
		p.refuse(j, code.LoadFailed, minRetryAfter)
		return
	}
	if reason := p.drainReason(t.slot); reason != code.OK {
		p.refuse(j, reason, minRetryAfter)
	}
}

// pumpAll sends each subscriber the frames that it may receive.
func (p *Part) pumpAll(j *job) {
	for _, sub := range j.subscribers {
		p.pump(sub)
	}
}

// pump sends an attempt the frames that it may receive: the head, then data
// frames up to the credit, and the end frame after the last data frame.
func (p *Part) pump(sub *subscriber) {
	a := &sub.job.answer
	if !sub.attached || sub.endSent {
		return
	}
	if a.head && !sub.headSent {
		sub.headSent = true
		p.sendTo(sub, core.Frame{
			Attempt: sub.attempt, Kind: core.FrameHead, Status: a.status, Header: a.header,
		})
	}
	for sub.next < a.total() && sub.next < sub.allowed {
		next := a.frame(sub.next)
		sub.next++
		p.sendTo(sub, core.Frame{
			Attempt: sub.attempt, Kind: core.FrameData, Seq: next.seq, Count: next.count,
			Payload: next.payload, Sizes: next.sizes,
		})
	}
	if sub.job.state == jobEnded && sub.next == a.total() {
		sub.endSent = true
		p.openSubscribers--
		p.sendEnd(sub.entry, sub.attempt, a.seq, a.code)
	}
}

// trim frees the frames that every subscriber has acknowledged, and pauses or
// resumes reading from the backend server according to the frames that the
// slowest subscriber has not acknowledged.
func (p *Part) trim(j *job) {
	a := &j.answer
	slowest := a.total()
	for _, sub := range j.subscribers {
		slowest = min(slowest, sub.acked)
	}
	if a.keepAll && a.bytes > p.cfg.Limits.ResultBytes/resultDivisor {
		a.keepAll = false // too large to be retained for attempts that join
	}
	if !a.keepAll && slowest > a.first {
		a.free(slowest)
	}
	p.throttle(j, slowest)
}

func (p *Part) throttle(j *job, slowest uint64) {
	if j.state != jobRunning {
		return
	}
	limits, a := &p.cfg.Limits, &j.answer
	frames := int(a.total() - slowest)
	bytes := a.bytes - a.bytesBefore(slowest)
	full := frames >= limits.BufferFrames || bytes >= limits.BufferBytes
	drained := frames <= limits.BufferFrames/2 && bytes <= limits.BufferBytes/2
	if !a.paused && full || a.paused && drained {
		a.paused = !a.paused
		p.emit(core.PauseRun{Attempt: j.attempt(), Paused: a.paused})
	}
}

func (p *Part) sendEnd(to core.HostID, a core.AttemptID, seq uint64, result code.Code) {
	p.send(to, core.Frame{Attempt: a, Kind: core.FrameEnd, Seq: seq, Code: result})
}
