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

// other is the entry that is not in office.
func (f *fleet) standby() *harness.Process {
	f.t.Helper()
	if f.steward().Host.ID == "e0" {
		return f.processes["e1"]
	}
	return f.processes["e0"]
}

// The KV service is away for an hour. Tenants go on calling: idle models must
// wake, and the loaded ones must not be unloaded all at once because nobody
// can renew. When it is back, the entries in it are an hour old though every
// agent lives; without the grace, the steward would fence them all.
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
		t.Error("a model that is kept loaded was unloaded in the outage")
	}
	loads := f.Checker.Loads
	f.KV.SetDown(false)
	f.RunFor(2 * f.timings.Grace)
	if after := f.generations(); after != before {
		t.Errorf("slots moved over the outage:\n%s\n%s", before, after)
	}
	if f.replicas("m4") != 1 || f.Checker.Loads != loads {
		t.Error("replicas were unloaded or loaded by the return")
	}
	f.expectServed(modelTarget("m2"))
	f.finish()
}

// The KV service is away for longer than the tenure. Every agent gives up by
// its own clock and refuses; nobody loads a replica that it may not. After the
// return all slots are served again within the bound.
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
		t.Errorf("answer %v with Retry-After %v, want a refusal that says when to come back", refused.Code, refused.RetryAfter)
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

// An agent that lives is out of reach for a few seconds just when the KV
// service returns from a long outage. Its entry is older than any tenure, for
// nobody could write; without the grace it would be fenced on the spot and all
// its slots moved.
func TestGraceAfterOutage(t *testing.T) {
	f := newFleet(t, 31, shortTimings())
	before := f.generations()
	f.KV.SetDown(true)
	f.RunFor(3 * f.timings.Tenure)
	f.owner("m2", 0).Pause(20 * time.Second)
	f.RunFor(16 * time.Second) // its connections were given up
	f.KV.SetDown(false)
	f.RunFor(ownerBound(f.timings))
	if after := f.generations(); after != before {
		t.Errorf("slots moved though every agent lived:\n%s\n%s", before, after)
	}
	f.finish()
}

// allOwned fails unless every decided slot has an owner that lives.
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

// Several hosts are reclaimed while the KV service is down. Their slots have
// no owner, and nobody can give them one; after the return they do within the
// bound.
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

// Writes take effect while their answers are lost, over and over, as slots
// move away from a leaving host. A steward that took a lost answer for a
// failure, or for a success, would give a slot to two hosts or to none.
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

// The steward is paused in the middle of its work and another takes the
// office. The first wakes, believes that it is still in office, and sends what
// it had decided: its writes must fail and its grants must do no harm.
func TestPausedStewardResumes(t *testing.T) {
	f := newFleet(t, 24, shortTimings())
	f.expectServed(modelTarget("m2"))
	old := f.steward()
	moving := f.owner("m2", 0)
	f.leave(moving.Host.ID)
	f.RunFor(10100 * time.Millisecond) // the list has told; a plan is due
	old.Pause(40 * time.Second)
	f.waitFor(30*time.Second, "another steward", f.successor(old))
	f.RunFor(25 * time.Second)
	f.allOwned()
	f.RunFor(20 * time.Second) // the first one wakes
	f.allOwned()
	f.expectServed(modelTarget("m2"))
	f.finish()
}

// Two stewards at once: the one in office is cut from the KV service, not from
// the agents, and the other takes the office. Agents hear from both.
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

// The office changes hands often, with both entries holding connections for
// their callers all the while. Every agent must go on being asked for reports,
// whoever asked first; one that is forgotten loses its slots with its tenure.
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

// enlarge gives every engine room for all that its slots may load, so that no
// slot is crowded out and moves for that reason.
func (f *fleet) enlarge() {
	for _, p := range f.processes {
		if p.Engine != nil {
			p.Engine.MemoryMiB *= 4
		}
	}
	f.RunFor(2 * time.Minute) // agents take an inventory each minute
}

// The only entry in reach of the agents loses the KV service, then a caller
// comes: slots known before serve on.
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

// One host is parted from the steward's entry but not from the other. The
// other can't renew for it, so it gives up at the end of its tenure, and says
// so to callers instead of letting them wait. The steward can't ask its engine
// either, so the slot moves only after the cut is over.
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
		t.Error("the slot moved unasked, or the owner kept its replica")
	}
	f.Cut(f.steward().Host.ID, owner, false)
	f.waitFor(ownerBound(f.timings), "slot owned again", func() bool {
		p := f.processes[f.slot("m2", 0).Owner]
		return p != nil && p.Incarnation == f.slot("m2", 0).Incarnation && p.Incarnation != incarnation
	})
	f.expectServed(modelTarget("m2"))
	f.finish()
}

// Pairs of faults at the same time, in every combination: whatever the pair,
// no promise is broken, and afterwards every slot has an owner and serves.
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
				f.addEngine(4) // the platform replaces what it reclaimed
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

// A club secretary registers a charge; the connection to the agent goes silent
// for good while new ones work. The request is not idempotent: it must not run
// twice, and the caller gets the whole answer over the fresh connection.
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
