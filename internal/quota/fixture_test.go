package quota

import (
	"fmt"
	"slices"
	"time"

	"nutmeglane.example/nutmeglane/internal/core"
)

const (
	start = core.Time(time.Hour)
	// messageDelay is the transit time of a message, tickInterval the time between two
	// ticks of a router.
	messageDelay, tickInterval = 2 * time.Millisecond, 50 * time.Millisecond
)

func testBounds() Bounds { return Bounds{Window: 8 * time.Second, Over: 0.1, Slack: 72000} }

var testLimit = map[string]Limit{"a": {Rate: 18000, Burst: 18000}}

// fixture simulates routers and loaders in virtual time, with faults.
type fixture struct {
	now     core.Time
	bounds  Bounds
	limits  map[string]Limit
	routers []*testRouter
	loaders []*testLoader
	// messages are in transit, in order for each connection.
	messages []testMessage
	// uses are the admitted requests in order of time.
	uses []testUse
	keys uint64
}

type testRouter struct {
	name        core.HostID
	gate        *Gate
	life        int
	pausedUntil core.Time
	// waiting are the costs of the waiting requests.
	waiting map[uint64]float64
	// admitted and refused are total costs over all accounts.
	admitted, refused float64
	// last is the last decision; soonest and latest are the smallest and the largest retry
	// delay.
	last            Decision
	soonest, latest time.Duration
}

type testLoader struct {
	name        core.HostID
	granter     *Granter
	life        int
	pausedUntil core.Time
	// cut are the routers that are partitioned from the loader, until a time.
	cut map[int]core.Time
}

// testMessage is a message between a router and a loader. It is lost if either restarts.
type testMessage struct {
	at                     core.Time
	router, loader         int
	routerLife, loaderLife int
	ask                    *core.QuotaRequest
	answer                 *core.QuotaReply
}

type testUse struct {
	at   core.Time
	cost float64
}

func newFixture(bounds Bounds, limits map[string]Limit, routers, loaders int) *fixture {
	w := &fixture{now: start, bounds: bounds, limits: limits}
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

// startRouter restarts a router's process. Its waiting requests are lost.
func (w *fixture) startRouter(i int) {
	r := w.routers[i]
	r.gate, r.waiting = NewGate(w.bounds), map[uint64]float64{}
	r.life++
	r.pausedUntil = 0
	r.gate.SetLimits(w.now, 1, w.limits)
}

// startLoader restarts a loader's process.
func (w *fixture) startLoader(i int) {
	l := w.loaders[i]
	l.granter = NewGranter()
	l.life++
	l.pausedUntil = 0
	for _, r := range w.routers {
		r.gate.Disconnected(l.name)
	}
}

// disconnect ends the connection between a router and a loader.
func (w *fixture) disconnect(router, loader int) {
	w.routers[router].gate.Disconnected(w.loaders[loader].name)
	w.messages = slices.DeleteFunc(w.messages, func(x testMessage) bool { return x.router == router && x.loader == loader })
}

// request sends a caller's request to a router.
func (w *fixture) request(router int, account string, cost float64) Decision {
	r := w.routers[router]
	w.keys++
	d := r.gate.Admit(w.now, w.keys, account, cost)
	if d.Outcome == Queued {
		r.waiting[w.keys] = cost
	} else {
		w.record(r, cost, d)
	}
	w.exchange(router)
	return d
}

func (w *fixture) record(r *testRouter, cost float64, d Decision) {
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

// run advances the time.
func (w *fixture) run(d time.Duration) {
	for end := w.now.Add(d); w.now < end; {
		w.now = w.now.Add(time.Millisecond)
		w.deliver()
		if time.Duration(w.now-start)%tickInterval != 0 {
			continue
		}
		for i, r := range w.routers {
			if w.now < r.pausedUntil {
				continue
			}
			r.gate.SetLoaders(w.now, w.reachable(i))
			r.gate.Tick(w.now)
			w.exchange(i)
		}
	}
}

func (w *fixture) reachable(router int) []core.HostID {
	var names []core.HostID
	for _, l := range w.loaders {
		if w.now >= l.cut[router] {
			names = append(names, l.name)
		}
	}
	return names
}

// exchange sends a router's due messages and records its verdicts.
func (w *fixture) exchange(router int) {
	r := w.routers[router]
	for _, v := range r.gate.Verdicts() {
		w.record(r, r.waiting[v.Key], v.Decision)
		delete(r.waiting, v.Key)
	}
	for _, ask := range r.gate.Requests(w.now) {
		loader := slices.IndexFunc(w.loaders, func(l *testLoader) bool { return l.name == ask.To })
		w.messages = append(w.messages, testMessage{
			at: w.now.Add(messageDelay), router: router, loader: loader, routerLife: r.life, loaderLife: w.loaders[loader].life, ask: &ask.Message,
		})
	}
}

// deliver delivers messages that are due. A partition delays them, like a connection that
// is not reset, and so does a suspended process.
func (w *fixture) deliver() {
	due := w.messages
	w.messages = nil
	for _, x := range due {
		r, l := w.routers[x.router], w.loaders[x.loader]
		switch {
		case x.routerLife != r.life || x.loaderLife != l.life:
		case x.at > w.now || w.now < l.cut[x.router] || x.ask != nil && w.now < l.pausedUntil || x.answer != nil && w.now < r.pausedUntil:
			w.messages = append(w.messages, x)
		case x.ask != nil:
			x.answer = l.granter.HandleRequest(w.now, r.name, *x.ask)
			x.at, x.ask = w.now.Add(messageDelay), nil
			w.messages = append(w.messages, x)
		default:
			r.gate.HandleAnswer(w.now, l.name, *x.answer)
			w.exchange(x.router)
		}
	}
}

// inWindow is the cost of what was admitted within the last window.
func (w *fixture) inWindow() float64 {
	w.uses = slices.DeleteFunc(w.uses, func(u testUse) bool { return u.at <= w.now.Add(-w.bounds.Window) })
	sum := 0.0
	for _, u := range w.uses {
		sum += u.cost
	}
	return sum
}

// shares is the sum of the parts of the bounds that all processes hold.
func (w *fixture) shares() float64 {
	sum := 0.0
	for _, r := range w.routers {
		if w.now >= r.pausedUntil {
			r.gate.placeSlots(w.now)
		}
		sum += r.gate.home.share
	}
	for _, l := range w.loaders {
		if w.now >= l.pausedUntil {
			sum += l.granter.Share(w.now)
		}
	}
	return sum
}

func checkShares(t interface{ Errorf(string, ...any) }, w *fixture) {
	if sum := w.shares(); sum > 1+1e-6 {
		t.Errorf("%v: %.4f of the bounds is held", w.now.Sub(start), sum)
	}
}
