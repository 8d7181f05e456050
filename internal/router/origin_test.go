package router

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"nutmeglane.example/nutmeglane/internal/code"
	"nutmeglane.example/nutmeglane/internal/core"
	"nutmeglane.example/nutmeglane/internal/fleet"
	"nutmeglane.example/nutmeglane/internal/origin"
)

// takeUp sends a request that takes up the stream that a request began.
func (w *fixture) takeUp(route, began string) Key {
	w.t.Helper()
	w.nextID++
	key := Key(w.nextID)
	w.step(Arrived{Key: key, Request: fleet.Request{
		ID: fmt.Sprintf("r%d", w.nextID), Host: callersHost, Path: "/" + route + "/x", Prompt: prompt("m0"),
		Resumption: fleet.Resumption{State: fleet.ResumptionValid, Stream: began},
	}})
	return key
}

// reply answers all questions for the origin of a request's stream.
func (w *fixture) reply(key Key, state origin.State, release string) {
	w.t.Helper()
	for _, query := range w.originQueries {
		if query.Query.RequestID == uint64(key) {
			w.step(LoaderAnsweredOrigin{Loader: query.Loader, Answer: core.OriginReply{
				RequestID: uint64(key), State: uint8(state), Release: release,
			}})
		}
	}
}

// keepers makes all loaders of a fixture keep origins.
func (w *fixture) keepers(n int) {
	w.t.Helper()
	for i := range n {
		w.reportEngine(i, core.Holdings{Models: loadedModels("m0"), KeepsOrigins: true})
	}
}

func (w *fixture) refusal(key Key) code.Code { return w.finishes[key].Code }

// While all servers have one release, each stream began there: no loader is told, and a router's
// own stream needs no question.
func TestOneReleaseIsNotTold(t *testing.T) {
	w := newFixture(t)
	w.releases(nil, v1, v1)
	w.keepers(2)
	w.run(time.Second)
	key, first := w.begin("patient")
	w.step(FirstEvent{Key: key, Attempt: first.Attempt})
	next := w.takeUp("patient", "r1")
	if w.lastSend(next).Attempt != 1 || len(w.origins)+len(w.originQueries)+len(w.releaseNotes) != 0 {
		t.Errorf("told %v, asked %v, noted %v", w.origins, w.originQueries, w.releaseNotes)
	}
	if req := w.router.requests[next]; !req.bound || req.release != v1 {
		t.Errorf("bound %t to %v", req.bound, req.release)
	}
}

// Guards against a stream that a caller takes up at another release after its router was lost.
func TestTakenUpStreamContinuesAtItsRelease(t *testing.T) {
	for _, began := range []fleet.Release{v1, v2} {
		for range 10 {
			w := newFixture(t)
			w.releases(nil, v1, v2, v1, v2)
			w.keepers(4)
			w.run(100 * time.Millisecond)
			key := w.takeUp("patient", "elsewhere")
			if len(w.sends[key]) != 0 || len(w.originQueries) != originsAsked {
				t.Fatalf("sent %d times, asked %d loaders", len(w.sends[key]), len(w.originQueries))
			}
			w.reply(key, origin.Known, began.Name)
			if got := w.releaseOf(w.lastSend(key).Instance); got != began {
				t.Fatalf("sent to %v, began at %v", got, began)
			}
		}
	}
}

// What is not known must not be joined: the try is refused at once, as not run.
func TestUnknownOriginIsRefused(t *testing.T) {
	tests := []struct {
		name  string
		state origin.State
		ends  func(w *fixture, key Key)
	}{
		{"unknown to all", origin.Unknown, nil},
		{"an id used for two streams", origin.Ambiguous, nil},
		{"no answer", origin.Unknown, func(w *fixture, _ Key) { w.run(originTimeout + tickInterval) }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			w := newFixture(t)
			w.releases(nil, v1, v2)
			w.keepers(2)
			w.run(100 * time.Millisecond)
			key := w.takeUp("patient", "never")
			if test.ends != nil {
				test.ends(w, key)
			} else {
				w.reply(key, test.state, "")
			}
			if end := w.finishes[key]; end.Code != code.UnknownOrigin || !end.Code.NotRun() || end.RetryAfter <= 0 || len(w.sends[key]) != 0 {
				t.Errorf("ended with %+v", end)
			}
		})
	}
	t.Run("a caller who does not tell", func(t *testing.T) {
		w := newFixture(t)
		w.releases(nil, v1, v2)
		w.keepers(2)
		if key := w.takeUp("patient", ""); w.refusal(key) != code.UnknownOrigin {
			t.Errorf("ended with %+v", w.finishes[key])
		}
	})
}

