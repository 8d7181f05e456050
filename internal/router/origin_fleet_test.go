package router

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"nutmeglane.example/nutmeglane/internal/core"
	"nutmeglane.example/nutmeglane/internal/fleet"
	loaders "nutmeglane.example/nutmeglane/internal/loader"
)

// This file plays random histories of several routers and loaders, in which streams begin and
// are taken up while releases change and processes are lost, and checks that no stream is
// joined from two releases.

// originFleet is routers and loaders whose messages about origins pass through queues that a
// history delivers, loses, or delays.
type originFleet struct {
	t   *rapid.T
	now core.Time
	// service, route and config are what streams are requested of. A plain service has no loaders.
	service, route string
	config         *fleet.Config
	routers        []*originRouter
	loaders        map[core.HostID]*loaders.Loader
	// servers is the registry, releases the releases of all servers there ever were.
	servers  map[string]fleet.Backend
	releases map[string]fleet.Release
	// notes are the notes in the store, with the times at which they end.
	notes map[string]storedNote
	// began is the release of each stream's first event, by request id.
	began map[string]fleet.Release
	next  int
	// taken and joined count the tries that take a stream up, by outcome.
	taken, continued, refused int
}

type storedNote struct {
	note core.ReleaseNote
	ends core.Time
}

// originRouter is a router process with its queues of messages, to and from loaders.
type originRouter struct {
	router *Router
	toward []AskOrigin
	back   []LoaderAnsweredOrigin
	// open are the requests whose stream may begin, by key, with their last attempt.
	open map[Key]originCall
}

type originCall struct {
	id, began string
	send      Send
}

func newOriginFleet(t *rapid.T, routers, engines int) *originFleet {
	return newOriginFleetOf(t, engineService, "patient", testConfig(), routers, engines)
}

func newOriginFleetOf(t *rapid.T, service, route string, config *fleet.Config, routers, engines int) *originFleet {
	f := &originFleet{
		t: t, now: core.Time(time.Hour), service: service, route: route, config: config, loaders: map[core.HostID]*loaders.Loader{}, servers: map[string]fleet.Backend{}, releases: map[string]fleet.Release{},
		notes: map[string]storedNote{}, began: map[string]fleet.Release{},
	}
	for i := range engines {
		f.addServer(i, v1)
	}
	for range routers {
		f.routers = append(f.routers, f.startRouter())
	}
	return f
}

func (f *originFleet) addServer(i int, release fleet.Release) {
	instance := fmt.Sprintf("s%d-%s-%d", i, release.Name, f.next)
	f.next++
	f.releases[instance] = release
	f.servers[instance] = fleet.Backend{
		Incarnation: fleet.Incarnation{Instance: instance}, Service: f.service, Zone: "a", Slots: 64,
		Address: fmt.Sprintf("%s:%d", loaderName(i), 8000+f.next), Release: release,
	}
	if f.service == engineService && f.loaders[loaderName(i)] == nil {
		f.loaders[loaderName(i)] = loaders.New(loaders.Options{Host: loaderName(i)})
	}
}

// startRouter starts a router, which reads the store and connects to all loaders.
func (f *originFleet) startRouter() *originRouter {
	p := f.startUnconnected()
	if f.service == engineService {
		f.connect(p)
	}
	return p
}

// startUnconnected starts a router, which reads the store and has reached no loader yet.
func (f *originFleet) startUnconnected() *originRouter {
	p := &originRouter{open: map[Key]originCall{}}
	p.router = New(Options{Host: "10.0.0.1", Zone: "a", LoaderPort: 7000, Bounds: testBounds(), Seed: 1})
	f.step(p, ConfigRead{Config: f.config})
	var notes []core.ReleaseNote
	for _, name := range slices.Sorted(maps.Keys(f.notes)) {
		if stored := f.notes[name]; f.now < stored.ends {
			notes = append(notes, stored.note)
		}
	}
	f.step(p, ReleasesNoted{Notes: notes})
	f.step(p, BackendsRead{Backends: maps.Clone(f.servers)})
	return p
}

// killAllRouters replaces all routers by new processes, which have read the store and reached no loader.
func (f *originFleet) killAllRouters() {
	for i := range f.routers {
		f.routers[i] = f.startUnconnected()
		f.step(f.routers[i], StoreState{Reachable: true})
	}
}

// connect connects a router to all loaders, whose engines have the model.
func (f *originFleet) connect(p *originRouter) {
	for _, instance := range slices.Sorted(maps.Keys(f.servers)) {
		f.connectOne(p, instance)
	}
}

// connectOne connects a router to the loader beside a server.
func (f *originFleet) connectOne(p *originRouter, instance string) {
	b := f.servers[instance]
	name := core.HostID(b.Address[:len(b.Address)-5])
	f.step(p, LoaderUp{Loader: name})
	f.step(p, LoaderReported{Loader: name, Holdings: core.Holdings{
		Instance: instance, Models: loadedModels("m0"), KeepsOrigins: true, Routers: len(f.routers), Coordinator: "10.0.0.1",
	}})
}

