package router

import (
	"slices"
	"testing"
	"time"

	"nutmeglane.example/nutmeglane/internal/code"
	"nutmeglane.example/nutmeglane/internal/core"
	"nutmeglane.example/nutmeglane/internal/fleet"
)

// turnAway delivers a 503 with a backoff as the answer to a request's last attempt.
func (w *fixture) turnAway(key Key, period time.Duration) {
	w.t.Helper()
	send := w.lastSend(key)
	answer := backoffAnswer(period)
	w.step(ServerAnnounced{Server: send.Incarnation, Answer: answer})
	w.step(Answered{Key: key, Attempt: send.Attempt, Answer: answer})
}

// serve delivers the whole answer to a request's last attempt.
func (w *fixture) serve(key Key) {
	w.t.Helper()
	send := w.lastSend(key)
	w.step(Answered{Key: key, Attempt: send.Attempt, Answer: fleet.Answer{Status: 200}})
	w.step(FirstEvent{Key: key, Attempt: send.Attempt})
	w.step(Done{Key: key, Attempt: send.Attempt, End: AnswerEnd{Events: 1}})
}

// Guards against a backoff that ends too early: by a shorter or an unreadable one, by a 503
// without one, or by an answer that was under way.
func TestBackoffIsNotShortened(t *testing.T) {
	const period = 3 * time.Second
	tests := map[string]func(w *fixture, underWay Key){
		"a shorter one":       func(w *fixture, _ Key) { w.announce("s0", backoffAnswer(time.Second)) },
		"zero":                func(w *fixture, _ Key) { w.announce("s0", backoffAnswer(0)) },
		"a success under way": func(w *fixture, underWay Key) { w.serve(underWay) },
		"a refusal without one": func(w *fixture, underWay Key) {
			w.step(Answered{Key: underWay, Attempt: 1, Answer: fleet.Answer{Status: 503, NotRun: true}})
		},
		"a malformed one": func(w *fixture, _ Key) {
			w.announce("s0", fleet.Answer{Status: 503, Backoff: fleet.ReportedBackoff{State: fleet.BackoffMalformed, Text: "-1"}})
		},
	}
	for name, happens := range tests {
		t.Run(name, func(t *testing.T) {
			w := newFixture(t)
			w.servers(plainService, 1)
			underWay := w.call("once", nil)
			w.announce("s0", backoffAnswer(period))
			happens(w, underWay)
			w.run(period - 100*time.Millisecond)
			if key := w.call("once", nil); len(w.sends[key]) > 0 {
				t.Error("sent within the backoff")
			}
			w.run(200 * time.Millisecond)
			w.lastSend(w.call("once", nil))
		})
	}
}

// Guards against a backoff without effect: a malformed one and one of no time don't keep
// requests away, nor do those of an earlier incarnation or of another server at the address.
func TestBackoffThatDoesNotApply(t *testing.T) {
	tests := map[string]func(w *fixture){
		"malformed": func(w *fixture) {
			w.announce("s0", fleet.Answer{Status: 503, Backoff: fleet.ReportedBackoff{State: fleet.BackoffMalformed}})
		},
		"zero": func(w *fixture) { w.announce("s0", backoffAnswer(0)) },
		"another instance": func(w *fixture) {
			answer := backoffAnswer(time.Minute)
			answer.Absent = true
			w.announce("s0", answer)
		},
		"the server restarts": func(w *fixture) {
			w.announce("s0", backoffAnswer(time.Minute))
			restarted := w.server(plainService, 0)
			restarted.Born = 2
			w.step(BackendsChanged{Written: map[string]fleet.Backend{"s0": restarted}})
		},
	}
	for name, happens := range tests {
		t.Run(name, func(t *testing.T) {
			w := newFixture(t)
			first := w.server(plainService, 0)
			first.Born = 1
			w.step(BackendsRead{Backends: map[string]fleet.Backend{"s0": first}})
			happens(w)
			w.lastSend(w.call("once", nil))
		})
	}
}

