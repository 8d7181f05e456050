package agent

import (
	"time"

	"nutmeglane.example/nutmeglane/internal/core"
)

// tenure is the period for which the agent may load and keep loaded what it
// owns.
//
// It prevents a process that was paused or disconnected from acting on slots
// that the steward has given to another host meanwhile, which would leave one
// replica too many loaded. The tenure is counted by the clock of this process
// from the time at which the answered report was sent. The steward waits for
// the tenure plus a margin from the time at which it wrote the renewal, which
// is later. Each order checks the tenure when it is decided, and carries a
// NotAfter that the process checks again right before sending.
type tenure struct {
	until core.Time
	// granted is set by the first Grant of this incarnation.
	granted bool
	// newest is the sequence number of the report that the Grant in force
	// answers, and steward is the sender of that Grant.
	newest  uint64
	steward core.HostID
	// revision is the revision of the slot tables from which the Grant in force
	// was built.
	revision int64
	// sequence is the number of the last report; sent holds the sending times
	// of the recent reports.
	sequence uint64
	sent     map[uint64]core.Time
	// endingTimer fires when unloading has to start.
	endingTimer timer
}

// holds reports whether load orders may be sent at now.
func (t *tenure) holds(now core.Time) bool { return t.granted && now <= t.until }

// nextReport returns the sequence number of a report that is sent now.
func (t *tenure) nextReport(now core.Time) uint64 {
	t.sequence++
	t.sent[t.sequence] = now
	delete(t.sent, t.sequence-maxSentReports)
	return t.sequence
}

// unloadAt returns the time at which unloading starts. The jitter, fixed for a
// host, spreads the unloads of hosts whose tenures end together after a long KV
// outage.
func (p *Part) unloadAt() core.Time {
	lead := p.cfg.Timings.UnloadLead
	jitter := time.Duration(p.cfg.Seed % uint64(lead/jitterDivisor+1))
	return p.tenure.until.Add(-lead - jitter)
}

// tenureEnding reports whether everything has to be unloaded because there is
// no tenure, or it has ended or is about to end.
func (p *Part) tenureEnding() bool { return !p.tenure.granted || p.now >= p.unloadAt() }

// tenureCut returns the time at which running requests are cut so that the
// unload is complete before the tenure ends.
func (p *Part) tenureCut() core.Time {
	return p.tenure.until.Add(-p.cfg.Timings.UnloadLead / 2)
}

// tenureFits reports whether a load with the predicted duration d can take
// twice as long and still complete before the unloads for the end of the tenure
// start. Otherwise a load ordered just before the end could still be in
// progress when the tenure ends, and complete after the slot was assigned to
// another host.
func (p *Part) tenureFits(d time.Duration) bool { return p.now.Add(2*d) < p.unloadAt() }

// grant processes the answer of the steward to a report.
func (p *Part) grant(from core.HostID, g core.Grant) {
	sentAt, known := p.tenure.sent[g.Sequence]
	switch {
	case g.Incarnation != p.cfg.Incarnation, !known:
		// It answers a report of another process, or one whose sending time is
		// not recorded any more.
		p.count(grantsTotal, "foreign")
		return
	case g.Sequence < p.tenure.newest,
		g.Sequence == p.tenure.newest && from != p.tenure.steward:
		// A steward that was paused sends an old Grant. Applying it would
		// restore a slot that has moved away, or drop one that was assigned
		// since. Two Grants for the same report are ordered only if they arrive
		// on the same connection.
		p.count(grantsTotal, "stale")
		return
	}
	if g.Tenure == 0 {
		p.fenced()
		return
	}
	p.count(grantsTotal, "taken")
	t := &p.tenure
	t.until, t.granted = sentAt.Add(g.Tenure), true
	t.newest, t.steward = g.Sequence, from
	for sequence := range t.sent {
		if sequence < g.Sequence {
			delete(t.sent, sequence)
		}
	}
	p.timers.set(&t.endingTimer, p.unloadAt())
	if g.Revision == 0 || g.Revision >= t.revision {
		t.revision = g.Revision
		p.applySlots(g)
	}
	p.foreignDirty = true
	p.markAllDirty()
}

