package agent

import (
	"maps"
	"time"

	"nutmeglane.example/nutmeglane/internal/code"
	"nutmeglane.example/nutmeglane/internal/core"
)

// leave begins a graceful shutdown or shortens its limit. The readiness change
// and the Leaving notices are sent before anything else, so that no entry sends
// new work for longer than the delivery of a message takes, whatever the host
// list of the platform shows.
func (p *Part) leave(limit time.Duration) {
	until := p.now.Add(limit)
	if p.leaving && until >= p.leaveBy {
		return
	}
	reserve := min(limit/cutDivisor, maxCutReserve)
	p.leaveBy, p.cutAt = until, until.Add(-reserve)
	p.timers.set(&p.leaveTimer, until)
	if !p.leaving {
		p.leaving, p.reportNow, p.statusDirty = true, true, true
		p.note("leaving", "limit", limit.String())
		p.updateReady()
		p.broadcast(p.leavingNotice())
		p.leaveAckBy = p.now.Add(leaveAckWait)
		p.timers.set(&p.leaveAckTimer, p.leaveAckBy)
		p.drainEngine()
	}
	p.markAllDirty()
}

func (p *Part) leavingNotice() core.Leaving {
	return core.Leaving{Host: p.cfg.Host, Remaining: max(p.leaveBy.Sub(p.now), 0)}
}

// leaveAckWait limits the wait for the answer to Leaving of an entry that sent
// no work on its connection. If a Start of such an entry is in flight for
// longer, the end of the connection proves that it did not run.
const leaveAckWait = 2 * time.Second

func (p *Part) markUsed(entry core.HostID) {
	if peer := p.peers[entry]; peer != nil {
		peer.used = true
	}
}

// leavingAcked processes the answer of an entry to Leaving. Messages on a
// connection stay in order, so no message of the entry is in flight any more.
func (p *Part) leavingAcked(from core.HostID) {
	if peer := p.peers[from]; peer != nil {
		peer.leaveAcked = true
		delete(p.lostEntries, from)
	}
}

// recordLostEntry records an entry whose connection was lost. While it tries to
// reconnect, for at most ResumeWindow, it may ask for the outcome of the work
// that it had sent.
func (p *Part) recordLostEntry(entry core.HostID) {
	p.forgetLost()
	p.lostEntries[entry] = p.now.Add(p.cfg.Limits.ResumeWindow)
}

// awaitsEntries reports whether an entry may still have a Start in flight, may
// lack the end of an attempt, or may reconnect to ask for it.
//
// Without this wait, an idle agent could exit right after its notice while a
// Start that was sent before the notice arrived is in flight, or an end frame
// could be lost with a connection that breaks; a planned stop would give the
// caller "outcome unknown". The exit waits for the answer of every connected
// entry, for at most leaveAckWait if the entry sent no work, and for entries
// that lost their connection until they have reconnected and answered or have
// given up.
func (p *Part) awaitsEntries() bool {
	for _, peer := range p.peers {
		if !peer.leaveAcked && (peer.used || p.now < p.leaveAckBy) {
			return true
		}
	}
	return p.awaitsLost()
}

func (p *Part) awaitsLost() bool {
	p.forgetLost()
	if len(p.lostEntries) == 0 {
		return false
	}
	last := p.now
	for _, until := range p.lostEntries {
		last = max(last, until)
	}
	p.timers.set(&p.lostTimer, last)
	return true
}

// forgetLost removes the entries whose reconnection period has expired.
func (p *Part) forgetLost() {
	maps.DeleteFunc(p.lostEntries, func(_ core.HostID, until core.Time) bool { return until <= p.now })
}

// hostList begins a graceful shutdown when the platform lists this host as
// leaving.
func (p *Part) hostList(ev core.HostList) {
	for _, host := range ev.Hosts {
		if host.ID == p.cfg.Host && host.State == core.HostLeaving && !p.leaving {
			p.leave(p.cfg.Limits.LeaveLimit)
		}
	}
}

// releaseAckReports is how many report intervals a leaving agent waits until
// the steward has acknowledged its releases, or until a steward is connected.
const releaseAckReports = 3

// exitIfDone ends the process once every answer is sent, the engine is empty
// and the steward has acknowledged the releases or the wait for that has ended.
// The wait is limited, so that the agent does not use its whole leave limit
// with no work left when a released slot fits on no other host, no steward is
// connected or its answer is lost. If no report arrived, the slots move when
// the platform removes the host from its list.
func (p *Part) exitIfDone() {
	if !p.leaving || p.exited || len(p.runs) > 0 || p.openSubscribers > 0 {
		return
	}
	if p.awaitsEntries() || len(p.sortedSlots) > 0 || p.awaitsReleaseAck() || p.holdsItems() {
		return
	}
	p.exit()
}

func (p *Part) awaitsReleaseAck() bool {
	if len(p.pendingReleases) == 0 {
		return false
	}
	if !p.releaseAckTimer.set() && p.releaseAckBy == 0 {
		p.releaseAckBy = p.now.Add(releaseAckReports * p.cfg.Timings.ReportInterval)
		p.timers.set(&p.releaseAckTimer, p.releaseAckBy)
	}
	return p.now < p.releaseAckBy
}

func (p *Part) holdsItems() bool {
	for _, it := range p.items {
		if !it.superseded {
			return true
		}
	}
	return false
}

// leaveExpired exits at the limit. Attempts that still run get an end frame
// with AnswerCut first.
func (p *Part) leaveExpired() {
	if p.exited {
		return
	}
	for _, host := range p.peerOrder {
		for _, sub := range p.peers[host].subscribers {
			if !sub.endSent {
				p.sendEnd(sub.entry, sub.attempt, sub.job.answer.seq, code.AnswerCut)
			}
		}
	}
	p.exit()
}

func (p *Part) exit() {
	p.exited = true
	p.flushReport()
	p.emit(core.Exit{})
}

// updateReady emits core.Ready when readiness changes.
func (p *Part) updateReady() {
	ready := p.snapshot != nil && !p.leaving && (p.service != nil || p.totalMiB > 0)
	if ready != p.ready {
		p.ready = ready
		p.emit(core.Ready{Ready: ready})
	}
}
