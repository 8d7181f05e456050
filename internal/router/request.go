package router

import (
	"log/slog"
	"slices"
	"time"

	"nutmeglane.example/nutmeglane/internal/code"
	"nutmeglane.example/nutmeglane/internal/core"
	"nutmeglane.example/nutmeglane/internal/fleet"
	"nutmeglane.example/nutmeglane/internal/retrybudget"
	"nutmeglane.example/nutmeglane/internal/work"
)

const (
	// answerSlack is how long after its deadline a request waits for the server's own
	// response to the deadline, which is then in transit.
	answerSlack = 80 * time.Millisecond
	// hedgeFraction is the fraction of the objective after which an idempotent request
	// without an answer is tried on another server: late enough that most answers have
	// arrived, early enough that the second attempt can still meet the objective.
	hedgeFraction = 0.5
	// lateAfter is how many times the predicted time to its first event a generation may
	// take before it counts as late.
	lateAfter = 2
	// moveLate is how many times the predicted cost elsewhere a generation must be late by
	// before it is moved away from an engine that works: what the engine has read of the
	// prompt is lost, and other requests may move at the same moment.
	moveLate = 3
	// reportDelay is the age of an engine's state when its loader's report arrives: the
	// interval between two reports, the engine's own delay and the network latency.
	reportDelay = 400 * time.Millisecond
	// stallPauses is how many pause objectives without an event a resumable stream waits
	// before it is resumed on another server, minStall the minimum wait. Callers give up
	// after eight pause objectives or 2 s.
	stallPauses = 3
	minStall    = time.Second
	// defaultRetryAfter is the Retry-After of a refusal if it is unknown when there will be
	// capacity.
	defaultRetryAfter = 500 * time.Millisecond
	// quickRetryAfter is the Retry-After of a refusal if the route allows one attempt and
	// another server could serve the request at once.
	quickRetryAfter = 20 * time.Millisecond
	// retryAfterSpread is the random part of a Retry-After, as a fraction, so that callers
	// that are refused together do not retry together.
	retryAfterSpread = 0.3
	// Callers of a stream cancel after a gap of minGap, gapObjectives times the objective
	// or gapPauses times the pause objective, whichever is longest, also before the first
	// event. The platform specifies this behaviour of its clients.
	minGap        = 2 * time.Second
	gapObjectives = 4
	gapPauses     = 8
	// minConns is the minimum number of connections that this router may have to one
	// server.
	minConns = 4
)

// request is the state of a caller's request in this process.
type request struct {
	key Key
	id  string
	// fingerprint is equal for all requests for the same work.
	fingerprint core.Fingerprint
	prompt      *fleet.Prompt
	// parts caches the result of sharedParts.
	parts []promptPart
	// prefix is the prompt in the form in which prefix caches look it up.
	prefix  work.Prefix
	route   *fleet.Route
	service string
	// account is the caller's client account, nil without accounts or on a public route.
	account *fleet.Account
	// charged is the amount counted against the account's quota, 0 once refunded. It can be
	// refunded until chargedUntil.
	charged      float64
	chargedUntil core.Time
	// awaitingQuota is set while the request waits for its account's quota.
	awaitingQuota bool
	// arrived is when the request arrived, deadline when it must have ended.
	arrived, deadline core.Time
	// firstEventDeadline is when the caller cancels if no event has arrived.
	firstEventDeadline core.Time
	// sends counts the servers that the request was sent to, arrivals those that may have
	// received it.
	sends, arrivals int
	tried           []string
	// retries follows the attempts until none can arrive any more.
	retries retrybudget.Tracker
	// number is the number of the current attempt, numbered that of the last one that was begun.
	number, numbered int
	backend          *backend
	attempt          *attempt
	// silent is set while the server of the current attempt has sent no event for too long. hedge
	// is the second attempt that is then made, nil without one.
	silent bool
	hedge  *hedge
	// bound is set once an event of its stream is forwarded. From then on only servers of
	// release may get it.
	bound   bool
	release fleet.Release
	// origin is the search for the release that began a stream that the request takes up.
	origin originSearch
	// forwarded is set once part of an answer has been passed on.
	forwarded bool
	// mayHaveRun is set unless every server that received the request proved that it did
	// not run it.
	mayHaveRun bool
	waiting    *wait
	// permitServer is the server for which a permit was requested, at permitRequestedAt.
	// granted is the server for which a permit was granted.
	permitServer, granted *backend
	permitRequestedAt     core.Time
	// waited is how long the request waited for its model, first the time to its first
	// answer or event. Both count from its arrival.
	waited, first time.Duration
	// continuation is set once the request was lost at its engine and continues at another one,
	// which holds a copy of its memory.
	continuation *continuation
	// past are the attempts that have ended, in order.
	past []pastAttempt
	// cold is where the nearest copy of the model was when the request began to wait:
	// memory, disk, store, or adapter. It is "" if the request did not wait.
	cold string
}

