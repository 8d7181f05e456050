package harness_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"nutmeglane.example/nutmeglane/internal/api"
	"nutmeglane.example/nutmeglane/internal/code"
	"nutmeglane.example/nutmeglane/internal/core"
	"nutmeglane.example/nutmeglane/internal/harness"
)

// Bounds of the times drawn for a planned stop.
const (
	// stopSpan is the period in which calls, the stop and the faults begin.
	stopSpan = 4 * time.Second
	// stopLimit is much longer than any call.
	stopLimit = 30 * time.Second
	// shortestLimit gives an agent enough time to report requests that have not
	// started.
	shortestLimit = 100 * time.Millisecond
	// longestStarved is the maximum time that a process waits for the processor.
	// longestUnreachable is the maximum where connections break as well: an entry that
	// cannot reconnect within its resume window gives up even if no agent stops.
	longestStarved     = 6 * time.Second
	longestUnreachable = time.Second
)

// stopHistory is a random history with a planned stop and calls that must not be
// repeated, on hosts that are short of processor time.
type stopHistory struct {
	*fleet
	rt    *rapid.T
	calls []*harness.Outcome
}

func newStopHistory(rt *rapid.T) *stopHistory {
	f := newFleet(rt, rapid.Uint64Range(1, 1<<20).Draw(rt, "seed"), shortTimings())
	f.startAgent(f.host("s1", 1, core.RoleBackend), f.NewEngine(0, false))
	f.RunFor(20 * time.Second)
	return &stopHistory{fleet: f, rt: rt}
}

func (h *stopHistory) draw(label string, most time.Duration) time.Duration {
	return time.Duration(rapid.Int64Range(0, int64(most)/1e3).Draw(h.rt, label)) * time.Microsecond
}

// scheduleCalls sends calls at random times within stopSpan, each to one of the entries.
func (h *stopHistory) scheduleCalls() {
	target := rapid.SampledFrom([]core.Target{serviceTarget, serviceTarget, modelTarget("m0"), modelTarget("m1")}).Draw(h.rt, "target")
	for range rapid.IntRange(1, 12).Draw(h.rt, "calls") {
		entry := entryID(rapid.IntRange(0, 1).Draw(h.rt, "entry"))
		tokens := uint64(rapid.IntRange(0, 60).Draw(h.rt, "tokens"))
		h.After(h.draw("call at", stopSpan), func() {
			if !h.processes[entry].Alive() {
				entry = "e1" // a load balancer skips an entry that has ended
			}
			h.calls = append(h.calls, h.callNonIdempotent(entry, target, tokens))
		})
	}
}

// starve suspends some of the processes for up to most, as lack of processor time does.
func (h *stopHistory) starve(most time.Duration, hosts ...core.HostID) {
	for _, host := range hosts {
		if rapid.Bool().Draw(h.rt, "starved "+string(host)) {
			d := h.draw("starved for", most)
			h.After(h.draw("starved at", stopSpan), func() { h.processes[host].Pause(d) })
		}
	}
}

// breakLinks closes the connections of some of the entries to a host, up to twice each.
func (h *stopHistory) breakLinks(host core.HostID) {
	for _, entry := range []core.HostID{"e0", "e1"} {
		for range rapid.IntRange(0, 2).Draw(h.rt, "breaks") {
			h.After(h.draw("break at", stopSpan), func() { h.Break(entry, host) })
		}
	}
}

// callNonIdempotent sends a call that must not run twice.
func (f *fleet) callNonIdempotent(entry core.HostID, target core.Target, tokens uint64) *harness.Outcome {
	return f.Request(entry, core.RequestArrived{
		ClientAccount: "c", Target: target, Timeout: time.Minute, Method: "POST", Path: "/x",
	}, tokens)
}

// expectWholeOrNotRun checks that each call was answered completely or refused as not run.
func (f *fleet) expectWholeOrNotRun(calls []*harness.Outcome) {
	f.t.Helper()
	for i, o := range calls {
		if o.Ended == 0 || o.Code != code.OK && !o.Code.NotRun() {
			f.t.Fatalf("call %d at %s to %v: %v, %d of %d tokens", i, time.Duration(o.Arrived), o.Target, o.Code, o.Tokens, o.Want)
		}
	}
}

// checkStop checks that no call was aborted or got an unknown outcome because of the stop.
func (h *stopHistory) checkStop() {
	h.finish()
	h.expectWholeOrNotRun(h.calls)
}

// stopCase is a planned stop of s0 at the moment at which e0 and e1 send it nine calls.
// All times count from that moment.
type stopCase struct {
	entries [9]int
	// e0 is suspended at e0At for e0For, and s0 at s0At for s0For.
	e0At, e0For, s0At, s0For time.Duration
	// breaks is set if the connection of e0 and s0 breaks, at breakAt.
	breaks  bool
	breakAt time.Duration
}

