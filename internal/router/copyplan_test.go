package router

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	gocmp "github.com/google/go-cmp/cmp"

	"nutmeglane.example/nutmeglane/internal/core"
	"nutmeglane.example/nutmeglane/internal/fleet"
)

// rise is a rate that rises from 15 to 77 requests a second within four seconds.
func rise(begin core.Time) func(core.Time) float64 {
	return func(now core.Time) float64 {
		part := min(1, max(0, now.Sub(begin).Seconds()/4))
		return 15 + 62*part
	}
}

// A model rises from 15 to 77 requests a second in four seconds. Guards against copies that
// come late and one after another, each of which takes a load: all that it needs must be
// ordered at most one plan interval after two thirds of the rise. In the large fleet loaders
// report once a second.
func TestRisingModelGetsItsCopies(t *testing.T) {
	for _, size := range []copySize{firstSize, secondSize, largeSize} {
		t.Run(size.name, func(t *testing.T) {
			f := newCopyFleet(t, size, 1, true)
			for i, e := range f.engines {
				if i%3 == 0 {
					e.onDisk = append(e.onDisk, "m1")
				}
			}
			before := size.copiesFor(15)
			for i := range before {
				f.hold("m1", i)
			}
			f.steady("m1", 15)
			f.connect()
			f.run(8 * time.Second)
			if got := len(f.ordered("m1")); got > before+1 {
				t.Fatalf("%d engines have the model at a steady rate, want %d", got, before)
			}
			begin := f.now
			f.rates["m1"].perSecond = rise(begin)
			// Where reports come more rarely than plans are made, rates are as much older.
			f.run(4*time.Second*2/3 + max(planInterval, size.reportEvery))
			if got, want := len(f.ordered("m1")), size.copiesFor(77); got < want {
				t.Errorf("%d copies are ordered after two thirds of the rise, want %d", got, want)
			}
			f.run(10 * time.Second)
			if got, most := len(f.ordered("m1")), 2*size.copiesFor(77); got > most {
				t.Errorf("%d copies are ordered in the end, want at most %d", got, most)
			}
		})
	}
}

// The whole fleet returns after a loss of power: 71 requests a second reach two engines that
// can read 30 each, and rates are unknown for two seconds. A third engine has the model on
// disk and is busy for a second, a fourth one waits for the store to load it. Guards against
// a store load that blocks the near copy: the third engine must be asked.
func TestBusyEngineWithNearCopyIsAsked(t *testing.T) {
	for _, size := range []copySize{firstSize, secondSize} {
		t.Run(size.name, func(t *testing.T) {
			f := newCopyFleet(t, size, 1, true)
			f.size.nearEach = 0
			for _, e := range f.engines {
				e.onDisk = nil
			}
			f.hold("m1", 0, 1)
			f.engines[0].onDisk, f.engines[1].onDisk, f.engines[2].onDisk = []string{"m1"}, []string{"m1"}, []string{"m1", "m2"}
			f.engines[3].held = []core.HeldModel{{Name: "m1", State: core.HoldPermit}}
			f.begin(f.engines[2], "m2", true)
			store := &f.routers[0].router.services[engineService].store
			store.expire(f.now, testBounds())
			store.limit = 1
			store.planned[grantKey{loaderName(3), "m1"}] = plannedLoad{since: f.now, until: f.now.Add(time.Minute), spread: true, store: true}
			f.connect()
			f.serve(f.routers[0], "m1")
			// Other engines read faster than those of the first deployment, in proportion.
			read := 1 / size.work().Seconds()
			perSecond := 71 * firstSize.work().Seconds() * read
			for i := range 10 {
				unread := (perSecond - 2*read) * 0.2 * float64(i)
				f.engines[0].unread, f.engines[1].unread = int(unread/2), int(unread/2)
				f.run(200 * time.Millisecond)
			}
			if got := f.ordered("m1"); !slices.Contains(got, 2) {
				t.Errorf("engines %v have the model or are asked, want the third as well", got)
			}
		})
	}
}

