package router

import (
	"fmt"
	"testing"
	"time"

	"nutmeglane.example/nutmeglane/internal/core"
	"nutmeglane.example/nutmeglane/internal/fleet"
)

const (
	// coldPerSecond is the rate that the cold server of these tests tolerates. toleratedOver and
	// toleratedMore are what it bears beyond that within a second.
	coldPerSecond = 14.0
	toleratedOver = 1.5
	toleratedMore = 5
)

// restartedCutOff returns a router that has just started, that reaches no loader, and whose only
// server of the plain service is cold.
func restartedCutOff(t *testing.T, i int) *fixture {
	bounds := testBounds()
	bounds.RetryRouters = 0
	w := newFixtureOf(t, Options{Host: core.HostID(fmt.Sprintf("10.0.0.%d", i)), Zone: "a", LoaderPort: 7000, Bounds: bounds, Seed: uint64(i)})
	config := testConfig()
	config.Services[plainService].ColdPerSecond = coldPerSecond
	w.step(ConfigRead{Config: config})
	cold := w.server(plainService, 5)
	cold.SlowFor = 5 * time.Second
	backends := map[string]fleet.Backend{cold.Instance: cold}
	for j := range 3 {
		b := w.server(engineService, j)
		backends[b.Instance] = b
	}
	w.step(BackendsRead{Backends: backends})
	return w
}

// Guards against routers that have just started, reach no loader, and each send to a cold server
// as much as it tolerates from all: the server would crash again.
func TestRestartedRoutersShareALimitWithoutLoaders(t *testing.T) {
	sent := 0
	for i := range 26 {
		w := restartedCutOff(t, i)
		for range 100 {
			w.now = w.now.Add(10 * time.Millisecond)
			key := w.call("once", nil)
			sent += len(w.sends[key])
		}
	}
	if most := int(toleratedOver*coldPerSecond) + toleratedMore; sent > most {
		t.Errorf("%d requests within a second, tolerated are %d", sent, most)
	}
}

// Guards against shares of a server's connections that grow at once when a loader restarts, which
// counts only the routers that have connected to it so far.
func TestConnectionShareOutlivesARestartOfLoaders(t *testing.T) {
	w := newFixture(t)
	w.servers(engineService, 2)
	report := func(routers int) {
		for i := range 2 {
			w.step(LoaderUp{Loader: loaderName(i)})
			w.step(LoaderReported{Loader: loaderName(i), Holdings: core.Holdings{Routers: routers}})
		}
	}
	report(20)
	w.run(time.Second)
	before := w.router.connShare(engineService)
	report(1)
	w.run(time.Second)
	if after := w.router.connShare(engineService); before != 300/21 || after != before {
		t.Errorf("share of %d connections, then %d", before, after)
	}
}

// Guards against parts of the retry budget that grow for routers that a loader counted before it
// was cut off, and that may still serve on its side of the cut.
func TestRoutersCountedByALostLoaderCount(t *testing.T) {
	w := newFixture(t)
	w.servers(engineService, 3)
	report := func(loader, routers int) {
		w.step(LoaderReported{Loader: loaderName(loader), Holdings: core.Holdings{Routers: routers}})
	}
	for i := range 3 {
		w.step(LoaderUp{Loader: loaderName(i)})
		report(i, 20)
	}
	w.step(LoaderDown{Loader: loaderName(2)})
	for range 60 {
		report(0, 4)
		report(1, 4)
		w.run(time.Second)
	}
	if part, want := w.router.retrySlack(), testBounds().RetrySlack/21; part != want {
		t.Errorf("a part of %v, want %v", part, want)
	}
}
