package router

import (
	"cmp"
	"log/slog"
	"maps"
	"slices"
	"time"

	"nutmeglane.example/nutmeglane/internal/code"
	"nutmeglane.example/nutmeglane/internal/fleet"
)

const (
	// minMoveGain is how much sooner a model must be ready at another engine before the
	// requests that wait for it are moved there. Moving discards a load that may have
	// begun, so that small gains are not worth it.
	minMoveGain = 1500 * time.Millisecond
	// noLoaderRetryAfter is the Retry-After of a refusal while no engine has a loader:
	// about the time in which a host and its processes start.
	noLoaderRetryAfter = 5 * time.Second
)

// waitKey identifies what requests wait for.
type waitKey struct {
	service string
	modelKey
	// release is the one that the requests are bound to, the unknown one if they are not. A
	// request that is bound to the unknown release fits no server and does not wait.
	release fleet.Release
	// tried are the instances that requests which are bound were sent to: only those with the
	// same ones can wait for the same engine.
	tried string
}

// bound reports whether the requests of a queue are bound to a release.
func (w *wait) bound() bool { return w.key.release.Known }

// fits reports whether what waits may be served by a server, as far as its release matters.
func (k waitKey) fits(b *backend) bool { return !k.release.Known || k.release.Same(b.Release) }

// wait is the queue of requests for one model or adapter that is not loaded.
type wait struct {
	key      waitKey
	requests []*request
	// home is the engine that was asked to load it.
	home *backend
}

// dispatchPrompt sends a generation to an engine that has its model loaded, or queues it
// until one has.
func (r *Router) dispatchPrompt(req *request) {
	p := req.prompt
	holders, modelLoaded := r.holdersFor(req)
	if len(holders) > 0 {
		r.send(req, r.choose(req, holders))
		return
	}
	if r.refusedForShare(req) {
		return
	}
	if r.onlyTriedHave(req) {
		r.giveUp(req, code.NoBackend, "the engines that have its model did not take it")
		return
	}
	adapter := ""
	if modelLoaded {
		adapter = p.Adapter
	}
	key := waitKey{req.service, modelKey{p.Model, adapter}, req.boundRelease(), req.boundTried()}
	if req.waiting != nil && req.waiting.key == key {
		return
	}
	r.leaveWait(req)
	if !r.declared(req.service, p.Model) {
		r.refuse(req, code.NoBackend, defaultRetryAfter, undeclaredModel)
		return
	}
	r.join(req, key)
}

// onlyTriedHave reports whether the model and adapter of a request are loaded, but only at
// engines that the request was already sent to.
//
// It guards against a wait for a model that is already loaded: the engine that has it has
// refused the request, the queue for the model appears to be served by that engine, and the
// request, which may not go there again, is held until its caller's deadline. Requests that
// are bound to a release have queues of their own, in which the engines that all of them tried
// do not count.
func (r *Router) onlyTriedHave(req *request) bool {
	if len(req.tried) == 0 || req.bound {
		return false
	}
	tried := false
	for _, b := range r.holders(req.service, req.prompt.Model) {
		if !r.hasLoaded(b, req) || !r.usable(b) || !r.hasRoom(b) {
			continue
		}
		if !slices.Contains(req.tried, b.Instance) {
			return false
		}
		tried = true
	}
	return tried
}

// holdersFor returns the engines that may get a request and have its model and adapter
// loaded, and reports whether any engine that may get it has the model loaded.
func (r *Router) holdersFor(req *request) (holders []*backend, modelLoaded bool) {
	p := req.prompt
	for _, b := range r.candidatesOf(req, r.holders(req.service, p.Model)) {
		hasModel, hasAdapter := r.loaded(b, p.Model, p.Adapter)
		if hasModel && hasAdapter {
			holders = append(holders, b)
		}
		modelLoaded = modelLoaded || hasModel
	}
	return r.withRoom(holders), modelLoaded
}

