package loader

import (
	"testing"
	"time"

	"nutmeglane.example/nutmeglane/internal/core"
)

// largeFleet is a loader beside so many routers, all of which it has told what it holds.
func largeFleet(t *testing.T, routers int) *world {
	w := newWorld(t, "m0")
	for i := range routers {
		w.step(RouterUp{Router: largeRouter(i)})
		w.demand(largeRouter(i), core.Demand{})
	}
	w.run(knownFor + 2*HeartbeatInterval)
	return w
}

// hear counts the words that each router gets within a time.
func (w *world) hear(d time.Duration) map[core.HostID]int {
	w.t.Helper()
	w.words = map[core.HostID]int{}
	w.run(d)
	return w.words
}

// Guards against words that grow with the product of routers and engines: of a large fleet
// only the coordinator, and who waits for something here, hear that nothing changes.
func TestLargeFleetIsNotToldThatNothingChanges(t *testing.T) {
	const waits, asks = 150, 160
	w := largeFleet(t, 385)
	w.demand(largeRouter(waits), core.Demand{Wants: []core.Want{{Model: "m1", Waiting: 1, Within: time.Second}}})
	w.run(3 * time.Second) // m1 is loaded meanwhile
	w.demand(largeRouter(waits), core.Demand{Uses: []core.Use{{Model: "m1", Running: 1}}})
	w.demand(largeRouter(asks), core.Demand{Direct: true})
	w.run(2 * time.Second)
	words := w.hear(5 * time.Second)
	for _, name := range []core.HostID{w.loader.coordinator(), largeRouter(waits), largeRouter(asks)} {
		if words[name] < 4 {
			t.Errorf("%s heard %d words in 5 s", name, words[name])
		}
	}
	if len(words) != 3 {
		t.Errorf("%d routers heard words", len(words))
	}
}

// Guards against the opposite: a request is sent to an engine that takes it no more, for
// words to a large fleet are few.
func TestLargeFleetHearsAtOnceWhatIsNoLongerTaken(t *testing.T) {
	w := largeFleet(t, 385)
	w.engine.report.Draining = true
	words := w.hear(idleRead + busyRead)
	if len(words) < len(w.loader.names) {
		t.Errorf("%d of %d routers heard that the engine drains", len(words), len(w.loader.names))
	}
}

// Guards against a smaller fleet's words that stay away although nobody makes digests.
func TestSmallFleetHearsHeartbeats(t *testing.T) {
	w := largeFleet(t, 68)
	if words := w.hear(3 * HeartbeatInterval); len(words) < len(w.loader.names) {
		t.Errorf("%d of %d routers heard words", len(words), len(w.loader.names))
	}
}

// Guards against a word to each router for each other one that comes or goes.
func TestFewRoutersMoreAreNoNews(t *testing.T) {
	w := largeFleet(t, 100)
	w.words = map[core.HostID]int{}
	for i := range 4 {
		w.step(RouterUp{Router: largeRouter(200 + i)})
	}
	w.step(RouterDown{Router: largeRouter(200)})
	if n := w.words[largeRouter(50)]; n != 0 {
		t.Errorf("another router heard %d words", n)
	}
	w.run(3 * HeartbeatInterval)
	for i := range 20 {
		w.step(RouterUp{Router: largeRouter(300 + i)})
	}
	w.run(2 * HeartbeatInterval)
	if got := w.told[largeRouter(50)].Routers; got < 120 {
		t.Errorf("another router knows of %d routers", got)
	}
}

// wantPassedOnce checks that each router but the sender was passed one message.
func (w *world) wantPassedOnce(from core.HostID) {
	w.t.Helper()
	for _, name := range w.loader.names {
		want := 1
		if name == from {
			want = 0
		}
		if got := len(w.passed[name]); got != want {
			w.t.Errorf("%s got it %d times", name, got)
		}
	}
}

// Guards against a digest that some routers get from no loader, or from several.
func TestDigestReachesEachRouterOnce(t *testing.T) {
	const parts = 4
	w := largeFleet(t, 385)
	from := w.loader.coordinator()
	clear(w.passed)
	for part := range parts {
		w.step(DigestReceived{Router: from, Digest: core.LoadDigest{From: from, Part: part, Parts: parts}})
	}
	w.wantPassedOnce(from)
	w.step(DigestReceived{Router: from, Digest: core.LoadDigest{From: from}}) // no parts: malformed
}

// Guards against a coordinator on a small host, which can't hear a large fleet.
func TestStrongestRouterIsFollowed(t *testing.T) {
	w := newWorld(t)
	w.demand("10.0.0.1", core.Demand{Processor: 0.1})
	for name, processor := range map[core.HostID]float64{"10.0.0.7": 0.8, "10.0.0.8": 0.8, "10.0.0.2": 0.1} {
		w.step(RouterUp{Router: name})
		w.demand(name, core.Demand{Processor: processor})
	}
	w.run(knownFor)
	if got := w.loader.coordinator(); got != "10.0.0.7" {
		t.Errorf("follows %q", got)
	}
}

// Guards against a configuration that each router of a large fleet reads from the store: who
// has read it passes it on, each router gets it once, and who asks later gets it too.
func TestConfigurationIsPassedToEachRouterOnce(t *testing.T) {
	const parts = 4
	w := largeFleet(t, 385)
	from := largeRouter(7)
	clear(w.passed)
	config := core.ConfigPassed{Version: 9, Data: []byte("declared")}
	for part := range parts {
		w.step(ConfigSpreadReceived{Router: from, Spread: core.ConfigSpread{Part: part, Parts: parts, Config: config}})
	}
	w.wantPassedOnce(from)
	w.step(RouterUp{Router: "10.9.9.9"})
	w.step(ConfigRequested{Router: "10.9.9.9", Above: 8})
	if len(w.passed["10.9.9.9"]) != 1 {
		t.Error("a router that asks later does not get it")
	}
}
