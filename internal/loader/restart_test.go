package loader

import (
	"testing"
	"time"

	"nutmeglane.example/nutmeglane/internal/core"
	"nutmeglane.example/nutmeglane/internal/fleet"
)

const firstBorn, secondBorn = 1_700_000_000_000, 1_700_000_030_000

// restart lets the engine start again under its instance: empty, with its disk.
func (e *fakeEngine) restart(born int64) {
	e.report = fleet.Report{Born: born, OnDisk: e.report.OnDisk}
	e.done = nil
}

func bornWorld(t *testing.T, loaded ...string) *world {
	w := newWorld(t, loaded...)
	w.engine.report.Born = firstBorn
	w.run(idleRead)
	return w
}

// A load is under way when the engine starts again, within one report. The loader
// waited for the end of an order that nobody carries out, and callers with it. It
// is ordered anew from the first report of the new life.
func TestOrderOfAnEarlierLifeIsOrderedAnew(t *testing.T) {
	w := bornWorld(t, "m1")
	w.demand("10.0.0.1", core.Demand{Born: firstBorn, Wants: []core.Want{{Model: "m0", Waiting: 1, Within: time.Second}}})
	w.run(200 * time.Millisecond)
	if len(w.orders) != 1 {
		t.Fatalf("%d orders, want the load under way", len(w.orders))
	}
	w.engine.restart(secondBorn)
	w.run(200 * time.Millisecond)
	told := w.told["10.0.0.1"]
	if told.Born != secondBorn || findModel(&told, "m1") {
		t.Errorf("routers were told %+v", told)
	}
	w.run(2 * time.Second)
	if !w.has("m0") || w.engine.broken != "" {
		t.Errorf("loaded %+v, want m0 (%s)", w.engine.report.Models, w.engine.broken)
	}
}

// The answer to an order comes from the earlier life after the first report of the
// new one. Taken for a task of the new life, it would hold up all further orders.
func TestAnswerOfAnEarlierLifeStartsNoTask(t *testing.T) {
	w := bornWorld(t)
	order := fleet.Order{Kind: fleet.OrderLoad, Model: "m0", For: fleet.Incarnation{Instance: "i-1", Born: firstBorn}}
	w.loader.ordering = true
	w.engine.restart(secondBorn)
	w.run(idleRead)
	w.step(OrderDone{Order: order, Result: fleet.OrderAccepted})
	if w.loader.task != nil || w.loader.ordering {
		t.Fatalf("task %+v, ordering %t", w.loader.task, w.loader.ordering)
	}
}

// A report of the earlier life was slow on its way and comes after one of the new
// life. It shows models that are gone, and must change nothing.
func TestLateReportOfAnEarlierLifeIsLeftOut(t *testing.T) {
	w := bornWorld(t, "m1")
	late := w.engine.report
	w.engine.restart(secondBorn)
	w.run(idleRead)
	w.step(ReportRead{Report: late})
	if w.loader.engine.life.Born != secondBorn || w.loader.findLoaded("m1") != nil {
		t.Fatalf("life %+v, models %+v", w.loader.engine.life, w.loader.engine.report.Models)
	}
}

// A router that has just read the registry names the life before, which had another
// instance. Orders to it would be refused one by one until the router reads again.
func TestRoutersOldWordDoesNotNameTheEngine(t *testing.T) {
	w := bornWorld(t)
	w.step(DemandReceived{Router: "10.0.0.1", Demand: core.Demand{Instance: "i-1", Born: firstBorn}})
	w.step(RouterUp{Router: "10.0.0.2"})
	w.step(DemandReceived{Router: "10.0.0.2", Demand: core.Demand{Instance: "i-0", Born: firstBorn - 5000}})
	if got := w.loader.engine.life.Instance; got != "i-1" {
		t.Fatalf("engine is called %s", got)
	}
}

// An order's answer is lost, the engine starts again, and the order arrives in its
// new life when the count of orders is the same once more. Were its memory given to
// other models by then, the engine would hold more than it can and crash.
func TestStrayOrderFindsRoom(t *testing.T) {
	w := bornWorld(t)
	want := func(models ...string) {
		d := core.Demand{Born: w.engine.report.Born}
		for _, m := range models {
			d.Wants = append(d.Wants, core.Want{Model: m, Waiting: 1, Within: time.Second})
		}
		w.demand("10.0.0.1", d)
	}
	want("m2", "m4")
	w.run(3 * time.Second)
	w.loseNext = 1
	want("m0")
	w.run(50 * time.Millisecond)
	w.engine.restart(secondBorn)
	want("m1", "m3") // 34,000 each, and 16,000 of the stray order: 84,000 of 80,000
	w.run(5 * time.Second)
	if w.engine.broken != "" {
		t.Fatal(w.engine.broken)
	}
	w.run(strayLife)
	if !w.has("m1") || !w.has("m3") {
		t.Errorf("loaded %+v, want both once the stray order can't come any more", w.engine.report.Models)
	}
}

// An engine that does not tell its start shows a new life by its count of orders.
func TestRestartShowsByTheCountOfOrders(t *testing.T) {
	w := newWorld(t)
	w.demand("10.0.0.1", core.Demand{Wants: []core.Want{{Model: "m0", Waiting: 1, Within: time.Second}}})
	w.run(2 * time.Second)
	w.engine.restart(0)
	w.run(3 * time.Second)
	if !w.has("m0") {
		t.Fatalf("loaded %+v, want m0 again", w.engine.report.Models)
	}
}
