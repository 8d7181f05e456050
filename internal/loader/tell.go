package loader

import (
	"math"
	"slices"
	"time"

	"nutmeglane.example/nutmeglane/internal/core"
	"nutmeglane.example/nutmeglane/internal/fleet"
)

// overdueShare is the least part of a load's nominal time that is predicted as
// left once the load is overdue.
const overdueShare = 0.15

// told is what routers were told last.
type told struct {
	holdings core.Holdings
	// version counts the changes of the holdings, nearVersion those of the near
	// copies among them; 0 before the first. Routers have to know the version
	// urgent at once.
	version, nearVersion, urgent int
	// at is when all routers that hear of it were told, countsAt when they heard of
	// counts, newsAt when all were last told of a change.
	at, countsAt, newsAt core.Time
	// whole and light are reused lists of routers.
	whole, light []core.HostID
}

// tellRouters tells routers of changes of what is held, and in any case at each
// heartbeat. A router that waits for something here is told of each change at
// once, as all are of a model that takes no more requests; the rest is told to
// all together after a while. A heartbeat of an engine at which nothing happens has
// its counts alone, a twentieth of the holdings' size.
//
// In a large fleet only those that wait for something here, and the coordinator, hear of
// what does not change: the others have it from the coordinator's digests.
func (l *Loader) tellRouters() {
	if len(l.routers) == 0 {
		return
	}
	l.noteDigested()
	holdings := l.holdings()
	l.noteChange(holdings)
	due := l.dueWords(holdings)
	behind := l.pickRouters(due)
	l.emitHoldings(holdings)
	l.noteTold(holdings, due, behind)
}

// dueWords are the words that it is time for.
type dueWords struct {
	// heartbeat is set when all are to hear that the loader is alive, full when that takes
	// the holdings, and news when those that missed a change are to hear of it.
	heartbeat, full, news bool
}

func (l *Loader) dueWords(holdings core.Holdings) dueWords {
	t := &l.told
	due := dueWords{heartbeat: l.now.Sub(t.at) >= HeartbeatInterval}
	due.full = due.heartbeat && !steady(holdings, t.holdings)
	due.news = due.heartbeat || l.now.Sub(t.at) >= l.wordInterval()
	if l.digested {
		due.news = l.now.Sub(t.newsAt) >= HeartbeatInterval
	}
	return due
}

// pickRouters fills the lists of those that hear the holdings now, and tells whether any
// other missed a change.
func (l *Loader) pickRouters(due dueWords) (behind bool) {
	t := &l.told
	t.whole, t.light = t.whole[:0], t.light[:0]
	for _, r := range l.connected {
		late := r.version < t.version
		if !(due.full && l.hears(r)) && !(late && (due.news || l.hearsAtOnce(r))) {
			behind = behind || late
			continue
		}
		if r.nearVersion == t.nearVersion {
			t.light = append(t.light, r.name)
		} else {
			t.whole = append(t.whole, r.name)
		}
		r.version, r.nearVersion = t.version, t.nearVersion
	}
	return behind
}

// noteTold remembers what was told to whom, and tells the counts where they are due.
func (l *Loader) noteTold(holdings core.Holdings, due dueWords, behind bool) {
	t := &l.told
	news := due.news && len(t.whole)+len(t.light) > 0
	if news {
		t.newsAt = l.now
	}
	switch {
	case due.full, news && !behind && !l.digested:
		t.holdings = holdings
		t.at, t.countsAt = l.now, l.now
	case due.heartbeat:
		t.at = l.now
		l.tellCounts(holdings)
	case l.now.Sub(t.countsAt) >= l.countsInterval() && !holdings.Counts().ApproxEqual(t.holdings.Counts()):
		l.tellCounts(holdings)
	}
}

// noteDigested works out whether the fleet is so large that digests take the place of
// heartbeats: words to all routers take longer than the pause between two of them. It
// changes back only well below.
func (l *Loader) noteDigested() {
	all := l.wordInterval()
	switch {
	case all > HeartbeatInterval:
		l.digested = true
	case all < HeartbeatInterval*3/4:
		l.digested = false
	}
}

// hears tells whether a router hears heartbeats and counts of this loader itself.
func (l *Loader) hears(r *router) bool {
	return !l.digested || r.demand.ExpectsUpdates() || r.name == l.coordinator()
}

// countsInterval is the least time between two words on counts.
func (l *Loader) countsInterval() time.Duration {
	if l.digested {
		return digestedCountsInterval
	}
	return max(leastCountsInterval, l.wordInterval())
}

// wordInterval is the least time between two words to all routers.
func (l *Loader) wordInterval() time.Duration { return time.Duration(len(l.routers)) * wordPause }

