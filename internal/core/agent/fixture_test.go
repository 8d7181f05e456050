package agent

import (
	"slices"
	"time"

	"pgregory.net/rapid"

	"nutmeglane.example/nutmeglane/internal/api"
	"nutmeglane.example/nutmeglane/internal/code"
	"nutmeglane.example/nutmeglane/internal/core"
)

// fakeOrder is an order that is in flight to the fake engine or being executed.
type fakeOrder struct {
	core.Order
	arrived, answered bool
	incarnation       core.Incarnation
}

// fixture runs one agent with a fake engine and the slot table of a steward,
// with random faults: pauses, late and stale Grants, lost answers, late orders,
// outdated inventories, restarts of the engine and of the agent, version
// changes. The engine ignores fencing numbers, so that only the checks of the
// agent protect it.
type fixture struct {
	t        *rapid.T
	part     *Part
	now      core.Time
	inc      core.Incarnation
	snapshot *api.Snapshot

	held map[string]core.LoadedItem
	role core.EngineRole
	// reportedRole is the engine role that was last reported to this
	// incarnation of the agent.
	reportedRole       core.EngineRole
	orders             []*fakeOrder
	inventoryRequested bool
	itemsAtRequest     []core.LoadedItem // the state of the engine when the inventory was requested

	table         map[string]core.Slot
	sentAt        map[uint64]core.Time // sending times of the reports of this incarnation
	reports       uint64
	delayedGrants []core.Grant // written but not delivered
	// The expected rights of the agent, by which every order is checked.
	newest   uint64
	until    core.Time
	owned    map[string]uint64
	released map[string]uint64
	layout   layoutOracle

	requests uint64
	// deadlines of the attempts: a message of an attempt arrives no later than
	// pastMargin after its deadline (see past).
	deadlines map[uint64]core.Time
	running   []core.AttemptID
	ran       map[core.AttemptID]bool
	refused   map[core.AttemptID]bool
}

const fakeMemory = 1000

func newFixture(t *rapid.T) *fixture {
	w := &fixture{
		t: t, held: map[string]core.LoadedItem{}, table: map[string]core.Slot{},
		snapshot: emptySnapshot(),
	}
	for name, memory := range map[string]int64{"a": 400, "b": 500, "c": 600} {
		w.snapshot.Models[name] = &api.Model{Spec: api.ModelSpec{
			Version: "v1", MemoryMiB: memory, Replicas: api.ReplicaLimits{Max: 1}, MaxConcurrent: 2,
		}}
		w.table[name] = core.Slot{ID: core.SlotID{Model: name}, Generation: 1, AdapterMax: 1}
	}
	w.snapshot.Adapters["x"] = &api.Adapter{
		Metadata: api.Metadata{Name: "x"},
		Spec:     api.AdapterSpec{Base: "a", Version: "v1", MemoryMiB: 150, Replicas: api.ReplicaLimits{Max: 1}},
	}
	w.restartAgent()
	w.takeInventory()
	w.advance(testTimings().OrderValidity + 1)
	w.takeInventory()
	w.deliver(w.writeGrant())
	return w
}

// restartAgent replaces the agent. Its pending orders stay pending; the steward
// moves its slots to the new incarnation. Answers about an attempt are valid
// for one incarnation only, so the record of attempts is reset.
func (w *fixture) restartAgent() {
	w.inc++
	w.deadlines = map[uint64]core.Time{}
	w.requests, w.ran, w.refused = 0, map[core.AttemptID]bool{}, map[core.AttemptID]bool{}
	w.sentAt, w.owned, w.released = map[uint64]core.Time{}, map[string]uint64{}, map[string]uint64{}
	w.layout = newLayoutOracle()
	w.newest, w.reports, w.until, w.inventoryRequested, w.delayedGrants, w.running = 0, 0, 0, false, nil, nil
	w.reportedRole = core.EngineServing
	w.part = New(Config{
		Host: "h", Incarnation: w.inc, Kind: core.BackendEngine, Timings: testTimings(),
		Idle: NewFixedTTL(15 * time.Second), Limits: Limits{ReleaseDrain: 5 * time.Second},
	})
	for name, slot := range w.table {
		slot.Owner, slot.Incarnation, slot.State = "h", w.inc, core.SlotOwned
		slot.Generation++
		w.table[name] = slot
	}
	w.step(core.ConfigInForce{Snapshot: w.snapshot})
	w.connect()
}

func (w *fixture) connect() {
	w.step(core.PeerUp{Peer: "e"})
	w.step(core.Received{From: "e", Message: core.Hello{Host: "e", Steward: true}})
}

func (w *fixture) step(event core.Event) {
	for _, effect := range w.part.Step(w.now, event) {
		switch e := effect.(type) {
		case core.TakeInventory:
			w.inventoryRequested, w.itemsAtRequest = true, w.items()
		case core.Order:
			w.checkOrder(e)
			w.orders = append(w.orders, &fakeOrder{Order: e, incarnation: w.inc})
		case core.Run:
			if w.ran[e.Attempt] || w.refused[e.Attempt] {
				w.t.Fatalf("attempt %v runs twice or after a refusal", e.Attempt)
			}
			w.ran[e.Attempt] = true
			w.running = append(w.running, e.Attempt)
		case core.Send:
			w.sent(e.Message)
		}
	}
}

