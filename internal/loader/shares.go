package loader

import (
	"log/slog"

	"nutmeglane.example/nutmeglane/internal/core"
	"nutmeglane.example/nutmeglane/internal/fairshare"
)

// This file logs and counts how the permits of the engine are shared among client accounts. See
// package fairshare.

const metricMalformedPermits core.Counter = "loader_permit_fields_malformed_total"

// countMalformedFields counts the fields of a request for a permit for which defaults are used.
func (l *Loader) countMalformedFields(request core.LimitRequest) {
	if request.RequestID == 0 {
		return
	}
	_, malformed := fairshare.FromMessage(request)
	for _, field := range malformed {
		l.emit(Count{core.Count{Name: metricMalformedPermits, Labels: []string{string(field)}, Add: 1}})
	}
}

// logShareChanges logs which accounts began or ceased to be refused for their shares.
func (l *Loader) logShareChanges() {
	for _, change := range l.limits.ShareChanges(l.now) {
		attrs := []slog.Attr{
			slog.String("instance", change.Server.Instance), slog.String("account", change.Account),
			slog.Int("rank", change.Rank), slog.Float64("weight", change.Weight),
		}
		if change.Started {
			l.log("account refused for its share", append(attrs, slog.Float64("share", change.Share), slog.Float64("granted", change.Granted))...)
			continue
		}
		l.log("account no longer refused for its share", append(attrs, slog.Int("refused", change.Refused), slog.String("lasted", change.Lasted.String()))...)
	}
}
