package loader

import (
	"log/slog"
	"time"

	"nutmeglane.example/nutmeglane/internal/core"
)

// An engine that is ordered to unload a model refuses the requests for it that have not
// started, and completes the others first, for seconds in which it accepts no other
// order. For a busy model that means dozens of refusals at once, and callers whose route
// allows only one server have to retry. So a model in use is retired first: routers are
// instructed to send it no more requests and use other copies, and the order follows when no
// request is left here.

// retireTTL is the time after which a retirement that no order followed is cancelled,
// because the want that it was for is gone.
const retireTTL = 4 * time.Second

// retireCheapest retires the members in use of the cheapest set that makes room.
func (l *Loader) retireCheapest(candidates []candidate, uses map[modelKey]mergedUse, need float64) {
	for _, c := range cheapest(candidates, need) {
		if uses[modelKey{model: c.name}].running == 0 || l.isRetiring(c.name) {
			continue
		}
		l.retiring[c.name] = l.now
		l.log("retiring model to make room", slog.String("model", c.name),
			slog.Int("running", uses[modelKey{model: c.name}].running), slog.Float64("needed_mb", need))
	}
}

func (l *Loader) isRetiring(model string) bool {
	_, ok := l.retiring[model]
	return ok
}

// retireTimedOut reports whether a retiring model has had enough time to complete its
// requests.
func (l *Loader) retireTimedOut(model string) bool {
	since, ok := l.retiring[model]
	return ok && l.now.Sub(since) >= core.RetireLimit
}

// expireRetiring cancels retirements that are over, or whose model is wanted again.
func (l *Loader) expireRetiring(wants []mergedWant) {
	for model, since := range l.retiring {
		over := l.now.Sub(since) > retireTTL || l.findLoaded(model) == nil
		if over || l.hasWaitingRequests(wants, model) {
			delete(l.retiring, model)
		}
	}
}

// stateOf returns the state of a loaded model as announced to routers.
func (l *Loader) stateOf(model string) core.HoldState {
	if l.isUnloading(model) || l.isRetiring(model) {
		return core.HoldUnloading
	}
	return core.HoldLoaded
}
