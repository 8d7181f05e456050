package router

import (
	"log/slog"
	"slices"
	"time"

	"nutmeglane.example/nutmeglane/internal/code"
	"nutmeglane.example/nutmeglane/internal/core"
	"nutmeglane.example/nutmeglane/internal/fleet"
	"nutmeglane.example/nutmeglane/internal/work"
)

const (
	// answerSlack is how long after its limit a request waits for the server's
	// own answer to the deadline, which is on its way then.
	answerSlack = 80 * time.Millisecond
	// hedgeObjective is the part of the objective after which an idempotent
	// request without an answer is tried elsewhere: late enough that most
	// answers have come, early enough that the second still can be in time.
	hedgeObjective = 0.5
	// lateAfter is how many times the predicted time a generation may take to its
	// first event before it counts as late.
	lateAfter = 2
	// moveLate is how many times the predicted cost elsewhere a generation must be
	// late by before it is moved from an engine that works: what has been read
	// there is lost, and others may move at the same moment.
	moveLate = 3
	// reportDelay is how old an engine's state is when its loader tells it: the
	// pause between two reports, the engine's own delay and the way.
	reportDelay = 400 * time.Millisecond
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
	key Key
	id  string
	// fingerprint is the same for all requests for the same work.
	fingerprint core.Fingerprint
	prompt      *fleet.Prompt
	// prefix is the prompt as caches look it up.
	prefix  work.Prefix
	route   *fleet.Route
	service string
	// account is the caller's, nil without accounts or on a public route.
	account *fleet.Account
	// charged is what it counts against its account's quota, 0 once given back, and
	// chargedUntil until when it can be given back.
	charged      float64
	chargedUntil core.Time
	// asksQuota is set while it waits for room in its account's quota.
	asksQuota bool
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
	// asking is the server for which a permit was asked, at askedAt; granted is the one
	// for which it was granted.
	asking, granted *backend
	askedAt         core.Time
	// waited is how long it waited for its model, first the time until its
	// first answer or event; both count from its arrival.
	waited, first time.Duration
	// cold is where the nearest copy lay of what it waited for, "" if it found
	// all loaded: memory, disk, store, or adapter.
	cold string
}

// judge decides on a request that came at a time: now, unless it was held.
func (r *Router) judge(key Key, in fleet.Request, at core.Time) {
	req := &request{key: key, id: in.ID, fingerprint: in.Fingerprint, prompt: in.Prompt, arrived: at, limit: core.Never}
	if !r.Ready() {
		r.finish(req, code.NotReady, unknownReturn, "no configuration is known yet")
		return
	}
	if r.sheds() {
		r.finish(req, code.Starved, r.returnIn(starvedReturn), "the process waits "+r.lag.wait.String()+" for the processor")
		return
	}
	req.route = r.routes.find(in.Host, in.Path)
	if req.route == nil {
		r.finish(req, code.UnknownPath, 0, "no route for host "+in.Host)
		return
	}
	req.service = target(req.route, in.ID)
	if !r.identify(req, in) {
		return
	}
	if r.ledger.Poison(req.fingerprint) {
		r.refusePoison(req)
		return
	}
	req.limit = at.Add(req.route.Timeout)
	if in.Deadline > 0 {
		req.limit = min(req.limit, at.Add(in.Deadline))
	}
	req.firstBy = req.limit
	if req.route.Kind == fleet.Stream {
		req.firstBy = min(req.limit, at.Add(patience(req.route)))
	}
	if r.charge(req) {
		r.accept(req)
	}
}

// accept goes on with a request for which its account has room.
func (r *Router) accept(req *request) {
	service := r.service(req.service)
	service.budget.request(r.now, r.opts.Bounds.RetryWindow)
	if req.prompt != nil {
		req.prefix = work.NewPrefix(req.prompt)
		service.arrival(r.now, req.prompt)
		service.meanReading = average(service.meanReading, service.work.ReadTime(req.prompt.Model, req.prompt.Tokens))
	}
	r.requests[req.key] = req
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
	if !r.endsInTime(req, 0) {
		r.refuseAtStop(req)
		return
	}
	if !r.anyCandidate(req) {
		r.giveUp(req, code.NoBackend, "no backend server of the service takes requests")
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

// anyCandidate tells whether any server may get a request.
func (r *Router) anyCandidate(req *request) bool {
	return slices.ContainsFunc(r.serversOf(req.service), func(b *backend) bool { return r.takes(b, req) })
}

// takes tells whether a server may get a request, be it left out for failures.
func (r *Router) takes(b *backend, req *request) bool {
	return b.unlistedAt == 0 && !r.draining(b) && !slices.Contains(req.tried, b.Instance)
}

// candidatesOf are those of the servers that may get a request and have room for it. If
// all were left out for failures, they are better than none.
func (r *Router) candidatesOf(req *request, servers []*backend) []*backend {
	var usable, ejected []*backend
	for _, b := range servers {
		switch {
		case !r.takes(b, req) || !r.hasRoom(b):
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
	if r.ledger.Poison(req.fingerprint) {
		r.refusePoison(req)
		return
	}
	if !r.endsInTime(req, c.forecast.ahead) {
		r.refuseAtStop(req)
		return
	}
	if !r.permitted(req, b, c.spare) {
		return
	}
	if req.arrivals > 0 && !r.takeRepeat(req.service) {
		r.giveUp(req, code.NoBackend, "the budget of repeats is used up")
		return
	}
	r.leaveWait(req)
	req.sends++
	req.number++
	req.backend = b
	req.tried = append(req.tried, b.Instance)
	req.attempt = &attempt{at: r.now, life: b.Incarnation, slowdown: r.slowdown(b), forecast: c.forecast}
	b.sent[req.key] = req.attempt
	if req.prompt != nil && r.engine(req.service) != nil {
		r.promptSent(req)
	}
	send := Send{
		Key: req.key, Attempt: req.number, Instance: b.Instance, Address: b.Address,
		MaxConns: r.connShare(req.service), Until: req.limit,
		Priority: enginePriority(req.rank()),
		Account:  req.accountName(), HideCredentials: len(r.config.Accounts) > 0,
	}
	if req.route.Kind == fleet.Stream && req.route.Resumable {
		send.StallAfter = max(stallLeast, stallPauses*req.route.PauseObjective)
	}
	r.emit(send)
	r.countLimited(b)
	if req.number > 1 {
		r.log(OneRequest, "request sent again", req.attrs("instance", b.Instance,
			"attempt", req.number, "predicted", c.cost.String())...)
	}
}

// enginePriority maps a request's rank to an engine's scale of 0 to 9, with room
// between ranks.
func enginePriority(rank int) int { return min(9, 1+2*max(0, rank)) }

func (r *Router) takeRepeat(service string) bool {
	b := r.opts.Bounds
	slack := b.RetrySlack / float64(r.routers())
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
	delete(b.sent, req.key)
	b.queue.Remove(r.now, uint64(req.key))
	if held := r.holdings(b); held != nil && req.prompt != nil {
		if m := findHeld(held, req.prompt.Model); m != nil && m.State == core.HoldUnloading {
			// The loader waits for the last request to end.
			b.loader.dirty = true
		}
	}
	req.backend = nil
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
	if req.account != nil {
		attrs = append(attrs, slog.String("account", req.account.Name))
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
