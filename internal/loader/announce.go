package loader

import (
	"math"
	"slices"
	"time"

	"nutmeglane.example/nutmeglane/internal/core"
	"nutmeglane.example/nutmeglane/internal/fleet"
)

// overdueShare is the minimum predicted remaining time of an overdue load, as a part of
// its nominal time.
const overdueShare = 0.15

// announced is what was last sent to routers.
type announced struct {
	holdings core.Holdings
	// version counts the changes of the holdings, nearVersion those of the near copies
	// (in host memory or on disk) among them; 0 before the first. Routers with a version
	// below urgentVersion have to be updated at once.
	version, nearVersion, urgentVersion int
	// sentAt is when all routers that receive heartbeats got the last one, countsSentAt
	// when they got counts, changesSentAt when all outdated routers were last sent a
	// change.
	sentAt, countsSentAt, changesSentAt core.Time
	// fullTo and partialTo are reused lists of the routers that receive the holdings
	// with and without the near copies.
	fullTo, partialTo []core.HostID
}

// sendUpdates sends routers changes of the holdings, and a heartbeat each
// HeartbeatInterval. A router with requests waiting here gets each change at once, and
// all routers do when a model takes no more requests; other changes are collected and
// sent to all together. A heartbeat of an idle engine has only its counts, which are a
// twentieth of the holdings' size.
//
// In a large fleet (digested) only the coordinator, routers with requests waiting or
// running here, and routers that ask for it receive heartbeats. The others get the same
// information from the coordinator's digests.
func (l *Loader) sendUpdates() {
	if len(l.routers) == 0 {
		return
	}
	l.updateDigested()
	holdings := l.holdings()
	l.recordChange(holdings)
	due := l.dueMessages(holdings)
	behind := l.selectRecipients(due)
	l.emitHoldings(holdings)
	l.recordSent(holdings, due, behind)
}

// dueMessages are the messages that are due.
type dueMessages struct {
	// heartbeat is set when a heartbeat is due, full when it has to contain the
	// holdings, and changes when outdated routers are to get the holdings.
	heartbeat, full, changes bool
}

func (l *Loader) dueMessages(holdings core.Holdings) dueMessages {
	t := &l.announced
	due := dueMessages{heartbeat: l.now.Sub(t.sentAt) >= HeartbeatInterval}
	due.full = due.heartbeat && !steady(holdings, t.holdings)
	due.changes = due.heartbeat || l.now.Sub(t.sentAt) >= l.broadcastInterval()
	if l.digested {
		due.changes = l.now.Sub(t.changesSentAt) >= HeartbeatInterval
	}
	return due
}

// selectRecipients fills the lists of routers that get the holdings in this step, and
// reports whether any other router is outdated.
func (l *Loader) selectRecipients(due dueMessages) (behind bool) {
	t := &l.announced
	t.fullTo, t.partialTo = t.fullTo[:0], t.partialTo[:0]
	for _, r := range l.connected {
		outdated := r.sentVersion < t.version
		if !(due.full && l.receivesDirectly(r)) && !(outdated && (due.changes || l.needsImmediateUpdate(r))) {
			behind = behind || outdated
			continue
		}
		if r.sentNearVersion == t.nearVersion {
			t.partialTo = append(t.partialTo, r.name)
		} else {
			t.fullTo = append(t.fullTo, r.name)
		}
		r.sentVersion, r.sentNearVersion = t.version, t.nearVersion
	}
	return behind
}

// recordSent records what was sent, and sends the counts where they are due.
func (l *Loader) recordSent(holdings core.Holdings, due dueMessages, behind bool) {
	t := &l.announced
	sendsChanges := due.changes && len(t.fullTo)+len(t.partialTo) > 0
	if sendsChanges {
		t.changesSentAt = l.now
	}
	switch {
	case due.full, sendsChanges && !behind && !l.digested:
		t.holdings = holdings
		t.sentAt, t.countsSentAt = l.now, l.now
	case due.heartbeat:
		t.sentAt = l.now
		l.sendCounts(holdings)
	case l.now.Sub(t.countsSentAt) >= l.countsInterval() && !holdings.Counts().ApproxEqual(t.holdings.Counts()):
		l.sendCounts(holdings)
	}
}

// updateDigested determines whether the fleet is so large that digests replace
// heartbeats: a message to all routers would take longer than the heartbeat interval. It
// changes back only well below that, for hysteresis.
func (l *Loader) updateDigested() {
	interval := l.broadcastInterval()
	switch {
	case interval > HeartbeatInterval:
		l.digested = true
	case interval < HeartbeatInterval*3/4:
		l.digested = false
	}
}

