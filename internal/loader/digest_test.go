package loader

import (
	"testing"
	"time"

	"nutmeglane.example/nutmeglane/internal/core"
)

// largeFleet returns a fixture with this many connected routers, which have all received
// the holdings.
func largeFleet(t *testing.T, routers int) *fixture {
	w := newFixture(t, "m0")
	for i := range routers {
		w.step(RouterUp{Router: largeRouter(i)})
		w.demand(largeRouter(i), core.Demand{})
	}
	w.run(coordinatorMinAge + 2*HeartbeatInterval)
	return w
}

// countMessages counts the messages to each router within a duration.
func (w *fixture) countMessages(d time.Duration) map[core.HostID]int {
	w.t.Helper()
	w.messages = map[core.HostID]int{}
	w.run(d)
	return w.messages
}

// Guards against traffic that grows with the product of routers and engines: in a large
// fleet only the coordinator, routers with requests for this engine and routers that ask
// for them receive heartbeats.
func TestLargeFleetLimitsHeartbeats(t *testing.T) {
	const waits, asks = 150, 160
	w := largeFleet(t, 385)
	w.demand(largeRouter(waits), core.Demand{Wants: []core.Want{{Model: "m1", Waiting: 1, Within: time.Second}}})
	w.run(3 * time.Second) // m1 is loaded meanwhile
	w.demand(largeRouter(waits), core.Demand{Uses: []core.Use{{Model: "m1", Running: 1}}})
	w.demand(largeRouter(asks), core.Demand{Direct: true})
	w.run(2 * time.Second)
	messages := w.countMessages(5 * time.Second)
	for _, name := range []core.HostID{w.loader.coordinator(), largeRouter(waits), largeRouter(asks)} {
		if messages[name] < 4 {
			t.Errorf("%s received %d messages in 5 s", name, messages[name])
		}
	}
	if len(messages) != 3 {
		t.Errorf("%d routers received messages", len(messages))
	}
}

// Guards against delaying urgent changes in a large fleet: routers would send requests to
// an engine that has stopped taking them.
func TestLargeFleetIsNotifiedOfDrainingAtOnce(t *testing.T) {
	w := largeFleet(t, 385)
	w.engine.report.Draining = true
	messages := w.countMessages(idleReadInterval + busyReadInterval)
	if len(messages) < len(w.loader.names) {
		t.Errorf("%d of %d routers were notified that the engine drains", len(messages), len(w.loader.names))
	}
}

// Guards against a smaller fleet, in which no router sends digests, receiving no heartbeats.
func TestSmallFleetReceivesHeartbeats(t *testing.T) {
	w := largeFleet(t, 68)
	if messages := w.countMessages(3 * HeartbeatInterval); len(messages) < len(w.loader.names) {
		t.Errorf("%d of %d routers received messages", len(messages), len(w.loader.names))
	}
}

// Guards against a message to all routers for each router that connects or disconnects.
func TestSmallRouterCountChangeIsNotAnnounced(t *testing.T) {
	w := largeFleet(t, 100)
	w.messages = map[core.HostID]int{}
	for i := range 4 {
		w.step(RouterUp{Router: largeRouter(200 + i)})
	}
	w.step(RouterDown{Router: largeRouter(200)})
	if n := w.messages[largeRouter(50)]; n != 0 {
		t.Errorf("another router received %d messages", n)
	}
	w.run(3 * HeartbeatInterval)
	for i := range 20 {
		w.step(RouterUp{Router: largeRouter(300 + i)})
	}
	w.run(2 * HeartbeatInterval)
	if got := w.holdings[largeRouter(50)].Routers; got < 120 {
		t.Errorf("another router was sent a count of %d routers", got)
	}
}

// checkForwardedOnce checks that each router but the sender was forwarded exactly one
// message.
func (w *fixture) checkForwardedOnce(from core.HostID) {
	w.t.Helper()
	for _, name := range w.loader.names {
		want := 1
		if name == from {
			want = 0
		}
		if got := len(w.forwarded[name]); got != want {
			w.t.Errorf("%s received it %d times", name, got)
		}
	}
}

// Guards against a digest that some routers receive from no loader, or from several.
func TestDigestReachesEachRouterOnce(t *testing.T) {
	const parts = 4
	w := largeFleet(t, 385)
	from := w.loader.coordinator()
	clear(w.forwarded)
	for part := range parts {
		w.step(DigestReceived{Router: from, Digest: core.LoadDigest{From: from, Part: part, Parts: parts}})
	}
	w.checkForwardedOnce(from)
	w.step(DigestReceived{Router: from, Digest: core.LoadDigest{From: from}}) // no parts: malformed
}

// Guards against a coordinator on a small host, which can't process the messages of a
// large fleet.
func TestRouterWithMostProcessorIsCoordinator(t *testing.T) {
	w := newFixture(t)
	w.demand("10.0.0.1", core.Demand{Processor: 0.1})
	for name, processor := range map[core.HostID]float64{"10.0.0.7": 0.8, "10.0.0.8": 0.8, "10.0.0.2": 0.1} {
		w.step(RouterUp{Router: name})
		w.demand(name, core.Demand{Processor: processor})
	}
	w.run(coordinatorMinAge)
	if got := w.loader.coordinator(); got != "10.0.0.7" {
		t.Errorf("coordinator is %q", got)
	}
}

// Guards against each router of a large fleet reading a configuration from the store: the
// router that has read it sends it on, each router receives it once, and one that asks
// later gets it too.
func TestConfigurationIsForwardedToEachRouterOnce(t *testing.T) {
	const parts = 4
	w := largeFleet(t, 385)
	from := largeRouter(7)
	clear(w.forwarded)
	config := core.ConfigPassed{Version: 9, Data: []byte("declared")}
	for part := range parts {
		w.step(ConfigSpreadReceived{Router: from, Spread: core.ConfigSpread{Part: part, Parts: parts, Config: config}})
	}
	w.checkForwardedOnce(from)
	w.step(RouterUp{Router: "10.9.9.9"})
	w.step(ConfigRequested{Router: "10.9.9.9", Above: 8})
	if len(w.forwarded["10.9.9.9"]) != 1 {
		t.Error("a router that asks later does not receive it")
	}
}
