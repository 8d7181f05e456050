package agent

import (
	"cmp"
	"slices"
	"time"

	"nutmeglane.example/nutmeglane/internal/code"
	"nutmeglane.example/nutmeglane/internal/core"
)

// victim is a loaded checkpoint, or a base with its adapters, that can be
// evicted.
type victim struct {
	target *target
	memory int64
	// idleIn is the predicted time until it is idle; 0 if it is idle.
	idleIn time.Duration
	// keepUntil is the KeepUntil value of the idle policy; the lowest is
	// evicted first.
	keepUntil core.Time
}

// free returns the accelerator memory in MiB that is not reserved.
func (p *Part) free() int64 { return p.totalMiB - p.reservedMiB }

// unloading returns the memory in MiB of checkpoints that are being unloaded.
func (p *Part) unloading() int64 {
	var sum int64
	for _, it := range p.items {
		if it.state == itemUnloading || it.closing {
			sum += it.memoryMiB
		}
	}
	return sum
}

// planEviction predicts how long it takes until memory for a load of t is free,
// and which checkpoints have to be evicted. It returns false if there is no
// prospect: the remaining memory is taken by models with waiting requests, or
// by checkpoints that must not be evicted.
func (p *Part) planEviction(t *target) (victims []victim, wait time.Duration, ok bool) {
	need := p.memoryNeed(t) - p.free() - p.unloading()
	if need <= 0 {
		return nil, 0, true
	}
	for _, v := range p.candidates(t) {
		victims = append(victims, v)
		wait = max(wait, v.idleIn)
		need -= v.memory
		if need <= 0 {
			return victims, wait, true
		}
	}
	return nil, 0, false
}

// memoryNeed returns the memory in MiB that has to be reserved until t is
// loaded, its base included.
func (p *Part) memoryNeed(t *target) int64 {
	var need int64
	if t.item == nil {
		need = p.checkpointOf(t).memoryMiB
	}
	if t.adapter {
		need += p.memoryNeed(t.slot.base)
	}
	return need
}

// candidates returns what could be evicted for a load of t: idle checkpoints
// first, in the order of the idle policy.
func (p *Part) candidates(t *target) []victim {
	var all []victim
	for _, s := range p.sortedSlots {
		if s != t.slot && p.evictable(s.base) {
			if idleIn, ok := p.idleIn(s); ok {
				all = append(all, p.victim(s.base, idleIn))
				continue
			}
		}
		for _, a := range s.targets[1:] {
			if a != t && !a.busy() && p.evictable(a) {
				all = append(all, p.victim(a, 0))
			}
		}
	}
	slices.SortStableFunc(all, func(a, b victim) int {
		return cmp.Or(cmp.Compare(a.idleIn, b.idleIn), cmp.Compare(a.keepUntil, b.keepUntil))
	})
	return all
}

func (p *Part) evictable(t *target) bool {
	return t.item != nil && t.item.state == itemLoaded && !t.item.closing && !p.pinned(t)
}

func (p *Part) victim(t *target, idleIn time.Duration) victim {
	v := victim{
		target: t, memory: t.item.memoryMiB, idleIn: idleIn,
		keepUntil: p.cfg.Idle.KeepUntil(p.now, t.item.key),
	}
	if t.adapter {
		return v
	}
	for _, a := range t.slot.adapters {
		if a.item != nil && !a.item.closing {
			v.memory += a.item.memoryMiB
		}
	}
	return v
}

// makeRoom reports whether the memory for t is free. If not, it evicts idle
// checkpoints, lets the requests wait for busy checkpoints that are predicted
// to become idle, or refuses the requests. It never evicts a checkpoint with
// requests, and evicts nothing until all checkpoints that have to be evicted
// are idle.
func (p *Part) makeRoom(t *target) bool {
	if p.checkpointOf(t).memoryMiB <= p.free() {
		return true
	}
	victims, wait, ok := p.planEviction(t)
	if !ok {
		t.wanted = false
		p.markCrowded(t.slot)
		p.refuseTarget(t, code.NoMemory, p.memoryRetry())
		return false
	}
	t.slot.starved = true
	if wait > 0 {
		p.refuseBeyond(t, wait+p.readyIn(t), code.NoMemory)
		return false
	}
	for _, v := range victims {
		p.count(evictionsTotal)
		p.unload(v.target)
	}
	return false
}

// memoryRetry returns the Retry-After of a refusal for lack of memory: the time
// until the first busy model is predicted to be idle.
func (p *Part) memoryRetry() time.Duration {
	retry := maxBackoff
	for _, s := range p.sortedSlots {
		if idleIn, ok := p.idleIn(s); ok && s.base.loaded() {
			retry = min(retry, idleIn)
		}
	}
	return max(retry, minRetryAfter)
}
