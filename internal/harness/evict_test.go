package harness_test

import (
	"testing"
	"time"
)

// An agent is paused far beyond its tenure while its engine has a model and an
// adapter loaded. Callers see the model come up elsewhere; were the paused
// host's copy left, two replicas would be loaded where one is decided. The
// steward has the engine unload first. Awake, the old process ends.
func TestAgentPausedWhileLoaded(t *testing.T) {
	f := newFleet(t, 61, shortTimings())
	f.expectServed(modelTarget("m2"))
	owner := f.owner("m2", 0)
	incarnation := owner.Incarnation
	owner.Pause(5 * time.Minute)
	f.waitFor(ownerBound(f.timings), "slot moved", f.movedFrom("m2", 0, owner.Host.ID))
	f.expectServed(modelTarget("m2"))
	f.RunFor(5 * time.Minute)
	if owner.Incarnation == incarnation {
		t.Error("the fenced process stays, so that its accelerators are lost for good")
	}
	f.expectServed(modelTarget("m2"))
	f.finish()
}

// An agent process dies for good while its engine goes on with adapters loaded
// on a model. The platform starts no other. Its slots come up elsewhere once
// the engine has unloaded the adapters and then the model.
func TestAgentDeadWhileEngineStays(t *testing.T) {
	f := newFleet(t, 62, shortTimings())
	f.expectServed(adapterTarget("a0"))
	owner := f.owner("m0", 0)
	for i := range uint16(3) {
		if p := f.owner("m0", i); p.Engine.Loaded("a0@v1") {
			owner = p
		}
	}
	owner.Kill()
	f.waitFor(ownerBound(f.timings), "engine emptied", owner.Engine.Empty)
	f.RunFor(10 * time.Second)
	for _, s := range f.slots() {
		if s.ID.Model == "m0" && s.Owner == owner.Host.ID {
			t.Errorf("slot %v still is with the dead process", s.ID)
		}
	}
	f.expectServed(adapterTarget("a0"))
	f.finish()
}
