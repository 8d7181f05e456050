package router

import (
	"fmt"
	"testing"
	"time"

	"nutmeglane.example/nutmeglane/internal/code"
	"nutmeglane.example/nutmeglane/internal/core"
	"nutmeglane.example/nutmeglane/internal/poison"
)

// poisonWork is the fingerprint of the request that crashes servers.
const poisonWork core.Fingerprint = 0xbad

// crashUnder lets an engine end under an attempt of a request, and its loader find it
// gone.
func (w *world) crashUnder(key Key) {
	w.t.Helper()
	engine := w.lastSend(key).Instance
	w.closed(key)
	w.loaderFindsGone(engine)
}

func (w *world) loaderFindsGone(engine string) {
	w.t.Helper()
	for name, l := range w.router.loaders {
		if b := w.router.engineAt(l); b != nil && b.Instance == engine {
			w.step(LoaderSaid{Loader: name, Holdings: core.Holdings{Instance: engine, Ended: true, Routers: 1}})
			return
		}
	}
	w.t.Fatalf("%s has no loader", engine)
}

// engines is a router beside n engines with m1 loaded, whose loaders are connected.
func engines(t *testing.T, n int) *world {
	w := newWorld(t)
	w.servers(engineService, n)
	for i := range n {
		w.holds(i, core.Holdings{Instance: fmt.Sprintf("s%d", i), Models: loadedModels("m1"), FreeMB: 40_000})
	}
	return w
}

func (w *world) wantRefused(key Key) {
	w.t.Helper()
	if finish, ok := w.finishes[key]; !ok || finish.Code != code.PoisonRequest || len(w.sends[key]) > 0 {
		w.t.Errorf("ended with %v, sent to %v; want %v and no server", finish.Code, w.sends[key], code.PoisonRequest)
	}
}

// Three engines end, each under a try at another router, of 12, 68 or 470. Each router
// tells two loaders; once that is passed on, every router refuses the request at once,
// with a status that does not promise that nothing has run, and sends other requests on.
func TestPoisonIsKnownAtAllRouters(t *testing.T) {
	for _, size := range []int{12, 68, 470} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			fleet := make([]*world, size)
			for i := range fleet {
				fleet[i] = engines(t, 4)
				fleet[i].nextID = 100 * i // no two tries have the same id
			}
			tried := map[string]bool{}
			for i := range 3 {
				w := fleet[i*size/3]
				key := w.callAs(poisonWork, "quick", prompt("m1"))
				engine := w.lastSend(key).Instance
				tried[engine] = true
				w.closed(key)
				for _, other := range fleet {
					other.loaderFindsGone(engine)
				}
				for _, told := range w.told {
					if len(told.Via) != poisonRelays {
						t.Errorf("told by way of %v", told.Via)
					}
					passOn(fleet, w, told.News)
				}
				w.told = nil
			}
			if len(tried) != 3 {
				t.Fatalf("engines tried: %v", tried)
			}
			for _, w := range fleet {
				w.wantRefused(w.callAs(poisonWork, "quick", prompt("m1")))
				w.lastSend(w.callAs(7, "quick", prompt("m1")))
			}
			if code.PoisonRequest.NotRun() || code.PoisonRequest.HTTPStatus() == 503 {
				t.Error("the refusal promises that nothing has run")
			}
		})
	}
}

func passOn(fleet []*world, from *world, news core.PoisonNews) {
	for _, w := range fleet {
		if w != from {
			w.step(PoisonHeard{News: news})
		}
	}
}

// makePoison lets a router hear that three servers ended under the request.
func (w *world) makePoison() {
	w.t.Helper()
	w.step(PoisonHeard{News: core.PoisonNews{Ends: poisonEnds()}})
}

func poisonEnds() []core.ServerEnd {
	var ends []core.ServerEnd
	for i := range poison.Threshold {
		ends = append(ends, core.ServerEnd{
			Life: core.ServerLife{Instance: fmt.Sprint("gone", i)}, Service: engineService, Address: fmt.Sprint("10.9.0.", i),
			Requests: []core.LostRequest{{Fingerprint: poisonWork, Arrival: uint32(i)}},
		})
	}
	return ends
}

