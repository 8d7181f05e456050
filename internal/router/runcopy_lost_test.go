package router

import (
	"fmt"
	"testing"
	"time"

	"nutmeglane.example/nutmeglane/internal/code"
	"nutmeglane.example/nutmeglane/internal/core"
	"nutmeglane.example/nutmeglane/internal/fleet"
	"nutmeglane.example/nutmeglane/internal/framing"
	"nutmeglane.example/nutmeglane/internal/limit"
)

// Guards against the loss of a stream, with or without an event, whose engine failed in one of the
// ways in which its memory may be left at the engine of the copy.
func TestLostRunContinuesAtItsCopy(t *testing.T) {
	tests := []struct {
		name           string
		answer, events bool
		failure        AttemptFailed
	}{
		{"no answer", false, false, AttemptFailed{Failure: NoAnswer, Peer: PeerClosed, NothingGiven: true}},
		{"path lost", false, false, AttemptFailed{Failure: NoAnswer, NothingGiven: true}},
		{"before the first event", true, false, AttemptFailed{Failure: Broken, Peer: PeerClosed, NothingGiven: true}},
		{"after an event", true, true, AttemptFailed{Failure: Broken, Peer: PeerClosed, LastEvent: "3"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			w := newCopiesFixture(t, v1, v1, v1)
			key := w.call("quick", prompt("m0"))
			first := w.lastSend(key)
			holder := w.instanceAt(first.CopyTo)
			if test.answer {
				w.step(Answered{Key: key, Attempt: first.Attempt, Answer: fleet.Answer{Status: 200}})
			}
			if test.events {
				w.step(FirstEvent{Key: key, Attempt: first.Attempt})
			}
			test.failure.Key, test.failure.Attempt = key, first.Attempt
			w.step(test.failure)
			next := w.wantContinued(key, first, holder)
			w.step(Answered{Key: key, Attempt: next.Attempt, Answer: fleet.Answer{Status: 200}})
			w.step(FirstEvent{Key: key, Attempt: next.Attempt})
			w.step(Done{Key: key, Attempt: next.Attempt, End: AnswerEnd{Framing: framing.Chunked, End: framing.Marked, Events: 4}})
			if len(w.router.requests) != 0 || len(w.finishes) != 0 {
				t.Errorf("still there: %v, ended with %+v", w.router.requests, w.finishes)
			}
			w.wantOutcome(continuedWhole)
			if lines := w.logged("stream resumes"); len(lines) != 0 {
				t.Errorf("counted as a resumption: %+v", lines)
			}
			line := w.logged("continuation of a run")[0]
			if from, to, last := attrString(t, line, "instance"), attrString(t, line, "copy"), attrString(t, line, "last_event"); from != first.Instance || to != holder || last != test.failure.LastEvent {
				t.Errorf("logged from %s to %s after %q", from, to, last)
			}
		})
	}
}

// Guards against a continuation after a failure that does not show that the engine has dropped
// the request or what its answer was, and after one at a point that can't be told exactly.
func TestOtherFailuresAreNotContinued(t *testing.T) {
	tests := []struct {
		name    string
		answer  bool
		failure AttemptFailed
		want    code.Code
	}{
		{"bad answer", false, AttemptFailed{Failure: BadAnswer, NothingGiven: true}, code.OutcomeUnknown},
		{"a body that is no stream", false, AttemptFailed{Failure: Broken, Peer: PeerClosed, NothingGiven: true}, code.OutcomeUnknown},
		{"an event without id", true, AttemptFailed{Failure: Broken, Peer: PeerClosed, End: AnswerEnd{Unresumable: true}}, code.AnswerCut},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			w := newCopiesFixture(t, v1, v1, v1)
			key := w.call("quick", prompt("m0"))
			first := w.lastSend(key)
			if test.answer {
				w.step(Answered{Key: key, Attempt: first.Attempt, Answer: fleet.Answer{Status: 200}})
				w.step(FirstEvent{Key: key, Attempt: first.Attempt})
			}
			test.failure.Key, test.failure.Attempt = key, first.Attempt
			w.step(test.failure)
			w.wantLost(key, 1, test.want)
		})
	}
}

