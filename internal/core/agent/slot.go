package agent

import (
	"cmp"
	"slices"
	"time"

	"nutmeglane.example/nutmeglane/internal/core"
)

// slot is a replica slot assigned to this incarnation, or the single slot of a
// plain service.
type slot struct {
	id         core.SlotID
	generation uint64
	// owned is set while the newest Grant lists the slot as SlotOwned.
	owned bool
	// lostGeneration is the generation at which the engine refused an order
	// with FencedOut. The slot can't be owned again at that generation.
	lostGeneration uint64
	layout         layout
	service        bool

	base     *target
	adapters map[string]*target
	// targets holds the base and then the adapters by name.
	targets []*target
	// pinned holds the names of the adapters that Replicas.Min keeps loaded on
	// this slot.
	pinned []string

	ready   *fairQueue
	running []*job
	waiting [classCount]int
	// runTime is the average run time of each class.
	runTime [classCount]average

	// drainUntil limits the wait for running requests before an unload.
	drainUntil core.Time
	cutTimer   timer
	dirty      bool
	// starved is set while a load waits for accelerator memory.
	starved bool
	// backoffUntil is when the plain service takes requests again after it has turned one
	// away; 0 if it never has.
	backoffUntil core.Time
	// crowdedAt is when a request was last refused for lack of memory; 0 if
	// never.
	crowdedAt core.Time
}

// target is a checkpoint that requests at one slot can be addressed to: the
// base model of the slot or an adapter on it.
type target struct {
	slot    *slot
	name    string
	adapter bool
	// item is the checkpoint in the engine, nil if there is none.
	item *item
	// parked holds requests that wait for the load, by deadline. Requests in
	// slot.ready (counted by ready) require the target to be loaded.
	parked  heap[*job]
	ready   int
	running int
	// wanted requests a load although no request waits.
	wanted     bool
	failures   int
	retryAt    core.Time
	retryTimer timer
	idleTimer  timer
	// isIdle is set while the target is loaded and idle, and idleTimer is
	// running.
	isIdle bool
	// misplaced is set when the adapter may not be loaded on this slot any
	// more; drainTimer then limits the wait for its running requests.
	misplaced  bool
	drainTimer timer
}

func (t *target) waiting() int { return t.parked.len() + t.ready }

// busy reports whether requests wait for the target or run on it.
func (t *target) busy() bool { return t.waiting() > 0 || t.running > 0 }

// loaded reports whether requests can run on the target.
func (t *target) loaded() bool {
	if t.slot.service {
		return true
	}
	if t.item == nil || t.item.state != itemLoaded || t.item.closing {
		return false
	}
	return !t.adapter || t.slot.base.loaded()
}

func (s *slot) busy() bool {
	return len(s.running) > 0 || s.waiting != [classCount]int{}
}

// waitingUpTo returns the number of waiting requests of the classes up to and
// including c.
func (s *slot) waitingUpTo(c class) int {
	ahead := 0
	for i := classInteractive; i <= c; i++ {
		ahead += s.waiting[i]
	}
	return ahead
}

// empty reports whether the engine holds nothing of the slot.
func (s *slot) empty() bool {
	if s.base.item != nil {
		return false
	}
	for _, t := range s.adapters {
		if t.item != nil {
			return false
		}
	}
	return true
}

func compareSlots(a *slot, id core.SlotID) int {
	return cmp.Or(cmp.Compare(a.id.Model, id.Model), cmp.Compare(a.id.Index, id.Index))
}

func (p *Part) addSlot(id core.SlotID) *slot {
	s := &slot{id: id, adapters: map[string]*target{}, ready: newFairQueue()}
	s.drainUntil = core.Never
	s.cutTimer.fire = func() { p.cutRunning(s) }
	s.base = p.newTarget(s, id.Model, false)
	s.targets = []*target{s.base}
	p.slots[id] = s
	at, _ := slices.BinarySearchFunc(p.sortedSlots, id, compareSlots)
	p.sortedSlots = slices.Insert(p.sortedSlots, at, s)
	p.findPinned(s)
	return s
}