// Guards against overloading a server again when its backoff ends: it must get one request,
// twice as many with each that it runs, and then any number.
func TestServerIsTriedCarefullyAfterItsBackoff(t *testing.T) {
	w := newFixture(t)
	w.servers(plainService, 1)
	w.announce("s0", backoffAnswer(time.Second))
	w.run(1100 * time.Millisecond)
	for _, window := range []int{1, 2, 4} {
		var sent []Key
		for range 10 {
			if key := w.call("once", nil); len(w.sends[key]) > 0 {
				sent = append(sent, key)
			}
		}
		if len(sent) != window {
			t.Fatalf("%d requests at once, want %d", len(sent), window)
		}
		w.serve(sent[0])
		for _, key := range sent[1:] {
			w.step(CallerLeft{Key: key})
		}
	}
	for range 10 {
		w.lastSend(w.call("once", nil))
	}
}

// Guards against callers that are held, or told to come back too early or all at once, when
// all servers of a plain service back off.
func TestAllServersBackOff(t *testing.T) {
	w := newFixture(t)
	w.servers(plainService, 2)
	w.announce("s0", backoffAnswer(3*time.Second))
	w.announce("s1", backoffAnswer(2*time.Second))
	w.run(500 * time.Millisecond)
	seen := map[time.Duration]bool{}
	for range 10 {
		end, ended := w.finishes[w.call("once", nil)]
		if !ended || end.Code != code.BackingOff || !end.Code.NotRun() {
			t.Fatalf("ended %t: %+v", ended, end)
		}
		if end.RetryAfter < 1500*time.Millisecond || end.RetryAfter > 1700*time.Millisecond {
			t.Errorf("Retry-After %v, want 1.5 s and little more", end.RetryAfter)
		}
		seen[end.RetryAfter] = true
	}
	if len(seen) < 10 {
		t.Errorf("10 callers return at %d times", len(seen))
	}
}

// Guards against a server that gets no requests long after its backoff: what it turned away
// was no failure of it.
func TestTurnedAwayRequestsAreNoFailures(t *testing.T) {
	w := newFixture(t)
	w.servers(plainService, 2)
	for range 20 {
		w.announce("s0", backoffAnswer(50*time.Millisecond))
		w.run(100 * time.Millisecond)
		key := w.call("once", nil)
		if w.lastSend(key).Instance == "s0" {
			w.turnAway(key, 50*time.Millisecond)
		} else {
			w.serve(key)
		}
	}
	if b := w.router.backends["s0"]; b.failureRate > 0 || b.failures > 0 {
		t.Errorf("failure rate %v, %d failures", b.failureRate, b.failures)
	}
}

// The only engine with a model turns requests away. It must be loaded elsewhere, where that is
// sooner than the end of the backoff, and waited for otherwise; callers that can't be served in
// time are refused at once.
func TestModelOfAnEngineThatBacksOff(t *testing.T) {
	tests := []struct {
		name   string
		period time.Duration
		others int
		// home is where the request waits, "" if it is refused.
		home string
	}{
		{"another engine loads it", 5 * time.Second, 1, "s1"},
		{"the backoff ends sooner", 300 * time.Millisecond, 1, "s0"},
		{"no other engine, short", 3 * time.Second, 0, "s0"},
		{"no other engine, too long", 30 * time.Second, 0, ""},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			w := newFixture(t)
			w.engineWith(append([][]string{{"m0"}}, make([][]string, test.others)...)...)
			w.announce("s0", backoffAnswer(test.period))
			key := w.call("patient", prompt("m0"))
			req, end := w.router.requests[key], w.finishes[key]
			switch {
			case test.home == "" && (req != nil || !end.Code.NotRun() || end.RetryAfter < test.period):
				t.Errorf("want a refusal until the end of the backoff, got %+v", end)
			case test.home != "" && (req == nil || req.waiting == nil || req.waiting.home.Instance != test.home):
				t.Errorf("want a wait for %s, got %+v", test.home, end)
			}
		})
	}
}

