package router

import (
	"fmt"
	"math"
	"testing"
	"time"

	"nutmeglane.example/nutmeglane/internal/core"
)

// Guards against evicting busy models after a restart of the whole fleet: routers without
// known rates considered the copies of the busiest model spare; loaders evicted them for
// rare models just when its callers came back. Until demand is known no copy is spare.
func TestNoCopyIsSpareBeforeDemandIsKnown(t *testing.T) {
	w := newFixture(t)
	w.servers(engineService, 4)
	for i := range 4 {
		w.reportHoldings(i, core.Holdings{Models: loadedModels("m1")})
	}
	spare := func() int {
		n := 0
		for i := range 4 {
			for _, use := range w.demands[loaderName(i)].Uses {
				if use.Spare {
					n++
				}
			}
		}
		return n
	}
	w.call("quick", prompt("m1"))
	w.run(time.Second)
	if n := spare(); n != 0 {
		t.Fatalf("%d copies are spare one second after the first call", n)
	}
	for range 20 {
		for i := range 4 {
			w.reportHoldings(i, core.Holdings{Models: loadedModels("m1")})
		}
		w.run(2 * time.Second)
	}
	if n := spare(); n == 0 {
		t.Fatal("no copy of an idle model becomes spare")
	}
}

// Demand moves to a model that one engine has: 60 calls a second, each of which takes 4 %
// of an engine while it runs 0.8 s. Copies must follow within seconds, at the engines with
// the least load, and no more than the load needs.
func TestBusyModelGetsCopies(t *testing.T) {
	w := newFixture(t)
	w.servers(engineService, 6)
	hold := func() {
		for i := range 6 {
			holdings := core.Holdings{FreeMB: 40_000, OnDisk: []string{"m1"}}
			if i == 0 {
				holdings = core.Holdings{Models: []core.HeldModel{{Name: "m1", State: core.HoldLoaded, Rate: 60}}}
			}
			w.reportHoldings(i, holdings)
		}
	}
	hold()
	s := w.router.services[engineService]
	s.speed.share = 0.04
	s.speed.models["m1"] = &modelSpeed{pause: 20 * time.Millisecond, first: 100 * time.Millisecond, events: 35}
	for range 10 {
		hold()
		w.run(planInterval)
	}
	asked := 0
	for i := range 6 {
		for _, want := range w.demands[loaderName(i)].Wants {
			if want.Model == "m1" && want.Spread {
				asked++
			}
		}
	}
	load := 60 * 0.8 * 0.04
	if want := int(math.Ceil(load/targetLoad)) - 1; asked != want {
		t.Fatalf("%d further copies asked for, want %d: the load is %.2f of an engine, at most %.2f each", asked, want, load, targetLoad)
	}
}

// All rare models are called twice as often for some seconds. With a fixed threshold they
// counted as busy, each got a second copy, and the copies evicted one another. Only a model
// that is called more than the mean of all is busy.
func TestRareModelsAreNotBusyInABurst(t *testing.T) {
	w := newFixture(t)
	w.servers(engineService, 2)
	for i := range 300 {
		model := "m0"
		if i%3 == 0 {
			model = fmt.Sprintf("m%d", 1+i/3%9)
		}
		w.router.services[engineService].arrival(w.now, prompt(model))
		w.now = w.now.Add(50 * time.Millisecond)
	}
	if got := w.router.neededCopies(engineService, "m0"); got < 2 {
		t.Errorf("the busy model needs %d copies, want 2 or more", got)
	}
	for i := 1; i < 10; i++ {
		if got := w.router.neededCopies(engineService, fmt.Sprintf("m%d", i)); got != 1 {
			t.Errorf("rare m%d needs %d copies, want 1", i, got)
		}
	}
}

// A busy model's load needs five copies. One engine has it, one a copy on disk; further
// ones need the weight store, which serves one load in 13 s. Guards against requesting it
// at all of them at once: they counted as loading permanently, and the disk copy at an engine
// that became free was never used. One copy must be requested from the store, and it must
// get its permit before a rare model that few requests wait for.
func TestCopiesThatWaitForTheStoreDoNotCount(t *testing.T) {
	w := newFixture(t)
	w.servers(engineService, 6)
	s := w.router.services[engineService]
	s.speed.share = 0.04
	s.speed.models["m1"] = &modelSpeed{pause: 20 * time.Millisecond, first: 100 * time.Millisecond, events: 35}
	s.store.limit = 1
	waiting := map[core.HostID]bool{}
	for range 8 {
		for i := range 6 {
			holdings := core.Holdings{FreeMB: 40_000, OnDisk: []string{"m2"}}
			switch {
			case i == 0:
				holdings = core.Holdings{Models: []core.HeldModel{{Name: "m1", State: core.HoldLoaded, Rate: 90}}}
			case i == 5 && len(waiting) > 0:
				holdings.Models = []core.HeldModel{{Name: "m9", State: core.HoldPermit, Waiting: 2, ReadyIn: 6 * time.Second}}
			case waiting[loaderName(i)]:
				holdings.Models = []core.HeldModel{{Name: "m1", State: core.HoldPermit, ReadyIn: 6 * time.Second}}
			}
			w.reportHoldings(i, holdings)
		}
		w.run(planInterval)
		for i := range 5 {
			for _, want := range w.demands[loaderName(i)].Wants {
				if want.Model == "m1" && want.Spread {
					waiting[loaderName(i)] = true
				}
			}
		}
	}
	if len(waiting) != 1 {
		t.Fatalf("%d copies are requested from the store at once, want 1", len(waiting))
	}
	if permits := w.demands[loaderName(5)].Permits; len(permits) != 0 {
		t.Errorf("the rare model got the permit first: %v", permits)
	}
	for loader := range waiting {
		if permits := w.demands[loader].Permits; len(permits) != 1 {
			t.Errorf("the busy model's copy got no permit: %v", permits)
		}
	}
}

