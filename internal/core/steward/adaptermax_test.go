package steward

import (
	"fmt"
	"testing"
	"time"

	"nutmeglane.example/nutmeglane/internal/core"
)

// adapterTime is how long a fake engine takes to unload a slot's adapters.
const adapterTime = 300 * time.Millisecond

// newestAdapterMax returns a granted slot with the newest AdapterMax that the agent
// has received, whatever the order of the Grants.
func newestAdapterMax(known, granted core.Slot) core.Slot {
	if known.Generation == granted.Generation && known.AdapterEpoch > granted.AdapterEpoch {
		granted.AdapterMax, granted.AdapterEpoch = known.AdapterMax, known.AdapterEpoch
	}
	return granted
}

// orderAdapters makes the engine load adapters on each slot that allows them and whose
// base it has loaded, and unload those that were loaded over another count.
func (a *agent) orderAdapters(now core.Time) {
	for _, id := range sortedIDs(a.engine.adapters) {
		s, held := a.slots[id]
		off, asked := a.adaptersOff[id]
		switch {
		case !a.engine.loaded[id]:
			delete(a.engine.adapters, id) // unloaded with their base
		case a.revision == 0, held && s.AdapterMax == a.engine.adapters[id]:
			delete(a.adaptersOff, id)
		case !asked:
			a.adaptersOff[id] = now.Add(adapterTime)
		case now >= off:
			delete(a.engine.adapters, id)
			delete(a.adaptersOff, id)
			a.reportAt = now
		}
	}
	for _, s := range sortedSlots(a.slots) {
		_, loaded := a.engine.adapters[s.ID]
		if a.engine.loaded[s.ID] && !loaded && s.State == core.SlotOwned && s.AdapterMax != 0 && a.holds(now, s.ID) {
			a.engine.adapters[s.ID] = s.AdapterMax
		}
	}
}

func sortedIDs(adapters map[core.SlotID]uint16) []core.SlotID {
	slots := map[core.SlotID]core.Slot{}
	for id := range adapters {
		slots[id] = core.Slot{ID: id}
	}
	var ids []core.SlotID
	for _, s := range sortedSlots(slots) {
		ids = append(ids, s.ID)
	}
	return ids
}

// cleared returns the slots on which adapters are neither loaded nor allowed.
func (a *agent) cleared(now core.Time) []core.Slot {
	var cleared []core.Slot
	for _, s := range sortedSlots(a.slots) {
		if _, loaded := a.engine.adapters[s.ID]; s.AdapterMax == 0 && !loaded && now.Sub(a.startedAt) >= inventoryTime {
			cleared = append(cleared, s)
		}
	}
	return cleared
}

// checkAdapters checks that adapters of a model are never loaded over two counts,
// whether or not the agents of their engines run.
func (w *fixture) checkAdapters() {
	counts, at := map[string]uint16{}, map[string]core.HostID{}
	for _, host := range core.SortedKeys(w.agents) {
		adapters := w.agents[host].engine.adapters
		for _, id := range sortedIDs(adapters) {
			if other, known := counts[id.Model]; known && other != adapters[id] && w.violation == "" {
				w.violation = fmt.Sprintf("at %v: adapters of %s over %d at %s and over %d at %s",
					time.Duration(w.now), id.Model, other, at[id.Model], adapters[id], host)
			}
			counts[id.Model], at[id.Model] = adapters[id], host
		}
	}
}

// checkLayout checks that in one table all slots of a model that allow adapters
// have the same count.
func (w *fixture) checkLayout(table core.SlotTable) {
	counts := map[string]uint16{}
	for _, s := range table.Slots {
		if other := counts[s.ID.Model]; s.AdapterMax != 0 && other != 0 && other != s.AdapterMax {
			w.violation = fmt.Sprintf("adapters of %s over %d and %d in one table", s.ID.Model, other, s.AdapterMax)
		}
		counts[s.ID.Model] = max(counts[s.ID.Model], s.AdapterMax)
	}
}

// An idle agent, which loads nothing until it is called, is killed, its engine is asked
// to evict what it may hold, and the limit is lowered. This guards against a fault of the
// fake engine found by TestFaults: it loaded adapters without their base, which no engine
// does. The eviction skipped them, as no base was loaded, and adapters seemed to be loaded
// over two counts.
func TestIdleAgentLoadsNoAdapters(t *testing.T) {
	w := newFixture(testTimings(), 1)
	for i := range 4 {
		w.addAgent(core.HostID(fmt.Sprintf("a%d", i)), core.Zone(fmt.Sprintf("z%d", i%2)))
	}
	w.sendList()
	w.configure(map[string]int{"m": 2, "n": 3})
	w.disturb("idle", w.agents["a1"], 0)
	w.run(6 * time.Second)
	if adapters := w.agents["a1"].engine.adapters; len(adapters) > 0 {
		t.Errorf("an engine without a model has adapters of %v", sortedIDs(adapters))
	}
	w.disturb("kill", w.agents["a1"], 0)
	w.run(w.timings.Tenure + 10*time.Second)
	w.configure(map[string]int{"m": 1, "n": 3})
	w.run(10 * time.Second)
	if w.violation != "" {
		t.Error(w.violation)
	}
}