// receivesDirectly reports whether a router receives heartbeats and counts from this
// loader itself.
func (l *Loader) receivesDirectly(r *router) bool {
	return !l.digested || r.demand.ExpectsUpdates() || r.name == l.coordinator()
}

// countsInterval returns the minimum time between two messages with counts.
func (l *Loader) countsInterval() time.Duration {
	if l.digested {
		return digestedCountsInterval
	}
	return max(minCountsInterval, l.broadcastInterval())
}

// broadcastInterval returns the minimum time between two messages to all routers.
func (l *Loader) broadcastInterval() time.Duration {
	return time.Duration(len(l.routers)) * intervalPerRouter
}

// needsImmediateUpdate reports whether a router has to receive a change at once: it knows
// nothing yet, must not send requests that would be refused, has requests waiting for
// this engine, or is the coordinator.
func (l *Loader) needsImmediateUpdate(r *router) bool {
	return r.sentVersion == 0 || r.sentVersion < l.announced.urgentVersion || len(r.demand.Wants) > 0 || r.name == l.coordinator()
}

// recordChange raises the versions if the holdings have changed.
func (l *Loader) recordChange(holdings core.Holdings) {
	t := &l.announced
	if t.version > 0 && sameShape(holdings, t.holdings) {
		return
	}
	t.version++
	if t.nearVersion == 0 || !sameNear(holdings, t.holdings) {
		t.nearVersion++
	}
	if acceptsLess(holdings, t.holdings) {
		t.urgentVersion = t.version
	}
	running, waiting, unread := t.holdings.Running, t.holdings.Waiting, t.holdings.Unread
	t.holdings = holdings
	// The counts stay those that were last sent to all routers.
	t.holdings.Running, t.holdings.Waiting, t.holdings.Unread = running, waiting, unread
}

func (l *Loader) emitHoldings(holdings core.Holdings) {
	if len(l.announced.fullTo) > 0 {
		l.emit(SendHoldings{Routers: l.announced.fullTo, Holdings: holdings})
	}
	if len(l.announced.partialTo) > 0 {
		holdings.InMemory, holdings.OnDisk, holdings.NearAsBefore = nil, nil, true
		l.emit(SendHoldings{Routers: l.announced.partialTo, Holdings: holdings})
	}
}

// sendCounts sends the counts to the routers that have the holdings. They are a twentieth
// of the holdings' size, and change with each message while an engine is working.
func (l *Loader) sendCounts(holdings core.Holdings) {
	t := &l.announced
	t.countsSentAt = l.now
	t.holdings.Running, t.holdings.Waiting, t.holdings.Unread = holdings.Running, holdings.Waiting, holdings.Unread
	var recipients []core.HostID
	for _, r := range l.connected {
		if r.sentVersion > 0 && l.receivesDirectly(r) {
			recipients = append(recipients, r.name)
		}
	}
	l.emit(SendCounts{Routers: recipients, Counts: holdings.Counts()})
}

// steady reports whether holdings of the same shape as those sent before need not be sent
// again: nothing is loading or waited for, so no predicted time expires, and the rates
// are about the same.
func steady(now, sent core.Holdings) bool {
	if now.FreeIn != 0 || len(now.Models) != len(sent.Models) {
		return false
	}
	return !slices.ContainsFunc(now.Models, func(m core.HeldModel) bool {
		i := slices.IndexFunc(sent.Models, func(t core.HeldModel) bool { return t.Name == m.Name })
		return i < 0 || m.Waiting != sent.Models[i].Waiting || m.ReadyIn != 0 ||
			!similarRate(m.Rate, sent.Models[i].Rate) || !similarRate(m.SlowRate, sent.Models[i].SlowRate)
	})
}

const (
	// A rate is sent again when it is off by more than rateTolerance of itself and more
	// than minRateChange: below that, the decisions that depend on it (the number of
	// copies and evictions) change by less than one engine.
	rateTolerance = 0.2
	minRateChange = 0.05
)

func similarRate(a, b float64) bool {
	return math.Abs(a-b) <= max(minRateChange, rateTolerance*max(a, b))
}

// acceptsLess reports whether the engine has stopped taking requests that it took before.
// Routers that do not know it send them there, and each is refused.
func acceptsLess(now, before core.Holdings) bool {
	if now.Draining && !before.Draining || now.Leaving && !before.Leaving || now.Ended && !before.Ended || now.Instance != before.Instance || now.Born != before.Born {
		return true
	}
	return slices.ContainsFunc(before.Models, func(b core.HeldModel) bool {
		if b.State != core.HoldLoaded {
			return false
		}
		i := slices.IndexFunc(now.Models, func(n core.HeldModel) bool { return n.Name == b.Name })
		return i < 0 || now.Models[i].State != core.HoldLoaded || missingAny(now.Models[i].Adapters, b.Adapters)
	})
}

