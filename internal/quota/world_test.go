package quota

import (
	"fmt"
	"slices"
	"time"

	"nutmeglane.example/nutmeglane/internal/core"
)

const (
	start = core.Time(time.Hour)
	// wayTime is how long a message takes, tickTime the time between two ticks of a router.
	wayTime, tickTime = 2 * time.Millisecond, 50 * time.Millisecond
)

func testBounds() Bounds { return Bounds{Window: 8 * time.Second, Over: 0.1, Slack: 72000} }

var testLimit = map[string]Limit{"a": {Rate: 18000, Burst: 18000}}

// world is routers and loaders in virtual time, with all that may happen to them.
type world struct {
	now     core.Time
	bounds  Bounds
	limits  map[string]Limit
	routers []*testRouter
	loaders []*testLoader
	// words are on their way, each connection's in order.
	words []testWord
	// uses are what ran, in the order of time.
	uses []testUse
	keys uint64
}

type testRouter struct {
	name        core.HostID
	gate        *Gate
	life        int
	pausedUntil core.Time
	// waiting are the costs of requests that wait.
	waiting map[uint64]float64
	// admitted and refused are costs, of all accounts.
	admitted, refused float64
	// last is the last decision; soonest and latest are the least and the largest time after
	// which refused callers were told to return.
	last            Decision
	soonest, latest time.Duration
}

type testLoader struct {
	name        core.HostID
	keeper      *Granter
	life        int
	pausedUntil core.Time
	// cut are the routers whose path is cut, until a time.
	cut map[int]core.Time
}

// testWord is a message between a router and a loader, which ends with either's life.
type testWord struct {
	at                     core.Time
	router, loader         int
	routerLife, loaderLife int
	ask                    *core.QuotaAsk
	told                   *core.QuotaTold
}

type testUse struct {
	at   core.Time
	cost float64
}

func newWorld(bounds Bounds, limits map[string]Limit, routers, loaders int) *world {
	w := &world{now: start, bounds: bounds, limits: limits}
	for i := range loaders {
		w.loaders = append(w.loaders, &testLoader{name: core.HostID(fmt.Sprintf("l%d", i)), cut: map[int]core.Time{}})
		w.startLoader(i)
	}
	for i := range routers {
		w.routers = append(w.routers, &testRouter{name: core.HostID(fmt.Sprintf("r%d", i))})
		w.startRouter(i)
	}
	return w
}

// startRouter begins a router's process anew. What waited there is lost.
func (w *world) startRouter(i int) {
	r := w.routers[i]
	r.gate, r.waiting = NewGate(w.bounds), map[uint64]float64{}
	r.life++
	r.pausedUntil = 0
	r.gate.SetLimits(w.now, 1, w.limits)
}

// startLoader begins a loader's process anew.
func (w *world) startLoader(i int) {
	l := w.loaders[i]
	l.keeper = NewGranter()
	l.life++
	l.pausedUntil = 0
	for _, r := range w.routers {
		r.gate.Disconnected(l.name)
	}
}

// breakOff ends the connection between a router and a loader.
func (w *world) breakOff(router, loader int) {
	w.routers[router].gate.Disconnected(w.loaders[loader].name)
	w.words = slices.DeleteFunc(w.words, func(x testWord) bool { return x.router == router && x.loader == loader })
}

// ask lets a request come.
func (w *world) ask(router int, account string, cost float64) Decision {
	r := w.routers[router]
	w.keys++
	d := r.gate.Admit(w.now, w.keys, account, cost)
	if d.Outcome == Queued {
		r.waiting[w.keys] = cost
	} else {
		w.decided(r, cost, d)
	}
	w.talk(router)
	return d
}

func (w *world) decided(r *testRouter, cost float64, d Decision) {
	r.last = d
	if d.Outcome == Admitted {
		r.admitted += cost
		w.uses = append(w.uses, testUse{at: w.now, cost: cost})
		return
	}
	r.refused += cost
	if r.soonest == 0 {
		r.soonest = d.RetryAfter
	}
	r.soonest, r.latest = min(r.soonest, d.RetryAfter), max(r.latest, d.RetryAfter)
}

// run lets time pass.
func (w *world) run(d time.Duration) {
	for end := w.now.Add(d); w.now < end; {
		w.now = w.now.Add(time.Millisecond)
		w.deliver()
		if time.Duration(w.now-start)%tickTime != 0 {
			continue
		}
		for i, r := range w.routers {
			if w.now < r.pausedUntil {
				continue
			}
			r.gate.SetLoaders(w.now, w.reached(i))
			r.gate.Tick(w.now)
			w.talk(i)
		}
	}
}

func (w *world) reached(router int) []core.HostID {
	var names []core.HostID
	for _, l := range w.loaders {
		if w.now >= l.cut[router] {
			names = append(names, l.name)
		}
	}
	return names
}

// talk sends what a router has to ask, and takes its verdicts.
func (w *world) talk(router int) {
	r := w.routers[router]
	for _, v := range r.gate.Verdicts() {
		w.decided(r, r.waiting[v.Key], v.Decision)
		delete(r.waiting, v.Key)
	}
	for _, ask := range r.gate.Asks(w.now) {
		loader := slices.IndexFunc(w.loaders, func(l *testLoader) bool { return l.name == ask.To })
		w.words = append(w.words, testWord{
			at: w.now.Add(wayTime), router: router, loader: loader, routerLife: r.life, loaderLife: w.loaders[loader].life, ask: &ask.Message,
		})
	}
}

// deliver carries messages out that are due. A cut holds them up, as a connection does that
// is not reset, and so does a process that stands still.
func (w *world) deliver() {
	due := w.words
	w.words = nil
	for _, x := range due {
		r, l := w.routers[x.router], w.loaders[x.loader]
		switch {
		case x.routerLife != r.life || x.loaderLife != l.life:
		case x.at > w.now || w.now < l.cut[x.router] || x.ask != nil && w.now < l.pausedUntil || x.told != nil && w.now < r.pausedUntil:
			w.words = append(w.words, x)
		case x.ask != nil:
			x.told = l.keeper.HandleAsk(w.now, r.name, *x.ask)
			x.at, x.ask = w.now.Add(wayTime), nil
			w.words = append(w.words, x)
		default:
			r.gate.HandleAnswer(w.now, l.name, *x.told)
			w.talk(x.router)
		}
	}
}

// inWindow is what ran within the last window.
func (w *world) inWindow() float64 {
	w.uses = slices.DeleteFunc(w.uses, func(u testUse) bool { return u.at <= w.now.Add(-w.bounds.Window) })
	sum := 0.0
	for _, u := range w.uses {
		sum += u.cost
	}
	return sum
}

// shares is what all processes hold of the bounds at once.
func (w *world) shares() float64 {
	sum := 0.0
	for _, r := range w.routers {
		if w.now >= r.pausedUntil {
			r.gate.place(w.now)
		}
		sum += r.gate.home.share
	}
	for _, l := range w.loaders {
		if w.now >= l.pausedUntil {
			sum += l.keeper.Share(w.now)
		}
	}
	return sum
}

func checkShares(t interface{ Errorf(string, ...any) }, w *world) {
	if sum := w.shares(); sum > 1+1e-6 {
		t.Errorf("%v: %.4f of the bounds is held", w.now.Sub(start), sum)
	}
}