// fenced shuts down a process whose incarnation the steward has fenced, because
// the host was disconnected for longer than its tenure. The incarnation can
// never own slots again, and the accelerators would stay unused as long as the
// process runs; the process that the platform starts next is a new incarnation.
func (p *Part) fenced() {
	p.count(grantsTotal, "fenced")
	p.tenure.until = min(p.tenure.until, p.now)
	p.note("fenced, a new process has to take over")
	p.leave(p.cfg.Limits.LeaveLimit)
}

// applySlots updates the slots from the Grant in force.
func (p *Part) applySlots(g core.Grant) {
	shown := map[core.SlotID]uint64{}
	for _, granted := range g.Slots {
		if granted.Owner != p.cfg.Host || granted.Incarnation != p.cfg.Incarnation {
			continue
		}
		shown[granted.ID] = granted.Generation
		p.applySlot(granted)
	}
	for _, s := range p.sortedSlots {
		if generation, ok := shown[s.id]; !ok || generation < s.generation {
			s.owned = false
		}
	}
	p.dropAckedReleases(g.Sequence, shown)
	p.statusDirty = true
}

func (p *Part) applySlot(granted core.Slot) {
	// The table may still list a slot that this agent released, because the
	// steward has not processed the Report yet. Loading it again would violate
	// the guarantee given by Released. The highest released generation is kept
	// for the lifetime of the process, so such a slot is only reported as
	// released once more.
	if granted.Generation <= p.releasedGenerations[granted.ID] {
		p.reportReleased(granted.ID, granted.Generation)
		return
	}
	s := p.slots[granted.ID]
	if s == nil {
		s = p.addSlot(granted.ID)
	}
	if granted.Generation < s.generation {
		return
	}
	p.updateLayout(s, granted)
	s.generation = granted.Generation
	s.owned = granted.State == core.SlotOwned && granted.Generation > s.lostGeneration
}

// releasedSlot is a release that has to be reported to the steward.
type releasedSlot struct {
	slot core.Slot
	// firstReport is the sequence number of the first report that lists the
	// release; 0 before it was sent.
	firstReport uint64
}

// release removes a slot that has nothing loaded and reports its release.
func (p *Part) release(s *slot) {
	p.releasedGenerations[s.id] = max(p.releasedGenerations[s.id], s.generation)
	p.removeSlot(s)
	p.reportReleased(s.id, s.generation)
	p.note("slot released", "model", s.id.Model, "generation", formatUint(s.generation))
}

func (p *Part) reportReleased(id core.SlotID, generation uint64) {
	for i := range p.pendingReleases {
		if p.pendingReleases[i].slot.ID == id {
			if r := &p.pendingReleases[i]; generation > r.slot.Generation {
				r.slot.Generation, r.firstReport, p.reportNow = generation, 0, true
			}
			return
		}
	}
	p.pendingReleases = append(p.pendingReleases, releasedSlot{slot: core.Slot{
		ID: id, Generation: generation,
		Owner: p.cfg.Host, Incarnation: p.cfg.Incarnation,
	}})
	p.reportNow = true
}

// dropAckedReleases removes the releases that the Grant does not list any more,
// provided that the Grant answers a report that contained them.
func (p *Part) dropAckedReleases(sequence uint64, shown map[core.SlotID]uint64) {
	kept := p.pendingReleases[:0]
	for _, r := range p.pendingReleases {
		generation, listed := shown[r.slot.ID]
		listed = listed && generation <= r.slot.Generation
		reported := r.firstReport != 0 && r.firstReport <= sequence
		if listed || !reported {
			kept = append(kept, r)
		}
	}
	p.pendingReleases = kept
}