// The third engine ends at another router while tries wait here for their model, and at
// an engine that has not begun. All end at once, the engine is spared, and a stream that
// has begun goes on.
func TestPoisonIsRecalled(t *testing.T) {
	w := engines(t, 2)
	for i := range 2 {
		w.holds(i, core.Holdings{Instance: fmt.Sprintf("s%d", i), Models: loadedModels("m1"), OnDisk: []string{"m2"}, FreeMB: 40_000})
	}
	waiting := w.callAs(poisonWork, "quick", prompt("m2"))
	unread := w.callAs(poisonWork, "quick", prompt("m1"))
	begun := w.callAs(poisonWork, "quick", prompt("m1"))
	w.step(FirstEvent{Key: begun, Attempt: w.lastSend(begun).Attempt})
	w.makePoison()
	w.wantRefused(waiting)
	if w.finishes[unread].Code != code.PoisonRequest || w.abandons[unread] != 1 {
		t.Errorf("unread: ended with %v, attempt %d abandoned", w.finishes[unread].Code, w.abandons[unread])
	}
	if finish, ok := w.finishes[begun]; ok {
		t.Errorf("begun: ended with %v", finish.Code)
	}
	if len(w.router.waits) != 0 {
		t.Errorf("%d models are still waited for", len(w.router.waits))
	}
}

// A resumable request may be sent to two engines. Each of its two tries ends two; the
// second half of the second try is one too many.
func TestOwnRepeatOfPoisonIsNotSent(t *testing.T) {
	w := engines(t, 4)
	first := w.callAs(poisonWork, "patient", prompt("m1"))
	w.crashUnder(first)
	w.crashUnder(first)
	second := w.callAs(poisonWork, "patient", prompt("m1"))
	w.crashUnder(second)
	if n := len(w.sends[first]) + len(w.sends[second]); n != 4 || w.abandons[second] != 2 {
		t.Fatalf("sent %d times, attempt %d of the second abandoned", n, w.abandons[second])
	}
	if got := w.finishes[second].Code; got != code.PoisonRequest {
		t.Errorf("ended with %v", got)
	}
}

// The third engine's port is known to be closed before the poison request's own
// connection breaks there. That must not end the request whose failure is being handled
// as well: it ends once, by its failure where all its attempts are used, as poison where
// it would be sent again.
func TestRequestThatProvesItselfPoisonEndsOnce(t *testing.T) {
	for route, want := range map[string]code.Code{"quick": code.OutcomeUnknown, "patient": code.PoisonRequest} {
		w := engines(t, 4)
		w.step(PoisonHeard{News: core.PoisonNews{Ends: poisonEnds()[:2]}})
		key := w.callAs(poisonWork, route, prompt("m1"))
		engine := w.lastSend(key).Instance
		w.loaderFindsGone(engine)
		w.closed(key)
		if len(w.sends[key]) != 1 || w.finishes[key].Code != want {
			t.Errorf("%s: sent %d times, ended with %v, want %v", route, len(w.sends[key]), w.finishes[key].Code, want)
		}
	}
}

// Requests that are kept from servers are no demand: no model is loaded, no copy made.
func TestPoisonIsNoDemand(t *testing.T) {
	w := engines(t, 2)
	w.makePoison()
	for range 50 {
		w.wantRefused(w.callAs(poisonWork, "quick", prompt("m3")))
	}
	if s := w.router.service(engineService); len(s.rates) != 0 || len(w.router.waits) != 0 {
		t.Errorf("counted as demand: rates of %d models, %d waits", len(s.rates), len(w.router.waits))
	}
}

// Plain services have no loaders. Their servers' ends show by their successors in the
// registry, and the request is kept from the fourth server all the same.
func TestPoisonAtAPlainService(t *testing.T) {
	w := newWorld(t)
	w.servers(plainService, 5)
	for i := range poison.Threshold {
		key := w.callAs(poisonWork, "once", nil)
		w.closed(key)
		b := w.router.backends[w.lastSend(key).Instance].Backend
		b.Instance = fmt.Sprint("successor", i)
		w.lists(b)
	}
	w.wantRefused(w.callAs(poisonWork, "once", nil))
}