// checkOrder checks each load order against the expected rights of the agent.
func (w *fixture) checkOrder(o core.Order) {
	if o.Kind == core.OrderLoad && w.reportedRole == core.EngineDraining {
		w.t.Fatalf("load of %s while the engine is reported as draining", o.Key)
	}
	if o.Kind != core.OrderLoad {
		return
	}
	key := o.Key
	if o.Base != "" {
		key = o.Base
	}
	name, _ := splitKey(key)
	switch {
	case w.now > w.until || o.NotAfter > w.until:
		w.t.Fatalf("load of %s at %s after the end of the tenure at %s", o.Key, time.Duration(w.now), time.Duration(w.until))
	case w.owned[name] != o.Fence:
		w.t.Fatalf("load of %s under generation %d, owned is %d", o.Key, o.Fence, w.owned[name])
	case o.Fence <= w.released[name]:
		w.t.Fatalf("load of %s under released generation %d", o.Key, o.Fence)
	}
	if o.Base != "" {
		w.checkAdapterLoad(name)
	}
}

func (w *fixture) sent(message core.Message) {
	switch m := message.(type) {
	case core.Report:
		w.reports = m.Sequence
		w.sentAt[m.Sequence] = w.now
		for _, slot := range m.Released {
			w.checkReleased(slot)
		}
		for _, slot := range m.Cleared {
			w.checkCleared(slot)
		}
	case core.Rejected:
		if w.ran[m.Attempt] {
			w.t.Fatalf("attempt %v refused as not run after it ran", m.Attempt)
		}
		w.refused[m.Attempt] = true
	case core.NotStarted:
		if w.ran[m.Attempt] {
			w.t.Fatalf("attempt %v answered NotStarted after it ran", m.Attempt)
		}
		w.refused[m.Attempt] = true
	}
}

// checkReleased checks that the engine holds nothing of a released slot, and
// assigns the slot to the agent again at the next generation.
func (w *fixture) checkReleased(slot core.Slot) {
	name := slot.ID.Model
	if w.released[name] >= slot.Generation {
		return
	}
	w.released[name] = slot.Generation
	for key, li := range w.held {
		if li.Base != "" {
			key = li.Base
		}
		if held, _ := splitKey(key); held == name {
			w.t.Fatalf("%s released but %s is held", name, key)
		}
	}
	if current := w.table[name]; current.Generation == slot.Generation {
		current.Generation, current.State = current.Generation+1, core.SlotOwned
		w.table[name] = current
	}
}

func (w *fixture) items() []core.LoadedItem {
	var items []core.LoadedItem
	for _, key := range core.SortedKeys(w.held) {
		items = append(items, w.held[key])
	}
	return items
}

// arrive delivers an order to the engine. A load takes its memory from here on.
func (w *fixture) arrive(o *fakeOrder) {
	o.arrived = true
	if o.Kind == core.OrderRole {
		w.role = o.Role
		return
	}
	li, held := w.held[o.Key]
	if o.Kind == core.OrderUnload {
		li.Busy = true
		if held {
			w.held[o.Key] = li
		}
		return
	}
	if !held {
		w.held[o.Key] = core.LoadedItem{Key: o.Key, Base: o.Base, MemoryMiB: o.MemoryMiB, Fence: o.Fence, Busy: true}
	}
	var sum int64
	for _, li := range w.held {
		sum += li.MemoryMiB
	}
	if sum > fakeMemory {
		w.t.Fatalf("engine memory overcommitted: %d of %d by %s", sum, fakeMemory, o.Key)
	}
}

// execute executes an order successfully.
func (w *fixture) execute(o *fakeOrder) {
	if !o.arrived {
		w.arrive(o)
	}
	w.finish(o, true, code.OK)
}

// finish ends the execution of an order, with or without effect, and answers
// it.
func (w *fixture) finish(o *fakeOrder, applied bool, answer code.Code) {
	w.orders = slices.DeleteFunc(w.orders, func(other *fakeOrder) bool { return other == o })
	if li, ok := w.held[o.Key]; ok && o.arrived && !w.loading(o.Key) {
		li.Busy = false
		w.held[o.Key] = li
		if applied == (o.Kind == core.OrderUnload) {
			delete(w.held, o.Key)
		}
	}
	w.answer(o, answer)
}

// loading reports whether a load of the key is still in progress; an unload
// that ends before it has no effect.
func (w *fixture) loading(key string) bool {
	return slices.ContainsFunc(w.orders, func(o *fakeOrder) bool {
		return o.arrived && o.Key == key && o.Kind == core.OrderLoad
	})
}

func (w *fixture) answer(o *fakeOrder, answer code.Code) {
	if o.answered || o.incarnation != w.inc {
		return
	}
	o.answered = true
	if o.Kind == core.OrderRole && answer == code.OK {
		w.reportedRole = o.Role
	}
	w.step(core.OrderDone{Order: o.ID, Code: answer})
}

// expire drops the orders that were not sent within their validity.
func (w *fixture) expire() {
	for _, o := range slices.Clone(w.orders) {
		if !o.arrived && w.now > o.NotAfter {
			w.finish(o, false, code.OrderExpired)
		}
	}
}

func (w *fixture) advance(d time.Duration) {
	until := w.now.Add(d)
	for ticks := 0; w.part.Next() <= until; ticks++ {
		if ticks > 10000 {
			w.t.Fatalf("the agent requests more than 10000 ticks up to %s", time.Duration(w.now))
		}
		w.now = max(w.now, w.part.Next())
		w.expire()
		w.step(core.Tick{})
	}
	w.now = until
	w.expire()
}

// deliver passes a Grant to the agent and records the rights that it gives.
func (w *fixture) deliver(g core.Grant) {
	if sent, ok := w.sentAt[g.Sequence]; ok && g.Sequence >= w.newest {
		w.newest, w.until = g.Sequence, sent.Add(g.Tenure)
		clear(w.owned)
		for _, slot := range g.Slots {
			w.layout.grant(slot)
			if slot.State == core.SlotOwned {
				w.owned[slot.ID.Model] = slot.Generation
			}
		}
	}
	w.step(core.Received{From: "e", Message: g})
}