// Three loads that nobody waits for wait for the store, and a model that 25 callers a second
// need is nowhere else. All of its callers are refused at once, since its load takes longer
// than they stay, so that nobody waits for it either. Guards against the order of arrival:
// it must get the store first.
func TestNeededStoreLoadIsPermittedFirst(t *testing.T) {
	f := newCopyFleet(t, secondSize, 1, true)
	f.size.routers = 1
	for _, e := range f.engines {
		e.onDisk = slices.DeleteFunc(e.onDisk, func(m string) bool { return m == "m100" })
	}
	w := f.routers[0]
	s := w.router.services[engineService]
	s.store.limit = 1
	f.begin(f.engines[0], "m5", false)
	f.engines[0].done = f.now.Add(4 * time.Second)
	for i, model := range []string{"m101", "m102", "m103"} {
		f.engines[1+i].held = []core.HeldModel{{Name: model, State: core.HoldPermit}}
	}
	f.connect()
	f.run(time.Second)
	for i := range 3 * int(time.Second/tickInterval) {
		f.run(tickInterval)
		for range 1 + (i+3)%4/3 { // 25 a second
			key := w.call("quick", prompt("m100"))
			if _, refused := w.finishes[key]; !refused {
				t.Fatal("a caller waits for a load that takes longer than it stays")
			}
		}
		permits := map[string]bool{}
		for i := range f.engines {
			for _, model := range w.demands[loaderName(i)].Permits {
				permits[model] = true
			}
		}
		for model := range permits {
			if model != "m100" && model != "m5" {
				t.Fatalf("%s gets the store first", model)
			}
		}
		if permits["m100"] {
			return
		}
	}
	t.Error("the model gets no permit")
}

// Two routers coordinate half of the engines each. Guards against a plan of the same copies
// by both, and against orders at engines that follow the other one.
func TestTwoCoordinatorsPlanWhatIsNeeded(t *testing.T) {
	f := newCopyFleet(t, firstSize, 2, true)
	f.follows = func(i int) core.HostID { return routerName(i % 2) }
	for _, e := range f.engines {
		e.onDisk = append(e.onDisk, "m1")
	}
	f.hold("m1", 0)
	f.steady("m1", 77)
	f.connect()
	f.run(3 * time.Second)
	needed := firstSize.copiesFor(77)
	if got := len(f.ordered("m1")); got < needed || got > needed+1 {
		t.Errorf("%d engines have or load the model, want %d or one more", got, needed)
	}
	for j, w := range f.routers {
		for i := range f.engines {
			if wants := w.demands[loaderName(i)].Wants; len(wants) > 0 && f.follows(i) != routerName(j) {
				t.Errorf("router %d wants %+v at an engine that follows the other one", j, wants)
			}
		}
	}
}

// A whole fleet returns: loaders connect within 300 ms, and each follows the first router that
// it sees. 60 callers wait for the busiest model. Guards against as many copies from each of
// the routers as the callers need.
func TestReturningFleetPlansOnce(t *testing.T) {
	f := newCopyFleet(t, firstSize, 4, true)
	f.follows = func(i int) core.HostID { return routerName(i % 4) }
	for i, e := range f.engines {
		e.onDisk, e.silent = append(e.onDisk, "m1"), i%6 > 0
	}
	f.engines[0].held = []core.HeldModel{{Name: "m1", State: core.HoldQueued, Waiting: 60}}
	for step := range 6 {
		for i, e := range f.engines {
			e.silent = i%6 > step
		}
		f.run(tickInterval)
	}
	f.follows = func(int) core.HostID { return routerName(0) }
	f.run(planInterval * 2)
	// One copy reads 8 of the 60 requests within half of the shortest objective, 600 ms. Each
	// router may round its part up.
	needed := 60 / int(0.3/firstSize.work().Seconds())
	if got := len(f.ordered("m1")); got < needed || got > needed+len(f.routers) {
		t.Errorf("%d engines have or load the model, want %d to %d", got, needed, needed+len(f.routers))
	}
}

// The coordinator is killed a moment after it has ordered copies. Guards against a successor
// that plans late, or orders them again: within one plan interval it must order what is
// missing, and count what engines load.
func TestSuccessorPlansWhatIsMissing(t *testing.T) {
	f := newCopyFleet(t, firstSize, 2, true)
	for _, e := range f.engines {
		e.onDisk = append(e.onDisk, "m1", "m2")
	}
	f.hold("m1", 0)
	f.hold("m2", 1)
	f.steady("m1", 77)
	f.steady("m2", 10)
	f.connect()
	f.run(2 * planInterval)
	needed := firstSize.copiesFor(77)
	if got := len(f.ordered("m1")); got != needed {
		t.Fatalf("%d copies ordered, want %d", got, needed)
	}
	f.routers = f.routers[1:]
	f.follows = func(int) core.HostID { return routerName(1) }
	f.steady("m2", 77)
	f.connect()
	f.run(planInterval)
	for _, model := range []string{"m1", "m2"} {
		if got := len(f.ordered(model)); got != needed {
			t.Errorf("%d engines have or load %s, want %d", got, model, needed)
		}
	}
}

