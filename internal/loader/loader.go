package loader

import (
	"log/slog"
	"maps"
	"slices"
	"time"

	"nutmeglane.example/nutmeglane/internal/core"
	"nutmeglane.example/nutmeglane/internal/fleet"
)

const (
	// HeartbeatInterval is the longest time between two Holdings to a router.
	HeartbeatInterval = time.Second
	// countsInterval is the least time between two words on counts: about the time
	// in which a long prompt is read. At 250 ms an engine that was free when it was
	// heard of had two of them before the next word.
	countsInterval = 100 * time.Millisecond
	// busyRead and idleRead are the pauses between two reports of an engine
	// with and without requests. A report from its own host costs nothing but
	// the two processes' time, about 0.3 ms.
	busyRead = 100 * time.Millisecond
	idleRead = 500 * time.Millisecond
	// endRead is the pause between reports while the end of an order is due.
	endRead = 25 * time.Millisecond
	// lateRead is that pause once the order is late by more than lateAfter.
	lateRead  = 100 * time.Millisecond
	lateAfter = 300 * time.Millisecond
	// retryOrder is the pause after an order that was not accepted.
	retryOrder = 30 * time.Millisecond
	// failedReads in a row, the engine counts as down.
	failedReads = 2
)

// Options are fixed for the life of a loader.
type Options struct {
	Host core.HostID
	// IdleAfter is how long after its last request a loaded model counts as idle.
	IdleAfter time.Duration
}

// Loader is the reducer. Create it with New.
type Loader struct {
	opts Options
	now  core.Time
	out  []Effect

	engine  engine
	routers map[core.HostID]*router
	// names are those of the connected routers, sorted. Kept, since each step
	// goes through them: sorted anew for each want, they took two thirds of a
	// loader's time beside 27 routers.
	names []core.HostID
	spec  *spec

	reading  bool
	readAt   core.Time
	nextRead core.Time
	ordering bool
	// acceptedAt is when the engine last accepted an order.
	acceptedAt core.Time
	// nextOrder is the earliest next order, after one that was not accepted.
	nextOrder core.Time
	// task is the order for a model that the engine carries out.
	task *task

	// loadedAt is when models were loaded in this process's life.
	loadedAt map[string]core.Time
	// retiring models take no more requests, since the time.
	retiring   map[string]core.Time
	storeLoads int
	lastStore  *core.StoreLoadResult
	usage      usage
	told       told
}

// engine is what is known of the engine.
type engine struct {
	instance string
	// report is nil before the first.
	report *fleet.Report
	failed int
}

// router is a connected router.
type router struct {
	demand core.Demand
	// heardAt is when the demand came; its times count from then.
	heardAt core.Time
}

// task is an order for a model that was accepted.
type task struct {
	order fleet.Order
	tier  tier
	began core.Time
	// due is when it should have ended.
	due core.Time
}

// told is what routers were told last.
type told struct {
	holdings core.Holdings
	at       core.Time
	countsAt core.Time
	// known routers have got it.
	known map[core.HostID]bool
}

// New returns a loader that knows nothing yet.
func New(opts Options) *Loader {
	return &Loader{opts: opts, routers: map[core.HostID]*router{}, loadedAt: map[string]core.Time{}, retiring: map[string]core.Time{}, told: told{known: map[core.HostID]bool{}}}
}

// Step handles an event. The effects are valid until the next step.
func (l *Loader) Step(now core.Time, event Event) []Effect {
	l.now, l.out = now, l.out[:0]
	switch e := event.(type) {
	case Tick:
	case ReportRead:
		l.reportRead(e)
	case OrderDone:
		l.orderDone(e)
	case RouterUp:
		l.routers[e.Router] = &router{heardAt: now}
		l.names = slices.Sorted(maps.Keys(l.routers))
		delete(l.told.known, e.Router)
		l.log("router connected", slog.String("router", string(e.Router)))
	case RouterDown:
		delete(l.routers, e.Router)
		l.names = slices.Sorted(maps.Keys(l.routers))
		l.log("router lost", slog.String("router", string(e.Router)))
	case RouterSaid:
		l.routerSaid(e)
	}
	l.act()
	l.tellRouters()
	l.scheduleRead()
	l.emit(Wake{At: l.nextWake()})
	return l.out
}

func (l *Loader) emit(effect Effect) { l.out = append(l.out, effect) }

func (l *Loader) log(message string, attrs ...slog.Attr) {
	l.emit(Log{Message: message, Attrs: attrs})
}

func (l *Loader) routerSaid(e RouterSaid) {
	r := l.routers[e.Router]
	if r == nil {
		return
	}
	if e.Demand.Engine != nil {
		l.setSpec(e.Demand.Engine)
	}
	if e.Demand.Instance != r.demand.Instance && e.Demand.Instance != "" {
		l.engine.instance = e.Demand.Instance
	}
	r.demand, r.heardAt = e.Demand, l.now
}

