package router

import (
	"slices"
	"testing"
	"time"

	"nutmeglane.example/nutmeglane/internal/core"
)

// At the start some models have no copy near any engine, and all engines have free memory
// to fill from their disks. Guards against counting these loads against the loads from the
// store: none was read before callers came, and the first calls of those models waited six
// seconds.
func TestReadsAheadWhileMemoryIsFilled(t *testing.T) {
	w := newFixture(t)
	w.servers(engineService, 6)
	for i := range 6 {
		w.reportHoldings(i, core.Holdings{FreeMB: 80_000, OnDisk: []string{"m0", "m1", "m2", "m3", "m4"}})
	}
	w.run(planInterval + tickInterval)
	ahead := map[string]int{}
	for _, demand := range w.demands {
		for _, want := range demand.Wants {
			ahead[want.Model]++
		}
	}
	fromStore := 0
	for _, model := range []string{"m5", "m6", "m7", "m8", "m9"} {
		fromStore += ahead[model]
	}
	if fromStore != initialStoreLimit {
		t.Errorf("%d models asked from the store, want %d: %v", fromStore, initialStoreLimit, ahead)
	}
	if len(ahead) <= fromStore {
		t.Errorf("no model is loaded from disk ahead: %v", ahead)
	}
	for model, n := range ahead {
		if n > 1 {
			t.Errorf("%s is asked for at %d engines", model, n)
		}
	}
}

// Twelve engines request models from the store at once. If all loads began, each would take
// three times as long; two must begin, and more once the first show that the store has
// capacity for more.
func TestStoreLoadsBeginInOrder(t *testing.T) {
	w := newFixture(t)
	w.servers(engineService, 8)
	permit := []core.HeldModel{{Name: "m1", State: core.HoldPermit, ReadyIn: 6 * time.Second}}
	for i := range 8 {
		w.reportHoldings(i, core.Holdings{Models: permit})
	}
	w.run(planInterval + tickInterval)
	var granted []int
	for i := range 8 {
		if len(w.demands[loaderName(i)].Permits) > 0 {
			granted = append(granted, i)
		}
	}
	if len(granted) != initialStoreLimit {
		t.Fatalf("%d loads may begin, want %d", len(granted), initialStoreLimit)
	}
	for _, i := range granted {
		w.reportHoldings(i, core.Holdings{Models: []core.HeldModel{{Name: "m1", State: core.HoldStoreLoading, ReadyIn: 6 * time.Second}}})
	}
	for _, i := range granted {
		w.reportHoldings(i, core.Holdings{Models: loadedModels("m1"), StoreLoad: &core.StoreLoadResult{
			Sequence: 1, Took: 6 * time.Second, Nominal: 6 * time.Second,
		}})
	}
	if got := w.router.services[engineService].storeLimit(); got <= initialStoreLimit {
		t.Errorf("limit %d after loads at full speed, want more", got)
	}
}

// The store serves one load at full speed, and two at once take twice the time: the limit
// must fall to one, or every load is late as long as any waits.
func TestStoreLimitFalls(t *testing.T) {
	w := newFixture(t)
	w.servers(engineService, 2)
	for i := range 2 {
		w.reportHoldings(i, core.Holdings{Models: []core.HeldModel{{Name: "m1", State: core.HoldStoreLoading, ReadyIn: 6 * time.Second}}})
	}
	w.reportHoldings(0, core.Holdings{Models: loadedModels("m1"), StoreLoad: &core.StoreLoadResult{
		Sequence: 1, Took: 12 * time.Second, Nominal: 6 * time.Second,
	}})
	if got := w.router.services[engineService].storeLimit(); got != 1 {
		t.Errorf("limit %d, want 1", got)
	}
}

// The store serves one load at full speed. The first load begins alone and takes its nominal time,
// while a second one, which began after it, takes twice as long. Guards against a limit that rises
// by the first: three loads at once then occupied the store for 41 s.
func TestStoreLimitIgnoresLoadsThatBeganLater(t *testing.T) {
	w := newFixture(t)
	w.servers(engineService, 3)
	s := w.router.services[engineService]
	s.store.limit = 1
	loading := []core.HeldModel{{Name: "m1", State: core.HoldStoreLoading, ReadyIn: 6 * time.Second}}
	for i := range 3 {
		w.reportHoldings(i, core.Holdings{})
	}
	w.reportHoldings(0, core.Holdings{Models: loading})
	w.run(time.Second)
	w.reportHoldings(0, core.Holdings{Models: loading})
	w.reportHoldings(1, core.Holdings{Models: loading})
	s.store.limit = 2
	w.reportHoldings(0, core.Holdings{Models: loadedModels("m1"), StoreLoad: &core.StoreLoadResult{
		Sequence: 1, Took: 6 * time.Second, Nominal: 6 * time.Second,
	}})
	if got := s.storeLimit(); got != 2 {
		t.Errorf("limit %d after a load that began alone, want 2 as before", got)
	}
	w.reportHoldings(1, core.Holdings{Models: loadedModels("m1"), StoreLoad: &core.StoreLoadResult{
		Sequence: 1, Took: 12 * time.Second, Nominal: 6 * time.Second,
	}})
	if got := s.storeLimit(); got != 1 {
		t.Errorf("limit %d after a load that took twice its time beside another, want 1", got)
	}
}

