package loader

import (
	"log/slog"
	"math"
	"time"

	"nutmeglane.example/nutmeglane/internal/core"
	"nutmeglane.example/nutmeglane/internal/enginebudget"
	"nutmeglane.example/nutmeglane/internal/fleet"
	"nutmeglane.example/nutmeglane/internal/limit"
)

// This file keeps the request-rate budget of the engine: it feeds package enginebudget from the
// engine's reports, enforces the result by package limit, and announces it to routers.

// budgetTolerance is the relative change of a budget that routers are told at once. The loader
// itself enforces each change.
const budgetTolerance = 0.1

// engineBudget is the budget of the engine's current life.
type engineBudget struct {
	// tracker is nil while the routers' configuration asks for no budget.
	tracker *enginebudget.Budget
	targets enginebudget.Targets
	// life is the engine's when the tracker began.
	life fleet.Incarnation
	// events are the events that each run had produced by the last report, which came at
	// sampledAt, 0 before the first.
	events    map[string]int
	sampledAt core.Time
	// asked counts the permits that routers asked for since then.
	asked int
	// inForce is set while a budget is in force, since began. lowest is the lowest since then.
	inForce bool
	began   core.Time
	lowest  float64
	// told is what routers were last told, at toldAt.
	told   float64
	toldAt core.Time
}

// sampleBudget updates the budget after a report.
func (l *Loader) sampleBudget() {
	report := l.engine.report
	l.countMalformedRuns(report)
	l.prepareBudget()
	b := &l.budget
	if b.tracker == nil {
		return
	}
	if report.Malformed > 0 {
		// Streams whose events are unknown would seem to stand still, and the budget would
		// fall to its minimum for as long as such reports come.
		l.dropBudget("malformed runs")
		return
	}
	begun, events := b.progress(report)
	l.countBudgetTime()
	b.sampledAt = l.now
	b.tracker.Add(enginebudget.Sample{
		At: l.now, Running: report.Running, Waiting: report.Waiting, Unread: report.Unread,
		Begun: begun, Events: events, KVUsed: report.KVUsed, KVTotal: report.KVTotal, Asked: b.asked,
	})
	b.asked = 0
	l.enforceBudget()
}

// prepareBudget begins the budget that the engine configuration asks for, and ends the one of
// an earlier life or configuration.
func (l *Loader) prepareBudget() {
	b := &l.budget
	targets, wanted := l.budgetTargets()
	restarted := l.engine.life.Compare(b.life) != 0 || b.life.Instance != "" && b.life.Instance != l.engine.life.Instance
	switch {
	case b.tracker != nil && !wanted:
		l.dropBudget("configuration")
	case b.tracker != nil && restarted:
		l.dropBudget("engine restarted")
	case b.tracker != nil && targets != b.targets:
		l.dropBudget("objectives changed")
	}
	if b.tracker == nil && wanted {
		l.budget = engineBudget{tracker: enginebudget.New(targets), targets: targets, events: map[string]int{}}
	}
	b.life = l.engine.life
}

// budgetTargets returns the objectives of the engine configuration, and whether it asks for a
// budget.
func (l *Loader) budgetTargets() (targets enginebudget.Targets, wanted bool) {
	if l.spec == nil || l.spec.budget == nil {
		return enginebudget.Targets{}, false
	}
	return enginebudget.Targets{FirstEvent: l.spec.budget.FirstEvent, Pause: l.spec.budget.Pause}, true
}

// progress returns how many requests have produced their first event since the last report, and
// how many events all of them have produced.
func (b *engineBudget) progress(report *fleet.Report) (begun, events int) {
	now := make(map[string]int, len(report.Runs))
	for _, run := range report.Runs {
		before, known := b.events[run.ID]
		if !known {
			begun++
		}
		events += max(0, run.Events-before)
		now[run.ID] = run.Events
	}
	b.events = now
	return begun, events
}

// enforceBudget makes the limiter enforce the budget, and announces its start and end.
func (l *Loader) enforceBudget() {
	b := &l.budget
	perSecond, limited := b.tracker.Limit()
	switch {
	case !limited && b.inForce:
		l.endBudget("not needed")
	case limited && !b.inForce && l.engine.life.Instance != "":
		b.inForce, b.began, b.lowest = true, l.now, perSecond
		l.log("engine budget begins", l.budgetAttrs(slog.Float64("per_second", perSecond))...)
		l.tellBudget(perSecond, true)
	case limited && b.inForce:
		b.lowest = min(b.lowest, perSecond)
		l.tellBudget(perSecond, false)
	}
}

// endBudget ends the budget in force.
func (l *Loader) endBudget(why string) {
	b := &l.budget
	l.log("engine budget ends", l.budgetAttrs(slog.String("why", why), slog.Float64("lowest", b.lowest),
		slog.String("held", l.now.Sub(b.began).String()))...)
	b.inForce = false
	l.tellBudget(0, true)
}

