package loader

import (
	"testing"
	"time"

	"nutmeglane.example/nutmeglane/internal/core"
	"nutmeglane.example/nutmeglane/internal/fleet"
)

// A request waits for a model as large as one loaded model. Guards against evicting two
// small models first, because their rates are a little lower, and then the large one too,
// so that three models have to be loaded again.
func TestOneLargeVictimInsteadOfThree(t *testing.T) {
	w := newFixture(t, "m0", "m2", "m1") // 16,000 + 16,000 + 34,000 of 80,000
	w.demand("10.0.0.1", core.Demand{
		Wants: []core.Want{{Model: "m3", Waiting: 1, Within: 2 * time.Second}},
		Uses: []core.Use{
			{Model: "m0", Rate: 0.09, Copies: 1}, {Model: "m2", Rate: 0.09, Copies: 1}, {Model: "m1", Rate: 0.1, Copies: 1},
		},
	})
	w.run(3 * time.Second)
	if !w.has("m3") || !w.has("m0") || !w.has("m2") || w.has("m1") {
		t.Fatalf("loaded: %+v, want m3 in place of m1", w.engine.report.Models)
	}
	if len(w.orders) != 2 {
		t.Errorf("orders %+v, want one unload and one load", w.orders)
	}
}

// Requests run on the model with the lowest rate. An engine completes them before it
// unloads the model and accepts no other order meanwhile, so evicting it would delay the
// load that a request waits for. An idle model must be evicted instead.
func TestIdleVictimBeforeBusyOne(t *testing.T) {
	w := newFixture(t, "m1", "m3")
	w.demand("10.0.0.1", core.Demand{
		Wants: []core.Want{{Model: "m5", Waiting: 1, Within: 2 * time.Second}},
		Uses:  []core.Use{{Model: "m1", Rate: 0.05, Running: 3, Copies: 1}, {Model: "m3", Rate: 0.4, Copies: 1}},
	})
	w.run(3 * time.Second)
	if !w.has("m1") || w.has("m3") || !w.has("m5") {
		t.Fatalf("loaded: %+v, want m1 and m5", w.engine.report.Models)
	}
}

// While an engine loads a model it also refuses orders for adapters. Guards against sending
// these again every 30 ms for as long as the load takes, hundreds of times, all refused.
func TestNoAdapterOrdersWhileBusy(t *testing.T) {
	w := newFixture(t, "m0")
	w.demand("10.0.0.1", core.Demand{Wants: []core.Want{{Model: "m1", Waiting: 1, Within: time.Second}}})
	w.run(100 * time.Millisecond)
	w.demand("10.0.0.1", core.Demand{Wants: []core.Want{
		{Model: "m1", Waiting: 1, Within: time.Second}, {Model: "m0", Adapter: "a1", Waiting: 1, Within: time.Second},
	}})
	w.run(500 * time.Millisecond)
	if len(w.orders) != 1 {
		t.Fatalf("%d orders while the engine is busy with the first", len(w.orders))
	}
	w.run(time.Second)
	if got := w.loader.findLoaded("m0"); got == nil || !got.HasAdapter("a1") {
		t.Fatalf("adapter not loaded after the model: %+v", w.engine.report.Models)
	}
}

// The answer to an order is lost, and the engine receives the order three seconds later,
// after others. If the order were still valid then, the engine would load more than its
// memory holds and crash with all its requests.
func TestLateOrderDoesNotOvercommit(t *testing.T) {
	w := newFixture(t, "m1")
	w.loseNext = 1
	w.demand("10.0.0.1", core.Demand{Wants: []core.Want{{Model: "m3", Waiting: 1, Within: time.Second}}})
	w.run(100 * time.Millisecond)
	w.demand("10.0.0.1", core.Demand{Wants: []core.Want{{Model: "m5", Waiting: 1, Within: time.Second}}})
	w.run(6 * time.Second)
	if w.engine.violation != "" {
		t.Fatal(w.engine.violation)
	}
	if !w.has("m5") {
		t.Errorf("loaded: %+v, want m5 among them", w.engine.report.Models)
	}
}

// Adapters are called one after the other, more than the engine has slots for. Each must
// be loaded in turn, in place of an unused one.
func TestAdaptersTakeTurns(t *testing.T) {
	w := newFixture(t, "m0")
	for _, adapter := range []string{"a1", "a2", "a3", "a4", "a5"} {
		w.demand("10.0.0.1", core.Demand{Wants: []core.Want{{Model: "m0", Adapter: adapter, Waiting: 1, Within: time.Second}}})
		w.run(200 * time.Millisecond)
		if got := w.loader.findLoaded("m0"); got == nil || !got.HasAdapter(adapter) {
			t.Fatalf("%s not loaded: %+v", adapter, w.engine.report.Models)
		}
	}
	if w.engine.violation != "" {
		t.Fatal(w.engine.violation)
	}
}

