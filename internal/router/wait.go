package router

import (
	"cmp"
	"log/slog"
	"maps"
	"slices"
	"time"

	"nutmeglane.example/nutmeglane/internal/code"
)

const (
	// moveGain is how much sooner a model must be ready at another engine
	// before its waiting requests are moved there. Moving costs a load that
	// may have begun, so small gains are not worth it.
	moveGain = 1500 * time.Millisecond
	// noLoaderReturn is when callers should come back while no engine has a loader:
	// about the time in which a host and its processes start.
	noLoaderReturn = 5 * time.Second
)

// waitKey names what requests wait for.
type waitKey struct {
	service string
	modelKey
}

// wait is the queue of requests for one model or adapter that is not loaded.
type wait struct {
	key      waitKey
	requests []*request
	// home is the engine that was asked to load it.
	home *backend
}

// dispatchPrompt sends a generation to an engine that has its model, or makes
// it wait for one.
func (r *Router) dispatchPrompt(req *request) {
	p := req.prompt
	both, base := r.holdersFor(req)
	if len(both) > 0 {
		r.send(req, r.choose(req, both))
		return
	}
	if r.onlyTriedHave(req) {
		r.giveUp(req, code.NoBackend, "the engines that have its model did not take it")
		return
	}
	adapter := ""
	if base {
		adapter = p.Adapter
	}
	key := waitKey{req.service, modelKey{p.Model, adapter}}
	if req.waiting != nil && req.waiting.key == key {
		return
	}
	r.leaveWait(req)
	r.join(req, key)
}

// onlyTriedHave tells whether what a request is for is loaded, but only at engines that it
// was sent to before.
//
// It guards against a wait for what has come long ago: the engine that has the model has
// refused the request, the queue for the model seems to be served by that engine, and the
// request, which may not go there again, is held until its caller's deadline.
func (r *Router) onlyTriedHave(req *request) bool {
	if len(req.tried) == 0 {
		return false
	}
	tried := false
	for _, b := range r.holders(req.service, req.prompt.Model) {
		hasModel, hasAdapter := r.loaded(b, req.prompt.Model, req.prompt.Adapter)
		if !hasModel || !hasAdapter || !r.usable(b) || !r.hasRoom(b) {
			continue
		}
		if !slices.Contains(req.tried, b.Instance) {
			return false
		}
		tried = true
	}
	return tried
}

// holdersFor returns the engines that may get a request and have its model and
// adapter, and tells whether any has the model.
func (r *Router) holdersFor(req *request) (both []*backend, base bool) {
	p := req.prompt
	for _, b := range r.candidatesOf(req, r.holders(req.service, p.Model)) {
		hasModel, hasAdapter := r.loaded(b, p.Model, p.Adapter)
		if hasModel && hasAdapter {
			both = append(both, b)
		}
		base = base || hasModel
	}
	return r.withRoom(both), base
}

func (r *Router) join(req *request, key waitKey) {
	w := r.waits[key]
	if w == nil {
		w = &wait{key: key}
		r.waits[key] = w
	}
	w.requests = append(w.requests, req)
	req.waiting = w
	w.touch()
	r.place(w)
	if req.waiting == nil {
		return
	}
	if w.home != nil {
		req.cold = r.nearest(w)
		r.log(SingleRequest, "request waits for its model", req.attrs("at", w.home.Instance,
			"ready_in", r.readyIn(w.home, key).String(), "waiting", len(w.requests))...)
	}
}

// nearest is where the copy lies that the home of a queue would load.
func (r *Router) nearest(w *wait) string {
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
	w.touch()
	if len(w.requests) == 0 {
		delete(r.waits, w.key)
	}
}

// touch makes the home's loader be told of a change of the queue.
//
// It is called for changes only. Called whenever a queue was looked at, it made
// each word of a loader be answered by all routers and each answer by the loader:
// a thousand messages a second at each router while a few models were waited for.
func (w *wait) touch() {
	if w.home != nil && w.home.loader != nil {
		w.home.loader.dirty = true
	}
}

// pumpAll looks at all waits again: what they wait for may be loaded, or may
// come later than they can wait.
func (r *Router) pumpAll() {
	if len(r.waits) == 0 {
		return
	}
	keys := slices.SortedFunc(maps.Keys(r.waits), compareWaitKeys)
	for _, key := range keys {
		if w := r.waits[key]; w != nil {
			r.pump(w)
		}
	}
}