// A plain service's server ends. One router finds its port closed, another has lost the
// poison request there and sends nothing else to it. It learns from the first that the
// server is gone, long before the registry drops it.
func TestEndThatAnotherRouterNoticed(t *testing.T) {
	w := newWorld(t)
	w.servers(plainService, 3)
	key := w.callAs(poisonWork, "once", nil)
	w.closed(key)
	end := core.ServerEnd{
		Life: core.ServerLife{Instance: w.lastSend(key).Instance}, Service: plainService,
		Requests: []core.LostRequest{{Fingerprint: 9}},
	}
	w.step(PoisonHeard{News: core.PoisonNews{Ends: []core.ServerEnd{end}}})
	if n := w.router.ledger.Ends(poisonWork); n != 1 {
		t.Errorf("%d servers ended under it, want 1", n)
	}
}

// Two engines end under a stream that is well. It is served at the third: that is told,
// and nothing is held against it at any router.
func TestServedRequestIsCleared(t *testing.T) {
	w, other := engines(t, 4), engines(t, 4)
	for range 2 {
		w.crashUnder(w.callAs(5, "quick", prompt("m1")))
	}
	passOn([]*world{other}, w, w.told[0].News)
	passOn([]*world{other}, w, w.told[1].News)
	served := w.callAs(5, "quick", prompt("m1"))
	w.step(Done{Key: served, Attempt: w.lastSend(served).Attempt})
	passOn([]*world{other}, w, w.told[2].News)
	if w.router.ledger.Ends(5)+other.router.ledger.Ends(5) != 0 {
		t.Errorf("ends held against it: %d here, %d at another router", w.router.ledger.Ends(5), other.router.ledger.Ends(5))
	}
}

// Those that noticed an end keep the evidence in the store, so that it outlasts all
// processes; again when half of the time is over for which the store keeps it, while
// the request still comes. An operator lifts it: it is sent again, and the evidence is
// replaced, so that no router learns it again.
func TestEvidenceIsKeptAndLifted(t *testing.T) {
	w := engines(t, 4)
	w.step(PoisonHeard{News: core.PoisonNews{Ends: poisonEnds()[:2]}})
	w.crashUnder(w.callAs(poisonWork, "quick", prompt("m1")))
	if len(w.published) != 1 || len(w.published[0].News.Ends) != 3 {
		t.Fatalf("published %+v", w.published)
	}
	w.callAs(poisonWork, "quick", prompt("m1"))
	w.now = w.now.Add(poison.Retention/2 + time.Second)
	w.callAs(poisonWork, "quick", prompt("m1"))
	if len(w.published) != 2 {
		t.Errorf("published %d times, want again after half of the time", len(w.published))
	}
	for i := range 4 {
		w.holds(i, core.Holdings{Instance: fmt.Sprintf("s%d", i), Models: loadedModels("m1"), FreeMB: 40_000})
	}
	w.told = nil
	w.step(Lift{Fingerprint: poisonWork})
	w.lastSend(w.callAs(poisonWork, "quick", prompt("m1")))
	last := w.published[len(w.published)-1]
	if last.Name != w.published[0].Name || len(last.News.Cleared) != 1 || len(w.told) != 1 || len(w.told[0].News.Cleared) != 1 {
		t.Errorf("published %+v, told %v", last, w.told)
	}
}

// No loader is connected that could pass an end on. The store does.
func TestStoreTellsWhereNoLoaderDoes(t *testing.T) {
	w := newWorld(t)
	w.servers(plainService, 2)
	key := w.callAs(poisonWork, "once", nil)
	w.closed(key)
	w.step(BackendsChanged{Removed: map[string]bool{w.lastSend(key).Instance: true}})
	if len(w.told) != 0 || len(w.published) != 1 || len(w.published[0].News.Ends) != 1 {
		t.Errorf("told %v, published %+v", w.told, w.published)
	}
}

// A router starts and hears from the store, with the registry's news, what others know.
func TestNewsOfTheRegistryBringEvidence(t *testing.T) {
	w := engines(t, 2)
	w.step(NewsHeard{News: core.RegistryNews{From: 1, To: 2, Poison: core.PoisonNews{Ends: poisonEnds()}}})
	w.wantRefused(w.callAs(poisonWork, "quick", prompt("m1")))
}
