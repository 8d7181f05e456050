package loader

import (
	"testing"
	"time"

	"nutmeglane.example/nutmeglane/internal/core"
)

// An engine is full of two models in heavy use, and one request waits for a rare model.
// Guards against retiring their copies for it with 84 and 105 requests running: they took
// no requests for four seconds, and half of the callers of the busy models were served
// late. The copies must stay, and the rare model must be announced with a long delay, so
// that its request goes elsewhere or is refused at once.
func TestBusyCopiesAreKeptForOneRareRequest(t *testing.T) {
	w := newFixture(t, "m1", "m3")
	demand := func(waiting int) {
		w.demand("10.0.0.1", core.Demand{
			Wants: []core.Want{{Model: "m5", Waiting: waiting, Within: time.Second}},
			Uses: []core.Use{
				{Model: "m1", Rate: 60, Running: 84, Copies: 4}, {Model: "m3", Rate: 40, Running: 30, Copies: 2},
			},
		})
	}
	demand(1)
	w.run(time.Second)
	for _, m := range w.holdings["10.0.0.1"].Models {
		if m.Name == "m5" && m.ReadyIn < blockedDelay {
			t.Errorf("the rare model is predicted ready in %v", m.ReadyIn)
		}
		if m.Name != "m5" && m.State != core.HoldLoaded {
			t.Errorf("%s is retired for one request", m.Name)
		}
	}
	demand(5)
	w.run(time.Second)
	for _, m := range w.holdings["10.0.0.1"].Models {
		if m.Name == "m3" && m.State != core.HoldUnloading {
			t.Errorf("m3 with 30 running is not retired for five waiting requests: %v", m.State)
		}
		if m.Name == "m1" && m.State != core.HoldLoaded {
			t.Errorf("m1 with 84 running is retired for five waiting requests")
		}
	}
}
