package router

import (
	"log/slog"
	"maps"
	"slices"
	"time"

	"nutmeglane.example/nutmeglane/internal/code"
	"nutmeglane.example/nutmeglane/internal/core"
	"nutmeglane.example/nutmeglane/internal/fleet"
)

const (
	// answerSlack is how long after its limit a request waits for the server's
	// own answer to the deadline, which is on its way then.
	answerSlack = 80 * time.Millisecond
	// hedgeObjective is the part of the objective after which an idempotent
	// request without an answer is tried elsewhere: late enough that most
	// answers have come, early enough that the second still can be in time.
	hedgeObjective = 0.5
	// stallPauses is how many pause objectives without an event a resumable
	// stream waits before it is resumed elsewhere; stallLeast is the least.
	// Callers give up after eight pauses or 2 s.
	stallPauses = 3
	stallLeast  = time.Second
	// unknownReturn is when a refused caller should come back if nothing
	// tells when there will be room.
	unknownReturn = 500 * time.Millisecond
	// quickReturn is when a caller should come back whose route allows one
	// server, when another could serve the request at once.
	quickReturn = 20 * time.Millisecond
	// returnSpread is the part of a Retry-After that is random, so that callers
	// who are refused together do not come back together.
	returnSpread = 0.3
	// Callers of a stream leave after a gap of gapLeast, gapObjectives times the
	// objective or gapPauses times the pause objective, whichever is longest,
	// also before the first event. Platform's word on its clients.
	gapLeast      = 2 * time.Second
	gapObjectives = 4
	gapPauses     = 8
	// leastConns is the least number of connections to one server.
	leastConns = 4
)

// request is a caller's request in this process.
type request struct {
	key     Key
	id      string
	prompt  *fleet.Prompt
	route   *fleet.Route
	service string
	// arrived, and limit, when it must have ended.
	arrived, limit core.Time
	// firstBy is when the caller leaves if nothing has come.
	firstBy core.Time
	// sends counts the servers that it was sent to, arrivals those that may
	// have read it.
	sends, arrivals int
	tried           []string
	// number is that of the current attempt.
	number  int
	backend *backend
	attempt *attempt
	// forwarded is set once a part of an answer was passed on.
	forwarded bool
	// mayHaveRun is set unless every server that got it proved that it did not
	// run.
	mayHaveRun bool
	waiting    *wait
	// waited is how long it waited for its model, first the time until its
	// first answer or event; both count from its arrival.
	waited, first time.Duration
}

func (r *Router) arrived(key Key, in fleet.Request) {
	req := &request{key: key, id: in.ID, prompt: in.Prompt, arrived: r.now, limit: core.Never}
	if !r.Ready() {
		r.finish(req, code.NotReady, unknownReturn, "no configuration is known yet")
		return
	}
	req.route = r.routes.find(in.Host, in.Path)
	if req.route == nil {
		r.finish(req, code.UnknownPath, 0, "no route for host "+in.Host)
		return
	}
	req.service = target(req.route, in.ID)
	req.limit = r.now.Add(req.route.Timeout)
	if in.Deadline > 0 {
		req.limit = min(req.limit, r.now.Add(in.Deadline))
	}
	req.firstBy = req.limit
	if req.route.Kind == fleet.Stream {
		req.firstBy = min(req.limit, r.now.Add(patience(req.route)))
	}
	service := r.service(req.service)
	service.budget.request(r.now, r.opts.Bounds.RetryWindow)
	if req.prompt != nil {
		service.arrival(r.now, req.prompt)
	}
	r.requests[key] = req
	r.dispatch(req)
}

// patience is how long a stream's caller waits for the first event.
func patience(route *fleet.Route) time.Duration {
	return max(gapLeast, gapObjectives*route.Objective, gapPauses*route.PauseObjective)
}

// dispatch sends a request, or makes it wait for its model, or ends it.
func (r *Router) dispatch(req *request) {
	if r.now >= req.limit {
		r.giveUp(req, code.DeadlineUnmet, "no time is left")
		return
	}
	if req.sends >= req.route.MaxAttempts {
		r.giveUp(req, code.NoBackend, "all attempts were used")
		return
	}
	servers := r.candidates(req)
	if len(servers) == 0 {
		r.giveUp(req, code.NoBackend, "no backend server of the service takes requests")
		return
	}
	if req.prompt != nil && r.engine(req.service) != nil {
		r.dispatchPrompt(req, servers)
		return
	}
	r.send(req, r.choose(req, servers))
}

