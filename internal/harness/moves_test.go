package harness_test

import (
	"testing"
	"time"

	"nutmeglane.example/nutmeglane/internal/api"
	"nutmeglane.example/nutmeglane/internal/core"
	"nutmeglane.example/nutmeglane/internal/harness"
)

// ownerBound returns the time within which every slot has a live owner again.
// An owner is fenced at most Tenure + TenureMargin after its last observed
// renewal and never within Grace after the KV service's return. Two roster
// intervals are added for the write and the check that follows.
func ownerBound(t core.Timings) time.Duration {
	return max(t.Tenure+t.TenureMargin, t.Grace) + 2*t.RosterInterval
}

// movedFrom returns a condition that holds when a host other than from owns the
// slot.
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
	f.RunFor(500 * time.Millisecond) // watches and grants arrive
}

// expectServed sends requests for a target to both entries and expects complete
// answers.
func (f *fleet) expectServed(target core.Target) {
	f.t.Helper()
	all := f.burst(target, 2)
	f.RunFor(40 * time.Second)
	f.expectAnswered(all...)
}

// Guards against a late load order. The owner decides to load a model for a
// first request and is paused before the order is sent, for longer than its
// tenure. The slot moves to another host, which loads. If the old owner sent its
// order when it resumes, a second replica would be loaded where one was decided.
func TestOwnerPausedBeforeItsOrder(t *testing.T) {
	for _, model := range []string{"m2", "m5"} {
		f := newFleet(t, 2, shortTimings())
		owner := f.owner(model, 0)
		owner.PauseAtOrder(3 * time.Minute)
		f.call("e0", modelTarget(model), 5)
		f.waitFor(ownerBound(f.timings)+f.timings.Tenure, "slot moved", f.movedFrom(model, 0, owner.Host.ID))
		f.expectServed(modelTarget(model))
		f.RunFor(3 * time.Minute) // the old owner resumes
		f.expectServed(modelTarget(model))
		f.finish()
	}
}

// Guards against a needless move. The owner of a loaded model is paused for less
// than its tenure. Meanwhile requests wait or are refused, but no other host
// may load the model; after the pause the replica must serve again.
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
		t.Errorf("%d additional loads", f.Checker.Loads-loads)
	}
	f.finish()
}

// Guards against a second replica when a network partition separates the owner
// of a loaded model from every entry. Neither the owner nor its engine can be
// queried, so the slot must stay with the owner until the partition ends. The
// owner must unload at the end of its tenure by its own clock, which here runs
// slow by 200 ppm. The entries cannot verify this, so nobody else may load.
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
		t.Error("the isolated owner kept its replica")
	}
	f.RunFor(5 * time.Minute)
	if f.movedFrom("m2", 0, owner.Host.ID)() || f.Checker.LoadsByKey["m2@v1"] != loads {
		t.Error("the slot moved although the engine could not be queried")
	}
	f.Cut("e0", owner.Host.ID, false)
	f.Cut("e1", owner.Host.ID, false)
	f.RunFor(time.Minute)
	if owner.Incarnation == incarnation {
		t.Error("the fenced process did not exit, so its accelerators stay unused")
	}
	f.expectServed(modelTarget("m2"))
	f.finish()
}

// Guards against callers that get no answer because the platform reclaims a
// host during a load. The model must be loaded on another host once the delayed
// host list shows the loss.
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

// Guards against a reload when an agent process is replaced by a new release
// while its engine keeps a model loaded. The new process must use the existing
// replica: a second load would overcommit the engine, and an unload would cause
// a cold start.
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

// Guards against a second load when an agent dies while its engine loads. The
// new process starts during the load, and an order of its predecessor may still
// be in transit.
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

// Guards against wrong memory accounting when the answer to a load order is
// lost although the load took effect. The agent must neither free the memory nor
// order a second load until it knows the result.
func TestOrderAnswerLost(t *testing.T) {
	f := newFleet(t, 8, shortTimings())
	owner := f.owner("m5", 0)
	owner.Engine.LoseAnswers(2)
	all := f.burst(modelTarget("m5"), 3)
	f.RunFor(60 * time.Second)
	f.expectAnswered(all...)
	f.finish()
}

// Guards against requests that fail because a load failed halfway. Two loads
// fail; the requests must wait for the third attempt within their deadline.
func TestLoadDiesMidway(t *testing.T) {
	f := newFleet(t, 9, shortTimings())
	f.owner("m5", 0).Engine.FailLoads(2)
	all := f.burst(modelTarget("m5"), 3)
	f.RunFor(70 * time.Second)
	f.expectAnswered(all...)
	f.finish()
}

// Guards against requests that are aborted when a host is marked as leaving. The
// agent accepts no new work, its slots move to the remaining hosts, and it must
// exit before its limit without aborting a run.
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
			t.Errorf("slot %v is still owned by the host that left", s)
		}
	}
	f.expectServed(modelTarget("m3"))
	f.finish()
}

// Guards against an agent that uses up its whole time limit on a leaving host
// whose slots fit on no other host. The slots must become vacant instead of
// waiting for a new owner, and must be placed when a host is added.
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

// Guards against extra replicas or memory during a version change under load.
// The old replicas must drain and unload before the new version is loaded.
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

// Guards against a lowered limit that is not reached when all replicas are
// loaded. The old limit must not be exceeded meanwhile.
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

// Guards against too many replicas when the limit is lowered while a slot below
// it is vacant because its host was reclaimed. The vacant slot must not be
// placed while the slot above the limit still has an owner.
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

// Guards against too many copies of an adapter when its limit is lowered. The
// slots of an adapter depend on the configuration only.
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

// Guards against extra adapter copies when the base's limit changes, which also
// changes the slot indexes on which the adapter may be loaded. The owner of a
// new index must not load a copy while the owner of an old index still has one.
func TestBaseLimitChangeMovesAdapters(t *testing.T) {
	adapters := []string{"a0", "a1", "b0", "b1", "b2", "b3"}
	for _, change := range []struct{ from, to int }{{3, 1}, {3, 2}, {1, 3}, {2, 3}} {
		f := newFleet(t, 15, shortTimings())
		limits := func(n int) api.Resource { return model("m0", "v1", 4<<10, api.ReplicaLimits{Max: n}) }
		// Declared together, because a base's limit below an adapter's is refused.
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

// Guards against requests that are aborted by a change of the base's limit.
// Requests run on every adapter for longer than the steward's write takes. The
// new number of indexes must not apply before the last of them has ended.
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

// replicas counts the engines that have version v1 of a model or adapter loaded.
func (f *fleet) replicas(name string) int {
	n := 0
	for _, p := range f.processes {
		if p.Engine != nil && p.Engine.Loaded(name+"@v1") {
			n++
		}
	}
	return n
}
