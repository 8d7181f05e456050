package copyplan

import (
	"cmp"
	"slices"
	"time"

	"nutmeglane.example/nutmeglane/internal/core"
)

// This file plans the loads from the weight store, which serves only a few at full speed.

const (
	// lossChance is the assumed probability that an engine is lost while a second copy of
	// its models would be read. It ranks such loads behind those that callers need now.
	lossChance = 0.01
	// rareRate is the requests per second that are assumed for a model that nobody has called
	// for a while: one of 200 models that share some ten requests a second.
	rareRate = 0.05
	// backgroundEvictRate is the requests per second up to which a loaded model may be
	// evicted for a load that no request needs: above it, the model would be called again
	// before the new one. Loaders apply the same bound.
	backgroundEvictRate = 0.5
)

// countPending collects the gains of the store loads that are ordered and have not begun.
func (r *round) countPending() {
	for i := range r.models {
		m := &r.models[i]
		for range m.storeWaits {
			r.storePending = append(r.storePending, r.storeGain(m))
		}
	}
}

// storeHasTurn reports whether a load with the given gain would be among the next to get a
// permit. The others are planned later: an engine that waits for the store takes no other
// planned load.
func (r *round) storeHasTurn(gain float64) bool {
	ahead := 0
	for _, g := range r.storePending {
		if g >= gain {
			ahead++
		}
	}
	return ahead < max(1, r.Store.Limit)
}

// storeGain is the gain of one more copy of a model from the store.
func (r *round) storeGain(m *modelState) float64 {
	lacks := m.lacks()
	switch {
	case len(m.copies) == 0 && len(m.near) == 0:
		return m.callers(max(m.Rate, rareRate))
	case len(m.copies) == 0:
		return m.Rate*min(demandLasts, m.nearestLoad).Seconds() + float64(m.Waiting)
	case lacks > minDifference:
		return m.shortageGain(lacks) + float64(m.Waiting)
	case m.places < 2:
		return m.gainAfterLoss(m.StoreLoad) + float64(m.Waiting)
	default:
		return float64(m.Waiting)
	}
}

// gainAfterLoss is the expected number of callers that a second copy serves after the loss
// of the only one, until another is loaded.
func (m *modelState) gainAfterLoss(load time.Duration) float64 {
	return m.Rate * load.Seconds() * lossChance
}

// backgroundGain is the gain of a load that no request needs at present.
func (m *modelState) backgroundGain() float64 {
	if m.places == 0 {
		return m.callers(max(m.Rate, rareRate))
	}
	return m.gainAfterLoss(m.StoreLoad)
}

// takeoverAfterLoss is the expected number of requests per second that a second copy serves
// because the only one is lost.
//
// It guards against second copies that evict the only copies of other models: models that
// were called once in two seconds evicted each other in turn, and their callers waited for
// loads.
func (m *modelState) takeoverAfterLoss() float64 { return m.Rate * lossChance }

// storeGains returns the gain of a store load for each model that one is ordered for.
func (r *round) storeGains() map[string]float64 {
	gains := map[string]float64{}
	for i := range r.models {
		if m := &r.models[i]; m.storeWaits > 0 {
			gains[m.Name] = r.storeGain(m)
		}
	}
	return gains
}

// planBackground plans the loads from the store that no request needs at present, while the
// store has capacity and nothing waits for it: models that no engine has near, and second
// copies of models that are called and are at one engine only. The most called comes first.
func (r *round) planBackground() {
	free := min(r.Store.Limit-r.Store.Active, r.Store.LoadsLeft) - max(r.Store.Waiting, len(r.storePending))
	if free <= 0 || r.StartingUp {
		return
	}
	waiting := slices.Clone(r.storePending)
	for _, m := range r.backgroundModels() {
		higher := func(gain float64) bool { return gain > m.backgroundGain() }
		if free <= 0 || slices.ContainsFunc(waiting, higher) {
			return
		}
		c := r.idleEngine(m)
		if c == nil {
			continue
		}
		load := Load{Gain: m.backgroundGain(), Reason: SecondPlace, Background: true}
		if m.places == 0 {
			load.Reason = Absent
		}
		r.order(m, c, load)
		free--
	}
}

// backgroundModels returns the models that have too few places, in the order of their loads.
func (r *round) backgroundModels() []*modelState {
	var models []*modelState
	for i := range r.models {
		m := &r.models[i]
		if m.storeWaits+m.storeLoads == 0 && (m.places == 0 || m.places == 1 && m.Rate > 0 && !m.Uncertain) {
			models = append(models, m)
		}
	}
	slices.SortStableFunc(models, func(a, b *modelState) int {
		return cmp.Or(-cmp.Compare(a.backgroundGain(), b.backgroundGain()),
			cmp.Compare(core.Score(a.Name, "copyplan"), core.Score(b.Name, "copyplan")))
	})
	return models
}

// idleEngine returns the engine for a load that no request needs: of those that could begin
// at once the one with most free memory.
func (r *round) idleEngine(m *modelState) *choice {
	terms := placement{takeover: m.takeoverAfterLoss(), withStore: true, background: true}
	if m.places == 0 {
		terms.takeover = min(m.Rate, backgroundEvictRate)
	}
	var best *choice
	for i := range r.engines {
		e := &r.engines[i]
		if e.FreeIn > 0 || e.Near[m.Name] != TierStore || !e.takes(m.Name, terms) {
			continue
		}
		evict, _, ok := r.makeRoom(e, m, terms)
		if !ok {
			continue
		}
		if best == nil || e.FreeMB > best.engine.FreeMB {
			best = &choice{engine: e, tier: TierStore, evict: evict}
		}
	}
	return best
}
