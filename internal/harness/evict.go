package harness

import (
	"cmp"
	"strings"
	"time"

	"nutmeglane.example/nutmeglane/internal/code"
	"nutmeglane.example/nutmeglane/internal/core"
)

// Time limit and poll interval of an eviction, as in package engine's Evictor.
const (
	evictLimit = 30 * time.Second
	evictPoll  = 200 * time.Millisecond
)

// EngineURL returns the base URL of the engine on a host.
func EngineURL(host core.HostID) string { return "http://" + string(host) }

// evict carries out an Evict effect of a process at the engine of another host.
// The engine executes it even when the agent on its host is paused or dead.
func (w *World) evict(p *Process, order core.Evict) {
	inc := p.Incarnation
	w.evictStep(p, order, w.now.Add(evictLimit), func(after time.Duration, c code.Code) {
		w.After(after, func() { p.postTo(inc, core.EvictDone{Tag: order.Tag, Code: c}) })
	})
}

// evictStep polls the engine and orders it to unload the checkpoints of the
// model, adapters first, until none is left or the limit has passed.
func (w *World) evictStep(p *Process, order core.Evict, limit core.Time, answer func(time.Duration, code.Code)) {
	e := w.engineAt(p, order.URL)
	if e == nil || w.now > limit {
		answer(dialTimeout, code.EngineUnknown)
		return
	}
	held, adapters, newest := e.heldOf(order.Model)
	switch {
	case len(held) == 0:
		answer(crossZoneDelay, code.OK)
		return
	case newest >= order.Fence:
		answer(crossZoneDelay, code.FencedOut)
		return
	}
	for _, it := range held {
		if !it.Busy && adapters == (it.Base != "") {
			e.order(core.Order{Kind: core.OrderUnload, Key: it.Key, Base: it.Base, Fence: order.Fence},
				func(time.Duration, core.Event) {})
		}
	}
	// The eviction stops when the process ends and continues after a pause.
	inc := p.Incarnation
	w.After(evictPoll, func() {
		if p.Incarnation == inc {
			p.do(func() { w.evictStep(p, order, limit, answer) })
		}
	})
}

// engineAt returns the engine at a URL, or nil if the process cannot reach it.
func (w *World) engineAt(p *Process, url string) *Engine {
	host := core.HostID(strings.TrimPrefix(url, "http://"))
	_, there := w.hosts[host]
	if !there || w.cuts[linkKey{p.Host.ID, host}] {
		return nil
	}
	return w.processes[host].Engine
}

// heldOf returns the model's checkpoints in the engine including its adapters,
// whether there are adapters, and the highest fencing number.
func (e *Engine) heldOf(model string) (held []*item, adapters bool, newest uint64) {
	for _, key := range core.SortedKeys(e.items) {
		it := e.items[key]
		if nameOf(cmp.Or(it.Base, it.Key)) == model {
			held, adapters, newest = append(held, it), adapters || it.Base != "", max(newest, it.Fence)
		}
	}
	return held, adapters, newest
}
