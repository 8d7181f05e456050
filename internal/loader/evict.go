package loader

import (
	"cmp"
	"slices"
	"time"
)

const (
	// backgroundEvicts is the rate of requests per second below which a loaded
	// model may be evicted for one that nobody waits for yet. A model called
	// more often would be missed sooner than the other is called.
	backgroundEvicts = 0.5
	// runningPerWaiting is how many requests may run on a model that is retired
	// for one that waits for another.
	//
	// It guards against a busy model that is unloaded for a rare one: the copy
	// takes no requests for the four seconds of retiring, unloading and loading,
	// and callers of the other copies wait for it. Copies with 84 and 105 running
	// were retired for one request, and half of the model's callers were served
	// late.
	runningPerWaiting = 8
	// blockedTime is added to the predicted time of a load for which no room can
	// be made: until demand moves on, some seconds at the least.
	blockedTime = 10 * time.Second
	// residence is how long a loaded model stays at least: a message to the
	// routers, their requests' way here, and their next demand, which comes
	// every 500 ms, with a margin of as much.
	residence = time.Second
)

// victim returns the loaded model to evict next for a want, "" if the room
// can't be made now. It is the first of the cheapest set of models that makes
// room, so that two are evicted only where no single one is large enough, or
// where the two together are missed less.
//
// Models that requests run on are retired before they go (see retire.go): spare
// copies where the idle models don't make room, needed ones only where nothing
// else can make room at all.
func (l *Loader) victim(w wanted, wants []wanted, uses map[modelKey]used, need float64) string {
	options := l.roomFor(w, wants, uses, need)
	if pick := cheapestSet(options.idle, need); pick != "" || w.background {
		return pick
	}
	l.retireOf(options.all, uses, options.short)
	return ""
}

// roomOptions are the models that can make room for a want.
type roomOptions struct {
	// idle ones can be evicted at once.
	idle []candidate
	// all are these and those in use that may be retired, for short MB.
	all   []candidate
	short float64
}

func (l *Loader) roomFor(w wanted, wants []wanted, uses map[modelKey]used, need float64) roomOptions {
	var idle, spare, inUse []candidate
	protected := 0.0
	for _, m := range l.engine.report.Models {
		use := uses[modelKey{model: m.Name}]
		c := candidate{m.Name, l.sizeOf(m), evictionCost(use)}
		switch {
		case l.wantedWith(wants, m.Name) || l.justLoaded(m.Name):
			if use.running == 0 {
				protected += c.mb
			}
		case use.running == 0 && w.background && !use.spare && use.rate > backgroundEvicts:
		case use.running == 0 || l.retiredLong(m.Name):
			idle = append(idle, c)
		case use.spare || l.isRetiring(m.Name):
			spare = append(spare, c)
		case use.running <= runningPerWaiting*max(1, w.waiting):
			inUse = append(inUse, c)
		}
	}
	all := slices.Concat(idle, spare)
	if room(all)+protected < need {
		all = append(all, inUse...)
	}
	return roomOptions{idle: idle, all: all, short: need - protected}
}

// idleMB is the memory of the models that can be evicted at once.
func (l *Loader) idleMB(uses map[modelKey]used) float64 {
	wants, idle := l.wants(), 0.0
	for _, m := range l.engine.report.Models {
		if uses[modelKey{model: m.Name}].running == 0 && !l.justLoaded(m.Name) && !l.wantedWith(wants, m.Name) {
			idle += l.sizeOf(m)
		}
	}
	return idle
}

// blocked tells that no room can be made for a want: all that would have to go is
// in much use.
func (l *Loader) blocked(w wanted, wants []wanted, uses map[modelKey]used) bool {
	need := l.spec.models[w.model].MemoryMB - l.freeMB()
	if need <= 0 || w.background {
		return false
	}
	options := l.roomFor(w, wants, uses, need)
	return room(options.all) < options.short
}

func room(candidates []candidate) float64 {
	sum := 0.0
	for _, c := range candidates {
		sum += c.mb
	}
	return sum
}

// justLoaded tells that a model was loaded so recently that those who waited
// for it may not have been served yet.
//
// It guards against thrashing: the moment a model is loaded nobody waits for it
// any more, and routers have not yet told that requests run on it. It looked
// like the least used one and was evicted within 50 ms, for the next in the
// queue, while its callers' requests were on their way.
func (l *Loader) justLoaded(model string) bool {
	at, ok := l.loadedAt[model]
	return ok && l.now.Sub(at) < residence
}

// candidate is a loaded model that may be evicted.
type candidate struct {
	name string
	mb   float64
	cost float64
}

const (
	// evictionBase is what any eviction costs, in calls per second missed: it
	// takes orders, and the model may be called after all.
	evictionBase = 0.05
	// spareCost is the part of a model's rate that is missed when another copy
	// carries its load.
	spareCost = 0.05
	// copyCost is added for each copy of a model whose copies are needed. It
	// decides only among models that are called equally little: of these, one
	// that was given several copies is the likelier to be called.
	copyCost = 0.02
	// runningCost is added for a model that is in use: the engine lets its
	// requests end before it unloads, and takes no other order meanwhile.
	runningCost = 2.0
	// maxCandidates bounds the search for the cheapest set, to 4,096 sets. Of
	// more models the cheapest are looked at.
	maxCandidates = 12
)

func evictionCost(use used) float64 {
	cost := evictionBase + use.rate
	if use.spare {
		cost = evictionBase + spareCost*use.rate
	} else if use.copies > 1 {
		cost += copyCost * float64(use.copies)
	}
	if use.running > 0 {
		cost += runningCost
	}
	return cost
}

// cheapestSet returns the cheapest member of the set of least cost whose sizes
// add up to need, "" if there is none.
func cheapestSet(candidates []candidate, need float64) string {
	if set := cheapest(candidates, need); len(set) > 0 {
		return set[0].name
	}
	return ""
}

// cheapest returns the set of least cost whose sizes add up to need, cheapest
// member first.
func cheapest(candidates []candidate, need float64) []candidate {
	slices.SortFunc(candidates, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.cost, b.cost), cmp.Compare(a.name, b.name))
	})
	candidates = candidates[:min(len(candidates), maxCandidates)]
	var best []candidate
	bestCost := 0.0
	for bits := 1; bits < 1<<len(candidates); bits++ {
		var set []candidate
		mb, cost := 0.0, 0.0
		for i, c := range candidates {
			if bits&(1<<i) != 0 {
				set = append(set, c)
				mb += c.mb
				cost += c.cost
			}
		}
		if mb >= need && (best == nil || cost < bestCost) {
			best, bestCost = set, cost
		}
	}
	return best
}

// wantedWith tells whether requests wait for the model or one of its adapters.
func (l *Loader) wantedWith(wants []wanted, model string) bool {
	return slices.ContainsFunc(wants, func(w wanted) bool { return w.model == model && !w.background })
}