func (r *Router) join(req *request, key waitKey) {
	w := r.waits[key]
	if w == nil {
		w = &wait{key: key}
		r.waits[key] = w
	}
	w.requests = append(w.requests, req)
	req.waiting = w
	w.markHomeDirty()
	r.place(w)
	if req.waiting == nil {
		return
	}
	if w.home != nil {
		req.cold = r.nearestCopy(w)
		r.log(SingleRequest, "request waits for its model", req.attrs("at", w.home.Instance,
			"ready_in", r.readyIn(w.home, key).String(), "waiting", len(w.requests))...)
	}
}

// nearestCopy returns where the copy is stored that the home of a queue would load.
func (r *Router) nearestCopy(w *wait) string {
	if w.key.adapter != "" {
		return "adapter"
	}
	switch r.tier(w.home, w.key.model) {
	case nearMemory:
		return "memory"
	case nearDisk:
		return "disk"
	default:
		return "store"
	}
}

func (r *Router) leaveWait(req *request) {
	w := req.waiting
	if w == nil {
		return
	}
	req.waiting = nil
	req.waited = r.now.Sub(req.arrived)
	w.requests = slices.DeleteFunc(w.requests, func(other *request) bool { return other == req })
	w.markHomeDirty()
	if len(w.requests) == 0 {
		delete(r.waits, w.key)
	}
}

// markHomeDirty makes the home's loader receive a new Demand after a change of the queue.
//
// It must be called for changes only. Called at every check of a queue, it made all routers
// answer each loader report and the loader answer each of these: a thousand messages a
// second at each router while a few models were waited for.
func (w *wait) markHomeDirty() {
	if w.home != nil && w.home.loader != nil {
		w.home.loader.dirty = true
	}
}

// recheckAllWaits checks all waits again: the model may be loaded by now, or its load may
// be predicted to end too late.
func (r *Router) recheckAllWaits() {
	if len(r.waits) == 0 {
		return
	}
	keys := slices.SortedFunc(maps.Keys(r.waits), compareWaitKeys)
	for _, key := range keys {
		if w := r.waits[key]; w != nil {
			r.recheckWait(w)
		}
	}
}

// recheckWaitsFor checks again the waits that a report of an engine's loader concerns. The
// others are checked at the next tick: in a large fleet most reports concern no request
// that waits here, and checking all waits for each report took half of a router's processor
// time.
func (r *Router) recheckWaitsFor(b *backend) {
	var keys []waitKey
	for key, w := range r.waits {
		if key.service != b.Service {
			continue
		}
		if has, _ := r.loaded(b, key.model, ""); has || w.home == nil || w.home == b {
			keys = append(keys, key)
		}
	}
	slices.SortFunc(keys, compareWaitKeys)
	for _, key := range keys {
		if w := r.waits[key]; w != nil {
			r.recheckWait(w)
		}
	}
}

func compareWaitKeys(a, b waitKey) int {
	return cmp.Or(cmp.Compare(a.service, b.service), cmp.Compare(a.model, b.model), cmp.Compare(a.adapter, b.adapter),
		cmp.Compare(a.release.Name, b.release.Name), cmp.Compare(a.release.String(), b.release.String()), cmp.Compare(a.tried, b.tried))
}

func (r *Router) recheckWait(w *wait) {
	if r.recheckUndeclared(w) {
		return
	}
	if r.isLoaded(w) {
		for _, req := range slices.Clone(w.requests) {
			r.dispatch(req)
		}
		if !w.bound() {
			return
		}
	}
	if len(w.requests) > 0 {
		r.place(w)
	}
}

// isLoaded reports whether what a queue waits for is loaded at an engine to which one of its
// requests may be sent.
func (r *Router) isLoaded(w *wait) bool {
	key := w.key
	for _, b := range r.holders(key.service, key.model) {
		if !r.usable(b) || !r.hasRoomForAny(b, w) || !key.fits(b) || w.bound() && w.triedByAll(b) {
			continue
		}
		if hasModel, hasAdapter := r.loaded(b, key.model, key.adapter); hasModel && hasAdapter {
			return true
		}
	}
	return false
}

