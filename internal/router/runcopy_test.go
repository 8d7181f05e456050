package router

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"nutmeglane.example/nutmeglane/internal/code"
	"nutmeglane.example/nutmeglane/internal/core"
	"nutmeglane.example/nutmeglane/internal/fleet"
	"nutmeglane.example/nutmeglane/internal/framing"
	"nutmeglane.example/nutmeglane/internal/limit"
)

const testCopyLife = 5 * time.Second

// copiesConfig is testConfig with engines that copy running requests, for a service that
// qualifies.
func copiesConfig(version int64) *fleet.Config {
	config := pausesConfig(version, 800*time.Millisecond, 800*time.Millisecond)
	engine := config.Services[engineService].Engine
	engine.Backups, engine.CopyLife = true, testCopyLife
	return config
}

// newCopiesFixture returns a router whose services copy running requests, with an engine for each
// release, all with model m0.
func newCopiesFixture(t testing.TB, releases ...fleet.Release) *fixture {
	w := newFixture(t)
	w.router.SetCrowding(CrowdingOptions{FromPause: 800 * time.Millisecond, RunCopies: true})
	w.step(ConfigRead{Config: copiesConfig(2)})
	w.releases(nil, releases...)
	return w
}

// instanceAt returns the server at an address.
func (w *fixture) instanceAt(address string) string {
	w.t.Helper()
	for instance, b := range w.router.backends {
		if b.Address == address {
			return instance
		}
	}
	w.t.Fatalf("no server at %q", address)
	return ""
}

// indexOf returns the number of a server in the fixture.
func indexOf(instance string) (i int) {
	_, _ = fmt.Sscanf(instance, "s%d", &i)
	return i
}

// beginCopied sends a stream that is copied and forwards its first event.
func (w *fixture) beginCopied() (key Key, first Send, holder string) {
	w.t.Helper()
	key, first = w.begin("quick")
	if first.CopyTo == "" {
		w.t.Fatal("no copy is made")
	}
	w.step(FirstEvent{Key: key, Attempt: first.Attempt})
	return key, first, w.instanceAt(first.CopyTo)
}

// lose reports that the answer of an attempt broke off as its connection was closed.
func (w *fixture) lose(key Key, send Send) {
	w.t.Helper()
	w.step(AttemptFailed{Key: key, Attempt: send.Attempt, Failure: Broken, Peer: PeerClosed, LastEvent: "3", End: AnswerEnd{Framing: framing.Chunked, End: framing.Closed, Events: 3}})
}

// wantContinued checks that a request was sent to the engine of its copy, once.
func (w *fixture) wantContinued(key Key, first Send, holder string) Send {
	w.t.Helper()
	sends := w.sends[key]
	if len(sends) != 2 {
		w.t.Fatalf("sent %d times: %+v, ended with %+v", len(sends), sends, w.finishes[key])
	}
	next := sends[1]
	want := fmt.Sprintf("%s/r%d", first.CopyTo, key)
	if next.Instance != holder || next.Address != first.CopyTo || next.CopyFrom != want || next.CopyTo != "" {
		w.t.Fatalf("continuation %+v, want it at %s from %s", next, holder, want)
	}
	return next
}

// wantLost checks that a request was not sent again and ended with a code that does not promise
// that it did not run.
func (w *fixture) wantLost(key Key, sends int, want code.Code) {
	w.t.Helper()
	end, ended := w.finishes[key]
	if len(w.sends[key]) != sends || !ended || end.Code != want || end.Code.NotRun() {
		w.t.Errorf("sent %d times, ended %t with %v, want %d times and %v", len(w.sends[key]), ended, end.Code, sends, want)
	}
}

// wantOutcome checks the log of the only continuation.
func (w *fixture) wantOutcome(outcome string) {
	w.t.Helper()
	lines := w.logged("continuation of a run")
	if len(lines) != 1 || attrString(w.t, lines[0], "outcome") != outcome {
		w.t.Errorf("log lines %+v, want one with outcome %q", lines, outcome)
	}
}

func attrString(t testing.TB, line Log, name string) string {
	t.Helper()
	for _, attr := range line.Attrs {
		if attr.Key == name {
			return attr.Value.String()
		}
	}
	t.Fatalf("no attribute %s in %+v", name, line)
	return ""
}