// Guards against a continuation at an engine that can't have the copy any more, that must get
// nothing, or that would make another run of it; and against one that the caller, the process or
// the fleet can't afford.
func TestConditionsOfAContinuation(t *testing.T) {
	tests := []struct {
		name    string
		change  func(w *fixture, holder string)
		outcome string
	}{
		{"restarted", func(w *fixture, holder string) {
			b := w.server(engineService, indexOf(holder))
			b.Born = 2000
			w.register(b)
			w.reportHoldings(indexOf(holder), core.Holdings{Instance: holder, Born: 2000, Models: loadedModels("m0")})
		}, copyEngineGone},
		{"ended", func(w *fixture, holder string) { w.loaderFindsGone(holder) }, copyEngineGone},
		{"unlisted", func(w *fixture, holder string) { w.step(BackendsChanged{Removed: map[string]bool{holder: true}}) }, copyEngineExcluded},
		{"draining", func(w *fixture, holder string) { w.announce(holder, drainingAnswer()) }, copyEngineExcluded},
		{"backing off", func(w *fixture, holder string) { w.announce(holder, backoffAnswer(time.Minute)) }, copyEngineExcluded},
		{"ejected", func(w *fixture, holder string) {
			w.router.backends[holder].ejectedUntil = w.now.Add(time.Minute)
		}, copyEngineExcluded},
		{"evacuated", func(w *fixture, holder string) {
			w.router.backends[holder].Zone = "b"
			w.step(EvacuationsRead{Zones: []core.Zone{"b"}})
		}, copyEngineExcluded},
		{"another release", func(w *fixture, holder string) { w.router.backends[holder].Release = v2 }, copyEngineChanged},
		{"unknown release", func(w *fixture, holder string) { w.router.backends[holder].Release = fleet.Release{} }, copyEngineChanged},
		{"model unloaded", func(w *fixture, holder string) {
			w.reportEngine(indexOf(holder), core.Holdings{Models: loadedModels("m1")})
		}, copyEngineChanged},
		{"switched off", func(w *fixture, _ string) { w.router.SetCrowding(CrowdingOptions{}) }, copyOff},
		{"no repeat left", func(w *fixture, _ string) {
			bounds := testBounds()
			bounds.RetryRatio, bounds.RetrySlack = 0, 0
			w.router.SetBounds(bounds)
		}, runNoRepeat},
		{"the process stops", func(w *fixture, _ string) { w.step(Stopping{Until: w.now.Add(100 * time.Millisecond)}) }, runNotInTime},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			w := newCopiesFixture(t, v1, v1, v1)
			key, first, holder := w.beginCopied()
			test.change(w, holder)
			w.lose(key, first)
			w.wantLost(key, 1, code.AnswerCut)
			w.wantOutcome(test.outcome)
		})
	}
}

