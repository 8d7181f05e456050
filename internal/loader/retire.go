package loader

import (
	"log/slog"
	"time"

	"nutmeglane.example/nutmeglane/internal/core"
)

// An engine that is ordered to unload a model refuses the requests for it that
// have not started, and lets the others end first, for seconds in which it takes
// no other order. For a busy model that is dozens of refusals at once, and the
// callers whose route allows one server only have to come back. So a model in
// use is retired first: routers are told that it takes no more requests, send
// theirs to other copies, and the order follows when none is left here.

// retireLife ends a retirement that no order followed, because the want
// that it was for is gone.
const retireLife = 4 * time.Second

// retireOf retires the members in use of the cheapest set that makes room.
func (l *Loader) retireOf(candidates []candidate, uses map[modelKey]used, need float64) {
	for _, c := range cheapest(candidates, need) {
		if uses[modelKey{model: c.name}].running == 0 || l.isRetiring(c.name) {
			continue
		}
		l.retiring[c.name] = l.now
		l.log("model takes no more requests, to make room", slog.String("model", c.name),
			slog.Int("running", uses[modelKey{model: c.name}].running), slog.Float64("needed_mb", need))
	}
}

func (l *Loader) isRetiring(model string) bool {
	_, ok := l.retiring[model]
	return ok
}

// retiredLong tells that a model's requests have been waited for long enough.
func (l *Loader) retiredLong(model string) bool {
	since, ok := l.retiring[model]
	return ok && l.now.Sub(since) >= core.RetireLimit
}

// expireRetiring takes back retirements that are over, or whose model is wanted
// again.
func (l *Loader) expireRetiring(wants []wanted) {
	for model, since := range l.retiring {
		over := l.now.Sub(since) > retireLife || l.findLoaded(model) == nil
		if over || l.wantedWith(wants, model) {
			delete(l.retiring, model)
		}
	}
}

// stateOf is the state of a loaded model as routers are told.
func (l *Loader) stateOf(model string) core.HoldState {
	if l.isUnloading(model) || l.isRetiring(model) {
		return core.HoldUnloading
	}
	return core.HoldLoaded
}
