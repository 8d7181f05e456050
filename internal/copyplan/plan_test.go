package copyplan

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"nutmeglane.example/nutmeglane/internal/core"
)

// Guards against a wrong number of copies for a steady rate: each copy may take 0.6 of an
// engine less what its other models take, at least 0.2, and a difference below a fifth of an
// engine makes no copy.
func TestNeededCopies(t *testing.T) {
	tests := []struct {
		name string
		set  func(s *Snapshot, m *Model)
		want int
	}{
		{"idle", func(*Snapshot, *Model) {}, 1},
		{"0.75 of an engine: within the difference", func(_ *Snapshot, m *Model) { m.Rate = 25 }, 1},
		{"0.9 of an engine", func(_ *Snapshot, m *Model) { m.Rate = 30 }, 2},
		{"3 engines", func(_ *Snapshot, m *Model) { m.Rate = 100 }, 5},
		{"3 engines, by chance", func(_ *Snapshot, m *Model) { m.Rate, m.Uncertain = 100, true }, 1},
		{"busy", func(_ *Snapshot, m *Model) { m.Rate, m.Busy = 3, true }, 2},
		{"rises by 20 a second within a load of 1 s and 0.5 s", func(_ *Snapshot, m *Model) { m.Rate, m.Trend = 40, 20 }, 4},
		{"rises at most to twice the rate", func(_ *Snapshot, m *Model) { m.Rate, m.Trend = 20, 1000 }, 2},
		{"falls", func(_ *Snapshot, m *Model) { m.Rate, m.Trend = 100, -50 }, 5},
		{"40 wait, 16 are read within half of the objective", func(_ *Snapshot, m *Model) { m.Waiting = 40 }, 3},
		{"17 wait, within the difference", func(_ *Snapshot, m *Model) { m.Waiting = 17 }, 1},
		{"unread ones count", func(_ *Snapshot, m *Model) { m.Waiting, m.Unread = 20, 20 }, 3},
		{"a longer objective", func(_ *Snapshot, m *Model) { m.Waiting, m.Objective = 40, 3*time.Second }, 1},
		{"unknown work and objective", func(_ *Snapshot, m *Model) { m.Waiting, m.Work, m.Objective = 40, 0, 0 }, 3},
		{"its engine's other model takes 0.3", func(s *Snapshot, m *Model) {
			m.Rate = 30
			s.model("m2").Rate = 10
			s.hold("m1", 0)
			s.hold("m2", 0)
		}, 2},
		{"its engines' other models take all but the least", func(s *Snapshot, m *Model) {
			m.Rate = 20
			s.model("m2").Rate = 60
			s.hold("m1", 0, 1)
			s.hold("m2", 0, 1)
		}, 2},
		{"copies with a budget of 5 a second", func(s *Snapshot, m *Model) {
			m.Rate = 30
			s.hold("m1", 0, 1)
			s.Engines[0].Budget, s.Engines[1].Budget = 5, 5
		}, 3},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := first.empty().onDisks(8)
			m := s.model("m1")
			m.Work = 30 * time.Millisecond
			s.model("m2").Work = 30 * time.Millisecond
			test.set(s, m)
			if got := s.plan().Needed["m1"]; got != test.want {
				t.Errorf("%d copies needed, want %d", got, test.want)
			}
		})
	}
}

