package router

import (
	"math"
	"time"

	"nutmeglane.example/nutmeglane/internal/core"
	"nutmeglane.example/nutmeglane/internal/fleet"
	"nutmeglane.example/nutmeglane/internal/work"
)

const (
	// holdingsFresh is how long a loader's word counts. Loaders speak at least
	// every loader.HeartbeatInterval (1 s), so two may be lost.
	holdingsFresh = 3 * time.Second
	// loaderGrace is how long after an engine was found its loader's word is waited
	// for before the registry's is taken: some round trips and the loaders' start.
	//
	// It guards against the return of a whole fleet: for a moment the registry lists
	// what engines held before they lost power, and each router sent requests by it
	// that were refused, 524 in two seconds on 47 engines, until none of the
	// attempts and of the budget of repeats was left.
	loaderGrace = 700 * time.Millisecond
	// loadFresh is how long the load told by a server counts beside our own
	// count; a plain request takes some 30 ms, so that older ones say nothing.
	loadFresh = time.Second
	// smoothing is the weight of a new sample in moving averages: about the
	// last ten count.
	smoothing = 0.2
	// firstGuess is the latency of a server that has answered nothing yet.
	firstGuess = 50 * time.Millisecond
	// ejectAfter failures in a row, a server gets no requests for a time that
	// begins with ejectFirst and doubles up to ejectLongest. One failure is no
	// sign yet: with 2 % lost answers three in a row come once in 125,000.
	ejectAfter   = 3
	ejectFirst   = 500 * time.Millisecond
	ejectLongest = 8 * time.Second
	// suspectAfter is how many usual latencies the oldest request may wait for
	// its answer before the server counts as slower by that wait; the least is
	// suspectLeast, so that jitter of fast servers does not count.
	suspectAfter = 4
	suspectLeast = 150 * time.Millisecond
)

// backend is what a router knows of one backend server.
type backend struct {
	fleet.Backend
	// foundAt is when it was first seen in the registry.
	foundAt core.Time
	// unlistedAt is when the registry dropped the server, 0 while listed.
	unlistedAt core.Time
	// lapsed servers were dropped by the registry around an outage of the
	// store and may register again.
	lapsed bool
	// replaced servers had an address that another instance has now.
	replaced bool
	loader   *loader
	// sent are requests under way here, with the time they were sent.
	sent map[Key]*attempt

	// latency is the moving average of a plain service's time to its answer,
	// without what the load at the time added.
	latency time.Duration
	// queue and cache are what this router knows of an engine's work, and pace
	// by how much it is slower than its peers, 1 or more.
	queue work.Queue
	cache *work.Cache
	pace  float64
	// failing is the moving share of requests that the server failed, 0 to 1.
	failing float64
	// failures in a row, and until when the server is left out for them.
	failures     int
	ejectedUntil core.Time

	load    *fleet.Load
	loadAt  core.Time
	loadOwn int

	// lost are requests that ran here when their connection was closed, endedAt when
	// this life of the server was known to have ended, 0 while it is not.
	lost    []lostRequest
	endedAt core.Time

	// limit is what is known of the requests that it takes.
	limit serverLimit

	indexed indexed
	// aliveAt is when a word of its present life came last.
	aliveAt core.Time
}

// attempt is one request at one server.
type attempt struct {
	at core.Time
	// life is the server's when it was sent.
	life fleet.Incarnation
	// answered is set at the first byte that counts: the head, or the first
	// event of a stream.
	answered bool
	// slowdown is the predicted effect of the load when it was sent to a plain
	// service, forecast what was predicted of a generation.
	slowdown float64
	forecast forecast
	// first is the time until the first answer, once it has come.
	first time.Duration
	// beside is how many other requests were at the server at its first event.
	beside int
}

// draining reports whether the server, by the registry or its loader, leaves.
func (r *Router) draining(b *backend) bool {
	if b.Draining {
		return true
	}
	held := r.holdings(b)
	return held != nil && held.Draining
}

// usable servers may get requests.
func (r *Router) usable(b *backend) bool {
	return b.unlistedAt == 0 && !r.draining(b) && r.now >= b.ejectedUntil
}

// holdings returns the loader's word on an engine, nil without a fresh one.
func (r *Router) holdings(b *backend) *core.Holdings {
	l := b.loader
	if l == nil || !l.up || l.holdings == nil || r.now.Sub(l.heardAt) > holdingsFresh {
		return nil
	}
	if l.life().Compare(b.Incarnation) != 0 {
		return nil // of another life of the engine
	}
	return l.holdings
}

