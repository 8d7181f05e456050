package router

import (
	"testing"
	"time"

	"nutmeglane.example/nutmeglane/internal/code"
	"nutmeglane.example/nutmeglane/internal/core"
	"nutmeglane.example/nutmeglane/internal/fleet"
)

// A request waits for a model that takes long to load while its router gets SIGTERM. Guards
// against a connection that closes without an answer: the caller must be informed, in time,
// that the request did not run and when to retry.
func TestStopAnswersWaitingRequests(t *testing.T) {
	w := newFixture(t)
	w.servers(engineService, 1)
	w.reportHoldings(0, core.Holdings{FreeMB: 50_000, Models: []core.HeldModel{
		{Name: "m1", State: core.HoldStoreLoading, ReadyIn: 7 * time.Second},
	}})
	key := w.call("patient", prompt("m1"))
	if _, ended := w.finishes[key]; ended {
		t.Fatal("the request was refused before the stop")
	}
	w.step(Stopping{Until: w.now.Add(5 * time.Second)})
	finish, ended := w.finishes[key]
	if !ended || !finish.Code.NotRun() || finish.RetryAfter <= 0 {
		t.Fatalf("after the stop began: ended %t, %+v; want a refusal with Retry-After", ended, finish)
	}
}

// A request is at its server when the process ends. It may have run, so that its answer
// must not promise otherwise.
func TestStopAnswersSentRequests(t *testing.T) {
	w := newFixture(t)
	w.servers(plainService, 1)
	key := w.call("once", nil)
	w.step(Stopping{Until: w.now.Add(300 * time.Millisecond)})
	w.run(400 * time.Millisecond)
	if finish := w.finishes[key]; finish.Code != code.OutcomeUnknown {
		t.Fatalf("finish %+v, want OutcomeUnknown", finish)
	}
	if w.abandons[key] != 1 {
		t.Error("the server was left at work")
	}
}

// newPacedFixture returns a fixture with an engine that has m0 loaded and whose answers
// have shown that they take a second.
func newPacedFixture(t *testing.T) *fixture {
	w := newFixture(t)
	w.servers(engineService, 1)
	held := core.Holdings{FreeMB: 50_000, Models: loadedModels("m0")}
	w.reportHoldings(0, held)
	for range 5 {
		key := w.call("patient", prompt("m0"))
		attempt := w.lastSend(key).Attempt
		w.now = w.now.Add(100 * time.Millisecond)
		w.step(FirstEvent{Key: key, Attempt: attempt})
		w.now = w.now.Add(900 * time.Millisecond)
		w.step(Done{Key: key, Attempt: attempt, End: AnswerEnd{Events: 10}, Pause: 100 * time.Millisecond})
		w.reportHoldings(0, held)
	}
	return w
}

// reportLoadingM1 reports that the engine loads m1 within a second.
func (w *fixture) reportLoadingM1() {
	w.t.Helper()
	w.reportHoldings(0, core.Holdings{FreeMB: 20_000, Models: append(loadedModels("m0"),
		core.HeldModel{Name: "m1", State: core.HoldLoading, ReadyIn: time.Second})})
}

// wantRefusedAtStop checks that a request was refused as not run, with a short Retry-After
// for another host.
func (w *fixture) wantRefusedAtStop(key Key) {
	w.t.Helper()
	finish, ended := w.finishes[key]
	if !ended || finish.Code != code.Draining || finish.RetryAfter <= 0 || finish.RetryAfter > 2*quickRetryAfter {
		w.t.Errorf("ended %t, %+v; want a refusal with a short Retry-After", ended, finish)
	}
	if len(w.sends[key]) > 0 {
		w.t.Errorf("it was sent: %+v", w.sends[key])
	}
}

// Guards against a stream that is sent to its engine a moment before its router ends, and
// is cut off there.
func TestStopRefusesWhatWaitsForItsModel(t *testing.T) {
	w := newPacedFixture(t)
	w.reportLoadingM1()
	key := w.call("patient", prompt("m1"))
	w.step(Stopping{Until: w.now.Add(2 * time.Second)})
	w.wantRefusedAtStop(key)
}