// Guards against copies at engines that can't continue the request, and against a copy at the
// engine that runs it.
func TestCopyIsMadeAtAnEngineThatCanContinue(t *testing.T) {
	limited := func(w *fixture, i int) {
		w.router.applyLimit(w.router.backends[fmt.Sprintf("s%d", i)], "test", limitWord(w.now, 100))
	}
	tests := []struct {
		name     string
		releases []fleet.Release
		change   func(w *fixture, i int)
	}{
		{"another release", []fleet.Release{v1, v2, v1}, func(*fixture, int) {}},
		{"draining", []fleet.Release{v1, v1, v1}, func(w *fixture, i int) { w.announce(fmt.Sprintf("s%d", i), drainingAnswer()) }},
		{"backing off", []fleet.Release{v1, v1, v1}, func(w *fixture, i int) { w.announce(fmt.Sprintf("s%d", i), backoffAnswer(time.Minute)) }},
		{"limited", []fleet.Release{v1, v1, v1}, limited},
		{"without the model", []fleet.Release{v1, v1, v1}, func(w *fixture, i int) { w.reportEngine(i, core.Holdings{Models: loadedModels("m1")}) }},
		{"unloading the model", []fleet.Release{v1, v1, v1}, func(w *fixture, i int) {
			w.reportEngine(i, core.Holdings{Models: []core.HeldModel{{Name: "m0", State: core.HoldUnloading}}})
		}},
		{"ejected", []fleet.Release{v1, v1, v1}, func(w *fixture, i int) {
			w.router.backends[fmt.Sprintf("s%d", i)].ejectedUntil = w.now.Add(time.Minute)
		}},
		{"unlisted", []fleet.Release{v1, v1, v1}, func(w *fixture, i int) {
			w.step(BackendsChanged{Removed: map[string]bool{fmt.Sprintf("s%d", i): true}})
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			for range 20 {
				w := newCopiesFixture(t, test.releases...)
				test.change(w, 1)
				key := w.call("quick", prompt("m0"))
				send := w.lastSend(key)
				switch {
				case send.Instance == "s1":
					if send.CopyTo != "" {
						t.Fatalf("copied from s1 to %s", send.CopyTo)
					}
				case send.CopyTo == "":
					t.Fatalf("no copy of a request at %s", send.Instance)
				default:
					if holder := w.instanceAt(send.CopyTo); holder == "s1" || holder == send.Instance {
						t.Fatalf("runs at %s, copied to %s", send.Instance, holder)
					}
				}
			}
		})
	}
}

// Guards against copies that gather at a busy engine.
func TestCopyIsMadeAtTheLeastLoadedEngine(t *testing.T) {
	w := newCopiesFixture(t, v1, v1, v1)
	w.reportEngine(0, core.Holdings{Models: loadedModels("m0"), Running: 40, Waiting: 20, Unread: 20})
	w.reportEngine(1, core.Holdings{Models: loadedModels("m0"), Running: 10})
	w.reportEngine(2, core.Holdings{Models: loadedModels("m0"), Running: 2})
	send := w.lastSend(w.call("quick", prompt("m0")))
	if want := map[string]string{"s2": "s1", "s1": "s2"}[send.Instance]; w.instanceAt(send.CopyTo) != want {
		t.Errorf("runs at %s, copied to %s", send.Instance, w.instanceAt(send.CopyTo))
	}
}

// Guards against a copy without the adapter that the request needs.
func TestCopyIsMadeWithTheAdapter(t *testing.T) {
	w := newCopiesFixture(t, v1, v1, v1)
	with := []core.HeldModel{{Name: "m0", State: core.HoldLoaded, Adapters: []string{"a1"}}}
	w.reportEngine(0, core.Holdings{Models: with})
	w.reportEngine(2, core.Holdings{Models: with})
	p := prompt("m0")
	p.Adapter = "a1"
	send := w.lastSend(w.call("quick", p))
	if holder := w.instanceAt(send.CopyTo); holder == "s1" || send.Instance == "s1" {
		t.Errorf("runs at %s, copied to %s", send.Instance, holder)
	}
}