// Guards against the choice of an engine where the copy is ready later, or that is loaded,
// or that must not be chosen.
func TestChoiceOfEngine(t *testing.T) {
	// All engines hold a model without callers that may be evicted.
	tests := []struct {
		name string
		set  func(s *Snapshot)
		want string
	}{
		{"near copy before the store", func(s *Snapshot) { s.Engines[2].Near["m1"] = TierDisk }, "e002"},
		{"memory before disk", func(s *Snapshot) {
			s.Engines[1].Near["m1"], s.Engines[2].Near["m1"] = TierDisk, TierMemory
		}, "e002"},
		{"busy near copy sooner than the store", func(s *Snapshot) {
			s.Engines[2].Near["m1"], s.Engines[2].FreeIn = TierDisk, 4*time.Second
		}, "e002"},
		{"idle near copy before a busy one", func(s *Snapshot) {
			s.Engines[1].Near["m1"], s.Engines[1].FreeIn = TierDisk, time.Second
			s.Engines[2].Near["m1"] = TierDisk
		}, "e002"},
		{"least load of equal ones", func(s *Snapshot) {
			s.Engines[1].Near["m1"], s.Engines[2].Near["m1"] = TierDisk, TierDisk
			s.Engines[1].Load = 0.3
		}, "e002"},
		{"not one with a planned load", func(s *Snapshot) {
			s.Engines[1].Near["m1"], s.Engines[2].Near["m1"] = TierDisk, TierDisk
			s.Engines[1].Planned = true
		}, "e002"},
		{"one with a load that no request needs", func(s *Snapshot) {
			s.Engines[1].Near["m1"], s.Engines[1].Background = TierDisk, true
		}, "e001"},
		{"not one that follows another router", func(s *Snapshot) {
			s.Engines[1].Near["m1"], s.Engines[2].Near["m1"] = TierDisk, TierDisk
			s.Engines[1].Foreign = true
		}, "e002"},
		{"not one at its budget", func(s *Snapshot) {
			s.Engines[1].Near["m1"], s.Engines[2].Near["m1"] = TierDisk, TierDisk
			s.model("m2").Rate, s.Engines[1].Budget = 4, 3
			s.hold("m2", 1)
			s.Engines[1].FreeMB = 80_000
		}, "e002"},
		{"free memory before an eviction from busy memory", func(s *Snapshot) {
			s.Engines[1].Near["m1"], s.Engines[2].Near["m1"] = TierDisk, TierDisk
			s.hold("m3", 1)
			s.Engines[1].FreeMB, s.Engines[1].Held[0].Running = 0, 3
		}, "e002"},
		{"not where a model called more often would go", func(s *Snapshot) {
			s.Engines[1].Near["m1"], s.Engines[2].Near["m1"] = TierDisk, TierDisk
			s.Engines[2].FreeIn = 2 * time.Second
			s.model("m3").Rate = 20
			s.hold("m3", 1)
			s.Engines[1].FreeMB = 0
		}, "e002"},
		{"not where a model called as often would go", func(s *Snapshot) {
			s.Engines[1].Near["m1"], s.Engines[2].Near["m1"] = TierDisk, TierDisk
			s.Engines[2].FreeIn = 2 * time.Second
			s.model("m3").Rate = 16
			s.hold("m3", 1)
			s.Engines[1].FreeMB = 0
		}, "e002"},
		{"not where a model with many running requests would go", func(s *Snapshot) {
			s.Engines[1].Near["m1"], s.Engines[2].Near["m1"] = TierDisk, TierDisk
			s.Engines[2].FreeIn = 2 * time.Second
			s.model("m3").Rate = 2
			s.hold("m3", 1)
			s.Engines[1].FreeMB, s.Engines[1].Held[0].Running = 0, 9
		}, "e002"},
		{"not where a model that requests wait for would go", func(s *Snapshot) {
			s.Engines[1].Near["m1"], s.Engines[2].Near["m1"] = TierDisk, TierDisk
			s.Engines[2].FreeIn = 2 * time.Second
			s.model("m3").Waiting = 1
			s.hold("m3", 1)
			s.Engines[1].FreeMB = 0
		}, "e002"},
		{"none while the engine with the near copy is about to be free", func(s *Snapshot) {
			s.Engines[2].Near["m1"], s.Engines[2].Planned = TierDisk, true
		}, ""},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := first.empty()
			s.Engines = s.Engines[:4]
			s.hold("m1", 0)
			s.model("m1").Rate = 32 // one more copy, which takes over 16 a second
			test.set(s)
			loads := s.plan().loadsOf("m1")
			got := ""
			if len(loads) > 0 {
				got = loads[0].Engine
			}
			if got != test.want || len(loads) > 1 {
				t.Errorf("planned %+v, want one at %q", loads, test.want)
			}
		})
	}
}

