package loader

import (
	"cmp"
	"slices"
	"time"

	"nutmeglane.example/nutmeglane/internal/core"
	"nutmeglane.example/nutmeglane/internal/fleet"
)

// overdueShare is the least part of a load's nominal time that is predicted as
// left once the load is overdue.
const overdueShare = 0.15

// tellRouters tells routers of a change of what is held at once, of counts after a
// while, and in any case at each heartbeat. Counts alone go in a message of their
// own: each engine that works sends several a second to each router.
func (l *Loader) tellRouters() {
	if len(l.routers) == 0 {
		return
	}
	holdings := l.holdings()
	since := l.now.Sub(l.told.at)
	changed := !sameShape(holdings, l.told.holdings)
	if changed || since >= HeartbeatInterval {
		l.told.holdings, l.told.at = holdings, l.now
		l.told.countsAt = l.now
		clear(l.told.known)
	} else if l.now.Sub(l.told.countsAt) >= countsInterval && !sameCounts(holdings, l.told.holdings) {
		l.tellCounts(holdings)
	}
	for _, name := range l.names {
		if !l.told.known[name] {
			l.told.known[name] = true
			l.emit(Tell{Router: name, Holdings: holdings})
		}
	}
}

// tellCounts sends the counts to the routers that know the rest.
func (l *Loader) tellCounts(holdings core.Holdings) {
	l.told.countsAt = l.now
	l.told.holdings.Running, l.told.holdings.Waiting, l.told.holdings.Unread = holdings.Running, holdings.Waiting, holdings.Unread
	counts := core.Counts{Running: holdings.Running, Waiting: holdings.Waiting, Unread: holdings.Unread}
	for _, name := range l.names {
		if l.told.known[name] {
			l.emit(TellCounts{Router: name, Counts: counts})
		}
	}
}

// sameShape compares what routers act on at once. The order of the models says
// nothing: those that are waited for stand in the order of their turns, which the
// routers' estimates, some ms apart, change with each message. Taken for news, it
// was told to all routers, whose answers changed it again.
func sameShape(a, b core.Holdings) bool {
	sameModel := func(x, y core.HeldModel) bool {
		return x.Name == y.Name && x.State == y.State && slices.Equal(x.Adapters, y.Adapters)
	}
	byName := func(x, y core.HeldModel) int { return cmp.Compare(x.Name, y.Name) }
	modelsA, modelsB := slices.SortedFunc(slices.Values(a.Models), byName), slices.SortedFunc(slices.Values(b.Models), byName)
	sameResult := a.StoreLoad == b.StoreLoad || a.StoreLoad != nil && b.StoreLoad != nil && *a.StoreLoad == *b.StoreLoad
	return a.Instance == b.Instance && a.Draining == b.Draining && a.Coordinator == b.Coordinator &&
		a.Routers == b.Routers && (a.FreeIn == 0) == (b.FreeIn == 0) && sameResult &&
		slices.EqualFunc(modelsA, modelsB, sameModel) &&
		slices.Equal(a.InMemory, b.InMemory) && slices.Equal(a.OnDisk, b.OnDisk)
}

func sameCounts(a, b core.Holdings) bool {
	return a.Running == b.Running && a.Waiting == b.Waiting && a.Unread == b.Unread
}

// holdings describes the engine to routers.
func (l *Loader) holdings() core.Holdings {
	h := core.Holdings{
		Instance: l.engine.instance, Coordinator: l.coordinator(), Routers: len(l.routers), StoreLoad: l.lastStore,
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
	h.FreeMB = l.freeMB()
	uses := l.uses()
	for _, m := range report.Models {
		use := uses[modelKey{model: m.Name}]
		held := core.HeldModel{
			Name: m.Name, State: l.stateOf(m.Name), Adapters: m.Adapters, Rate: use.rate,
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
