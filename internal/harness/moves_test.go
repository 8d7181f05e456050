package harness_test

import (
	"testing"
	"time"

	"nutmeglane.example/nutmeglane/internal/api"
	"nutmeglane.example/nutmeglane/internal/core"
	"nutmeglane.example/nutmeglane/internal/harness"
)

// The bounds after which every slot has a live owner again, in these timings:
// the fence comes at most Tenure + TenureMargin after the last renewal was
// seen and never within Grace of the KV service's return; then come two
// roster intervals for the write and the look that follows.
func ownerBound(t core.Timings) time.Duration {
	return max(t.Tenure+t.TenureMargin, t.Grace) + 2*t.RosterInterval
}

// ownedBy tells whether the slot is owned by a process other than the given.
func (f *fleet) movedFrom(model string, index uint16, from core.HostID) func() bool {
	return func() bool {
		s := f.slot(model, index)
		return s.State == core.SlotOwned && s.Owner != "" && s.Owner != from
	}
}

func (f *fleet) waitFor(d time.Duration, what string, condition func() bool) {
	f.t.Helper()
	if !f.RunUntil(d, condition) {
		f.t.Fatalf("not within %v: %s", d, what)
	}
	f.RunFor(500 * time.Millisecond) // watches and grants tell of it
}

// serves sends requests for a model to both entries and expects whole answers.
func (f *fleet) expectServed(target core.Target) {
	f.t.Helper()
	all := f.burst(target, 2)
	f.RunFor(40 * time.Second)
	f.expectAnswered(all...)
}

// A section chief's first call wakes an idle model. The owner decides to load
// and is paused right there, for longer than its tenure; the slot goes to
// another host, which loads. Then the old owner wakes with its order in hand.
// Sent, the order would load a second replica where one was decided.
func TestOwnerPausedBeforeItsOrder(t *testing.T) {
	for _, model := range []string{"m2", "m5"} {
		f := newFleet(t, 2, shortTimings())
		owner := f.owner(model, 0)
		owner.PauseAtOrder(3 * time.Minute)
		f.call("e0", modelTarget(model), 5)
		f.waitFor(ownerBound(f.timings)+f.timings.Tenure, "slot moved", f.movedFrom(model, 0, owner.Host.ID))
		f.expectServed(modelTarget(model))
		f.RunFor(3 * time.Minute) // the old owner wakes
		f.expectServed(modelTarget(model))
		f.finish()
	}
}

// The owner of a loaded model is paused for a while, shorter than its tenure.
// Callers of the model wait or are refused, but nobody else loads it; when the
// owner wakes, its replica serves on.
func TestOwnerPausedBriefly(t *testing.T) {
	f := newFleet(t, 3, shortTimings())
	f.expectServed(modelTarget("m2"))
	loads := f.Checker.Loads
	owner := f.owner("m2", 0)
	owner.Pause(25 * time.Second)
	f.burst(modelTarget("m2"), 3)
	f.RunFor(70 * time.Second)
	f.expectServed(modelTarget("m2"))
	if f.Checker.Loads != loads {
		t.Errorf("%d loads more", f.Checker.Loads-loads)
	}
	f.finish()
}

// The network parts a host from every entry while its model is loaded. Nobody
// can ask it or its engine anything, so its slot stays with it until the cut is
// over. It has unloaded at the end of its tenure, by its own clock, which here
// runs slow by 200 ppm; nobody can know that, and no second replica is loaded.
func TestIsolatedOwnerUnloads(t *testing.T) {
	f := newFleet(t, 4, shortTimings())
	f.expectServed(modelTarget("m2"))
	owner := f.owner("m2", 0)
	incarnation := owner.Incarnation
	owner.SetClock(1 - 200e-6)
	f.Cut("e0", owner.Host.ID, true)
	f.Cut("e1", owner.Host.ID, true)
	loads := f.Checker.LoadsByKey["m2@v1"]
	f.RunFor(ownerBound(f.timings))
	if owner.Engine.Loaded("m2@v1") {
		t.Error("the cut-off owner kept its replica")
	}
	f.RunFor(5 * time.Minute)
	if f.movedFrom("m2", 0, owner.Host.ID)() || f.Checker.LoadsByKey["m2@v1"] != loads {
		t.Error("the slot moved although nobody could ask the engine")
	}
	f.Cut("e0", owner.Host.ID, false)
	f.Cut("e1", owner.Host.ID, false)
	f.RunFor(time.Minute)
	if owner.Incarnation == incarnation {
		t.Error("the fenced process stays, so that its accelerators are lost for good")
	}
	f.expectServed(modelTarget("m2"))
	f.finish()
}

