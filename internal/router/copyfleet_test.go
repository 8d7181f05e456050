package router

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	gocmp "github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"nutmeglane.example/nutmeglane/internal/core"
	"nutmeglane.example/nutmeglane/internal/fleet"
	"nutmeglane.example/nutmeglane/internal/work"
)

// copySize is the size of a deployment, with what its engines take for a request.
type copySize struct {
	name                            string
	routers, engines, models, slots int
	modelMB, engineMB               float64
	storeLoad, diskLoad             time.Duration
	tokens, events                  int
	readsPerMS                      float64
	step                            time.Duration
	reportEvery                     time.Duration
	nearEach                        int
}

var (
	firstSize  = copySize{"first", 26, 47, 144, 128, 16_100, 83_000, 6 * time.Second, time.Second, 646, 23, 19.2, 9470 * time.Microsecond, 250 * time.Millisecond, 20}
	secondSize = copySize{"second", 34, 39, 228, 64, 65_100, 230_000, 14 * time.Second, 1600 * time.Millisecond, 646, 23, 30.6, 6730 * time.Microsecond, 250 * time.Millisecond, 20}
	largeSize  = copySize{"470 routers", 470, 600, 299, 128, 16_100, 83_000, 6 * time.Second, time.Second, 646, 23, 19.2, 9470 * time.Microsecond, time.Second, 20}
)

// work is the engine time of a request: reading its prompt, and its part of its steps.
func (d copySize) work() time.Duration {
	reading := time.Duration(float64(d.tokens) / d.readsPerMS * float64(time.Millisecond))
	return reading + time.Duration(d.events)*d.step/time.Duration(d.slots)
}

// copiesFor is the number of copies that a rate needs at engines without other load, by the
// rules of the design page: 0.6 of an engine each, and none for a fifth of an engine.
func (d copySize) copiesFor(perSecond float64) int {
	return max(1, int(math.Ceil((perSecond*d.work().Seconds()-0.2)/0.6)))
}

func (d copySize) config() *fleet.Config {
	config := testConfig()
	config.Version = 2
	engine := config.Services[engineService].Engine
	engine.Slots, engine.MemoryMB, engine.Models = d.slots, d.engineMB, map[string]fleet.Model{}
	for i := range d.models {
		name := fmt.Sprintf("m%d", i)
		engine.Models[name] = fleet.Model{
			Name: name, MemoryMB: d.modelMB, StoreLoad: d.storeLoad, DiskLoad: d.diskLoad, HostLoad: d.diskLoad * 6 / 10,
		}
	}
	return config
}

// copyFleet simulates the engines and loaders of a deployment for one or several routers,
// which it drives in virtual time.
type copyFleet struct {
	t       *testing.T
	size    copySize
	now     core.Time
	routers []*fixture
	engines []*copyEngine
	rates   map[string]*copyRate
	// follows returns the router that an engine's loader follows.
	follows func(engine int) core.HostID
	// countTraffic makes the fleet count the messages that its loaders send, and their bytes.
	countTraffic            bool
	messagesSent, bytesSent int
}

// copyEngine is a simulated engine with its loader.
type copyEngine struct {
	held   []core.HeldModel
	onDisk []string
	freeMB float64
	unread int
	// loading is the model that is loaded until done, "" if none.
	loading string
	done    core.Time
	silent  bool
	// told are the holdings that were last counted as sent, at toldAt.
	told   core.Holdings
	toldAt core.Time
	// orders are the times at which loads began, by model.
	orders map[string]core.Time
}

// copyRate is the sum of the rates of one model that loaders report.
type copyRate struct {
	perSecond  func(core.Time) float64
	slow, fast float64
	// chance makes calls arrive by chance, nil if the rate is exact.
	chance *rand.Rand
}

func routerName(i int) core.HostID { return core.HostID(fmt.Sprintf("10.0.0.%d", i+1)) }

