package loader

import (
	"log/slog"
	"time"

	"nutmeglane.example/nutmeglane/internal/core"
)

const (
	// longestCount bounds the time that one report stands for: after a freeze or
	// an engine's silence nothing is known of what was loaded.
	longestCount = 2 * time.Second
	// usageInterval is the time between two lines on an engine's use.
	usageInterval = 10 * time.Second
)

// usage is how long the engine and its models were loaded and used, in this
// process's life.
type usage struct {
	at, told core.Time
	// lastUsed is when a request was last seen on each loaded model.
	lastUsed map[string]core.Time
	// model and idleModel are model-seconds, engine and idleEngine seconds.
	model, idleModel, engine, idleEngine time.Duration
}

// countUsage counts the time since the last report.
func (l *Loader) countUsage() {
	u := &l.usage
	past := min(longestCount, l.now.Sub(u.at))
	first := u.at == 0
	u.at = l.now
	if u.lastUsed == nil {
		u.lastUsed = map[string]core.Time{}
	}
	l.noteUsed()
	if first {
		u.told = l.now
		return
	}
	for model := range u.lastUsed {
		u.model += past
		use := "used"
		if l.now.Sub(u.lastUsed[model]) > l.opts.IdleAfter {
			u.idleModel += past
			use = "idle"
		}
		l.emit(Count{core.Count{Name: metricModelSeconds, Labels: []string{use}, Add: past.Seconds()}})
	}
	u.engine += past
	use := "used"
	if l.engine.report.Running == 0 {
		u.idleEngine += past
		use = "idle"
	}
	l.emit(Count{core.Count{Name: metricEngineSeconds, Labels: []string{use}, Add: past.Seconds()}})
	l.tellUsage()
}

// noteUsed notes which loaded models requests run on. A model counts as used from
// its load on.
func (l *Loader) noteUsed() {
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

// tellUsage logs the sums from time to time.
func (l *Loader) tellUsage() {
	u := &l.usage
	if l.now.Sub(u.told) < usageInterval {
		return
	}
	u.told = l.now
	l.log("engine use", slog.String("models", u.model.String()), slog.String("models_idle", u.idleModel.String()),
		slog.String("engine", u.engine.String()), slog.String("engine_idle", u.idleEngine.String()))
}