// A caller whose stream's release has no server any more is told so at once, and not held for one.
func TestTakenUpStreamOfAGoneReleaseIsRefused(t *testing.T) {
	w := newFixture(t)
	w.releases(nil, v1, v2)
	w.keepers(2)
	w.run(100 * time.Millisecond)
	w.step(BackendsChanged{Removed: map[string]bool{"s0": true}})
	w.run(100 * time.Millisecond)
	key := w.takeUp("patient", "elsewhere")
	w.reply(key, origin.Known, "v1")
	if end := w.finishes[key]; end.Code != code.ReleaseGone || end.RetryAfter <= 0 {
		t.Errorf("ended with %+v", end)
	}
}

// Guards against a stream of a release whose last server has just left: it must not be taken for
// one of the release that remains.
func TestGoneReleaseStaysInDoubt(t *testing.T) {
	w := newFixture(t)
	w.releases(nil, v1, v2)
	w.keepers(2)
	w.run(100 * time.Millisecond)
	w.step(BackendsChanged{Removed: map[string]bool{"s0": true}})
	life := w.router.streamLives[engineService]
	w.run(life - time.Second)
	if _, only := w.router.onlyRelease(engineService); only {
		t.Error("one release counts before the last streams of the other have ended")
	}
	w.run(2 * time.Second)
	if release, only := w.router.onlyRelease(engineService); !only || release != v2 {
		t.Errorf("after the last streams: %v, %t", release, only)
	}
}

// Guards against a router that starts after the last server of a release has left and takes that
// release's streams for those of the release that it sees.
func TestStartingRouterLearnsOfSeveralReleases(t *testing.T) {
	before := newFixture(t)
	before.releases(nil, v1, v2)
	for i := range 2 {
		before.reportHoldings(i, core.Holdings{Models: loadedModels("m0"), KeepsOrigins: true})
	}
	before.run(100 * time.Millisecond)
	if len(before.releaseNotes) != 1 {
		t.Fatalf("notes %+v", before.releaseNotes)
	}
	w := newFixture(t)
	w.step(ReleasesNoted{Notes: before.releaseNotes})
	w.releases(nil, v2, v2)
	w.keepers(2)
	key := w.takeUp("patient", "began at v1")
	w.reply(key, origin.Unknown, "")
	if w.refusal(key) != code.UnknownOrigin {
		t.Errorf("sent %v, ended with %+v", w.sends[key], w.finishes[key])
	}
	w.run(before.releaseNotes[0].Lasts)
	w.keepers(2)
	next := w.takeUp("patient", "began at v2")
	w.reply(next, origin.Unknown, "")
	if len(w.sends[next]) != 1 {
		t.Errorf("not sent once the note is over: %+v", w.finishes[next])
	}
}

// Guards against a note on several releases whose lease has ended while the store was away, or that a
// restored copy of the store lacks: routers that start then would not learn of them.
func TestReleaseNoteIsWrittenAgainOnceTheStoreIsBack(t *testing.T) {
	returns := map[string][]Event{
		"after an outage": {StoreState{Reachable: false}, StoreState{Reachable: true}},
		"as a copy":       {StoreRestored{}},
	}
	for name, events := range returns {
		t.Run(name, func(t *testing.T) {
			w := newFixture(t)
			w.releases(nil, v1, v2)
			for i := range 2 {
				w.reportHoldings(i, core.Holdings{Models: loadedModels("m0"), KeepsOrigins: true})
			}
			w.run(time.Second)
			if len(w.releaseNotes) != 1 {
				t.Fatalf("notes %+v", w.releaseNotes)
			}
			for _, event := range events {
				w.step(event)
			}
			w.run(time.Second)
			if len(w.releaseNotes) != 2 {
				t.Errorf("%d notes, want 2", len(w.releaseNotes))
			}
		})
	}
}

