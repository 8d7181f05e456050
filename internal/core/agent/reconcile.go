package agent

import (
	"nutmeglane.example/nutmeglane/internal/code"
	"nutmeglane.example/nutmeglane/internal/core"
)

// reconcileAll reconciles foreign items and dirty slots until none is left, and
// then sends what has changed.
func (p *Part) reconcileAll() {
	for len(p.dirty) > 0 || p.foreignDirty {
		if p.foreignDirty {
			p.reconcileForeign()
		}
		dirty := p.dirty
		p.dirty = nil
		for _, s := range dirty {
			s.dirty = false
			if s.service || p.slots[s.id] == s {
				p.reconcile(s)
			}
		}
	}
	p.exitIfDone()
	p.flushReport()
	p.flushStatus()
}

// drainReason returns the code with which the waiting requests of a slot are
// refused because the slot has to be drained, or OK.
func (p *Part) drainReason(s *slot) code.Code {
	switch {
	case p.leaving:
		return code.Draining
	case s.service:
		return code.OK
	case !s.owned:
		return code.NotOwner
	case p.tenureEnding():
		return code.NoBackend
	}
	return code.OK
}

// reconcile performs the next actions for a slot: it drains the slot, or loads,
// runs and unloads what the configuration and the requests require.
func (p *Part) reconcile(s *slot) {
	s.starved = false
	if reason := p.drainReason(s); reason != code.OK {
		p.drainSlot(s, reason)
		return
	}
	s.drainUntil = core.Never
	p.timers.stop(&s.cutTimer)
	if s.service {
		p.dispatch(s)
		return
	}
	p.unloadOutdated(s)
	for _, t := range s.targets {
		p.tryLoad(t)
		p.unpark(t)
	}
	p.dispatch(s)
	p.updateIdleTimers(s)
	p.dropUnusedTargets(s)
}

// drainSlot refuses the waiting requests, lets the running ones finish within a
// limit, then unloads, and releases a slot that is not owned any more or whose
// agent is leaving. A slot that is drained only because the tenure ends is
// kept: the next Grant may renew the tenure.
func (p *Part) drainSlot(s *slot, reason code.Code) {
	for _, t := range s.targets {
		t.wanted = false
		p.refuseTarget(t, reason, minRetryAfter)
	}
	if limit := p.drainLimit(s); limit < s.drainUntil {
		s.drainUntil = limit
		p.timers.set(&s.cutTimer, max(limit, p.now))
	}
	if s.service {
		return
	}
	if len(s.running) > 0 {
		p.unloadIdleAdapters(s)
		return
	}
	p.unloadAll(s)
	if (!s.owned || p.leaving) && p.fullyUnloaded(s) {
		p.release(s)
	}
}

// fullyUnloaded reports whether the engine certainly holds nothing of the slot.
// Right after a restart the slot has no item, but the engine may hold what the
// predecessor loaded for it; if the slot were released then, the next owner
// would load one replica too many. So no slot is released before the inventory
// is settled, or while a foreign checkpoint of the model is held.
func (p *Part) fullyUnloaded(s *slot) bool {
	if !p.settled || !s.empty() {
		return false
	}
	for _, it := range p.items {
		if it.target == nil && !it.superseded && it.model() == s.id.Model {
			return false
		}
	}
	return true
}

// cutRunning aborts the running requests and pending loads of a slot that have
// delayed its unload for longer than allowed.
func (p *Part) cutRunning(s *slot) {
	for _, j := range s.running {
		p.cutJob(j)
	}
	for _, t := range s.targets {
		if it := t.item; it != nil && it.state == itemLoading {
			p.orderUnload(it)
		}
	}
	p.markDirty(s)
}

// unload starts the unload of the item of a target, and of all adapters if it
// is a base.
func (p *Part) unload(t *target) {
	if t.item == nil {
		return
	}
	t.item.closing = true
	p.markDirty(t.slot)
	if t.adapter {
		p.requestUnload(t.item)
		return
	}
	p.unloadAll(t.slot)
}

