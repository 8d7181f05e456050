package router

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"nutmeglane.example/nutmeglane/internal/core"
	"nutmeglane.example/nutmeglane/internal/fleet"
	"nutmeglane.example/nutmeglane/internal/limit"
	loaderside "nutmeglane.example/nutmeglane/internal/loader"
)

// This file plays routers, loaders and engines together in virtual time, with more requests than
// the engines can serve.

// simEngine reads prompts between the steps of its running requests. The figures are those of
// the first deployment in docs/design/hard-load.md.
type simEngine struct {
	now     core.Time
	waiting []*simRun
	running []*simRun
}

type simRun struct {
	router         core.HostID
	key            Key
	attempt        int
	sent           core.Time
	unread, tokens int
	events         int
	lastEvent      core.Time
}

const (
	simSlots       = 128
	simPrompt      = 646
	simEvents      = 23
	simEventTokens = 3
	simChunk       = 2048 // prompt tokens that are read between two steps
	simStep        = 9470 * time.Microsecond
	simTokensPerMS = 19.2
	simObjective   = time.Second
	simPause       = 800 * time.Millisecond
	// dialTime is how long the dial of a frozen process takes to fail.
	dialTime = 500 * time.Millisecond
)

// step reads up to one chunk, makes a step, and returns the runs with an event.
func (e *simEngine) step(until core.Time) []*simRun {
	for len(e.waiting) > 0 && len(e.running) < simSlots {
		e.running, e.waiting = append(e.running, e.waiting[0]), e.waiting[1:]
	}
	if len(e.running) == 0 {
		e.now = until
		return nil
	}
	left := simChunk
	for _, run := range e.running {
		read := min(left, run.unread)
		run.unread -= read
		left -= read
	}
	e.now = e.now.Add(simStep + time.Duration(float64(simChunk-left)/simTokensPerMS*float64(time.Millisecond)))
	var events []*simRun
	for _, run := range e.running {
		if run.unread > 0 {
			continue
		}
		run.tokens++
		if run.tokens%simEventTokens == 0 {
			run.events++
			events = append(events, run)
		}
	}
	return events
}

// remove takes out a run that is complete or whose caller has gone.
func (e *simEngine) remove(key Key) {
	drop := func(runs []*simRun) []*simRun {
		var kept []*simRun
		for _, run := range runs {
			if run.key != key {
				kept = append(kept, run)
			}
		}
		return kept
	}
	e.running, e.waiting = drop(e.running), drop(e.waiting)
}

func (e *simEngine) report() fleet.Report {
	report := fleet.Report{
		Models: []fleet.LoadedModel{{Name: "m0"}}, Running: len(e.running), Waiting: len(e.waiting), KVTotal: 1 << 30,
	}
	for _, run := range e.running {
		if run.events > 0 {
			report.Runs = append(report.Runs, fleet.Run{ID: fmt.Sprint(run.key), Tokens: simPrompt + run.tokens, Events: run.events})
		}
	}
	report.Unread = report.Running + report.Waiting - len(report.Runs)
	return report
}

// overloadFleet is a fleet whose engines all have model m0 loaded.
type overloadFleet struct {
	*largeFleet
	engines map[core.HostID]*simEngine
	rand    *rand.Rand
	nextKey Key
	arrival core.Time
	// failedDials are the dials of frozen processes that are still to fail.
	failedDials []delivery
	// The counts begin with each call of reset.
	arrived, sent, refused, begun, inTime, latePauses, pauses, complete, cancelled int
	limitMessages                                                                  int
	maxPause                                                                       time.Duration
	arrivedAt                                                                      map[Key]core.Time
}

func (f *overloadFleet) reset() {
	f.arrived, f.sent, f.refused, f.begun, f.inTime, f.latePauses, f.pauses, f.complete, f.cancelled, f.limitMessages = 0, 0, 0, 0, 0, 0, 0, 0, 0, 0
	f.maxPause = 0
}

