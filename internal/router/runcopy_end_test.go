package router

import (
	"testing"
	"time"

	"nutmeglane.example/nutmeglane/internal/code"
	"nutmeglane.example/nutmeglane/internal/core"
	"nutmeglane.example/nutmeglane/internal/fleet"
)

// Guards against a request that crashes engine after engine by its continuations: one under which
// another server has ended is not continued.
func TestSuspectedRequestIsNotContinued(t *testing.T) {
	const work core.Fingerprint = 77
	end := func(instance string, requests ...core.LostRequest) core.ServerEnd {
		return core.ServerEnd{Life: core.ServerLife{Instance: instance}, Service: engineService, Address: "10.9.0.1:8000", Requests: requests}
	}
	lost := core.LostRequest{Fingerprint: work, Arrival: 1}
	for name, test := range map[string]struct {
		end       func(first Send) core.ServerEnd
		continues bool
	}{
		"another server ended under it": {func(Send) core.ServerEnd { return end("gone", lost) }, false},
		"it ended an earlier life of its server": {func(first Send) core.ServerEnd {
			earlier := end(first.Instance, lost)
			earlier.Life.Born = 500
			return earlier
		}, false},
		"the same server ended under it":    {func(first Send) core.ServerEnd { return end(first.Instance, lost) }, true},
		"another server ended under others": {func(Send) core.ServerEnd { return end("gone", core.LostRequest{Fingerprint: 78, Arrival: 2}) }, true},
	} {
		t.Run(name, func(t *testing.T) {
			w := newCopiesFixture(t, v1, v1, v1)
			w.reconnectLoaders(3, 1000)
			key := w.callWithFingerprint(work, "quick", prompt("m0"))
			first := w.lastSend(key)
			holder := w.instanceAt(first.CopyTo)
			w.step(PoisonReported{News: core.PoisonNews{Ends: []core.ServerEnd{test.end(first)}}})
			w.closeConnection(key)
			if test.continues {
				w.wantContinued(key, first, holder)
				return
			}
			w.wantLost(key, 1, code.OutcomeUnknown)
			w.wantOutcome(runSuspected)
		})
	}
}

// Guards against a request that crashes engine after engine by a part of its prompt. A part on
// which this request's engine wrote well before its end is no reason.
func TestRequestWithASuspectedPartIsNotContinued(t *testing.T) {
	for name, wrote := range map[string]bool{"before an answer": false, "after an answer": true} {
		t.Run(name, func(t *testing.T) {
			w := newCopiesFixture(t, v1, v1, v1)
			key := w.call("quick", promptWith("m0", "shared"))
			first := w.lastSend(key)
			holder := w.instanceAt(first.CopyTo)
			if wrote {
				w.step(Answered{Key: key, Attempt: first.Attempt, Answer: fleet.Answer{Status: 200}})
				w.step(FirstEvent{Key: key, Attempt: first.Attempt})
				w.now = w.now.Add(liveAfter) // without a tick: the part is not known to be harmless
			}
			w.step(PoisonReported{News: core.PoisonNews{Ends: []core.ServerEnd{{
				Life: core.ServerLife{Instance: "gone"}, Service: engineService, Address: "10.9.0.1:8000",
				Requests: []core.LostRequest{{Fingerprint: 5, Arrival: 9}},
				Parts:    []core.LostPart{{Part: partFingerprint(engineService, "shared"), Holders: []uint16{0}}},
			}}}})
			w.closeConnection(key)
			if wrote {
				w.wantContinued(key, first, holder)
				return
			}
			w.wantLost(key, 1, code.OutcomeUnknown)
			w.wantOutcome(runSuspected)
		})
	}
}

// Guards against a request that proves to crash engines only by its continuation, and whose second
// end does not count: the engine of the copy that ends under it is a further server.
func TestContinuationCountsAsAFurtherServer(t *testing.T) {
	const work core.Fingerprint = 77
	w := newCopiesFixture(t, v1, v1, v1)
	key := w.callWithFingerprint(work, "quick", prompt("m0"))
	first := w.lastSend(key)
	holder := w.instanceAt(first.CopyTo)
	w.crashUnder(key)
	w.wantContinued(key, first, holder)
	w.crashUnder(key)
	if n := w.router.ledger.Ends(work); n != 2 {
		t.Errorf("%d servers ended under it, want 2", n)
	}
	w.wantLost(key, 2, code.OutcomeUnknown)
	again := w.callWithFingerprint(work, "quick", prompt("m0"))
	if send := w.lastSend(again); send.CopyTo != "" {
		t.Errorf("the last engine copies to %s", send.CopyTo)
	}
}

