package router

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"nutmeglane.example/nutmeglane/internal/core"
	"nutmeglane.example/nutmeglane/internal/fleet"
	loaderside "nutmeglane.example/nutmeglane/internal/loader"
	"nutmeglane.example/nutmeglane/internal/retrybudget/retrybudgettest"
)

// This file plays routers and loaders in virtual time, with servers that fail a part of their
// requests, and checks the bound on retries over all routers by arrival at the service.

const (
	// retryLoaders and retryServers are the numbers of loaders and of servers of the plain service.
	retryLoaders = 5
	retryServers = 8
	// serverLatency is the time from sending a request to its arrival, serverTime that from there
	// to the answer.
	serverLatency = 2 * time.Millisecond
	serverTime    = 20 * time.Millisecond
	// refusedDialTime is how long a dial across a cut connection takes to fail. loaderNotices is
	// when a loader drops a router that it does not hear.
	refusedDialTime = 500 * time.Millisecond
	loaderNotices   = 5 * time.Second
	// maxRetryAttempts is above what a retry budget allows on average.
	maxRetryAttempts = 4
)

// retryFleet is a fleet whose routers can be killed, started, cut off, and frozen.
type retryFleet struct {
	*largeFleet
	config   *fleet.Config
	backends map[string]fleet.Backend
	bounds   fleet.Bounds
	rand     *rand.Rand
	// perSecond is the rate of requests, failing the part of them that servers fail.
	perSecond, failing float64
	nextArrival        core.Time
	nextKey            Key
	// held are the requests that frozen routers have decided to send and that arrive once they wake.
	held map[core.HostID][]sentRequest
	// slowLinks are the longest times that the links of routers delay what they send.
	slowLinks map[core.HostID]time.Duration
	// standing are the servers that stand still, by instance, each with the requests that have reached
	// its host and that it reads once it goes on, also those whose router has left them meanwhile.
	standing map[string][]sentRequest
	// starts numbers the processes of each host.
	starts map[core.HostID]int
	outbox []sentRequest
	// dialFailures are dials across cut connections.
	dialFailures []delivery
	// scheduled are actions of the script, ordered by time.
	scheduled []scheduledAction
	log       *retrybudgettest.Log
	// taken is the number of retries that all routers took from their budgets.
	taken int
}

type sentRequest struct {
	due    core.Time
	router core.HostID
	start  int
	send   Send
	// answers is set once the request has arrived and only its answer is due.
	answers bool
}

type scheduledAction struct {
	at core.Time
	do func()
}

func newRetryFleet(t *testing.T, routers int, seed uint64) *retryFleet {
	f := &retryFleet{
		largeFleet: &largeFleet{
			t: t, now: core.Time(time.Hour), routers: map[core.HostID]*Router{}, loaders: map[core.HostID]*loaderside.Loader{},
			frozen: map[core.HostID]bool{}, cut: map[[2]core.HostID]bool{}, engine: fleet.Report{Models: []fleet.LoadedModel{{Name: "m0"}}},
		},
		config: testConfig(), backends: map[string]fleet.Backend{}, bounds: testBounds(), rand: rand.New(rand.NewPCG(seed, seed)),
		held:   map[core.HostID][]sentRequest{},
		starts: map[core.HostID]int{}, slowLinks: map[core.HostID]time.Duration{}, standing: map[string][]sentRequest{},
	}
	f.bounds.RetryRouters = 0
	f.bounds.RetrySlack = max(50, 3*float64(routers))
	f.log = retrybudgettest.New(retryBounds(f.bounds))
	for i := range f.config.Routes {
		f.config.Routes[i].MaxAttempts = maxRetryAttempts
	}
	w := &fixture{}
	for i := range retryLoaders {
		b := w.server(engineService, i)
		f.backends[b.Instance] = b
		f.hosts = append(f.hosts, loaderName(i))
		f.loaders[loaderName(i)] = loaderside.New(loaderside.Options{Host: loaderName(i)})
	}
	for i := range retryServers {
		b := w.server(plainService, retryLoaders+i)
		f.backends[b.Instance] = b
	}
	for i := range routers {
		f.addRouter(i)
	}
	return f
}

func retryRouterName(i int) core.HostID {
	return core.HostID(fmt.Sprintf("10.0.%d.%d", i/100, i%100+1))
}

// addRouter adds a host and starts its router.
func (f *retryFleet) addRouter(i int) {
	f.names = append(f.names, retryRouterName(i))
	f.start(retryRouterName(i))
}

