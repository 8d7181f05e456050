package router

import (
	"fmt"
	"testing"
	"time"

	"nutmeglane.example/nutmeglane/internal/core"
	"nutmeglane.example/nutmeglane/internal/fleet"
)

// The size of the larger deployments: entry hosts there have a seventh of a
// core, and each hears of every engine four times a second.
const (
	largeEngines = 49
	largeRouters = 27
	largeModels  = 150
	// largeWaits are models that requests wait for while rare ones wake up.
	largeWaits = 12
	// saidPerSecond is how often one loader speaks under load, callsPerSecond
	// the requests that one router gets.
	saidPerSecond, callsPerSecond = 4, 30
)

// largeWorld is a router that knows all engines, each with three models loaded
// and eight on disk, with models that are waited for.
func largeWorld(b *testing.B) *world {
	w := newWorld(b)
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
	w.servers(engineService, largeEngines)
	for i := range largeEngines {
		w.saysLarge(i)
	}
	for i := range 200 {
		w.call("quick", prompt(fmt.Sprintf("m%d", i%largeEngines)))
	}
	for i := range largeWaits {
		w.call("patient", prompt(fmt.Sprintf("m%d", largeModels-1-i)))
	}
	return w
}

func (w *world) saysLarge(i int) {
	var onDisk []string
	for j := range 8 {
		onDisk = append(onDisk, fmt.Sprintf("m%d", (i*3+j)%(largeModels-largeWaits)))
	}
	if l := w.router.loaders[loaderName(i)]; l == nil || !l.up {
		w.step(LoaderUp{Loader: loaderName(i)})
	}
	w.step(LoaderSaid{Loader: loaderName(i), Holdings: core.Holdings{
		Routers: largeRouters, Coordinator: "10.0.0.0", Running: 6, FreeMB: 1000,
		Models: loadedModels(fmt.Sprintf("m%d", i), fmt.Sprintf("m%d", (i+1)%largeEngines), fmt.Sprintf("m%d", (i+2)%largeEngines)),
		OnDisk: onDisk, InMemory: onDisk[:4],
	}})
}

// BenchmarkLargeSecond is one second of a router in a large deployment: what its
// loaders say, its callers' requests and its ticks, without sockets.
func BenchmarkLargeSecond(b *testing.B) {
	w := largeWorld(b)
	b.ResetTimer()
	for range b.N {
		steps := saidPerSecond * largeEngines
		for i := range steps {
			w.now = w.now.Add(time.Second / time.Duration(steps))
			w.saysLarge(i % largeEngines)
			if i%(steps/callsPerSecond) == 0 {
				key := w.call("quick", prompt(fmt.Sprintf("m%d", i%largeEngines)))
				w.step(FirstEvent{Key: key, Attempt: 1})
				w.step(Done{Key: key, Attempt: 1, Events: 10, Pause: 20 * time.Millisecond})
			}
		}
	}
}
