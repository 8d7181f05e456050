package steward

import (
	"slices"
	"time"

	"nutmeglane.example/nutmeglane/internal/core"
	"nutmeglane.example/nutmeglane/internal/core/peers"
)

const (
	// maxMissedReports is the number of missed reports after which an agent gets
	// no new slots, and its absence from the host list is acted on.
	maxMissedReports = 3
	// neverListedTimeout is how long a host that this process never saw in the
	// host list must stay absent before it counts as reclaimed: the list may
	// also lag behind a new host.
	neverListedTimeout = 2 * time.Minute
	// minRedialInterval is the minimum time between two redials of one host, which
	// determine which of two incarnations is the newest.
	minRedialInterval = 10 * time.Second
)

// hostState is the state that this process keeps of one host.
type hostState struct {
	id core.HostID

	// From the platform's host list.
	zone        core.Zone
	address     string
	listed      bool
	everListed  bool
	listLeaving bool
	absentSince core.Time

	// The connection. dialStep is a step no later than the dial that opened it.
	up          bool
	incarnation core.Incarnation
	dialStep    uint64
	// acquired is set when this part has acquired the connection.
	acquired     bool
	lastDownStep uint64
	redialAfter  core.Time

	// The newest report of the connected incarnation.
	report     core.Report
	reportedAt core.Time
	// reportingSince is when that incarnation's first report after a silence arrived.
	reportingSince core.Time
	// load is taken from the newest Status on the connection.
	load load

	// The roster entry that was last seen. entryStep is the step at which its
	// incarnation was first seen, unchangedSince the time at which its
	// incarnation, Sequence and Fenced last changed.
	entry          core.RosterEntry
	hasEntry       bool
	entryStep      uint64
	unchangedSince core.Time

	lastGrant sentGrant
}

// sentGrant records the last Grant sent to a host.
type sentGrant struct {
	incarnation core.Incarnation
	sequence    uint64
	slots       []core.Slot
}

func (p *Part) hostOf(id core.HostID) *hostState {
	h := p.hosts[id]
	if h == nil {
		h = &hostState{id: id}
		p.hosts[id] = h
	}
	return h
}

func (h *hostState) leaving() bool { return h.listLeaving || h.entry.Leaving || h.report.Leaving }

// reporting reports whether a report of the connected process is available.
func (h *hostState) reporting() bool {
	return h.up && h.report.Incarnation != 0 && h.report.Incarnation == h.incarnation
}

// silent reports whether the agent has missed several reports.
func (p *Part) silent(now core.Time, h *hostState) bool {
	limit := maxMissedReports * p.config.Timings.ReportInterval
	return h.report.Incarnation == 0 || now.Sub(h.reportedAt) > limit
}

func (p *Part) onHostList(now core.Time, ev core.HostList) {
	p.listSeen = true
	present := make(map[core.HostID]bool, len(ev.Hosts))
	for _, line := range ev.Hosts {
		present[line.ID] = true
		if line.Role == core.RoleBackend {
			p.onListed(now, line)
		}
	}
	for _, id := range core.SortedKeys(p.hosts) {
		if h := p.hosts[id]; !present[id] {
			p.onAbsent(now, h)
		}
	}
}

func (p *Part) onListed(now core.Time, line core.Host) {
	h := p.hostOf(line.ID)
	leaving := line.State == core.HostLeaving
	if !h.listed || h.listLeaving != leaving {
		p.planSoon(now)
	}
	h.zone, h.address, h.listed, h.everListed, h.listLeaving = line.Zone, line.Address, true, true, leaving
	p.rosterOf(line.Zone)
	if p.election.collecting {
		p.connect(now, h)
	}
}

func (p *Part) onAbsent(now core.Time, h *hostState) {
	if h.listed || h.absentSince == 0 {
		h.listed, h.absentSince = false, now
		p.planSoon(now)
		if h.hasEntry {
			p.rosterSoon(now, h.zone)
		}
	}
	if !h.hasEntry {
		p.disconnect(h)
		delete(p.hosts, h.id)
	}
}

func (p *Part) connect(now core.Time, h *hostState) {
	effects := p.peers.Acquire(peers.Steward, h.id, h.address)
	h.acquired = true
	p.emit(effects...)
	switch {
	case len(effects) > 0:
		h.lastDownStep, h.up = p.step, false
	case !h.up && p.peers.Up(h.id):
		// The entry part already holds the connection, so no PeerUp follows.
		// Without this, the agent would never be asked for reports, and would
		// lose its slots at the end of its tenure.
		h.up, h.incarnation, h.dialStep = true, p.peers.Incarnation(h.id), h.lastDownStep
		p.hello(h.id, p.election.collecting)
	}
}