// dropBudget ends the budget, if one is in force, and forgets what it was computed from.
func (l *Loader) dropBudget(why string) {
	if l.budget.inForce {
		l.endBudget(why)
	}
	l.budget = engineBudget{}
}

// tellBudget makes the limiter enforce a budget, 0 to end it, and announces it to all routers:
// at once if it begins or ends, and otherwise if it differs from what they were told. Between
// two messages there is the same pause as between others to all routers, at most that of the
// renewals.
func (l *Loader) tellBudget(perSecond float64, atOnce bool) {
	b := &l.budget
	message := l.setBudget(perSecond)
	if message == nil || len(l.names) == 0 {
		return
	}
	changed := math.Abs(perSecond-b.told) > budgetTolerance*b.told
	due := l.now.Sub(b.toldAt) >= min(limit.BudgetInterval, l.broadcastInterval())
	if !atOnce && !(changed && due) {
		return
	}
	l.sendBudget(l.names, perSecond, *message)
}

// setBudget makes the limiter enforce a budget, 0 to end it. It returns the message that announces
// it, nil for an earlier life of the engine.
func (l *Loader) setBudget(perSecond float64) *core.LimitReply {
	budget := limit.Budget{PerSecond: perSecond, Burst: l.budget.targets.FirstEvent / 2, Shared: true}
	return l.limits.SetBudget(l.now, l.budgetLife(), budget)
}

// renewBudget announces a budget in force again to the routers that have heard nothing of it
// for limit.BudgetInterval. While the engine does not answer it is left to expire.
func (l *Loader) renewBudget() {
	b := &l.budget
	if !b.inForce || l.engine.report == nil {
		return
	}
	var due []core.HostID
	for _, r := range l.connected {
		if l.now.Sub(r.budgetToldAt) >= limit.BudgetInterval {
			due = append(due, r.name)
		}
	}
	if len(due) == 0 {
		return
	}
	perSecond, _ := b.tracker.Limit()
	if message := l.setBudget(perSecond); message != nil {
		l.sendBudget(due, perSecond, *message)
	}
}

func (l *Loader) sendBudget(to []core.HostID, perSecond float64, message core.LimitReply) {
	l.budget.told, l.budget.toldAt = perSecond, l.now
	for _, name := range to {
		l.routers[name].budgetToldAt = l.now
	}
	l.emit(SendLimit{Routers: to, Limit: message})
}

// budgetLife is the life of the engine that the budget is for.
func (l *Loader) budgetLife() core.ServerLife {
	return core.ServerLife{Instance: l.budget.life.Instance, Born: l.budget.life.Born}
}

// countAsked counts a router's request for a permit of the engine, whose answer also renews the
// budget at that router.
func (l *Loader) countAsked(e LimitRequested) {
	if e.Request.RequestID == 0 || e.Request.Server.Instance != l.engine.life.Instance {
		return
	}
	l.budget.asked++
	if r := l.routers[e.Router]; r != nil && l.budget.inForce {
		r.budgetToldAt = l.now
	}
}

// countBudgetTime counts the time since the last report by what the engine was then.
func (l *Loader) countBudgetTime() {
	b := &l.budget
	if b.sampledAt == 0 {
		return
	}
	elapsed := min(maxCountedInterval, l.now.Sub(b.sampledAt)).Seconds()
	if b.inForce {
		l.emit(Count{core.Count{Name: metricBudgetSeconds, Add: elapsed}})
	}
	if cause := b.tracker.Crowded(); cause != enginebudget.CauseNone {
		l.emit(Count{core.Count{Name: metricCrowdedSeconds, Labels: []string{cause.String()}, Add: elapsed}})
	}
}

func (l *Loader) countMalformedRuns(report *fleet.Report) {
	if report.Malformed > 0 {
		l.emit(Count{core.Count{Name: metricMalformedRuns, Add: float64(report.Malformed)}})
	}
}

// budgetAttrs are log attributes that show what a budget was computed from.
func (l *Loader) budgetAttrs(attrs ...slog.Attr) []slog.Attr {
	s := l.budget.tracker.Dump(l.now)
	return append(attrs, slog.String("instance", l.budget.life.Instance), slog.String("cause", s.Began), slog.String("crowded", s.Crowded),
		slog.Float64("capacity", s.Capacity), slog.Float64("begun", s.Begun), slog.Float64("asked", s.Asked),
		slog.String("read_in", s.ReadIn.Round(time.Millisecond).String()), slog.String("pause", s.Pause.Round(time.Millisecond).String()),
		slog.Float64("memory", s.Memory))
}
