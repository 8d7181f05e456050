package agent

import (
	"nutmeglane.example/nutmeglane/internal/code"
	"nutmeglane.example/nutmeglane/internal/core"
)

// itemState is the state of a checkpoint in the engine as far as the agent has
// confirmed it.
type itemState uint8

const (
	itemLoading itemState = iota + 1
	itemLoaded
	itemUnloading
	// itemUnknown: the outcome of an order is unknown, or the engine executes
	// an order of another incarnation. Only an inventory determines the state.
	itemUnknown
)

// item is a checkpoint that holds, or may hold, accelerator memory. Its memory
// is reserved exactly as long as the item exists.
type item struct {
	key, base string
	memoryMiB int64
	fence     uint64
	state     itemState
	// target is nil for a foreign item: one that is assigned to no slot of this
	// incarnation.
	target *target
	// order is the ID of the pending order, 0 if there is none.
	order     uint64
	orderedAt core.Time
	// notAfter is the latest time at which the last order can reach the engine.
	notAfter core.Time
	// lastInventory is the number of the newest inventory that had been
	// requested when the last order of the item began or ended. Inventories up
	// to this number give no information about the item.
	lastInventory uint64
	// wasLoading is set if the last order was a load that has not succeeded
	// yet.
	wasLoading bool
	// overlapped is set when an unload was ordered while a load was pending.
	overlapped bool
	// closing is set once the item is to be unloaded.
	closing bool
	// superseded is set when the engine refused to unload the item because a
	// newer incarnation on this host loaded it. The agent takes no further
	// action on it.
	superseded bool
	tier       core.Tier
}

// model returns the name of the base model that the item belongs to.
func (it *item) model() string {
	key := it.key
	if it.base != "" {
		key = it.base
	}
	name, _ := splitKey(key)
	return name
}

// mayLoad reports whether the agent may order loads for a slot. Every load
// order is checked here in the step that emits it.
func (p *Part) mayLoad(s *slot) bool {
	return p.settled && // the contents of the engine are known, see planInventory
		!p.role.draining &&
		p.tenure.holds(p.now) && !p.tenureEnding() &&
		s.owned && s.generation > p.releasedGenerations[s.id] &&
		!p.leaving
}

// orderLoad reserves memory and orders a load. The item, and with it the
// reservation, exists before the order is sent, and a load is ordered only
// after makeRoom has checked it against the reserved total. Otherwise two loads
// that each fit alone could be ordered together, and the engine would run out
// of accelerator memory.
func (p *Part) orderLoad(t *target) {
	c := p.checkpointOf(t)
	it := &item{
		key: c.key, base: c.base, memoryMiB: c.memoryMiB, fence: t.slot.generation,
		state: itemLoading, target: t, wasLoading: true, tier: p.tier(c.key),
	}
	t.item, t.wanted = it, false
	p.addItem(it)
	notAfter := min(p.now.Add(p.cfg.Timings.OrderValidity), p.tenure.until)
	p.order(it, core.Order{
		Kind: core.OrderLoad, Key: c.key, Base: c.base, MemoryMiB: c.memoryMiB,
		CheckpointMiB: c.checkpointMiB, Fence: it.fence, NotAfter: notAfter,
	})
	p.announceLoad(it)
}

// orderUnload orders an unload. Unloads require no tenure, because they only
// reduce what the agent holds.
func (p *Part) orderUnload(it *item) {
	fence := it.fence
	if it.target != nil {
		fence = max(fence, it.target.slot.generation)
	}
	it.overlapped = it.state == itemLoading
	it.state, it.closing, it.wasLoading = itemUnloading, true, false
	p.order(it, core.Order{
		Kind: core.OrderUnload, Key: it.key, Base: it.base, MemoryMiB: it.memoryMiB,
		Fence: fence, NotAfter: p.now.Add(p.cfg.Timings.OrderValidity),
	})
}

func (p *Part) order(it *item, o core.Order) {
	p.orderCount++
	o.ID = p.orderCount
	it.order, it.orderedAt, it.notAfter = o.ID, p.now, o.NotAfter
	it.lastInventory = p.inventory.sequence
	p.pending[o.ID] = it
	p.emit(o)
	p.statusDirty = true
}

func (p *Part) addItem(it *item) {
	p.items[it.key] = it
	p.reservedMiB += it.memoryMiB
}

// dropItem removes an item, and frees its reservation, after the engine has
// reported that it does not hold the checkpoint.
func (p *Part) dropItem(it *item) {
	delete(p.items, it.key)
	if p.inventory.outstanding {
		p.inventory.dropped[it.key] = true
	}
	p.reservedMiB -= it.memoryMiB
	p.statusDirty = true
	if it.target != nil {
		t := it.target
		t.item = nil
		p.timers.stop(&t.idleTimer)
		t.isIdle = false
		p.reparkUnloaded(t.slot)
		p.markDirty(t.slot)
	} else {
		p.foreignDirty = true
		p.markAllDirty() // a slot may be waiting for this key to be unloaded
	}
	p.markStarvedDirty()
}