// The platform reclaims a host in the middle of a load. Its callers must not
// be left waiting for an answer that can't come, and the model comes up
// elsewhere once the lagging host list shows the loss.
func TestHostReclaimedDuringLoad(t *testing.T) {
	f := newFleet(t, 5, shortTimings())
	owner := f.owner("m5", 0)
	all := f.burst(modelTarget("m5"), 5)
	f.RunFor(2 * time.Second) // loading
	f.reclaim(owner.Host.ID)
	f.waitFor(40*time.Second, "slot moved", f.movedFrom("m5", 0, owner.Host.ID))
	f.RunFor(60 * time.Second)
	for _, o := range all {
		if o.Ended == 0 {
			t.Error("a caller got no answer")
		}
	}
	f.expectServed(modelTarget("m5"))
	f.finish()
}

// An agent is replaced (new release) while its engine stays up with a model
// loaded. The new process must find the replica and serve from it: a second
// load would overcommit the engine, an unload would cost a cold start.
func TestAgentReplacedWhileEngineStays(t *testing.T) {
	f := newFleet(t, 6, shortTimings())
	f.expectServed(modelTarget("m3"))
	loads := f.Checker.Loads
	owner := f.owner("m3", 0)
	generation := f.slot("m3", 0).Generation
	owner.Kill()
	f.RunFor(time.Second)
	f.restart(owner.Host.ID)
	f.waitFor(20*time.Second, "taken over", func() bool { return f.slot("m3", 0).Generation > generation })
	f.RunFor(10 * time.Second)
	f.expectServed(modelTarget("m3"))
	if f.Checker.Loads != loads {
		t.Errorf("%d loads after the restart, want none", f.Checker.Loads-loads)
	}
	f.finish()
}

// An agent dies while its engine loads; the new one starts while the load is
// still under way, with an order of its predecessor possibly on its way.
func TestAgentReplacedDuringLoad(t *testing.T) {
	f := newFleet(t, 7, shortTimings())
	owner := f.owner("m5", 0)
	f.burst(modelTarget("m5"), 3)
	f.RunFor(500 * time.Millisecond)
	owner.Kill()
	f.restart(owner.Host.ID)
	f.RunFor(30 * time.Second)
	f.expectServed(modelTarget("m5"))
	f.finish()
}

// The answer to an order is lost though the load took effect. The agent must
// neither free the memory nor order a second load before it knows.
func TestOrderAnswerLost(t *testing.T) {
	f := newFleet(t, 8, shortTimings())
	owner := f.owner("m5", 0)
	owner.Engine.LoseAnswers(2)
	all := f.burst(modelTarget("m5"), 3)
	f.RunFor(60 * time.Second)
	f.expectAnswered(all...)
	f.finish()
}

// A load dies midway, twice. The callers wait within their deadline for the
// third try or are told that the model could not be loaded.
func TestLoadDiesMidway(t *testing.T) {
	f := newFleet(t, 9, shortTimings())
	f.owner("m5", 0).Engine.FailLoads(2)
	all := f.burst(modelTarget("m5"), 3)
	f.RunFor(70 * time.Second)
	f.expectAnswered(all...)
	f.finish()
}

// A host is marked as leaving. Its agent takes no new work, its slots move to
// hosts that stay, and it exits before its limit with nothing cut off.
func TestLeavingHostHandsOver(t *testing.T) {
	f := newFleet(t, 10, shortTimings())
	for _, name := range []string{"m1", "m2", "m3"} {
		f.expectServed(modelTarget(name))
	}
	leaving := f.owner("m3", 0)
	long := f.call("e0", modelTarget("m3"), 500) // ten seconds of tokens
	f.RunFor(2 * time.Second)
	f.leave(leaving.Host.ID)
	f.waitFor(40*time.Second, "graceful exit", func() bool { return !leaving.Alive() })
	f.expectAnswered(long)
	if leaving.Engine.RunsCut != 0 {
		t.Errorf("%d runs cut", leaving.Engine.RunsCut)
	}
	for _, s := range f.slots() {
		if s.Owner == leaving.Host.ID {
			t.Errorf("%v still names the host that left", s)
		}
	}
	f.expectServed(modelTarget("m3"))
	f.finish()
}