// hearsAtOnce tells whether a router is to hear of a change at once: it knows
// nothing yet, must not send requests that would be refused, has requests that
// wait for this engine, or shares out loads.
func (l *Loader) hearsAtOnce(r *router) bool {
	return r.version == 0 || r.version < l.told.urgent || len(r.demand.Wants) > 0 || r.name == l.coordinator()
}

// noteChange counts a change of what is held.
func (l *Loader) noteChange(holdings core.Holdings) {
	t := &l.told
	if t.version > 0 && sameShape(holdings, t.holdings) {
		return
	}
	t.version++
	if t.nearVersion == 0 || !sameNear(holdings, t.holdings) {
		t.nearVersion++
	}
	if takesLess(holdings, t.holdings) {
		t.urgent = t.version
	}
	running, waiting, unread := t.holdings.Running, t.holdings.Waiting, t.holdings.Unread
	t.holdings = holdings
	// The counts are those that all routers know.
	t.holdings.Running, t.holdings.Waiting, t.holdings.Unread = running, waiting, unread
}

func (l *Loader) emitHoldings(holdings core.Holdings) {
	if len(l.told.whole) > 0 {
		l.emit(Tell{Routers: l.told.whole, Holdings: holdings})
	}
	if len(l.told.light) > 0 {
		holdings.InMemory, holdings.OnDisk, holdings.NearAsBefore = nil, nil, true
		l.emit(Tell{Routers: l.told.light, Holdings: holdings})
	}
}

// tellCounts sends the counts to the routers that know the rest: a twentieth of
// the size, and each engine that works has others each time.
func (l *Loader) tellCounts(holdings core.Holdings) {
	t := &l.told
	t.countsAt = l.now
	t.holdings.Running, t.holdings.Waiting, t.holdings.Unread = holdings.Running, holdings.Waiting, holdings.Unread
	var know []core.HostID
	for _, r := range l.connected {
		if r.version > 0 && l.hears(r) {
			know = append(know, r.name)
		}
	}
	l.emit(TellCounts{Routers: know, Counts: holdings.Counts()})
}

// steady tells whether holdings of the same shape as told before need not be told
// again: nothing is loaded or waited for, so that no time that was predicted runs
// out, and the rates are about the same.
func steady(now, told core.Holdings) bool {
	if now.FreeIn != 0 || len(now.Models) != len(told.Models) {
		return false
	}
	return !slices.ContainsFunc(now.Models, func(m core.HeldModel) bool {
		i := slices.IndexFunc(told.Models, func(t core.HeldModel) bool { return t.Name == m.Name })
		return i < 0 || m.Waiting != told.Models[i].Waiting || m.ReadyIn != 0 ||
			!sameRate(m.Rate, told.Models[i].Rate) || !sameRate(m.SlowRate, told.Models[i].SlowRate)
	})
}

const (
	// A rate is told again when it is off by more than rateOff of it and rateLeast: what
	// it decides, copies and what is evicted, changes by less than an engine.
	rateOff   = 0.2
	rateLeast = 0.05
)

func sameRate(a, b float64) bool { return math.Abs(a-b) <= max(rateLeast, rateOff*max(a, b)) }

// takesLess tells that an engine takes requests no more that it took before.
// Routers that do not know it send them there, and each comes back refused.
func takesLess(now, before core.Holdings) bool {
	if now.Draining && !before.Draining || now.Ended && !before.Ended || now.Instance != before.Instance || now.Born != before.Born {
		return true
	}
	return slices.ContainsFunc(before.Models, func(b core.HeldModel) bool {
		if b.State != core.HoldLoaded {
			return false
		}
		i := slices.IndexFunc(now.Models, func(n core.HeldModel) bool { return n.Name == b.Name })
		return i < 0 || now.Models[i].State != core.HoldLoaded || lacksAny(now.Models[i].Adapters, b.Adapters)
	})
}

func lacksAny(names, of []string) bool {
	return slices.ContainsFunc(of, func(name string) bool { return !slices.Contains(names, name) })
}

// sameShape compares what routers act on at once. The order of the models says
// nothing: those that are waited for stand in the order of their turns, which the
// routers' estimates, some ms apart, change with each message. Taken for news, it
// was told to all routers, whose answers changed it again.
func sameShape(a, b core.Holdings) bool {
	sameResult := a.StoreLoad == b.StoreLoad || a.StoreLoad != nil && b.StoreLoad != nil && *a.StoreLoad == *b.StoreLoad
	return a.Instance == b.Instance && a.Born == b.Born && a.Draining == b.Draining && a.Ended == b.Ended && a.Coordinator == b.Coordinator &&
		a.Digested == b.Digested && sameNumber(a.Routers, b.Routers) && (a.FreeIn == 0) == (b.FreeIn == 0) && sameResult &&
		sameModels(a.Models, b.Models) && sameNear(a, b)
}

