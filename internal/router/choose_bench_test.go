package router

import (
	"fmt"
	"testing"

	"nutmeglane.example/nutmeglane/internal/core"
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