// newCopyFleet returns a fleet whose engines hold nothing and have copies of models on disk,
// spread evenly. With plan unset the routers decide by their separate rules.
func newCopyFleet(t *testing.T, size copySize, routers int, plan bool) *copyFleet {
	f := &copyFleet{t: t, size: size, now: core.Time(time.Hour), rates: map[string]*copyRate{}}
	f.follows = func(int) core.HostID { return routerName(0) }
	for i := range size.engines {
		e := &copyEngine{freeMB: size.engineMB, orders: map[string]core.Time{}}
		for j := range size.nearEach {
			e.onDisk = append(e.onDisk, fmt.Sprintf("m%d", (i*size.nearEach+j)%size.models))
		}
		f.engines = append(f.engines, e)
	}
	for i := range routers {
		w := newFixture(t)
		w.router.opts.Host = routerName(i)
		if plan {
			w.router.SetCrowding(CrowdingOptions{FromPause: 400 * time.Millisecond, CopyPlan: true})
		}
		w.now = f.now
		w.step(ConfigRead{Config: size.config()})
		w.servers(engineService, size.engines)
		f.learn(w)
		f.routers = append(f.routers, w)
	}
	return f
}

// learn gives a router the speeds that it would measure.
func (f *copyFleet) learn(w *fixture) {
	s := w.router.services[engineService]
	reading := time.Duration(float64(f.size.tokens) / f.size.readsPerMS * float64(time.Millisecond))
	s.work = work.Speed{}
	for range 8 {
		s.work.Observe("m1", f.size.tokens, reading+s.work.BaseLatency())
	}
	s.speed.models["m1"] = &modelSpeed{pause: f.size.step, first: reading, events: float64(f.size.events)}
	answer := s.speed.models["m1"].answerTime()
	s.speed.share = float64(reading) / float64(answer)
	s.copies.calls = map[string]*recentCalls{"": {tokens: float64(f.size.tokens), sent: 1}}
}

// hold loads a model at engines, which have it on disk then.
func (f *copyFleet) hold(model string, engines ...int) {
	for _, i := range engines {
		e := f.engines[i]
		e.held = append(e.held, core.HeldModel{Name: model, State: core.HoldLoaded})
		e.onDisk = append(e.onDisk, model)
		e.freeMB -= f.size.modelMB
	}
}

// steady sets a constant rate that loaders have known for long.
func (f *copyFleet) steady(model string, perSecond float64) {
	f.rates[model] = &copyRate{perSecond: func(core.Time) float64 { return perSecond }, slow: perSecond, fast: perSecond}
}

// connect delivers a report of each engine.
func (f *copyFleet) connect() {
	f.t.Helper()
	for i, e := range f.engines {
		f.report(i, e)
	}
}

// run advances the fleet.
func (f *copyFleet) run(d time.Duration) {
	f.t.Helper()
	for end := f.now.Add(d); f.now < end; {
		f.now = f.now.Add(tickInterval)
		for _, rate := range f.rates {
			rate.advance(rate.perSecond(f.now), tickInterval)
		}
		for i, e := range f.engines {
			changed := f.advance(i, e)
			ticks, period := int(f.now/core.Time(tickInterval)), int(f.size.reportEvery/tickInterval)
			if !e.silent && (changed || (ticks+i)%period == 0) {
				f.report(i, e)
			}
		}
		for _, w := range f.routers {
			w.now = f.now
			w.step(Tick{})
		}
	}
}

func (r *copyRate) advance(perSecond float64, past time.Duration) {
	if r.chance != nil {
		perSecond = float64(poisson(r.chance, perSecond*past.Seconds())) / past.Seconds()
	}
	toward := func(old float64, memory time.Duration) float64 {
		return perSecond + (old-perSecond)*math.Exp(-float64(past)/float64(memory))
	}
	r.slow, r.fast = toward(r.slow, core.RateMemory), toward(r.fast, core.FastRateMemory)
}

