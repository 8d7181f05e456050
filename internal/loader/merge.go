package loader

import (
	"slices"
	"time"

	"nutmeglane.example/nutmeglane/internal/core"
)

// This file merges what all routers want and use. A step that needs neither pays
// for neither, and one that needs both works each out once: beside 68 routers it
// is most of a loader's time.

// wanted is what all routers together want of a model or adapter.
type wanted struct {
	modelKey
	waiting    int
	background bool
	// spread wants are for a further copy of a model.
	spread    bool
	permitted bool
	// within is the time left until the first request misses its objective.
	within time.Duration
}

// used is how much all routers together use a loaded model or adapter.
type used struct {
	running int
	// rate is the arrivals per second, the larger of slow and fast: it follows a
	// rise at once, and keeps a model that was called some seconds ago apart from
	// an idle one. The sums are compared and not summed maxima, which grow with
	// the number of routers: each has so few arrivals that its own larger one is
	// chance.
	rate, slow, fast float64
	copies           int
	spare            bool
}

// merged is what a step has worked out so far.
type merged struct {
	wantList  []wanted
	useList   map[modelKey]used
	haveWants bool
	haveUses  bool
}

// forget drops what was worked out, as the demands or the time have changed.
func (m *merged) forget() { m.haveWants, m.haveUses = false, false }

// wants merges what routers want, most urgent first. The caller must not change
// the slice.
func (l *Loader) wants() []wanted {
	m := &l.merged
	if !m.haveWants {
		m.haveWants = true
		m.wantList = l.mergeWants(m.wantList[:0])
	}
	return m.wantList
}

func (l *Loader) mergeWants(wants []wanted) []wanted {
	at := map[modelKey]int{}
	for _, r := range l.connected {
		for _, w := range r.demand.Wants {
			wants = l.mergeWant(wants, at, w, l.now.Sub(r.heardAt))
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

func (l *Loader) mergeWant(wants []wanted, at map[modelKey]int, w core.Want, age time.Duration) []wanted {
	if _, known := l.spec.models[w.Model]; !known {
		return wants
	}
	key := modelKey{w.Model, w.Adapter}
	i, seen := at[key]
	if !seen {
		i = len(wants)
		at[key] = i
		wants = append(wants, wanted{modelKey: key, background: true, within: time.Hour})
	}
	m := &wants[i]
	m.waiting += w.Waiting
	m.background = m.background && w.Background
	m.spread = m.spread || w.Spread
	m.within = min(m.within, w.Within-age)
	return wants
}

// uses merges how much routers use what is loaded. The caller must not change the
// map.
func (l *Loader) uses() map[modelKey]used {
	m := &l.merged
	if m.haveUses {
		return m.useList
	}
	m.haveUses = true
	if m.useList == nil {
		m.useList = map[modelKey]used{}
	}
	clear(m.useList)
	for key, sum := range l.useSums {
		sum.decay(l.now)
		m.useList[key] = used{running: sum.running, slow: sum.slow, fast: sum.fast, rate: max(sum.slow, sum.fast)}
	}
	l.addCopies(m.useList)
	return m.useList
}

// addCopies adds what the coordinating router tells of copies.
func (l *Loader) addCopies(uses map[modelKey]used) {
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

// useSum adds up how much routers use a model or adapter. All their rates decay alike, so
// that the sum does: a router's part can be taken out as it has decayed since it was added,
// and no step goes through all routers.
type useSum struct {
	running    int
	slow, fast float64
	at         core.Time
	// routers is the number of parts; without any the sum is dropped, and what rounding
	// has left with it.
	routers int
}

func (s *useSum) decay(now core.Time) {
	past := now.Sub(s.at)
	s.slow = core.Decayed(s.slow, core.RateMemory, past)
	s.fast = core.Decayed(s.fast, core.FastRateMemory, past)
	s.at = now
}

// addUses adds the uses that a router has just told.
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

// removeUses takes out the uses that a router told a while ago.
func (l *Loader) removeUses(uses []core.Use, heardAt core.Time) {
	age := l.now.Sub(heardAt)
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