// A whole fleet returns after a loss of power. Engines are empty, rates are unknown, and 40
// callers wait for one model. Loaded at one engine only, the engine read their prompts for
// four seconds, while the other engines held models without requests. Further engines
// must load it at once, and none ahead of demand.
func TestReturningCallersGetSeveralEngines(t *testing.T) {
	w := newFixture(t)
	w.servers(engineService, 6)
	hold := func(waiting int) {
		for i := range 6 {
			holdings := core.Holdings{FreeMB: 80_000, OnDisk: []string{"m1", "m2", "m3"}}
			if i == 0 && waiting > 0 {
				holdings.Models = []core.HeldModel{{Name: "m1", State: core.HoldLoading, ReadyIn: 800 * time.Millisecond, Waiting: waiting}}
			}
			w.reportHoldings(i, holdings)
		}
	}
	hold(0)
	for i := range 40 {
		w.call("patient", longPrompt("m1", i))
	}
	for range 4 {
		hold(40)
		w.run(planInterval)
	}
	further, idle := 0, 0
	for i := range 6 {
		for _, want := range w.demands[loaderName(i)].Wants {
			if want.Model == "m1" && want.Spread {
				further++
			}
			if want.Background {
				idle++
			}
		}
	}
	if further < 4 || idle != 0 {
		t.Fatalf("%d further engines load the model and %d models that nobody called, want 4 or more and none", further, idle)
	}
}

// Guards against extrapolating a single call: in a fleet of 68 routers one of them plans
// copies. A rare model was called there once within ten seconds; times 68 that made seven
// calls a second, and the model got a second copy, for which a busy model's was evicted.
func TestOneCallOfManyRoutersIsNotBusy(t *testing.T) {
	w := newFixture(t)
	w.servers(engineService, 2)
	for i := range 2 {
		w.step(LoaderUp{Loader: loaderName(i)})
		w.step(LoaderReported{Loader: loaderName(i), Holdings: core.Holdings{Routers: 68, Coordinator: "10.0.0.1", Models: []core.HeldModel{
			{Name: "m0", State: core.HoldLoaded, Rate: 30, SlowRate: 30}, {Name: "m1", State: core.HoldLoaded, Rate: 0.2, SlowRate: 0.2},
		}}})
	}
	s := w.router.services[engineService]
	for range 60 {
		w.now = w.now.Add(150 * time.Millisecond)
		s.arrival(w.now, prompt("m0"))
	}
	s.arrival(w.now, prompt("m1"))
	if got := w.router.neededCopies(engineService, "m1"); got != 1 {
		t.Errorf("the rare model needs %d copies, want 1", got)
	}
	if got := w.router.neededCopies(engineService, "m0"); got < 2 {
		t.Errorf("the busy model needs %d copies, want 2 or more", got)
	}
}

// Demand rises to 64 calls a second for a model that four engines have. By the rate four
// copies are enough, yet all slots of the four are taken and callers wait for seconds:
// concurrent answers take longer than estimated. The running requests must count.
func TestCrowdedEnginesGetCopies(t *testing.T) {
	w := newFixture(t)
	w.servers(engineService, 8)
	hold := func() {
		for i := range 8 {
			holdings := core.Holdings{FreeMB: 40_000, OnDisk: []string{"m1"}}
			if i < 4 {
				holdings = core.Holdings{Running: 64, Waiting: 8, Models: []core.HeldModel{
					{Name: "m1", State: core.HoldLoaded, Rate: 64}, {Name: "m2", State: core.HoldLoaded, Rate: 0.1},
				}}
			}
			holdings.Routers, holdings.Coordinator = 68, "10.0.0.1"
			w.step(LoaderUp{Loader: loaderName(i)})
			w.step(LoaderReported{Loader: loaderName(i), Holdings: holdings})
		}
	}
	hold()
	s := w.router.services[engineService]
	s.speed.models["m1"] = &modelSpeed{pause: 20 * time.Millisecond, first: 100 * time.Millisecond, events: 35}
	if got, want := w.router.neededCopies(engineService, "m1"), int(math.Ceil(4*72/(targetLoad*64))); got != want {
		t.Errorf("%d copies needed, want %d", got, want)
	}
	if got := w.router.neededCopies(engineService, "m2"); got != 1 {
		t.Errorf("%d copies of the rare model beside it needed, want 1", got)
	}
}

// Three callers of a rare model arrive within two seconds, by chance. Guards against
// comparing fast rates: the model counted as busy for half a minute and got a second copy,
// for which the weight store was read and another model evicted: three times as many loads
// on a small fleet. Only the slow rate may make a model busy.
func TestThreeCallsByChanceMakeNoBusyModel(t *testing.T) {
	w := newFixture(t)
	w.servers(engineService, 2)
	s := w.router.services[engineService]
	for range 60 {
		w.now = w.now.Add(100 * time.Millisecond)
		s.arrival(w.now, prompt("m0"))
	}
	for i := range 2 {
		w.reportHoldings(i, core.Holdings{Models: []core.HeldModel{{Name: "m1", State: core.HoldLoaded, Rate: 1.6, SlowRate: 0.4}}})
	}
	if got := w.router.neededCopies(engineService, "m1"); got != 1 {
		t.Errorf("%d copies of the rare model needed, want 1", got)
	}
}