func (p *Part) removeSlot(s *slot) {
	p.timers.stop(&s.cutTimer)
	for _, t := range s.targets {
		p.stopTarget(t)
	}
	delete(p.slots, s.id)
	at, _ := slices.BinarySearchFunc(p.sortedSlots, s.id, compareSlots)
	p.sortedSlots = slices.Delete(p.sortedSlots, at, at+1)
	p.statusDirty = true
}

func (p *Part) newTarget(s *slot, name string, adapter bool) *target {
	t := &target{slot: s, name: name, adapter: adapter, parked: heap[*job]{
		less: jobBefore,
		pos:  func(j *job) *int { return &j.parkPos },
	}}
	t.retryTimer.fire = func() { p.markDirty(s) }
	t.idleTimer.fire = func() { p.idleTimerFired(t) }
	t.drainTimer.fire = func() { p.cutTarget(t) }
	return t
}

func (p *Part) stopTarget(t *target) {
	p.timers.stop(&t.retryTimer)
	p.timers.stop(&t.idleTimer)
	p.timers.stop(&t.drainTimer)
}

// adapterTarget returns the target of an adapter at a slot and creates it if
// necessary.
func (p *Part) adapterTarget(s *slot, name string) *target {
	t := s.adapters[name]
	if t == nil {
		t = p.newTarget(s, name, true)
		s.adapters[name] = t
		at, _ := slices.BinarySearchFunc(s.targets[1:], name, compareTargets)
		s.targets = slices.Insert(s.targets, at+1, t)
	}
	return t
}

func compareTargets(t *target, name string) int { return cmp.Compare(t.name, name) }

// dropUnusedTargets removes unused adapter targets, so that the state of a slot
// does not grow with all adapters that were ever requested on it.
func (p *Part) dropUnusedTargets(s *slot) {
	s.targets = slices.DeleteFunc(s.targets, func(t *target) bool {
		used := t.item != nil || t.busy() || t.wanted || t.retryAt > p.now
		if !t.adapter || used || slices.Contains(s.pinned, t.name) {
			return false
		}
		p.stopTarget(t)
		delete(s.adapters, t.name)
		return true
	})
}

// markDirty queues a slot for reconciliation at the end of the step.
func (p *Part) markDirty(s *slot) {
	if !s.dirty {
		s.dirty = true
		p.dirty = append(p.dirty, s)
	}
}

func (p *Part) markAllDirty() {
	for _, s := range p.sortedSlots {
		p.markDirty(s)
	}
	if p.service != nil {
		p.markDirty(p.service)
	}
}

// markStarvedDirty queues the slots whose loads wait for memory.
func (p *Part) markStarvedDirty() {
	for _, s := range p.sortedSlots {
		if s.starved {
			p.markDirty(s)
		}
	}
}

// drainLimit returns until when running requests may delay an unload:
// core.Never unless the slot has to be drained.
func (p *Part) drainLimit(s *slot) core.Time {
	until := core.Never
	if p.leaving {
		until = min(until, p.cutAt)
	}
	if s.service {
		return until
	}
	if !s.owned {
		until = min(until, p.now.Add(p.cfg.Limits.ReleaseDrain))
	}
	if p.tenureEnding() {
		until = min(until, max(p.tenureCut(), p.now))
	}
	return until
}

// idleIn predicts the time until a slot is idle. It returns false if requests
// wait for the slot, because its idle time can't be predicted then.
func (p *Part) idleIn(s *slot) (time.Duration, bool) {
	if s.waiting != [classCount]int{} {
		return 0, false
	}
	var longest time.Duration
	for _, j := range s.running {
		left := j.startedAt.Add(s.runTime[j.class].value()).Sub(p.now)
		if left <= 0 {
			// The run already takes longer than the average: assume that it
			// takes as long again as so far, at most until its deadline.
			left = min(p.now.Sub(j.startedAt), j.deadline.Sub(p.now))
		}
		longest = max(longest, left)
	}
	return longest, true
}