// start starts the router of a host.
func (f *retryFleet) start(name core.HostID) {
	f.starts[name]++
	f.routers[name] = New(Options{Host: name, Zone: "a", LoaderPort: 7000, Bounds: f.bounds, Seed: f.rand.Uint64()})
	f.router(name, ConfigRead{Config: f.config})
	f.router(name, BackendsRead{Backends: f.backends})
}

// kill ends the router of a host. Its connections are closed.
func (f *retryFleet) kill(name core.HostID) {
	delete(f.routers, name)
	for _, host := range f.hosts {
		f.loader(host, loaderside.RouterDown{Router: name})
	}
}

// restart kills the router of a host and starts it again later.
func (f *retryFleet) restart(name core.HostID, after time.Duration) {
	if f.routers[name] == nil {
		return
	}
	f.kill(name)
	f.at(after, func() { f.start(name) })
}

// isolate cuts a router off from the given loaders, without resetting the connections.
func (f *retryFleet) isolate(name core.HostID, hosts []core.HostID) {
	for _, host := range hosts {
		f.cut[[2]core.HostID{name, host}], f.cut[[2]core.HostID{host, name}] = true, true
	}
	f.at(loaderNotices, func() {
		for _, host := range hosts {
			if f.cut[[2]core.HostID{host, name}] {
				f.loader(host, loaderside.RouterDown{Router: name})
			}
		}
	})
}

// reconnect ends all cuts of a router.
func (f *retryFleet) reconnect(name core.HostID) {
	for _, host := range f.hosts {
		delete(f.cut, [2]core.HostID{name, host})
		delete(f.cut, [2]core.HostID{host, name})
	}
}

// freeze suspends a router, with the requests that it has just decided to send, until it wakes.
func (f *retryFleet) freeze(name core.HostID, lasts time.Duration) {
	if f.routers[name] == nil || f.frozen[name] {
		return
	}
	f.frozen[name] = true
	var others []sentRequest
	for _, s := range f.outbox {
		if s.router == name && !s.answers {
			f.held[name] = append(f.held[name], s)
		} else {
			others = append(others, s)
		}
	}
	f.outbox = others
	f.at(lasts, func() { f.wake(name) })
}

func (f *retryFleet) wake(name core.HostID) {
	f.frozen[name] = false
	for _, s := range f.held[name] {
		s.due = f.now
		f.arriveAtServer(s)
	}
	f.held[name] = nil
}

// standStill suspends servers of the plain service for a time. They are the ones with the lowest numbers.
func (f *retryFleet) standStill(servers int, lasts time.Duration) {
	for i := range servers {
		instance := f.plainInstance(i)
		if _, stands := f.standing[instance]; stands {
			continue
		}
		f.standing[instance] = nil
		f.at(lasts, func() { f.goOn(instance) })
	}
}

// goOn lets a server read what has reached its host while it stood still.
func (f *retryFleet) goOn(instance string) {
	unread := f.standing[instance]
	delete(f.standing, instance)
	for _, s := range unread {
		f.arriveAtServer(s)
	}
}

// plainInstance returns the name of a server of the plain service.
func (f *retryFleet) plainInstance(i int) string {
	return (&fixture{}).server(plainService, retryLoaders+i).Instance
}

// at schedules an action.
func (f *retryFleet) at(after time.Duration, do func()) {
	f.scheduled = append(f.scheduled, scheduledAction{f.now.Add(after), do})
	slices.SortStableFunc(f.scheduled, func(a, b scheduledAction) int { return int(a.at - b.at) })
}

// every repeats an action at an interval for a number of times.
func (f *retryFleet) every(interval time.Duration, times int, do func(i int)) {
	for i := range times {
		f.at(time.Duration(i)*interval, func() { do(i) })
	}
}

func (f *retryFleet) router(name core.HostID, event Event) {
	r := f.routers[name]
	if r == nil || f.frozen[name] {
		return
	}
	start := f.starts[name]
	effects := append([]Effect(nil), r.Step(f.now, event)...)
	for _, effect := range effects {
		switch e := effect.(type) {
		case Dial:
			f.dial(name, e.Loader)
		case Hangup:
			f.loader(e.Loader, loaderside.RouterDown{Router: name})
		case SendDemand:
			f.send(name, e.Loader, e.Demand)
		case RelayDigest:
			f.send(name, e.Loader, e.Digest)
		case Send:
			f.outbox = append(f.outbox, sentRequest{due: f.now.Add(serverLatency + f.delay(name)), router: name, start: start, send: e})
		case Count:
			if e.Name == metricRetries && e.Labels[1] == retrySent {
				f.taken += int(e.Add)
			}
		case Forward:
			f.router(name, Done{Key: e.Key, Attempt: e.Attempt})
		}
	}
}

