package router

import (
	"testing"
	"time"

	"nutmeglane.example/nutmeglane/internal/code"
	"nutmeglane.example/nutmeglane/internal/core"
)

// A user's request waits for a model that takes long to load while its router
// gets SIGTERM. The process used to end with the request still waiting: the
// user saw the connection close without an answer. It must be told, in time,
// that it did not run and may come back.
func TestStopAnswersWaitingRequests(t *testing.T) {
	w := newWorld(t)
	w.servers(engineService, 1)
	w.holds(0, core.Holdings{FreeMB: 50_000, Models: []core.HeldModel{
		{Name: "m1", State: core.HoldStoreLoading, ReadyIn: 7 * time.Second},
	}})
	key := w.call("patient", prompt("m1"))
	if _, ended := w.finishes[key]; ended {
		t.Fatal("the request was refused before the stop")
	}
	w.step(Stopping{Until: w.now.Add(5 * time.Second)})
	finish, ended := w.finishes[key]
	if !ended || !finish.Code.NotRun() || finish.RetryAfter <= 0 {
		t.Fatalf("after the stop began: ended %t, %+v; want a refusal with a time to come back", ended, finish)
	}
}

// A request is at its server when the process ends. It may have run, so its
// caller must get an answer that does not promise otherwise.
func TestStopAnswersSentRequests(t *testing.T) {
	w := newWorld(t)
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
