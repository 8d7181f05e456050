package router

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkCopyPlan measures one copy plan of 240 models with its snapshot. It must take below
// 2 ms for 78 engines and below 10 ms for 300.
func BenchmarkCopyPlan(b *testing.B) {
	for _, engines := range []int{78, 300} {
		b.Run(fmt.Sprintf("engines=%d", engines), func(b *testing.B) {
			w := newLargeFixture(b, engines)
			r := w.router
			r.SetCrowding(CrowdingOptions{FromPause: 400 * time.Millisecond, CopyPlan: true})
			s := r.services[engineService]
			s.store.expire(r.now, testBounds())
			planner := r.copyPlanner(s, r.engine(engineService))
			for b.Loop() {
				r.now = r.now.Add(planInterval)
				planner.prepare()
				for _, l := range r.loaders {
					l.lastMessageAt = r.now
				}
			}
		})
	}
}
