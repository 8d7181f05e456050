package router

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"nutmeglane.example/nutmeglane/internal/code"
	"nutmeglane.example/nutmeglane/internal/core"
	"nutmeglane.example/nutmeglane/internal/fleet"
	loaders "nutmeglane.example/nutmeglane/internal/loader"
)

// This file simulates routers, loaders and the servers of a plain service in virtual time. The
// reducers are the real ones. Messages take budgetFleetDelay.

const (
	budgetFleetDelay = 2 * time.Millisecond
	// A server has six slots and a queue of 24. Alone, a request takes 30 ms; with all slots in
	// use, it takes 40 ms, so that a server finishes plainCapacity requests a second.
	plainSlots, plainQueue = 6, 24
	plainWork              = 30 * time.Millisecond
	plainFullWork          = 40 * time.Millisecond
	plainCapacity          = 150.0
	plainObjective         = 150 * time.Millisecond
)

// timedCall is something that happens at a time.
type timedCall struct {
	at    core.Time
	order int
	run   func()
}

type timedCalls []timedCall

func (c timedCalls) Len() int { return len(c) }
func (c timedCalls) Less(i, j int) bool {
	return c[i].at < c[j].at || c[i].at == c[j].at && c[i].order < c[j].order
}
func (c timedCalls) Swap(i, j int) { c[i], c[j] = c[j], c[i] }
func (c *timedCalls) Push(x any)   { *c = append(*c, x.(timedCall)) }
func (c *timedCalls) Pop() any {
	old := *c
	last := old[len(old)-1]
	*c = old[:len(old)-1]
	return last
}

// budgetFleet is the state of a run.
type budgetFleet struct {
	now     core.Time
	calls   timedCalls
	order   int
	rand    *rand.Rand
	routers []*budgetRouter
	loaders map[core.HostID]*budgetLoader
	servers map[string]*plainServer
	// offered is the rate of callers' requests to all routers, in requests per second.
	offered float64
	nextID  int
	ended   []endedCall
	// limitMessages counts the messages on limits, in both directions.
	limitMessages int
	// budgets are the logged starts and ends of budgets at loaders.
	budgets []loaders.Log
}

// endedCall is a caller's request that has ended.
type endedCall struct {
	arrived, at core.Time
	served      bool
	code        code.Code
	retryAfter  time.Duration
}

// budgetRouter is a router process.
type budgetRouter struct {
	name    core.HostID
	router  *Router
	arrived map[Key]core.Time
}

// budgetLoader is a loader process beside an engine.
type budgetLoader struct {
	name   core.HostID
	loader *loaders.Loader
	engine fleet.Backend
	// cut is set while no message passes to or from it.
	cut bool
}

// plainServer is a server of the plain service.
type plainServer struct {
	f       *budgetFleet
	backend fleet.Backend
	running int
	queue   []func()
	// removed is set once the server has left. hanging is set while it finishes nothing.
	removed, hanging bool
	// held are the ends of requests that came due while it hung.
	held []func()
	// slower is the factor by which work takes longer than usual. It is stated.
	slower   float64
	finished []core.Time
	// refusals counts the requests that found the queue full.
	refusals int
	// limit is the limit that its answers name, in requests per second, 0 for none.
	limit float64
	// standing is set while its process does not run, unread holds what has reached its host
	// meanwhile. arrivals are the times at which it read requests.
	standing bool
	unread   []func()
	arrivals []core.Time
}

// newBudgetFleet returns a fleet of routers, engines with loaders, and plain servers.
func newBudgetFleet(seed uint64, routers, engines, servers int, crowding CrowdingOptions) *budgetFleet {
	f := &budgetFleet{
		now: core.Time(time.Hour), rand: rand.New(rand.NewPCG(seed, 2)),
		loaders: map[core.HostID]*budgetLoader{}, servers: map[string]*plainServer{},
	}
	for i := range engines {
		f.addLoader(i)
	}
	for i := range servers {
		backend := plainBackend(i)
		f.servers[backend.Instance] = &plainServer{f: f, backend: backend, slower: 1}
	}
	for i := range routers {
		f.addRouter(i, crowding)
	}
	f.after(0, f.arrive)
	f.every(100*time.Millisecond, f.tickLoaders)
	f.every(time.Second, f.reportEngines)
	return f
}

