package loader

import (
	"log/slog"

	"nutmeglane.example/nutmeglane/internal/core"
)

// This file answers routers for the servers with a limit that this loader counts for: its
// engine, and servers of plain services. See package limit.

func (l *Loader) limitAsked(e RouterAskedLimit) {
	l.limits.Forget(l.now)
	answer, news := l.limits.Ask(l.now, e.Ask)
	if answer != nil {
		l.emit(TellLimit{Routers: []core.HostID{e.Router}, Told: *answer})
	}
	if news == nil {
		return
	}
	l.log("limit of a backend server", slog.String("instance", news.Server.Instance), slog.Int64("born", news.Server.Born),
		slog.Bool("named", news.Limit.Named), slog.Float64("per_second", news.Limit.PerSecond), slog.String("told_by", string(e.Router)))
	l.emit(TellLimit{Routers: l.names, Told: *news})
}

// tellLimits tells a router that has just connected of the limits that hold.
func (l *Loader) tellLimits(router core.HostID) {
	for _, told := range l.limits.All(l.now) {
		l.emit(TellLimit{Routers: []core.HostID{router}, Told: told})
	}
}