// candidates are the servers that may get a request. If all were left out for
// failures, those that failed least are better than none.
func (r *Router) candidates(req *request) []*backend {
	var usable, ejected []*backend
	for _, b := range r.serversOf(req.service) {
		switch {
		case slices.Contains(req.tried, b.Instance), b.unlistedAt != 0, r.draining(b):
		case r.usable(b):
			usable = append(usable, b)
		default:
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
	if req.arrivals > 0 && !r.takeRepeat(req.service) {
		r.giveUp(req, code.NoBackend, "the budget of repeats is used up")
		return
	}
	r.leaveWait(req)
	req.sends++
	req.number++
	req.backend = b
	req.tried = append(req.tried, b.Instance)
	req.attempt = &attempt{at: r.now, slowdown: r.slowdown(b)}
	if req.prompt != nil {
		req.attempt.tokens = req.prompt.Tokens
	}
	b.sent[req.key] = req.attempt
	b.promptTokens += req.attempt.tokens
	send := Send{
		Key: req.key, Attempt: req.number, Instance: b.Instance, Address: b.Address,
		MaxConns: r.connShare(req.service), Until: req.limit,
		Priority: enginePriority(req.route),
	}
	if req.route.Kind == fleet.Stream && req.route.Resumable {
		send.StallAfter = max(stallLeast, stallPauses*req.route.PauseObjective)
	}
	r.emit(send)
	if req.number > 1 {
		r.log(OneRequest, "request sent again", req.attrs("instance", b.Instance,
			"attempt", req.number, "predicted", c.cost.String())...)
	}
}

// enginePriority maps a route's rank to an engine's scale of 0 to 9, with room
// between ranks.
func enginePriority(route *fleet.Route) int { return min(9, 1+2*max(0, route.Priority)) }

func (r *Router) takeRepeat(service string) bool {
	b := r.opts.Bounds
	slack := float64(b.RetrySlack) / float64(r.routers())
	return r.service(service).budget.take(r.now, b.RetryWindow, b.RetryRatio, slack)
}

// connShare is this router's part of a server's connections.
func (r *Router) connShare(service string) int {
	all := 0
	if s := r.config.Services[service]; s != nil {
		all = s.MaxConns
	}
	return max(leastConns, all/r.routers())
}

// release ends the current attempt at its server.
func (r *Router) release(req *request) {
	b := req.backend
	if b == nil {
		return
	}
	if a := b.sent[req.key]; a != nil {
		b.promptTokens -= a.tokens
		delete(b.sent, req.key)
	}
	if held := r.holdings(b); held != nil && req.prompt != nil {
		if m := findHeld(held, req.prompt.Model); m != nil && m.State == core.HoldUnloading {
			// The loader waits for the last request to end.
			b.loader.dirty = true
		}
	}
	req.backend = nil
}

// current returns the request of an attempt, nil if it has moved on.
func (r *Router) current(key Key, number int) *request {
	req := r.requests[key]
	if req == nil || req.number != number || req.backend == nil {
		return nil
	}
	return req
}

func (r *Router) attemptFailed(e AttemptFailed) {
	req := r.current(e.Key, e.Attempt)
	if req == nil {
		return
	}
	b := req.backend
	r.release(req)
	r.failed(b, e.Failure, e.Cause)
	r.log(OneRequest, "attempt failed", req.attrs("instance", b.Instance, "attempt", e.Attempt,
		"failure", e.Failure.String(), "cause", e.Cause)...)
	if e.Failure == NotSent {
		req.sends--
		r.dispatch(req)
		return
	}
	req.arrivals++
	req.mayHaveRun = true
	r.repeat(req, "the attempt failed: "+e.Failure.String())
}

// repeat sends a request again if it may run once more, else ends it.
func (r *Router) repeat(req *request, why string) {
	if req.route.Repeatable() && (!req.forwarded || req.route.Kind == fleet.Stream) {
		if req.forwarded {
			// Its caller has just had an event, and waits as long again.
			req.firstBy = min(req.limit, r.now.Add(patience(req.route)))
		}
		r.dispatch(req)
		return
	}
	r.giveUp(req, code.OutcomeUnknown, why)
}

func (r *Router) answered(e Answered) {
	req := r.current(e.Key, e.Attempt)
	if req == nil {
		return
	}
	b := req.backend
	if e.Answer.Load != nil {
		b.load, b.loadAt, b.loadOwn = e.Answer.Load, r.now, len(b.sent)
	}
	switch {
	case e.Answer.NotRun:
		r.rejected(req, e)
	case e.Answer.Status >= 500 && r.mayRepeat(req):
		r.release(req)
		b.failing += (1 - b.failing) * smoothing
		req.arrivals++
		req.mayHaveRun = true
		r.repeat(req, "the server failed")
	case e.Answer.Status >= 500:
		b.failing += (1 - b.failing) * smoothing
		r.forward(req)
	default:
		if req.route.Kind != fleet.Stream {
			r.answerBegan(req)
		}
		r.forward(req)
	}
}

// mayRepeat tells whether a failed answer can still be replaced by another
// server's.
func (r *Router) mayRepeat(req *request) bool {
	return req.route.Repeatable() && !req.forwarded && req.sends < req.route.MaxAttempts &&
		len(r.candidates(req)) > 0
}

func (r *Router) forward(req *request) {
	req.forwarded, req.mayHaveRun = true, true
	r.emit(Forward{Key: req.key, Attempt: req.number})
}

// rejected handles a server's word that the request did not run.
func (r *Router) rejected(req *request, e Answered) {
	b := req.backend
	r.release(req)
	req.arrivals++
	b.failing += (1 - b.failing) * smoothing
	r.log(OneRequest, "backend server refused the request", req.attrs("instance", b.Instance,
		"attempt", e.Attempt, "status", e.Answer.Status)...)
	if e.Answer.Absent && req.prompt != nil {
		// The registry's word is old; without a loader's it would lead the next
		// request there too.
		b.Models = slices.DeleteFunc(slices.Clone(b.Models), func(m fleet.LoadedModel) bool { return m.Name == req.prompt.Model })
	}
	if req.sends < req.route.MaxAttempts {
		r.dispatch(req)
		return
	}
	if !req.mayHaveRun && r.servedElsewhere(req) {
		r.finish(req, code.NoBackend, r.returnIn(quickReturn), "the backend server refused it; another can serve it")
		return
	}
	r.giveUp(req, code.NoBackend, "the backend server refused it")
}

// servedElsewhere tells whether another server could serve the request now.
func (r *Router) servedElsewhere(req *request) bool {
	if req.prompt == nil || r.engine(req.service) == nil {
		return len(r.candidates(req)) > 0
	}
	return r.loadedElsewhere(req)
}

func (r *Router) firstEvent(e FirstEvent) {
	if req := r.current(e.Key, e.Attempt); req != nil {
		r.answerBegan(req)
	}
}

// answerBegan counts the latency of an attempt.
func (r *Router) answerBegan(req *request) {
	a := req.attempt
	if a.answered {
		return
	}
	a.answered = true
	req.backend.promptTokens -= a.tokens
	a.tokens = 0
	latency := r.now.Sub(a.at)
	a.first = latency
	req.first = r.now.Sub(req.arrived)
	a.beside = r.outstanding(req.backend) - 1
	r.succeeded(req.backend, req.model(), latency, a.slowdown)
	r.emit(Observe{Name: metricFirstByte, Labels: []string{req.service}, Value: latency.Seconds()})
}

func (r *Router) done(e Done) {
	req := r.current(e.Key, e.Attempt)
	if req == nil {
		return
	}
	b := req.backend
	if req.prompt != nil {
		r.service(req.service).speed.answerEnded(answer{
			model: req.model(), events: e.Events, pause: e.Pause,
			first: req.attempt.first, beside: req.attempt.beside,
		})
	}
	r.release(req)
	delete(r.requests, req.key)
	r.emit(Count{Name: metricRequests, Labels: []string{req.service, code.OK.String()}})
	r.log(OneRequest, "request served", req.attrs("instance", b.Instance, "attempts", req.number,
		"waited", req.waited.String(), "first", req.first.String(), "took", r.now.Sub(req.arrived).String())...)
}

func (r *Router) gone(key Key) {
	req := r.requests[key]
	if req == nil {
		return
	}
	if req.backend != nil {
		r.emit(Abandon{Key: key, Attempt: req.number})
	}
	r.release(req)
	r.leaveWait(req)
	delete(r.requests, key)
	r.emit(Count{Name: metricRequests, Labels: []string{req.service, code.Cancelled.String()}})
	r.log(OneRequest, "caller left", req.attrs("forwarded", req.forwarded, "took", r.now.Sub(req.arrived).String())...)
}

// giveUp ends a request that can't be served. Whether the answer promises that
// it did not run follows from what its servers proved, not from the reason.
func (r *Router) giveUp(req *request, why code.Code, reason string) {
	switch {
	case req.forwarded:
		r.finish(req, code.AnswerCut, 0, reason)
	case req.mayHaveRun && r.now >= req.limit:
		r.finish(req, code.TimedOut, 0, reason)
	case req.mayHaveRun:
		r.finish(req, code.OutcomeUnknown, 0, reason)
	default:
		r.finish(req, why, r.returnIn(unknownReturn), reason)
	}
}

// returnIn spreads a Retry-After over returnSpread more.
func (r *Router) returnIn(base time.Duration) time.Duration {
	return base + time.Duration(r.rand.Float64()*returnSpread*float64(base))
}

func (r *Router) finish(req *request, c code.Code, retryAfter time.Duration, reason string) {
	r.leaveWait(req)
	r.release(req)
	delete(r.requests, req.key)
	r.emit(Finish{Key: req.key, Code: c, RetryAfter: retryAfter, Reason: reason})
	r.emit(Count{Name: metricRequests, Labels: []string{req.service, c.String()}})
	r.log(OneRequest, "request ended without a server's answer", req.attrs("code", int(c), "name", c.String(),
		"reason", reason, "retry_after", retryAfter.String(), "took", r.now.Sub(req.arrived).String())...)
}

// checkRequests ends requests whose time is over and tries those elsewhere
// that wait for an answer for too long.
func (r *Router) checkRequests() {
	for _, key := range slices.Sorted(maps.Keys(r.requests)) {
		req := r.requests[key]
		switch {
		case r.now >= r.stopAt:
			r.cutAtStop(req)
		case req.backend == nil && r.now >= req.firstBy:
			r.giveUp(req, code.DeadlineUnmet, "its model was not loaded in time")
		case req.backend != nil && r.now >= req.limit.Add(answerSlack):
			r.timeOut(req)
		case req.backend != nil && r.overdue(req):
			r.hedge(req)
		}
	}
}

// cutAtStop answers a request that is left when the process ends. Without an
// answer its caller would see the connection close, and would not know that a
// request which only waited can be sent again.
func (r *Router) cutAtStop(req *request) {
	if req.backend != nil {
		req.mayHaveRun = true
		r.emit(Abandon{Key: req.key, Attempt: req.number})
	}
	r.giveUp(req, code.Draining, "the process stops")
}

func (r *Router) timeOut(req *request) {
	if !req.attempt.answered {
		r.failed(req.backend, NoAnswer, "time is over")
	}
	req.mayHaveRun = true
	r.emit(Abandon{Key: req.key, Attempt: req.number})
	r.giveUp(req, code.TimedOut, "the time is over")
}

// overdue tells that an idempotent request should be tried elsewhere.
func (r *Router) overdue(req *request) bool {
	if req.attempt.answered || !r.mayRepeat(req) {
		return false
	}
	wait := r.now.Sub(req.attempt.at)
	patience := max(suspectAfter*r.usual(req.backend, req.model()), time.Duration(hedgeObjective*float64(req.route.Objective)))
	if wait < patience {
		return false
	}
	return r.servedElsewhere(req)
}

// loadedElsewhere tells whether another server has the request's model.
func (r *Router) loadedElsewhere(req *request) bool {
	for _, b := range r.candidates(req) {
		if _, both := r.loaded(b, req.prompt.Model, req.prompt.Adapter); both {
			return true
		}
	}
	return false
}

// stalled moves a stream whose server has gone silent to another server that
// has its model loaded. Without one it goes on waiting: a server under load may
// be silent for seconds and still end the answer.
func (r *Router) stalled(e Stalled) {
	req := r.current(e.Key, e.Attempt)
	if req == nil || !req.route.Repeatable() || req.sends >= req.route.MaxAttempts || !r.loadedElsewhere(req) {
		return
	}
	r.hedge(req)
}

// hedge gives the current attempt up and tries another server.
func (r *Router) hedge(req *request) {
	b := req.backend
	r.emit(Abandon{Key: req.key, Attempt: req.number})
	r.release(req)
	r.failed(b, NoAnswer, "no answer in time")
	r.log(OneRequest, "no answer in time; trying another server", req.attrs("instance", b.Instance,
		"waited", r.now.Sub(req.attempt.at).String(), "usual", r.usual(b, req.model()).String())...)
	req.arrivals++
	req.mayHaveRun = true
	r.dispatch(req)
}

// model is the request's model, "" at plain services.
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
	if req.prompt != nil {
		attrs = append(attrs, slog.String("model", req.prompt.Model))
		if req.prompt.Adapter != "" {
			attrs = append(attrs, slog.String("adapter", req.prompt.Adapter))
		}
	}
	for i := 0; i+1 < len(more); i += 2 {
		attrs = append(attrs, slog.Any(more[i].(string), more[i+1]))
	}
	return attrs
}