// sameNumber tells whether two numbers of routers make no difference to what a router
// takes as its share: a twentieth. While 385 routers connect, each one that came was told
// to all.
func sameNumber(a, b int) bool { return max(a-b, b-a) <= max(a, b)/numberOff }

// numberOff is the part of all routers by which their number may be off untold.
const numberOff = 20

// sameModels compares models without their order. There are a few, so that a
// search costs less than sorted copies.
func sameModels(a, b []core.HeldModel) bool {
	if len(a) != len(b) {
		return false
	}
	for _, x := range a {
		same := func(y core.HeldModel) bool { return x.Name == y.Name }
		i := slices.IndexFunc(b, same)
		if i < 0 || b[i].State != x.State || !slices.Equal(b[i].Adapters, x.Adapters) {
			return false
		}
	}
	return true
}

func sameNear(a, b core.Holdings) bool {
	return slices.Equal(a.InMemory, b.InMemory) && slices.Equal(a.OnDisk, b.OnDisk)
}

// holdings describes the engine to routers.
func (l *Loader) holdings() core.Holdings {
	h := core.Holdings{
		Instance: l.engine.life.Instance, Born: l.engine.life.Born, Coordinator: l.coordinator(), Routers: len(l.routers), StoreLoad: l.lastStore,
		Ended: l.engine.ended, Config: l.configs.newest, Digested: l.digested,
	}
	report := l.engine.report
	if report == nil || l.spec == nil {
		// Nothing can be sent to an engine that does not answer or is not
		// configured.
		h.Draining = report == nil && l.engine.failed >= failedReads
		return h
	}
	h.InMemory, h.OnDisk = report.InMemory, report.OnDisk
	h.Running, h.Waiting, h.Unread = report.Running, report.Waiting, report.Unread
	h.Draining = report.Draining
	uses := l.uses()
	h.FreeMB, h.IdleMB = l.freeMB(), l.idleMB(uses)
	for _, m := range report.Models {
		use := uses[modelKey{model: m.Name}]
		held := core.HeldModel{
			Name: m.Name, State: l.stateOf(m.Name), Adapters: m.Adapters, Rate: use.rate, SlowRate: use.slow,
		}
		h.Models = append(h.Models, held)
	}
	l.addWanted(&h, uses)
	return h
}

// addWanted adds what is loading and what waits for it, with the predicted
// times.
func (l *Loader) addWanted(h *core.Holdings, uses map[modelKey]used) {
	at, wants := l.taskLeft(), l.wants()
	if t := l.task; t != nil && t.order.Kind == fleet.OrderLoad && l.findLoaded(t.order.Model) == nil {
		state := core.HoldLoading
		if t.tier == tierStore {
			state = core.HoldStoreLoading
		}
		h.Models = append(h.Models, core.HeldModel{
			Name: t.order.Model, State: state, ReadyIn: at, Waiting: waitingFor(wants, t.order.Model),
		})
		h.FreeMB -= l.spec.models[t.order.Model].MemoryMB
	}
	for _, w := range wants {
		if w.adapter != "" || findModel(h, w.model) {
			continue
		}
		held := core.HeldModel{Name: w.model, State: core.HoldQueued, Waiting: w.waiting}
		load := l.loadTime(w.model)
		if l.tierOf(w.model) == tierStore {
			// It takes its turn only with a permit, so it holds up nothing.
			held.State, held.ReadyIn = core.HoldPermit, at+load
		} else {
			at += load + evictTime
			held.ReadyIn = at
		}
		if l.blocked(w, wants, uses) {
			held.ReadyIn += blockedTime
		}
		h.Models = append(h.Models, held)
	}
	h.FreeIn = at
}

// waitingFor is the number of requests that wait for a model here.
func waitingFor(wants []wanted, model string) int {
	for _, w := range wants {
		if w.modelKey == (modelKey{model: model}) {
			return w.waiting
		}
	}
	return 0
}

func findModel(h *core.Holdings, model string) bool {
	return slices.ContainsFunc(h.Models, func(m core.HeldModel) bool { return m.Name == model })
}

// taskLeft predicts how long the engine is still busy.
func (l *Loader) taskLeft() time.Duration {
	t := l.task
	if t == nil {
		return 0
	}
	if l.now < t.due {
		return t.due.Sub(l.now)
	}
	if t.order.Kind == fleet.OrderUnload {
		return busyRead
	}
	// Guards against a load that seems to end soon for good: shared by too many,
	// the weight store takes a multiple of the nominal time. Callers were kept
	// waiting, or told to come back, on a promise that slipped by two seconds for
	// thirteen. A load that is late by some time is taken to need as much again.
	least := time.Duration(overdueShare * float64(t.due.Sub(t.began)))
	return max(least, l.now.Sub(t.due))
}