// A model without a near copy must not be loaded without a permit, so that not all
// engines read the weight store at once.
func TestStoreLoadWaitsForPermit(t *testing.T) {
	w := newFixture(t)
	w.engine.report.OnDisk = nil
	w.run(idleReadInterval) // until the loader has read the report
	want := []core.Want{{Model: "m1", Waiting: 1, Within: time.Second}}
	w.demand("10.0.0.1", core.Demand{Wants: want})
	w.run(time.Second)
	if len(w.orders) != 0 {
		t.Fatalf("ordered without a permit: %+v", w.orders)
	}
	held := w.holdings["10.0.0.1"].Models
	if len(held) != 1 || held[0].State != core.HoldPermit {
		t.Fatalf("holdings %+v, want m1 waiting for a permit", held)
	}
	w.demand("10.0.0.1", core.Demand{Wants: want, Permits: []string{"m1"}})
	w.run(8 * time.Second)
	if !w.has("m1") || w.holdings["10.0.0.1"].StoreLoad == nil {
		t.Fatalf("loaded %+v, result %+v", w.engine.report.Models, w.holdings["10.0.0.1"].StoreLoad)
	}
}

// An engine crashes during a load and restarts empty, with its order count at 0. The
// loader must detect that and load again what is wanted, instead of waiting for the old
// order.
func TestEngineRestartIsDetected(t *testing.T) {
	w := newFixture(t, "m1")
	want := core.Demand{Wants: []core.Want{{Model: "m3", Waiting: 1, Within: time.Second}}}
	w.engine.report.Sequence = 5
	w.demand("10.0.0.1", want)
	w.run(300 * time.Millisecond)
	w.engine.report = fleet.Report{OnDisk: w.engine.report.OnDisk}
	w.engine.done = nil
	w.run(3 * time.Second)
	if !w.has("m3") {
		t.Fatalf("loaded: %+v, want m3", w.engine.report.Models)
	}
}

// Three models are wanted one after the other, and not all fit. Guards against evicting
// each for the next one 50 ms after its load, while the requests that waited for it are
// on their way: they were refused and waited again. A loaded model must stay until these
// requests can have been served.
func TestLoadedModelIsKeptForMinResidence(t *testing.T) {
	w := newFixture(t)
	want := func(models ...string) {
		var wants []core.Want
		for _, model := range models {
			wants = append(wants, core.Want{Model: model, Waiting: 1, Within: time.Second})
		}
		w.demand("10.0.0.1", core.Demand{Wants: wants})
	}
	want("m1", "m3", "m5")
	w.run(2200 * time.Millisecond)
	if !w.has("m1") || !w.has("m3") {
		t.Fatalf("loaded: %+v, want m1 and m3", w.engine.report.Models)
	}
	want("m5") // the routers send what waited for m1 and m3
	w.run(500 * time.Millisecond)
	if !w.has("m3") {
		t.Fatalf("m3 was evicted %v after its load", 500*time.Millisecond)
	}
	w.run(3 * time.Second)
	if !w.has("m5") {
		t.Fatalf("loaded: %+v, want m5", w.engine.report.Models)
	}
}

// Many requests use m1, m3 has just served a single one, and m5 is wanted. Guards against
// evicting m1 because m3 is protected for a moment: the engine then completed m1's
// requests, for seconds, and further requests for m1 overloaded other engines. The loader
// must wait until m3 can be evicted.
func TestRecentlyLoadedIdleModelIsEvictedBeforeBusyOne(t *testing.T) {
	w := newFixture(t, "m1")
	w.demand("10.0.0.1", core.Demand{
		Wants: []core.Want{{Model: "m3", Waiting: 1, Within: time.Second}},
		Uses:  []core.Use{{Model: "m1", Rate: 20, Running: 9, Copies: 2}},
	})
	w.run(1100 * time.Millisecond)
	w.demand("10.0.0.1", core.Demand{
		Wants: []core.Want{{Model: "m5", Waiting: 1, Within: time.Second}},
		Uses:  []core.Use{{Model: "m1", Rate: 20, Running: 9, Copies: 2}, {Model: "m3", Rate: 0.1, Copies: 1}},
	})
	w.run(4 * time.Second)
	if !w.has("m1") || !w.has("m5") || w.has("m3") {
		t.Fatalf("loaded: %+v, want m1 and m5", w.engine.report.Models)
	}
}

