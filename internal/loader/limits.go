package loader

import (
	"log/slog"

	"nutmeglane.example/nutmeglane/internal/core"
)

// This file enforces the request limits of backend servers that are assigned to this
// loader: its engine and servers of plain services. See package limit.

func (l *Loader) handleLimitRequest(e LimitRequested) {
	l.limits.RemoveStale(l.now)
	l.countAsked(e)
	l.noteServerLoad(e)
	answer, broadcast := l.limits.Handle(l.now, e.Request)
	if answer != nil {
		l.emit(SendLimit{Routers: []core.HostID{e.Router}, Limit: *answer})
	}
	if broadcast == nil {
		return
	}
	l.log("backend server limit changed", slog.String("instance", broadcast.Server.Instance), slog.Int64("born", broadcast.Server.Born),
		slog.Bool("named", broadcast.Limit.Named), slog.Float64("per_second", broadcast.Limit.PerSecond), slog.String("told_by", string(e.Router)))
	l.emit(SendLimit{Routers: l.names, Limit: *broadcast})
}

// sendLimits sends the limits in force to a router that has just connected.
func (l *Loader) sendLimits(router core.HostID) {
	for _, active := range l.limits.Active(l.now) {
		l.emit(SendLimit{Routers: []core.HostID{router}, Limit: active})
	}
	if r := l.routers[router]; r != nil && l.budget.inForce {
		r.budgetToldAt = l.now
	}
}
