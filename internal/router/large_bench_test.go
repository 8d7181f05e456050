package router

import (
	"fmt"
	"testing"
	"time"

	"nutmeglane.example/nutmeglane/internal/core"
	"nutmeglane.example/nutmeglane/internal/fleet"
)

// The size of a large deployment: entry hosts there have a seventh of a core, and each
// receives a report of every engine four times a second.
const (
	largeRouters = 68
	largeModels  = 240
	// largeWaits is the number of models that requests wait for while rare ones are
	// requested again.
	largeWaits = 12
	// mostBusy is the number of models that are called, at most one per engine, so that
	// each is loaded somewhere. Calls of models that no engine has made twelve engines more
	// expensive than 49.
	mostBusy = 49
	// reportsPerSecond is how often one loader reports under load, callsPerSecond the
	// number of requests that one router gets.
	reportsPerSecond, callsPerSecond = 2, 8
)

// newLargeFixture returns a router that knows the given number of engines, each with three
// models loaded and eight on disk, with models that are waited for.
func newLargeFixture(b *testing.B, engines int) *fixture {
	w := newFixture(b)
	config := testConfig()
	config.Version = 2
	engine := config.Services[engineService].Engine
	for i := range largeModels {
		name := fmt.Sprintf("m%d", i)
		engine.Models[name] = fleet.Model{
			Name: name, MemoryMB: 26_000, AdapterMB: 20,
			StoreLoad: 13 * time.Second, DiskLoad: time.Second, HostLoad: 600 * time.Millisecond,
		}
	}
	w.step(ConfigRead{Config: config})
	w.servers(engineService, engines)
	for i := range engines {
		w.reportLarge(i, engines)
	}
	for i := range 200 {
		w.call("quick", prompt(fmt.Sprintf("m%d", i%min(mostBusy, engines))))
	}
	for i := range largeWaits {
		w.call("patient", prompt(fmt.Sprintf("m%d", largeModels-1-i)))
	}
	return w
}

func (w *fixture) reportLarge(i, engines int) {
	busy := min(mostBusy, engines)
	var onDisk []string
	for j := range 8 {
		onDisk = append(onDisk, fmt.Sprintf("m%d", (i*3+j)%(largeModels-largeWaits)))
	}
	if l := w.router.loaders[loaderName(i)]; l == nil || !l.up {
		w.step(LoaderUp{Loader: loaderName(i)})
	}
	w.step(LoaderReported{Loader: loaderName(i), Holdings: core.Holdings{
		Routers: largeRouters, Coordinator: "10.0.0.0", Running: 6, FreeMB: 1000,
		Models: loadedModels(fmt.Sprintf("m%d", i%busy), fmt.Sprintf("m%d", (i+1)%busy), fmt.Sprintf("m%d", (i+2)%busy)),
		OnDisk: onDisk, InMemory: onDisk[:4],
	}})
}

// BenchmarkLargeSecond measures one second of a router beside the given number of engines:
// the reports of their loaders, its callers' requests and its ticks, without sockets.
func BenchmarkLargeSecond(b *testing.B) {
	for _, engines := range []int{12, 78, 300, 600, 1200} {
		b.Run(fmt.Sprintf("engines=%d", engines), func(b *testing.B) { benchSecond(b, engines) })
	}
}

func benchSecond(b *testing.B, engines int) {
	w := newLargeFixture(b, engines)
	b.ResetTimer()
	for range b.N {
		steps := reportsPerSecond * engines
		for i := range steps {
			w.now = w.now.Add(time.Second / time.Duration(steps))
			w.reportLarge(i%engines, engines)
			if i%(steps/callsPerSecond) == 0 {
				key := w.call("quick", prompt(fmt.Sprintf("m%d", i%min(mostBusy, engines))))
				w.step(FirstEvent{Key: key, Attempt: 1})
				w.step(Done{Key: key, Attempt: 1, End: AnswerEnd{Events: 10}, Pause: 20 * time.Millisecond})
			}
		}
	}
}

// A router of a large fleet receives the state of steady engines by digests: the counts of
// a tenth of them, four times a second. A tenth change their holdings within a second.
const (
	changesShare         = 10
	digestedBenchRouters = 385
)

// BenchmarkDigestedSecond measures one second of a router of a large fleet, without
// sockets.
func BenchmarkDigestedSecond(b *testing.B) {
	for _, engines := range []int{300, 600, 1200} {
		b.Run(fmt.Sprintf("engines=%d", engines), func(b *testing.B) { benchDigestedSecond(b, engines) })
	}
}

func benchDigestedSecond(b *testing.B, engines int) {
	w := newLargeFixture(b, engines)
	digest := core.LoadDigest{From: "10.0.0.0", Parts: 4}
	for i := range engines {
		l := w.router.loaders[loaderName(i)]
		l.holdings.Digested, l.holdings.Routers = true, digestedBenchRouters
		if i%changesShare == 0 {
			digest.Engines = append(digest.Engines, core.EngineCounts{Loader: l.name, Counts: core.Counts{Running: 6}})
		}
	}
	b.ResetTimer()
	for range b.N {
		for i := range int(time.Second / tickInterval) {
			w.now = w.now.Add(tickInterval)
			if i%5 == 0 {
				w.step(DigestReceived{Digest: digest})
			}
			for j := range engines / changesShare / 20 {
				w.step(LoaderReported{Loader: loaderName(i * j % engines), Holdings: *w.router.loaders[loaderName(i*j%engines)].holdings})
			}
			if i%10 == 0 {
				key := w.call("quick", prompt(fmt.Sprintf("m%d", i%mostBusy)))
				w.step(FirstEvent{Key: key, Attempt: 1})
				w.step(Done{Key: key, Attempt: 1, End: AnswerEnd{Events: 10}, Pause: 20 * time.Millisecond})
			}
			w.step(Tick{})
		}
	}
}