// Guards against a plan by what a loader reported seconds ago: after 3 s without a report
// what its engine has doesn't count, and other engines get the copies.
func TestOldReportsDoNotCount(t *testing.T) {
	f := newCopyFleet(t, firstSize, 1, true)
	for _, e := range f.engines {
		e.onDisk = append(e.onDisk, "m1")
	}
	needed := firstSize.copiesFor(77)
	for i := range needed {
		f.hold("m1", i)
	}
	f.steady("m1", 77)
	f.connect()
	f.run(2 * time.Second)
	f.engines[0].silent, f.engines[1].silent = true, true
	f.run(holdingsMaxAge - 500*time.Millisecond)
	if got := len(f.ordered("m1")); got != needed {
		t.Errorf("%d engines have or load the model before 3 s, want %d", got, needed)
	}
	f.run(500*time.Millisecond + 2*planInterval)
	if got := len(f.ordered("m1")); got != needed+2 {
		t.Errorf("%d engines have or load the model, want %d beside the two silent ones", got, needed)
	}
}

// Guards against an effect of the plan on services that do not qualify: with the switch set
// and a longer pause required than the streams declare, each effect must be as without it.
func TestServicesWithoutThePlanAreUnchanged(t *testing.T) {
	run := func(options CrowdingOptions) []Effect {
		f := newCopyFleet(t, firstSize, 1, false)
		w := f.routers[0]
		w.router.SetCrowding(options)
		var effects []Effect
		f.hold("m1", 0)
		f.steady("m1", 15)
		for i := range 60 {
			f.rates["m1"].perSecond = rise(f.now)
			f.run(2 * tickInterval)
			effects = append(effects, w.router.Step(w.now, Arrived{Key: Key(10_000 + i), Request: fleet.Request{
				ID: fmt.Sprintf("r%d", i), Host: callersHost, Path: "/quick/x", Prompt: prompt("m9"),
			}})...)
			for j := range f.engines {
				effects = append(effects, SendDemand{Loader: loaderName(j), Demand: w.demands[loaderName(j)]})
			}
		}
		if w.router.services[engineService].copies.plannedAt != 0 {
			t.Error("a plan was made")
		}
		return effects
	}
	off, other := run(CrowdingOptions{}), run(CrowdingOptions{FromPause: 800 * time.Millisecond, CopyPlan: true})
	if diff := gocmp.Diff(off, other); diff != "" {
		t.Error("effects differ:", diff)
	}
}

// Most calls of the first deployment go to four models, which change each ten seconds, the
// others to all models. Guards against more traffic between routers and loaders: with the
// plan they may send a tenth more messages, and bytes, than without it.
func TestPlanSendsNoMoreThanATenthMore(t *testing.T) {
	const phases, phase = 3, 10 * time.Second
	run := func(plan bool) (messages, size int) {
		f := newCopyFleet(t, firstSize, 3, plan)
		f.size.routers, f.countTraffic = len(f.routers), true
		for _, w := range f.routers {
			w.countBytes = true
		}
		for i := range f.engines {
			for j := range 5 {
				f.hold(fmt.Sprintf("m%d", (5*i+j)%f.size.models), i)
			}
		}
		// The busy models are at different engines.
		busy := func(phase, j int) string { return fmt.Sprintf("m%d", (4*phase+j)*17%f.size.models) }
		for i := range f.size.models {
			model := fmt.Sprintf("m%d", i)
			f.steady(model, 64/float64(f.size.models))
			f.rates[model].chance = rand.New(rand.NewPCG(uint64(i), 1))
		}
		f.connect()
		for i := range int(phases * phase / tickInterval) {
			now := i / int(phase/tickInterval)
			for j := range phases * 4 {
				perSecond := 64 / float64(f.size.models)
				if j/4 == now {
					perSecond = 179.0 / 4
				}
				f.rateOf(busy(j/4, j%4)).perSecond = func(core.Time) float64 { return perSecond }
			}
			for j, w := range f.routers {
				for k := range 3 {
					f.serve(w, busy(now, (i+j+k)%4))
				}
				f.serve(w, fmt.Sprintf("m%d", (i*31+j*53)%f.size.models))
			}
			f.run(tickInterval)
		}
		return f.messages()
	}
	messagesBefore, bytesBefore := run(false)
	messages, size := run(true)
	t.Logf("without the plan %d messages of %d bytes, with it %d of %d", messagesBefore, bytesBefore, messages, size)
	if messages*10 > messagesBefore*11 || size*10 > bytesBefore*11 {
		t.Errorf("%d messages of %d bytes are sent, without the plan %d of %d", messages, size, messagesBefore, bytesBefore)
	}
}

