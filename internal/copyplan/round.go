package copyplan

import (
	"slices"
	"time"

	"nutmeglane.example/nutmeglane/internal/core"
)

// defaultWork is used for a model whose work is unknown: the reading time of a prompt of
// some 600 to 900 tokens.
const defaultWork = 30 * time.Millisecond

// round is the state of one computation of a plan.
type round struct {
	*Snapshot
	now     core.Time
	models  []modelState
	engines []engineState
	byName  map[string]int
	loads   []plannedLoad
	// own is the part of the engines that this router plans for.
	own float64
	// storePending are the gains of the store loads that are ordered and have not begun.
	storePending []float64
}

// modelState is a model with what a round knows of it.
type modelState struct {
	*Model
	// copies are the engines that have the model loaded or will soon. An engine that loads it
	// from the weight store, or waits for that, is not among them: it may take ten times as
	// long as a load from a near copy.
	copies []int
	// loaded is the number of copies that are loaded, less those that are to be evicted.
	loaded int
	// near are the engines with a copy in host memory or on disk.
	near []int
	// places is the number of engines that have the model in any way.
	places int
	// storeWaits is the number of engines that wait to load it from the store, storeLoads that
	// of those that do.
	storeWaits, storeLoads int
	// nearestLoad is the load time from the nearest place.
	nearestLoad time.Duration
	// work is the seconds of engine time that a request takes.
	work      float64
	predicted float64
	// parts are the fractions of an engine's time that the copies may take, largest first.
	parts            []float64
	required, needed int
}

// engineState is an engine with what a round knows of it.
type engineState struct {
	*Engine
	// held are the models that the engine has loaded or will have soon.
	held []int
	// called is the requests per second that reach it, busy the fraction of its time that
	// they take, both by the models' rates.
	called, busy float64
	// taken is set if nothing can be planned there.
	taken bool
}

// plannedLoad is a load with its duration.
type plannedLoad struct {
	Load
	takes time.Duration
}

func (l plannedLoad) gainPerSecond() float64 { return l.Gain / max(l.takes.Seconds(), 0.001) }

func newRound(s *Snapshot) *round {
	r := &round{
		Snapshot: s, now: s.Now, models: make([]modelState, len(s.Models)),
		engines: make([]engineState, len(s.Engines)), byName: make(map[string]int, len(s.Models)),
	}
	for i := range s.Models {
		m := &s.Models[i]
		work := m.Work
		if work <= 0 {
			work = defaultWork
		}
		r.models[i] = modelState{Model: m, work: work.Seconds()}
		r.byName[m.Name] = i
	}
	for i := range s.Engines {
		r.addEngine(i)
	}
	r.addLoads()
	return r
}

// addEngine records what an engine has.
func (r *round) addEngine(i int) {
	e := &r.engines[i]
	e.Engine = &r.Engines[i]
	e.taken = e.Planned || e.Foreign
	if !e.Foreign {
		r.own += 1 / float64(len(r.Engines))
	}
	for _, h := range e.Held {
		j, known := r.byName[h.Model]
		if known {
			r.addHeld(i, j, h)
		}
	}
	for name := range e.Near {
		j, known := r.byName[name]
		if !known {
			continue
		}
		m := &r.models[j]
		m.near = append(m.near, i)
		if !e.holds(name) {
			m.places++
		}
	}
}

func (r *round) addHeld(i, j int, h Held) {
	e, m := &r.engines[i], &r.models[j]
	switch h.State {
	case core.HoldUnloading:
		return
	case core.HoldPermit:
		m.storeWaits++
		return
	case core.HoldStoreLoading:
		m.storeLoads++
		m.places++
		return
	case core.HoldLoaded:
		m.loaded++
	}
	m.places++
	m.copies = append(m.copies, i)
	e.held = append(e.held, j)
}

// holds reports whether an engine has a model loaded or will have it soon.
func (e *engineState) holds(model string) bool {
	return slices.ContainsFunc(e.Held, func(h Held) bool {
		return h.Model == model && h.State != core.HoldUnloading && h.State != core.HoldPermit
	})
}

// listed reports whether an engine has a model in any state.
func (e *engineState) listed(model string) bool {
	return slices.ContainsFunc(e.Held, func(h Held) bool { return h.Model == model })
}

// addLoads computes the load of the engines, and the load time of each model.
func (r *round) addLoads() {
	for i := range r.models {
		m := &r.models[i]
		m.nearestLoad = m.StoreLoad
		for _, j := range m.near {
			m.nearestLoad = min(m.nearestLoad, m.loadTime(r.engines[j].Near[m.Name]))
		}
		for _, j := range m.copies {
			e := &r.engines[j]
			e.called += m.rateAtCopy()
			e.busy += m.rateAtCopy() * m.work
		}
	}
}

// rateAtCopy is the part of the model's rate that reaches one of its copies.
func (m *modelState) rateAtCopy() float64 { return m.Rate / float64(max(1, len(m.copies))) }

// loadTime is the time of an undisturbed load.
func (m *modelState) loadTime(t Tier) time.Duration {
	switch t {
	case TierMemory:
		return m.HostLoad
	case TierDisk:
		return m.DiskLoad
	default:
		return m.StoreLoad
	}
}
