package agent

import "nutmeglane.example/nutmeglane/internal/core"

// layout is the part of a slot table entry that concerns the adapters on the
// slot.
type layout struct {
	// max is the AdapterMax of the slot; 0 forbids adapters.
	max uint16
	// epoch is the AdapterEpoch at which max was set.
	epoch uint64
	// reported is set once a Report that lists the slot as cleared at this
	// epoch was requested.
	reported bool
}

// updateLayout applies the layout of a granted slot if it is newer than the
// current one. It is called before the slot takes over the generation of the
// Grant.
//
// AdapterEpoch grows with each change under a generation, and a lower or equal
// epoch is ignored. Otherwise, after this agent has reported the slot as
// cleared, a steward that was paused could send a Grant from an older table,
// even with a higher Revision because of another chunk; this agent would load
// adapters by the old AdapterMax while other owners load them by the new one,
// and one replica too many would be loaded.
func (p *Part) updateLayout(s *slot, granted core.Slot) {
	if granted.Generation == s.generation && granted.AdapterEpoch <= s.layout.epoch {
		return
	}
	s.layout = layout{max: granted.AdapterMax, epoch: granted.AdapterEpoch}
	p.findPinned(s)
	p.findMisplaced(s)
	p.markDirty(s)
}

// cleared reports whether no adapter is or can be loaded on the slot: adapters
// are not allowed there, and the engine is confirmed to hold no adapter of the
// model.
//
// Right after a restart the slot has no adapter, but the engine may hold
// adapters that the predecessor loaded. If the slot were reported as cleared
// then, these copies would exist besides the ones that other owners load by the
// next AdapterMax. So a slot is not cleared before the inventory is settled,
// and items in all states count, including foreign and unknown ones.
func (p *Part) cleared(s *slot) bool {
	if s.layout.max != 0 || !p.settled {
		return false
	}
	for _, it := range p.items {
		if it.base != "" && it.model() == s.id.Model {
			return false
		}
	}
	return true
}

// reportNewlyCleared requests a report at once when a slot becomes cleared:
// until the steward receives it, requests for adapters of the model are
// refused.
func (p *Part) reportNewlyCleared() {
	for _, s := range p.sortedSlots {
		if !s.layout.reported && p.cleared(s) {
			s.layout.reported, p.reportNow = true, true
		}
	}
}

// clearedSlots returns the cleared slots for a Report.
func (p *Part) clearedSlots() []core.Slot {
	var slots []core.Slot
	for _, s := range p.sortedSlots {
		if p.cleared(s) {
			slots = append(slots, core.Slot{
				ID: s.id, Owner: p.cfg.Host, Incarnation: p.cfg.Incarnation,
				Generation: s.generation, AdapterEpoch: s.layout.epoch,
			})
		}
	}
	return slots
}

// unloadIdleAdapters unloads the idle adapters of a slot that is being drained
// and on which adapters are not allowed. It does not wait for the running
// requests of the base, because other owners of the model wait until the slot
// is cleared.
func (p *Part) unloadIdleAdapters(s *slot) {
	if s.layout.max != 0 {
		return
	}
	for _, t := range s.targets[1:] {
		if t.item != nil {
			p.unloadWhenIdle(t)
		}
	}
}

// limitDrain limits the wait for the running requests, or for a pending load,
// of a misplaced adapter to ReleaseDrain, as for the release of a slot.
func (p *Part) limitDrain(t *target) {
	switch {
	case !t.misplaced || t.item == nil:
		p.timers.stop(&t.drainTimer)
	case !t.drainTimer.set():
		p.timers.set(&t.drainTimer, p.now.Add(p.cfg.Limits.ReleaseDrain))
	}
}

// cutTarget aborts the requests or the load that delay the unload of a
// misplaced adapter for longer than allowed.
func (p *Part) cutTarget(t *target) {
	for _, j := range t.slot.running {
		if j.target == t {
			p.cutJob(j)
		}
	}
	if t.item != nil && t.item.state == itemLoading {
		p.orderUnload(t.item)
	}
	p.markDirty(t.slot)
}