// A spare copy of a busy model has to make room. When it was unloaded at once, the engine
// refused dozens of requests that had not started. Routers must be notified first, and
// the order must wait until their requests have ended.
func TestSpareCopyIsRetiredFirst(t *testing.T) {
	w := newFixture(t, "m1", "m3")
	demand := func(running int) {
		w.demand("10.0.0.1", core.Demand{
			Wants: []core.Want{{Model: "m5", Waiting: 1, Within: time.Second}},
			Uses: []core.Use{
				{Model: "m1", Rate: 20, Running: 8, Copies: 4}, {Model: "m3", Rate: 10, Running: running, Copies: 4, Spare: true},
			},
		})
	}
	demand(6)
	w.run(100 * time.Millisecond)
	if len(w.orders) != 0 {
		t.Fatalf("ordered with requests running: %+v", w.orders)
	}
	for _, m := range w.holdings["10.0.0.1"].Models {
		if m.Name == "m3" && m.State != core.HoldUnloading {
			t.Fatal("routers were not notified that the copy takes no more requests")
		}
	}
	demand(0)
	w.run(2 * time.Second)
	if !w.has("m5") || !w.has("m1") || w.has("m3") {
		t.Fatalf("loaded: %+v, want m1 and m5", w.engine.report.Models)
	}
}

// Requests for rare models arrive without a pause, and a busy model, with 45 calls a
// second, has one copy elsewhere. The further copy that routers ask for must not be
// delayed forever.
func TestFurtherCopyIsNotStarved(t *testing.T) {
	w := newFixture(t, "m1", "m3")
	rare := []string{"m2", "m4", "m6", "m0"}
	for i := range 8 {
		w.demand("10.0.0.1", core.Demand{Wants: []core.Want{
			{Model: rare[i%len(rare)], Waiting: 1, Within: 2 * time.Second},
			{Model: "m5", Spread: true, Within: 500*time.Millisecond - time.Duration(i)*700*time.Millisecond},
		}})
		w.run(700 * time.Millisecond)
		if w.has("m5") {
			return
		}
	}
	t.Fatalf("no further copy after 5.6 s: %+v", w.engine.report.Models)
}

// Requests for models with near copies arrive without a pause. Guards against ranking a
// permitted load from the weight store behind them: the store's capacity that was
// reserved for it was left unused, for all engines.
func TestPermittedStoreLoadGoesFirst(t *testing.T) {
	w := newFixture(t)
	w.engine.report.OnDisk = []string{"m0", "m2"}
	w.run(idleReadInterval)
	w.demand("10.0.0.1", core.Demand{
		Wants: []core.Want{
			{Model: "m0", Waiting: 1, Within: 500 * time.Millisecond}, {Model: "m2", Waiting: 1, Within: 500 * time.Millisecond},
			{Model: "m1", Waiting: 20, Within: 2 * time.Second},
		},
		Permits: []string{"m1"},
	})
	w.run(100 * time.Millisecond)
	if len(w.orders) != 1 || w.orders[0].Model != "m1" {
		t.Fatalf("orders %+v, want the permitted load first", w.orders)
	}
}

// A load from the weight store takes a multiple of its nominal time because others share
// the store. Guards against predicting that it ends within a second for as long as it is
// overdue, so that callers retried again and again and were refused. The longer it is
// overdue, the longer it must be predicted to take.
func TestOverdueLoadPredictsMoreTime(t *testing.T) {
	w := newFixture(t)
	w.demand("10.0.0.1", core.Demand{Wants: []core.Want{{Model: "m7", Waiting: 1, Within: time.Second}}})
	w.engine.until = core.Never // it does not end during the test
	w.run(5 * time.Second)
	late := 4 * time.Second // of 5 s; a load from disk takes 1 s
	if got := w.holdings["10.0.0.1"].FreeIn; got < late-HeartbeatInterval {
		t.Errorf("predicted to end in %v when it was overdue by %v", got, late)
	}
}

// Guards against orders to an engine that has turned one away and wants none for some time.
func TestNoOrderWithinTheBackoffOfAnEngine(t *testing.T) {
	w := newFixture(t)
	const backoff = 3 * time.Second
	w.engine.backoffUntil = w.now.Add(backoff)
	w.demand("10.0.0.1", core.Demand{Wants: []core.Want{{Model: "m1", Waiting: 1, Within: 10 * time.Second}}})
	w.run(backoff - 100*time.Millisecond)
	if len(w.orders) != 1 {
		t.Errorf("%d orders within the backoff, want the one that was turned away", len(w.orders))
	}
	w.run(time.Second)
	if len(w.orders) != 2 {
		t.Errorf("%d orders, want one more after the backoff", len(w.orders))
	}
}

// Guards against an engine that gets no orders because an earlier process wanted none.
func TestBackoffOfAnEngineEndsWithItsLife(t *testing.T) {
	w := newFixture(t)
	w.engine.backoffUntil, w.engine.report.Born = w.now.Add(time.Hour), 1
	w.demand("10.0.0.1", core.Demand{Wants: []core.Want{{Model: "m1", Waiting: 1, Within: 10 * time.Second}}})
	w.run(time.Second)
	w.engine.backoffUntil, w.engine.report.Born = 0, 7
	w.run(2 * time.Second)
	if len(w.orders) != 2 {
		t.Errorf("%d orders, want one to each life", len(w.orders))
	}
}
