package entry

import (
	"testing"

	"nutmeglane.example/nutmeglane/internal/core"
)

// A new user starts the system, is told that a model has an owner, calls it and
// is refused with NoBackend. The steward in the same process had written the
// slot table and told operators of it; the routing part heard of it from the
// watch, up to 200 ms later. Both must know a written table from the same step.
func TestWrittenSlotTableIsRoutedByAtOnce(t *testing.T) {
	w := &world{t: t, manager: newWorld(t).manager}
	w.part = New(Config{Host: "e0", Incarnation: 7, Zone: "z0", Seed: 1, Timings: core.DefaultTimings()}, w.manager)
	w.step(core.ConfigInForce{Snapshot: testSnapshot()})
	w.step(w.value(core.KeyRosterPrefix+"z0", testRoster("", "")))
	written := w.value(core.KeySlotsPrefix+"0", testTable(3))
	w.step(core.KVResult{Tag: core.TagSteward + 1, Key: written.Key, Value: written.Value, Revision: written.Revision})

	for i := range 3 {
		if place := w.part.place(core.SlotID{Model: "m", Index: uint16(i)}); !place.usable() {
			t.Errorf("slot %d is not routed to: %+v", i, place)
		}
	}
}

// The answer to a call may come after the watch has told of a newer table. It
// must not bring the older one back, whose owners may be gone.
func TestLateResultBringsNoOldTableBack(t *testing.T) {
	w := newWorld(t)
	old := w.value(core.KeySlotsPrefix+"0", core.SlotTable{})
	w.step(w.value(core.KeySlotsPrefix+"0", testTable(3)))
	w.step(core.KVResult{Tag: core.TagSteward + 1, Key: old.Key, Value: old.Value, Revision: old.Revision})
	if place := w.part.place(core.SlotID{Model: "m"}); !place.usable() {
		t.Errorf("the old table is back: %+v", place)
	}
}
