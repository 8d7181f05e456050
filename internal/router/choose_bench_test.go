package router

import (
	"fmt"
	"testing"

	"nutmeglane.example/nutmeglane/internal/core"
	"nutmeglane.example/nutmeglane/internal/fleet"
	"nutmeglane.example/nutmeglane/internal/work"
)

// BenchmarkChoose measures one decision on where a generation is sent, among the given
// number of engines that have its model, beside 26 other routers.
func BenchmarkChoose(b *testing.B) {
	for _, engines := range []int{12, 50, 78, 300} {
		b.Run(fmt.Sprintf("engines=%d", engines), func(b *testing.B) {
			w := newFixture(b)
			w.servers(engineService, engines)
			for i := range engines {
				w.step(LoaderUp{Loader: loaderName(i)})
				w.step(LoaderReported{Loader: loaderName(i), Holdings: core.Holdings{
					Models: loadedModels("m1"), Running: 6, Unread: 2, Routers: largeRouters, Coordinator: "10.0.0.9",
				}})
			}
			for i := range 100 {
				w.call("patient", longPrompt("m1", i))
			}
			long := longPrompt("m1", 7)
			req := &request{id: "r", prompt: long, prefix: work.NewPrefix(long), service: engineService}
			candidates := w.router.serversOf(engineService)
			b.ResetTimer()
			for range b.N {
				w.router.choose(req, candidates)
			}
		})
	}
}

// BenchmarkHolders measures the search for the engines that may get a generation and have its
// model, with the choice among them: of a new stream with one release, of one with three, and of
// one that is bound to one of three.
func BenchmarkHolders(b *testing.B) {
	releases := []fleet.Release{v1, v2, {Name: "v3", Known: true}}
	for _, c := range []struct {
		name     string
		releases int
		bound    bool
	}{{"one", 1, false}, {"three", 3, false}, {"bound", 3, true}} {
		for _, engines := range []int{12, 300} {
			b.Run(fmt.Sprintf("releases=%s/engines=%d", c.name, engines), func(b *testing.B) {
				w := newFixture(b)
				list := map[string]fleet.Backend{}
				for i := range engines {
					server := w.server(engineService, i)
					server.Release = releases[i%c.releases]
					list[server.Instance] = server
				}
				w.step(BackendsRead{Backends: list})
				for i := range engines {
					w.reportHoldings(i, core.Holdings{Models: loadedModels("m1"), Running: 6})
				}
				long := longPrompt("m1", 7)
				req := &request{id: "r", prompt: long, prefix: work.NewPrefix(long), service: engineService, bound: c.bound, release: v1}
				b.ReportAllocs()
				b.ResetTimer()
				for range b.N {
					holders, _ := w.router.holdersFor(req)
					w.router.choose(req, holders)
				}
			})
		}
	}
}