// disconnect releases a connection that this part acquired.
func (p *Part) disconnect(h *hostState) {
	if !h.acquired {
		return
	}
	h.acquired = false
	effects := p.peers.Release(peers.Steward, h.id)
	if len(effects) > 0 { // otherwise the entry part keeps the connection
		h.up, h.lastDownStep = false, p.step
	}
	p.emit(effects...)
}

func (p *Part) onPeerUp(now core.Time, ev core.PeerUp) {
	h := p.hostOf(ev.Peer)
	h.up, h.incarnation, h.dialStep = true, ev.Incarnation, h.lastDownStep
	h.load = load{}
	if p.election.collecting {
		p.hello(h.id, true)
	}
	if h.hasEntry && h.zone != "" && h.entry.Incarnation != ev.Incarnation {
		p.rosterSoon(now, h.zone)
	}
}

func (p *Part) onPeerDown(now core.Time, id core.HostID) {
	h := p.hostOf(id)
	if h.up {
		p.planSoon(now) // it may be the next owner of a slot
	}
	h.up, h.lastDownStep = false, p.step
}

// provedNewest reports whether the connected process is proved to be newer than
// the one in the roster: its connection was dialled after the roster's entry was
// seen, and a host runs one process of the system, which binds the host's
// address. Without that proof it requests a new connection.
//
// A steward that was paused may hold a report of an incarnation that died in the
// meantime, while another steward recorded the live one. Accepting that report
// would assign the slots of the live incarnation to the dead one.
func (p *Part) provedNewest(now core.Time, h *hostState) bool {
	if h.dialStep >= h.entryStep {
		return true
	}
	if now >= h.redialAfter {
		h.redialAfter = now.Add(minRedialInterval)
		p.count(counterRedials)
		effects := p.peers.Redial(h.id)
		if len(effects) > 0 { // otherwise an earlier dial is still open
			h.up, h.lastDownStep = false, p.step
		}
		p.emit(effects...)
	}
	return false
}

func (p *Part) hello(to core.HostID, steward bool) {
	var revision int64
	if p.snapshot != nil {
		revision = p.snapshot.Revision
	}
	p.emit(core.Send{To: to, Message: core.Hello{
		Host: p.config.Host, Incarnation: p.config.Incarnation, Zone: p.config.Zone,
		Steward: steward, ConfigRevision: revision,
	}})
}

func (p *Part) startCollecting(now core.Time) {
	if p.election.collecting {
		return
	}
	p.election.collecting = true
	p.peers.SetCollecting(true)
	for _, id := range core.SortedKeys(p.hosts) {
		h := p.hosts[id]
		if h.listed {
			p.connect(now, h)
		}
		if h.up {
			p.hello(id, true)
		}
	}
}

// stopCollecting ends the agents' reports to this process, since another
// process is the steward, and drops the reports held.
func (p *Part) stopCollecting() {
	if !p.election.collecting {
		return
	}
	p.election.collecting = false
	p.peers.SetCollecting(false)
	for _, id := range core.SortedKeys(p.hosts) {
		h := p.hosts[id]
		h.report, h.lastGrant = core.Report{}, sentGrant{}
		if h.up {
			p.hello(id, false)
		}
	}
}

func (p *Part) onReport(now core.Time, report core.Report) {
	h := p.hosts[report.Host]
	if h == nil || !p.election.collecting || !h.up || report.Incarnation != h.incarnation {
		return
	}
	old := h.report
	if old.Incarnation == report.Incarnation && report.Sequence <= old.Sequence {
		return
	}
	if !h.listed || report.Zone != h.zone {
		p.count(counterStray)
		return
	}
	silent := p.silent(now, h)
	if silent || old.Incarnation != report.Incarnation {
		h.reportingSince = now
	}
	h.report, h.reportedAt = report, now
	if h.entry.Fenced {
		// A fenced entry is not written again, so no change of the roster triggers
		// an answer to the report. Without a Grant here, an agent alone in its zone
		// would never be informed that it is fenced, and would stay without slots.
		p.grant(now, h)
	}
	if urgent(h, report) {
		p.rosterSoon(now, h.zone)
	}
	if silent || len(report.Released) > 0 || report.Inventoried != old.Inventoried || report.Leaving != old.Leaving || clearedChanged(old, report) || !slices.Equal(old.Crowded, report.Crowded) {
		p.planSoon(now)
	}
}

// urgent reports whether a report should not wait for the next regular write of the roster.
func urgent(h *hostState, r core.Report) bool {
	e := h.entry
	return !h.hasEntry || e.Incarnation != r.Incarnation || e.Leaving != r.Leaving || e.Address != r.Address
}