// orderDone handles the engine's answer to an order.
func (p *Part) orderDone(done core.OrderDone) {
	if done.Order != 0 && done.Order == p.prefetch.order {
		p.prefetchDone(done)
		return
	}
	if done.Order != 0 && done.Order == p.role.order {
		p.roleDone(done.Code)
		return
	}
	p.announceLoadEnd(done.Order)
	it := p.pending[done.Order]
	if it == nil {
		return
	}
	delete(p.pending, done.Order)
	if it.order != done.Order {
		return // superseded by an unload order, whose answer and an inventory decide
	}
	it.order = 0
	it.lastInventory = p.inventory.sequence
	p.statusDirty = true
	if it.target != nil {
		p.markDirty(it.target.slot)
	} else {
		p.foreignDirty = true
	}
	if it.state == itemLoading {
		p.loadDone(it, done.Code)
	} else {
		p.unloadDone(it, done.Code)
	}
}

func (p *Part) loadDone(it *item, result code.Code) {
	t := it.target
	p.countCode(loadsTotal, result)
	switch result {
	case code.OK:
		p.learnLoad(it)
		p.itemLoaded(it)
	case code.OrderExpired:
		// The order was never sent; neither the engine nor the checkpoint is at
		// fault.
		p.dropItem(it)
		p.retryAt(t, p.now.Add(firstBackoff))
	case code.FencedOut:
		// The engine has seen a higher fencing number: this incarnation lost
		// the slot and did not receive the Grant, because it was paused or
		// disconnected.
		p.dropItem(it)
		p.loseSlot(t.slot)
	case code.EngineRefused, code.StoreFailed:
		p.dropItem(it)
		p.loadFailed(t)
	case code.EngineNoMemory:
		// The reservations and the engine disagree: an inventory shows what it
		// holds.
		p.dropItem(it)
		p.loadFailed(t)
		p.scheduleInventory(p.now)
	default:
		p.awaitInventory(it)
	}
}

func (p *Part) learnLoad(it *item) {
	took := p.now.Sub(it.orderedAt)
	size := p.checkpointOf(it.target).checkpointMiB
	if size > 0 {
		p.predictor.learn(it.tier, size, took)
	}
	p.observe(loadSeconds, took.Seconds(), tierName(it.tier))
}

// itemLoaded marks an item as loaded, so that requests can run on it.
func (p *Part) itemLoaded(it *item) {
	it.state, it.wasLoading = itemLoaded, false
	t := it.target
	// A load request that arrived while the load was pending is fulfilled by
	// it. If wanted stayed set, the model would be loaded again as soon as it
	// is evicted or unloaded.
	t.wanted = false
	t.failures, t.retryAt = 0, 0
	p.markDirty(t.slot)
}

// loadFailed counts a failure, schedules the retry and refuses the requests
// whose deadline is before the retry can complete.
func (p *Part) loadFailed(t *target) {
	t.failures++
	p.note("load failed", "target", t.name, "failures", formatUint(uint64(t.failures)))
	p.retryAt(t, p.now.Add(backoff(t.failures)))
	for _, other := range t.slot.targets {
		if other == t || !t.adapter {
			p.refuseBeyond(other, p.readyIn(other), code.LoadFailed)
		}
	}
}

func (p *Part) retryAt(t *target, at core.Time) {
	t.retryAt = at
	p.timers.set(&t.retryTimer, at)
}

func (p *Part) loseSlot(s *slot) {
	s.owned = false
	s.lostGeneration = max(s.lostGeneration, s.generation)
	p.note("slot lost to a newer fencing number", "model", s.id.Model,
		"generation", formatUint(s.generation))
}

func (p *Part) unloadDone(it *item, result code.Code) {
	p.countCode(unloadsTotal, result)
	switch {
	case result == code.OK && !it.overlapped:
		p.dropItem(it)
	case result == code.FencedOut:
		p.supersede(it)
	case result == code.OrderExpired && !it.overlapped:
		it.state = itemLoaded // closing is still set, so the unload is ordered again
	default:
		// The order was lost or refused, or a load order was pending at the
		// same time.
		p.awaitInventory(it)
	}
}

// supersede stops managing an item that a newer incarnation loaded. Only a
// process on this host can have sent a higher fencing number to this engine.
// The memory stays reserved until an inventory shows that the item is gone.
func (p *Part) supersede(it *item) {
	it.superseded, it.state = true, itemUnknown
	if t := it.target; t != nil {
		t.item, it.target = nil, nil
		p.reparkUnloaded(t.slot)
		p.loseSlot(t.slot)
	}
	p.foreignDirty = true
}

// awaitInventory suspends all decisions about an item until an inventory shows
// its state. The answer to an order is lost, and the order itself may still
// reach the engine; freeing the memory or ordering the load again could
// overcommit the memory. The item keeps its reservation, and only an inventory
// requested after the NotAfter of the order, when the order can't arrive any
// more, is proof that it had no effect.
func (p *Part) awaitInventory(it *item) {
	it.state = itemUnknown
	p.note("order outcome unknown", "key", it.key)
	p.scheduleInventory(max(p.now.Add(firstBackoff), it.notAfter+1))
}