// A host leaves that holds slots which fit nowhere else. Its agent must not
// wait out its whole limit for a successor that does not exist: the slots
// become vacant, and are placed again when a host comes.
func TestLeavingHostWithoutSuccessor(t *testing.T) {
	f := emptyFleet(t, 11, shortTimings())
	f.startEntry(0)
	f.startEntry(1)
	f.addEngine(0)
	f.declare(models()...)
	f.RunFor(20 * time.Second)
	f.expectServed(modelTarget("m2"))
	generation := f.slot("m2", 0).Generation
	only := f.owner("m2", 0)
	f.leave(only.Host.ID)
	f.waitFor(30*time.Second, "exit without a successor", func() bool { return !only.Alive() })
	f.addEngine(2)
	f.waitFor(30*time.Second, "slot placed on the new host", f.movedFrom("m2", 0, only.Host.ID))
	if next := f.slot("m2", 0).Generation; next <= generation {
		t.Errorf("generation %d after %d", next, generation)
	}
	f.expectServed(modelTarget("m2"))
	f.finish()
}

// A version changes while callers come. The old replicas drain and unload
// before the new version loads in their place, so that a roll never takes
// more replicas or memory than decided.
func TestVersionRoll(t *testing.T) {
	f := newFleet(t, 12, shortTimings())
	f.expectServed(modelTarget("m0"))
	f.expectServed(adapterTarget("a1"))
	running := f.call("e1", modelTarget("m0"), 200)
	f.RunFor(time.Second)
	f.declare(model("m0", "v2", 8<<10, api.ReplicaLimits{Max: 3}), adapter("a1", "m0", "v2", api.ReplicaLimits{Max: 2}))
	f.RunFor(2 * time.Second)
	all := f.burst(adapterTarget("a1"), 4)
	f.RunFor(time.Minute)
	f.expectAnswered(append(all, running)...)
	if f.Checker.LoadsByKey["m0@v2"] == 0 || f.Checker.LoadsByKey["a1@v2"] == 0 {
		t.Error("the new version was never loaded")
	}
	f.finish()
}

// An operator lowers a limit while all replicas are loaded. The old limit is
// never exceeded on the way, and the new one is reached.
func TestLowerModelLimit(t *testing.T) {
	f := newFleet(t, 13, shortTimings())
	f.declare(model("m0", "v1", 8<<10, api.ReplicaLimits{Min: 3, Max: 3}))
	f.waitFor(30*time.Second, "all loaded", func() bool { return f.replicas("m0") == 3 })
	f.declare(model("m0", "v1", 8<<10, api.ReplicaLimits{Max: 1}), adapter("a1", "m0", "v1", api.ReplicaLimits{Max: 1}))
	f.RunFor(time.Minute)
	if n := f.replicas("m0"); n > 1 {
		t.Errorf("%d replicas loaded, 1 decided", n)
	}
	if f.slot("m0", 1).Owner != "" || f.slot("m0", 2).Owner != "" {
		t.Error("slots above the limit are still in the table")
	}
	f.expectServed(modelTarget("m0"))
	f.finish()
}

// The limit is lowered while a slot below it has lost its host. It must not be
// placed anew beside the slot above the limit, whose owner still holds it.
func TestLowerLimitWithVacantSlot(t *testing.T) {
	f := newFleet(t, 41, shortTimings())
	f.declare(model("m3", "v1", 12<<10, api.ReplicaLimits{Min: 2, Max: 2}))
	f.waitFor(30*time.Second, "both loaded", func() bool { return f.replicas("m3") == 2 })
	for _, h := range []core.HostID{"h0", "h1", "h2", "h3"} {
		if h != f.slot("m3", 1).Owner {
			f.reclaim(h) // m3/0 fits nowhere
		}
	}
	f.call("e0", modelTarget("m3"), 400)
	f.waitFor(40*time.Second, "m3/0 vacant", func() bool { return f.slot("m3", 0).Owner == "" })
	f.call("e0", modelTarget("m3"), 2000) // holds m3/1 for a while
	f.declare(model("m3", "v1", 12<<10, api.ReplicaLimits{Max: 1}))
	f.addEngine(4)
	f.addEngine(5)
	f.RunFor(2 * time.Minute)
	if f.slot("m3", 0).Owner == "" || f.slot("m3", 1).Owner != "" {
		t.Errorf("slots are %+v", f.slots())
	}
	f.finish()
}

