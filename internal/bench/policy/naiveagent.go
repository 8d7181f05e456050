package policy

import (
	"slices"
	"time"

	"nutmeglane.example/nutmeglane/internal/code"
	"nutmeglane.example/nutmeglane/internal/core"
)

// naiveAgent loads the targets of requests, runs the requests in order of arrival
// and unloads targets after the fixed time to live.
type naiveAgent struct {
	view   *sharedView
	index  int
	items  map[string]*naiveItem
	orders uint64
	jobs   []*naiveJob
	out    []core.Effect
	next   core.Time
}

type naiveItem struct {
	sizes
	// ordered: a load was ordered; loaded: it is complete; unloading: an unload
	// was ordered.
	ordered, loaded, unloading bool
	order                      uint64
	running                    int
	last                       core.Time
}

type naiveJob struct {
	start    core.Start
	from     core.HostID
	deadline core.Time
	running  bool
}

// hasRoom reports whether the missing items of need fit into memory with all
// present ones. It reports false while one of them is being unloaded.
func (a *naiveAgent) hasRoom(need []sizes) bool {
	var sum int64
	for _, key := range core.SortedKeys(a.items) {
		sum += a.items[key].memory
	}
	for _, s := range need {
		if it := a.items[s.key]; it == nil {
			sum += s.memory
		} else if it.unloading {
			return false
		}
	}
	return sum <= hostMemoryMiB
}

// reserve reserves the memory for a target. The entry calls it when it sends a
// request, before the request arrives.
func (a *naiveAgent) reserve(now core.Time, t core.Target) {
	for _, s := range a.view.needs(t) {
		if a.items[s.key] == nil {
			a.items[s.key] = &naiveItem{sizes: s}
		}
	}
}

// Step implements harness.Stepper.
func (a *naiveAgent) Step(now core.Time, event core.Event) []core.Effect {
	a.out = nil
	switch ev := event.(type) {
	case core.Tick:
		a.next = core.Never
	case core.Received:
		if m, ok := ev.Message.(core.Start); ok {
			a.reserve(now, m.Target)
			a.jobs = append(a.jobs, &naiveJob{start: m, from: ev.From, deadline: now.Add(m.Remaining)})
		}
	case core.OrderDone:
		a.orderDone(now, ev)
	case core.RunProgress:
		a.progress(now, ev)
	}
	a.advanceAll(now)
	return a.out
}

func (a *naiveAgent) order(now core.Time, kind core.OrderKind, it *naiveItem) {
	a.orders++
	it.order, it.ordered = a.orders, true
	a.out = append(a.out, core.Order{
		ID: a.orders, Kind: kind, Key: it.key, Base: it.base, MemoryMiB: it.memory, CheckpointMiB: it.stored,
		Fence: 1, NotAfter: now.Add(time.Minute),
	})
}

func (a *naiveAgent) orderDone(now core.Time, done core.OrderDone) {
	for _, key := range core.SortedKeys(a.items) {
		it := a.items[key]
		if it.order != done.Order {
			continue
		}
		it.order = 0
		switch {
		case it.unloading && a.isWanted(key):
			a.items[key] = &naiveItem{sizes: it.sizes}
		case it.unloading:
			delete(a.items, key)
		case done.Code == code.OK:
			it.loaded, it.last = true, now
		default:
			it.ordered = false
		}
	}
}

func (a *naiveAgent) progress(now core.Time, ev core.RunProgress) {
	at := slices.IndexFunc(a.jobs, func(j *naiveJob) bool { return j.start.Attempt == ev.Attempt })
	if at < 0 {
		return
	}
	j := a.jobs[at]
	a.out = append(a.out, core.Send{To: j.from, Message: core.Frame{
		Attempt: ev.Attempt, Kind: ev.Kind, Count: ev.Count, Payload: ev.Payload, Code: ev.Code,
	}})
	if ev.Kind != core.FrameEnd {
		return
	}
	a.jobs = slices.Delete(a.jobs, at, at+1)
	for _, s := range a.view.needs(j.start.Target) {
		it := a.items[s.key]
		it.running, it.last = it.running-1, now
	}
}

// advanceAll starts loads and runs, ends requests at their deadline and unloads
// expired items.
func (a *naiveAgent) advanceAll(now core.Time) {
	for _, j := range slices.Clone(a.jobs) {
		a.advance(now, j)
	}
	for _, key := range core.SortedKeys(a.items) {
		a.expire(now, a.items[key])
	}
	if a.next != core.Never {
		a.out = append(a.out, core.Wake{At: a.next})
	}
}

func (a *naiveAgent) advance(now core.Time, j *naiveJob) {
	if j.running {
		return
	}
	if now >= j.deadline {
		a.jobs = slices.DeleteFunc(a.jobs, func(o *naiveJob) bool { return o == j })
		a.out = append(a.out, core.Send{To: j.from, Message: core.Frame{
			Attempt: j.start.Attempt, Kind: core.FrameEnd, Code: code.DeadlinePassed,
		}})
		return
	}
	a.next = min(a.next, j.deadline)
	need := a.view.needs(j.start.Target)
	for _, s := range need {
		it := a.items[s.key]
		if !it.ordered {
			a.order(now, core.OrderLoad, it)
		}
		if !it.loaded {
			return
		}
	}
	base := a.items[need[0].key]
	if base.running >= a.view.d.snapshot.Models[j.start.Target.Model].Spec.MaxConcurrent {
		return
	}
	j.running = true
	for _, s := range need {
		a.items[s.key].running++
	}
	a.out = append(a.out, core.Run{Attempt: j.start.Attempt, Target: j.start.Target, Key: need[len(need)-1].key, Body: j.start.Body})
}

// expire unloads an item that had no request for the time to live. A base model is
// not unloaded while it has adapters.
func (a *naiveAgent) expire(now core.Time, it *naiveItem) {
	if !it.loaded || it.unloading || it.running > 0 || a.isWanted(it.key) || a.hasAdapters(it.key) {
		return
	}
	if end := it.last.Add(a.view.ttl); now < end {
		a.next = min(a.next, end)
		return
	}
	it.loaded, it.unloading = false, true
	a.order(now, core.OrderUnload, it)
}

// isWanted reports whether a request that waits or runs needs the item.
func (a *naiveAgent) isWanted(key string) bool {
	return slices.ContainsFunc(a.jobs, func(j *naiveJob) bool {
		return slices.ContainsFunc(a.view.needs(j.start.Target), func(s sizes) bool { return s.key == key })
	})
}

// hasAdapters reports whether the host has an adapter of the item.
func (a *naiveAgent) hasAdapters(key string) bool {
	for _, other := range a.items { // any: order has no effect
		if other.base == key {
			return true
		}
	}
	return false
}

// Dump implements harness.Stepper.
func (a *naiveAgent) Dump() map[string]any { return nil }
