package entry

import (
	"testing"

	"nutmeglane.example/nutmeglane/internal/core"
)

// Guards against a model that is reported to have an owner while a call to it is refused
// with NoBackend. The steward in the same process had written the slot table and reported
// it to operators; the routing part got it from the watch up to 200 ms later. Both must
// use a written table from the same step on.
func TestWrittenSlotTableTakesEffectAtOnce(t *testing.T) {
	h := &fixture{t: t, manager: newFixture(t).manager}
	h.part = New(Config{Host: "e0", Incarnation: 7, Zone: "z0", Seed: 1, Timings: core.DefaultTimings()}, h.manager)
	h.step(core.ConfigInForce{Snapshot: testSnapshot()})
	h.step(h.value(core.KeyRosterPrefix+"z0", testRoster("", "")))
	written := h.value(core.KeySlotsPrefix+"0", testTable(3))
	h.step(core.KVResult{Tag: core.TagSteward + 1, Key: written.Key, Value: written.Value, Revision: written.Revision})

	for i := range 3 {
		if replica := h.part.replica(core.SlotID{Model: "m", Index: uint16(i)}); !replica.usable() {
			t.Errorf("slot %d is not routed to: %+v", i, replica)
		}
	}
}

// The result of a KV call may arrive after the watch has delivered a newer table. It must
// not restore the older one, whose owners may be gone.
func TestLateKVResultDoesNotRestoreOldTable(t *testing.T) {
	h := newFixture(t)
	old := h.value(core.KeySlotsPrefix+"0", core.SlotTable{})
	h.step(h.value(core.KeySlotsPrefix+"0", testTable(3)))
	h.step(core.KVResult{Tag: core.TagSteward + 1, Key: old.Key, Value: old.Value, Revision: old.Revision})
	if replica := h.part.replica(core.SlotID{Model: "m"}); !replica.usable() {
		t.Errorf("the old table was restored: %+v", replica)
	}
}
