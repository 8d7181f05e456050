package router

import (
	"fmt"
	"testing"
	"time"

	"nutmeglane.example/nutmeglane/internal/core"
	"nutmeglane.example/nutmeglane/internal/fleet"
	loaderside "nutmeglane.example/nutmeglane/internal/loader"
)

// largeFleet simulates routers and loaders in virtual time, each router connected to each
// loader. A message takes messageTime.
type largeFleet struct {
	t        *testing.T
	now      core.Time
	routers  map[core.HostID]*Router
	loaders  map[core.HostID]*loaderside.Loader
	names    []core.HostID
	hosts    []core.HostID
	engine   fleet.Report
	inFlight []delivery
	// frozen processes neither act nor receive messages, and cut connections lose them.
	frozen map[core.HostID]bool
	cut    map[[2]core.HostID]bool
	// reports counts the reports of loaders to routers, dials the dials after the start.
	reports, dials int
}

type delivery struct {
	due      core.Time
	from, to core.HostID
	message  core.Message
}

const messageTime = 5 * time.Millisecond

func newLargeFleet(t *testing.T, routers, engines int) *largeFleet {
	f := &largeFleet{
		t: t, now: core.Time(time.Hour), routers: map[core.HostID]*Router{}, loaders: map[core.HostID]*loaderside.Loader{},
		frozen: map[core.HostID]bool{}, cut: map[[2]core.HostID]bool{},
		engine: fleet.Report{Models: []fleet.LoadedModel{{Name: "m0"}}, Running: 3, OnDisk: []string{"m1"}},
	}
	w := &fixture{}
	backends := map[string]fleet.Backend{}
	for i := range engines {
		b := w.server(engineService, i)
		backends[b.Instance] = b
		f.hosts = append(f.hosts, loaderName(i))
		f.loaders[loaderName(i)] = loaderside.New(loaderside.Options{Host: loaderName(i)})
	}
	for i := range routers {
		name := core.HostID(fmt.Sprintf("10.0.%d.%d", i/100, i%100+1))
		f.names = append(f.names, name)
		f.routers[name] = New(Options{Host: name, Zone: "a", LoaderPort: 7000, Bounds: testBounds(), Seed: uint64(i + 1)})
		f.router(name, ConfigRead{Config: testConfig()})
		f.router(name, BackendsRead{Backends: backends})
	}
	f.run(5 * time.Second)
	f.reports, f.dials = 0, 0
	return f
}

func (f *largeFleet) send(from, to core.HostID, message core.Message) {
	f.inFlight = append(f.inFlight, delivery{f.now.Add(messageTime), from, to, message})
}

func (f *largeFleet) router(name core.HostID, event Event) {
	for _, effect := range f.routers[name].Step(f.now, event) {
		switch e := effect.(type) {
		case Dial:
			f.dials++
			f.send(name, e.Loader, connected{})
			f.send(e.Loader, name, connected{})
		case SendDemand:
			f.send(name, e.Loader, e.Demand)
		case RelayDigest:
			f.send(name, e.Loader, e.Digest)
		}
	}
}

func (f *largeFleet) loader(name core.HostID, event loaderside.Event) {
	effects := append([]loaderside.Effect(nil), f.loaders[name].Step(f.now, event)...)
	for _, effect := range effects {
		switch e := effect.(type) {
		case loaderside.SendHoldings:
			for _, to := range e.Routers {
				f.reports++
				f.send(name, to, e.Holdings)
			}
		case loaderside.SendCounts:
			for _, to := range e.Routers {
				f.reports++
				f.send(name, to, e.Counts)
			}
		case loaderside.Forward:
			for _, to := range e.Routers {
				f.send(name, to, e.Message)
			}
		case loaderside.RequestSpec:
			f.send(name, e.Router, core.SpecWanted{})
		case loaderside.ReadReport:
			f.loader(name, loaderside.ReportRead{Report: f.engine})
		}
	}
}

// connected reports to a process that a connection is up.
type connected struct{ core.Message }

func (f *largeFleet) deliver(d delivery) {
	if f.frozen[d.from] || f.frozen[d.to] || f.cut[[2]core.HostID{d.from, d.to}] {
		return
	}
	if f.routers[d.to] != nil {
		f.deliverToRouter(d)
		return
	}
	switch m := d.message.(type) {
	case connected:
		f.loader(d.to, loaderside.RouterUp{Router: d.from})
	case core.Demand:
		f.loader(d.to, loaderside.DemandReceived{Router: d.from, Demand: m})
	case core.LoadDigest:
		f.loader(d.to, loaderside.DigestReceived{Router: d.from, Digest: m})
	}
}

func (f *largeFleet) deliverToRouter(d delivery) {
	if event := routerEvent(d); event != nil {
		f.router(d.to, event)
	}
}

// routerEvent returns the event by which a router learns of a loader's message, nil for others.
func routerEvent(d delivery) Event {
	switch m := d.message.(type) {
	case connected:
		return LoaderUp{Loader: d.from}
	case core.Holdings:
		return LoaderReported{Loader: d.from, Holdings: m}
	case core.Counts:
		return LoaderCountsReported{Loader: d.from, Counts: m}
	case core.SpecWanted:
		return LoaderSpecRequested{Loader: d.from}
	case core.LimitReply:
		return LoaderAnsweredLimit{Loader: d.from, Answer: m}
	case core.LoadDigest:
		return DigestReceived{Digest: m}
	}
	return nil
}