// pumpFor looks again at the waits that an engine's loader has news of. The others
// are looked at with the next tick: of a large fleet's words most concern nobody
// who waits here, and to look at all waits for each took a router half its time.
func (r *Router) pumpFor(b *backend) {
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
			r.pump(w)
		}
	}
}

func compareWaitKeys(a, b waitKey) int {
	return cmp.Or(cmp.Compare(a.service, b.service), cmp.Compare(a.model, b.model), cmp.Compare(a.adapter, b.adapter))
}

func (r *Router) pump(w *wait) {
	if r.isLoaded(w.key) {
		for _, req := range slices.Clone(w.requests) {
			r.dispatch(req)
		}
		return
	}
	r.place(w)
}

func (r *Router) isLoaded(key waitKey) bool {
	for _, b := range r.holders(key.service, key.model) {
		if !r.usable(b) || !r.hasRoom(b) {
			continue
		}
		if hasModel, hasAdapter := r.loaded(b, key.model, key.adapter); hasModel && hasAdapter {
			return true
		}
	}
	return false
}

// place decides where a model that is waited for is loaded, and refuses the
// requests for which that is too late.
func (r *Router) place(w *wait) {
	best, eta := r.bestHome(w)
	if best == nil && r.loadersDue(w.key.service) {
		return
	}
	if best == nil {
		r.refuseAll(w)
		return
	}
	if w.home == nil || !r.canLoad(w.home, w.key) {
		r.moveHome(w, best)
	} else if current := r.servedIn(w.home, w); eta+moveGain < current {
		r.moveHome(w, best)
	} else {
		eta = current
	}
	r.refuseLate(w, eta)
}

// refuseAll refuses the requests for a model that no engine can load.
func (r *Router) refuseAll(w *wait) {
	after := unknownReturn
	if r.withoutLoader(w.key.service) {
		after = noLoaderReturn
	}
	for _, req := range slices.Clone(w.requests) {
		if req.mayHaveRun {
			r.giveUp(req, code.NoBackend, "no engine can load the model now")
			continue
		}
		r.finish(req, code.NoBackend, r.returnIn(after), "no engine can load the model now")
	}
}

// withoutLoader tells that no engine of a service has a loader that answers, and logs
// that once until one does. Without loaders nothing is loaded, so that what stands in
// the engines is all that can be served, and each other request would need a line of
// its own to tell why it was refused.
func (r *Router) withoutLoader(service string) bool {
	s := r.service(service)
	// One that was found a moment ago may have one yet: a fleet that returns is not
	// without loaders, and its callers would come back seconds late.
	mayHave := func(b *backend) bool { return r.holdings(b) != nil || r.now.Sub(b.foundAt) < noLoaderReturn }
	none := !slices.ContainsFunc(r.serversOf(service), mayHave)
	if none && !s.withoutLoader {
		r.log(StateChange, "no engine of the service has a loader that answers; only models that are loaded are served",
			slog.String("service", service), slog.Int("engines", len(r.serversOf(service))))
	}
	s.withoutLoader = none
	return none
}

// loadersDue tells that an engine was found so lately that its loader may still
// connect. Those who wait for a model are not refused before it has had the time.
func (r *Router) loadersDue(service string) bool {
	for _, b := range r.serversOf(service) {
		if b.unlistedAt == 0 && r.holdings(b) == nil && r.now.Sub(b.foundAt) < loaderGrace {
			return true
		}
	}
	return false
}

// moveHome changes the engine that is asked, and tells both.
func (r *Router) moveHome(w *wait, to *backend) {
	w.touch()
	w.home = to
	w.touch()
}

// refuseLate refuses the requests whose time ends before the first event, which
// is predicted after eta. Held longer, each would wait in vain, and its caller
// could not go elsewhere.
func (r *Router) refuseLate(w *wait, eta time.Duration) {
	for _, req := range slices.Clone(w.requests) {
		if !r.endsInTime(req, eta) {
			r.refuseAtStop(req)
			continue
		}
		if r.now.Add(eta) < req.firstBy {
			continue
		}
		if req.mayHaveRun {
			r.giveUp(req, code.OutcomeUnknown, "the model would be loaded too late")
			continue
		}
		r.finish(req, code.DeadlineUnmet, r.returnIn(eta), "the model would be loaded too late")
	}
}
