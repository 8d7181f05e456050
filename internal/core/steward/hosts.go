package steward

import (
	"slices"
	"time"

	"nutmeglane.example/nutmeglane/internal/core"
	"nutmeglane.example/nutmeglane/internal/core/peers"
)

const (
	// silentReports is the number of missed reports after which an agent gets
	// no new slots, and its absence from the host list is believed.
	silentReports = 3
	// neverListedWait is how long a host that this process never saw in the
	// host list must stay absent before it counts as reclaimed: the list may
	// lag behind a new host too.
	neverListedWait = 2 * time.Minute
	// redialGap is the least time between two redials of one host to learn
	// which of two incarnations is the newest.
	redialGap = 10 * time.Second
)

// hostState is all that is known of one host.
type hostState struct {
	id core.HostID

	// From the platform's host list.
	zone        core.Zone
	address     string
	listed      bool
	everListed  bool
	listLeaving bool
	absentSince core.Time

	// The connection. dialledAt is a step no later than the dial it came from.
	up          bool
	incarnation core.Incarnation
	dialledAt   uint64
	// needed is set when this part asked for the connection.
	needed      bool
	lastDownAt  uint64
	redialAfter core.Time

	// The newest report of the connected incarnation.
	report     core.Report
	reportedAt core.Time
	// joinedAt is when that incarnation's first report came after a silence.
	joinedAt core.Time
	// load is from the newest Status on the connection.
	load load

	// The roster entry in view. entryAt is the step at which its incarnation
	// was first seen, unchangedSince when incarnation and Sequence were.
	entry          core.RosterEntry
	hasEntry       bool
	entryAt        uint64
	unchangedSince core.Time

	granted granted
}

// granted is the last Grant sent.
type granted struct {
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

// reporting tells whether the connected process' report is at hand.
func (h *hostState) reporting() bool {
	return h.up && h.report.Incarnation != 0 && h.report.Incarnation == h.incarnation
}

// silent tells whether the agent has missed several reports.
func (p *Part) silent(now core.Time, h *hostState) bool {
	limit := silentReports * p.config.Timings.ReportInterval
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
	if p.office.collecting {
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
	h.needed = true
	p.emit(effects...)
	switch {
	case len(effects) > 0:
		h.lastDownAt, h.up = p.step, false
	case !h.up && p.peers.Up(h.id):
		// Guard: the entry part holds the connection already, so no PeerUp
		// follows; without this, the agent would never be asked for reports
		// and lose its slots with its tenure.
		h.up, h.incarnation, h.dialledAt = true, p.peers.Incarnation(h.id), h.lastDownAt
		p.hello(h.id, p.office.collecting)
	}
}

// disconnect ends a connection that this part asked for.
func (p *Part) disconnect(h *hostState) {
	if !h.needed {
		return
	}
	h.needed = false
	effects := p.peers.Release(peers.Steward, h.id)
	if len(effects) > 0 { // else the entry part keeps the connection
		h.up, h.lastDownAt = false, p.step
	}
	p.emit(effects...)
}

func (p *Part) onPeerUp(now core.Time, ev core.PeerUp) {
	h := p.hostOf(ev.Peer)
	h.up, h.incarnation, h.dialledAt = true, ev.Incarnation, h.lastDownAt
	h.load = load{}
	if p.office.collecting {
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
	h.up, h.lastDownAt = false, p.step
}

// newest tells whether the connected process is proved to be newer than the
// one that the roster names: its connection was dialled after the roster's
// entry was seen, and a host runs one process of the system, which binds the
// host's address. Without that proof it asks for a new connection.
//
// Guard: a steward that was paused may hold a report of an incarnation that
// died meanwhile, while another steward recorded the live one. Taking the
// report for news would hand the live one's slots to the dead.
func (p *Part) newest(now core.Time, h *hostState) bool {
	if h.dialledAt >= h.entryAt {
		return true
	}
	if now >= h.redialAfter {
		h.redialAfter = now.Add(redialGap)
		p.count(counterRedials)
		effects := p.peers.Redial(h.id)
		if len(effects) > 0 { // else a dial begun before is under way
			h.up, h.lastDownAt = false, p.step
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
	if p.office.collecting {
		return
	}
	p.office.collecting = true
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

// stopCollecting tells the agents that another steward wants their reports,
// and forgets the reports held.
func (p *Part) stopCollecting() {
	if !p.office.collecting {
		return
	}
	p.office.collecting = false
	p.peers.SetCollecting(false)
	for _, id := range core.SortedKeys(p.hosts) {
		h := p.hosts[id]
		h.report, h.granted = core.Report{}, granted{}
		if h.up {
			p.hello(id, false)
		}
	}
}

func (p *Part) onReport(now core.Time, report core.Report) {
	h := p.hosts[report.Host]
	if h == nil || !p.office.collecting || !h.up || report.Incarnation != h.incarnation {
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
		h.joinedAt = now
	}
	h.report, h.reportedAt = report, now
	if h.entry.Fenced {
		// Guard: a fenced entry is not written again, so no view of the
		// roster answers the report. An agent alone in its zone would never
		// hear that it is fenced, and stay without slots for good.
		p.grant(now, h)
	}
	if urgent(h, report) {
		p.rosterSoon(now, h.zone)
	}
	if silent || len(report.Released) > 0 || report.Inventoried != old.Inventoried || report.Leaving != old.Leaving || clearedChanged(old, report) || !slices.Equal(old.Crowded, report.Crowded) {
		p.planSoon(now)
	}
}

// urgent tells whether the roster should not wait for its next regular write.
func urgent(h *hostState, r core.Report) bool {
	e := h.entry
	return !h.hasEntry || e.Incarnation != r.Incarnation || e.Leaving != r.Leaving || e.Address != r.Address
}
