package loader

import (
	"log/slog"
	"time"

	"nutmeglane.example/nutmeglane/internal/core"
	"nutmeglane.example/nutmeglane/internal/fleet"
)

// This file handles an engine that starts again. It may keep its instance; it then
// holds nothing, and its count of orders begins anew.

// strayLife is how long an order without an answer may still arrive: the platform
// speaks of seconds.
const strayLife = 10 * time.Second

// strayOrder is an order that got no answer before the engine started again.
//
// It guards against an engine that is ordered to load more than it holds and
// crashes: the order's check is the count of orders, and that passes the same
// number once more in the new life. Until then its memory is kept free.
type strayOrder struct {
	order fleet.Order
	until core.Time
}

// presentLife tells whether a report is of the engine's present life, which it may
// begin. A report of an earlier one is late: taken in, it would bring back models
// that are gone.
func (l *Loader) presentLife(report fleet.Report) bool {
	life := &l.engine.life
	order := fleet.Incarnation{Born: report.Born}.Compare(*life)
	if order < 0 {
		l.log("report of an earlier life of the engine left out", slog.Int64("born", report.Born), slog.Int64("present", life.Born))
		return false
	}
	before := l.engine.report
	if order > 0 || before != nil && report.Sequence < before.Sequence {
		l.startedAgain(report)
	}
	if report.Born != 0 {
		life.Born = report.Born
	}
	return true
}

// startedAgain drops all that was known of the engine's earlier life. The instance
// goes too: the new life may have another.
func (l *Loader) startedAgain(report fleet.Report) {
	attrs := []slog.Attr{slog.Int64("born", report.Born), slog.Int64("born_before", l.engine.life.Born), slog.Int64("orders", report.Sequence)}
	if t := l.task; t != nil {
		attrs = append(attrs, slog.String("order_lost", t.order.Kind.String()+" "+t.order.Model))
	}
	l.log("engine started again", attrs...)
	if report.Born != 0 && report.Born != l.engine.life.Born {
		l.engine.life = fleet.Incarnation{}
		l.relearnInstance(report.Born)
	}
	l.engine.report, l.task = nil, nil
	clear(l.loadedAt)
	clear(l.retiring)
	clear(l.usage.lastUsed)
}

// relearnInstance takes the name of a life that a router has told of already.
func (l *Loader) relearnInstance(born int64) {
	for _, r := range l.connected {
		if d := r.demand; d.Born == born {
			l.engine.life.Instance = d.Instance
		}
	}
}

// noteStray notes an order whose answer was lost.
func (l *Loader) noteStray(order fleet.Order) {
	if order.Kind == fleet.OrderLoad {
		l.stray = &strayOrder{order, l.now.Add(strayLife)}
	}
}

// strayMB is the memory that the next order must leave for a stray one: it is the
// one that takes the count to the number at which the stray one is carried out.
func (l *Loader) strayMB() float64 {
	s := l.stray
	if s == nil || l.now >= s.until || s.order.For.Compare(l.engine.life) == 0 || l.engine.report.Sequence+1 != s.order.Sequence {
		return 0
	}
	m := l.spec.models[s.order.Model]
	if s.order.Adapter != "" {
		return m.AdapterMB
	}
	return m.MemoryMB
}