// Guards against a stream that is lost with its engine's host: no connection is closed, and another
// sign shows the engine's end. The attempt is left before the continuation is sent.
func TestRunContinuesAfterAnEndWithoutAClosedConnection(t *testing.T) {
	signs := map[string]func(w *fixture, first Send){
		"its loader": func(w *fixture, first Send) { w.loaderFindsGone(first.Instance) },
		"refused connection": func(w *fixture, first Send) {
			for range 100 {
				key := w.callWithFingerprint(2, "patient", prompt("m0"))
				if send := w.lastSend(key); send.Instance == first.Instance {
					w.step(AttemptFailed{Key: key, Attempt: send.Attempt, Failure: NotSent, Peer: PeerRefused, Cause: "refused"})
					return
				}
			}
			w.t.Fatal("nothing was sent to " + first.Instance)
		},
		"its address has another instance": func(w *fixture, first Send) {
			b := w.server(engineService, indexOf(first.Instance))
			b.Instance = "new"
			w.register(b)
		},
		"it started again": func(w *fixture, first Send) {
			b := w.server(engineService, indexOf(first.Instance))
			b.Born = 3000
			w.register(b)
		},
	}
	for name, sign := range signs {
		t.Run(name, func(t *testing.T) {
			w := newCopiesFixture(t, v1, v1, v1)
			for _, b := range w.router.backends {
				b.Born = 1000
			}
			w.router.loaders = map[core.HostID]*loader{}
			w.reconnectLoaders(3, 1000)
			key, first, holder := w.beginCopied()
			w.run(tickInterval)
			sign(w, first)
			w.run(lastBytesWithin - 2*tickInterval)
			if len(w.sends[key]) != 1 {
				t.Fatal("the last bytes of its answer were not waited for")
			}
			w.run(4 * tickInterval)
			w.wantContinued(key, first, holder)
			if w.abandons[key] != first.Attempt {
				t.Error("the first attempt was not left")
			}
			if n := w.router.ledger.Ends(1); n != 0 {
				t.Errorf("%d ends count against it", n)
			}
		})
	}
}

// Guards against repeats beyond the bound after an end without a closed connection, and against a
// permit that is asked for a request which may be served where it is.
func TestContinuationAfterASignIsBounded(t *testing.T) {
	w := newCopiesFixture(t, v1, v1)
	bounds := testBounds()
	bounds.RetryRatio, bounds.RetrySlack = 0, 1
	w.router.SetBounds(bounds)
	var keys []Key
	for len(keys) < 2 {
		if key, first, _ := w.beginCopied(); first.Instance == "s0" {
			keys = append(keys, key)
		}
	}
	w.run(tickInterval)
	w.router.serverEnded(w.router.backends["s0"], "test")
	w.run(time.Second)
	if a, b := len(w.sends[keys[0]]), len(w.sends[keys[1]]); a+b != 3 || len(w.finishes) != 0 {
		t.Errorf("sent %d and %d times, ends %+v", a, b, w.finishes)
	}

	w = newCopiesFixture(t, v1, v1)
	key, first, holder := w.beginCopied()
	w.run(tickInterval)
	w.router.applyLimit(w.router.backends[holder], "test", limitWord(w.now, 0.5))
	w.router.serverEnded(w.router.backends[first.Instance], "test")
	w.run(time.Second)
	if len(w.sends[key]) != 1 || w.abandons[key] != 0 || len(w.finishes) != 0 {
		t.Errorf("sent %d times, left %d, ends %+v", len(w.sends[key]), w.abandons[key], w.finishes)
	}
}

