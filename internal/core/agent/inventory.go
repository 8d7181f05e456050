package agent

import (
	"slices"

	"nutmeglane.example/nutmeglane/internal/code"
	"nutmeglane.example/nutmeglane/internal/core"
)

// inventoryState tracks the inventory requests. At most one is outstanding, so
// that an answer can be matched to the time of its request.
type inventoryState struct {
	sequence    uint64
	requestedAt core.Time
	outstanding bool
	// repeatAt is when to send the next request after the outstanding answer
	// has arrived; core.Never if none is needed.
	repeatAt core.Time
	failures int
	timer    timer
	// dropped holds the keys that were unloaded since the outstanding inventory
	// was requested; its answer may still list them.
	dropped map[string]bool
}

// start runs on the first step. It requests an inventory of the engine before
// anything else.
func (p *Part) start() {
	p.started = true
	p.startedAt = p.now
	if p.service != nil {
		p.settled, p.inventoried = true, true
		return
	}
	p.timers.set(&p.foreignTimer, p.foreignKeptUntil())
	p.requestInventory()
	p.timers.set(&p.prefetch.timer, p.now.Add(prefetchPause))
}

// foreignKeptUntil returns the time until which a new process without a Grant
// keeps the checkpoints that its predecessor loaded. The predecessor had to
// unload one UnloadLead before the end of its tenure; the successor unloads in
// its place half an UnloadLead after its own start. Without this limit, a
// successor that can reach no entry owns nothing but would hold the replicas of
// the predecessor indefinitely, while the steward reassigns their slots after
// the tenure of the predecessor, and one replica too many would be loaded.
func (p *Part) foreignKeptUntil() core.Time {
	return p.startedAt.Add(p.cfg.Timings.UnloadLead / 2)
}

// scheduleInventory requests an inventory at the given time, or when the
// outstanding one has been answered.
func (p *Part) scheduleInventory(at core.Time) {
	inv := &p.inventory
	if inv.outstanding {
		inv.repeatAt = min(inv.repeatAt, at)
		return
	}
	switch {
	case at <= p.now:
		p.requestInventory()
	case !inv.timer.set() || at < inv.timer.at:
		p.timers.set(&inv.timer, at)
	}
}

func (p *Part) requestInventory() {
	inv := &p.inventory
	inv.sequence++
	inv.requestedAt, inv.outstanding, inv.repeatAt = p.now, true, core.Never
	p.timers.stop(&inv.timer)
	p.count(inventoriesTotal)
	p.emit(core.TakeInventory{})
}

// handleInventory processes the answer of the engine to an inventory request.
func (p *Part) handleInventory(ev core.Inventory) {
	inv := &p.inventory
	if !inv.outstanding {
		return
	}
	inv.outstanding = false
	if ev.Code != code.OK {
		clear(inv.dropped)
		inv.failures++
		p.scheduleInventory(min(inv.repeatAt, p.now.Add(backoff(inv.failures))))
		p.refuseWhileEngineDown()
		return
	}
	inv.failures = 0
	p.totalMiB, p.checksFencing = ev.MemoryMiB, ev.ChecksFencing
	p.updateRole(ev)
	p.updateCached(ev.Cached)
	p.compareItems(ev.Items)
	clear(inv.dropped)
	p.planInventory()
	p.foreignDirty, p.statusDirty = true, true
	p.updateReady()
	p.markAllDirty()
}

// engineDown reports whether the engine does not answer inventory requests.
// Nothing can be loaded until it does.
func (p *Part) engineDown() bool { return p.inventory.failures >= engineDownFailures }

// refuseWhileEngineDown refuses all requests that wait for a load while the
// engine does not answer.
func (p *Part) refuseWhileEngineDown() {
	if !p.engineDown() {
		return
	}
	for _, s := range p.sortedSlots {
		for _, t := range s.targets {
			if !t.loaded() {
				p.refuseTarget(t, code.LoadFailed, backoff(p.inventory.failures))
			}
		}
	}
}

// planInventory schedules the next inventory and sets settled once the
// inventory covers all orders of the predecessor.
//
// A predecessor that died right after sending an order leaves an order that may
// reach the engine after the first inventory; a load decided on that inventory
// could overcommit the memory. Orders are not sent after their validity, so an
// inventory requested more than one OrderValidity after the start of this
// process shows the effect of all orders of the predecessor. Nothing is loaded
// before that.
func (p *Part) planInventory() {
	inv := &p.inventory
	settledFrom := p.startedAt.Add(p.cfg.Timings.OrderValidity) + 1
	if inv.requestedAt >= settledFrom {
		p.settled = true
	} else {
		p.scheduleInventory(max(settledFrom, p.now))
	}
	open := core.Never
	for _, key := range core.SortedKeys(p.items) {
		if it := p.items[key]; it.state == itemUnknown && !it.superseded {
			open = min(open, max(p.now.Add(firstBackoff), it.notAfter+1))
		}
	}
	routine := p.now.Add(p.cfg.Limits.InventoryInterval)
	p.scheduleInventory(min(inv.repeatAt, open, routine))
}

// compareItems updates the items from the checkpoints that the engine lists.
func (p *Part) compareItems(held []core.LoadedItem) {
	present := make(map[string]bool, len(held))
	for _, li := range held {
		present[li.Key] = true
		if it := p.items[li.Key]; it != nil {
			p.updateFromInventory(it, li)
			continue
		}
		p.addForeignItem(li)
	}
	for _, key := range core.SortedKeys(p.items) {
		if !present[key] {
			p.removeMissingItem(p.items[key])
		}
	}
}