// admit decides on a request that arrived at a time: now, unless it was held.
func (r *Router) admit(key Key, in fleet.Request, at core.Time) {
	req := &request{key: key, id: in.ID, fingerprint: in.Fingerprint, prompt: in.Prompt, arrived: at, deadline: core.Never}
	if !r.Ready() {
		r.finish(req, code.NotReady, defaultRetryAfter, "no configuration is known yet")
		return
	}
	if r.shouldShed(in.NewConn) {
		r.finish(req, code.Starved, r.retryAfterIn(starvedRetryAfter), "the process waits "+r.cpuWait.wait.String()+" for the processor")
		return
	}
	req.route = r.routes.find(in.Host, in.Path)
	if req.route == nil {
		r.finish(req, code.UnknownPath, 0, "no route for host "+in.Host)
		return
	}
	req.service = target(req.route, in.StreamID())
	if !r.identify(req, in) || !r.takesUp(req, in.Resumption) {
		return
	}
	if suspect, poison := r.poisonIn(req); poison {
		r.refusePoison(req, suspect)
		return
	}
	req.deadline = at.Add(req.route.Timeout)
	if in.Deadline > 0 {
		req.deadline = min(req.deadline, at.Add(in.Deadline))
	}
	req.firstEventDeadline = req.deadline
	if req.route.Kind == fleet.Stream {
		req.firstEventDeadline = min(req.deadline, at.Add(firstEventTimeout(req.route)))
	}
	if r.charge(req) {
		r.accept(req)
	}
}

// accept continues with a request that is within its account's quota.
func (r *Router) accept(req *request) {
	service := r.service(req.service)
	service.budget.Request(r.now)
	if req.prompt != nil {
		req.prefix = work.NewPrefix(req.prompt)
		if r.declared(req.service, req.prompt.Model) {
			service.arrival(r.now, req.prompt)
		}
		r.recordCall(service, req)
		service.meanReading = average(service.meanReading, service.work.ReadTime(req.prompt.Model, req.prompt.Tokens))
	}
	r.requests[req.key] = req
	if r.findOrigin(req) {
		r.dispatch(req)
	}
}

// firstEventTimeout is how long a stream's caller waits for the first event.
func firstEventTimeout(route *fleet.Route) time.Duration {
	return max(minGap, gapObjectives*route.Objective, gapPauses*route.PauseObjective)
}

// dispatch sends a request, queues it until its model is loaded, or ends it.
func (r *Router) dispatch(req *request) {
	if req.hedge != nil {
		r.promoteHedge(req)
		return
	}
	if req.continuation != nil {
		r.loseContinuation(req, continuationUnsent)
		return
	}
	if !r.configured(req.service) {
		r.refuse(req, code.NoBackend, quickRetryAfter, removedService)
		return
	}
	if r.now >= req.deadline {
		r.giveUp(req, code.DeadlineUnmet, "no time is left")
		return
	}
	if req.sends >= req.route.MaxAttempts {
		r.giveUp(req, code.NoBackend, "all attempts were used")
		return
	}
	if !r.endsInTime(req, 0) {
		r.refuseAtStop(req)
		return
	}
	if !r.anyCandidate(req) {
		if req.bound {
			r.noteResumption(req, noServerOfRelease)
		}
		r.refuseExcluded(req)
		return
	}
	if req.prompt != nil && r.engine(req.service) != nil {
		r.dispatchPrompt(req)
		return
	}
	candidates := r.withRoom(r.candidatesOf(req, r.serversOf(req.service)))
	if len(candidates) == 0 {
		r.refuseAtLimit(req)
		return
	}
	r.send(req, r.choose(req, candidates))
}

// anyCandidate reports whether any server may get a request. A generation may wait for an
// engine's backoff to end.
func (r *Router) anyCandidate(req *request) bool {
	waits := req.prompt != nil && r.engine(req.service) != nil
	return slices.ContainsFunc(r.serversOf(req.service), func(b *backend) bool {
		return r.eligible(b, req) || waits && r.exclusion(b) == excludedBackoff && req.mayTry(b)
	})
}

// eligible reports whether a server may get a request, ignoring ejection for failures.
func (r *Router) eligible(b *backend, req *request) bool {
	return r.accepts(b) && req.mayTry(b)
}

// mayTry reports whether a request may be sent to a server, as far as that depends on the
// request alone.
func (req *request) mayTry(b *backend) bool {
	return !slices.Contains(req.tried, b.Instance) && req.fits(b)
}

// candidatesOf returns those of the servers that may get a request and have room for it.
// Servers ejected for failures are returned only if there are no others.
func (r *Router) candidatesOf(req *request, servers []*backend) []*backend {
	var usable, ejected []*backend
	for _, b := range servers {
		if !req.mayTry(b) || !r.hasRoomFor(b, req) {
			continue
		}
		switch r.exclusion(b) {
		case notExcluded:
			usable = append(usable, b)
		case excludedEjected:
			ejected = append(ejected, b)
		}
	}
	if len(usable) > 0 {
		return usable
	}
	return ejected
}

