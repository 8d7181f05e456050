package loader

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"nutmeglane.example/nutmeglane/internal/core"
)

// Guards against sums of uses that drift from what the routers reported as routers
// connect, send demands and disconnect: an unused model would stay, or a used one would
// be evicted.
func TestUseSumsMatchRouterReports(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	w := newFixture(t, "m0", "m1")
	for range 3000 {
		w.now = w.now.Add(time.Duration(random.IntN(400)) * time.Millisecond)
		name := largeRouter(random.IntN(6))
		switch known := w.loader.routers[name] != nil; {
		case !known:
			w.step(RouterUp{Router: name})
		case random.IntN(8) == 0:
			w.step(RouterDown{Router: name})
		default:
			w.step(DemandReceived{Router: name, Demand: core.Demand{Instance: "i-1", Uses: randomUses(random)}})
		}
		w.loader.merged.invalidate()
		checkUses(t, w.loader)
	}
}

func randomUses(random *rand.Rand) []core.Use {
	var uses []core.Use
	for i := range 3 {
		if random.IntN(2) == 0 {
			uses = append(uses, core.Use{
				Model: fmt.Sprintf("m%d", i), Running: random.IntN(3), Rate: random.Float64(), FastRate: random.Float64(),
				Copies: 1 + random.IntN(4), Spare: random.IntN(2) == 0,
			})
		}
	}
	return uses
}

func checkUses(t *testing.T, l *Loader) {
	t.Helper()
	const rounding = 1e-9
	got := l.uses()
	for i := range 3 {
		key := modelKey{model: fmt.Sprintf("m%d", i)}
		var want mergedUse
		for name, r := range l.routers {
			age := l.now.Sub(r.demandAt)
			for _, u := range r.demand.Uses {
				if u.Model != key.model {
					continue
				}
				want.running += u.Running
				want.slow += core.Decayed(u.Rate, core.RateMemory, age)
				want.fast += core.Decayed(u.FastRate, core.FastRateMemory, age)
				if name == l.coordinator() {
					want.copies, want.spare = u.Copies, u.Spare
				}
			}
		}
		g := got[key]
		if g.running != want.running || math.Abs(g.slow-want.slow) > rounding || math.Abs(g.fast-want.fast) > rounding ||
			g.copies != want.copies || g.spare != want.spare {
			t.Fatalf("%s: %+v, want %+v", key.model, g, want)
		}
	}
}
