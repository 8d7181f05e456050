package loader

import (
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"nutmeglane.example/nutmeglane/internal/core"
)

// refuses lets the engine's port refuse connections from now on.
func (w *world) refuses() {
	w.t.Helper()
	w.engine.refuses = true
	w.run(time.Second)
}

// An engine's process is gone: its port refuses connections. Routers are to hear of it
// at once, also those that have lost nothing there, as it tells which requests ran when
// engines ended. Until the next life has been heard of, that is.
func TestRoutersHearThatTheEngineEnded(t *testing.T) {
	w := newWorld(t)
	w.demand("10.0.0.1", core.Demand{})
	w.run(time.Second)
	if w.told["10.0.0.1"].Ended {
		t.Fatal("told as ended while it answers")
	}
	w.refuses()
	if !w.told["10.0.0.1"].Ended {
		t.Error("not told that it ended")
	}
	spec := testSpec()
	w.step(DemandReceived{Router: "10.0.0.1", Demand: core.Demand{Engine: &spec, Instance: "i-2"}})
	w.run(2 * time.Second)
	if told := w.told["10.0.0.1"]; told.Ended || told.Instance != "i-2" {
		t.Errorf("told of %s, ended %t: the next life does not listen yet", told.Instance, told.Ended)
	}
}

// A loader starts before its engine listens, and an engine that said that it leaves ends
// as planned. Neither has ended by itself.
func TestEnginesThatHaveNotEndedByThemselves(t *testing.T) {
	for name, prepare := range map[string]func(w *world){
		"never answered": func(w *world) { w.loader.engine.answered = false },
		"leaves": func(w *world) {
			w.engine.report.Draining = true
			w.run(time.Second)
		},
	} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t)
			w.demand("10.0.0.1", core.Demand{})
			w.run(time.Second)
			prepare(w)
			w.refuses()
			if w.told["10.0.0.1"].Ended {
				t.Error("told as ended by itself")
			}
		})
	}
}

// Three routers tell of an engine's end, and a fourth starts later and knows nothing.
// The loader tells it what it has passed on, once, and not what was taken back.
func TestLoaderTellsRoutersThatStart(t *testing.T) {
	w := newWorld(t)
	w.step(RouterUp{Router: "10.0.0.2"})
	end := core.ServerEnd{Life: core.ServerLife{Instance: "i-9"}, Address: "10.1.0.9:1", Requests: []core.LostRequest{{Fingerprint: 1}, {Fingerprint: 2}}}
	w.step(PoisonNewsReceived{Router: "10.0.0.1", News: core.PoisonNews{Ends: []core.ServerEnd{end}}})
	if got := w.passed["10.0.0.2"]; len(got) != 1 || len(w.passed["10.0.0.1"]) != 0 {
		t.Fatalf("passed on to the other %v, to the teller %v", got, w.passed["10.0.0.1"])
	}
	w.step(PoisonNewsReceived{Router: "10.0.0.1", News: core.PoisonNews{Cleared: []core.Fingerprint{2}}})
	w.now = w.now.Add(time.Second)
	w.step(RouterUp{Router: "10.0.0.3"})
	got, ok := w.passed["10.0.0.3"][0].(core.PoisonNews)
	if !ok || len(got.Ends) != 1 || len(got.Ends[0].Requests) != 1 || got.Ends[0].Requests[0].Fingerprint != 1 || got.Ends[0].Ago != time.Second {
		t.Errorf("told a router that starts %+v", w.passed["10.0.0.3"])
	}
}

var errRefused = errors.Wrap(syscall.ECONNREFUSED, "dial")
