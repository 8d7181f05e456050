package loader

import (
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"nutmeglane.example/nutmeglane/internal/core"
)

// refuseConnections makes the engine's port refuse connections from now on.
func (w *fixture) refuseConnections() {
	w.t.Helper()
	w.engine.refusing = true
	w.run(time.Second)
}

// An engine's process is gone: its port refuses connections. All routers must be notified
// at once, even those without requests there, because the end determines which requests
// ran when engines ended. The notification must be withdrawn when the next life is known.
func TestEngineEndIsAnnounced(t *testing.T) {
	w := newFixture(t)
	w.demand("10.0.0.1", core.Demand{})
	w.run(time.Second)
	if w.holdings["10.0.0.1"].Ended {
		t.Fatal("announced as ended while it answers")
	}
	w.refuseConnections()
	if !w.holdings["10.0.0.1"].Ended {
		t.Error("its end was not announced")
	}
	spec := testSpec()
	w.step(DemandReceived{Router: "10.0.0.1", Demand: core.Demand{Engine: &spec, Instance: "i-2"}})
	w.run(2 * time.Second)
	if got := w.holdings["10.0.0.1"]; got.Ended || got.Instance != "i-2" {
		t.Errorf("announced %s, ended %t: the next life does not listen yet", got.Instance, got.Ended)
	}
}

// A loader starts before its engine listens, and an engine that reported that it drains
// ends as planned. Neither counts as an unexpected end.
func TestPlannedEndIsNotAnnouncedAsEnded(t *testing.T) {
	for name, prepare := range map[string]func(w *fixture){
		"never answered": func(w *fixture) { w.loader.engine.answered = false },
		"leaves": func(w *fixture) {
			w.engine.report.Draining = true
			w.run(time.Second)
		},
	} {
		t.Run(name, func(t *testing.T) {
			w := newFixture(t)
			w.demand("10.0.0.1", core.Demand{})
			w.run(time.Second)
			prepare(w)
			w.refuseConnections()
			if w.holdings["10.0.0.1"].Ended {
				t.Error("announced as ended unexpectedly")
			}
		})
	}
}

// A router reports an engine's end, and another router starts later without that report.
// The loader must send it the ends that it has forwarded, once, without requests that
// were cleared.
func TestNewRouterReceivesPoisonEnds(t *testing.T) {
	w := newFixture(t)
	w.step(RouterUp{Router: "10.0.0.2"})
	end := core.ServerEnd{Life: core.ServerLife{Instance: "i-9"}, Address: "10.1.0.9:1", Requests: []core.LostRequest{{Fingerprint: 1}, {Fingerprint: 2}}}
	w.step(PoisonNewsReceived{Router: "10.0.0.1", News: core.PoisonNews{Ends: []core.ServerEnd{end}}})
	if got := w.forwarded["10.0.0.2"]; len(got) != 1 || len(w.forwarded["10.0.0.1"]) != 0 {
		t.Fatalf("forwarded to the other router %v, to the sender %v", got, w.forwarded["10.0.0.1"])
	}
	w.step(PoisonNewsReceived{Router: "10.0.0.1", News: core.PoisonNews{Cleared: []core.Fingerprint{2}}})
	w.now = w.now.Add(time.Second)
	w.step(RouterUp{Router: "10.0.0.3"})
	got, ok := w.forwarded["10.0.0.3"][0].(core.PoisonNews)
	if !ok || len(got.Ends) != 1 || len(got.Ends[0].Requests) != 1 || got.Ends[0].Requests[0].Fingerprint != 1 || got.Ends[0].Ago != time.Second {
		t.Errorf("a router that starts was sent %+v", w.forwarded["10.0.0.3"])
	}
}

var errRefused = errors.Wrap(syscall.ECONNREFUSED, "dial")

// Guards against an engine that never gets a request because routers take the announcement of
// its predecessor at the address for its own: also a report that was requested before the
// instance changed may be the predecessor's.
func TestLeavingIsAnnouncedForOneInstance(t *testing.T) {
	w := newFixture(t)
	spec := testSpec()
	w.step(DemandReceived{Router: "10.0.0.1", Demand: core.Demand{Engine: &spec, Instance: "i-1"}})
	w.engine.report.Draining = true
	w.run(time.Second)
	if got := w.holdings["10.0.0.1"]; !got.Leaving || got.Instance != "i-1" {
		t.Fatalf("announced %s, leaving %t", got.Instance, got.Leaving)
	}
	late := w.engine.report
	w.engine.report.Draining = false
	w.now = w.now.Add(time.Millisecond)
	w.step(DemandReceived{Router: "10.0.0.1", Demand: core.Demand{Engine: &spec, Instance: "i-2"}})
	w.step(ReportRead{Report: late})
	w.run(time.Second)
	for _, h := range w.announced["10.0.0.1"] {
		if h.Instance == "i-2" && h.Leaving {
			t.Error("the successor is announced as leaving")
		}
	}
	if got := w.holdings["10.0.0.1"].Instance; got != "i-2" {
		t.Errorf("announced %s, want i-2", got)
	}
}