// Guards against a request that is run twice: it has one continuation, whatever becomes of it, and
// never goes to an engine without its memory; not even on a route with attempts left.
func TestContinuationIsTheLast(t *testing.T) {
	answer := func(a fleet.Answer) func(*fixture, Key, Send) {
		return func(w *fixture, key Key, next Send) { w.step(Answered{Key: key, Attempt: next.Attempt, Answer: a}) }
	}
	fail := func(e AttemptFailed) func(*fixture, Key, Send) {
		return func(w *fixture, key Key, next Send) {
			e.Key, e.Attempt = key, next.Attempt
			w.step(e)
		}
	}
	tests := []struct {
		name    string
		end     func(w *fixture, key Key, next Send)
		outcome string
	}{
		{"no copy there", answer(fleet.Answer{Status: 503}), continuationNone},
		{"not run there", answer(fleet.Answer{Status: 503, NotRun: true}), continuationNone},
		{"backs off", answer(fleet.Answer{Status: 503, NotRun: true, Backoff: fleet.ReportedBackoff{State: fleet.BackoffReported, Period: time.Second}}), continuationNone},
		{"another instance", answer(fleet.Answer{Status: 421, NotRun: true, Absent: true}), continuationNone},
		{"failed", answer(fleet.Answer{Status: 500}), continuationFailed},
		{"another success", answer(fleet.Answer{Status: 204}), continuationFailed},
		{"client error", answer(fleet.Answer{Status: 400}), continuationFailed},
		{"not connected", fail(AttemptFailed{Failure: NotSent, Peer: PeerRefused}), continuationUnsent},
		{"no connection free", fail(AttemptFailed{Failure: ConnsExhausted}), continuationUnsent},
		{"excluded meanwhile", fail(AttemptFailed{Failure: Withdrawn}), continuationUnsent},
		{"no answer", fail(AttemptFailed{Failure: NoAnswer, Peer: PeerClosed}), continuationCut},
		{"broken off", func(w *fixture, key Key, next Send) {
			w.step(Answered{Key: key, Attempt: next.Attempt, Answer: fleet.Answer{Status: 200}})
			w.step(FirstEvent{Key: key, Attempt: next.Attempt})
			w.lose(key, next)
		}, continuationCut},
		{"hangs", func(w *fixture, key Key, _ Send) { w.run(12 * time.Second) }, continuationEnded},
	}
	for _, test := range tests {
		for _, forwarded := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s, forwarded %t", test.name, forwarded), func(t *testing.T) {
				w := newCopiesFixture(t, v1, v1, v1, v1)
				config := copiesConfig(3)
				config.Routes[0].MaxAttempts = 3
				w.step(ConfigRead{Config: config})
				key, first := w.begin("quick")
				holder := w.instanceAt(first.CopyTo)
				if forwarded {
					w.step(FirstEvent{Key: key, Attempt: first.Attempt})
				}
				w.step(AttemptFailed{Key: key, Attempt: first.Attempt, Failure: Broken, Peer: PeerClosed, NothingGiven: !forwarded})
				test.end(w, key, w.wantContinued(key, first, holder))
				end := w.finishes[key]
				if len(w.sends[key]) != 2 || end.Code == code.OK || end.Code.NotRun() {
					t.Errorf("sent %d times, ended with %+v", len(w.sends[key]), end)
				}
				if forwarded && end.Code != code.AnswerCut {
					t.Errorf("ended with %v after a part was forwarded", end.Code)
				}
				w.wantOutcome(test.outcome)
			})
		}
	}
}

// Guards against an answer of the first engine that is taken for that of the continuation: what is
// reported of an attempt that was left has no effect.
func TestLateReportsOfTheFirstAttemptHaveNoEffect(t *testing.T) {
	w := newCopiesFixture(t, v1, v1, v1)
	key, first, holder := w.beginCopied()
	w.lose(key, first)
	next := w.wantContinued(key, first, holder)
	w.step(Answered{Key: key, Attempt: first.Attempt, Answer: fleet.Answer{Status: 500}})
	w.step(FirstEvent{Key: key, Attempt: first.Attempt})
	w.lose(key, first)
	w.step(Done{Key: key, Attempt: first.Attempt})
	if req := w.router.requests[key]; req == nil || req.number != next.Attempt || len(w.sends[key]) != 2 || len(w.finishes) != 0 {
		t.Errorf("request %+v, sends %d, ends %+v", req, len(w.sends[key]), w.finishes)
	}
}

// Guards against a continuation of what was answered completely.
func TestAnsweredRequestIsNotContinued(t *testing.T) {
	w := newCopiesFixture(t, v1, v1, v1)
	key, first, _ := w.beginCopied()
	w.step(Done{Key: key, Attempt: first.Attempt})
	w.lose(key, first)
	w.loaderFindsGone(first.Instance)
	w.run(time.Second)
	if len(w.sends[key]) != 1 || len(w.finishes) != 0 {
		t.Errorf("sent %d times, ends %+v", len(w.sends[key]), w.finishes)
	}
}

// Guards against repeats beyond the bound: a continuation counts as one. Its route's attempts do
// not bound it.
func TestContinuationTakesARepeat(t *testing.T) {
	w := newCopiesFixture(t, v1, v1, v1)
	bounds := testBounds()
	bounds.RetryRatio, bounds.RetrySlack = 0, 1
	w.router.SetBounds(bounds)
	a, firstA, holder := w.beginCopied()
	b, firstB, _ := w.beginCopied()
	w.lose(a, firstA)
	w.wantContinued(a, firstA, holder)
	w.lose(b, firstB)
	w.wantLost(b, 1, code.AnswerCut)
}

