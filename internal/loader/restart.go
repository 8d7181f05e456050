package loader

import (
	"log/slog"
	"time"

	"nutmeglane.example/nutmeglane/internal/core"
	"nutmeglane.example/nutmeglane/internal/fleet"
)

// This file handles restarts of the engine. A restarted engine may keep its instance; it
// holds no models, and its order count starts again at 0.

// unansweredTTL is how long an order without an answer may still arrive: the platform may
// delay a call by seconds.
const unansweredTTL = 10 * time.Second

// unansweredOrder is an order to load that got no answer.
//
// It guards against an engine that restarts, is ordered to load more than its memory
// holds and crashes: an order is checked against the order count, which reaches the same
// number again in the new life. Its memory is reserved while it may still be accepted.
type unansweredOrder struct {
	order fleet.Order
	until core.Time
}

// isCurrentLife reports whether a report is of the engine's current life, and resets the
// engine's state if the report is the first of a new life. A report of an earlier life
// arrived late: using it would restore models that are no longer loaded.
func (l *Loader) isCurrentLife(report fleet.Report) bool {
	life := &l.engine.life
	order := fleet.Incarnation{Born: report.Born}.Compare(*life)
	if order < 0 {
		l.log("ignoring a report of an earlier life of the engine", slog.Int64("born", report.Born), slog.Int64("present", life.Born))
		return false
	}
	before := l.engine.report
	if order > 0 || before != nil && report.Sequence < before.Sequence {
		l.resetEngine(report)
	}
	if report.Born != 0 {
		life.Born = report.Born
	}
	return true
}

// resetEngine drops the state of the engine's earlier life. The instance goes too, as the
// new life may have another.
func (l *Loader) resetEngine(report fleet.Report) {
	attrs := []slog.Attr{slog.Int64("born", report.Born), slog.Int64("born_before", l.engine.life.Born), slog.Int64("orders", report.Sequence)}
	if t := l.task; t != nil {
		attrs = append(attrs, slog.String("order_lost", t.order.Kind.String()+" "+t.order.Model))
	}
	l.log("engine restarted", attrs...)
	l.dropBudget("engine restarted")
	if report.Born != 0 && report.Born != l.engine.life.Born {
		l.engine.life = fleet.Incarnation{}
		l.restoreInstance(report.Born)
	}
	l.engine.report, l.task, l.nextOrder = nil, nil, l.now
	clear(l.loadedAt)
	clear(l.retiring)
	clear(l.usage.lastUsed)
}

// restoreInstance takes the instance of a life that a router has already reported.
func (l *Loader) restoreInstance(born int64) {
	for _, r := range l.connected {
		if d := r.demand; d.Born == born {
			l.engine.life.Instance = d.Instance
		}
	}
}

// noteUnanswered records an order whose answer was lost.
func (l *Loader) noteUnanswered(order fleet.Order) {
	if order.Kind == fleet.OrderLoad {
		l.unanswered = &unansweredOrder{order, l.now.Add(unansweredTTL)}
	}
}

// unansweredMB is the memory that the next order must leave free for an unanswered order.
// It is nonzero only if the next order raises the order count to the number at which the
// engine would accept the unanswered one.
func (l *Loader) unansweredMB() float64 {
	s := l.unanswered
	if s == nil || l.now >= s.until || s.order.For.Compare(l.engine.life) == 0 || l.engine.report.Sequence+1 != s.order.Sequence {
		return 0
	}
	m := l.spec.models[s.order.Model]
	if s.order.Adapter != "" {
		return m.AdapterMB
	}
	return m.MemoryMB
}