// Guards against refusing a request that can be answered completely before the stop.
func TestStopServesWhatEndsInTime(t *testing.T) {
	w := newPacedFixture(t)
	w.reportLoadingM1()
	waits := w.call("patient", prompt("m1"))
	w.step(Stopping{Until: w.now.Add(7 * time.Second)})
	comes := w.call("patient", prompt("m0"))
	w.reportHoldings(0, core.Holdings{FreeMB: 20_000, Models: loadedModels("m0", "m1")})
	for _, key := range []Key{waits, comes} {
		if len(w.sends[key]) != 1 {
			t.Errorf("request %d was not sent: %+v", key, w.finishes[key])
		}
	}
}

// Guards against sending a request that arrives, or whose engine was slow to accept it,
// when its router is about to end.
func TestStopRefusesWhatComesLate(t *testing.T) {
	w := newPacedFixture(t)
	w.step(Stopping{Until: w.now.Add(1500 * time.Millisecond)})
	w.wantRefusedAtStop(w.call("patient", prompt("m0")))
}

// Guards against a request that waits for its account's quota until its router ends:
// admitted then, it is cut off.
func TestStopRefusesWhatWaitsForItsAccount(t *testing.T) {
	w := newQuotaFixture(t)
	key := w.callWith("again", validKey)
	w.step(Stopping{Until: w.now.Add(100 * time.Millisecond)})
	w.wantRefusedAtStop(key)
}

// Guards against the same for a request that waits for a server's permit.
func TestStopRefusesWhatWaitsForAPermit(t *testing.T) {
	w := newLimitedFixture(t, 1, 2)
	key := w.call("once", nil)
	w.lastPermitRequest()
	w.step(Stopping{Until: w.now.Add(100 * time.Millisecond)})
	w.wantRefusedAtStop(key)
}

// Guards against an answer that is cut at the end of a stop because its request was read seconds after
// the load balancer had removed the host, and its server or this process then paused.
func TestLateRequestsOfAStopKeepAReserve(t *testing.T) {
	cases := []struct {
		after, late time.Duration
		sent        bool
	}{
		{time.Second, 0, true}, {stopSettle, 0, true}, {3 * time.Second, 0, true}, {4700 * time.Millisecond, 0, false}, {6 * time.Second, 0, false},
		{time.Second, 3700 * time.Millisecond, false}, {time.Second, time.Second, true},
	}
	for _, c := range cases {
		w := newPacedFixture(t)
		w.step(Stopping{Until: w.now.Add(7400*time.Millisecond - c.late), Late: c.late})
		w.now = w.now.Add(c.after)
		w.reportHoldings(0, core.Holdings{FreeMB: 50_000, Models: loadedModels("m0")})
		key := w.call("patient", prompt("m0"))
		finish, ended := w.finishes[key]
		if sent := len(w.sends[key]) == 1; sent != c.sent || !sent && !finish.Code.NotRun() {
			t.Errorf("%v after the stop, which was %v late: sent %t, ended %t: %v", c.after, c.late, sent, ended, finish.Code)
		}
	}
}

// Guards against a stream of a plain service that is begun late in a stop and cut at its end: how long
// such streams last counts, and not only how soon they begin.
func TestStopRefusesAPlainStreamThatWouldBeCut(t *testing.T) {
	for lasts, want := range map[time.Duration]code.Code{500 * time.Millisecond: code.OK, 3 * time.Second: code.Draining} {
		w := newPlainStreams(t)
		for range 3 {
			key := w.call("plain", nil)
			attempt := w.lastSend(key).Attempt
			w.now = w.now.Add(100 * time.Millisecond)
			w.step(Answered{Key: key, Attempt: attempt, Answer: fleet.Answer{Status: 200}})
			w.step(FirstEvent{Key: key, Attempt: attempt})
			w.now = w.now.Add(lasts)
			w.step(Done{Key: key, Attempt: attempt, End: AnswerEnd{Events: 5}})
		}
		w.step(Stopping{Until: w.now.Add(testBounds().Grace)})
		w.run(3 * time.Second)
		key := w.call("plain", nil)
		if got := w.refusal(key); got != want || (got == code.OK) != (len(w.sends[key]) == 1) {
			t.Errorf("streams of %v: ended with %v, sent %d times, want %v", lasts, got, len(w.sends[key]), want)
		}
	}
}
