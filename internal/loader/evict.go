package loader

import (
	"cmp"
	"slices"
	"time"
)

const (
	// maxBackgroundEvictRate is the rate of requests per second up to which a loaded
	// model may be evicted for a background load. A model with a higher rate would be
	// needed again before the new one is called.
	maxBackgroundEvictRate = 0.5
	// runningPerWaiting is how many requests may run on a model that is retired, per
	// request that waits for the model to be loaded.
	//
	// It guards against unloading a busy model for a rare one: the copy takes no
	// requests for the four seconds of retiring, unloading and loading, and requests
	// queue at its other copies. Copies with 84 and 105 running requests were retired
	// for one request, and half of the model's callers were served late.
	runningPerWaiting = 8
	// blockedDelay is added to the predicted time of a load for which no room can be
	// made. The block lasts until demand changes, some seconds at least.
	blockedDelay = 10 * time.Second
	// minResidence is the minimum time that a loaded model stays. It covers a message to
	// the routers, their requests' way to the engine and the routers' next demand, which
	// comes every 500 ms, with a margin of the same size.
	minResidence = time.Second
)

// victim returns the loaded model to evict next for a want, "" if the room can't be made
// yet. It is the first of the cheapest set of models that makes room, so two models are
// evicted only where no single one is large enough, or where both together cost less.
//
// Models with running requests are retired first (see retire.go): spare copies where the
// idle models don't make room, needed copies only where nothing else can.
func (l *Loader) victim(w mergedWant, wants []mergedWant, uses map[modelKey]mergedUse, need float64) string {
	options := l.evictionOptionsFor(w, wants, uses, need)
	if pick := cheapestSet(options.idle, need); pick != "" || w.background {
		return pick
	}
	l.retireCheapest(options.all, uses, options.needMB)
	return ""
}

// evictionOptions are the models that can make room for a want.
type evictionOptions struct {
	// idle models can be evicted at once.
	idle []candidate
	// all are the idle models and those in use that may be retired. needMB is the memory
	// that they have to free.
	all    []candidate
	needMB float64
}

func (l *Loader) evictionOptionsFor(w mergedWant, wants []mergedWant, uses map[modelKey]mergedUse, need float64) evictionOptions {
	var idle, spare, inUse []candidate
	protected := 0.0
	for _, m := range l.engine.report.Models {
		use := uses[modelKey{model: m.Name}]
		c := candidate{m.Name, l.sizeOf(m), evictionCost(use)}
		switch {
		case l.hasWaitingRequests(wants, m.Name) || l.isRecentlyLoaded(m.Name):
			if use.running == 0 {
				protected += c.mb
			}
		case use.running == 0 && w.background && !use.spare && use.rate > maxBackgroundEvictRate:
		case use.running == 0 || l.retireTimedOut(m.Name):
			idle = append(idle, c)
		case use.spare || l.isRetiring(m.Name):
			spare = append(spare, c)
		case use.running <= runningPerWaiting*max(1, w.waiting):
			inUse = append(inUse, c)
		}
	}
	all := slices.Concat(idle, spare)
	if totalMB(all)+protected < need {
		all = append(all, inUse...)
	}
	return evictionOptions{idle: idle, all: all, needMB: need - protected}
}

// idleMB returns the memory of the models that can be evicted at once.
func (l *Loader) idleMB(uses map[modelKey]mergedUse) float64 {
	wants, idle := l.wants(), 0.0
	for _, m := range l.engine.report.Models {
		if uses[modelKey{model: m.Name}].running == 0 && !l.isRecentlyLoaded(m.Name) && !l.hasWaitingRequests(wants, m.Name) {
			idle += l.sizeOf(m)
		}
	}
	return idle
}

// blocked reports whether no room can be made for a want, because the models that would
// have to be evicted are in heavy use.
func (l *Loader) blocked(w mergedWant, wants []mergedWant, uses map[modelKey]mergedUse) bool {
	need := l.spec.models[w.model].MemoryMB - l.freeMB()
	if need <= 0 || w.background {
		return false
	}
	options := l.evictionOptionsFor(w, wants, uses, need)
	return totalMB(options.all) < options.needMB
}

func totalMB(candidates []candidate) float64 {
	sum := 0.0
	for _, c := range candidates {
		sum += c.mb
	}
	return sum
}

// isRecentlyLoaded reports whether a model was loaded so recently that the requests that
// waited for it may not have been served yet.
//
// It guards against thrashing: as soon as a model is loaded no request waits for it any
// more, and the routers have not yet reported running requests. It looked like the least
// used model and was evicted within 50 ms for the next in the queue, while its requests
// were on their way.
func (l *Loader) isRecentlyLoaded(model string) bool {
	at, ok := l.loadedAt[model]
	return ok && l.now.Sub(at) < minResidence
}

// candidate is a loaded model that may be evicted.
type candidate struct {
	name string
	mb   float64
	cost float64
}

const (
	// evictionBase is the base cost of an eviction, in missed requests per second: it
	// takes orders, and the model may be called again.
	evictionBase = 0.05
	// spareCost is the part of a model's rate that counts as cost when another copy can
	// carry its load.
	spareCost = 0.05
	// copyCost is added for each copy of a model whose copies are needed. It is small
	// enough to matter only between models with equally low rates, of which one with
	// several copies is more likely to be called.
	copyCost = 0.02
	// runningCost is added for a model in use: the engine completes its requests before
	// it unloads, and accepts no other order meanwhile.
	runningCost = 2.0
	// maxCandidates limits the search for the cheapest set to 4,096 sets. Of more models
	// only the cheapest are considered.
	maxCandidates = 12
)

func evictionCost(use mergedUse) float64 {
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

// cheapestSet returns the cheapest member of the set of least cost whose sizes add up to
// at least need, "" if there is none.
func cheapestSet(candidates []candidate, need float64) string {
	if set := cheapest(candidates, need); len(set) > 0 {
		return set[0].name
	}
	return ""
}

// cheapest returns the set of least cost whose sizes add up to at least need, cheapest
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

// hasWaitingRequests reports whether requests wait for the model or one of its adapters.
func (l *Loader) hasWaitingRequests(wants []mergedWant, model string) bool {
	return slices.ContainsFunc(wants, func(w mergedWant) bool { return w.model == model && !w.background })
}
