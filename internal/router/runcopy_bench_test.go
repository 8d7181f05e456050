package router

import (
	"fmt"
	"testing"

	"nutmeglane.example/nutmeglane/internal/core"
	"nutmeglane.example/nutmeglane/internal/fleet"
)

// BenchmarkCopyFor measures the choice of the engine for a copy, among the given number of engines
// that have the model.
func BenchmarkCopyFor(b *testing.B) {
	for _, engines := range []int{12, 78, 300} {
		b.Run(fmt.Sprintf("engines=%d", engines), func(b *testing.B) {
			releases := make([]fleet.Release, engines)
			for i := range releases {
				releases[i] = v1
			}
			w := newCopiesFixture(b, releases...)
			for i := range engines {
				w.reportEngine(i, core.Holdings{Models: loadedModels("m0"), Running: 6})
			}
			req := &request{id: "r", prompt: prompt("m0"), service: engineService, route: &w.router.config.Routes[0]}
			b.ResetTimer()
			for range b.N {
				w.router.copyFor(req, w.router.backends["s0"])
			}
		})
	}
}