// Guards against a change on the wire, and of what happens after a failure, where copies are off:
// by the setting, because the service does not qualify, because its engines keep no copies, or
// because the route is repeatable.
func TestNothingIsCopiedWhereCopiesAreOff(t *testing.T) {
	on := CrowdingOptions{FromPause: 800 * time.Millisecond, RunCopies: true}
	tests := []struct {
		name    string
		options CrowdingOptions
		change  func(*fleet.Config)
		route   string
	}{
		{"no setting", CrowdingOptions{}, func(*fleet.Config) {}, "quick"},
		{"switch off", CrowdingOptions{FromPause: 800 * time.Millisecond, Budget: true, CopyPlan: true}, func(*fleet.Config) {}, "quick"},
		{"a short pause objective", on, func(c *fleet.Config) { c.Routes[1].PauseObjective = 400 * time.Millisecond }, "quick"},
		{"engines keep none", on, func(c *fleet.Config) { c.Services[engineService].Engine.Backups = false }, "quick"},
		{"resumable route", on, func(*fleet.Config) {}, "patient"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			w := newFixture(t)
			w.router.SetCrowding(test.options)
			config := copiesConfig(2)
			test.change(config)
			w.step(ConfigRead{Config: config})
			w.releases(nil, v1, v1, v1)
			key, first := w.begin(test.route)
			w.step(FirstEvent{Key: key, Attempt: first.Attempt})
			w.lose(key, first)
			for _, send := range w.sends[key] {
				if send.CopyTo != "" || send.CopyFrom != "" {
					t.Errorf("sent %+v", send)
				}
			}
			if test.route == "quick" {
				w.wantLost(key, 1, code.AnswerCut)
			}
			if lines := w.logged("continuation of a run"); len(lines) != 0 {
				t.Errorf("logged %+v", lines)
			}
		})
	}
}

// A request without an id can't be named at the engine of a copy, and an engine whose release is
// not known may continue a run of another one.
func TestNoCopyWithoutIDOrRelease(t *testing.T) {
	w := newCopiesFixture(t, v1, v1)
	w.step(Arrived{Key: 900, Request: fleet.Request{Host: callersHost, Path: "/quick/x", Prompt: prompt("m0")}})
	if send := w.lastSend(900); send.CopyTo != "" {
		t.Errorf("without an id copied to %s", send.CopyTo)
	}
	w = newCopiesFixture(t, fleet.Release{}, fleet.Release{})
	if send := w.lastSend(w.call("quick", prompt("m0"))); send.CopyTo != "" {
		t.Errorf("without a release copied to %s", send.CopyTo)
	}
}

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
			if len(w.sends[key]) != 1 {
				t.Fatal("the last bytes of its answer were not waited for")
			}
			w.run(lastBytesWithin + 2*tickInterval)
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

// The dump shows requests with a copy, and what became of them is counted.
func TestRunCopiesAreDumped(t *testing.T) {
	w := newCopiesFixture(t, v1, v1, v1)
	key, first, holder := w.beginCopied()
	w.call("patient", prompt("m0"))
	want := RunCopyState{Request: fmt.Sprintf("r%d", key), Service: engineService, Model: "m0", Instance: first.Instance, Copy: holder}
	if s := w.router.Dump(); s.RunCopies != 1 || !slices.Equal(s.CopiedRuns, []RunCopyState{want}) {
		t.Errorf("%d copies: %+v, want %+v", s.RunCopies, s.CopiedRuns, want)
	}
	w.lose(key, first)
	want.Instance, want.Continues = holder, true
	if s := w.router.Dump(); s.RunCopies != 1 || !slices.Equal(s.CopiedRuns, []RunCopyState{want}) {
		t.Errorf("%d copies: %+v, want %+v", s.RunCopies, s.CopiedRuns, want)
	}
	w.step(CallerLeft{Key: key})
	w.wantOutcome(callerLeftIt)
	if s := w.router.Dump(); s.RunCopies != 0 {
		t.Errorf("%d copies after the end", s.RunCopies)
	}
	var counted bool
	for _, def := range Counters {
		counted = counted || def.Name == metricContinuations && strings.Join(def.Labels, ",") == "service,outcome"
	}
	if !counted {
		t.Error("the counter is not declared")
	}
}
