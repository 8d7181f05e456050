package copyplan

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"nutmeglane.example/nutmeglane/internal/core"
)

// interval is the time between two plans.
const interval = 250 * time.Millisecond

// deployment is the size of a deployment for which plans are computed.
type deployment struct {
	models, engines    int
	modelMB, engineMB  float64
	work               time.Duration
	storeLoad, perLoad time.Duration
}

// first and second are the two deployments of the design page. The work of a request is the
// time to read a prompt of 646 tokens, and its part of 23 steps.
var (
	first  = deployment{144, 47, 16_100, 83_000, 35300 * time.Microsecond, 6 * time.Second, time.Second}
	second = deployment{228, 39, 65_100, 230_000, 23500 * time.Microsecond, 14 * time.Second, 1600 * time.Millisecond}
	bench  = deployment{240, 78, 16_100, 83_000, 35300 * time.Microsecond, 6 * time.Second, time.Second}
	large  = deployment{299, 300, 16_100, 83_000, 35300 * time.Microsecond, 6 * time.Second, time.Second}
)

func modelName(i int) string  { return fmt.Sprintf("m%d", i) }
func engineName(i int) string { return fmt.Sprintf("e%03d", i) }

// empty returns a snapshot of engines that hold nothing.
func (d deployment) empty() *Snapshot {
	s := &Snapshot{Now: core.Time(time.Hour), Store: Store{Limit: 2, LoadsLeft: 5}}
	for i := range d.models {
		s.Models = append(s.Models, Model{
			Name: modelName(i), MemoryMB: d.modelMB, StoreLoad: d.storeLoad, DiskLoad: d.perLoad, HostLoad: d.perLoad * 6 / 10,
			Work: d.work, Objective: time.Second,
		})
	}
	for i := range d.engines {
		s.Engines = append(s.Engines, Engine{ID: engineName(i), MemoryMB: d.engineMB, FreeMB: d.engineMB, Near: map[string]Tier{}})
	}
	return s
}

// onDisks gives each engine copies on disk, so that each model has some.
func (s *Snapshot) onDisks(each int) *Snapshot {
	for i := range s.Engines {
		for j := range each {
			s.Engines[i].Near[s.Models[(i*each+j)%len(s.Models)].Name] = TierDisk
		}
	}
	return s
}

func (s *Snapshot) model(name string) *Model {
	for i := range s.Models {
		if s.Models[i].Name == name {
			return &s.Models[i]
		}
	}
	panic(name)
}

// hold adds a loaded model to engines.
func (s *Snapshot) hold(model string, engines ...int) {
	for _, i := range engines {
		s.holdAs(model, core.HoldLoaded, i)
	}
}

func (s *Snapshot) holdAs(model string, state core.HoldState, i int) {
	e := &s.Engines[i]
	e.Held = append(e.Held, Held{Model: model, State: state})
	if state != core.HoldPermit {
		e.FreeMB -= s.model(model).MemoryMB
	}
}

// carryOut applies a planned load, with its evictions.
func (s *Snapshot) carryOut(l Load) {
	i := slices.IndexFunc(s.Engines, func(e Engine) bool { return e.ID == l.Engine })
	e := &s.Engines[i]
	for _, victim := range l.Evict {
		e.Held = slices.DeleteFunc(e.Held, func(h Held) bool { return h.Model == victim })
		e.FreeMB += s.model(victim).MemoryMB
	}
	s.holdAs(l.Model, core.HoldLoaded, i)
	e.Near[l.Model] = TierDisk
}

// loadsOf returns the planned loads of a model.
func (p Plan) loadsOf(model string) []Load {
	var loads []Load
	for _, l := range p.Loads {
		if l.Model == model {
			loads = append(loads, l)
		}
	}
	return loads
}

// plan returns the plan of a new planner.
func (s *Snapshot) plan() Plan {
	var p Planner
	return p.Plan(*s)
}

// random fills a snapshot with models, rates and states by chance.
func (d deployment) random(rng *rand.Rand) *Snapshot {
	s := d.empty()
	for i := range s.Models {
		m := &s.Models[i]
		m.Rate = 0.1 * rng.ExpFloat64()
		if rng.IntN(10) == 0 {
			m.Rate = 50 * rng.Float64()
		}
		m.Uncertain, m.Busy = rng.IntN(8) == 0, m.Rate > 5 && rng.IntN(2) == 0
		if rng.IntN(6) == 0 {
			m.Waiting, m.Unread = rng.IntN(40), rng.IntN(20)
		}
	}
	for i := range s.Engines {
		s.randomEngine(rng, i, d.engineMB)
	}
	s.Store.Active, s.Store.Limit, s.Store.LoadsLeft = rng.IntN(3), 1+rng.IntN(3), rng.IntN(6)
	return s
}

func (s *Snapshot) randomEngine(rng *rand.Rand, i int, memoryMB float64) {
	e := &s.Engines[i]
	e.Load, e.Planned, e.Foreign = rng.Float64(), rng.IntN(10) == 0, rng.IntN(10) == 0
	e.Background = rng.IntN(10) == 0
	if rng.IntN(4) == 0 {
		e.FreeIn = time.Duration(rng.Int64N(int64(3 * time.Second)))
	}
	if rng.IntN(8) == 0 {
		e.Budget = 40 * rng.Float64()
	}
	states := []core.HoldState{core.HoldQueued, core.HoldPermit, core.HoldLoading, core.HoldStoreLoading, core.HoldLoaded, core.HoldLoaded, core.HoldLoaded, core.HoldUnloading}
	for _, j := range rng.Perm(len(s.Models))[:rng.IntN(6)] {
		if s.Models[j].MemoryMB > e.FreeMB {
			break
		}
		s.holdAs(s.Models[j].Name, states[rng.IntN(len(states))], i)
		h := &e.Held[len(e.Held)-1]
		h.Running, h.Recent = rng.IntN(3)*rng.IntN(20), rng.IntN(5) == 0
	}
	for range rng.IntN(40) {
		e.Near[s.Models[rng.IntN(len(s.Models))].Name] = Tier(1 + rng.IntN(2))
	}
}
