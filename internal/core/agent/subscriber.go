package agent

import (
	"slices"

	"nutmeglane.example/nutmeglane/internal/code"
	"nutmeglane.example/nutmeglane/internal/core"
)

// subscriber is one attempt that receives the answer of a job.
type subscriber struct {
	job     *job
	attempt core.AttemptID
	entry   core.HostID
	// attached is set while the connection on which the entry started or
	// resumed the attempt is open; peerPos is the index in the subscribers of
	// that peer.
	attached bool
	peerPos  int
	// next is the number of the frame to send next, allowed the credit, and
	// acked the number of the first frame that the entry has not acknowledged.
	// All count data frames.
	next, allowed, acked uint64
	headSent, endSent    bool
	// detachTimer ends the resume window.
	detachTimer timer
}

func (p *Part) addSubscriber(j *job, entry core.HostID, a core.AttemptID, window uint32) *subscriber {
	sub := &subscriber{job: j, attempt: a, allowed: uint64(window)}
	sub.detachTimer.fire = func() { p.unsubscribe(sub) }
	j.subscribers = append(j.subscribers, sub)
	p.attempts[a] = sub
	p.openSubscribers++
	p.attach(sub, entry)
	return sub
}

// attach binds a subscriber to the current connection of the entry.
func (p *Part) attach(sub *subscriber, entry core.HostID) {
	p.detachFromPeer(sub)
	sub.entry = entry
	peer := p.peers[entry]
	if peer == nil {
		p.timers.set(&sub.detachTimer, p.now.Add(p.cfg.Limits.ResumeWindow))
		return
	}
	p.timers.stop(&sub.detachTimer)
	sub.attached = true
	sub.peerPos = len(peer.subscribers)
	peer.subscribers = append(peer.subscribers, sub)
}

func (p *Part) detachFromPeer(sub *subscriber) {
	if !sub.attached {
		return
	}
	sub.attached = false
	peer := p.peers[sub.entry]
	last := len(peer.subscribers) - 1
	peer.subscribers[sub.peerPos] = peer.subscribers[last]
	peer.subscribers[sub.peerPos].peerPos = sub.peerPos
	peer.subscribers[last] = nil
	peer.subscribers = peer.subscribers[:last]
}

// connectionLost starts the resume window of all attempts of an entry. Frames
// sent on the old connection may be lost, so nothing more is sent for these
// attempts until the entry has resumed them.
func (p *Part) connectionLost(peer *peer) {
	for _, sub := range peer.subscribers {
		sub.attached = false
		if !sub.endSent {
			p.timers.set(&sub.detachTimer, p.now.Add(p.cfg.Limits.ResumeWindow))
		}
	}
	peer.subscribers = nil
	p.permitLost(peer.host)
}

// closeSubscriber removes a subscriber; the caller records its attempt in past.
func (p *Part) closeSubscriber(sub *subscriber) {
	p.detachFromPeer(sub)
	p.timers.stop(&sub.detachTimer)
	delete(p.attempts, sub.attempt)
	if !sub.endSent {
		p.openSubscribers--
	}
}

// unsubscribe ends an attempt that no caller waits for any more.
func (p *Part) unsubscribe(sub *subscriber) {
	j := sub.job
	if j.state == jobWaiting && j.preemptions > 0 {
		p.dequeue(j)
		j.state, j.answer.code = jobEnded, code.Cancelled
	}
	if j.state == jobWaiting && len(j.subscribers) == 1 {
		p.refuse(j, code.Cancelled, 0)
		return
	}
	if j.state == jobWaiting {
		// The job may still run for another attempt of the same key.
		p.past.add(p.now, pastAttempt{attempt: sub.attempt, refusal: code.Cancelled}, j.deadline)
	} else {
		p.past.add(p.now, pastAttempt{attempt: sub.attempt, ran: true}, j.deadline)
	}
	p.closeSubscriber(sub)
	j.subscribers = slices.DeleteFunc(j.subscribers, func(o *subscriber) bool { return o == sub })
	switch {
	case len(j.subscribers) > 0:
		p.trim(j)
	case j.state == jobRunning:
		p.cancelRun(j)
	case j.start.Key == "":
		p.dropJob(j)
	}
}

// cancel processes the message of an entry that no caller waits for an attempt,
// or that it wants the attempt refused unless it runs.
func (p *Part) cancel(m core.Cancel) {
	if m.IfWaiting {
		p.refuseIfWaiting(m.Attempt)
		return
	}
	if sub := p.attempts[m.Attempt]; sub != nil {
		p.unsubscribe(sub)
		return
	}
	if p.past.find(m.Attempt) == nil {
		p.past.add(p.now, pastAttempt{attempt: m.Attempt, refusal: code.Cancelled}, tombstoneDeadline(p.now))
	}
}

// refuseIfWaiting refuses an attempt that has not begun to run, unless another
// attempt waits for the same run.
func (p *Part) refuseIfWaiting(attempt core.AttemptID) {
	sub := p.attempts[attempt]
	if sub == nil || sub.job.state != jobWaiting || sub.job.preemptions > 0 || len(sub.job.subscribers) > 1 {
		return
	}
	p.refuse(sub.job, code.Draining, minRetryAfter)
}

// credit extends the credit of an attempt and frees the frames that the entry
// has received.
func (p *Part) credit(from core.HostID, m core.Credit) {
	sub := p.attempts[m.Attempt]
	if sub == nil || sub.entry != from || !sub.attached {
		return
	}
	sub.allowed = max(sub.allowed, m.Frames)
	sub.ack(m.Seq)
	p.pump(sub)
	p.trim(sub.job)
}

func (sub *subscriber) ack(seq uint64) {
	a := &sub.job.answer
	for sub.acked < sub.next && sub.acked >= a.first {
		sent := a.frame(sub.acked)
		if sent.seq+uint64(sent.count) > seq {
			return
		}
		sub.acked++
	}
}

// resume continues an attempt on a new connection.
func (p *Part) resume(from core.HostID, m core.Resume) {
	sub := p.attempts[m.Attempt]
	if sub == nil {
		p.resumeUnknown(from, m)
		return
	}
	p.attach(sub, from)
	if sub.endSent {
		sub.endSent = false
		p.openSubscribers++
	}
	number, kept := sub.job.answer.frameAt(m.Seq)
	if !kept {
		// The entry requests frames that it acknowledged before and that were
		// freed.
		p.sendEnd(from, m.Attempt, 0, code.AnswerCut)
		p.unsubscribe(sub)
		return
	}
	sub.next, sub.acked, sub.allowed = number, number, m.Frames
	sub.headSent = m.HaveHead
	if sub.job.state == jobWaiting {
		p.sendTo(sub, core.Accepted{Attempt: sub.attempt, StartsIn: p.startsIn(sub.job.target, sub.job.class, sub.job.start.ClientAccount)})
	}
	p.pump(sub)
	p.trim(sub.job)
}

func (p *Part) resumeUnknown(from core.HostID, m core.Resume) {
	if old := p.past.find(m.Attempt); old != nil {
		p.answerPast(from, old)
		return
	}
	if !p.past.complete(p.now) {
		p.sendEnd(from, m.Attempt, 0, code.OutcomeUnknown)
		return
	}
	p.past.add(p.now, pastAttempt{attempt: m.Attempt, refusal: code.Cancelled}, tombstoneDeadline(p.now))
	p.send(from, core.NotStarted{Attempt: m.Attempt, Incarnation: p.cfg.Incarnation})
}
