package router

import (
	"slices"

	"nutmeglane.example/nutmeglane/internal/core"
)

// This file decides when loads from the weight store begin under the copy plan.
//
// The duration of a load follows from the loads that run when it begins: the third one at a store
// that serves one at full speed takes three times as long, and occupies its engine and the store
// for all of that time.

// minUrgentGain is the gain from which a load may begin beside more loads than are known to run
// at full speed: one caller a second over the ten seconds that the plan looks ahead. With less,
// the wait for the running loads costs callers nothing.
const minUrgentGain = 10.0

// mayBegin reports whether a load from the store may begin now.
//
// It guards against loads that nobody waits for and that take the store for longer than a needed
// one can wait: one with a gain of two callers began as the third and took 45 s, while a model
// with 25 calls a second had no place left.
func (c plannedCopies) mayBegin(p permitRequest, active int) bool {
	if c.s.startingUp(c.r.now) {
		return false
	}
	running := active + c.unseenGrants()
	if c.storeGain(p) >= minUrgentGain {
		return running < c.s.storeLimit()
	}
	return running < max(1, c.s.store.proven) && !c.hasNeededNear(p.loader)
}

// unseenGrants counts the permits that were granted a moment ago and show in no report yet, except
// those of loads that still wait for theirs, which are counted already.
//
// It guards against a third load that begins while the second one's engine still makes room for it.
func (c plannedCopies) unseenGrants() int {
	count := 0
	for key := range c.s.store.granted {
		l := c.r.loaders[key.loader]
		if l == nil || l.holdings == nil {
			continue
		}
		m := findHeld(l.holdings, key.model)
		if m == nil || m.State == core.HoldQueued {
			count++
		}
	}
	return count
}

// hasNeededNear reports whether an engine has a near copy of a model that lacks copies.
//
// It guards against a load from the store that few callers need at one of few engines with a disk
// copy of the model that callers need most: after a loss of power a third copy of it came 25 s
// late. Loads that callers need more than that are not held back: the needed number of a model
// falls late, and would keep them waiting without end.
func (c plannedCopies) hasNeededNear(l *loader) bool {
	b := c.r.engineAt(l)
	if b == nil {
		return false
	}
	held := c.r.holdings(b)
	if held == nil {
		return false
	}
	needed := func(model string) bool { return findHeld(held, model) == nil && c.lacksCopies(model) }
	return slices.ContainsFunc(held.InMemory, needed) || slices.ContainsFunc(held.OnDisk, needed)
}

// lacksCopies reports whether the last plan needs more copies of a model than are loaded or
// load from a near copy.
func (c plannedCopies) lacksCopies(model string) bool {
	needed := c.s.copies.plan.Needed[model]
	if needed < 2 {
		return false
	}
	have := 0
	for _, b := range c.r.holders(c.s.name, model) {
		m := c.r.heldAt(b, model)
		if m != nil && (m.State == core.HoldLoaded || m.State == core.HoldLoading) {
			have++
		}
	}
	return have < needed
}
