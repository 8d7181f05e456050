package loader

import (
	"log/slog"
	"slices"
	"time"

	"nutmeglane.example/nutmeglane/internal/core"
	"nutmeglane.example/nutmeglane/internal/fleet"
)

// This file keeps the engine within its limits although orders of its earlier lives may still
// arrive.
//
// An order without an answer may be carried out seconds later. It is checked against the engine's
// order count, which reaches the same number again after a restart under the same instance: the
// order then adds a model to others than those on which it was decided, and the engine crashes.
// Within one life it can't: an order that expects a number which the count has passed is refused,
// and of two that expect the same number one is.
//
// Therefore no order is sent after which the orders that may still arrive would exceed a limit. An
// order raises the count to the next number, at which one of them may be accepted, which raises the
// count to the next number, and so on.
//
// A loader that has just started does not know what its predecessor sent. If its engine has started
// again under its instance, it sends nothing until those orders can't arrive any more.

// sentOrder is an order that was sent and not answered.
type sentOrder struct {
	order fleet.Order
	// adds is what the engine holds more once it has carried out the order.
	adds room
	// life is the number of the engine's life to which it was sent, until when it may arrive.
	life  int
	until core.Time
}

// room is a part of the engine's limits: memory in MB, and places for adapters.
type room struct {
	mb       float64
	adapters int
}

func (r room) plus(other room) room { return room{r.mb + other.mb, r.adapters + other.adapters} }

// atLeast returns the larger of each.
func (r room) atLeast(other room) room {
	return room{max(r.mb, other.mb), max(r.adapters, other.adapters)}
}

// within reports whether it is at most a limit.
func (r room) within(limit room) bool { return r.mb <= limit.mb && r.adapters <= limit.adapters }

// recordOrder records an order before it is sent: it may be accepted even if no answer comes.
func (l *Loader) recordOrder(order fleet.Order) {
	l.unanswered = append(l.unanswered, sentOrder{order, l.added(order), l.engine.number, l.now.Add(core.LateOrderLife)})
}

// recordOrderAnswer forgets the last order, which was answered and can't arrive any more. An equal
// one that was sent before it and got no answer still can.
func (l *Loader) recordOrderAnswer(order fleet.Order) {
	if last := len(l.unanswered) - 1; last >= 0 && l.unanswered[last].order == order {
		l.unanswered = l.unanswered[:last]
	}
}

// expireOrders forgets the orders that can't arrive any more.
func (l *Loader) expireOrders() {
	l.unanswered = slices.DeleteFunc(l.unanswered, func(s sentOrder) bool { return l.now >= s.until })
}

// added returns what the engine holds more once it has carried out an order.
func (l *Loader) added(order fleet.Order) room {
	declared, _ := l.declaredSize(order.Model)
	occupied := l.occupiedSize(order.Model)
	switch {
	case order.Kind == fleet.OrderLoad && order.Adapter != "":
		return room{declared.adapterMB, 1}
	case order.Kind == fleet.OrderLoad:
		return room{declared.modelMB, 0}
	case order.Adapter != "":
		return room{-occupied.adapterMB, -1}
	}
	if m := l.findLoaded(order.Model); m != nil {
		return room{-l.sizeOf(*m), -len(m.Adapters)}
	}
	return room{}
}

// lateAfter returns the most that orders of earlier lives may add once the engine has accepted the
// next order.
func (l *Loader) lateAfter(next fleet.Order) room {
	sum := room{}
	for sequence := next.Sequence + 1; ; sequence++ {
		most, any := l.lateAt(sequence, next)
		if !any {
			return sum
		}
		sum = sum.plus(most)
	}
}

// lateAt returns the most that an order of an earlier life may add while the order count has a
// number, and whether any may arrive then. What is loaded already is not added again.
func (l *Loader) lateAt(sequence int64, next fleet.Order) (most room, any bool) {
	for _, s := range l.unanswered {
		if s.order.Sequence != sequence || s.life == l.engine.number || l.isForOther(s.order) {
			continue
		}
		any = true
		if s.order.Kind == fleet.OrderLoad && !(l.holds(s.order) && s.order.Model != next.Model) {
			most = most.atLeast(s.adds)
		}
	}
	return most, any
}

// isForOther reports whether the engine would refuse an order because it names another instance.
func (l *Loader) isForOther(order fleet.Order) bool {
	named, present := order.For.Instance, l.engine.life.Instance
	return named != "" && present != "" && named != present
}

// holds reports whether the engine holds what an order loads.
func (l *Loader) holds(order fleet.Order) bool {
	m := l.findLoaded(order.Model)
	return m != nil && (order.Adapter == "" || m.HasAdapter(order.Adapter))
}

// used returns what the engine holds.
func (l *Loader) used() room {
	return room{l.usedMB(), l.adapterCount()}
}

// lateReserve returns what the next order must leave free for orders of earlier lives.
func (l *Loader) lateReserve() room {
	if len(l.unanswered) == 0 {
		return room{}
	}
	return l.lateAfter(fleet.Order{Sequence: l.engine.report.Sequence})
}

// mayOrder reports whether the engine stays within its limits after an order, whichever orders of
// earlier lives follow, also those of this loader's predecessor. If not, the order is withheld until
// one of them can't arrive any more.
func (l *Loader) mayOrder(order fleet.Order) bool {
	if until, unknown := l.unknownOrders(); unknown {
		l.withhold(order, until, room{}, "those of a predecessor may still arrive")
		return false
	}
	if len(l.unanswered) == 0 {
		return true
	}
	late := l.lateAfter(order)
	limit := room{l.spec.memoryMB, l.spec.adapterSlots}
	if late == (room{}) || l.used().plus(l.added(order)).plus(late).within(limit) {
		return true
	}
	l.withhold(order, l.unanswered[0].until, late, "earlier ones may still arrive")
	return false
}

// withhold records that an order has to wait until a time, and logs the start of that wait.
func (l *Loader) withhold(order fleet.Order, until core.Time, late room, reason string) {
	began := l.now >= l.withheldUntil
	l.withheldUntil = until
	if !began {
		return
	}
	l.emit(Count{core.Count{Name: metricOrdersWithheld, Add: 1}})
	l.log("order withheld", orderAttrs(order, slog.String("reason", reason), slog.Float64("late_mb", late.mb),
		slog.Int("late_adapters", late.adapters), slog.Float64("used_mb", l.usedMB()),
		slog.Int("unanswered", len(l.unanswered)), slog.String("for", until.Sub(l.now).String()))...)
}

// instanceTold is the time in which routers tell the instance of an engine that has just started:
// its registration, and their read of it.
const instanceTold = 2 * time.Second

// unknownOrders reports whether orders that this process does not know may still arrive at the
// engine, and until when it has to wait because of them.
//
// They are those of a predecessor of this process, and expected by an engine that has had an
// earlier life under its instance. Where the instance isn't told yet, it may be the earlier one.
func (l *Loader) unknownOrders() (until core.Time, unknown bool) {
	until = l.startedAt.Add(core.LateOrderLife)
	if l.now >= until {
		return 0, false
	}
	present := l.engine.life
	before := map[string]bool{}
	if l.engine.former != "" {
		before[l.engine.former] = true
	}
	for _, r := range l.connected {
		switch d := r.demand; {
		case d.Instance == "" || d.Born == 0:
		case d.Born < present.Born:
			before[d.Instance] = true
		case d.Restarted && d.Born == present.Born:
			return until, true
		}
	}
	switch {
	case len(before) == 0:
		return 0, false
	case present.Instance == "":
		return min(until, l.now.Add(instanceTold)), true
	default:
		return until, before[present.Instance]
	}
}