// Guards against many requests that have waited for an engine's backoff and are all sent when
// it ends.
func TestWaitingRequestsReturnOneByOne(t *testing.T) {
	w := newFixture(t)
	w.engineWith([]string{"m0"})
	w.announce("s0", backoffAnswer(time.Second))
	var keys []Key
	for range 20 {
		keys = append(keys, w.call("patient", prompt("m0")))
	}
	underWay := func() []Key {
		return slices.DeleteFunc(slices.Clone(keys), func(key Key) bool {
			return len(w.sends[key]) == 0 || w.router.requests[key] == nil
		})
	}
	w.run(950 * time.Millisecond)
	if n := len(underWay()); n > 0 {
		t.Fatalf("%d sent within the backoff", n)
	}
	for _, window := range []int{1, 2, 4} {
		w.reportEngine(0, core.Holdings{Models: loadedModels("m0")})
		w.run(100 * time.Millisecond)
		sent := underWay()
		if len(sent) != window {
			t.Fatalf("%d at once, want %d", len(sent), window)
		}
		for _, key := range sent[1:] {
			w.step(CallerLeft{Key: key})
		}
		w.serve(sent[0])
	}
}

// Guards against a caller that is told to come back after a fixed time, or when the engine that
// turned its only attempt away wants requests again, although its model can be loaded elsewhere
// at once.
func TestRefusedAfterItsOnlyAttempt(t *testing.T) {
	w := newFixture(t)
	w.engineWith([]string{"m0"}, nil)
	key := w.call("quick", prompt("m0"))
	w.turnAway(key, 5*time.Second)
	if end := w.finishes[key]; end.Code != code.BackingOff || end.RetryAfter > 2*quickRetryAfter {
		t.Fatalf("ended with %+v", end)
	}
	again := w.call("quick", prompt("m0"))
	if req := w.router.requests[again]; req == nil || req.waiting == nil || req.waiting.home.Instance != "s1" {
		t.Errorf("the next try doesn't wait for the other engine: %+v", w.finishes[again])
	}
}

// Guards against requests that were bound to a server when it began to back off.
func TestBoundRequestsAvoidABackoff(t *testing.T) {
	w := newLimitedFixture(t, 2, 3)
	key := w.call("once", nil)
	for len(w.sends[key]) > 0 { // until a request needs a permit of s0
		key = w.call("once", nil)
	}
	w.announce("s0", backoffAnswer(time.Second))
	w.step(LoaderAnsweredLimit{Loader: "10.9.0.1", Answer: core.LimitReply{
		Server: core.ServerLife{Instance: "s0"}, RequestID: uint64(key), Granted: true,
	}})
	if send := w.lastSend(key); send.Instance != "s1" {
		t.Errorf("sent to %s", send.Instance)
	}
	if w.router.MayStillSend(fleet.Incarnation{Instance: "s0"}) {
		t.Error("an attempt whose connection was opened meanwhile may be sent")
	}
}

// Guards against a backoff that is forgotten with a registry entry that is gone for a moment.
func TestBackoffOutlastsItsEntry(t *testing.T) {
	w := newFixture(t)
	w.servers(plainService, 2)
	w.announce("s0", backoffAnswer(3*time.Second))
	w.step(BackendsChanged{Removed: map[string]bool{"s0": true}})
	w.run(time.Second)
	w.servers(plainService, 2)
	for range 20 {
		if send := w.lastSend(w.call("once", nil)); send.Instance != "s1" {
			t.Fatalf("sent to %s within its backoff", send.Instance)
		}
	}
	w.run(2 * time.Second)
	if left := w.router.Dump().Backends[0].BackoffLeft; left != 0 {
		t.Errorf("%v left", left)
	}
}

// Guards against a request that waits until its model is loaded at an engine that it may not be
// sent to again: it must wait for another, or be refused at once.
func TestRequestDoesNotWaitForATriedEngine(t *testing.T) {
	for name, others := range map[string]int{"another engine can load it": 1, "no other": 0} {
		t.Run(name, func(t *testing.T) {
			w := newFixture(t)
			w.engineWith(append([][]string{{"m0"}}, make([][]string, others)...)...)
			key := w.call("patient", prompt("m0"))
			w.turnAway(key, 300*time.Millisecond)
			req, end := w.router.requests[key], w.finishes[key]
			switch {
			case others > 0 && (req == nil || req.waiting == nil || req.waiting.home.Instance != "s1"):
				t.Errorf("doesn't wait for the other engine: %+v", end)
			case others == 0 && !end.Code.NotRun():
				t.Errorf("not refused: %+v", end)
			}
		})
	}
}