// Guards against a router that was frozen, or cut off from the registry, and continues the stream
// of a release that it has not seen at the only one that it knows.
func TestLoadersAreAskedIfOneReleaseIsKnown(t *testing.T) {
	tests := []struct {
		name    string
		answers int
		state   origin.State
		release string
		want    code.Code
	}{
		{"all were told nothing", originsAsked, origin.Unknown, "", code.OK},
		{"one does not answer", originsAsked - 1, origin.Unknown, "", code.OK},
		{"two do not answer", originsAsked - 2, origin.Unknown, "", code.UnknownOrigin},
		{"none answers", 0, origin.Unknown, "", code.UnknownOrigin},
		{"it began at a release that is not known here", 1, origin.Known, "v2", code.ReleaseGone},
		{"it began at this release", 1, origin.Known, "v1", code.OK},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			w := newFixture(t)
			w.releases(nil, v1, v1, v1, v1)
			w.keepers(4)
			key := w.takeUp("patient", "elsewhere")
			for _, query := range w.originQueries[:test.answers] {
				w.step(LoaderAnsweredOrigin{Loader: query.Loader, Answer: core.OriginReply{
					RequestID: uint64(key), State: uint8(test.state), Release: test.release,
				}})
			}
			w.run(originTimeout + tickInterval)
			if got := w.refusal(key); got != test.want || (got == code.OK) != (len(w.sends[key]) == 1) {
				t.Errorf("ended with %v, sent %d times", got, len(w.sends[key]))
			}
		})
	}
}

// Guards against streams that nobody knows because they began before a second release appeared.
func TestOriginsAreToldOnceASecondReleaseAppears(t *testing.T) {
	w := newFixture(t)
	w.releases(nil, v1, v1, v1)
	w.keepers(3)
	w.run(100 * time.Millisecond)
	key, first := w.begin("patient")
	w.step(FirstEvent{Key: key, Attempt: first.Attempt})
	if len(w.origins) != 0 {
		t.Fatalf("told %v", w.origins)
	}
	b := w.server(engineService, 3)
	b.Release = v2
	w.step(BackendsChanged{Written: map[string]fleet.Backend{"s3": b}})
	w.run(tickInterval)
	told := map[core.HostID]bool{}
	for _, e := range w.origins {
		for _, o := range e.News.Origins {
			if o.Stream == origin.NewStream("r1", "patient", engineService, "").Request && o.Release == "v1" {
				told[e.Loader] = true
			}
		}
	}
	if len(told) != originKeepers {
		t.Errorf("told loaders %v", told)
	}
}

// While there are several releases, the origin of a stream is told before its first event is
// forwarded: the router may be killed right after it.
func TestOriginIsToldWithTheFirstEvent(t *testing.T) {
	w := newFixture(t)
	w.releases(nil, v1, v2, v1)
	w.keepers(3)
	w.run(100 * time.Millisecond)
	key, first := w.begin("patient")
	w.step(FirstEvent{Key: key, Attempt: first.Attempt})
	if len(w.origins) != originKeepers || w.origins[0].News.Origins[0].Release != w.releaseOf(first.Instance).Name {
		t.Errorf("told %+v", w.origins)
	}
	keepers := w.router.originLoaders(origin.NewStream("r1", "patient", engineService, ""), originsAsked)
	for _, e := range w.origins {
		if !slices.ContainsFunc(keepers, func(l *loader) bool { return l.name == e.Loader }) {
			t.Errorf("%s was told and would not be asked", e.Loader)
		}
	}
}

// A loader of an older build can't decode the messages, and would close its connections.
func TestOlderLoadersAreNotTold(t *testing.T) {
	w := newFixture(t)
	w.releases(nil, v1, v2)
	w.run(100 * time.Millisecond)
	key, first := w.begin("patient")
	w.step(FirstEvent{Key: key, Attempt: first.Attempt})
	next := w.takeUp("patient", "elsewhere")
	if len(w.origins)+len(w.originQueries) != 0 || w.refusal(next) != code.UnknownOrigin {
		t.Errorf("told %v, asked %v, ended with %+v", w.origins, w.originQueries, w.finishes[next])
	}
	one := newFixture(t)
	one.releases(nil, v1, v1)
	one.step(RegistryConfirmed{AsOf: one.now})
	if key := one.takeUp("patient", "elsewhere"); len(one.sends[key]) != 1 {
		t.Errorf("with one release: %+v", one.finishes[key])
	}
}

// A router that began a stream itself needs no loader to continue it.
func TestOwnStreamIsTakenUpWithoutLoaders(t *testing.T) {
	w := newFixture(t)
	w.releases(nil, v1, v2, v1, v2)
	w.run(100 * time.Millisecond)
	key, first := w.begin("patient")
	w.step(FirstEvent{Key: key, Attempt: first.Attempt})
	next := w.takeUp("patient", "r1")
	if got := w.releaseOf(w.lastSend(next).Instance); got != w.releaseOf(first.Instance) {
		t.Errorf("sent to %v, began at %v", got, w.releaseOf(first.Instance))
	}
}

