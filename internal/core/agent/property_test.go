package agent

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"nutmeglane.example/nutmeglane/internal/api"
	"nutmeglane.example/nutmeglane/internal/code"
	"nutmeglane.example/nutmeglane/internal/core"
)

func (w *fixture) pick(label string, n int) int { return rapid.IntRange(0, n-1).Draw(w.t, label) }

func (w *fixture) pickOrder() *fakeOrder {
	if len(w.orders) == 0 {
		w.t.Skip("no order under way")
	}
	return w.orders[w.pick("order", len(w.orders))]
}

func (w *fixture) model() string { return []string{"a", "b", "c"}[w.pick("model", 3)] }

func (w *fixture) request() {
	w.requests++
	id := w.requests
	if old := uint64(1 + w.pick("id", int(4*w.requests))); old < id && w.deadlines[old].Add(pastMargin) > w.now {
		id = old // a duplicate
	}
	name := w.model()
	m := core.Start{
		Attempt: attemptOf(id, 1), Slot: core.SlotID{Model: name},
		Target: core.Target{Model: name}, Window: 4,
		Remaining: time.Duration(w.pick("seconds", 40)) * time.Second,
	}
	if id == w.requests {
		w.deadlines[id] = w.now.Add(m.Remaining)
	}
	if name == "a" && w.pick("adapter", 2) == 1 {
		m.Target.Adapter = "x"
	}
	w.step(core.Received{From: "e", Message: m})
}

func (w *fixture) endRun() {
	if len(w.running) == 0 {
		w.t.Skip("nothing runs")
	}
	i := w.pick("run", len(w.running))
	a := w.running[i]
	w.running = slices.Delete(w.running, i, i+1)
	result := []code.Code{code.OK, code.BackendFailed, code.Cancelled, code.EngineNotLoaded}[w.pick("result", 4)]
	if result == code.EngineNotLoaded {
		delete(w.ran, a)
	}
	w.step(core.RunProgress{Attempt: a, Kind: core.FrameEnd, Code: result})
}

func (w *fixture) restartEngine() {
	clear(w.held)
	w.role = core.EngineServing
	for _, o := range slices.Clone(w.orders) {
		if o.arrived {
			w.finish(o, false, code.EngineFailed)
		}
	}
}

func (w *fixture) changeVersion() {
	next := *w.snapshot
	next.Revision++
	next.Models = map[string]*api.Model{}
	for name, model := range w.snapshot.Models {
		next.Models[name] = model
	}
	name := w.model()
	model := *next.Models[name]
	model.Spec.Version += "'"
	next.Models[name] = &model
	w.snapshot = &next
	w.step(core.ConfigInForce{Snapshot: w.snapshot})
}

func (w *fixture) takeInventory() {
	if !w.inventoryRequested {
		w.t.Skip("not asked")
	}
	items := w.itemsAtRequest
	if w.pick("fresh", 2) == 1 {
		items = w.items()
	}
	w.inventoryRequested = false
	w.reportedRole = w.role
	w.step(core.Inventory{MemoryMiB: fakeMemory, Items: items, Role: w.role})
}

func (w *fixture) writeGrant() core.Grant {
	g := core.Grant{Sequence: w.reports, Incarnation: w.inc, Tenure: time.Minute}
	for _, name := range core.SortedKeys(w.table) {
		g.Slots = append(g.Slots, w.table[name])
	}
	return g
}

func (w *fixture) actions() map[string]func(*rapid.T) {
	do := func(f func()) func(*rapid.T) { return func(*rapid.T) { f() } }
	return map[string]func(*rapid.T){
		"tick":    do(func() { w.advance(time.Duration(w.pick("ms", 4000)) * time.Millisecond) }),
		"pause":   do(func() { w.now = w.now.Add(time.Duration(w.pick("s", 80)) * time.Second); w.expire() }),
		"grant":   do(func() { w.deliver(w.writeGrant()) }),
		"grant2":  do(func() { w.advance(5 * time.Second); w.deliver(w.writeGrant()) }),
		"write":   do(func() { w.delayedGrants = append(w.delayedGrants, w.writeGrant()) }),
		"request": do(w.request), "request2": do(w.request), "request3": do(w.request),
		"late": do(func() {
			if len(w.delayedGrants) > 0 {
				w.deliver(w.delayedGrants[0])
				w.delayedGrants = w.delayedGrants[1:]
			}
		}),
		"release": do(func() {
			name := w.model()
			slot := w.table[name]
			slot.State = core.SlotReleasing
			w.table[name] = slot
		}),
		"arrive": do(func() {
			if o := w.pickOrder(); !o.arrived {
				w.arrive(o)
			}
		}),
		"fail": do(func() { w.finish(w.pickOrder(), false, code.EngineFailed) }),
		"lost": do(func() { w.answer(w.pickOrder(), code.EngineUnknown) }),
		"reconnect": do(func() {
			w.step(core.PeerDown{Peer: "e"})
			w.connect()
		}),
		"inventory": do(w.takeInventory), "inventory2": do(w.takeInventory),
		"end": do(w.endRun), "engine restart": do(w.restartEngine),
		"agent restart": do(func() {
			if w.pick("sure", 8) == 0 {
				w.restartAgent()
			}
		}),
		"stop": do(func() {
			if w.pick("sure", 16) == 0 {
				w.step(core.Stop{Limit: 20 * time.Second})
			}
		}),
		"version": do(w.changeVersion),
		"layout":  do(w.changeLayout),
		"work2":   do(func() { w.execute(w.pickOrder()) }),
		"work":    do(func() { w.execute(w.pickOrder()) }),
		"": func(*rapid.T) {
			if w.part.reservedMiB > max(w.part.totalMiB, 0) {
				w.t.Fatalf("reserved %d of %d", w.part.reservedMiB, w.part.totalMiB)
			}
		},
	}
}

// TestRandomFaults combines pauses of the agent, restarts of the engine and the
// agent, lost order answers and late Grants at random. The engine must never
// run out of accelerator memory, no load may be ordered outside tenure and
// ownership, and no request may run twice or after it was refused as not run.
func TestRandomFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		t.Repeat(newFixture(t).actions())
	})
}
