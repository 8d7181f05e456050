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
	w.run(continuationDelay + tickInterval)
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

// Guards against copies that are counted after their end: the engine would get none any more.
func TestCopiesAreCountedWhileTheyLast(t *testing.T) {
	w := newCopiesFixture(t, v1, v1, v1)
	copies := func() (n int) {
		for _, b := range w.router.backends {
			n += b.copies
		}
		return n
	}
	done, _, _ := w.beginCopied()
	lost, first, _ := w.beginCopied()
	left, _, _ := w.beginCopied()
	if n := copies(); n != 3 {
		t.Errorf("%d copies of 3 requests", n)
	}
	w.step(Done{Key: done, Attempt: 1})
	w.step(CallerLeft{Key: left})
	w.lose(lost, first)
	if n := copies(); n != 0 {
		t.Errorf("%d copies after their end", n)
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
	w.run(continuationDelay)
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
