package loader

import (
	"testing"
	"time"

	"nutmeglane.example/nutmeglane/internal/core"
	"nutmeglane.example/nutmeglane/internal/fleet"
)

// A request waits for a model that is as large as one loaded model. Two small
// ones used to be evicted first because they were called a little less, and
// then the large one too: their callers waited for loads that were not needed.
func TestOneLargeVictimInsteadOfThree(t *testing.T) {
	w := newWorld(t, "m0", "m2", "m1") // 16,000 + 16,000 + 34,000 of 80,000
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

// Requests run on the model that is called least. An engine lets them end
// before it unloads and takes no other order meanwhile, so that the caller who
// waits for a load would wait for strangers' answers too. An idle model goes.
func TestIdleVictimBeforeBusyOne(t *testing.T) {
	w := newWorld(t, "m1", "m3")
	w.demand("10.0.0.1", core.Demand{
		Wants: []core.Want{{Model: "m5", Waiting: 1, Within: 2 * time.Second}},
		Uses:  []core.Use{{Model: "m1", Rate: 0.05, Running: 3, Copies: 1}, {Model: "m3", Rate: 0.4, Copies: 1}},
	})
	w.run(3 * time.Second)
	if !w.has("m1") || w.has("m3") || !w.has("m5") {
		t.Fatalf("loaded: %+v, want m1 and m5", w.engine.report.Models)
	}
}

// While an engine loads a model it refuses orders for adapters too. They used
// to be sent again every 30 ms for as long as the load took, hundreds in vain.
func TestNoAdapterOrdersWhileBusy(t *testing.T) {
	w := newWorld(t, "m0")
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

// The answer to an order is lost, and the engine carries the order out three
// seconds later, after others. Were it still valid then, the engine would hold
// more than its memory and crash with every request on it.
func TestLateOrderDoesNotOvercommit(t *testing.T) {
	w := newWorld(t, "m1")
	w.loseNext = 1
	w.demand("10.0.0.1", core.Demand{Wants: []core.Want{{Model: "m3", Waiting: 1, Within: time.Second}}})
	w.run(100 * time.Millisecond)
	w.demand("10.0.0.1", core.Demand{Wants: []core.Want{{Model: "m5", Waiting: 1, Within: time.Second}}})
	w.run(6 * time.Second)
	if w.engine.broken != "" {
		t.Fatal(w.engine.broken)
	}
	if !w.has("m5") {
		t.Errorf("loaded: %+v, want m5 among them", w.engine.report.Models)
	}
}

// Adapters are called one after the other, more than the engine has slots for.
// Each must be loaded in turn, in place of one that nobody uses.
func TestAdaptersTakeTurns(t *testing.T) {
	w := newWorld(t, "m0")
	for _, adapter := range []string{"a1", "a2", "a3", "a4", "a5"} {
		w.demand("10.0.0.1", core.Demand{Wants: []core.Want{{Model: "m0", Adapter: adapter, Waiting: 1, Within: time.Second}}})
		w.run(200 * time.Millisecond)
		if got := w.loader.findLoaded("m0"); got == nil || !got.HasAdapter(adapter) {
			t.Fatalf("%s not loaded: %+v", adapter, w.engine.report.Models)
		}
	}
	if w.engine.broken != "" {
		t.Fatal(w.engine.broken)
	}
}

// A model without a copy near the engine needs a permit, so that the weight
// store is not read by all engines at once.
func TestStoreLoadWaitsForPermit(t *testing.T) {
	w := newWorld(t)
	w.engine.report.OnDisk = nil
	w.run(idleRead) // the loader sees it
	want := []core.Want{{Model: "m1", Waiting: 1, Within: time.Second}}
	w.demand("10.0.0.1", core.Demand{Wants: want})
	w.run(time.Second)
	if len(w.orders) != 0 {
		t.Fatalf("ordered without a permit: %+v", w.orders)
	}
	held := w.told["10.0.0.1"].Models
	if len(held) != 1 || held[0].State != core.HoldPermit {
		t.Fatalf("holdings %+v, want m1 waiting for a permit", held)
	}
	w.demand("10.0.0.1", core.Demand{Wants: want, Permits: []string{"m1"}})
	w.run(8 * time.Second)
	if !w.has("m1") || w.told["10.0.0.1"].StoreLoad == nil {
		t.Fatalf("loaded %+v, result %+v", w.engine.report.Models, w.told["10.0.0.1"].StoreLoad)
	}
}

// An engine crashes and starts again empty while a load was under way. Its
// order count is back at zero; the loader must see that and load again what is
// wanted, instead of waiting for the old order.
func TestEngineRestartIsNoticed(t *testing.T) {
	w := newWorld(t, "m1")
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

// Three models are wanted one after the other where only one fits. Each used to
// be evicted for the next as soon as it was loaded, 50 ms later, while the
// requests that had waited for it were on their way: they were refused and
// waited again. A loaded model stays until its callers can have been served.
func TestLoadedModelStaysForItsCallers(t *testing.T) {
	w := newWorld(t)
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

// Many callers use m1, a single one was just served by m3, and m5 is wanted.
// The engine used to evict m1, since m3 was protected for a moment: it let m1's
// requests end, for seconds, and m1's callers crowded at other engines. It must
// wait that moment and evict m3.
func TestBusyModelIsNotEvictedForAMoment(t *testing.T) {
	w := newWorld(t, "m1")
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

// A spare copy of a busy model has to make room. Unloaded at once, the engine
// refused dozens of requests that had not started. Routers must be told first,
// and the order must wait until their requests have ended.
func TestSpareCopyIsRetiredFirst(t *testing.T) {
	w := newWorld(t, "m1", "m3")
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
	for _, m := range w.told["10.0.0.1"].Models {
		if m.Name == "m3" && m.State != core.HoldUnloading {
			t.Fatal("routers were not told that the copy takes no more requests")
		}
	}
	demand(0)
	w.run(2 * time.Second)
	if !w.has("m5") || !w.has("m1") || w.has("m3") {
		t.Fatalf("loaded: %+v, want m1 and m5", w.engine.report.Models)
	}
}

// Requests for rare models wait one after the other without a pause, and a busy
// model, with 45 calls a second, has one copy elsewhere. The further copy that
// routers ask for must get its turn among them.
func TestFurtherCopyIsNotStarved(t *testing.T) {
	w := newWorld(t, "m1", "m3")
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

// Requests for models with near copies come without a pause. A load from the
// weight store that was permitted used to wait behind them, and the store's place
// that was kept for it stood empty, for all engines.
func TestPermittedStoreLoadBegins(t *testing.T) {
	w := newWorld(t)
	w.engine.report.OnDisk = []string{"m0", "m2"}
	w.run(idleRead)
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

// A load from the weight store takes a multiple of its nominal time, as others
// share the store. It was predicted to end within a second for as long as it was
// late, and callers came back again and again to be refused. The later it is, the
// longer it must be taken to need.
func TestLateLoadIsNotAlwaysAboutToEnd(t *testing.T) {
	w := newWorld(t)
	w.demand("10.0.0.1", core.Demand{Wants: []core.Want{{Model: "m7", Waiting: 1, Within: time.Second}}})
	w.engine.until = core.Never // it does not end while the test looks
	w.run(5 * time.Second)
	late := 4 * time.Second // from disk it takes one
	if got := w.told["10.0.0.1"].FreeIn; got < late-HeartbeatInterval {
		t.Errorf("predicted to end in %v when it was %v late", got, late)
	}
}
