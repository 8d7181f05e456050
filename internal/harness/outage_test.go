package harness_test

import (
	"fmt"
	"testing"
	"time"

	"nutmeglane.example/nutmeglane/internal/code"
	"nutmeglane.example/nutmeglane/internal/core"
	"nutmeglane.example/nutmeglane/internal/harness"
)

func (f *fleet) generations() string { return fmt.Sprint(f.slots()) }

// standby returns the entry that is not the steward.
func (f *fleet) standby() *harness.Process {
	f.t.Helper()
	if f.steward().Host.ID == "e0" {
		return f.processes["e1"]
	}
	return f.processes["e0"]
}

// Guards against unloads and slot moves caused by a KV outage of an hour. During
// the outage idle models must still be loaded on request, and loaded models must
// not be unloaded because tenures cannot be renewed. After the outage the stored
// renewals are an hour old although every agent is alive; without the grace
// period, the steward would fence all agents.
func TestKVDownForAnHour(t *testing.T) {
	f := newFleet(t, 20, core.DefaultTimings())
	f.expectServed(modelTarget("m0"))
	before := f.generations()
	f.KV.SetDown(true)
	for i := range 12 {
		f.expectServed(modelTarget([]string{"m1", "m2", "m3", "m5"}[i%4]))
		f.expectServed(adapterTarget("a0"))
		f.RunFor(3*time.Minute + 40*time.Second)
	}
	if f.replicas("m4") != 1 {
		t.Error("a model with a minimum of one replica was unloaded during the outage")
	}
	loads := f.Checker.Loads
	f.KV.SetDown(false)
	f.RunFor(2 * f.timings.Grace)
	if after := f.generations(); after != before {
		t.Errorf("slots moved because of the outage:\n%s\n%s", before, after)
	}
	if f.replicas("m4") != 1 || f.Checker.Loads != loads {
		t.Error("replicas were unloaded or loaded after the KV service returned")
	}
	f.expectServed(modelTarget("m2"))
	f.finish()
}

// Guards against replicas loaded without tenure. The KV service is unavailable
// for longer than the tenure, so every agent must unload by its own clock and
// refuse requests. After the outage all slots must be served again by the same
// owners within ownerBound.
func TestKVDownBeyondTenure(t *testing.T) {
	f := newFleet(t, 21, shortTimings())
	f.expectServed(modelTarget("m2"))
	before := f.generations()
	f.KV.SetDown(true)
	f.RunFor(3 * f.timings.Tenure)
	if n := f.replicas("m2") + f.replicas("m4"); n != 0 {
		t.Errorf("%d replicas loaded without tenure", n)
	}
	refused := f.call("e0", modelTarget("m2"), 5)
	f.RunFor(5 * time.Second)
	if !refused.Code.NotRun() || refused.RetryAfter == 0 {
		t.Errorf("answer %v with Retry-After %v, want a refusal with a Retry-After", refused.Code, refused.RetryAfter)
	}
	f.KV.SetDown(false)
	f.RunFor(ownerBound(f.timings))
	f.allOwned()
	if after := f.generations(); after != before {
		t.Errorf("slots moved though every agent lived:\n%s\n%s", before, after)
	}
	f.expectServed(modelTarget("m2"))
	f.finish()
}

// Guards against fencing a live agent that is unreachable for a few seconds when
// the KV service returns from a long outage. Its stored renewal is older than
// the tenure, because nobody could write; without the grace period the steward
// would fence it immediately and move all its slots.
func TestGraceAfterOutage(t *testing.T) {
	f := newFleet(t, 31, shortTimings())
	before := f.generations()
	f.KV.SetDown(true)
	f.RunFor(3 * f.timings.Tenure)
	f.owner("m2", 0).Pause(20 * time.Second)
	f.RunFor(16 * time.Second) // its connections have timed out
	f.KV.SetDown(false)
	f.RunFor(ownerBound(f.timings))
	if after := f.generations(); after != before {
		t.Errorf("slots moved though every agent lived:\n%s\n%s", before, after)
	}
	f.finish()
}

// allOwned fails unless every decided slot has a live owner.
func (f *fleet) allOwned() {
	f.t.Helper()
	owned := 0
	for _, s := range f.slots() {
		p := f.processes[s.Owner]
		if s.State == core.SlotOwned && p != nil && p.Alive() && p.Incarnation == s.Incarnation {
			owned++
		} else {
			f.t.Fatalf("no live owner: %+v", s)
		}
	}
	if want := f.decidedSlots(); owned != want {
		f.t.Fatalf("%d slots owned, %d decided: %+v", owned, want, f.slots())
	}
}