func plainBackend(i int) fleet.Backend {
	return fleet.Backend{
		Incarnation: fleet.Incarnation{Instance: fmt.Sprintf("plain%d", i), Born: 1}, Service: plainService, Zone: "a",
		Slots: plainSlots, Address: fmt.Sprintf("10.2.0.%d:8000", i+1), Release: v1,
	}
}

func (f *budgetFleet) addLoader(i int) {
	name := loaderName(i)
	engine := fleet.Backend{
		Incarnation: fleet.Incarnation{Instance: fmt.Sprintf("engine%d", i), Born: 1}, Service: engineService, Zone: "a",
		Slots: 64, Address: string(name) + ":8000", Release: v1,
	}
	f.loaders[name] = &budgetLoader{name: name, engine: engine, loader: loaders.New(loaders.Options{Host: name})}
}

func (f *budgetFleet) addRouter(i int, crowding CrowdingOptions) {
	p := &budgetRouter{name: core.HostID(fmt.Sprintf("10.0.0.%d", i+1)), arrived: map[Key]core.Time{}}
	p.router = New(Options{Host: p.name, Zone: "a", LoaderPort: 7000, Bounds: testBounds(), Seed: uint64(i), Crowding: crowding})
	f.routers = append(f.routers, p)
	f.stepRouter(p, ConfigRead{Config: pausesConfig(1, 800*time.Millisecond, 800*time.Millisecond)})
	list := map[string]fleet.Backend{}
	for instance, s := range f.servers {
		list[instance] = s.backend
	}
	for _, l := range f.loaders {
		list[l.engine.Instance] = l.engine
	}
	f.stepRouter(p, BackendsRead{Backends: list})
	for _, l := range f.sortedLoaders() {
		f.connect(p, l)
	}
	// Routers tick at different times.
	f.after(time.Duration(i)*tickInterval/34, func() {
		f.every(tickInterval, func() { f.stepRouter(p, Tick{}) })
	})
}

// connect connects a router and a loader.
func (f *budgetFleet) connect(p *budgetRouter, l *budgetLoader) {
	f.stepRouter(p, LoaderUp{Loader: l.name})
	f.reportEngine(p, l)
	f.stepLoader(l, loaders.RouterUp{Router: p.name})
}

func (f *budgetFleet) reportEngine(p *budgetRouter, l *budgetLoader) {
	f.stepRouter(p, LoaderReported{Loader: l.name, Holdings: core.Holdings{
		Instance: l.engine.Instance, Born: l.engine.Born, Models: loadedModels("m0"), Routers: len(f.routers), Coordinator: f.routers[0].name,
	}})
}

func (f *budgetFleet) reportEngines() {
	for _, l := range f.sortedLoaders() {
		for _, p := range f.routers {
			if !l.cut {
				f.reportEngine(p, l)
			}
		}
	}
}

func (f *budgetFleet) tickLoaders() {
	for _, l := range f.sortedLoaders() {
		if !l.cut {
			f.stepLoader(l, loaders.Tick{})
		}
	}
}

func (f *budgetFleet) sortedLoaders() []*budgetLoader {
	var all []*budgetLoader
	for i := range len(f.loaders) {
		all = append(all, f.loaders[loaderName(i)])
	}
	return all
}

// after calls run after d, every calls it at each interval.
func (f *budgetFleet) after(d time.Duration, run func()) {
	f.order++
	heap.Push(&f.calls, timedCall{f.now.Add(d), f.order, run})
}

func (f *budgetFleet) every(interval time.Duration, run func()) {
	f.after(interval, func() {
		run()
		f.every(interval, run)
	})
}

// run advances the time by d.
func (f *budgetFleet) run(d time.Duration) {
	end := f.now.Add(d)
	for len(f.calls) > 0 && f.calls[0].at <= end {
		next := heap.Pop(&f.calls).(timedCall)
		f.now = next.at
		next.run()
	}
	f.now = end
}