var stopCases = map[string]stopCase{
	"a call is in transit when the agent exits": {
		entries: [9]int{0, 0, 1, 0, 0, 1, 0, 0, 0}, e0At: 23 * time.Microsecond, e0For: 2477 * time.Microsecond,
	},
	"a call is lost with a connection": {breaks: true},
	"the last messages are lost with a connection": {
		s0At: 479 * time.Microsecond, s0For: 686 * time.Microsecond, breaks: true, breakAt: 1165 * time.Microsecond,
	},
}

// Regression cases of histories in which the random tests below found failures.
func TestPlannedStopRegressions(t *testing.T) {
	for name, c := range stopCases {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, 1, shortTimings())
			f.startAgent(f.host("s1", 1, core.RoleBackend), f.NewEngine(0, false))
			f.RunFor(20 * time.Second)
			var calls []*harness.Outcome
			for _, entry := range c.entries {
				f.After(0, func() { calls = append(calls, f.callNonIdempotent(entryID(entry), serviceTarget, 0)) })
			}
			f.After(c.e0At, func() { f.processes["e0"].Pause(c.e0For) })
			f.After(c.s0At, func() { f.processes["s0"].Pause(c.s0For) })
			if c.breaks {
				f.After(c.breakAt, func() { f.Break("e0", "s0") })
			}
			f.After(0, func() { f.processes["s0"].Stop(stopLimit) })
			f.RunFor(30 * time.Second)
			f.finish()
			f.expectWholeOrNotRun(calls)
		})
	}
}

// Guards against calls that are aborted or end with an unknown outcome because of a
// planned stop of an agent, whichever of its messages are unread, queued or in transit on
// busy hosts.
func TestAgentStopLosesNoRequest(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		h := newStopHistory(rt)
		stopped := rapid.SampledFrom([]core.HostID{"s0", "h0", "h1"}).Draw(rt, "stopped")
		h.scheduleCalls()
		h.starve(longestStarved, "e0", "e1", stopped)
		h.After(h.draw("stop at", stopSpan), func() { h.processes[stopped].Stop(stopLimit) })
		h.RunFor(30 * time.Second)
		h.checkStop()
	})
}

// Guards against the same failures when connections of a busy host are closed as
// unresponsive and established again during the stop.
func TestAgentStopWithBrokenConnections(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		h := newStopHistory(rt)
		stopped := rapid.SampledFrom([]core.HostID{"s0", "h0", "h1"}).Draw(rt, "stopped")
		h.scheduleCalls()
		h.starve(longestUnreachable, "e0", "e1", stopped)
		h.breakLinks(stopped)
		h.After(h.draw("stop at", stopSpan), func() { h.processes[stopped].Stop(stopLimit) })
		h.RunFor(30 * time.Second)
		h.checkStop()
	})
}

// Guards against an unknown outcome for requests that wait at an agent when their entry
// stops. Their callers could not safely send them again; they must be refused as not run.
func TestStoppingEntryRefusesQueuedRequests(t *testing.T) {
	f := newFleet(t, 2, shortTimings())
	f.declare(resource(api.KindService, "records", &api.ServiceSpec{MaxConcurrent: 1}))
	f.RunFor(5 * time.Second)
	const tokens = 60 // 1.2 s
	var calls []*harness.Outcome
	for range 6 {
		calls = append(calls, f.callNonIdempotent("e0", serviceTarget, tokens))
	}
	f.RunFor(100 * time.Millisecond)
	f.processes["e0"].Stop(3 * time.Second)
	f.RunFor(10 * time.Second)
	refused := 0
	for i, o := range calls {
		switch {
		case o.Code.NotRun():
			refused++
		case !f.Checker.Ran(o.ID):
			t.Errorf("call %d never ran but ended with %v", i, o.Code)
		}
	}
	if refused < 3 {
		t.Errorf("%d refused as not run, want those that could not start in time", refused)
	}
	f.finish()
}

// Guards against calls that are aborted or end with an unknown outcome because of a
// planned stop of an entry. The entry must finish its requests before it exits.
func TestEntryStopLosesNoRequest(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		h := newStopHistory(rt)
		h.scheduleCalls()
		h.starve(longestStarved, "e1", "s0", "h0")
		h.After(h.draw("stop at", stopSpan), func() { h.processes["e0"].Stop(stopLimit) })
		h.RunFor(40 * time.Second)
		h.checkStop()
	})
}

// Guards against an unknown outcome for calls that never ran when the time limit of an
// entry's stop is too short for them. They must be refused as not run.
func TestShortEntryStopReportsNotRun(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		h := newStopHistory(rt)
		h.declare(resource(api.KindService, "records", &api.ServiceSpec{MaxConcurrent: 1}))
		h.scheduleCalls()
		limit := shortestLimit + h.draw("limit", 5*time.Second)
		h.After(h.draw("stop at", stopSpan), func() { h.processes["e0"].Stop(limit) })
		h.RunFor(20 * time.Second)
		h.finish()
		for i, o := range h.calls {
			if o.Code != code.OK && !o.Code.NotRun() && !h.Checker.Ran(o.ID) {
				rt.Fatalf("call %d at %s to %v never ran: %v", i, time.Duration(o.Arrived), o.Target, o.Code)
			}
		}
	})
}
