package loader

import (
	"log/slog"

	"nutmeglane.example/nutmeglane/internal/fleet"
)

// This file handles restarts of the engine. A restarted engine may keep its instance; it
// holds no models, and its order count starts again at 0.

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
	l.engine.former = l.engine.life.Instance
	if report.Born != 0 && report.Born != l.engine.life.Born {
		l.engine.life = fleet.Incarnation{}
		l.restoreInstance(report.Born)
	}
	l.engine.number++
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