// Guards against copies that come one after another: all that a model lacks must be planned
// in the same round, each at another engine.
func TestMissingCopiesArePlannedAtOnce(t *testing.T) {
	for name, d := range map[string]deployment{"first": first, "second": second} {
		t.Run(name, func(t *testing.T) {
			s := d.empty()
			for i := range s.Engines {
				s.Engines[i].Near["m1"] = TierDisk
			}
			s.hold("m1", 0, 1)
			s.model("m1").Rate = 120
			plan := s.plan()
			engines := map[string]bool{}
			for _, l := range plan.loadsOf("m1") {
				engines[l.Engine] = true
				if l.Reason != Shortage || l.Tier != TierDisk {
					t.Errorf("planned %+v, want one from disk for a shortage", l)
				}
			}
			if want := plan.Needed["m1"] - 2; len(engines) != want || want < 2 {
				t.Errorf("%d engines, want %d", len(engines), want)
			}
		})
	}
}

// A load of a busy model from the store is pending. Guards against a model that gets no
// copies from near ones meanwhile: they must be planned all the same, and no second load
// from the store.
func TestPendingStoreLoadBlocksNoNearCopies(t *testing.T) {
	for name, state := range map[string]core.HoldState{"waits": core.HoldPermit, "loads": core.HoldStoreLoading} {
		t.Run(name, func(t *testing.T) {
			s := second.empty()
			s.hold("m1", 0)
			s.holdAs("m1", state, 1)
			s.model("m1").Rate = 35
			s.Engines[2].Near["m1"], s.Engines[2].FreeIn = TierDisk, time.Second
			loads := s.plan().loadsOf("m1")
			if len(loads) != 1 || loads[0].Engine != "e002" || loads[0].Tier != TierDisk {
				t.Errorf("planned %+v, want one from the disk of e002", loads)
			}
		})
	}
}

// Guards against a store that is occupied by models without callers: a model that callers
// are refused for must be planned although the store has its loads, and rank before them.
func TestStoreLoadsAreRankedByGain(t *testing.T) {
	s := second.empty().onDisks(8)
	for i := range s.Engines {
		delete(s.Engines[i].Near, "m1")
	}
	s.Store = Store{Active: 0, Waiting: 3, Limit: 1, LoadsLeft: 1}
	for i, model := range []string{"m2", "m3", "m4"} {
		s.holdAs(model, core.HoldPermit, i)
	}
	s.model("m1").Rate = 25
	plan := s.plan()
	loads := plan.loadsOf("m1")
	if len(loads) != 1 || loads[0].Reason != Absent || loads[0].Tier != TierStore || loads[0].Background {
		t.Fatalf("planned %+v, want a load of the absent model", loads)
	}
	for _, other := range []string{"m2", "m3", "m4"} {
		if plan.StoreGain[other] >= plan.StoreGain["m1"] {
			t.Errorf("%s has gain %g, m1 %g", other, plan.StoreGain[other], plan.StoreGain["m1"])
		}
	}
	for _, l := range plan.Loads {
		if l.Tier == TierStore && l.Model != "m1" {
			t.Errorf("planned %+v while loads wait for the store", l)
		}
	}
}

