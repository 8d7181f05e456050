package loader

import (
	"fmt"
	"testing"
	"time"

	"nutmeglane.example/nutmeglane/internal/core"
)

// The larger deployments: each router sends a loader its demand about every three
// seconds, and the loader has a third of a core that the engine's callers need as well.
const (
	demandsPerSecond  = 0.3
	largeUses         = 6
	largeWaitingModel = "m7"
)

func largeRouter(i int) core.HostID { return core.HostID(fmt.Sprintf("10.0.%d.%d", i/100, i%100+1)) }

// BenchmarkLargeSecond runs one second of a loader with this many routers: their demands,
// the engine's reports and the messages to the routers, without sockets.
func BenchmarkLargeSecond(b *testing.B) {
	for _, routers := range []int{9, 68, 260, 385, 770} {
		b.Run(fmt.Sprintf("routers=%d", routers), func(b *testing.B) { benchSecond(b, routers) })
	}
}

func benchSecond(b *testing.B, routers int) {
	w := newFixture(b, "m0", "m1")
	for i := range routers {
		w.step(RouterUp{Router: largeRouter(i)})
		w.demand(largeRouter(i), core.Demand{})
	}
	uses := []core.Use{}
	for i := range largeUses {
		uses = append(uses, core.Use{Model: fmt.Sprintf("m%d", i%2), Adapter: []string{"", "a1", "a2"}[i/2], Running: 1, Rate: 0.5, Copies: 2})
	}
	b.ResetTimer()
	for range b.N {
		steps := int(float64(routers) * demandsPerSecond)
		for i := range steps {
			w.now = w.now.Add(time.Second / time.Duration(steps))
			w.engine.report.Running = i % 5
			demand := core.Demand{Instance: "i-1", Uses: uses}
			if i%9 == 0 {
				demand.Wants = []core.Want{{Model: largeWaitingModel, Waiting: 1, Within: time.Second}}
			}
			w.step(DemandReceived{Router: largeRouter(i % routers), Demand: demand})
		}
	}
}