// Guards against slots that stay without an owner when hosts are reclaimed while
// the KV service is down. No owner can be assigned during the outage; after it,
// every slot must have one within ownerBound.
func TestReclaimedInOutage(t *testing.T) {
	f := newFleet(t, 22, shortTimings())
	f.KV.SetDown(true)
	f.RunFor(5 * time.Second)
	f.reclaim("h0")
	f.reclaim("h3")
	f.RunFor(20 * time.Second)
	f.addEngine(4)
	f.addEngine(5)
	f.RunFor(10 * time.Second)
	f.KV.SetDown(false)
	f.RunFor(ownerBound(f.timings))
	f.allOwned()
	for _, name := range []string{"m0", "m1", "m2", "m3", "m5"} {
		f.expectServed(modelTarget(name))
	}
	f.finish()
}

// Guards against a steward that treats a KV write with a lost answer as failed
// or as successful: it would assign a slot to two hosts or to none. The answers
// of many writes are lost while slots move away from a leaving host.
func TestWriteDoneAnswerLost(t *testing.T) {
	f := newFleet(t, 23, shortTimings())
	f.expectServed(modelTarget("m3"))
	f.KV.LoseAnswers(12)
	leaving := f.owner("m3", 0)
	f.leave(leaving.Host.ID)
	f.waitFor(time.Minute, "graceful exit", func() bool { return !leaving.Alive() })
	f.RunFor(20 * time.Second)
	f.allOwned()
	f.expectServed(modelTarget("m3"))
	f.finish()
}

func (f *fleet) successor(old *harness.Process) func() bool {
	return func() bool { p := f.currentSteward(); return p != nil && p != old }
}

// Guards against a former steward. The steward is paused during its work and
// another entry takes over. When the first one resumes, it still acts as the
// steward and sends its earlier decisions: its writes must fail and its grants
// must have no effect.
func TestPausedStewardResumes(t *testing.T) {
	f := newFleet(t, 24, shortTimings())
	f.expectServed(modelTarget("m2"))
	old := f.steward()
	moving := f.owner("m2", 0)
	f.leave(moving.Host.ID)
	f.RunFor(10100 * time.Millisecond) // the host list has arrived; a plan is due
	old.Pause(40 * time.Second)
	f.waitFor(30*time.Second, "another steward", f.successor(old))
	f.RunFor(25 * time.Second)
	f.allOwned()
	f.RunFor(20 * time.Second) // the first one resumes
	f.allOwned()
	f.expectServed(modelTarget("m2"))
	f.finish()
}

// Guards against conflicting decisions of two stewards. The steward loses its
// connection to the KV service but not to the agents, and the other entry takes
// over, so agents receive messages from both.
func TestTwoStewards(t *testing.T) {
	f := newFleet(t, 25, shortTimings())
	f.expectServed(modelTarget("m2"))
	old := f.steward()
	f.KV.CutOff(old.Host.ID, true)
	f.waitFor(30*time.Second, "another steward", f.successor(old))
	f.reclaim("h1")
	f.RunFor(40 * time.Second)
	f.expectServed(modelTarget("m2"))
	f.KV.CutOff(old.Host.ID, false)
	f.RunFor(20 * time.Second)
	f.allOwned()
	f.expectServed(modelTarget("m2"))
	f.finish()
}

// Guards against agents that no steward queries after the steward has changed
// several times while both entries keep connections for their callers. Every new
// steward must request reports from all agents; an agent that is left out loses
// its slots at the end of its tenure.
func TestRepeatedStewardChanges(t *testing.T) {
	f := newFleet(t, 26, shortTimings())
	f.enlarge()
	before := f.generations()
	for range 8 {
		for _, name := range []string{"m0", "m1", "m2", "m3"} {
			f.burst(modelTarget(name), 1)
		}
		f.steward().Pause(10 * time.Second)
		f.RunFor(25 * time.Second)
	}
	f.RunFor(2 * f.timings.Tenure)
	if after := f.generations(); after != before {
		t.Errorf("slots moved though every agent lived:\n%s\n%s", before, after)
	}
	f.expectServed(modelTarget("m2"))
	f.finish()
}

// enlarge gives every engine enough memory for all its slots, so that no slot
// moves for lack of memory.
func (f *fleet) enlarge() {
	for _, p := range f.processes {
		if p.Engine != nil {
			p.Engine.MemoryMiB *= 4
		}
	}
	f.RunFor(2 * time.Minute) // agents take an inventory each minute
}

// Guards against refusals by an entry that has lost its connection to the KV
// service. It must serve requests from the slot table that it received before.
func TestEntryCutFromKVOnly(t *testing.T) {
	f := newFleet(t, 27, shortTimings())
	other := f.standby().Host.ID
	f.KV.CutOff(other, true)
	for range 6 {
		o := f.call(other, modelTarget("m1"), 5)
		f.RunFor(20 * time.Second)
		f.expectAnswered(o)
	}
	f.finish()
}

