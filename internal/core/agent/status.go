package agent

import (
	"slices"

	"nutmeglane.example/nutmeglane/internal/core"
)

// flushStatus sends a changed Status to all entries, at most once per
// statusInterval.
func (p *Part) flushStatus() {
	if !p.statusDirty || p.statusTimer.set() || len(p.peerOrder) == 0 {
		return
	}
	p.statusDirty = false
	p.timers.set(&p.statusTimer, p.now.Add(statusInterval))
	p.broadcast(p.buildStatus())
}

func (p *Part) buildStatus() core.Status {
	p.statusSequence++
	status := core.Status{
		Sequence: p.statusSequence, Leaving: p.leaving, FreeMiB: max(p.free(), 0),
		Prefixes: p.prefixes, Queued: p.backlog.count, Running: len(p.runs),
	}
	if p.snapshot == nil {
		return status
	}
	for _, s := range p.sortedSlots {
		if s.owned && !p.leaving {
			status.Slots = append(status.Slots, p.slotLoad(s))
		}
	}
	return status
}

func (p *Part) slotLoad(s *slot) core.SlotLoad {
	last := p.startsLast(s.base)
	load := core.SlotLoad{
		Slot: s.id, Generation: s.generation, State: loadState(s.base.item),
		Running: len(s.running), Queued: s.waitingUpTo(classBatch),
		ReadyIn: last, SkipIn: last - p.startsFirst(s.base),
	}
	for _, t := range s.targets[1:] {
		if t.loaded() {
			load.Adapters = append(load.Adapters, t.name)
		}
	}
	return load
}

func loadState(it *item) core.LoadState {
	switch {
	case it == nil:
		return core.Unloaded
	case it.closing:
		return core.Unloading
	case it.state == itemLoaded:
		return core.Loaded
	}
	return core.Loading
}

// engineLoad processes the periodic load report of the engine. Its prefixes are
// hints for the entries; its request counts are not used, because the counts of
// the agent are more recent.
func (p *Part) engineLoad(ev core.EngineLoad) {
	if ev.Cached != nil {
		p.updateCached(ev.Cached)
	}
	// The engine is polled twice a second; sending a Status to every entry
	// after each poll made up almost all traffic of an idle connection
	// (docs/CAPACITY.md).
	if !slices.Equal(p.prefixes, ev.Prefixes) {
		p.prefixes, p.statusDirty = ev.Prefixes, true
	}
}

// flushReport sends a report to the stewards if one is due.
func (p *Part) flushReport() {
	p.reportNewlyCleared()
	if !p.reportNow || !p.started {
		return
	}
	p.reportNow = false
	p.timers.set(&p.reportTimer, p.now.Add(p.cfg.Timings.ReportInterval))
	if !p.hasSteward() {
		return
	}
	report := p.buildReport()
	for _, host := range p.peerOrder {
		if p.peers[host].steward {
			p.emit(core.Send{To: host, Message: report})
		}
	}
}

func (p *Part) hasSteward() bool {
	for _, host := range p.peerOrder {
		if p.peers[host].steward {
			return true
		}
	}
	return false
}

func (p *Part) buildReport() core.Report {
	report := core.Report{
		Sequence: p.tenure.nextReport(p.now), Host: p.cfg.Host,
		Incarnation: p.cfg.Incarnation, Zone: p.cfg.Zone, Address: p.cfg.Address,
		Kind: p.cfg.Kind, Service: p.cfg.Service, MemoryMiB: p.totalMiB,
		ChecksFencing: p.checksFencing, Leaving: p.leaving,
		Inventoried: p.inventoried, Cached: p.cachedList, ConfigRevision: p.revision(),
		Backend: p.cfg.Backend,
	}
	for i := range p.pendingReleases {
		r := &p.pendingReleases[i]
		if r.firstReport == 0 {
			r.firstReport = report.Sequence
		}
		report.Released = append(report.Released, r.slot)
	}
	report.Cleared, report.Crowded = p.clearedSlots(), p.crowdedSlots()
	return report
}

func (p *Part) revision() int64 {
	if p.snapshot == nil {
		return 0
	}
	return p.snapshot.Revision
}