// place decides where a model that is waited for is loaded, and refuses the requests for
// which that is too late.
func (r *Router) place(w *wait) {
	best, eta := r.bestHome(w)
	if best == nil && r.loadersPending(w.key.service) {
		return
	}
	if best == nil {
		r.refuseAll(w)
		return
	}
	if w.home == nil || !r.canLoad(w.home, w.key) {
		r.moveHome(w, best)
	} else if current := r.firstEventIn(w.home, w); eta+minMoveGain < current {
		r.moveHome(w, best)
	} else {
		eta = current
	}
	r.refuseTried(w)
	r.refuseLate(w, eta)
}

// triedByAll reports whether all requests of a queue were sent to an engine before, so that
// none of them may be sent there again.
func (w *wait) triedByAll(b *backend) bool {
	return !slices.ContainsFunc(w.requests, func(req *request) bool { return !slices.Contains(req.tried, b.Instance) })
}

// refuseTried refuses the requests that may not be sent to the home of their queue, because
// they were sent there before. Held, each would be refused once the model is loaded there;
// their callers' next tries may wait for it.
func (r *Router) refuseTried(w *wait) {
	const reason = "the engine that loads its model was tried"
	for _, req := range slices.Clone(w.requests) {
		if slices.Contains(req.tried, w.home.Instance) {
			r.refuse(req, code.NoBackend, quickRetryAfter, reason)
		}
	}
}

// refuseAll refuses the requests for a model that no engine can load.
func (r *Router) refuseAll(w *wait) {
	after := defaultRetryAfter
	if r.withoutLoader(w.key.service) {
		after = noLoaderRetryAfter
	}
	for _, req := range slices.Clone(w.requests) {
		r.refuse(req, code.NoBackend, after, "no engine can load the model now")
	}
}

// withoutLoader reports whether no engine of a service has a loader that answers, and logs
// the start of that state once. Without loaders no model can be loaded, so that only loaded
// models can be served, and otherwise each refused request would need a log line of its own
// to explain the cause.
func (r *Router) withoutLoader(service string) bool {
	s := r.service(service)
	// The loader of an engine found a moment ago may still connect: a fleet that starts
	// again is not without loaders, and its callers would retry seconds too late.
	mayHave := func(b *backend) bool { return r.holdings(b) != nil || r.now.Sub(b.foundAt) < noLoaderRetryAfter }
	none := !slices.ContainsFunc(r.serversOf(service), mayHave)
	if none && !s.withoutLoader {
		r.log(StateChange, "no engine of the service has a loader that answers; only models that are loaded are served",
			slog.String("service", service), slog.Int("engines", len(r.serversOf(service))))
	}
	s.withoutLoader = none
	return none
}

// loadersPending reports whether an engine was found so recently that its loader may still
// connect. Requests that wait for a model are not refused before that.
func (r *Router) loadersPending(service string) bool {
	for _, b := range r.serversOf(service) {
		if b.unlistedAt == 0 && r.holdings(b) == nil && r.now.Sub(b.foundAt) < loaderGrace {
			return true
		}
	}
	return false
}

// moveHome changes the engine that is asked to load the model, and notifies both loaders.
func (r *Router) moveHome(w *wait, to *backend) {
	w.markHomeDirty()
	w.home = to
	w.markHomeDirty()
}

// refuseLate refuses the requests whose deadline is before the first event, which is
// predicted after eta. Held longer, each would only time out, and its caller could not retry
// elsewhere.
func (r *Router) refuseLate(w *wait, eta time.Duration) {
	for i, req := range slices.Clone(w.requests) {
		if !r.endsInTime(req, eta) {
			r.refuseAtStop(req)
			continue
		}
		if r.refuseAtBudget(w, req, i) {
			continue
		}
		if r.now.Add(eta) < req.firstEventDeadline {
			continue
		}
		if req.mayHaveRun {
			r.giveUp(req, code.OutcomeUnknown, "the model would be loaded too late")
			continue
		}
		r.finish(req, code.DeadlineUnmet, r.retryAfterIn(eta), "the model would be loaded too late")
	}
}