// Guards against a called model that only one engine has: it must get a second place while
// the store has capacity, the most called first, and only as many as the store serves.
func TestSecondPlaces(t *testing.T) {
	s := second.empty().onDisks(12)
	for i := range s.Engines {
		for _, model := range []string{"m1", "m2", "m3"} {
			delete(s.Engines[i].Near, model)
		}
	}
	s.hold("m1", 0)
	s.hold("m2", 1)
	s.hold("m3", 2)
	s.model("m1").Rate, s.model("m2").Rate, s.model("m3").Rate = 8, 12, 10
	got := func() []string {
		var models []string
		for _, l := range s.plan().Loads {
			if l.Reason != SecondPlace || !l.Background || l.Tier != TierStore {
				t.Errorf("planned %+v", l)
			}
			models = append(models, l.Model)
		}
		return models
	}
	if diff := cmp.Diff([]string{"m2", "m3"}, got()); diff != "" {
		t.Error("with two at once (-want +got):", diff)
	}
	for name, change := range map[string]func(){
		"the store is full":        func() { s.Store.Active = 2 },
		"the ceiling is reached":   func() { s.Store = Store{Limit: 2} },
		"loads wait":               func() { s.Store = Store{Waiting: 2, Limit: 2, LoadsLeft: 5} },
		"the fleet is starting up": func() { s.Store, s.StartingUp = Store{Limit: 2, LoadsLeft: 5}, true },
	} {
		t.Run(name, func(t *testing.T) {
			change()
			if models := got(); len(models) > 0 {
				t.Errorf("planned %v", models)
			}
			s.StartingUp = false
		})
	}
}

// Guards against copies that become spare with each short fall of the rate, and against ones
// that never do: the needed number falls after 5 s, and rises at once.
func TestNeededFallsAfterFiveSeconds(t *testing.T) {
	s := first.empty().onDisks(8)
	var p Planner
	run := func(rate float64, d time.Duration) int {
		s.model("m1").Rate = rate
		needed := 0
		for end := s.Now.Add(d); s.Now < end; {
			needed = p.Plan(*s).Needed["m1"]
			s.Now = s.Now.Add(interval)
		}
		return needed
	}
	if got := run(100, interval); got != 6 {
		t.Fatalf("%d copies needed, want 6", got)
	}
	if got := run(10, 4*time.Second); got != 6 {
		t.Errorf("%d copies needed after 4 s, want 6", got)
	}
	if got := run(100, interval); got != 6 {
		t.Errorf("%d copies needed, want 6", got)
	}
	if got := run(10, lowerFor+time.Second); got != 1 {
		t.Errorf("%d copies needed after 6 s, want 1", got)
	}
	if got := run(100, interval); got != 6 {
		t.Errorf("%d copies needed at once, want 6", got)
	}
}

// Guards against copies that oscillate: a rate at the boundary that varies by a tenth of an
// engine must change the needed number at most once.
func TestSmallChangesDoNotChangeNeeded(t *testing.T) {
	s := first.empty().onDisks(8)
	s.hold("m1", 0, 1, 2)
	var p Planner
	var seen []int
	for i := range 400 {
		s.model("m1").Rate = 45 + 1.5*float64(i%3)
		seen = append(seen, p.Plan(*s).Needed["m1"])
		s.Now = s.Now.Add(interval)
	}
	if distinct := slices.Compact(seen); len(distinct) > 2 {
		t.Errorf("needed copies %v, want at most one change", distinct)
	}
}

// Guards against copies for a jump of a loader's sum: after a restart a model's rate appears
// within one report, which is no trend.
func TestRateThatAppearsIsNoTrend(t *testing.T) {
	s := first.empty().onDisks(8)
	var p Planner
	for i := range 12 {
		s.model("m1").Rate = 0
		if i >= 5 {
			s.model("m1").Rate = 25
		}
		if got, want := p.Plan(*s).Needed["m1"], 2; got > want {
			t.Errorf("plan %d: %d copies needed, want at most %d", i, got, want)
		}
		s.Now = s.Now.Add(interval)
	}
}

// Two routers coordinate half of the engines each. Guards against twice as many copies as
// are needed: each must plan its half, and only at its engines.
func TestTwoPlannersShareWhatIsMissing(t *testing.T) {
	s := first.empty()
	for i := range s.Engines {
		s.Engines[i].Near["m1"] = TierDisk
	}
	s.model("m1").Waiting = 120
	needed, planned := s.plan().Needed["m1"], 0
	for half := range 2 {
		for i := range s.Engines {
			s.Engines[i].Foreign = i%2 != half
		}
		for _, l := range s.plan().loadsOf("m1") {
			planned++
			if i := slices.IndexFunc(s.Engines, func(e Engine) bool { return e.ID == l.Engine }); s.Engines[i].Foreign {
				t.Errorf("planned at %s, which follows another router", l.Engine)
			}
		}
	}
	if planned < needed || planned > needed+1 {
		t.Errorf("%d copies planned by two routers, want %d or one more", planned, needed)
	}
}

