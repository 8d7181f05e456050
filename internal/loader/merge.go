package loader

import (
	"slices"
	"time"

	"nutmeglane.example/nutmeglane/internal/core"
)

// This file merges the wants and uses of all routers. Each is computed at most once a
// step and only if needed: with 68 routers it is most of a loader's time.

// mergedWant is the combined demand of all routers for a model or adapter to be loaded.
type mergedWant struct {
	modelKey
	waiting    int
	background bool
	// spread wants are for a further copy of a model.
	spread    bool
	permitted bool
	// within is the time left until the first request misses its objective.
	within time.Duration
}

// mergedUse is the combined use of a loaded model or adapter by all routers.
type mergedUse struct {
	running int
	// rate is the arrivals per second, the larger of slow and fast: it follows a rise at
	// once, and distinguishes a model that was called some seconds ago from an idle one.
	// The maximum is taken of the two sums. A sum of the routers' maxima would grow with
	// the number of routers, since each router has so few arrivals that its larger rate
	// is chance.
	rate, slow, fast float64
	copies           int
	spare            bool
}

// mergeCache holds the merged wants and uses of the current step.
type mergeCache struct {
	wantList  []mergedWant
	useList   map[modelKey]mergedUse
	haveWants bool
	haveUses  bool
}

// invalidate discards the cached results, as the demands or the time have changed.
func (m *mergeCache) invalidate() { m.haveWants, m.haveUses = false, false }

// wants merges the routers' wants, most urgent first. The caller must not modify the
// slice.
func (l *Loader) wants() []mergedWant {
	m := &l.merged
	if !m.haveWants {
		m.haveWants = true
		m.wantList = l.mergeWants(m.wantList[:0])
	}
	return m.wantList
}

func (l *Loader) mergeWants(wants []mergedWant) []mergedWant {
	at := map[modelKey]int{}
	for _, r := range l.connected {
		for _, w := range r.demand.Wants {
			wants = l.mergeWant(wants, at, w, l.now.Sub(r.demandAt))
		}
	}
	if len(wants) == 0 {
		return wants
	}
	var permits []string
	if r := l.routers[l.coordinator()]; r != nil {
		permits = r.demand.Permits
	}
	for i := range wants {
		wants[i].permitted = slices.Contains(permits, wants[i].model)
	}
	slices.SortFunc(wants, l.compareWants)
	return wants
}

func (l *Loader) mergeWant(wants []mergedWant, at map[modelKey]int, w core.Want, age time.Duration) []mergedWant {
	if _, known := l.spec.models[w.Model]; !known {
		return wants
	}
	key := modelKey{w.Model, w.Adapter}
	i, seen := at[key]
	if !seen {
		i = len(wants)
		at[key] = i
		wants = append(wants, mergedWant{modelKey: key, background: true, within: time.Hour})
	}
	m := &wants[i]
	m.waiting += w.Waiting
	m.background = m.background && w.Background
	m.spread = m.spread || w.Spread
	m.within = min(m.within, w.Within-age)
	return wants
}

// uses merges the routers' uses of the loaded models and adapters. The caller must not
// modify the map.
func (l *Loader) uses() map[modelKey]mergedUse {
	m := &l.merged
	if m.haveUses {
		return m.useList
	}
	m.haveUses = true
	if m.useList == nil {
		m.useList = map[modelKey]mergedUse{}
	}
	clear(m.useList)
	for key, sum := range l.useSums {
		sum.decay(l.now)
		m.useList[key] = mergedUse{running: sum.running, slow: sum.slow, fast: sum.fast, rate: max(sum.slow, sum.fast)}
	}
	l.addCopies(m.useList)
	return m.useList
}

// addCopies adds the numbers of copies that the coordinator reports.
func (l *Loader) addCopies(uses map[modelKey]mergedUse) {
	r := l.routers[l.coordinator()]
	if r == nil {
		return
	}
	for _, u := range r.demand.Uses {
		key := modelKey{u.Model, u.Adapter}
		use := uses[key]
		use.copies, use.spare = u.Copies, u.Spare
		uses[key] = use
	}
}

// useSum is the sum of the routers' uses of a model or adapter. All rates decay at the
// same pace, and so does their sum: a router's part can be subtracted after the same
// decay, without iterating over all routers.
type useSum struct {
	running    int
	slow, fast float64
	at         core.Time
	// routers is the number of parts. The sum is deleted when it reaches 0, and rounding
	// errors with it.
	routers int
}

func (s *useSum) decay(now core.Time) {
	elapsed := now.Sub(s.at)
	s.slow = core.Decayed(s.slow, core.RateMemory, elapsed)
	s.fast = core.Decayed(s.fast, core.FastRateMemory, elapsed)
	s.at = now
}

// addUses adds the uses that a router has just reported.
func (l *Loader) addUses(uses []core.Use) {
	for _, u := range uses {
		key := modelKey{u.Model, u.Adapter}
		sum := l.useSums[key]
		if sum == nil {
			sum = &useSum{at: l.now}
			l.useSums[key] = sum
		}
		sum.decay(l.now)
		sum.running += u.Running
		sum.slow += u.Rate
		sum.fast += u.FastRate
		sum.routers++
	}
}

// removeUses subtracts the uses that a router reported at demandAt.
func (l *Loader) removeUses(uses []core.Use, demandAt core.Time) {
	age := l.now.Sub(demandAt)
	for _, u := range uses {
		key := modelKey{u.Model, u.Adapter}
		sum := l.useSums[key]
		sum.routers--
		if sum.routers == 0 {
			delete(l.useSums, key)
			continue
		}
		sum.decay(l.now)
		sum.running -= u.Running
		sum.slow = max(0, sum.slow-core.Decayed(u.Rate, core.RateMemory, age))
		sum.fast = max(0, sum.fast-core.Decayed(u.FastRate, core.FastRateMemory, age))
	}
}
