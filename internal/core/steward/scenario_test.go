package steward

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"nutmeglane.example/nutmeglane/internal/core"
)

// TestScenarios runs the scripts of testdata. A command changes the fixture or
// advances the time; its output is what changed in slots, grants and stewards.
func TestScenarios(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		var w *fixture
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			if d.Cmd == "world" {
				w = scriptWorld(t, d)
			} else {
				for _, line := range strings.Split(d.Input, "\n") {
					w.command(t, strings.Fields(line))
				}
			}
			if w.violation != "" {
				t.Fatalf("%s: %s", d.Pos, w.violation)
			}
			log := w.log
			w.log = nil
			return strings.Join(log, "\n")
		})
	})
}

func scriptWorld(t *testing.T, d *datadriven.TestData) *fixture {
	var entries, max int
	var model string
	d.ScanArgs(t, "entries", &entries)
	d.ScanArgs(t, "model", &model, &max)
	w := newFixture(testTimings(), entries)
	for _, line := range strings.Fields(d.Input) {
		id, zone, _ := strings.Cut(line, "/")
		w.addAgent(core.HostID(id), core.Zone(zone))
	}
	w.sendList()
	w.configure(map[string]int{model: max})
	return w
}

func (w *fixture) command(t *testing.T, words []string) {
	what, arg := words[0], words[1]
	switch what {
	case "run":
		span, err := time.ParseDuration(arg)
		if err != nil {
			t.Fatal(err)
		}
		w.run(span)
	case "limit":
		var max int
		_, _ = fmt.Sscan(words[2], &max)
		w.configure(map[string]int{arg: max})
	case "models":
		var count int
		_, _ = fmt.Sscan(words[2], &count)
		w.configureMany(arg, count)
	case "add":
		id, zone, _ := strings.Cut(arg, "/")
		w.addAgent(core.HostID(id), core.Zone(zone)).idle = true
		w.sendList()
	case "call", "crowd", "ease":
		w.agents[core.HostID(arg)].disturbSlot(what, core.SlotID{Model: words[2]})
	case "kv":
		w.setKV(arg == "up")
	case "lose":
		_, _ = fmt.Sscan(arg, &w.kv.lose)
	case "kill", "replace", "reclaim", "leaving", "cut", "join", "halt", "continue", "mute", "unmute", "idle", "busy":
		w.disturb(what, w.agents[core.HostID(arg)], 0)
	default:
		for _, e := range w.entries {
			if string(e.id) == arg {
				e.disturb(what)
			}
		}
	}
}

// configureMany declares models of one replica each.
func (w *fixture) configureMany(prefix string, count int) {
	wanted := map[string]int{}
	for i := range count {
		wanted[fmt.Sprint(prefix, i)] = 1
	}
	w.configure(wanted)
}

// disturbSlot simulates requests for a slot at an idle agent: it loads the
// model, or refuses them for lack of memory.
func (a *agent) disturbSlot(what string, id core.SlotID) {
	switch what {
	case "call":
		a.called[id] = true
	case "crowd":
		a.crowded = append(a.crowded, id)
	case "ease":
		a.crowded = nil
	}
}

func (w *fixture) setKV(up bool) {
	if w.kv.down == up {
		w.kv.down = !up
		w.toAll(core.KVReachable{Up: up})
	}
}

// disturb applies a fault or a change to an agent; its peers notice the end of a
// connection after a delay.
func (w *fixture) disturb(what string, a *agent, notice time.Duration) {
	switch what {
	case "kill":
		a.alive = false
		w.end(a, notice)
	case "replace":
		if !slices.Contains(w.list, a.host) {
			return // a reclaimed host runs nothing
		}
		w.end(a, notice)
		w.nextInc++
		a.restart(w.now, w.nextInc)
	case "reclaim":
		a.alive = false
		clear(a.engine.loaded)
		clear(a.engine.adapters)
		w.end(a, notice)
		w.unlist(a.host.ID)
	case "leaving":
		a.leaving = true
		a.reportAt = w.now
	case "cut":
		a.cut = true
		w.end(a, notice)
	case "join":
		a.cut = false
	case "halt":
		a.paused = true
		w.end(a, notice)
	case "continue":
		a.resume(w.now)
	case "idle", "busy":
		a.idle = what == "idle"
	case "mute", "unmute":
		a.engine.unreachable = what == "mute"
	}
}

func (e *entry) disturb(what string) {
	switch what {
	case "pause", "freeze", "wake":
		e.paused, e.frozen = what != "wake", what == "freeze"
	case "stall", "unstall":
		e.stalled = what == "stall"
	case "lag", "unlag":
		e.lagging = what == "lag"
	}
}