// outdated reports whether the inventory gives no information about an item,
// because an order for it was pending at some time since the inventory was
// requested.
func (p *Part) outdated(it *item) bool {
	return it.order != 0 || p.inventory.sequence <= it.lastInventory
}

func (p *Part) updateFromInventory(it *item, li core.LoadedItem) {
	if p.outdated(it) {
		return
	}
	p.reservedMiB += max(li.MemoryMiB-it.memoryMiB, 0)
	it.memoryMiB = max(it.memoryMiB, li.MemoryMiB)
	switch {
	case it.superseded:
	case li.Busy:
		it.state = itemUnknown
	case it.state == itemUnknown && it.target != nil:
		it.fence = li.Fence
		p.itemLoaded(it)
	case it.state == itemUnknown:
		it.state, it.fence = itemLoaded, li.Fence
	}
}

// addForeignItem adds a checkpoint that the agent has no item for: one that a
// predecessor loaded, or the late effect of an order. Its memory is reserved
// from here on.
func (p *Part) addForeignItem(li core.LoadedItem) {
	if p.inventory.dropped[li.Key] {
		return
	}
	it := &item{
		key: li.Key, base: li.Base, memoryMiB: li.MemoryMiB, fence: li.Fence,
		state: itemLoaded,
	}
	if li.Busy {
		it.state = itemUnknown
	}
	p.addItem(it)
}

// removeMissingItem processes an item that the engine does not list.
func (p *Part) removeMissingItem(it *item) {
	if p.outdated(it) {
		return
	}
	if it.state == itemUnknown && p.inventory.requestedAt <= it.notAfter {
		return // requested too early to be proof, see awaitInventory
	}
	t, failed := it.target, it.state == itemUnknown && it.wasLoading
	p.dropItem(it)
	if failed && t != nil {
		p.countCode(loadsTotal, code.EngineFailed)
		p.loadFailed(t)
		return
	}
	if t != nil && !it.closing {
		p.note("model vanished from the engine", "key", it.key)
	}
}

func (p *Part) updateCached(cached []core.CachedCheckpoint) {
	p.cached = make(map[string]core.Tier, len(cached))
	for _, c := range cached {
		if old, ok := p.cached[c.Key]; !ok || c.Tier < old {
			p.cached[c.Key] = c.Tier
		}
	}
	p.cachedList = cached
}

// recordCached records a copy that an order of this agent created, before the
// engine reports it.
func (p *Part) recordCached(key string, tier core.Tier) {
	if old, ok := p.cached[key]; !ok || tier < old {
		p.cached[key] = tier
		p.cachedList = append(slices.Clone(p.cachedList), core.CachedCheckpoint{Key: key, Tier: tier})
	}
}

// reconcileForeign adopts or unloads the checkpoints that are not assigned to a
// slot. It waits for the first Grant, because the steward moves the slots of a
// dead incarnation to the new one on the same host, and what the predecessor
// loaded for them can be reused.
func (p *Part) reconcileForeign() {
	p.foreignDirty = false
	owns := p.tenure.granted && p.snapshot != nil
	if !p.settled || !owns && p.now < p.foreignKeptUntil() {
		return
	}
	keys := core.SortedKeys(p.items)
	for _, key := range keys {
		p.adopt(p.items[key])
	}
	open := false
	for _, key := range keys {
		if it := p.items[key]; it.target == nil && !it.superseded {
			open = true
			p.unloadForeign(it)
		}
	}
	if !open && !p.inventoried {
		p.inventoried, p.reportNow = true, true
		p.note("inventory settled")
	}
}

// adopt assigns a foreign item to the target that needs it, if there is one.
func (p *Part) adopt(it *item) {
	if it.target != nil || it.state != itemLoaded || it.closing {
		return
	}
	t := p.targetFor(it)
	if t == nil {
		return
	}
	it.target, t.item = t, it
	p.itemLoaded(it)
	p.note("checkpoint adopted", "key", it.key)
}

func (p *Part) targetFor(it *item) *target {
	for _, s := range p.sortedSlots {
		if p.drainReason(s) != code.OK {
			continue
		}
		if it.base == "" {
			if s.base.item == nil && p.checkpointOf(s.base).key == it.key {
				return s.base
			}
			continue
		}
		if t := p.adapterTargetFor(s, it); t != nil {
			return t
		}
	}
	return nil
}

func (p *Part) adapterTargetFor(s *slot, it *item) *target {
	if p.checkpointOf(s.base).key != it.base {
		return nil
	}
	name, _ := splitKey(it.key)
	adapter := p.snapshot.Adapters[name]
	if adapter == nil || !p.placed(adapter, s, adapter.Spec.Replicas.Max) {
		return nil
	}
	if t := p.adapterTarget(s, name); t.item == nil && p.checkpointOf(t).key == it.key {
		return t
	}
	return nil
}

// unloadForeign unloads an item that no slot needs; a base is unloaded after
// its adapters.
func (p *Part) unloadForeign(it *item) {
	if it.state != itemLoaded || it.order != 0 {
		return
	}
	for _, other := range p.items {
		if other.base == it.key {
			return
		}
	}
	p.orderUnload(it)
}