// limitWord is a server's statement of its limit.
func limitWord(now core.Time, perSecond float64) limit.Announcement {
	return limit.Announcement{Named: true, PerSecond: perSecond, Sent: now, Received: now}
}

// Guards against a continuation that takes a limited engine's capacity without a permit, and
// against one that goes elsewhere, or comes too late, if there is none.
func TestContinuationNeedsAPermit(t *testing.T) {
	prepare := func(t *testing.T) (*fixture, Key, Send, string) {
		w := newCopiesFixture(t, v1, v1, v1)
		key, first, holder := w.beginCopied()
		w.router.applyLimit(w.router.backends[holder], "test", limitWord(w.now, 0.5))
		w.lose(key, first)
		w.run(continuationDelay)
		if len(w.sends[key]) != 1 || len(w.limitRequests) == 0 || w.finishes[key].Code != code.OK {
			t.Fatalf("sent %d times, permit requests %+v, ended with %+v", len(w.sends[key]), w.limitRequests, w.finishes[key])
		}
		return w, key, first, holder
	}
	t.Run("granted", func(t *testing.T) {
		w, key, first, holder := prepare(t)
		w.answerPermitRequest(true, 0)
		w.wantContinued(key, first, holder)
	})
	t.Run("refused", func(t *testing.T) {
		w, key, _, _ := prepare(t)
		w.answerPermitRequest(false, time.Second)
		w.wantLost(key, 1, code.AnswerCut)
		w.wantOutcome(continuationUnsent)
	})
	t.Run("unanswered", func(t *testing.T) {
		w, key, _, _ := prepare(t)
		w.run(time.Second)
		w.wantLost(key, 1, code.AnswerCut)
	})
	t.Run("granted when the engine is excluded", func(t *testing.T) {
		w, key, _, holder := prepare(t)
		w.router.backends[holder].ejectedUntil = w.now.Add(time.Minute)
		w.answerPermitRequest(true, 0)
		w.wantLost(key, 1, code.AnswerCut)
		w.wantOutcome(copyEngineExcluded)
	})
	t.Run("granted too late", func(t *testing.T) {
		w, key, _, _ := prepare(t)
		w.now = w.now.Add(testCopyLife / 2)
		w.answerPermitRequest(true, 0)
		w.wantLost(key, 1, code.AnswerCut)
		w.wantOutcome(copyTooOld)
	})
}

// Guards against callers who lose their streams, or repeats beyond the bound, when an engine with
// many requests ends.
func TestAllRunsOfACrashedEngineContinue(t *testing.T) {
	w := newCopiesFixture(t, v1, v1, v1, v1)
	var keys []Key
	for range 100 {
		key, first := w.begin("quick")
		w.step(FirstEvent{Key: key, Attempt: first.Attempt})
		if first.Instance == "s0" {
			keys = append(keys, key)
		}
	}
	if len(keys) < 10 {
		t.Fatalf("%d requests at s0", len(keys))
	}
	holders := map[string]int{}
	lost := map[Key]Send{}
	for _, key := range keys {
		lost[key] = w.lastSend(key)
		w.lose(key, lost[key])
	}
	for key, first := range lost {
		w.wantContinued(key, first, w.instanceAt(first.CopyTo))
		holders[w.instanceAt(first.CopyTo)]++
	}
	for holder, n := range holders {
		if n > len(keys)/2 {
			t.Errorf("the copies of %d of %d requests are at %s", n, len(keys), holder)
		}
	}
}

// Guards against a request that runs twice: the engine of its copy crashes together with its own,
// and would receive the continuation in that moment.
func TestContinuationWaitsForTheEndOfBothEngines(t *testing.T) {
	w := newCopiesFixture(t, v1, v1, v1)
	key, first, holder := w.beginCopied()
	w.lose(key, first)
	if len(w.sends[key]) != 1 {
		t.Fatal("continued in the moment of the loss")
	}
	w.run(continuationDelay / 2)
	w.router.serverEnded(w.router.backends[holder], "test")
	w.run(continuationDelay)
	w.wantLost(key, 1, code.AnswerCut)
	w.wantOutcome(copyEngineGone)
}