func (l *Loader) reportRead(e ReportRead) {
	l.reading = false
	if l.readAt < l.acceptedAt {
		// Guards against a report that overtakes an order: it was read before
		// the engine accepted it, and shows memory as free that is promised.
		l.nextRead = l.now
		return
	}
	if e.Err != nil {
		l.engine.failed++
		if l.engine.failed == failedReads {
			l.log("engine does not answer", slog.String("error", e.Err.Error()))
			l.engine.report, l.task = nil, nil
		}
		return
	}
	if l.engine.failed >= failedReads {
		l.log("engine answers again", slog.Int64("orders", e.Report.Sequence))
	}
	l.engine.failed = 0
	before := l.engine.report
	l.engine.report = &e.Report
	if before != nil && e.Report.Sequence < before.Sequence {
		l.log("engine started again", slog.Int64("orders_before", before.Sequence), slog.Int64("orders", e.Report.Sequence))
		l.task = nil
	}
	if before == nil || before.Draining != e.Report.Draining {
		l.log("engine state", slog.Bool("draining", e.Report.Draining), slog.String("leaves_in", e.Report.LeavesIn.String()),
			slog.Int("models", len(e.Report.Models)))
	}
	l.countUsage()
	l.checkTask()
}

// checkTask ends the task once the engine is no longer busy with it.
func (l *Loader) checkTask() {
	t := l.task
	if t == nil || l.engine.report.Busy {
		return
	}
	l.task = nil
	took := l.now.Sub(t.began)
	has := l.findLoaded(t.order.Model) != nil
	if has != (t.order.Kind == fleet.OrderLoad) {
		l.log("order had no effect", orderAttrs(t.order, slog.String("took", took.String()))...)
		return
	}
	l.log("order carried out", orderAttrs(t.order, slog.String("took", took.String()),
		slog.String("tier", t.tier.String()), slog.Int("models", len(l.engine.report.Models)))...)
	if t.order.Kind != fleet.OrderLoad {
		return
	}
	l.loadedAt[t.order.Model] = l.now
	l.emit(Observe{core.Observe{Name: metricLoadSeconds, Labels: []string{t.tier.String()}, Value: took.Seconds()}})
	if t.tier == tierStore {
		l.storeLoads++
		l.lastStore = &core.StoreLoadResult{
			Sequence: l.storeLoads, Took: took, Nominal: l.spec.models[t.order.Model].StoreLoad,
		}
	}
}

func (l *Loader) orderDone(e OrderDone) {
	l.ordering = false
	l.nextRead = l.now
	l.emit(Count{core.Count{Name: metricOrders, Labels: []string{e.Order.Kind.String(), e.Result.String()}, Add: 1}})
	switch e.Result {
	case fleet.OrderAccepted, fleet.OrderHolds:
		l.accepted(e.Order, e.Result)
		return
	case fleet.OrderWrongInstance:
		l.engine.instance = e.Instance
	}
	l.nextOrder = l.now.Add(retryOrder)
	attrs := orderAttrs(e.Order, slog.String("result", e.Result.String()), slog.String("instance", e.Order.Instance))
	if e.Err != nil {
		attrs = append(attrs, slog.String("error", e.Err.Error()))
	}
	l.log("order not accepted", attrs...)
}

func (l *Loader) accepted(order fleet.Order, result fleet.OrderResult) {
	l.acceptedAt = l.now
	if order.Adapter != "" || result == fleet.OrderHolds {
		return
	}
	t := &task{order: order, began: l.now, due: l.now}
	if order.Kind == fleet.OrderLoad {
		t.tier = l.tierOf(order.Model)
		t.due = l.now.Add(l.loadTime(order.Model))
	}
	l.task = t
	l.log("order accepted", orderAttrs(order, slog.String("tier", t.tier.String()),
		slog.String("expected", t.due.Sub(l.now).String()))...)
}

func orderAttrs(order fleet.Order, more ...slog.Attr) []slog.Attr {
	attrs := []slog.Attr{slog.String("order", order.Kind.String()), slog.String("model", order.Model)}
	if order.Adapter != "" {
		attrs = append(attrs, slog.String("adapter", order.Adapter))
	}
	attrs = append(attrs, slog.Int64("sequence", order.Sequence))
	return append(attrs, more...)
}

// scheduleRead asks for a report when one is due.
func (l *Loader) scheduleRead() {
	if l.reading || l.now < l.nextRead {
		return
	}
	l.reading, l.readAt = true, l.now
	l.nextRead = l.now.Add(l.readPause())
	l.emit(ReadReport{})
}

// readPause is the pause before the next report but one.
func (l *Loader) readPause() time.Duration {
	switch t := l.task; {
	case t != nil && l.now < t.due:
		return min(busyRead, t.due.Sub(l.now))
	case t != nil && l.now.Sub(t.due) < lateAfter:
		return endRead
	case t != nil:
		return lateRead
	case l.engine.report != nil && len(l.engine.report.Coming) > 0:
		return endRead
	case l.engine.report != nil && l.engine.report.Running > 0:
		return busyRead
	default:
		return idleRead
	}
}

func (l *Loader) nextWake() core.Time {
	wake := l.now.Add(countsInterval)
	if !l.reading {
		wake = min(wake, l.nextRead)
	}
	if l.nextOrder > l.now {
		wake = min(wake, l.nextOrder)
	}
	return wake
}

// coordinator is the connected router of the lowest name.
func (l *Loader) coordinator() core.HostID {
	if len(l.names) == 0 {
		return ""
	}
	return l.names[0]
}

func (l *Loader) findLoaded(model string) *fleet.LoadedModel {
	if l.engine.report == nil {
		return nil
	}
	for i := range l.engine.report.Models {
		if l.engine.report.Models[i].Name == model {
			return &l.engine.report.Models[i]
		}
	}
	return nil
}
