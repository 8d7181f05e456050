package agent

import (
	"maps"
	"time"

	"nutmeglane.example/nutmeglane/internal/code"
	"nutmeglane.example/nutmeglane/internal/core"
)

// leave begins a graceful shutdown, or shortens one. The order of the notices
// matters: readiness and Leaving go first, so that no entry sends new work for
// longer than a message takes, whatever the platform's host list says.
func (p *Part) leave(limit time.Duration) {
	until := p.now.Add(limit)
	if p.leaving && until >= p.leaveBy {
		return
	}
	reserve := min(limit/cutShare, maxCutReserve)
	p.leaveBy, p.cutAt = until, until.Add(-reserve)
	p.timers.set(&p.leaveTimer, until)
	if !p.leaving {
		p.leaving, p.reportNow, p.statusDirty = true, true, true
		p.note("leaving", "limit", limit.String())
		p.updateReady()
		p.broadcast(p.leavingNotice())
		p.partBy = p.now.Add(partWait)
		p.timers.set(&p.partTimer, p.partBy)
		p.drainEngine()
	}
	p.markAll()
}

func (p *Part) leavingNotice() core.Leaving {
	return core.Leaving{Host: p.cfg.Host, Remaining: max(p.leaveBy.Sub(p.now), 0)}
}

// partWait bounds the wait for the answers to Leaving of entries that sent no work on their
// connection. A Start of theirs that is on its way longer than that is proved not to have
// run by the end of the connection.
const partWait = 2 * time.Second

func (p *Part) uses(entry core.HostID) {
	if peer := p.peers[entry]; peer != nil {
		peer.used = true
	}
}

// parted takes an entry's answer to Leaving. A connection keeps its order, so
// nothing of that entry's is on its way any more.
func (p *Part) parted(from core.HostID) {
	if peer := p.peers[from]; peer != nil {
		peer.parted = true
		delete(p.lost, from)
	}
}

// noteLost remembers an entry whose connection was lost: it may ask what became of what
// it had sent, for as long as it waits for a new connection.
func (p *Part) noteLost(entry core.HostID) {
	p.forgetLost()
	p.lost[entry] = p.now.Add(p.cfg.Limits.ResumeWindow)
}

// awaitsEntries tells whether an entry may still have a Start on its way, may lack the end
// of one, or may come back to ask for it.
//
// Failure: an idle agent exits right after its notice, while a Start that was sent before
// the notice arrived is on the wire, or an end is lost with a connection that breaks; its
// caller is told "outcome unknown" by a planned stop. Guard: the exit waits for the answer
// of every connected entry, for at most partWait if it sent no work, and for entries that
// lost their connection until they are back and have answered, or have given up.
func (p *Part) awaitsEntries() bool {
	for _, peer := range p.peers {
		if !peer.parted && (peer.used || p.now < p.partBy) {
			return true
		}
	}
	return p.awaitsLost()
}

func (p *Part) awaitsLost() bool {
	p.forgetLost()
	if len(p.lost) == 0 {
		return false
	}
	last := p.now
	for _, until := range p.lost {
		last = max(last, until)
	}
	p.timers.set(&p.lostTimer, last)
	return true
}

// forgetLost drops the entries that have given up.
func (p *Part) forgetLost() {
	maps.DeleteFunc(p.lost, func(_ core.HostID, until core.Time) bool { return until <= p.now })
}

// hostList begins a graceful shutdown when the platform reclaims the host.
func (p *Part) hostList(ev core.HostList) {
	for _, host := range ev.Hosts {
		if host.ID == p.cfg.Host && host.State == core.HostLeaving && !p.leaving {
			p.leave(p.cfg.Limits.LeaveLimit)
		}
	}
}

// releaseNoteReports is how many report intervals a leaving agent waits for
// the steward's note of its releases, or for a steward to report them to.
const releaseNoteReports = 3

// exitIfDone ends the process once every answer is sent, the engine is empty
// and the stewards know of the releases, or have had the time to.
//
// Failure: a released slot fits on no other host, no steward is connected, or
// its answer is lost, and the agent waits out its whole limit with nothing
// left to do. Guard: the wait is bounded; if no report arrived, the slots move
// when the host goes from the platform's list.
func (p *Part) exitIfDone() {
	if !p.leaving || p.exited || len(p.runs) > 0 || p.openViewers > 0 {
		return
	}
	if p.awaitsEntries() || len(p.ordered) > 0 || p.awaitsNote() || p.holdsItems() {
		return
	}
	p.exit()
}

func (p *Part) awaitsNote() bool {
	if len(p.releases) == 0 {
		return false
	}
	if !p.noteTimer.set() && p.noteBy == 0 {
		p.noteBy = p.now.Add(releaseNoteReports * p.cfg.Timings.ReportInterval)
		p.timers.set(&p.noteTimer, p.noteBy)
	}
	return p.now < p.noteBy
}

func (p *Part) holdsItems() bool {
	for _, it := range p.items {
		if !it.superseded {
			return true
		}
	}
	return false
}

// leaveOver exits at the limit. Attempts that still run get a true end first.
func (p *Part) leaveOver() {
	if p.exited {
		return
	}
	for _, host := range p.peerOrder {
		for _, v := range p.peers[host].viewers {
			if !v.endSent {
				p.sendEnd(v.entry, v.attempt, v.job.answer.seq, code.AnswerCut)
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

// updateReady tells the shell when readiness changes.
func (p *Part) updateReady() {
	ready := p.snapshot != nil && !p.leaving && (p.service != nil || p.totalMiB > 0)
	if ready != p.ready {
		p.ready = ready
		p.emit(core.Ready{Ready: ready})
	}
}
