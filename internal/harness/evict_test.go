package harness_test

import (
	"testing"
	"time"
)

// Guards against a second replica when an agent is paused far beyond its tenure
// while its engine has a model loaded. The slot moves to another host, so the
// steward must have the first engine unload its copy before. The fenced process
// must exit when it resumes.
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
		t.Error("the fenced process did not exit, so its accelerators stay unused")
	}
	f.expectServed(modelTarget("m2"))
	f.finish()
}

// Guards against slots that stay with an agent process that died permanently
// while its engine keeps running with adapters loaded on a model. The slots must
// move once the engine has unloaded the adapters and then the model.
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
			t.Errorf("slot %v is still owned by the dead process", s.ID)
		}
	}
	f.expectServed(adapterTarget("a0"))
	f.finish()
}
