package loader

import (
	"testing"
	"time"

	"nutmeglane.example/nutmeglane/internal/core"
)

// Two routers wait for two models whose objectives are missed at nearly the same time.
// Each message shifts the estimates by some ms, so that the queue positions swap. When
// the loader announced each swap to all routers, all answered, and a thousand messages a
// second were exchanged: routers on small hosts had no time left for callers.
func TestSwappedQueuePositionsAreNotAnnounced(t *testing.T) {
	w := newFixture(t, "m0", "m2", "m4")
	w.step(RouterUp{Router: "10.0.0.2"})
	w.engine.report.Busy = true // another order is in progress: none is sent now
	w.step(Tick{})
	want := func(model string, within time.Duration) core.Want {
		return core.Want{Model: model, Waiting: 1, Within: within}
	}
	w.demand("10.0.0.1", core.Demand{Wants: []core.Want{want("m1", 2000*time.Millisecond)}})
	w.demand("10.0.0.2", core.Demand{Wants: []core.Want{want("m3", 2001*time.Millisecond)}})
	sent := 0
	for i := range 20 {
		w.now = w.now.Add(time.Millisecond)
		jitter := time.Duration(i%2*4-2) * time.Millisecond
		sent += w.countAnnounced(DemandReceived{Router: "10.0.0.1", Demand: core.Demand{
			Instance: "i-1", Wants: []core.Want{want("m1", 2000*time.Millisecond+jitter)},
		}})
	}
	if sent != 0 {
		t.Fatalf("%d messages to routers about swapped queue positions, wanted none", sent)
	}
}

// countAnnounced handles an event and counts the holdings sent to routers.
func (w *fixture) countAnnounced(event Event) int {
	count := 0
	for _, effect := range w.loader.Step(w.now, event) {
		if send, ok := effect.(SendHoldings); ok {
			count += len(send.Routers)
		}
	}
	return count
}

// An idle engine sends a heartbeat once a second. Sent with the holdings, heartbeats were
// nearly all of the traffic of a large fleet. Routers need only the sign of life and the
// counts; a significant change of rates must be sent with the holdings.
func TestSteadyHeartbeatIsSmall(t *testing.T) {
	w := newFixture(t, "m0", "m2")
	w.demand("10.0.0.1", core.Demand{Uses: []core.Use{{Model: "m0", Rate: 5, FastRate: 5}}})
	w.run(2 * HeartbeatInterval)
	whole, beats := 0, 0
	count := func(d time.Duration) {
		for end := w.now.Add(d); w.now < end; w.now = w.now.Add(50 * time.Millisecond) {
			for _, effect := range w.loader.Step(w.now, ReportRead{Report: w.engine.report}) {
				switch effect.(type) {
				case SendHoldings:
					whole++
				case SendCounts:
					beats++
				}
			}
			w.demand("10.0.0.1", core.Demand{Uses: []core.Use{{Model: "m0", Rate: 5, FastRate: 5}}})
		}
	}
	count(10 * time.Second)
	if whole != 0 || beats < 9 {
		t.Errorf("%d messages with holdings and %d with counts only in 10 s, want none and one a second", whole, beats)
	}
	w.loader.Step(w.now, DemandReceived{Router: "10.0.0.1", Demand: core.Demand{Instance: "i-1", Uses: []core.Use{{Model: "m0", Rate: 9, FastRate: 9}}}})
	for range 30 {
		w.now = w.now.Add(50 * time.Millisecond)
		for _, effect := range w.loader.Step(w.now, ReportRead{Report: w.engine.report}) {
			if _, ok := effect.(SendHoldings); ok {
				whole++
			}
		}
	}
	if whole == 0 {
		t.Error("a rate that nearly doubled is not sent")
	}
}