// poisson returns a number of arrivals by chance.
func poisson(rng *rand.Rand, mean float64) int {
	count, product := 0, rng.Float64()
	for limit := math.Exp(-mean); product > limit; count++ {
		product *= rng.Float64()
	}
	return count
}

// advance ends and begins loads of an engine, as its loader would, and reports whether one
// did.
func (f *copyFleet) advance(i int, e *copyEngine) bool {
	if e.loading != "" {
		if f.now < e.done {
			return false
		}
		e.set(e.loading, core.HoldLoaded)
		e.onDisk = append(e.onDisk, e.loading)
		e.loading = ""
		return true
	}
	for _, want := range f.wants(i) {
		if slices.ContainsFunc(e.held, func(m core.HeldModel) bool { return m.Name == want.Model && m.State == core.HoldLoaded }) {
			continue
		}
		near := slices.Contains(e.onDisk, want.Model)
		if !near && !f.permitted(i, want.Model) {
			if e.set(want.Model, core.HoldPermit) {
				return true
			}
			continue
		}
		if !f.makeRoom(i, want) {
			continue
		}
		f.begin(e, want.Model, near)
		return true
	}
	return false
}

func (f *copyFleet) begin(e *copyEngine, model string, near bool) {
	state, takes := core.HoldLoading, f.size.diskLoad
	if !near {
		state, takes = core.HoldStoreLoading, f.size.storeLoad
	}
	e.set(model, state)
	e.freeMB -= f.size.modelMB
	e.loading, e.done = model, f.now.Add(takes)
	e.orders[model] = f.now
}

// set sets the state of a model and reports whether that changes anything.
func (e *copyEngine) set(model string, state core.HoldState) bool {
	for i := range e.held {
		if e.held[i].Name == model {
			changed := e.held[i].State != state
			e.held[i].State = state
			return changed
		}
	}
	e.held = append(e.held, core.HeldModel{Name: model, State: state})
	return true
}

// makeRoom evicts the loaded models with the lowest costs, by the rules of loaders. For a
// background load it evicts none that are called.
func (f *copyFleet) makeRoom(engine int, want core.Want) bool {
	e := f.engines[engine]
	for e.freeMB < f.size.modelMB {
		least := -1
		for i, m := range e.held {
			if m.State == core.HoldLoaded && (least < 0 || f.evictionCost(engine, m.Name) < f.evictionCost(engine, e.held[least].Name)) {
				least = i
			}
		}
		if least < 0 || want.Background && f.rateOf(e.held[least].Name).fast > 0.5 {
			return false
		}
		e.held = slices.Delete(e.held, least, least+1)
		e.freeMB += f.size.modelMB
	}
	return true
}

// evictionCost is the cost of evicting a model, as a loader computes it: spare copies cost a
// twentieth.
func (f *copyFleet) evictionCost(engine int, model string) float64 {
	for j, w := range f.routers {
		if f.follows(engine) != routerName(j) {
			continue
		}
		for _, use := range w.demands[loaderName(engine)].Uses {
			if use.Model == model && use.Spare {
				return 0.05 * f.rateOf(model).fast
			}
		}
	}
	return f.rateOf(model).fast
}

func (f *copyFleet) rateOf(model string) *copyRate {
	if f.rates[model] == nil {
		f.rates[model] = &copyRate{perSecond: func(core.Time) float64 { return 0 }}
	}
	return f.rates[model]
}

// wants returns what all routers want at an engine, background loads last.
func (f *copyFleet) wants(i int) []core.Want {
	var wants []core.Want
	for _, w := range f.routers {
		wants = append(wants, w.demands[loaderName(i)].Wants...)
	}
	slices.SortStableFunc(wants, func(a, b core.Want) int {
		if a.Background != b.Background {
			if a.Background {
				return 1
			}
			return -1
		}
		return cmp.Compare(a.Within, b.Within)
	})
	return wants
}