func newOverloadFleet(t *testing.T, routers, engines int, options CrowdingOptions) *overloadFleet {
	f := &overloadFleet{
		largeFleet: &largeFleet{
			t: t, now: core.Time(time.Hour), routers: map[core.HostID]*Router{}, loaders: map[core.HostID]*loaderside.Loader{},
			frozen: map[core.HostID]bool{}, cut: map[[2]core.HostID]bool{},
		},
		engines: map[core.HostID]*simEngine{}, rand: rand.New(rand.NewPCG(1, 2)), arrivedAt: map[Key]core.Time{},
	}
	config := testConfig()
	config.Services[engineService].Engine.Slots = simSlots
	for i := range config.Routes[:2] {
		config.Routes[i].Objective, config.Routes[i].PauseObjective = simObjective, simPause
	}
	w := &fixture{}
	backends := map[string]fleet.Backend{}
	for i := range engines {
		b := w.server(engineService, i)
		b.Slots = simSlots
		backends[b.Instance] = b
		f.hosts = append(f.hosts, loaderName(i))
		f.loaders[loaderName(i)] = loaderside.New(loaderside.Options{Host: loaderName(i)})
		f.engines[loaderName(i)] = &simEngine{now: f.now}
	}
	for i := range routers {
		name := core.HostID(fmt.Sprintf("10.0.%d.%d", i/100, i%100+1))
		f.names = append(f.names, name)
		f.routers[name] = New(Options{Host: name, Zone: "a", LoaderPort: 7000, Bounds: testBounds(), Seed: uint64(i + 1), Crowding: options})
		f.router(name, ConfigRead{Config: config})
		f.router(name, BackendsRead{Backends: backends})
	}
	f.play(5*time.Second, 0)
	f.reset()
	return f
}

func (f *overloadFleet) router(name core.HostID, event Event) {
	effects := append([]Effect(nil), f.routers[name].Step(f.now, event)...)
	for _, effect := range effects {
		switch e := effect.(type) {
		case Dial:
			if f.frozen[e.Loader] {
				f.failedDials = append(f.failedDials, delivery{due: f.now.Add(dialTime), from: e.Loader, to: name})
				continue
			}
			f.send(name, e.Loader, connected{})
			f.send(e.Loader, name, connected{})
		case SendDemand:
			f.send(name, e.Loader, e.Demand)
		case SendLimitRequest:
			f.limitMessages++
			f.send(name, e.Loader, e.Request)
		case Send:
			f.sent++
			f.engineOf(e.Incarnation.Instance).begin(name, e, f.now)
		case Abandon:
			f.abandon(e.Key)
		case Finish:
			f.refused++
		}
	}
}

// engineOf returns the engine of an instance "s0" and so on.
func (f *overloadFleet) engineOf(instance string) *simEngine {
	var i int
	if _, err := fmt.Sscanf(instance, "s%d", &i); err != nil {
		f.t.Fatal(err)
	}
	return f.engines[loaderName(i)]
}

func (e *simEngine) begin(router core.HostID, send Send, now core.Time) {
	e.waiting = append(e.waiting, &simRun{router: router, key: send.Key, attempt: send.Attempt, sent: now, unread: simPrompt})
}

func (f *overloadFleet) abandon(key Key) {
	for _, e := range f.engines {
		e.remove(key)
	}
}

func (f *overloadFleet) loader(name core.HostID, event loaderside.Event) {
	effects := append([]loaderside.Effect(nil), f.loaders[name].Step(f.now, event)...)
	for _, effect := range effects {
		switch e := effect.(type) {
		case loaderside.SendHoldings:
			f.sendAll(name, e.Routers, e.Holdings)
		case loaderside.SendCounts:
			f.sendAll(name, e.Routers, e.Counts)
		case loaderside.SendLimit:
			f.limitMessages += len(e.Routers)
			f.sendAll(name, e.Routers, e.Limit)
		case loaderside.Forward:
			f.sendAll(name, e.Routers, e.Message)
		case loaderside.RequestSpec:
			f.send(name, e.Router, core.SpecWanted{})
		case loaderside.ReadReport:
			f.loader(name, loaderside.ReportRead{Report: f.engines[name].report()})
		}
	}
}

