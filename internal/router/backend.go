package router

import (
	"math"
	"time"

	"nutmeglane.example/nutmeglane/internal/core"
	"nutmeglane.example/nutmeglane/internal/fleet"
	"nutmeglane.example/nutmeglane/internal/work"
)

const (
	// holdingsMaxAge is the age up to which a loader's report counts. Loaders report at
	// least every loader.HeartbeatInterval (1 s), so that two reports may be lost.
	holdingsMaxAge = 3 * time.Second
	// loaderGrace is how long after an engine was found the router waits for its loader's
	// report before it uses the registry entry: some round trips and the start of the
	// loader.
	//
	// It guards against a restart of a whole fleet: for a moment the registry lists what
	// engines held before they lost power, and each router sent requests accordingly that
	// were refused, 524 in two seconds on 47 engines, until all attempts and the retry
	// budget were used up.
	loaderGrace = 700 * time.Millisecond
	// loadMaxAge is the age up to which the load reported by a server counts beside this
	// router's own count. A plain request takes some 30 ms, so that an older value carries
	// no information.
	loadMaxAge = time.Second
	// smoothing is the weight of a new sample in moving averages: about the last ten
	// samples count.
	smoothing = 0.2
	// latencyMemory is the time constant with which the latency of a server is forgotten that has
	// not answered for latencyAge. A slow host or process recovers within some seconds to a
	// minute. Without latencyAge, servers in use would seem faster than they are.
	latencyMemory = 10 * time.Second
	latencyAge    = 3 * time.Second
	// unknownShare is the forgotten latency of a server relative to that of the service. Below
	// the latency of the servers in use, it leads to a request to the server; at 0.8, that is
	// one within half a minute if the server is as fast as the others.
	unknownShare = 0.8
	// initialLatency is the assumed latency of a server that has not answered yet.
	initialLatency = 50 * time.Millisecond
	// After ejectAfter consecutive failures a server gets no requests for a period that
	// begins with firstEjection and doubles up to maxEjection. One failure is no evidence:
	// with 2 % lost answers, three in a row occur once in 125,000.
	ejectAfter    = 3
	firstEjection = 500 * time.Millisecond
	maxEjection   = 8 * time.Second
	// suspectAfter is how many base latencies the oldest request may wait for its answer
	// before its wait is added to the server's predicted latency. The wait must exceed
	// minSuspectWait, so that jitter of fast servers does not count.
	suspectAfter   = 4
	minSuspectWait = 150 * time.Millisecond
)

// backend is a router's state of one backend server.
type backend struct {
	fleet.Backend
	// foundAt is when the server was first seen in the registry.
	foundAt core.Time
	// restartedAt is when it was last seen to have started again under its instance, 0 if it
	// was not.
	restartedAt core.Time
	// unlistedAt is when the server was removed from the registry, 0 while it is listed.
	unlistedAt core.Time
	// lapsed is set if the server's registry entry expired around an outage of the store;
	// the server may register again.
	lapsed bool
	// replaced is set if another instance has taken over the server's address.
	replaced bool
	loader   *loader
	// sent holds the attempts in progress at this server. copies is the number of attempts at other
	// engines whose memory is copied to this one.
	sent   map[Key]*attempt
	copies int

	// latency is the moving average of a plain service's time to its answer, corrected for
	// the load at the time.
	latency time.Duration
	// learnedAt is when the latency was last updated.
	learnedAt core.Time
	// queue and cache are this router's estimates of an engine's queue and prefix cache.
	// pace is the factor by which the engine is slower than its peers, 1 or more.
	queue work.Queue
	cache *work.Cache
	pace  float64
	// failureRate is the moving average of the share of requests that the server failed, 0
	// to 1.
	failureRate float64
	// failures counts consecutive failures. The server is ejected until ejectedUntil.
	failures     int
	ejectedUntil core.Time

	load      *fleet.Load
	loadAt    core.Time
	ownAtLoad int
	// stated is what is reported of load to the loader that counts for a plain service's
	// server.
	stated statedLoad

	// lost holds requests that ran here when their connection was closed. endedAt is when
	// the router noticed that this incarnation of the server has ended, 0 while it has not.
	lost    []lostRequest
	endedAt core.Time
	// readAt is when the server last answered a request.
	readAt core.Time
	// unread are the attempts that were left and that the server may not have read yet.
	unread []unreadAttempt

	// limit is the state of the server's request limit.
	limit serverLimit
	// announced is what the server stated of itself.
	announced announced

	indexed indexed
	// aliveAt is when the last report of the server's present incarnation arrived.
	aliveAt core.Time
}