// Guards against an unsafe move when a network partition separates a host from
// the steward but not from the other entry. The other entry cannot renew the
// tenure, so the host must unload at the end of its tenure. The steward cannot
// query the engine, so the slot must move only after the partition has ended.
func TestHostCutFromSteward(t *testing.T) {
	f := newFleet(t, 28, shortTimings())
	f.expectServed(modelTarget("m2"))
	owner, other := f.owner("m2", 0).Host.ID, f.standby().Host.ID
	incarnation := f.owner("m2", 0).Incarnation
	f.Cut(f.steward().Host.ID, owner, true)
	o := f.call(other, modelTarget("m2"), 5)
	f.RunFor(5 * time.Second)
	f.expectAnswered(o)
	f.RunFor(ownerBound(f.timings))
	if f.movedFrom("m2", 0, owner)() || !f.processes[owner].Engine.Empty() {
		t.Error("the slot moved without a query of the engine, or the owner kept its replica")
	}
	f.Cut(f.steward().Host.ID, owner, false)
	f.waitFor(ownerBound(f.timings), "slot owned again", func() bool {
		p := f.processes[f.slot("m2", 0).Owner]
		return p != nil && p.Incarnation == f.slot("m2", 0).Incarnation && p.Incarnation != incarnation
	})
	f.expectServed(modelTarget("m2"))
	f.finish()
}

// Guards against invariant violations and slots without an owner after two
// simultaneous faults, in every combination.
func TestPairsOfFaults(t *testing.T) {
	faults := map[string]func(f *fleet){
		"pause owner": func(f *fleet) { f.owner("m5", 0).PauseAtOrder(90 * time.Second) },
		"kill owner": func(f *fleet) {
			id := f.owner("m5", 0).Host.ID
			f.processes[id].Kill()
			f.After(2*time.Second, func() { f.revive(id) })
		},
		"pause steward": func(f *fleet) { f.steward().Pause(15 * time.Second) },
		"kv down": func(f *fleet) {
			f.KV.SetDown(true)
			f.After(30*time.Second, func() { f.KV.SetDown(false) })
		},
		"lost writes":   func(f *fleet) { f.KV.LoseAnswers(6) },
		"reclaim host":  func(f *fleet) { f.reclaim(f.owner("m3", 1).Host.ID) },
		"reclaim owner": func(f *fleet) { f.After(2*time.Second, func() { f.reclaim(f.owner("m5", 0).Host.ID) }) },
		"failing load":  func(f *fleet) { f.owner("m5", 0).Engine.FailLoads(1) },
		"lost order":    func(f *fleet) { f.owner("m5", 0).Engine.LoseAnswers(1) },
		"cut owner": func(f *fleet) {
			id := f.owner("m5", 0).Host.ID
			f.Cut("e0", id, true)
			f.Cut("e1", id, true)
			f.After(80*time.Second, func() { f.Cut("e0", id, false); f.Cut("e1", id, false) })
		},
	}
	for _, a := range core.SortedKeys(faults) {
		for _, b := range core.SortedKeys(faults) {
			t.Run(a+" and "+b, func(t *testing.T) {
				f := newFleet(t, 29, shortTimings())
				f.expectServed(modelTarget("m1"))
				faults[a](f)
				faults[b](f)
				f.burst(modelTarget("m5"), 3)
				f.burst(modelTarget("m1"), 3)
				f.RunFor(20 * time.Second)
				f.addEngine(4) // the platform replaces the reclaimed hosts
				f.addEngine(5)
				f.RunFor(3 * time.Minute)
				f.allOwned()
				f.expectServed(modelTarget("m5"))
				f.expectServed(modelTarget("m1"))
				f.finish()
			})
		}
	}
}

// Guards against a second run or an incomplete answer of a non-idempotent request
// when the connection to the agent permanently drops all messages. The entry must
// resume the answer over a new connection.
func TestSilentConnection(t *testing.T) {
	f := newFleet(t, 30, shortTimings())
	f.expectServed(modelTarget("m2"))
	o := f.Request("e0", core.RequestArrived{ClientAccount: "c", Target: modelTarget("m2"), Timeout: time.Minute}, 300)
	f.RunFor(time.Second)
	f.Silence("e0", f.owner("m2", 0).Host.ID)
	f.RunFor(50 * time.Second)
	if o.Code != code.OK || o.Tokens != o.Want {
		t.Errorf("code %v, %d of %d tokens", o.Code, o.Tokens, o.Want)
	}
	f.finish()
}
