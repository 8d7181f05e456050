package router

import (
	"testing"
	"time"

	"nutmeglane.example/nutmeglane/internal/copyplan"
	"nutmeglane.example/nutmeglane/internal/core"
)

// storeFixture returns a router with the copy plan whose engines wait for permits, by their
// number.
func storeFixture(t *testing.T, waiting map[int]core.HeldModel, gains map[string]float64) (*fixture, plannedCopies) {
	w := newFixture(t)
	w.servers(engineService, 6)
	for i := range 6 {
		held := core.Holdings{FreeMB: 80_000}
		if m, waits := waiting[i]; waits {
			held.Models = []core.HeldModel{m}
		}
		w.reportHoldings(i, held)
	}
	s := w.router.services[engineService]
	s.firstArrival = w.now.Add(-time.Minute)
	s.copies.plan = copyplan.Plan{StoreGain: gains, Needed: map[string]int{}}
	return w, plannedCopies{w.router, s, w.router.engine(engineService)}
}

func permitFor(w *fixture, i int, model string) permitRequest {
	return permitRequest{w.router.loaders[loaderName(i)], core.HeldModel{Name: model, State: core.HoldPermit}}
}

// Guards against a load that nobody waits for and that begins beside another one at a store that
// serves one at full speed: it took 45 s, and a model with 25 calls a second had no place.
func TestIdleLoadsBeginOneByOne(t *testing.T) {
	w, plan := storeFixture(t, nil, map[string]float64{"m1": 2, "m2": 150})
	if !plan.mayBegin(permitFor(w, 1, "m1"), 0) {
		t.Error("a load does not begin although none runs")
	}
	if plan.mayBegin(permitFor(w, 1, "m1"), 1) {
		t.Error("a load that nobody waits for begins beside another")
	}
	if !plan.mayBegin(permitFor(w, 2, "m2"), 1) {
		t.Error("a needed load does not begin beside one other, although the store may serve two")
	}
	if plan.mayBegin(permitFor(w, 2, "m2"), initialStoreLimit) {
		t.Error("a needed load begins beyond the limit of the store")
	}
	plan.s.store.proven = 3
	if !plan.mayBegin(permitFor(w, 1, "m1"), 2) {
		t.Error("a load waits although the store was seen to serve three at full speed")
	}
}

// Guards against a third load that begins because the second one's engine has not reported it
// yet, as it still makes room for it.
func TestGrantedLoadsCountBeforeTheyAreReported(t *testing.T) {
	w, plan := storeFixture(t, nil, map[string]float64{"m2": 150})
	plan.s.store.granted = map[grantKey]core.Time{{loaderName(3), "m3"}: w.now.Add(permitLife)}
	if plan.mayBegin(permitFor(w, 2, "m2"), 1) {
		t.Error("a load begins as the third")
	}
}

// Guards against store loads that begin before anything is known of demand, when a whole fleet and
// its callers return.
func TestNoStoreLoadBeginsWhileTheFleetReturns(t *testing.T) {
	w, plan := storeFixture(t, nil, map[string]float64{"m1": 150})
	plan.s.firstArrival = w.now.Add(-startupTime / 2)
	if plan.mayBegin(permitFor(w, 1, "m1"), 0) {
		t.Error("a store load begins in the first moments")
	}
}

// Guards against a load from the store that occupies one of few engines with a disk copy of the
// model that callers need most: its third copy came 25 s late.
func TestEngineWithNeededDiskCopyLoadsThatFirst(t *testing.T) {
	w, plan := storeFixture(t, map[int]core.HeldModel{0: {Name: "m1", State: core.HoldPermit}}, map[string]float64{"m1": 2, "m2": 20})
	w.reportHoldings(0, core.Holdings{FreeMB: 80_000, OnDisk: []string{"m5"}, Models: []core.HeldModel{{Name: "m1", State: core.HoldPermit}}})
	plan.s.copies.plan.Needed["m5"] = 3
	if plan.mayBegin(permitFor(w, 0, "m1"), 0) {
		t.Error("the engine begins a load from the store")
	}
	if !plan.mayBegin(permitFor(w, 0, "m2"), 0) {
		t.Error("a load that more callers need waits as well, without end while the needed number stays")
	}
	plan.s.copies.plan.Needed["m5"] = 1
	if !plan.mayBegin(permitFor(w, 0, "m1"), 0) {
		t.Error("the engine waits although no copy is missing")
	}
}
