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

// crashUnder makes an engine end during an attempt of a request, and its loader report
// that.
func (w *fixture) crashUnder(key Key) {
	w.t.Helper()
	engine := w.lastSend(key).Instance
	w.closeConnection(key)
	w.loaderFindsGone(engine)
}

func (w *fixture) loaderFindsGone(engine string) {
	w.t.Helper()
	for name, l := range w.router.loaders {
		if b := w.router.engineAt(l); b != nil && b.Instance == engine {
			w.step(LoaderReported{Loader: name, Holdings: core.Holdings{Instance: engine, Ended: true, Routers: 1}})
			return
		}
	}
	w.t.Fatalf("%s has no loader", engine)
}

// newEnginesFixture returns a router with n engines that have m1 loaded and whose loaders
// are connected.
func newEnginesFixture(t testing.TB, n int) *fixture {
	w := newFixture(t)
	w.servers(engineService, n)
	for i := range n {
		w.reportHoldings(i, core.Holdings{Instance: fmt.Sprintf("s%d", i), Models: loadedModels("m1"), FreeMB: 40_000})
	}
	return w
}

func (w *fixture) wantRefused(key Key) {
	w.t.Helper()
	if finish, ok := w.finishes[key]; !ok || finish.Code != code.PoisonRequest || len(w.sends[key]) > 0 {
		w.t.Errorf("ended with %v, sent to %v; want %v and no server", finish.Code, w.sends[key], code.PoisonRequest)
	}
}

// Three engines end, each during an attempt at another router, of 12, 68 or 470. Each
// router reports that to two loaders; once that is relayed, every router must refuse the
// request at once, with a status that does not promise that nothing has run, and must
// continue to send other requests.
func TestPoisonIsKnownAtAllRouters(t *testing.T) {
	for _, size := range []int{12, 68, 470} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			fleet := make([]*fixture, size)
			for i := range fleet {
				fleet[i] = newEnginesFixture(t, 4)
				fleet[i].nextID = 100 * i // no two attempts have the same request id
			}
			tried := map[string]bool{}
			for i := range 3 {
				w := fleet[i*size/3]
				key := w.callWithFingerprint(poisonWork, "quick", prompt("m1"))
				engine := w.lastSend(key).Instance
				tried[engine] = true
				w.closeConnection(key)
				for _, other := range fleet {
					other.loaderFindsGone(engine)
				}
				for _, sent := range w.relayed {
					if len(sent.Via) != poisonRelays {
						t.Errorf("relayed by %v", sent.Via)
					}
					relay(fleet, w, sent.News)
				}
				w.relayed = nil
			}
			if len(tried) != 3 {
				t.Fatalf("engines tried: %v", tried)
			}
			for _, w := range fleet {
				w.wantRefused(w.callWithFingerprint(poisonWork, "quick", prompt("m1")))
				w.lastSend(w.callWithFingerprint(7, "quick", prompt("m1")))
			}
			if code.PoisonRequest.NotRun() || code.PoisonRequest.HTTPStatus() == 503 {
				t.Error("the refusal promises that nothing has run")
			}
		})
	}
}

func relay(fleet []*fixture, from *fixture, news core.PoisonNews) {
	for _, w := range fleet {
		if w != from {
			w.step(PoisonReported{News: news})
		}
	}
}

