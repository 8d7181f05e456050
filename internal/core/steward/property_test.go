package steward

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"nutmeglane.example/nutmeglane/internal/core"
)

// TestFaults generates sequences of faults for three stewards and four agents.
// After each step of time, no slot may be held twice or loaded at two engines,
// and no generation may decrease. An engine keeps what it holds while its agent is
// paused or dead. After the faults end, every slot has a live owner that may load it.
func TestFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newFixture(testTimings(), 3)
		w.quiet = true
		for i := range 4 {
			w.addAgent(core.HostID(fmt.Sprintf("a%d", i)), core.Zone(fmt.Sprintf("z%d", i%2)))
		}
		w.sendList()
		w.configure(map[string]int{"m": 2, "n": 3})
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			w.randomFault(t)
			w.run(time.Duration(rapid.SampledFrom([]int{50, 100, 400, 1500, 6000, 23000}).Draw(t, "ms")) * time.Millisecond)
			if w.violation != "" {
				t.Fatal(w.violation)
			}
		}
		w.endFaults()
		w.run(3*w.timings.Tenure + 30*time.Second)
		w.checkHealed(t)
	})
}

func (w *fixture) randomFault(t *rapid.T) {
	e := w.entries[rapid.IntRange(0, len(w.entries)-1).Draw(t, "entry")]
	id := core.HostID(fmt.Sprintf("a%d", rapid.IntRange(0, len(w.agents)-1).Draw(t, "agent")))
	notice := time.Duration(rapid.IntRange(0, 2).Draw(t, "notice")) * time.Second
	what := rapid.SampledFrom([]string{
		"pause", "freeze", "wake", "stall", "unstall", "lag", "unlag", "kv", "lose", "limit",
		"kill", "replace", "reclaim", "leaving", "cut", "join", "return", "halt", "continue", "mute", "unmute", "idle", "busy", "call", "crowd",
	}).Draw(t, "what")
	switch what {
	case "kv":
		w.setKV(w.kv.down)
	case "lose":
		w.kv.lose = 2
	case "call", "crowd":
		w.agents[id].disturbSlot(what, core.SlotID{Model: rapid.SampledFrom([]string{"m", "n"}).Draw(t, "model")})
	case "limit":
		w.configure(map[string]int{"m": rapid.IntRange(0, 3).Draw(t, "m"), "n": 3})
	case "return":
		w.bringBack(w.agents[id])
	case "pause", "freeze", "wake", "stall", "unstall", "lag", "unlag":
		e.disturb(what)
	default:
		w.disturb(what, w.agents[id], notice)
	}
}

// bringBack starts a process on a host that has none, and lists the host again.
func (w *fixture) bringBack(a *agent) {
	if a.alive {
		return
	}
	w.nextInc++
	a.restart(w.now, w.nextInc)
	for _, h := range w.list {
		if h.ID == a.host.ID {
			return
		}
	}
	w.list = append(w.list, a.host)
	w.sendList()
}

func (w *fixture) endFaults() {
	for _, e := range w.entries {
		e.paused, e.frozen, e.stalled, e.lagging = false, false, false, false
	}
	w.setKV(true)
	for _, id := range core.SortedKeys(w.agents) {
		a := w.agents[id]
		w.bringBack(a)
		w.disturb("unmute", a, 0)
		a.crowded = nil
		// An agent whose tenure ended is fenced permanently: its host starts a
		// new process, as the platform would.
		w.disturb("join", a, 0)
		w.disturb("replace", a, 0)
	}
}

// dump returns the state of the stewards and agents, for a failed check.
func (w *fixture) dump() string {
	text := ""
	for _, e := range w.entries {
		text += fmt.Sprintf("\n%s %+v", e.id, e.part.Dump())
	}
	for _, id := range core.SortedKeys(w.agents) {
		a := w.agents[id]
		text += fmt.Sprintf("\n%s.%d alive=%v tenure end %v: %s", id, a.incarnation, a.alive, a.tenureEnd, formatSlots(sortedSlots(a.slots)))
	}
	return text
}

func (w *fixture) checkHealed(t *rapid.T) {
	if w.violation != "" {
		t.Fatal(w.violation)
	}
	held := map[string]int{}
	for _, id := range core.SortedKeys(w.agents) {
		a := w.agents[id]
		for slot, s := range a.slots {
			if a.holds(w.now, slot) && s.State == core.SlotOwned {
				held[slot.Model]++
			}
		}
	}
	for slot, s := range w.last {
		if most := int(s.AdapterMax); slot.Index < uint16(w.wanted[slot.Model]) && most != w.wanted[slot.Model] {
			t.Fatalf("after the faults: adapters of %v over %d slots, %d decided; %s", slot, most, w.wanted[slot.Model], w.dump())
		}
	}
	for model, limit := range w.wanted {
		if held[model] != limit {
			t.Fatalf("after the faults: %d slots of %s held, %d decided; %s", held[model], model, limit, w.dump())
		}
	}
}