func (f *overloadFleet) sendAll(from core.HostID, to []core.HostID, message core.Message) {
	for _, name := range to {
		f.send(from, name, message)
	}
}

func (f *overloadFleet) deliver(d delivery) {
	if f.frozen[d.from] || f.frozen[d.to] {
		return
	}
	if f.routers[d.to] != nil {
		f.toRouter(d)
		return
	}
	switch m := d.message.(type) {
	case connected:
		f.loader(d.to, loaderside.RouterUp{Router: d.from})
	case core.Demand:
		f.loader(d.to, loaderside.DemandReceived{Router: d.from, Demand: m})
	case core.LimitRequest:
		f.loader(d.to, loaderside.LimitRequested{Router: d.from, Request: m})
	}
}

func (f *overloadFleet) toRouter(d delivery) {
	if event := routerEvent(d); event != nil {
		f.router(d.to, event)
	}
}

// play advances by a duration with the given requests per second at random routers.
func (f *overloadFleet) play(d time.Duration, perSecond float64) {
	f.arrival = max(f.arrival, f.now)
	for end := f.now.Add(d); f.now < end; {
		f.now = f.now.Add(messageTime)
		for _, next := range takeDue(&f.inFlight, f.now) {
			f.deliver(next)
		}
		for _, failed := range takeDue(&f.failedDials, f.now) {
			f.router(failed.to, LoaderDown{Loader: failed.from})
		}
		f.arrive(perSecond)
		for _, host := range f.hosts {
			f.runEngine(f.engines[host])
		}
		if f.now%core.Time(tickInterval) == 0 {
			f.tickAll()
		}
	}
}

func (f *overloadFleet) arrive(perSecond float64) {
	for perSecond > 0 && f.arrival <= f.now {
		f.arrival = f.arrival.Add(time.Duration(f.rand.ExpFloat64() / perSecond * float64(time.Second)))
		f.nextKey++
		f.arrived++
		f.arrivedAt[f.nextKey] = f.now
		f.router(f.names[f.rand.IntN(len(f.names))], Arrived{Key: f.nextKey, Request: fleet.Request{
			ID: fmt.Sprint("r", f.nextKey), Host: callersHost, Path: "/quick/x",
			Prompt: &fleet.Prompt{Model: "m0", Tokens: simPrompt, MaxNewTokens: simEvents * simEventTokens},
		}})
	}
}

func (f *overloadFleet) runEngine(e *simEngine) {
	for e.now < f.now {
		for _, run := range e.step(f.now) {
			f.event(e, run)
		}
	}
}

// event delivers a run's event to its caller.
func (f *overloadFleet) event(e *simEngine, run *simRun) {
	if run.events == 1 {
		f.begun++
		if e.now.Sub(f.arrivedAt[run.key]) <= simObjective {
			f.inTime++
		}
		f.router(run.router, FirstEvent{Key: run.key, Attempt: run.attempt})
	} else {
		pause := e.now.Sub(run.lastEvent)
		f.pauses++
		f.maxPause = max(f.maxPause, pause)
		if pause > simPause {
			f.latePauses++
		}
	}
	run.lastEvent = e.now
	if run.events == simEvents {
		f.complete++
		e.remove(run.key)
		f.router(run.router, Done{Key: run.key, Attempt: run.attempt})
	}
}

func (f *overloadFleet) tickAll() {
	for _, name := range f.names {
		if !f.frozen[name] {
			f.router(name, Tick{})
		}
	}
	for _, name := range f.hosts {
		if !f.frozen[name] {
			f.loader(name, loaderside.Tick{})
		}
	}
	f.cancel()
}