// The same for an adapter, whose places follow from the configuration alone.
func TestLowerAdapterLimit(t *testing.T) {
	f := newFleet(t, 14, shortTimings())
	f.declare(adapter("a1", "m0", "v1", api.ReplicaLimits{Min: 2, Max: 2}))
	f.waitFor(30*time.Second, "both loaded", func() bool { return f.replicas("a1") == 2 })
	f.declare(adapter("a1", "m0", "v1", api.ReplicaLimits{Min: 1, Max: 1}))
	f.burst(adapterTarget("a1"), 4)
	f.RunFor(time.Minute)
	if n := f.replicas("a1"); n > 1 {
		t.Errorf("%d copies loaded, 1 decided", n)
	}
	f.expectServed(adapterTarget("a1"))
	f.finish()
}

// The base's limit changes while an adapter is loaded on it: the indexes on
// which the adapter may be loaded change with it. The owner of a new index
// must not load a copy while that of an old one still holds its own.
func TestBaseLimitChangeMovesAdapters(t *testing.T) {
	adapters := []string{"a0", "a1", "b0", "b1", "b2", "b3"}
	for _, change := range []struct{ from, to int }{{3, 1}, {3, 2}, {1, 3}, {2, 3}} {
		f := newFleet(t, 15, shortTimings())
		limits := func(n int) api.Resource { return model("m0", "v1", 4<<10, api.ReplicaLimits{Max: n}) }
		// Together: a base's limit is refused while an adapter's is higher.
		declared := []api.Resource{limits(change.from)}
		for _, name := range adapters {
			declared = append(declared, adapter(name, "m0", "v1", api.ReplicaLimits{Min: 1, Max: 1}))
		}
		f.declare(declared...)
		all := func() bool {
			for _, name := range adapters {
				if f.replicas(name) != 1 {
					return false
				}
			}
			return true
		}
		f.waitFor(time.Minute, "adapters loaded", all)
		f.declare(limits(change.to))
		f.RunFor(time.Minute)
		if !all() {
			t.Errorf("%v: adapters are missing after the change", change)
		}
		f.finish()
	}
}

// The same while calls run on every adapter for longer than the steward takes
// to write: the new count must wait for the last of them, wherever it runs, and
// none of them may be cut for it.
func TestBaseLimitChangeWaitsForCalls(t *testing.T) {
	adapters := []string{"a0", "a1", "b0", "b1", "b2", "b3"}
	for _, change := range []struct{ from, to int }{{3, 1}, {1, 3}, {2, 3}} {
		f := newFleet(t, 16, shortTimings())
		limits := func(n int) api.Resource { return model("m0", "v1", 4<<10, api.ReplicaLimits{Max: n}) }
		declared := []api.Resource{limits(change.from)}
		for _, name := range adapters {
			declared = append(declared, adapter(name, "m0", "v1", api.ReplicaLimits{Min: 1, Max: 1}))
		}
		f.declare(declared...)
		f.RunFor(30 * time.Second)
		var calls []*harness.Outcome
		for _, name := range adapters {
			calls = append(calls, f.call("e0", adapterTarget(name), 400)) // eight seconds
		}
		f.RunFor(2 * time.Second)
		f.declare(limits(change.to))
		f.RunFor(time.Minute)
		f.expectAnswered(calls...)
		for _, name := range adapters {
			if n := f.replicas(name); n != 1 {
				t.Errorf("%v: %d copies of %s after the change", change, n, name)
			}
		}
		f.finish()
	}
}

// replicas counts the engines that hold a model or adapter.
func (f *fleet) replicas(name string) int {
	n := 0
	for _, p := range f.processes {
		if p.Engine != nil && p.Engine.Loaded(name+"@v1") {
			n++
		}
	}
	return n
}