// attempt is one attempt of a request at one server.
type attempt struct {
	at core.Time
	// incarnation is the server's when the request was sent.
	incarnation fleet.Incarnation
	// release is the server's at that time.
	release fleet.Release
	// began is set once the head of an answer has arrived.
	began bool
	// settled is set once it is known that the request has arrived at the server or never will.
	settled bool
	// answered is set at the first byte that counts: the response head, or the first event
	// of a stream.
	answered bool
	// slowdown is the predicted effect of the load at the time of sending to a plain
	// service, forecast the prediction for a generation.
	slowdown float64
	forecast forecast
	// first is the time to the first answer, once it has arrived.
	first time.Duration
	// lived is set once the server continued to run for liveAfter after that, or completed
	// the answer.
	lived bool
	// concurrent is how many other requests were at the server at its first event.
	concurrent int
	// copy is the copy of a generation's memory that its engine was asked to make, nil for none.
	copy *runCopy
	// endedAt is when the engine was found to have ended while its connection had not, 0 before.
	// It is kept for requests with a copy.
	endedAt core.Time
}

// holdings returns the last report of an engine's loader, nil if there is none that is
// recent and of the engine's present incarnation.
func (r *Router) holdings(b *backend) *core.Holdings {
	l := b.loader
	if l == nil || !l.up || l.holdings == nil || r.now.Sub(l.lastMessageAt) > holdingsMaxAge {
		return nil
	}
	if l.incarnation().Compare(b.Incarnation) != 0 {
		return nil // of another incarnation of the engine
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
	if r.now.Sub(b.foundAt) < loaderGrace || b.loader != nil && b.loader.incarnation().Compare(b.Incarnation) > 0 {
		return false, false
	}
	// Without a report from the loader, the registry is the best source. Its entry is up to
	// two heartbeats old; if it is wrong, it costs an attempt, which the engine refuses as
	// not run.
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
// It guards against herding: what loaders report of all routers' requests is some 250 ms
// old. Taken as it is, all routers would consider the same server the least loaded and send
// everything there until the next report. Therefore a part of the estimate is the load that
// the server would have if all routers sent as much as this one, which spreads its requests
// evenly and is always up to date.
func (r *Router) outstanding(b *backend) int {
	own := len(b.sent)
	others := 0
	if held := r.holdings(b); held != nil {
		others = held.Running + held.Waiting - b.loader.ownRequests
	} else if b.load != nil && r.now.Sub(b.loadAt) < loadMaxAge {
		others = b.load.Running + b.load.Waiting - b.ownAtLoad
	} else {
		return own
	}
	reported, extrapolated := float64(own+max(0, others)), float64(own*r.routers())
	return int(math.Round(r.blend(reported, extrapolated)))
}

// sentBy counts the requests in progress at a server that were sent by the given time.
func (b *backend) sentBy(at core.Time) int {
	n := 0
	for _, a := range b.sent {
		if a.at <= at {
			n++
		}
	}
	return n
}

// blendRouters is the number of routers at which an old report on all requests and the
// extrapolation from this router's own requests are about equally wrong: a report that is
// some 250 ms old misses the effect of a few requests a second, and with five routers one's
// own requests deviate from a fifth of all by as much.
const blendRouters = 5

// blend weighs the reported value for all routers against the value extrapolated from this
// router's own requests. The error of the extrapolation grows with the number of routers:
// with 68 routers, one that has a request at a server has no information on the other 67.
// When the extrapolation made up half of the estimate there, one own request counted as 34,
// its engine seemed full, and callers that could have been served were refused.
func (r *Router) blend(reported, extrapolated float64) float64 {
	ratio := float64(r.routers()) / blendRouters
	weight := 1 / (1 + ratio*ratio)
	return reported + weight*(extrapolated-reported)
}

// baseLatency is the latency of a plain service's server without load. The longer a server has
// not answered, the more it is that of the service's other servers, slightly less in the end, so
// that a request shows what it is now.
//
// It guards against an estimate that is never corrected: after one answer that took 1.5 s because
// its process stood still, or 3 ms more than another server's, a router sent nothing there for as
// long as the other servers had room.
func (r *Router) baseLatency(b *backend) time.Duration {
	usual := initialLatency
	if s := r.services[b.Service]; s != nil && s.latency > 0 {
		usual = s.latency
	}
	if b.latency == 0 {
		return usual
	}
	unused := max(0, r.now.Sub(b.learnedAt)-latencyAge)
	known := math.Exp(-float64(unused) / float64(latencyMemory))
	forgotten := unknownShare * float64(usual)
	return time.Duration(forgotten + known*(float64(b.latency)-forgotten))
}

// slowdown is the factor by which the requests at a plain service's server slow down one
// more. Up to its number of slots requests slow each other down slightly; above it they
// queue.
func (r *Router) slowdown(b *backend) float64 {
	slots := float64(max(1, b.Slots))
	out := r.outstanding(b)
	return 1 + float64(out)/(2*slots) + 4*max(0, float64(out)+1-slots)/slots
}

// oldestWait is how long the oldest unanswered request at a server has waited for its first
// answer.
func (r *Router) oldestWait(b *backend) time.Duration {
	oldest := time.Duration(0)
	for _, a := range b.sent {
		if !a.answered {
			oldest = max(oldest, r.now.Sub(a.at))
		}
	}
	return oldest
}

// recordSuccess records an answer of a server.
func (r *Router) recordSuccess(b *backend) {
	b.failures = 0
	b.failureRate -= b.failureRate * smoothing
}

// learnLatency updates the latency of a plain service after an answer.
func (r *Router) learnLatency(b *backend, latency time.Duration, slowdown float64) {
	alone := time.Duration(float64(latency) / max(1, slowdown))
	known := b.latency
	if known > 0 {
		known = r.baseLatency(b)
	}
	b.latency = average(known, alone)
	b.learnedAt = r.now
	s := r.service(b.Service)
	s.latency = average(s.latency, alone)
}

// learnStreaming learns from a complete answer how long the streams of a plain service last after their
// first event.
func (r *Router) learnStreaming(req *request) {
	a := req.attempt
	if req.route.Kind != fleet.Stream || !a.answered || req.prompt != nil && r.engine(req.service) != nil {
		return
	}
	s := r.service(req.service)
	s.streaming = average(s.streaming, r.now.Sub(a.at)-a.first)
}

func average(old, sample time.Duration) time.Duration {
	if old == 0 {
		return sample
	}
	return old + time.Duration(smoothing*float64(sample-old))
}

// recordFailure records a failure of a server and ejects the server after several.
//
// It guards against a grey failure: a server whose registry entry and health check are
// good, but which fails the requests that it gets. Such a server shows consecutive failures
// that other servers do not have. Ejecting it for longer each time limits the requests that
// it still fails to one a period, and readmits it once it works.
func (r *Router) recordFailure(b *backend, failure Failure, cause string) {
	b.failureRate += (1 - b.failureRate) * smoothing
	b.failures++
	if b.failures < ejectAfter && failure != NotSent {
		return
	}
	doublings := max(0, min(b.failures-ejectAfter, 4))
	period := min(maxEjection, firstEjection<<doublings)
	b.ejectedUntil = r.now.Add(period)
	r.log(StateChange, "backend server ejected after failures", b.attrs(
		"failures", b.failures, "failure", failure.String(), "cause", cause, "for", period.String())...)
}