func (f *originFleet) step(p *originRouter, event Event) {
	for _, effect := range p.router.Step(f.now, event) {
		switch e := effect.(type) {
		case TellOrigins:
			// A message that was handed to the kernel outlasts its sender.
			f.loaders[e.Loader].Step(f.now, loaders.OriginsTold{News: e.News})
		case AskOrigin:
			p.toward = append(p.toward, e)
		case PublishReleases:
			f.notes[e.Note.Service] = storedNote{e.Note, f.now.Add(e.Note.Lasts)}
		case Send:
			if call, ok := p.open[e.Key]; ok {
				call.send = e
				p.open[e.Key] = call
			}
		case Finish:
			if call := p.open[e.Key]; call.began != "" {
				f.refused++
			}
			delete(p.open, e.Key)
		}
	}
}

// call sends a request to a router. It takes up the stream that a request began, unless that is
// "".
func (f *originFleet) call(p *originRouter, began string) {
	f.next++
	id, key := fmt.Sprint("r", f.next), Key(f.next)
	request := fleet.Request{ID: id, Host: callersHost, Path: "/" + f.route + "/x", Prompt: prompt("m0")}
	if began != "" {
		f.taken++
		request.Resumption = fleet.Resumption{State: fleet.ResumptionValid, Stream: began}
	}
	p.open[key] = originCall{id: id, began: began}
	f.step(p, Arrived{Key: key, Request: request})
}

// event lets the server of an open request send its first event.
func (f *originFleet) event(p *originRouter, key Key) {
	call := p.open[key]
	delete(p.open, key)
	if call.send.Instance == "" {
		return
	}
	release := f.releases[call.send.Instance]
	f.step(p, Answered{Key: key, Attempt: call.send.Attempt, Answer: fleet.Answer{Status: 200}})
	f.step(p, FirstEvent{Key: key, Attempt: call.send.Attempt})
	if call.began == "" {
		f.began[call.id] = release
		return
	}
	f.continued++
	if began := f.began[call.began]; began != release {
		f.t.Fatalf("stream %s began at %v and goes on at %v", call.began, began, release)
	}
}

// deliver passes the oldest message of a router to its loader, or one answer back.
func (f *originFleet) deliver(p *originRouter) {
	if len(p.back) > 0 {
		answer := p.back[0]
		p.back = p.back[1:]
		f.step(p, answer)
		return
	}
	if len(p.toward) == 0 {
		return
	}
	ask := p.toward[0]
	p.toward = p.toward[1:]
	for _, effect := range f.loaders[ask.Loader].Step(f.now, loaders.OriginAsked{Router: "r", Query: ask.Query}) {
		if forward, ok := effect.(loaders.Forward); ok {
			p.back = append(p.back, LoaderAnsweredOrigin{Loader: ask.Loader, Answer: forward.Message.(core.OriginReply)})
		}
	}
}

// settle delivers all messages and lets time pass.
func (f *originFleet) settle(d time.Duration) {
	for _, p := range f.routers {
		for len(p.toward)+len(p.back) > 0 {
			f.deliver(p)
		}
	}
	for end := f.now.Add(d); f.now < end; {
		f.now = f.now.Add(tickInterval)
		for _, p := range f.routers {
			f.step(p, Tick{})
		}
	}
}

// readStore lets a router see the registry.
func (f *originFleet) readStore(p *originRouter) {
	f.step(p, BackendsRead{Backends: maps.Clone(f.servers)})
	f.connect(p)
}

// replaceServer replaces a server by one of another release, as a release in steps does.
func (f *originFleet) replaceServer(i int, release fleet.Release) {
	for instance, b := range f.servers {
		if b.Address[:len(b.Address)-5] == string(loaderName(i)) {
			delete(f.servers, instance)
		}
	}
	f.addServer(i, release)
}

// streamActions are the actions of histories in which streams begin, are taken up and go on at routers
// that are drawn.
func (f *originFleet) streamActions(router func() *originRouter) map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"begin": func(*rapid.T) { f.call(router(), "") },
		"take up": func(t *rapid.T) {
			if ids := slices.Sorted(maps.Keys(f.began)); len(ids) > 0 {
				f.call(router(), rapid.SampledFrom(ids).Draw(t, "stream"))
			}
		},
		"event": func(t *rapid.T) {
			p := router()
			if keys := slices.Sorted(maps.Keys(p.open)); len(keys) > 0 {
				f.event(p, rapid.SampledFrom(keys).Draw(t, "key"))
			}
		},
		"pass time": func(t *rapid.T) { f.settle(time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond) },
	}
}