// Guards against events of another release: the first engine restarted before its first event, so
// that the release which wrote it is not known.
func TestRunOfAnUnknownReleaseIsNotContinued(t *testing.T) {
	w := newCopiesFixture(t, v1, v1)
	w.reconnectLoaders(2, 1000)
	w.now = w.now.Add(10 * time.Millisecond) // after the last report of the engine's earlier life
	key, first := w.begin("quick")
	b := w.server(engineService, indexOf(first.Instance))
	b.Born = 2000
	w.register(b)
	w.step(FirstEvent{Key: key, Attempt: first.Attempt})
	w.lose(key, first)
	w.wantLost(key, 1, code.AnswerCut)
	w.wantOutcome(copyEngineChanged)
}

// reconnectLoaders connects the loaders of n engines of an incarnation, which have m0.
func (w *fixture) reconnectLoaders(n int, born int64) {
	w.t.Helper()
	for i := range n {
		b := w.server(engineService, i)
		b.Born = born
		w.register(b)
		w.reportHoldings(i, core.Holdings{Instance: b.Instance, Born: born, Models: loadedModels("m0")})
	}
}

// Guards against a request that is lost, rather than left where it is, because an engine seems to
// have ended and there is no copy to continue from; and against leaving requests that were sent
// after the sign, which shows that it was wrong.
func TestRunStaysAtAnEngineThatSeemsToHaveEnded(t *testing.T) {
	w := newCopiesFixture(t, v1, v1)
	key, first, holder := w.beginCopied()
	w.announce(holder, drainingAnswer())
	w.router.serverEnded(w.router.backends[first.Instance], "test")
	w.run(time.Second)
	if len(w.sends[key]) != 1 || w.abandons[key] != 0 || len(w.finishes) != 0 {
		t.Errorf("sent %d times, left %d, ends %+v", len(w.sends[key]), w.abandons[key], w.finishes)
	}

	w = newCopiesFixture(t, v1, v1)
	for _, b := range w.router.backends {
		w.router.serverEnded(b, "test")
	}
	w.run(tickInterval)
	key, _, _ = w.beginCopied()
	w.run(time.Second)
	if len(w.sends[key]) != 1 || w.abandons[key] != 0 {
		t.Errorf("sent %d times, left %d", len(w.sends[key]), w.abandons[key])
	}
}

// A request that waited for its first event when its engine restarted is continued at once.
func TestUnansweredRunContinuesAfterARestart(t *testing.T) {
	w := newCopiesFixture(t, v1, v1)
	w.reconnectLoaders(2, 1000)
	key := w.call("quick", prompt("m0"))
	first := w.lastSend(key)
	holder := w.instanceAt(first.CopyTo)
	w.reportHoldings(indexOf(first.Instance), core.Holdings{Instance: first.Instance, Born: 1000, Models: loadedModels("m0")})
	b := w.server(engineService, indexOf(first.Instance))
	b.Born = 2000
	w.register(b)
	w.wantContinued(key, first, holder)
	if w.abandons[key] != first.Attempt {
		t.Error("the first attempt was not left")
	}
}

// Guards against events of another release: the engine of the copy restarts while the continuation
// is on its way to it.
func TestContinuationAtARestartedEngineIsNotForwarded(t *testing.T) {
	for _, forwarded := range []bool{true, false} {
		w := newCopiesFixture(t, v1, v1)
		w.reconnectLoaders(2, 1000)
		key, first := w.begin("quick")
		holder := w.instanceAt(first.CopyTo)
		if forwarded {
			w.step(FirstEvent{Key: key, Attempt: first.Attempt})
		}
		w.now = w.now.Add(10 * time.Millisecond) // after the last report of the engine's earlier life
		w.step(AttemptFailed{Key: key, Attempt: first.Attempt, Failure: Broken, Peer: PeerClosed, NothingGiven: !forwarded})
		next := w.wantContinued(key, first, holder)
		b := w.server(engineService, indexOf(holder))
		b.Born, b.Release = 2000, v2
		w.register(b)
		w.step(Answered{Key: key, Attempt: next.Attempt, Answer: fleet.Answer{Status: 200}})
		w.step(FirstEvent{Key: key, Attempt: next.Attempt})
		if len(w.sends[key]) != 2 || w.abandons[key] != next.Attempt || w.finishes[key].Code == code.OK || w.finishes[key].Code.NotRun() {
			t.Errorf("forwarded %t: sent %d times, left %d, ended with %+v", forwarded, len(w.sends[key]), w.abandons[key], w.finishes[key])
		}
	}
}