// loaded reports whether an engine has the model loaded, and the adapter.
func (r *Router) loaded(b *backend, model, adapter string) (hasModel, hasAdapter bool) {
	if held := r.holdings(b); held != nil {
		m := findHeld(held, model)
		if m == nil || m.State != core.HoldLoaded {
			return false, false
		}
		return true, fleet.LoadedModel{Adapters: m.Adapters}.HasAdapter(adapter)
	}
	if r.now.Sub(b.foundAt) < loaderGrace || b.loader != nil && b.loader.life().Compare(b.Incarnation) > 0 {
		return false, false
	}
	// Without the loader's word the registry's is the best there is. It is up
	// to two heartbeats old; a wrong one costs an attempt, which the engine
	// refuses as not run.
	for _, m := range b.Models {
		if m.Name == model {
			return true, m.HasAdapter(adapter)
		}
	}
	return false, false
}

func findHeld(held *core.Holdings, model string) *core.HeldModel {
	for i := range held.Models {
		if held.Models[i].Name == model {
			return &held.Models[i]
		}
	}
	return nil
}

// outstanding estimates the number of requests at a server.
//
// It guards against a herd: what loaders tell of all routers' requests is some
// 250 ms old. Were it taken as it is, all routers would see the same server as
// the least loaded and send everything there until the next word. So a part of
// the estimate is what the server would have if all routers sent as much as
// this one, which spreads its requests evenly and is never late.
func (r *Router) outstanding(b *backend) int {
	own := len(b.sent)
	others := 0
	if held := r.holdings(b); held != nil {
		others = held.Running + held.Waiting - b.loader.ownThen
	} else if b.load != nil && r.now.Sub(b.loadAt) < loadFresh {
		others = b.load.Running + b.load.Waiting - b.loadOwn
	} else {
		return own
	}
	told, alike := float64(own+max(0, others)), float64(own*r.routers())
	return int(math.Round(r.blend(told, alike)))
}

// sentBy counts the requests under way at a server that were sent by a time.
func (b *backend) sentBy(at core.Time) int {
	n := 0
	for _, a := range b.sent {
		if a.at <= at {
			n++
		}
	}
	return n
}

// blendRouters is the number of routers at which an old word on all requests and
// this router's own, taken for all, are about equally wrong: a word that is some
// 250 ms old misses what a few requests a second made of it, and with five routers
// one's own requests differ from a fifth by as much.
const blendRouters = 5

// blend weighs what is told of all routers' requests against what this router's own
// would make if all were alike. The error of the latter grows with the number of
// routers: of 68, one that has a request somewhere knows nothing of 67 others. Taken
// for half of the estimate there, one request of a router's own counted as 34, its
// engine seemed full, and callers who could have been served were refused.
func (r *Router) blend(told, alike float64) float64 {
	ratio := float64(r.routers()) / blendRouters
	weight := 1 / (1 + ratio*ratio)
	return told + weight*(alike-told)
}

// usual is the usual latency of a plain service's server without load.
func (r *Router) usual(b *backend) time.Duration {
	if b.latency > 0 {
		return b.latency
	}
	if s := r.services[b.Service]; s != nil && s.latency > 0 {
		return s.latency
	}
	return firstGuess
}

// slowdown is the factor by which the requests at a plain service's server slow
// one more down. Below its slots they slow each other mildly; above, they wait
// for each other.
func (r *Router) slowdown(b *backend) float64 {
	slots := float64(max(1, b.Slots))
	out := r.outstanding(b)
	return 1 + float64(out)/(2*slots) + 4*max(0, float64(out)+1-slots)/slots
}

// oldestWait is how long the oldest request at a server has waited for its
// first answer.
func (r *Router) oldestWait(b *backend) time.Duration {
	oldest := time.Duration(0)
	for _, a := range b.sent {
		if !a.answered {
			oldest = max(oldest, r.now.Sub(a.at))
		}
	}
	return oldest
}

// succeeded counts an answer.
func (r *Router) succeeded(b *backend) {
	b.failures = 0
	b.failing -= b.failing * smoothing
}

// learnLatency learns the latency of a plain service from an answer.
func (r *Router) learnLatency(b *backend, latency time.Duration, slowdown float64) {
	alone := time.Duration(float64(latency) / max(1, slowdown))
	b.latency = average(b.latency, alone)
	s := r.service(b.Service)
	s.latency = average(s.latency, alone)
}

func average(old, sample time.Duration) time.Duration {
	if old == 0 {
		return sample
	}
	return old + time.Duration(smoothing*float64(sample-old))
}

// failed counts a failure of a server and leaves it out after several.
//
// It guards against a grey failure: a server whose registry entry and health
// check are good, but that fails what it gets. It shows as failures in a row
// at one server only. Leaving it out for longer each time keeps what it still
// spoils to one request a period, and lets it back once it works.
func (r *Router) failed(b *backend, failure Failure, cause string) {
	b.failing += (1 - b.failing) * smoothing
	b.failures++
	if b.failures < ejectAfter && failure != NotSent {
		return
	}
	doublings := max(0, min(b.failures-ejectAfter, 4))
	period := min(ejectLongest, ejectFirst<<doublings)
	b.ejectedUntil = r.now.Add(period)
	r.log(StateChange, "backend server left out", b.attrs(
		"failures", b.failures, "failure", failure.String(), "cause", cause, "for", period.String())...)
}
