package loader

import (
	"log/slog"
	"time"

	"nutmeglane.example/nutmeglane/internal/core"
)

const (
	// maxCountedInterval limits the time that one report accounts for: after a freeze,
	// or while an engine did not answer, it is unknown what was loaded.
	maxCountedInterval = 2 * time.Second
	// usageInterval is the time between two log lines on an engine's use.
	usageInterval = 10 * time.Second
)

// usage sums up how long the engine and its models were loaded and used while this
// process ran.
type usage struct {
	countedAt, loggedAt core.Time
	// lastUsed is when a request was last seen on each loaded model.
	lastUsed map[string]core.Time
	// model and idleModel are in model-seconds, engine and idleEngine in seconds.
	model, idleModel, engine, idleEngine time.Duration
}

// countUsage adds the time since the last report.
func (l *Loader) countUsage() {
	u := &l.usage
	elapsed := min(maxCountedInterval, l.now.Sub(u.countedAt))
	first := u.countedAt == 0
	u.countedAt = l.now
	if u.lastUsed == nil {
		u.lastUsed = map[string]core.Time{}
	}
	l.recordUsed()
	if first {
		u.loggedAt = l.now
		return
	}
	for model := range u.lastUsed {
		u.model += elapsed
		use := "used"
		if l.now.Sub(u.lastUsed[model]) > l.opts.IdleAfter {
			u.idleModel += elapsed
			use = "idle"
		}
		l.emit(Count{core.Count{Name: metricModelSeconds, Labels: []string{use}, Add: elapsed.Seconds()}})
	}
	u.engine += elapsed
	use := "used"
	if l.engine.report.Running == 0 {
		u.idleEngine += elapsed
		use = "idle"
	}
	l.emit(Count{core.Count{Name: metricEngineSeconds, Labels: []string{use}, Add: elapsed.Seconds()}})
	l.logUsage()
}

// recordUsed records which loaded models have running requests. A model counts as used
// from its load on.
func (l *Loader) recordUsed() {
	loaded := map[string]bool{}
	uses := l.uses()
	for _, m := range l.engine.report.Models {
		loaded[m.Name] = true
		_, known := l.usage.lastUsed[m.Name]
		if !known || uses[modelKey{model: m.Name}].running > 0 {
			l.usage.lastUsed[m.Name] = l.now
		}
	}
	for model := range l.usage.lastUsed {
		if !loaded[model] {
			delete(l.usage.lastUsed, model)
		}
	}
}

// logUsage logs the sums every usageInterval.
func (l *Loader) logUsage() {
	u := &l.usage
	if l.now.Sub(u.loggedAt) < usageInterval {
		return
	}
	u.loggedAt = l.now
	l.log("engine use", slog.String("models", u.model.String()), slog.String("models_idle", u.idleModel.String()),
		slog.String("engine", u.engine.String()), slog.String("engine_idle", u.idleEngine.String()))
}