func (f *copyFleet) permitted(i int, model string) bool {
	for j, w := range f.routers {
		if f.follows(i) == routerName(j) && slices.Contains(w.demands[loaderName(i)].Permits, model) {
			return true
		}
	}
	return false
}

// report delivers an engine's holdings to all routers.
func (f *copyFleet) report(i int, e *copyEngine) {
	holdings := core.Holdings{Routers: f.size.routers, Coordinator: f.follows(i), FreeMB: e.freeMB, OnDisk: e.onDisk, Unread: e.unread}
	if e.loading != "" {
		holdings.FreeIn = e.done.Sub(f.now)
	}
	for _, m := range e.held {
		if m.State == core.HoldLoaded {
			rate := f.rateOf(m.Name)
			m.Rate, m.SlowRate = max(rate.slow, rate.fast), rate.slow
		}
		if m.Name == e.loading {
			m.ReadyIn = holdings.FreeIn
		}
		holdings.Models = append(holdings.Models, m)
	}
	f.countReport(e, holdings)
	for _, w := range f.routers {
		w.now = f.now
		if l := w.router.loaders[loaderName(i)]; l == nil || !l.up {
			w.step(LoaderUp{Loader: loaderName(i)})
		}
		w.step(LoaderReported{Loader: loaderName(i), Holdings: holdings})
	}
}

// ordered returns the engines that a router asks to load a model, or that load or have it.
func (f *copyFleet) ordered(model string) []int {
	var engines []int
	for i, e := range f.engines {
		has := slices.ContainsFunc(e.held, func(m core.HeldModel) bool { return m.Name == model && m.State != core.HoldPermit })
		if has || slices.ContainsFunc(f.wants(i), func(w core.Want) bool { return w.Model == model }) {
			engines = append(engines, i)
		}
	}
	return engines
}

// countReport counts a report as loaders send it: holdings that have changed without the near
// copies unless these have changed, and counts once a second otherwise.
func (f *copyFleet) countReport(e *copyEngine, holdings core.Holdings) {
	if !f.countTraffic {
		return
	}
	var message core.Message = core.Counts{FreeMB: holdings.FreeMB}
	changed := !gocmp.Equal(holdings, e.told, cmpopts.EquateApprox(0.1, 0.05))
	if !changed && f.now.Sub(e.toldAt) < time.Second {
		return
	}
	if changed {
		short := holdings
		if slices.Equal(holdings.OnDisk, e.told.OnDisk) {
			short.OnDisk, short.NearAsBefore = nil, true
		}
		message = short
	}
	e.told, e.toldAt = holdings, f.now
	e.told.OnDisk = slices.Clone(e.told.OnDisk)
	for range f.routers {
		f.messagesSent++
		f.bytesSent += encodedSize(f.t, message)
	}
}

// messages returns the number of messages between routers and loaders, and their bytes.
func (f *copyFleet) messages() (count, size int) {
	count, size = f.messagesSent, f.bytesSent
	for _, w := range f.routers {
		count += w.sentDemands
		size += w.sentBytes
	}
	return count, size
}

func encodedSize(t testing.TB, message core.Message) int {
	t.Helper()
	data, err := cbor.Marshal(message)
	if err != nil {
		t.Fatal(err)
	}
	return len(data)
}

// countDemand counts a Demand that was sent.
func (w *fixture) countDemand(demand core.Demand) {
	w.sentDemands++
	if w.countBytes {
		w.sentBytes += encodedSize(w.t, demand)
	}
}

// serve makes a router get a request, which is answered at once if it is sent.
func (f *copyFleet) serve(w *fixture, model string) {
	f.t.Helper()
	key := w.call("quick", prompt(model))
	if len(w.sends[key]) == 0 {
		return
	}
	w.step(FirstEvent{Key: key, Attempt: 1})
	w.step(Done{Key: key, Attempt: 1, End: AnswerEnd{Events: f.size.events}, Pause: f.size.step})
}