// Guards against an order of loads that does not follow the gain: by gain per second of load
// time, and by gain between two loads from the store.
func TestOrderOfLoads(t *testing.T) {
	load := func(model string, tier Tier, gain float64, takes time.Duration) plannedLoad {
		return plannedLoad{Load: Load{Model: model, Tier: tier, Gain: gain}, takes: takes}
	}
	r := &round{loads: []plannedLoad{
		load("small", TierDisk, 1, time.Second),
		load("short store", TierStore, 100, 10*time.Second),
		load("long store", TierStore, 120, 20*time.Second),
		load("large", TierDisk, 20, time.Second),
		load("middle", TierMemory, 8, time.Second),
	}}
	var got []string
	for _, l := range sortLoads(r) {
		got = append(got, l.Model)
	}
	if diff := cmp.Diff([]string{"large", "long store", "middle", "short store", "small"}, got); diff != "" {
		t.Error("order (-want +got):", diff)
	}
}

// Calls arrive by chance at a steady rate. Guards against copies for each chance rise: a rate
// of 60 a second needs four copies, and may get one more at times.
func TestChanceMakesFewCopies(t *testing.T) {
	const perSecond, step = 60.0, 10 * time.Millisecond
	for seed := range uint64(40) {
		s := first.empty().onDisks(8)
		m, rng := s.model("m1"), rand.New(rand.NewPCG(seed, 7))
		m.Rate = perSecond
		var p Planner
		needed := p.Plan(*s).Needed["m1"]
		for i := range int(time.Minute / step) {
			s.Now = s.Now.Add(step)
			m.Rate = core.Decayed(m.Rate, core.FastRateMemory, step)
			if rng.Float64() < perSecond*step.Seconds() {
				m.Rate += 1 / core.FastRateMemory.Seconds()
			}
			if i%int(interval/step) != 0 {
				continue
			}
			if got := p.Plan(*s).Needed["m1"]; got > needed+1 {
				t.Errorf("seed %d: %d copies needed after %v, want %d or one more", seed, got, time.Duration(i)*step, needed)
				break
			}
		}
	}
}

// Guards against second copies that evict the only copies of other models: a busy model's
// second copy helps only if the first is lost, and takes free memory or a spare copy's.
func TestSecondCopyEvictsNoOnlyCopy(t *testing.T) {
	s := first.empty()
	s.Engines = s.Engines[:2]
	s.hold("m1", 0)
	s.hold("m2", 1)
	s.model("m1").Rate, s.model("m1").Busy, s.model("m2").Rate = 5, true, 0.4
	s.Engines[1].Near["m1"], s.Engines[1].FreeMB = TierDisk, 0
	if loads := s.plan().loadsOf("m1"); len(loads) > 0 {
		t.Errorf("planned %+v", loads)
	}
	s.model("m2").Rate = 0
	if loads := s.plan().loadsOf("m1"); len(loads) != 1 || loads[0].Reason != SecondPlace {
		t.Errorf("planned %+v, want a second copy in place of a model without calls", loads)
	}
}

// The store has capacity for two loads, and one that 25 callers a second need waits for its
// permit. Guards against a load that nobody needs beside it: it would halve the speed if the
// capacity is overestimated.
func TestNothingIsReadAheadWhileANeededLoadWaits(t *testing.T) {
	s := second.empty().onDisks(12)
	for i := range s.Engines {
		delete(s.Engines[i].Near, "m1")
		delete(s.Engines[i].Near, "m2")
	}
	s.holdAs("m1", core.HoldPermit, 0)
	s.hold("m2", 1)
	s.model("m1").Rate, s.model("m2").Rate = 25, 5
	if loads := s.plan().Loads; len(loads) > 0 {
		t.Errorf("planned %+v", loads)
	}
}
