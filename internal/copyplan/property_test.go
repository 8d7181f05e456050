package copyplan

import (
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"

	"nutmeglane.example/nutmeglane/internal/core"
)

// propertyRounds is the number of random snapshots that each property is checked on.
const propertyRounds = 120

// checkRandom checks a property on random snapshots of both deployments.
func checkRandom(t *testing.T, check func(t *testing.T, rng *rand.Rand, s *Snapshot)) {
	t.Helper()
	for name, d := range map[string]deployment{"first": first, "second": second} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(propertyRounds) {
				rng := rand.New(rand.NewPCG(seed, 1))
				check(t, rng, d.random(rng))
				if t.Failed() {
					t.Fatalf("seed %d", seed)
				}
			}
		})
	}
}

// Guards against orders that an engine can't execute or that harm: two loads at one engine,
// a load at an engine that must not be chosen, and the eviction of a model that requests
// wait for or that was just loaded.
func TestPlansAreAllowed(t *testing.T) {
	checkRandom(t, func(t *testing.T, _ *rand.Rand, s *Snapshot) {
		taken := map[string]bool{}
		for _, l := range s.plan().Loads {
			if taken[l.Engine] {
				t.Errorf("two loads at %s", l.Engine)
			}
			taken[l.Engine] = true
			e := s.Engines[slices.IndexFunc(s.Engines, func(e Engine) bool { return e.ID == l.Engine })]
			if e.Planned || e.Foreign {
				t.Errorf("load at %+v", e)
			}
			if e.Background && l.Background {
				t.Errorf("a second load that no request needs at %s", l.Engine)
			}
			if slices.ContainsFunc(e.Held, func(h Held) bool { return h.Model == l.Model }) {
				t.Errorf("%s is at %s already", l.Model, l.Engine)
			}
			if e.Near[l.Model] != l.Tier {
				t.Errorf("tier %v, want %v", l.Tier, e.Near[l.Model])
			}
			free := e.FreeMB
			for _, victim := range l.Evict {
				h := e.Held[slices.IndexFunc(e.Held, func(h Held) bool { return h.Model == victim })]
				free += s.model(victim).MemoryMB
				if h.Recent || h.State != core.HoldLoaded || s.model(victim).Waiting > 0 {
					t.Errorf("evicts %+v, for which %d requests wait", h, s.model(victim).Waiting)
				}
			}
			if free < s.model(l.Model).MemoryMB {
				t.Errorf("%+v has no room: %g MB are free", l, free)
			}
		}
	})
}

// Guards against plans that change by themselves: for unchanged input a planner must give the
// same loads until the needed numbers fall, which they may once, after their five seconds.
func TestPlanIsStable(t *testing.T) {
	checkRandom(t, func(t *testing.T, _ *rand.Rand, s *Snapshot) {
		var p Planner
		before := p.Plan(*s)
		changes := map[string]int{}
		for range 32 {
			s.Now = s.Now.Add(interval)
			now := p.Plan(*s)
			for model, needed := range now.Needed {
				if needed > before.Needed[model] {
					t.Errorf("%s needs %d copies, before %d", model, needed, before.Needed[model])
				}
				if needed < before.Needed[model] {
					changes[model]++
				}
			}
			if diff := cmp.Diff(before.Loads, now.Loads); diff != "" && cmp.Equal(before.Needed, now.Needed) {
				t.Error("other loads for the same needs:", diff)
			}
			before = now
		}
		for model, n := range changes {
			if n > 1 {
				t.Errorf("the needed copies of %s changed %d times", model, n)
			}
		}
	})
}

// Guards against different plans of equal planners for equal input.
func TestPlanIsDeterministic(t *testing.T) {
	checkRandom(t, func(t *testing.T, _ *rand.Rand, s *Snapshot) {
		if diff := cmp.Diff(s.plan(), s.plan()); diff != "" {
			t.Error("two plans differ:", diff)
		}
	})
}

// Guards against fewer copies for more calls.
func TestNeededIsMonotoneInTheRate(t *testing.T) {
	checkRandom(t, func(t *testing.T, rng *rand.Rand, s *Snapshot) {
		m := &s.Models[rng.IntN(len(s.Models))]
		before := 0
		for _, rate := range []float64{0, 0.5, 3, 10, 20, 21, 40, 80, 200} {
			m.Rate = rate
			needed := s.plan().Needed[m.Name]
			if needed < before {
				t.Errorf("%d copies at %g a second, %d below it", needed, rate, before)
			}
			before = needed
		}
	})
}

// Guards against loads without end: if planned loads are carried out and demand does not
// change, no further load may be planned after the time that demand stays.
func TestPlannedCopiesAreEnough(t *testing.T) {
	checkRandom(t, func(t *testing.T, _ *rand.Rand, s *Snapshot) {
		for i := range s.Engines {
			s.Engines[i].Held, s.Engines[i].FreeMB = nil, s.Engines[i].MemoryMB
			s.Engines[i].Foreign, s.Engines[i].Planned = false, false
		}
		s.Store = Store{Limit: len(s.Models), LoadsLeft: len(s.Models)}
		var p Planner
		for range int(demandLasts / interval) {
			loads := p.Plan(*s).Loads
			if len(loads) == 0 {
				return
			}
			for _, l := range loads {
				s.carryOut(l)
			}
			s.Now = s.Now.Add(interval)
		}
		t.Error("loads are still planned after ten seconds")
	})
}