// makePoison reports to a router that three servers ended on the request.
func (w *fixture) makePoison() {
	w.t.Helper()
	w.step(PoisonReported{News: core.PoisonNews{Ends: poisonEnds()}})
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

// The third engine ends at another router while attempts wait here for their model, and at
// an engine that has not begun. All must end at once, the engine must be spared, and a
// stream that has begun must continue.
func TestPendingPoisonRequestsAreEnded(t *testing.T) {
	w := newEnginesFixture(t, 2)
	for i := range 2 {
		w.reportHoldings(i, core.Holdings{Instance: fmt.Sprintf("s%d", i), Models: loadedModels("m1"), OnDisk: []string{"m2"}, FreeMB: 40_000})
	}
	waiting := w.callWithFingerprint(poisonWork, "quick", prompt("m2"))
	unread := w.callWithFingerprint(poisonWork, "quick", prompt("m1"))
	begun := w.callWithFingerprint(poisonWork, "quick", prompt("m1"))
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

// A resumable request may be sent to two engines, so that its first arrival ends two. At
// its second arrival the first attempt ends the third, and the second attempt must not be
// sent.
func TestOwnRetryOfPoisonIsNotSent(t *testing.T) {
	w := newEnginesFixture(t, 4)
	first := w.callWithFingerprint(poisonWork, "patient", prompt("m1"))
	w.crashUnder(first)
	w.crashUnder(first)
	second := w.callWithFingerprint(poisonWork, "patient", prompt("m1"))
	w.crashUnder(second)
	if n := len(w.sends[first]) + len(w.sends[second]); n != 4 || w.abandons[second] != 2 {
		t.Fatalf("sent %d times, attempt %d of the second abandoned", n, w.abandons[second])
	}
	if got := w.finishes[second].Code; got != code.PoisonRequest {
		t.Errorf("ended with %v", got)
	}
}

// The third engine's port is found to be closed before the poison request's own connection
// breaks there. The request whose failure is being handled must end only once: by its
// failure if all its attempts are used, as poison if it would be sent again.
func TestRequestThatProvesItselfPoisonEndsOnce(t *testing.T) {
	for route, want := range map[string]code.Code{"quick": code.OutcomeUnknown, "patient": code.PoisonRequest} {
		w := newEnginesFixture(t, 4)
		w.step(PoisonReported{News: core.PoisonNews{Ends: poisonEnds()[:2]}})
		key := w.callWithFingerprint(poisonWork, route, prompt("m1"))
		engine := w.lastSend(key).Instance
		w.loaderFindsGone(engine)
		w.closeConnection(key)
		if len(w.sends[key]) != 1 || w.finishes[key].Code != want {
			t.Errorf("%s: sent %d times, ended with %v, want %v", route, len(w.sends[key]), w.finishes[key].Code, want)
		}
	}
}

// Poison requests are no demand: no model must be loaded and no copy made for them.
func TestPoisonIsNoDemand(t *testing.T) {
	w := newEnginesFixture(t, 2)
	w.makePoison()
	for range 50 {
		w.wantRefused(w.callWithFingerprint(poisonWork, "quick", prompt("m3")))
	}
	if s := w.router.service(engineService); len(s.rates) != 0 || len(w.router.waits) != 0 {
		t.Errorf("counted as demand: rates of %d models, %d waits", len(s.rates), len(w.router.waits))
	}
}

// Plain services have no loaders. Their servers' ends are noticed through their successors
// in the registry, and the request must not reach the fourth server either.
func TestPoisonAtAPlainService(t *testing.T) {
	w := newFixture(t)
	w.servers(plainService, 5)
	for i := range poison.Threshold {
		key := w.callWithFingerprint(poisonWork, "once", nil)
		w.closeConnection(key)
		b := w.router.backends[w.lastSend(key).Instance].Backend
		b.Instance = fmt.Sprint("successor", i)
		w.register(b)
	}
	w.wantRefused(w.callWithFingerprint(poisonWork, "once", nil))
}

// A plain service's server ends. One router finds its port closed, another has lost the
// poison request there and sends nothing else to it. It must learn from the first that the
// server is gone, long before the registry drops it.
func TestEndThatAnotherRouterNoticed(t *testing.T) {
	w := newFixture(t)
	w.servers(plainService, 3)
	key := w.callWithFingerprint(poisonWork, "once", nil)
	w.closeConnection(key)
	end := core.ServerEnd{
		Life: core.ServerLife{Instance: w.lastSend(key).Instance}, Service: plainService,
		Requests: []core.LostRequest{{Fingerprint: 9}},
	}
	w.step(PoisonReported{News: core.PoisonNews{Ends: []core.ServerEnd{end}}})
	if n := w.router.ledger.Ends(poisonWork); n != 1 {
		t.Errorf("%d servers ended under it, want 1", n)
	}
}

// Two engines end during a healthy stream, and the third serves it. That must be reported,
// and no router may keep evidence against the stream.
func TestServedRequestIsCleared(t *testing.T) {
	w, other := newEnginesFixture(t, 4), newEnginesFixture(t, 4)
	for range 2 {
		w.crashUnder(w.callWithFingerprint(5, "quick", prompt("m1")))
	}
	relay([]*fixture{other}, w, w.relayed[0].News)
	relay([]*fixture{other}, w, w.relayed[1].News)
	served := w.callWithFingerprint(5, "quick", prompt("m1"))
	w.step(Done{Key: served, Attempt: w.lastSend(served).Attempt})
	relay([]*fixture{other}, w, w.relayed[2].News)
	if w.router.ledger.Ends(5)+other.router.ledger.Ends(5) != 0 {
		t.Errorf("ends held against it: %d here, %d at another router", w.router.ledger.Ends(5), other.router.ledger.Ends(5))
	}
}

// Routers that noticed an end keep the evidence in the store, so that it outlasts all
// processes, and write it again when half of its retention time is over and the request is
// still retried. When an operator lifts it, the request is sent again and the evidence is
// replaced, so that no router learns it again.
func TestEvidenceIsKeptAndLifted(t *testing.T) {
	w := newEnginesFixture(t, 4)
	w.step(PoisonReported{News: core.PoisonNews{Ends: poisonEnds()[:2]}})
	w.crashUnder(w.callWithFingerprint(poisonWork, "quick", prompt("m1")))
	if len(w.published) != 1 || len(w.published[0].News.Ends) != 3 {
		t.Fatalf("published %+v", w.published)
	}
	w.callWithFingerprint(poisonWork, "quick", prompt("m1"))
	w.now = w.now.Add(poison.Retention/2 + time.Second)
	w.callWithFingerprint(poisonWork, "quick", prompt("m1"))
	if len(w.published) != 2 {
		t.Errorf("published %d times, want again after half of the retention time", len(w.published))
	}
	for i := range 4 {
		w.reportHoldings(i, core.Holdings{Instance: fmt.Sprintf("s%d", i), Models: loadedModels("m1"), FreeMB: 40_000})
	}
	w.relayed = nil
	w.step(LiftPoison{Fingerprint: poisonWork})
	w.lastSend(w.callWithFingerprint(poisonWork, "quick", prompt("m1")))
	last := w.published[len(w.published)-1]
	if last.Name != w.published[0].Name || len(last.News.Cleared) != 1 || len(w.relayed) != 1 || len(w.relayed[0].News.Cleared) != 1 {
		t.Errorf("published %+v, relayed %v", last, w.relayed)
	}
}

// No loader is connected that could relay an end. It must be written to the store.
func TestEndIsPublishedWithoutLoaders(t *testing.T) {
	w := newFixture(t)
	w.servers(plainService, 2)
	key := w.callWithFingerprint(poisonWork, "once", nil)
	w.closeConnection(key)
	w.step(BackendsChanged{Removed: map[string]bool{w.lastSend(key).Instance: true}})
	if len(w.relayed) != 0 || len(w.published) != 1 || len(w.published[0].News.Ends) != 1 {
		t.Errorf("relayed %v, published %+v", w.relayed, w.published)
	}
}

// A router that starts must receive the evidence that the store holds, with the registry's
// news.
func TestRegistryNewsDeliverEvidence(t *testing.T) {
	w := newEnginesFixture(t, 2)
	w.step(NewsReceived{News: core.RegistryNews{From: 1, To: 2, Poison: core.PoisonNews{Ends: poisonEnds()}}})
	w.wantRefused(w.callWithFingerprint(poisonWork, "quick", prompt("m1")))
}

// Guards against a poison request for a model that one engine has: it ends that engine each time it is
// back, and no other address can show that it is the request.
func TestPoisonRequestForARareModelIsBlocked(t *testing.T) {
	w := newFixture(t)
	w.servers(engineService, 3)
	for i, model := range []string{"m1", "m2", "m2"} {
		w.reportHoldings(i, core.Holdings{Instance: fmt.Sprintf("s%d", i), Models: loadedModels(model), FreeMB: 40_000})
	}
	for life := range int64(4) {
		w.reportIncarnation(0, 100*(life+1), "m1")
		w.run(time.Second)
		if life == 3 {
			break
		}
		w.crashUnder(w.callWithFingerprint(poisonWork, "quick", prompt("m1")))
		w.run(time.Second)
	}
	w.wantRefused(w.callWithFingerprint(poisonWork, "quick", prompt("m1")))
	w.lastSend(w.callWithFingerprint(7, "quick", prompt("m1")))
}