// Guards against a planned load that operators can't explain: the log, the metric and the
// dump must show it with its tier, gain, reason and what it evicts.
func TestPlannedLoadsAreShown(t *testing.T) {
	f := newCopyFleet(t, firstSize, 1, true)
	for _, e := range f.engines {
		e.onDisk = slices.DeleteFunc(e.onDisk, func(m string) bool { return m == "m1" })
	}
	f.engines[1].onDisk = append(f.engines[1].onDisk, "m1")
	f.hold("m1", 0)
	for i := range 5 {
		f.hold(fmt.Sprintf("m%d", 50+i), 1)
	}
	f.steady("m1", 30)
	f.connect()
	f.run(planInterval)
	lines := f.routers[0].logged("copy plan orders a load")
	if len(lines) != 1 || attrOf(t, lines[0], "model") != "m1" || attrOf(t, lines[0], "tier") != "disk" ||
		attrOf(t, lines[0], "reason") != "shortage" || attrOf(t, lines[0], "instance") != "s1" {
		t.Fatalf("lines on planned loads: %+v, want one of m1 at s1", lines)
	}
	if evicted, ok := attrOf(t, lines[0], "evicts").([]string); !ok || len(evicted) != 1 {
		t.Errorf("evicts %v, want one model", attrOf(t, lines[0], "evicts"))
	}
	if got := f.routers[0].counts[metricPlannedLoads]; got != 1 {
		t.Errorf("the metric counts %g loads, want 1", got)
	}
	states := f.routers[0].router.Dump().CopyPlans
	if len(states) != 1 || states[0].Service != engineService || states[0].Needed["m1"] != 2 {
		t.Errorf("dumped plans %+v, want one with 2 copies of m1", states)
	}
}

// A model that only one engine has is to be read from the store for a second place. Guards
// against an order that ends at once because the model is at that engine, and against one
// that stays once a second engine has it.
func TestSecondPlaceIsOrderedOnce(t *testing.T) {
	f := newCopyFleet(t, firstSize, 1, true)
	for _, e := range f.engines {
		e.onDisk = slices.DeleteFunc(e.onDisk, func(m string) bool { return m == "m1" })
	}
	f.hold("m1", 0)
	f.steady("m1", 10)
	f.connect()
	f.run(2*planInterval + 8*time.Second)
	if got := f.routers[0].counts[metricPlannedLoads]; got != 1 {
		t.Errorf("%g loads are ordered, want 1", got)
	}
	if got := f.ordered("m1"); len(got) != 2 {
		t.Errorf("engines %v have the model, want two", got)
	}
}

// The only engine of a model that 25 callers a second need is lost, and the model is nowhere
// else. Guards against a load that ranks behind others because no loader reports the rate any
// more, at a router of a large fleet that sees few of the calls itself.
func TestRateOfALostModelIsRemembered(t *testing.T) {
	f := newCopyFleet(t, largeSize, 1, true)
	for _, e := range f.engines {
		e.onDisk = slices.DeleteFunc(e.onDisk, func(m string) bool { return m == "m1" })
	}
	f.hold("m1", 0)
	f.steady("m1", 25)
	w := f.routers[0]
	w.router.services[engineService].store.limit = 1
	w.router.services[engineService].store.starts = slices.Repeat([]storeStart{{at: f.now}}, 100)
	f.connect()
	f.run(2 * planInterval)
	e := f.engines[0]
	e.held, e.onDisk, e.freeMB = nil, nil, largeSize.engineMB
	f.report(0, e)
	f.run(2 * planInterval)
	plan := w.router.services[engineService].copies.plan
	if gain := plan.StoreGain["m1"]; gain < 25 {
		t.Errorf("the load has gain %g, want that of 25 callers a second: %v", gain, plan.StoreGain)
	}
}

// A router starts beside a fleet that has the copies that a model needs. Guards against a plan
// of further copies because some loaders have not reported yet.
func TestStartingRouterCountsListedModels(t *testing.T) {
	f := newCopyFleet(t, firstSize, 1, true)
	w := f.routers[0]
	needed := firstSize.copiesFor(77)
	list := map[string]fleet.Backend{}
	for i, e := range f.engines {
		e.onDisk = append(e.onDisk, "m1")
		b := w.server(engineService, i)
		if i < needed {
			f.hold("m1", i)
			b.Models = []fleet.LoadedModel{{Name: "m1"}}
		}
		list[b.Instance] = b
	}
	w.step(BackendsRead{Backends: list})
	f.steady("m1", 77)
	for i, e := range f.engines {
		if e.silent = i%2 > 0; !e.silent {
			f.report(i, e)
		}
	}
	f.run(planInterval + tickInterval)
	if got := len(f.ordered("m1")); got != needed {
		t.Errorf("%d engines have or load the model, want %d", got, needed)
	}
}
