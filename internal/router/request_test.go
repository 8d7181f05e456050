package router

import (
	"testing"
	"time"

	"nutmeglane.example/nutmeglane/internal/code"
	"nutmeglane.example/nutmeglane/internal/core"
	"nutmeglane.example/nutmeglane/internal/fleet"
)

// An engine under load sends no event for over a second, and is the only one with the
// model. Guards against giving up the half-answered stream: it must continue, since the
// engine completes it in time.
func TestStreamWaitsForItsOnlyServer(t *testing.T) {
	w := newFixture(t)
	w.servers(engineService, 2)
	w.reportHoldings(0, core.Holdings{Models: loadedModels("m1")})
	w.reportHoldings(1, core.Holdings{})
	key := w.call("patient", prompt("m1"))
	w.step(Answered{Key: key, Attempt: 1, Answer: fleet.Answer{Status: 200}})
	w.step(FirstEvent{Key: key, Attempt: 1})
	w.step(Stalled{Key: key, Attempt: 1})
	if _, ended := w.finishes[key]; ended || w.abandons[key] != 0 {
		t.Fatal("the stream was given up")
	}
	w.reportHoldings(1, core.Holdings{Models: loadedModels("m1")})
	w.step(Stalled{Key: key, Attempt: 1})
	if w.abandons[key] != 0 || w.lastSend(key).Instance != "s1" {
		t.Fatal("the stream was not sent to the other server with its model, or has left its first one")
	}
	w.step(Answered{Key: key, Attempt: 2, Answer: fleet.Answer{Status: 200}})
	if w.abandons[key] != 1 {
		t.Fatal("the stream was not moved to the other server with its model")
	}
}

// A charge is sent, and the server's answer is lost. The user must not be charged twice,
// nor receive the answer that the charge did not run.
func TestLostAnswerOfNonIdempotentRequest(t *testing.T) {
	w := newFixture(t)
	w.servers(plainService, 3)
	key := w.call("once", nil)
	w.step(AttemptFailed{Key: key, Attempt: 1, Failure: NoAnswer, Cause: "reset"})
	if n := len(w.sends[key]); n != 1 {
		t.Fatalf("sent %d times", n)
	}
	if finish := w.finishes[key]; finish.Code != code.OutcomeUnknown || finish.RetryAfter != 0 {
		t.Fatalf("finish %+v, want OutcomeUnknown without Retry-After", finish)
	}
}

// The chosen server has died; the connection is refused. Nothing was sent, so that another
// server may get the request, even if it may run only once.
func TestRefusedConnectionIsTriedElsewhere(t *testing.T) {
	w := newFixture(t)
	w.servers(plainService, 3)
	key := w.call("once", nil)
	first := w.lastSend(key)
	w.step(AttemptFailed{Key: key, Attempt: first.Attempt, Failure: NotSent, Cause: "connection refused"})
	second := w.lastSend(key)
	if second.Instance == first.Instance || second.Attempt != 2 {
		t.Fatalf("sent to %s again: %+v", first.Instance, second)
	}
}

// A server responds that it did not run a request whose route allows one attempt. The
// caller must get a refusal that promises this and lets it retry at once.
func TestRejectedRequestIsRefusedTruthfully(t *testing.T) {
	w := newFixture(t)
	w.servers(plainService, 3)
	key := w.call("once", nil)
	w.step(Answered{Key: key, Attempt: 1, Answer: fleet.Answer{Status: 503, NotRun: true}})
	if finish := w.finishes[key]; !finish.Code.NotRun() || finish.RetryAfter <= 0 {
		t.Fatalf("finish %+v, want a refusal that promises not run", finish)
	}
}

// The first server failed an idempotent request, the second refused it. The request may
// have run at the first, so that the answer must not promise otherwise.
func TestRefusalAfterAFailureDoesNotPromise(t *testing.T) {
	w := newFixture(t)
	w.servers(plainService, 3)
	key := w.call("again", nil)
	w.step(AttemptFailed{Key: key, Attempt: 1, Failure: NoAnswer})
	w.step(Answered{Key: key, Attempt: 2, Answer: fleet.Answer{Status: 503, NotRun: true}})
	if finish := w.finishes[key]; finish.Code.NotRun() || finish.Code == code.OK {
		t.Fatalf("finish %+v promises that the request did not run", finish)
	}
}

// Half of all answers are lost. Each loss may lead to a retry, but all retries together
// must stay within the budget, or the remaining servers get a multiple of the load.
func TestRetriesKeepToTheBudget(t *testing.T) {
	w := newFixture(t)
	w.servers(plainService, 3)
	repeats := 0
	const requests = 400
	for range requests {
		key := w.call("again", nil)
		w.step(AttemptFailed{Key: key, Attempt: 1, Failure: NoAnswer})
		if len(w.sends[key]) > 1 {
			repeats++
			w.step(Answered{Key: key, Attempt: 2, Answer: fleet.Answer{Status: 200}})
			w.step(Done{Key: key, Attempt: 2})
		}
	}
	bounds := testBounds()
	if most := int(bounds.RetryRatio*requests + bounds.RetrySlack); repeats > most || repeats < most/2 {
		t.Fatalf("%d retries of %d requests, want up to %d", repeats, requests, most)
	}
}