// delay draws how long the link of a router delays a request.
func (f *retryFleet) delay(name core.HostID) time.Duration {
	return time.Duration(f.rand.Float64() * float64(f.slowLinks[name]))
}

func (f *retryFleet) dial(name, host core.HostID) {
	if f.cut[[2]core.HostID{name, host}] {
		f.dialFailures = append(f.dialFailures, delivery{due: f.now.Add(refusedDialTime), from: host, to: name})
		return
	}
	f.send(name, host, connected{})
	f.send(host, name, connected{})
}

func (f *retryFleet) deliver(d delivery) {
	if f.cut[[2]core.HostID{d.from, d.to}] || f.frozen[d.to] {
		return
	}
	if f.loaders[d.to] != nil {
		f.largeFleet.deliver(d)
		return
	}
	if event := routerEvent(d); event != nil {
		f.router(d.to, event)
	}
}

// play advances by a duration.
func (f *retryFleet) play(d time.Duration) {
	f.nextArrival = max(f.nextArrival, f.now)
	for end := f.now.Add(d); f.now < end; {
		f.now = f.now.Add(time.Millisecond)
		for len(f.scheduled) > 0 && f.scheduled[0].at <= f.now {
			action := f.scheduled[0]
			f.scheduled = f.scheduled[1:]
			action.do()
		}
		for _, next := range takeDue(&f.inFlight, f.now) {
			f.deliver(next)
		}
		for _, failed := range takeDue(&f.dialFailures, f.now) {
			f.router(failed.to, LoaderDown{Loader: failed.from})
		}
		f.serve()
		f.arrive()
		if f.now%core.Time(tickInterval) == 0 {
			f.tickAll()
		}
	}
}

func (f *retryFleet) tickAll() {
	for _, name := range f.names {
		f.router(name, Tick{})
	}
	for _, name := range f.hosts {
		f.loader(name, loaderside.Tick{})
	}
}

// arrive sends the requests of callers to routers that run. A frozen router gets none: its callers
// have found another one.
func (f *retryFleet) arrive() {
	for f.perSecond > 0 && f.nextArrival <= f.now {
		f.nextArrival = f.nextArrival.Add(time.Duration(f.rand.ExpFloat64() / f.perSecond * float64(time.Second)))
		name := f.names[f.rand.IntN(len(f.names))]
		if f.routers[name] == nil || f.frozen[name] {
			continue
		}
		f.nextKey++
		f.log.Request(f.now)
		f.router(name, Arrived{Key: f.nextKey, Request: fleet.Request{ID: fmt.Sprint("r", f.nextKey), Host: callersHost, Path: "/again/x"}})
	}
}

// serve lets requests arrive at servers and answers them.
func (f *retryFleet) serve() {
	due := f.outbox
	f.outbox = nil
	var later []sentRequest
	for _, s := range due {
		if s.due > f.now {
			later = append(later, s)
			continue
		}
		if s.answers {
			f.answer(s)
			continue
		}
		f.arriveAtServer(s)
	}
	f.outbox = append(later, f.outbox...)
}

func (f *retryFleet) arriveAtServer(s sentRequest) {
	if unread, stands := f.standing[s.send.Instance]; stands {
		f.standing[s.send.Instance] = append(unread, s)
		return
	}
	f.log.Arrival(f.now, fmt.Sprint(s.send.Key))
	s.due, s.answers = f.now.Add(serverTime), true
	f.outbox = append(f.outbox, s)
}

func (f *retryFleet) answer(s sentRequest) {
	if f.starts[s.router] != s.start || f.routers[s.router] == nil {
		return
	}
	if f.frozen[s.router] {
		s.due = f.now.Add(serverTime)
		f.outbox = append(f.outbox, s)
		return
	}
	status := 200
	if f.rand.Float64() < f.failing {
		status = 500
	}
	f.router(s.router, Answered{Key: s.send.Key, Attempt: s.send.Attempt, Answer: fleet.Answer{Status: status}})
}

// checkBound fails the test if the retries of any window exceed the bound, or if more arrived than
// were taken.
func (f *retryFleet) checkBound() {
	f.t.Helper()
	worst := f.log.Worst()
	requests, retries := f.log.Total()
	f.t.Logf("%d requests, %d retries arrived of %d taken; worst window: %v", requests, retries, f.taken, worst)
	if retries > f.taken {
		f.t.Errorf("%d retries arrived, %d were taken from budgets", retries, f.taken)
	}
	if worst.Exceeded() {
		f.t.Errorf("bound exceeded: %v", worst)
	}
}
