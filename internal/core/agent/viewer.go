package agent

import (
	"slices"

	"nutmeglane.example/nutmeglane/internal/code"
	"nutmeglane.example/nutmeglane/internal/core"
)

// viewer is one attempt that receives a job's answer.
type viewer struct {
	job     *job
	attempt core.AttemptID
	entry   core.HostID
	// attached is set while the entry's connection that knows of the attempt
	// stands; peerPos is the place in that peer's viewers.
	attached bool
	peerPos  int
	// next is the piece to send next, allowed the credit, and acked the first
	// piece that the entry has not acknowledged. All count pieces.
	next, allowed, acked uint64
	headSent, endSent    bool
	// detach ends the resume window.
	detach timer
}

func (p *Part) addViewer(j *job, entry core.HostID, a core.AttemptID, window uint32) *viewer {
	v := &viewer{job: j, attempt: a, allowed: uint64(window)}
	v.detach.fire = func() { p.viewerGone(v) }
	j.viewers = append(j.viewers, v)
	p.attempts[a] = v
	p.openViewers++
	p.attach(v, entry)
	return v
}

// attach binds a viewer to the entry's present connection.
func (p *Part) attach(v *viewer, entry core.HostID) {
	p.detachFromPeer(v)
	v.entry = entry
	peer := p.peers[entry]
	if peer == nil {
		p.timers.set(&v.detach, p.now.Add(p.cfg.Limits.ResumeWindow))
		return
	}
	p.timers.stop(&v.detach)
	v.attached = true
	v.peerPos = len(peer.viewers)
	peer.viewers = append(peer.viewers, v)
}

func (p *Part) detachFromPeer(v *viewer) {
	if !v.attached {
		return
	}
	v.attached = false
	peer := p.peers[v.entry]
	last := len(peer.viewers) - 1
	peer.viewers[v.peerPos] = peer.viewers[last]
	peer.viewers[v.peerPos].peerPos = v.peerPos
	peer.viewers[last] = nil
	peer.viewers = peer.viewers[:last]
}

// connectionLost gives all attempts of an entry the resume window. Frames sent
// on the old connection may be lost, so nothing more is sent for them before
// the entry has resumed.
func (p *Part) connectionLost(peer *peer) {
	for _, v := range peer.viewers {
		v.attached = false
		if !v.endSent {
			p.timers.set(&v.detach, p.now.Add(p.cfg.Limits.ResumeWindow))
		}
	}
	peer.viewers = nil
	p.permitLost(peer.host)
}

// closeViewer ends an attempt's part in a job; past remembers it from here.
func (p *Part) closeViewer(v *viewer) {
	p.detachFromPeer(v)
	p.timers.stop(&v.detach)
	delete(p.attempts, v.attempt)
	if !v.endSent {
		p.openViewers--
	}
}

// viewerGone ends an attempt that nobody waits for any more.
func (p *Part) viewerGone(v *viewer) {
	j := v.job
	if j.state == jobWaiting && j.yields > 0 {
		p.dequeue(j)
		j.state, j.answer.code = jobEnded, code.Cancelled
	}
	if j.state == jobWaiting && len(j.viewers) == 1 {
		p.refuse(j, code.Cancelled, 0)
		return
	}
	if j.state == jobWaiting {
		// The job may still run for another attempt of the same key.
		p.past.add(p.now, pastAttempt{attempt: v.attempt, refusal: code.Cancelled}, j.deadline)
	} else {
		p.past.add(p.now, pastAttempt{attempt: v.attempt, ran: true}, j.deadline)
	}
	p.closeViewer(v)
	j.viewers = slices.DeleteFunc(j.viewers, func(o *viewer) bool { return o == v })
	switch {
	case len(j.viewers) > 0:
		p.trim(j)
	case j.state == jobRunning:
		p.cancelRun(j)
	case j.start.Key == "":
		p.retire(j)
	}
}

// cancel handles an entry's word that nobody waits for an attempt.
func (p *Part) cancel(m core.Cancel) {
	if m.IfWaiting {
		p.refuseIfWaiting(m.Attempt)
		return
	}
	if v := p.attempts[m.Attempt]; v != nil {
		p.viewerGone(v)
		return
	}
	if p.past.find(m.Attempt) == nil {
		p.past.add(p.now, pastAttempt{attempt: m.Attempt, refusal: code.Cancelled}, buryFor(p.now))
	}
}

// refuseIfWaiting refuses an attempt that has not begun to run, unless another attempt
// waits for the same run.
func (p *Part) refuseIfWaiting(attempt core.AttemptID) {
	v := p.attempts[attempt]
	if v == nil || v.job.state != jobWaiting || v.job.yields > 0 || len(v.job.viewers) > 1 {
		return
	}
	p.refuse(v.job, code.Draining, minRetryAfter)
}

// credit lets an attempt's answer go on and frees what the entry has.
func (p *Part) credit(from core.HostID, m core.Credit) {
	v := p.attempts[m.Attempt]
	if v == nil || v.entry != from || !v.attached {
		return
	}
	v.allowed = max(v.allowed, m.Frames)
	v.ack(m.Seq)
	p.pump(v)
	p.trim(v.job)
}

func (v *viewer) ack(seq uint64) {
	a := &v.job.answer
	for v.acked < v.next && v.acked >= a.first {
		sent := a.piece(v.acked)
		if sent.seq+uint64(sent.count) > seq {
			return
		}
		v.acked++
	}
}

// resume continues an attempt on a fresh connection.
func (p *Part) resume(from core.HostID, m core.Resume) {
	v := p.attempts[m.Attempt]
	if v == nil {
		p.resumeUnknown(from, m)
		return
	}
	p.attach(v, from)
	if v.endSent {
		v.endSent = false
		p.openViewers++
	}
	number, kept := v.job.answer.pieceAt(m.Seq)
	if !kept {
		// The entry acknowledged these frames before and asks again.
		p.sendEnd(from, m.Attempt, 0, code.AnswerCut)
		p.viewerGone(v)
		return
	}
	v.next, v.acked, v.allowed = number, number, m.Frames
	v.headSent = m.HaveHead
	if v.job.state == jobWaiting {
		p.sendTo(v, core.Accepted{Attempt: v.attempt, StartsIn: p.startsIn(v.job.target, v.job.class, v.job.start.ClientAccount)})
	}
	p.pump(v)
	p.trim(v.job)
}

func (p *Part) resumeUnknown(from core.HostID, m core.Resume) {
	if old := p.past.find(m.Attempt); old != nil {
		p.answerPast(from, old)
		return
	}
	if !p.past.sure(p.now) {
		p.sendEnd(from, m.Attempt, 0, code.OutcomeUnknown)
		return
	}
	p.past.add(p.now, pastAttempt{attempt: m.Attempt, refusal: code.Cancelled}, buryFor(p.now))
	p.send(from, core.NotStarted{Attempt: m.Attempt, Incarnation: p.cfg.Incarnation})
}
