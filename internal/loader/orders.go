package loader

import (
	"log/slog"

	"nutmeglane.example/nutmeglane/internal/core"
	"nutmeglane.example/nutmeglane/internal/fleet"
)

// This file tracks the orders that were sent to the engine.

// task is a model order that the engine accepted.
type task struct {
	order fleet.Order
	tier  tier
	began core.Time
	// due is when it is expected to end.
	due core.Time
}

func (l *Loader) orderDone(e OrderDone) {
	l.orderPending = false
	l.nextRead = l.now
	if e.Result != fleet.OrderUnknown {
		l.recordOrderAnswer(e.Order)
	}
	l.emit(Count{core.Count{Name: metricOrders, Labels: []string{e.Order.Kind.String(), e.Result.String()}, Add: 1}})
	// Guards against an answer from an earlier life: the orders that it accepted are
	// lost. A task that never ends would block all further orders to the engine.
	if e.Order.For.Compare(l.engine.life) < 0 {
		l.acceptedAt = l.now
		l.log("ignoring the result of an order to an earlier life of the engine", orderAttrs(e.Order, slog.String("result", e.Result.String()))...)
		return
	}
	switch e.Result {
	case fleet.OrderAccepted, fleet.OrderUnchanged:
		l.orderAccepted(e.Order, e.Result)
		return
	case fleet.OrderWrongInstance:
		l.engine.life.Instance = e.Instance
	}
	l.nextOrder = l.now.Add(max(orderRetryDelay, e.Backoff))
	attrs := orderAttrs(e.Order, slog.String("result", e.Result.String()), slog.String("instance", e.Order.For.Instance), slog.String("backoff", e.Backoff.String()))
	if e.Err != nil {
		attrs = append(attrs, slog.String("error", e.Err.Error()))
	}
	l.log("order not accepted", attrs...)
}

func (l *Loader) orderAccepted(order fleet.Order, result fleet.OrderResult) {
	l.acceptedAt = l.now
	if order.Adapter != "" || result == fleet.OrderUnchanged {
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