// Demand has moved to a model that only the weight store has. Its load takes longer than
// callers stay: each is refused at once, and none waits. Rare models, for each of which one
// patient caller waits, were read before it, while 40 callers a second were refused. The
// model with most expected calls must come first.
func TestMuchCalledModelIsReadBeforeRareOnes(t *testing.T) {
	w := newFixture(t)
	w.servers(engineService, 4)
	s := w.router.services[engineService]
	s.store.limit = 1
	for i := range 4 {
		waits := core.HeldModel{Name: "m1", State: core.HoldPermit, Waiting: 1, Rate: 0.2}
		if i == 3 {
			waits = core.HeldModel{Name: "m2", State: core.HoldPermit, Rate: 40}
		}
		w.reportHoldings(i, core.Holdings{Models: []core.HeldModel{waits}})
	}
	w.run(planInterval + tickInterval)
	for i := range 4 {
		if granted := len(w.demands[loaderName(i)].Permits) > 0; granted != (i == 3) {
			t.Errorf("engine %d: permit %t", i, granted)
		}
	}
}

// grantedLoads returns the engines that may load from the store.
func (w *fixture) grantedLoads() []int {
	var granted []int
	for i := range w.demands {
		if len(w.demands[i].Permits) > 0 {
			granted = append(granted, w.loaderIndex(i))
		}
	}
	slices.Sort(granted)
	return granted
}

// loaderIndex returns the number of a loader's engine.
func (w *fixture) loaderIndex(name core.HostID) int {
	for i := range ceilingEngines {
		if loaderName(i) == name {
			return i
		}
	}
	w.t.Fatalf("no loader %s", name)
	return 0
}

// ceilingEngines is the number of engines that wait for loads, more than may begin within the
// ceiling's window.
const ceilingEngines = 70

// Guards against more loads than the ceiling on the weight store allows when the coordinator
// restarts, or another router takes its place: the one before has granted as many as there may be,
// and the new one has granted none.
func TestNewCoordinatorKeepsTheCeilingOfStoreLoads(t *testing.T) {
	waits := []core.HeldModel{{Name: "m1", State: core.HoldPermit, ReadyIn: 6 * time.Second, Waiting: 1}}
	loads := []core.HeldModel{{Name: "m1", State: core.HoldStoreLoading, ReadyIn: 6 * time.Second}}
	begun := map[int]bool{}
	coordinate := func() {
		w := newFixture(t)
		w.servers(engineService, ceilingEngines)
		w.router.services[engineService].store.limit = ceilingEngines
		for i := range ceilingEngines {
			models := waits
			if begun[i] {
				models = loads
			}
			w.reportHoldings(i, core.Holdings{Models: models})
		}
		w.run(planInterval + tickInterval)
		for _, i := range w.grantedLoads() {
			begun[i] = true
		}
	}
	for range 3 {
		coordinate()
	}
	b := testBounds()
	most := int(5 * b.StoreLoadWindow.Seconds() * b.StoreLoadSlack)
	if len(begun) > most || len(begun) < most {
		t.Errorf("%d loads begin within the window, want %d", len(begun), most)
	}
}

// Guards against loads that begin later than they were permitted, together with those that are
// permitted in the next window.
func TestLateLoadsCountWhenTheyBegin(t *testing.T) {
	w := newFixture(t)
	w.servers(engineService, ceilingEngines)
	s := w.router.services[engineService]
	s.store.limit = ceilingEngines
	waits := []core.HeldModel{{Name: "m1", State: core.HoldPermit, ReadyIn: 6 * time.Second, Waiting: 1}}
	for i := range ceilingEngines {
		w.reportHoldings(i, core.Holdings{Models: waits})
	}
	w.run(planInterval + tickInterval)
	early := w.grantedLoads()
	w.run(2 * time.Second)
	for _, i := range early {
		w.reportHoldings(i, core.Holdings{Models: []core.HeldModel{{Name: "m1", State: core.HoldStoreLoading, ReadyIn: 6 * time.Second}}})
	}
	beganAt := w.now
	for w.now < beganAt.Add(testBounds().StoreLoadWindow-tickInterval) {
		for i := range ceilingEngines {
			if !slices.Contains(early, i) {
				w.reportHoldings(i, core.Holdings{Models: waits})
			}
		}
		w.run(tickInterval)
	}
	isEarly := func(i int) bool { return slices.Contains(early, i) }
	if late := slices.DeleteFunc(w.grantedLoads(), isEarly); len(late) > 0 {
		t.Errorf("%d loads are permitted while %d have begun within the window", len(late), len(early))
	}
}