func (r *Router) send(req *request, c *choice) {
	b := c.backend
	if req.continuation != nil {
		if problem := r.continuationProblem(req, req.continuation); problem != "" {
			r.loseContinuation(req, problem)
			return
		}
	}
	if suspect, poison := r.poisonIn(req); poison {
		r.refusePoison(req, suspect)
		return
	}
	if !r.endsInTime(req, c.forecast.ahead) {
		r.refuseAtStop(req)
		return
	}
	if !r.permitted(req, b, c.spare) {
		return
	}
	paid := req.continuation != nil && req.continuation.paid
	if req.arrivals > 0 && !paid && !r.takeRetry(req) {
		r.giveUp(req, code.NoBackend, "the budget of repeats is used up")
		return
	}
	r.leaveWait(req)
	if req.continuation == nil {
		req.sends++ // a continuation is part of the same run
	}
	req.backend, req.silent = b, false
	req.number, req.attempt = r.begin(req, c)
	r.emit(r.sendEffect(req, req.number, b, req.attempt))
	r.countLimited(b)
	if req.bound && req.continuation == nil {
		r.noteResumption(req, resumedAtRelease)
	}
	if req.number > 1 {
		r.log(SingleRequest, "request sent again", req.attrs("instance", b.Instance, "release", b.Release.String(),
			"attempt", req.number, "predicted", c.cost.String())...)
	}
}

// begin begins an attempt of a request at a server and returns its number.
func (r *Router) begin(req *request, c *choice) (number int, a *attempt) {
	b := c.backend
	req.numbered++
	req.retries.Sent()
	req.tried = append(req.tried, b.Instance)
	a = &attempt{at: r.now, incarnation: b.Incarnation, release: b.Release, slowdown: r.slowdown(b), forecast: c.forecast, copy: r.copyFor(req, b)}
	b.sent[req.key] = a
	a.copy.count(1)
	if req.prompt != nil && r.engine(req.service) != nil {
		r.promptSent(req, b, c.forecast)
	}
	return req.numbered, a
}

func (r *Router) sendEffect(req *request, number int, b *backend, a *attempt) Send {
	send := Send{
		Key: req.key, Attempt: number, Incarnation: b.Incarnation, Address: b.Address,
		MaxConns: r.connShare(req.service), Until: req.deadline,
		Priority: enginePriority(req.rank()),
		Account:  req.accountName(), HideCredentials: len(r.config.Accounts) > 0,
		CopyTo: a.copy.copyAddress(), CopyFrom: req.copySource(),
	}
	if req.route.Kind == fleet.Stream && req.route.Resumable {
		send.StallAfter = max(minStall, stallPauses*req.route.PauseObjective)
	}
	return send
}

// enginePriority maps a request's rank to an engine's priority scale of 0 to 9, with gaps
// between ranks.
func enginePriority(rank int) int { return min(9, 1+2*max(0, rank)) }

// connShare is this router's share of the connections to a server.
func (r *Router) connShare(service string) int {
	all := 0
	if s := r.config.Services[service]; s != nil {
		all = s.MaxConns
	}
	// Before a loader has reported, the requests that arrive here bound the connections.
	return max(minConns, all/max(r.routers(), r.retryShare.Routers(r.now)))
}

// release ends the current attempt at its server.
func (r *Router) release(req *request, end attemptEnd) {
	b := req.backend
	if b == nil {
		return
	}
	req.backend = nil
	r.releaseAttempt(req, b, req.attempt, end)
}

// releaseAttempt ends an attempt of a request at a server.
func (r *Router) releaseAttempt(req *request, b *backend, a *attempt, end attemptEnd) {
	req.past = append(req.past, pastAttempt{b.Instance, r.now.Sub(a.at), end})
	if !a.settled {
		r.leftUnread(req, b, a)
	}
	delete(b.sent, req.key)
	a.copy.count(-1)
	b.queue.Remove(r.now, uint64(req.key))
	if held := r.holdings(b); held != nil && req.prompt != nil {
		if m := findHeld(held, req.prompt.Model); m != nil && m.State == core.HoldUnloading {
			// The loader unloads the model once the last request has ended.
			b.loader.dirty = true
		}
	}
}

// model returns the request's model, "" for plain services.
func (req *request) model() string {
	if req.prompt == nil {
		return ""
	}
	return req.prompt.Model
}

func (req *request) attrs(more ...any) []slog.Attr {
	attrs := []slog.Attr{slog.String("request", req.id)}
	if req.route != nil {
		attrs = append(attrs, slog.String("route", req.route.Name), slog.String("service", req.service))
	}
	if req.account != nil {
		attrs = append(attrs, slog.String("account", req.account.Name))
	}
	if req.prompt != nil {
		attrs = append(attrs, slog.String("model", req.prompt.Model))
		if req.prompt.Adapter != "" {
			attrs = append(attrs, slog.String("adapter", req.prompt.Adapter))
		}
	}
	return append(attrs, attrPairs(more)...)
}

// attrPairs returns log attributes from names, each followed by its value.
func attrPairs(pairs []any) []slog.Attr {
	var attrs []slog.Attr
	for i := 0; i+1 < len(pairs); i += 2 {
		attrs = append(attrs, slog.Any(pairs[i].(string), pairs[i+1]))
	}
	return attrs
}