// Guards against answers joined from two releases. Any router may be killed, answers may be lost or
// late, all routers but one may have seen any older state of the registry, and one loader of four
// may lose what it was told, again and again.
func TestStreamsAreNeverJoinedFromTwoReleases(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const engines = 4
		f := newOriginFleet(t, 2, engines)
		router := func() *originRouter { return rapid.SampledFrom(f.routers).Draw(t, "router") }
		actions := f.streamActions(router)
		maps.Copy(actions, map[string]func(*rapid.T){
			"deliver": func(*rapid.T) { f.deliver(router()) },
			"lose messages": func(*rapid.T) {
				p := router()
				p.toward, p.back = nil, nil
			},
			"kill a router": func(t *rapid.T) {
				f.routers[rapid.IntRange(0, len(f.routers)-1).Draw(t, "which")] = f.startRouter()
			},
			"kill a loader": func(*rapid.T) { f.loaders[loaderName(0)] = loaders.New(loaders.Options{Host: loaderName(0)}) },
			"replace a server": func(t *rapid.T) {
				f.replaceServer(rapid.IntRange(0, engines-1).Draw(t, "which"), rapid.SampledFrom([]fleet.Release{v1, v2}).Draw(t, "release"))
				f.readStore(f.routers[0])
				f.settle(tickInterval)
			},
			"read the store": func(*rapid.T) { f.readStore(router()) },
		})
		t.Repeat(actions)
	})
}

// While two releases serve and all processes are well, each stream that is taken up goes on.
func TestTakenUpStreamsGoOnWhereAllIsWell(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newOriginFleet(t, 3, 4)
		f.replaceServer(0, v2)
		f.replaceServer(1, v2)
		for _, p := range f.routers {
			f.readStore(p)
		}
		f.settle(100 * time.Millisecond)
		for range 20 {
			p, next := rapid.SampledFrom(f.routers).Draw(t, "router"), rapid.SampledFrom(f.routers).Draw(t, "next")
			f.call(p, "")
			f.event(p, Key(f.next))
			id := fmt.Sprint("r", f.next)
			f.settle(0)
			f.call(next, id)
			f.settle(0)
			f.event(next, Key(f.next))
		}
		if f.continued != f.taken || f.refused != 0 {
			t.Fatalf("%d of %d went on, %d were refused", f.continued, f.taken, f.refused)
		}
	})
}

// beginStreams begins streams at routers that are drawn.
func (f *originFleet) beginStreams(t *rapid.T, count int) {
	for range count {
		p := f.routers[rapid.IntRange(0, len(f.routers)-1).Draw(t, "router")]
		f.call(p, "")
		f.event(p, Key(f.next))
	}
}

// readAll lets all routers see the registry and connect to new loaders.
func (f *originFleet) readAll() {
	for _, p := range f.routers {
		f.readStore(p)
	}
	f.settle(100 * time.Millisecond)
}

// Guards against answers joined from two releases when all routers are killed at once after the last
// server of a release has left: they know its streams from loaders alone, which they reach one after
// the other, and the note in the store may be gone.
func TestStreamsAreNotJoinedAfterAllRoutersWereKilled(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const engines = 6
		f := newOriginFleet(t, 3, engines)
		f.replaceServer(0, v2)
		f.readAll()
		f.beginStreams(t, 20)
		for i := 1; i < engines; i++ {
			f.replaceServer(i, v2)
		}
		f.readAll()
		if rapid.Bool().Draw(t, "the note is lost") {
			clear(f.notes)
		}
		f.killAllRouters()
		router := func() *originRouter { return f.routers[rapid.IntRange(0, len(f.routers)-1).Draw(t, "router")] }
		t.Repeat(map[string]func(*rapid.T){
			"connect": func(t *rapid.T) {
				f.connectOne(router(), rapid.SampledFrom(slices.Sorted(maps.Keys(f.servers))).Draw(t, "server"))
			},
			"take up": func(t *rapid.T) {
				f.call(router(), rapid.SampledFrom(slices.Sorted(maps.Keys(f.began))).Draw(t, "stream"))
			},
			"event": func(t *rapid.T) {
				p := router()
				if keys := slices.Sorted(maps.Keys(p.open)); len(keys) > 0 {
					f.event(p, rapid.SampledFrom(keys).Draw(t, "key"))
				}
			},
			"deliver":   func(*rapid.T) { f.deliver(router()) },
			"pass time": func(t *rapid.T) { f.settle(time.Duration(rapid.IntRange(0, 60).Draw(t, "ms")) * time.Millisecond) },
		})
	})
}

// Guards against streams that are lost with all routers although loaders know where they began, or
// although there was one release all the time. The callers come back before the loaders connect.
func TestTakenUpStreamsGoOnAfterAllRoutersWereKilled(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newOriginFleet(t, 3, 4)
		if rapid.Bool().Draw(t, "two releases") {
			f.replaceServer(0, v2)
			f.replaceServer(1, v2)
			f.readAll()
		}
		f.beginStreams(t, 10)
		f.killAllRouters()
		for _, id := range slices.Sorted(maps.Keys(f.began)) {
			f.call(f.routers[rapid.IntRange(0, 2).Draw(t, "next")], id)
		}
		f.settle(100 * time.Millisecond)
		for _, p := range f.routers {
			f.connect(p)
		}
		f.settle(100 * time.Millisecond)
		f.settle(0)
		for _, p := range f.routers {
			for _, key := range slices.Sorted(maps.Keys(p.open)) {
				f.event(p, key)
			}
		}
		if f.continued != f.taken || f.refused != 0 {
			t.Fatalf("%d of %d went on, %d were refused", f.continued, f.taken, f.refused)
		}
	})
}
