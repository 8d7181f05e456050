package steward

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"nutmeglane.example/nutmeglane/internal/code"
	"nutmeglane.example/nutmeglane/internal/core"
)

// fakeEngine is the engine of a host. Only orders change what it holds.
type fakeEngine struct {
	// loaded holds the slots for which something is loaded.
	loaded map[core.SlotID]bool
	// adapters holds the slots with adapters, and the count over which their
	// agent hashed them.
	adapters map[core.SlotID]uint16
	// unreachable is set if the engine can't be reached.
	unreachable bool
}

// orderLoads makes the engine load each slot that the agent holds, and unload
// everything else once the agent has received its slots.
func (a *agent) orderLoads(now core.Time) {
	for id := range a.engine.loaded {
		if !a.holds(now, id) && (a.revision != 0 || now.Sub(a.startedAt) >= inventoryTime) {
			delete(a.engine.loaded, id)
		}
	}
	for id := range a.slots {
		if a.holds(now, id) && (!a.idle || a.called[id]) {
			a.engine.loaded[id] = true
		}
	}
	a.orderAdapters(now)
}

// resume ends a pause: the process first handles the Grants that arrived meanwhile.
func (a *agent) resume(now core.Time) {
	a.paused = false
	for _, g := range a.waiting {
		a.take(now, g)
	}
	a.waiting = nil
}

// evict performs an Evict, unless the engine or its host can't be reached.
func (w *fixture) evict(e *entry, order core.Evict) {
	a, result := w.agents[order.Host], code.OK
	switch {
	case order.URL != "http://"+string(order.Host):
		w.violation = fmt.Sprintf("eviction at %q of %s", order.URL, order.Host)
	case a.cut || a.engine.unreachable:
		result = code.EngineUnknown
	default:
		for id := range a.engine.loaded {
			if id.Model == order.Model {
				delete(a.engine.loaded, id)
				delete(a.engine.adapters, id)
			}
		}
	}
	w.logf("%s evicts %s at %s fence=%d: %s", e.id, order.Model, order.Host, order.Fence, result)
	e.inbox = append(e.inbox, core.EvictDone{Tag: order.Tag, Code: result})
}

// checkLoaded checks that no slot is loaded at two engines, whether or not their agents run.
func (w *fixture) checkLoaded() {
	at := map[core.SlotID]core.HostID{}
	for _, host := range core.SortedKeys(w.agents) {
		for id := range w.agents[host].engine.loaded {
			if other, twice := at[id]; twice && w.violation == "" {
				w.violation = fmt.Sprintf("at %v: slot %v loaded at %s and %s", time.Duration(w.now), id, other, host)
			}
			at[id] = host
		}
	}
}

// An agent that is alone in its availability zone is paused past its tenure,
// fenced, and resumes. Its zone's roster is not written any more; without a Grant
// that reports the fence, its host would stay without slots permanently.
func TestFencedAgentAloneInZoneIsNotified(t *testing.T) {
	w, _, _ := guardFixture(t)
	a := w.agents["a1"]
	w.disturb("halt", a, 0)
	w.run(30 * time.Second)
	if !w.rosterEntry(t).Fenced {
		t.Fatal("not fenced")
	}
	w.log = nil
	w.disturb("continue", a, 0)
	w.run(20 * time.Second)
	if log := strings.Join(w.log, "\n"); !strings.Contains(log, "grants a1.101 tenure=0s") {
		t.Fatalf("no Grant without tenure:\n%s", log)
	}
}