// arrive delivers a caller's request to a random router and schedules the next one.
func (f *budgetFleet) arrive() {
	pause := time.Second
	if f.offered > 0 {
		pause = time.Duration(f.rand.ExpFloat64() / f.offered * float64(time.Second))
		f.call(f.routers[f.rand.IntN(len(f.routers))])
	}
	f.after(pause, f.arrive)
}

// call delivers a request of a route with one attempt, or of one with two.
func (f *budgetFleet) call(p *budgetRouter) {
	f.nextID++
	key := Key(f.nextID)
	p.arrived[key] = f.now
	path := []string{"/once/x", "/again/x"}[f.rand.IntN(2)]
	f.stepRouter(p, Arrived{Key: key, Request: fleet.Request{ID: fmt.Sprintf("r%d", f.nextID), Host: callersHost, Path: path}})
}

func (f *budgetFleet) stepRouter(p *budgetRouter, event Event) {
	for _, effect := range slices.Clone(p.router.Step(f.now, event)) {
		switch e := effect.(type) {
		case Send:
			f.after(budgetFleetDelay/2, func() { f.servers[e.Instance].handle(p, e) })
		case Finish:
			f.end(p, e.Key, endedCall{code: e.Code, retryAfter: e.RetryAfter})
		case SendLimitRequest:
			f.limitMessages++
			f.toLoader(e.Loader, loaders.LimitRequested{Router: p.name, Request: e.Request})
		}
	}
}

// end records the end of a caller's request.
func (f *budgetFleet) end(p *budgetRouter, key Key, c endedCall) {
	c.arrived, c.at = p.arrived[key], f.now
	delete(p.arrived, key)
	f.ended = append(f.ended, c)
}

func (f *budgetFleet) toLoader(name core.HostID, event loaders.Event) {
	l := f.loaders[name]
	f.after(budgetFleetDelay, func() {
		if !l.cut {
			f.stepLoader(l, event)
		}
	})
}

func (f *budgetFleet) stepLoader(l *budgetLoader, event loaders.Event) {
	for _, effect := range slices.Clone(l.loader.Step(f.now, event)) {
		switch e := effect.(type) {
		case loaders.SendLimit:
			for _, name := range e.Routers {
				f.limitMessages++
				f.toRouter(l, name, LoaderAnsweredLimit{Loader: l.name, Answer: e.Limit})
			}
		case loaders.Log:
			if e.Message == "server budget begins" || e.Message == "server budget ends" {
				f.budgets = append(f.budgets, e)
			}
		}
	}
}

func (f *budgetFleet) toRouter(l *budgetLoader, name core.HostID, event Event) {
	i := slices.IndexFunc(f.routers, func(p *budgetRouter) bool { return p.name == name })
	f.after(budgetFleetDelay, func() {
		if !l.cut {
			f.stepRouter(f.routers[i], event)
		}
	})
}

// loseLoader kills a loader: its connections end.
func (f *budgetFleet) loseLoader(l *budgetLoader) {
	l.cut = true
	for _, p := range f.routers {
		f.stepRouter(p, LoaderDown{Loader: l.name})
	}
}

// removeServer removes a server from the registry. It finishes what it has.
func (f *budgetFleet) removeServer(instance string) {
	f.servers[instance].removed = true
	for _, p := range f.routers {
		f.stepRouter(p, BackendsChanged{Removed: map[string]bool{instance: true}})
	}
}

// counting returns the loader that counts for a server.
func (f *budgetFleet) counting(instance string) *budgetLoader {
	router := f.routers[0].router
	return f.loaders[router.limitLoader(router.backends[instance]).name]
}

// handle handles a request at the server.
func (s *plainServer) handle(p *budgetRouter, e Send) {
	if s.standing {
		s.unread = append(s.unread, func() { s.handle(p, e) })
		return
	}
	s.arrivals = append(s.arrivals, s.f.now)
	switch {
	case s.running < plainSlots:
		s.begin(p, e)
	case len(s.queue) < plainQueue:
		s.queue = append(s.queue, func() { s.begin(p, e) })
	default:
		s.refusals++
		s.answer(p, e, fleet.Answer{Status: 503, NotRun: true})
	}
}