// takeDue removes from a queue, which is in the order of time, what is due, and returns it.
func takeDue(queue *[]delivery, now core.Time) []delivery {
	all := *queue
	n := 0
	for n < len(all) && all[n].due <= now {
		n++
	}
	*queue = all[n:]
	return all[:n]
}

func (f *largeFleet) run(d time.Duration) {
	for end := f.now.Add(d); f.now < end; {
		f.now = f.now.Add(messageTime)
		for _, d := range takeDue(&f.inFlight, f.now) {
			f.deliver(d)
		}
		if f.now%core.Time(tickInterval) == 0 {
			f.tick()
		}
	}
}

func (f *largeFleet) tick() {
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
}

// coordinator returns the router that the loaders follow.
func (f *largeFleet) coordinator() core.HostID {
	return f.routers[f.names[len(f.names)-1]].loaders[f.hosts[0]].holdings.Coordinator
}

// unknown counts the pairs of a router and an engine of which the router has no recent
// report.
func (f *largeFleet) unknown() int {
	unknown := 0
	for _, name := range f.names {
		if f.frozen[name] {
			continue
		}
		f.routers[name].now = f.now
		for _, b := range f.routers[name].serversOf(engineService) {
			if f.routers[name].holdings(b) == nil {
				unknown++
			}
		}
	}
	return unknown
}

const (
	manyRouters = 140
	fewEngines  = 12
)

// Guards against reports that grow with the product of routers and engines while nothing
// changes, and against routers that have less information as a result.
func TestDigestsReplaceHeartbeats(t *testing.T) {
	f := newLargeFleet(t, manyRouters, fewEngines)
	const seconds = 8
	f.run(seconds * time.Second)
	if perSecond := f.reports / seconds; perSecond > 3*fewEngines {
		t.Errorf("%d reports a second from %d loaders", perSecond, fewEngines)
	}
	if n := f.unknown(); n > 0 || f.dials > 0 {
		t.Errorf("%d engines unknown somewhere, %d dials", n, f.dials)
	}
}

// Guards against counts that are seconds old in a large fleet: all routers must receive
// within half a second that an engine has filled up.
func TestDigestsDeliverCounts(t *testing.T) {
	f := newLargeFleet(t, manyRouters, fewEngines)
	f.engine.Running = 40
	f.run(busyReadTime + 2*digestInterval + 4*messageTime)
	for _, name := range f.names {
		if got := f.routers[name].loaders[f.hosts[3]].holdings.Running; got != 40 {
			t.Fatalf("%s has a count of %d requests", name, got)
		}
	}
}

// busyReadTime is how often a loader reads its engine's report under load.
const busyReadTime = 100 * time.Millisecond

// Guards against a fleet without information on its engines because the router that sends
// the digests is frozen, with its connections open.
func TestFrozenCoordinatorIsReplacedByDirectReports(t *testing.T) {
	f := newLargeFleet(t, manyRouters, fewEngines)
	frozen := f.coordinator()
	f.frozen[frozen] = true
	for range 40 {
		f.run(250 * time.Millisecond)
		if n := f.unknown(); n > 0 {
			t.Fatalf("%d engines unknown somewhere", n)
		}
	}
	f.frozen[frozen] = false
	f.run(10 * time.Second) // the loaders follow it again once it has been back for some time
	f.reports = 0
	f.run(2 * time.Second)
	if f.reports > 2*3*fewEngines {
		t.Errorf("%d reports in 2 s after the coordinator is back", f.reports)
	}
}

// Guards against an engine that is considered alive because of digests that do not cover
// it: its loader is frozen.
func TestSilentLoaderIsNotConsideredAlive(t *testing.T) {
	f := newLargeFleet(t, manyRouters, fewEngines)
	f.frozen[f.hosts[5]] = true
	f.run(digestSilent + holdingsMaxAge + 2*digestInterval)
	if n := f.unknown(); n != manyRouters {
		t.Errorf("%d routers lack a report of a frozen loader, want %d", n, manyRouters)
	}
}

// Guards against a request that waits at a loader that never receives it: the connection
// lost one direction, while digests report that the loader is alive.
func TestSilentConnectionIsDialledAgainWhereSomethingWaits(t *testing.T) {
	f := newLargeFleet(t, manyRouters, fewEngines)
	name := f.names[70]
	f.cut[[2]core.HostID{f.hosts[0], name}] = true
	f.run(5 * time.Second)
	if f.dials > 0 {
		t.Fatalf("%d dials while nothing waits", f.dials)
	}
	f.router(name, Arrived{Key: 1, Request: fleet.Request{ID: "r", Host: callersHost, Path: "/patient/x", Prompt: prompt("m1")}})
	for host, l := range f.routers[name].loaders {
		f.cut[[2]core.HostID{host, name}] = len(l.lastDemand.Wants) > 0
	}
	f.run(holdingsMaxAge + 2*demandInterval)
	if f.dials == 0 {
		t.Error("the loader is not dialled again")
	}
}
