package copyplan

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"nutmeglane.example/nutmeglane/internal/core"
)

const (
	// memoryLife is the pause between two plans after which what was known before no longer
	// counts: the router did not coordinate meanwhile, and rates may have changed.
	memoryLife = 2 * time.Second
	// lowerFor is how long fewer copies must have been enough before the needed number
	// falls. Demand that left a model often returns within seconds.
	lowerFor = 5 * time.Second
)

// Planner makes the plans of one service. The zero value is ready for use.
type Planner struct {
	plannedAt core.Time
	models    map[string]*memory
}

// memory is what lasts of a model between plans.
type memory struct {
	rates rateHistory
	// needed is the number of copies that the model was last said to need, notLowerAt when
	// that many were last required.
	needed     int
	notLowerAt core.Time
	seenAt     core.Time
}

// Plan returns the plan for a snapshot. Snapshots must be passed in the order of their times.
func (p *Planner) Plan(snapshot Snapshot) Plan {
	if p.models == nil || snapshot.Now.Sub(p.plannedAt) > memoryLife {
		p.models = map[string]*memory{}
	}
	p.plannedAt = snapshot.Now
	r := newRound(&snapshot)
	for i := range r.models {
		p.assess(r, &r.models[i])
	}
	maps.DeleteFunc(p.models, func(_ string, m *memory) bool { return m.seenAt != snapshot.Now })
	r.planDemanded()
	r.planBackground()
	plan := Plan{Needed: make(map[string]int, len(r.models)), Loads: sortLoads(r), StoreGain: r.storeGains()}
	for i := range r.models {
		plan.Needed[r.models[i].Name] = r.models[i].needed
	}
	return plan
}

// assess determines how many copies a model needs.
func (p *Planner) assess(r *round, m *modelState) {
	known := p.models[m.Name]
	if known == nil {
		known = &memory{}
		p.models[m.Name] = known
	}
	known.seenAt = r.now
	if !m.Uncertain {
		known.rates.add(r.now, m.Rate)
	}
	m.predict(known.rates.rise(r.now))
	m.parts = r.partsOf(m)
	m.required = m.requiredCopies(0)
	m.needed = known.update(r.now, m.required, max(m.required, m.requiredCopies(minDifference)), len(m.copies))
}

// update returns the number of copies that a model needs, which falls only after it has been
// lower for lowerFor. required is the number that it needs at present, enough the one from
// which a further copy would be spare by a clear difference.
func (m *memory) update(now core.Time, required, enough, copies int) int {
	if m.needed == 0 {
		// Earlier requirements are unknown: the present copies may be needed.
		m.needed, m.notLowerAt = max(required, copies), now
	}
	if required >= m.needed {
		m.needed, m.notLowerAt = required, now
	}
	if enough >= m.needed {
		m.notLowerAt = now
	}
	if now.Sub(m.notLowerAt) >= lowerFor {
		m.needed, m.notLowerAt = enough, now
	}
	return m.needed
}

// sortLoads orders the planned loads by gain per second of load time. Loads from the weight
// store exchange their places so that among themselves they are ordered by gain: each
// occupies the store for as long as it is read.
func sortLoads(r *round) []Load {
	slices.SortStableFunc(r.loads, func(a, b plannedLoad) int { return cmp.Compare(b.gainPerSecond(), a.gainPerSecond()) })
	var places []int
	var store []plannedLoad
	for i, l := range r.loads {
		if l.Tier == TierStore {
			places, store = append(places, i), append(store, l)
		}
	}
	slices.SortStableFunc(store, func(a, b plannedLoad) int { return cmp.Compare(b.Gain, a.Gain) })
	for i, place := range places {
		r.loads[place] = store[i]
	}
	loads := make([]Load, 0, len(r.loads))
	for _, l := range r.loads {
		loads = append(loads, l.Load)
	}
	return loads
}