// unloadAll unloads the adapters of a slot, and the base once the engine has
// confirmed that they are gone: an engine may refuse to unload a base that is
// in use, and the memory of an adapter is freed only by its own confirmation.
func (p *Part) unloadAll(s *slot) {
	for _, t := range s.targets[1:] {
		if t.item != nil {
			p.requestUnload(t.item)
		}
	}
	if s.base.item != nil {
		s.base.item.closing = true
	}
	for _, t := range s.adapters {
		if t.item != nil {
			return
		}
	}
	if s.base.item != nil {
		p.requestUnload(s.base.item)
	}
}

// requestUnload orders the unload of an item as soon as it is loaded and has no
// pending order.
func (p *Part) requestUnload(it *item) {
	it.closing = true
	if it.state == itemLoaded && it.order == 0 {
		p.orderUnload(it)
	}
}

// unloadOutdated drains and unloads checkpoints whose version is not the one in
// force, so that the old version is gone before the new one is loaded and the
// replica limit is kept during a rollout. It also continues unloads that have
// begun.
func (p *Part) unloadOutdated(s *slot) {
	for _, t := range s.targets[1:] {
		if p.outOfDate(t) {
			p.unloadWhenIdle(t)
		}
		p.limitDrain(t)
	}
	if !p.outOfDate(s.base) {
		return
	}
	s.base.item.closing = true
	if len(s.running) == 0 {
		p.unloadAll(s)
	}
}

func (p *Part) outOfDate(t *target) bool {
	if p.checkpointOf(t).key == "" {
		p.refuseTarget(t, code.UnknownModel, 0)
	}
	if t.misplaced {
		t.wanted = false
		p.refuseTarget(t, code.NotOwner, minRetryAfter)
	}
	return t.item != nil && (t.item.closing || t.misplaced || t.item.key != p.checkpointOf(t).key)
}

func (p *Part) unloadWhenIdle(t *target) {
	t.item.closing = true
	if t.running == 0 {
		p.requestUnload(t.item)
	}
}

// tryLoad orders the load of a target that needs one, if the agent may load and
// memory is free. A target has at most one item, so a burst of requests causes
// a single load.
func (p *Part) tryLoad(t *target) {
	needed := t.waiting() > 0 || t.wanted || p.pinned(t)
	if !needed && !t.adapter {
		needed = p.adapterWaitsForBase(t.slot)
	}
	if !needed || t.misplaced || t.item != nil || p.now < t.retryAt || !p.mayLoad(t.slot) {
		return
	}
	c := p.checkpointOf(t)
	if c.key == "" || t.adapter && !t.slot.base.loaded() {
		return
	}
	if p.items[c.key] != nil {
		return // a foreign item or another slot holds this key until it is unloaded
	}
	if !p.tenureFits(p.loadTime(c)) {
		t.wanted = false
		p.refuseTarget(t, code.NoBackend, p.cfg.Timings.ReportInterval)
		return
	}
	if p.makeRoom(t) {
		p.orderLoad(t)
	}
}

// adapterWaitsForBase reports whether an adapter needs to be loaded, for which
// the base has to be loaded first.
func (p *Part) adapterWaitsForBase(s *slot) bool {
	for _, t := range s.adapters {
		if t.waiting() > 0 || t.wanted || p.pinned(t) {
			return true
		}
	}
	return false
}

// updateIdleTimers sets the timers of targets that have become idle and stops
// those of targets that are not idle any more.
func (p *Part) updateIdleTimers(s *slot) {
	for _, t := range s.targets {
		idle := t.loaded() && !t.busy() && !p.pinned(t)
		if !t.adapter {
			idle = idle && !s.busy()
		}
		if idle == t.isIdle {
			continue
		}
		t.isIdle = idle
		p.timers.stop(&t.idleTimer)
		if idle {
			p.timers.set(&t.idleTimer, max(p.cfg.Idle.KeepUntil(p.now, t.item.key), p.now))
			p.markStarvedDirty()
		}
	}
}

// idleTimerFired unloads an idle target whose KeepUntil time has passed.
func (p *Part) idleTimerFired(t *target) {
	if !t.loaded() || t.busy() || !t.adapter && t.slot.busy() {
		return
	}
	if until := p.cfg.Idle.KeepUntil(p.now, t.item.key); until > p.now {
		p.timers.set(&t.idleTimer, until)
		return
	}
	p.note("idle checkpoint unloaded", "key", t.item.key)
	p.unload(t)
}