func missingAny(names, of []string) bool {
	return slices.ContainsFunc(of, func(name string) bool { return !slices.Contains(names, name) })
}

// sameShape compares what routers act on at once. The order of the models is ignored:
// models that are waited for are sorted by the routers' estimates, which differ by some
// ms with each message. When a different order counted as a change, it was sent to all
// routers, whose answers changed it again.
func sameShape(a, b core.Holdings) bool {
	sameResult := a.StoreLoad == b.StoreLoad || a.StoreLoad != nil && b.StoreLoad != nil && *a.StoreLoad == *b.StoreLoad
	return a.Instance == b.Instance && a.Born == b.Born && a.Draining == b.Draining && a.Leaving == b.Leaving && a.Ended == b.Ended && a.Coordinator == b.Coordinator &&
		a.Digested == b.Digested && similarCount(a.Routers, b.Routers) && (a.FreeIn == 0) == (b.FreeIn == 0) && sameResult &&
		sameModels(a.Models, b.Models) && sameNear(a, b)
}

// similarCount reports whether two numbers of routers differ by at most a twentieth, which
// makes no difference to the share that a router computes. Without this tolerance, each of
// 385 routers that connected was announced to all.
func similarCount(a, b int) bool { return max(a-b, b-a) <= max(a, b)/core.RouterCountTolerance }

// sameModels compares models regardless of order. There are only a few, so a search costs
// less than sorted copies.
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

// holdings returns the description of the engine for routers.
func (l *Loader) holdings() core.Holdings {
	h := core.Holdings{
		Instance: l.engine.life.Instance, Born: l.engine.life.Born, Coordinator: l.coordinator(), Routers: len(l.routers), StoreLoad: l.lastStore,
		Ended: l.engine.ended, Leaving: l.engine.draining, Config: l.configs.newestVersion, Digested: l.digested, KeepsOrigins: true,
	}
	report := l.engine.report
	if report == nil || l.spec == nil {
		// No request can be sent to an engine that does not answer or has no
		// configuration.
		h.Draining = report == nil && l.engine.failedReads >= maxFailedReads
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

// addWanted adds the models that are loading or waited for, with their predicted times.
func (l *Loader) addWanted(h *core.Holdings, uses map[modelKey]mergedUse) {
	at, wants := l.remainingTaskTime(), l.wants()
	if t := l.task; t != nil && t.order.Kind == fleet.OrderLoad && l.findLoaded(t.order.Model) == nil {
		state := core.HoldLoading
		if t.tier == tierStore {
			state = core.HoldStoreLoading
		}
		h.Models = append(h.Models, core.HeldModel{
			Name: t.order.Model, State: state, ReadyIn: at, Waiting: waitingFor(wants, t.order.Model),
		})
		h.FreeMB -= l.occupiedSize(t.order.Model).modelMB
	}
	for _, w := range wants {
		if w.adapter != "" || findModel(h, w.model) {
			continue
		}
		held := core.HeldModel{Name: w.model, State: core.HoldQueued, Waiting: w.waiting}
		load := l.loadTime(w.model)
		if l.tierOf(w.model) == tierStore {
			// It is loaded only with a permit, so it delays no other load.
			held.State, held.ReadyIn = core.HoldPermit, at+load
		} else {
			at += load + evictionTime
			held.ReadyIn = at
		}
		if l.blocked(w, wants, uses) {
			held.ReadyIn += blockedDelay
		}
		h.Models = append(h.Models, held)
	}
	h.FreeIn = at
}

// waitingFor returns the number of requests that wait for a model here.
func waitingFor(wants []mergedWant, model string) int {
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

// remainingTaskTime predicts for how long the engine gets no further order: it is busy, or the next
// order is withheld.
func (l *Loader) remainingTaskTime() time.Duration {
	t := l.task
	if t == nil {
		return max(0, l.withheldUntil.Sub(l.now))
	}
	if l.now < t.due {
		return t.due.Sub(l.now)
	}
	if t.order.Kind == fleet.OrderUnload {
		return busyReadInterval
	}
	// Guards against a load that is always predicted to end soon: shared by too many
	// engines, the weight store takes a multiple of the nominal time. Callers waited or
	// were asked to retry because of a predicted end that stayed two seconds away for
	// thirteen seconds. A load that is overdue by some time is assumed to need as long
	// again.
	remaining := time.Duration(overdueShare * float64(t.due.Sub(t.began)))
	return max(remaining, l.now.Sub(t.due))
}