// Each malformed or impossible statement of the stream to take up has one outcome.
func TestMalformedResumptionIsRefused(t *testing.T) {
	tests := []struct {
		name, route string
		resumption  fleet.Resumption
		want        code.Code
	}{
		{"malformed", "patient", fleet.Resumption{State: fleet.ResumptionMalformed, Problem: "x"}, code.BadResumption},
		{"a route that can't be resumed", "quick", fleet.Resumption{State: fleet.ResumptionValid, Stream: "r9"}, code.BadResumption},
		{"no stream", "again", fleet.Resumption{State: fleet.ResumptionMalformed, Problem: "x"}, code.OK},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			w := newFixture(t)
			w.releases(nil, v1, v1)
			list := map[string]fleet.Backend{"p0": {
				Incarnation: fleet.Incarnation{Instance: "p0"}, Service: plainService, Zone: "a", Slots: 6, Address: "10.7.0.1:1", Release: v1,
			}}
			w.step(BackendsChanged{Written: list})
			w.step(Arrived{Key: 50, Request: fleet.Request{ID: "r50", Host: callersHost, Path: "/" + test.route + "/x", Prompt: nil, Resumption: test.resumption}})
			if got := w.finishes[50].Code; got != test.want {
				t.Errorf("ended with %v, want %v", got, test.want)
			}
		})
	}
}

// A stream of a route with several services is taken up at the service that began it.
func TestTakenUpStreamStaysAtItsService(t *testing.T) {
	route := &fleet.Route{Targets: []fleet.Target{{Service: "a", Weight: 50}, {Service: "b", Weight: 50}}}
	for i := range 100 {
		began := fleet.Request{ID: fmt.Sprint("r", i)}
		next := fleet.Request{ID: fmt.Sprint("next", i), Resumption: fleet.Resumption{State: fleet.ResumptionValid, Stream: began.ID}}
		if target(route, began.StreamID()) != target(route, next.StreamID()) {
			t.Fatalf("stream %d changed its service", i)
		}
	}
}

// Guards against callers who lose their streams when all processes start again: while no loader has
// reported yet, a registry that was read just now tells which releases there are.
func TestStreamIsTakenUpBeforeLoadersReport(t *testing.T) {
	for age, want := range map[time.Duration]code.Code{0: code.OK, 2 * freshRegistry: code.UnknownOrigin} {
		w := newFixture(t)
		w.step(StoreState{Reachable: true})
		list := map[string]fleet.Backend{}
		for i := range 2 {
			b := w.server(engineService, i)
			b.Models = []fleet.LoadedModel{{Name: "m0"}}
			list[b.Instance] = b
		}
		w.step(BackendsRead{Backends: list})
		w.now = w.now.Add(age)
		key := w.takeUp("patient", "elsewhere")
		w.step(RegistryConfirmed{AsOf: w.now})
		if got := w.refusal(key); got != want || got == code.OK && !w.router.requests[key].bound {
			t.Errorf("%v after the registry was read: ended with %v, want %v, or not bound", age, got, want)
		}
	}
}

// Guards against streams that are refused once the loaders that kept their releases have restarted,
// one after the other, although the router that began them is there to tell again.
func TestRestartedLoadersAreToldOriginsAgain(t *testing.T) {
	w := newFixture(t)
	w.releases(nil, v1, v2)
	w.keepers(2)
	w.run(100 * time.Millisecond)
	key, first := w.begin("patient")
	w.step(FirstEvent{Key: key, Attempt: first.Attempt})
	for i := range 2 {
		w.origins = nil
		w.step(LoaderDown{Loader: loaderName(i)})
		w.step(LoaderUp{Loader: loaderName(i)})
		w.reportEngine(i, core.Holdings{Models: loadedModels("m0"), KeepsOrigins: true})
		w.reportEngine(i, core.Holdings{Models: loadedModels("m0"), KeepsOrigins: true})
		told := 0
		for _, e := range w.origins {
			if e.Loader == loaderName(i) {
				told += len(e.News.Origins)
			}
		}
		if told != 1 {
			t.Errorf("loader %d was told %d origins after its restart, want 1", i, told)
		}
	}
}