func (s *plainServer) begin(p *budgetRouter, e Send) {
	s.running++
	extra := float64(plainFullWork-plainWork) * float64(s.running-1) / (plainSlots - 1)
	work := (float64(plainWork) + extra) * s.slower * (0.8 + 0.4*s.f.rand.Float64())
	s.f.after(time.Duration(work), func() { s.end(p, e) })
}

// end ends a request that has run, and begins the next one.
func (s *plainServer) end(p *budgetRouter, e Send) {
	if s.hanging {
		s.held = append(s.held, func() { s.end(p, e) })
		return
	}
	s.running--
	s.finished = append(s.finished, s.f.now)
	if len(s.queue) > 0 {
		next := s.queue[0]
		s.queue = s.queue[1:]
		next()
	}
	s.answer(p, e, fleet.Answer{Status: 200})
}

// resume ends a hang.
func (s *plainServer) resume() {
	s.hanging = false
	held := s.held
	s.held = nil
	for _, run := range held {
		run()
	}
}

// standStill suspends the server's process for a time. Then it reads what has reached its host.
func (s *plainServer) standStill(d time.Duration) {
	s.standing, s.hanging = true, true
	s.f.after(d, func() {
		unread := s.unread
		s.standing, s.unread = false, nil
		s.resume()
		for _, read := range unread {
			read()
		}
	})
}

// answer sends an answer with the server's load.
func (s *plainServer) answer(p *budgetRouter, e Send, answer fleet.Answer) {
	answer.Load = &fleet.Load{Running: s.running, Waiting: len(s.queue), Slots: plainSlots, HostPace: s.slower}
	if s.limit > 0 {
		answer.Limit = fleet.ReportedLimit{State: fleet.LimitReported, PerSecond: s.limit}
	}
	s.f.after(budgetFleetDelay/2, func() {
		s.f.stepRouter(p, Answered{Key: e.Key, Attempt: e.Attempt, Answer: answer})
		req := p.router.requests[e.Key]
		if answer.NotRun || req == nil || req.number != e.Attempt || req.backend == nil {
			return
		}
		s.f.stepRouter(p, Done{Key: e.Key, Attempt: e.Attempt})
		s.f.end(p, e.Key, endedCall{served: true})
	})
}

// fleetResult sums up the callers' requests that arrived within a time.
type fleetResult struct {
	arrived, served, onTime, refused, other int
	// withoutRetryAfter counts refusals that name no time, slowestRefusal is the longest time
	// after which a request was refused.
	withoutRetryAfter int
	slowestRefusal    time.Duration
	perSecond         float64
}

func (r fleetResult) String() string {
	return fmt.Sprintf("%d arrived, %.1f served a second, %.3f of them on time, %d refused within %v, %d other ends",
		r.arrived, r.perSecond, r.onTimeShare(), r.refused, r.slowestRefusal, r.other)
}

// onTimeShare is the share of the admitted requests that were answered on time.
func (r fleetResult) onTimeShare() float64 {
	return float64(r.onTime) / float64(max(1, r.served+r.other))
}

func (f *budgetFleet) result(from, to core.Time) fleetResult {
	var r fleetResult
	for _, c := range f.ended {
		if c.arrived < from || c.arrived >= to {
			continue
		}
		r.arrived++
		switch {
		case c.served:
			r.served++
			if c.at.Sub(c.arrived) <= plainObjective {
				r.onTime++
			}
		case c.code == code.AtLimit:
			r.refused++
			r.slowestRefusal = max(r.slowestRefusal, c.at.Sub(c.arrived))
			if c.retryAfter <= 0 {
				r.withoutRetryAfter++
			}
		default:
			r.other++
		}
	}
	r.perSecond = float64(r.served) / to.Sub(from).Seconds()
	return r
}