// cancel ends the requests whose callers have waited too long for the first event.
func (f *overloadFleet) cancel() {
	patience := firstEventTimeout(&fleet.Route{Objective: simObjective, PauseObjective: simPause})
	for _, e := range f.engines {
		for _, runs := range [][]*simRun{e.waiting, e.running} {
			for _, run := range append([]*simRun(nil), runs...) {
				if run.events == 0 && f.now.Sub(f.arrivedAt[run.key]) > patience {
					f.cancelled++
					e.remove(run.key)
					f.router(run.router, CallerLeft{Key: run.key})
				}
			}
		}
	}
}

func (f *overloadFleet) String() string {
	return fmt.Sprintf("%d arrived, %d sent, %d refused, %d begun (%d in time), %d complete, %d cancelled, longest pause %v, %d of %d pauses late, %d limit messages",
		f.arrived, f.sent, f.refused, f.begun, f.inTime, f.complete, f.cancelled, f.maxPause, f.latePauses, f.pauses, f.limitMessages)
}

// simCapacity is the rate at which the engine begins requests while it reads all the time: the
// simulated engine with an unlimited queue begins 25.8 a second, bounded by its slots.
const simCapacity = 25.8

// 71 requests per second go to a model on two engines, each of which can read 30. Guards against
// engines that are sent more than they can finish, whose streams then fall behind and whose
// callers get no answer, and against engines that are idle while callers are refused.
func TestModelWithTwoEnginesAtMoreThanTheirCapacity(t *testing.T) {
	const settle, lasts = 10 * time.Second, 30 * time.Second
	for _, routers := range []int{26, 470} {
		t.Run(fmt.Sprint(routers), func(t *testing.T) {
			f := newOverloadFleet(t, routers, 2, CrowdingOptions{FromPause: simPause, Budget: true})
			f.play(settle, 71)
			f.reset()
			f.play(lasts, 71)
			t.Logf("%v", f)
			if f.latePauses > 0 {
				t.Errorf("%d pauses over the objective, the longest %v", f.latePauses, f.maxPause)
			}
			if f.cancelled > 0 {
				t.Errorf("%d callers got no answer", f.cancelled)
			}
			if used := float64(f.begun) / lasts.Seconds() / (2 * simCapacity); used < 0.7 {
				t.Errorf("%.2f of the engines' capacity is used", used)
			}
		})
	}
}

// Guards against a test above that passes without a budget.
func TestModelWithTwoEnginesWithoutBudgetIsLate(t *testing.T) {
	f := newOverloadFleet(t, 26, 2, CrowdingOptions{})
	f.play(10*time.Second, 71)
	f.reset()
	f.play(30*time.Second, 71)
	t.Logf("%v", f)
	if f.cancelled == 0 && f.inTime > f.begun*9/10 {
		t.Error("the engines are not overloaded")
	}
}

// The loaders are frozen while the engines have budgets. Guards against routers that stop sending
// when the budgets expire, and against a flood when the loaders return.
func TestFrozenLoadersWithBudgets(t *testing.T) {
	f := newOverloadFleet(t, 26, 2, CrowdingOptions{FromPause: simPause, Budget: true})
	f.play(10*time.Second, 71)
	for _, host := range f.hosts {
		f.frozen[host] = true
	}
	f.play(limit.BudgetLife+100*time.Millisecond, 71)
	for _, name := range f.names {
		if n := len(f.routers[name].limited); n > 0 {
			t.Fatalf("router %s keeps %d budgets", name, n)
		}
	}
	f.reset()
	f.play(2*time.Second, 71)
	if f.sent < 50 {
		t.Errorf("%d requests sent within 2 s without budgets", f.sent)
	}
	clear(f.frozen)
	f.play(10*time.Second, 71)
	f.reset()
	f.play(20*time.Second, 71)
	t.Logf("%v", f)
	if f.latePauses > 0 || f.cancelled > 0 {
		t.Errorf("%d late pauses, %d cancelled after the loaders returned", f.latePauses, f.cancelled)
	}
	if used := float64(f.begun) / 20 / (2 * simCapacity); used < 0.7 {
		t.Errorf("%.2f of the engines' capacity is used after the loaders returned", used)
	}
}
