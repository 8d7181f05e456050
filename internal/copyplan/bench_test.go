package copyplan

import (
	"math/rand/v2"
	"testing"
)

// BenchmarkPlan measures the computation of one plan. It must take below 2 ms for 240 models
// and 78 engines, and below 10 ms for 300 engines.
func BenchmarkPlan(b *testing.B) {
	for name, d := range map[string]deployment{"models=240,engines=78": bench, "models=299,engines=300": large} {
		b.Run(name, func(b *testing.B) {
			s := d.random(rand.New(rand.NewPCG(1, 1)))
			var p Planner
			for b.Loop() {
				s.Now = s.Now.Add(interval)
				p.Plan(*s)
			}
		})
	}
}