// A server hangs. An idempotent request there must be tried on another server while it can
// still be in time, and the hung attempt must be abandoned, so that the server stops
// processing it: at once if the other one answers, and in any case after hedgeOverlap.
func TestHungRequestIsTriedElsewhere(t *testing.T) {
	w := newFixture(t)
	w.servers(plainService, 3)
	key := w.call("again", nil)
	w.run(400 * time.Millisecond)
	if n := len(w.sends[key]); n != 2 {
		t.Fatalf("sent %d times, want 2", n)
	}
	w.run(hedgeOverlap)
	if w.abandons[key] != 1 {
		t.Error("the first attempt was left running")
	}
	key = w.call("again", nil)
	w.run(400 * time.Millisecond)
	w.step(Answered{Key: key, Attempt: 2, Answer: fleet.Answer{Status: 200}})
	if w.abandons[key] != 1 {
		t.Error("the first attempt was left running although the other server has answered")
	}
}

// No server answers until the route's timeout. The user must get a final answer then, not
// when the connection breaks.
func TestTimeoutIsAnswered(t *testing.T) {
	w := newFixture(t)
	w.servers(plainService, 1)
	key := w.call("once", nil)
	w.run(800*time.Millisecond + answerSlack + 2*tickInterval)
	if finish := w.finishes[key]; finish.Code != code.TimedOut {
		t.Fatalf("finish %+v, want TimedOut", finish)
	}
}

// Before any configuration is known the routes are unknown: a 404 would tell a user for
// good that a service does not exist.
func TestNoConfigurationIsNoUnknownRoute(t *testing.T) {
	w := &fixture{t: t, now: 1, router: New(Options{Host: "10.0.0.1"}), finishes: map[Key]Finish{}}
	key := w.call("once", nil)
	if finish := w.finishes[key]; finish.Code != code.NotReady || finish.RetryAfter <= 0 {
		t.Fatalf("finish %+v, want NotReady", finish)
	}
}

// After a restart a router knows only from the registry, which is two seconds old, what
// engines hold. An engine responds that it does not have the model: the next request must
// not go there too, and the user, whose route allows one attempt, must retry at once, since
// another engine has the model.
func TestAbsentModelIsRemembered(t *testing.T) {
	w := newFixture(t)
	list := map[string]fleet.Backend{}
	for i := range 2 {
		b := w.server(engineService, i)
		b.Models = []fleet.LoadedModel{{Name: "m1"}}
		list[b.Instance] = b
	}
	w.step(BackendsRead{Backends: list})
	w.run(loaderGrace) // no loader connects: the registry is the only source
	first := w.call("quick", prompt("m1"))
	stale := w.lastSend(first).Instance
	w.step(Answered{Key: first, Attempt: 1, Answer: fleet.Answer{Status: 421, NotRun: true, Absent: true}})
	if finish := w.finishes[first]; finish.RetryAfter <= 0 || finish.RetryAfter > 2*quickRetryAfter {
		t.Errorf("Retry-After %v, want at once", finish.RetryAfter)
	}
	for range 5 {
		if again := w.lastSend(w.call("quick", prompt("m1"))).Instance; again == stale {
			t.Fatal("sent to the engine that does not have the model")
		}
	}
}

// Callers of a busy model use all connections that this router may have to one engine. The
// next request must go to another engine, and the first must not be ejected: it serves all
// its requests. Ejection for this reason removed engine after engine in a burst, until half
// of the fleet had the whole load.
func TestOwnConnectionLimitIsNoFailure(t *testing.T) {
	w := newFixture(t)
	w.servers(engineService, 2)
	w.reportHoldings(0, core.Holdings{Models: loadedModels("m1")})
	w.reportHoldings(1, core.Holdings{Models: loadedModels("m1")})
	key := w.call("quick", prompt("m1"))
	first := w.lastSend(key).Instance
	w.step(AttemptFailed{Key: key, Attempt: 1, Failure: ConnsExhausted, Cause: "all in use"})
	if got := w.lastSend(key).Instance; got == first {
		t.Fatalf("sent to %s again", got)
	}
	if b := w.router.backends[first]; !w.router.usable(b) || b.failureRate != 0 {
		t.Fatalf("%s is ejected until %v, failure rate %.2f", first, b.ejectedUntil, b.failureRate)
	}
}

// Guards against a new configuration, or settings that are read again, that cut off
// requests in progress: also where both remove the route, service or model of the request.
func TestNewConfigurationAndSettingsCutNoRequests(t *testing.T) {
	w := newFixture(t)
	list := map[string]fleet.Backend{"s0": w.server(engineService, 0), "s1": w.server(plainService, 1)}
	w.step(BackendsRead{Backends: list})
	w.reportHoldings(0, core.Holdings{FreeMB: 50_000, Models: loadedModels("m0")})
	stream, call := w.call("patient", prompt("m0")), w.call("once", nil)
	sent := map[Key]int{stream: w.lastSend(stream).Attempt, call: w.lastSend(call).Attempt}
	w.step(FirstEvent{Key: stream, Attempt: sent[stream]})

	next := testConfig()
	next.Version++
	next.Routes = next.Routes[:1]
	delete(next.Services, plainService)
	delete(next.Services[engineService].Engine.Models, "m0")
	w.step(ConfigRead{Config: next})
	bounds := testBounds()
	bounds.Drain, bounds.ConfigDelay = time.Second, time.Second
	w.router.SetBounds(bounds)
	w.run(500 * time.Millisecond)
	for _, key := range []Key{stream, call} {
		if finish, ended := w.finishes[key]; ended || w.abandons[key] != 0 {
			t.Fatalf("request %d was cut off: %+v", key, finish)
		}
	}
	w.step(Answered{Key: call, Attempt: sent[call], Answer: fleet.Answer{Status: 200}})
	for _, key := range []Key{stream, call} {
		w.step(Done{Key: key, Attempt: sent[key], End: AnswerEnd{Events: 10}, Pause: 50 * time.Millisecond})
	}
	if len(w.router.requests) != 0 || len(w.finishes) != 0 {
		t.Errorf("%d requests left, ended by the router: %+v", len(w.router.requests), w.finishes)
	}
}
