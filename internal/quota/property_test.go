package quota

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"nutmeglane.example/nutmeglane/internal/core"
)

// Guards against exceeding the bound when processes end, are suspended, are partitioned and
// restart in any order: it must hold at each moment, and no part of it may have two
// holders.
func TestBoundHoldsAtEachMoment(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		bounds := Bounds{Window: 8 * time.Second, Over: 0.1, Slack: 1500, Routers: 3}
		limits := map[string]Limit{"a": {Rate: 300, Burst: 300}}
		w := newFixture(bounds, limits, 3, rapid.IntRange(2, 4).Draw(t, "loaders"))
		h := history{T: t, fixture: w, maxUse: bounds.MaxUse(limits["a"])}
		h.pass(4 * time.Second)
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			h.fault()
			h.pass(time.Duration(rapid.SampledFrom([]int{20, 100, 300, 700, 1500, 3000}).Draw(t, "ms")) * time.Millisecond)
		}
	})
}

// history is a random sequence of faults in a fixture.
type history struct {
	*rapid.T
	*fixture
	maxUse float64
}

// pass advances the time while callers request several times the bound, and checks the
// bound at each step.
func (h *history) pass(d time.Duration) {
	const pause = 10 * time.Millisecond
	for range d / pause {
		for i, r := range h.routers {
			if h.now >= r.pausedUntil {
				h.request(i, "a", []float64{60, 100}[i%2])
			}
		}
		h.run(pause)
		checkShares(h, h.fixture)
		if sum := h.inWindow(); sum > h.maxUse {
			h.Fatalf("%v: %.0f ran within a window, allowed are %.0f", h.now.Sub(start), sum, h.maxUse)
		}
	}
}

// fault applies a random fault to random routers and loaders.
func (h *history) fault() {
	what := rapid.SampledFrom([]string{"kill", "pause", "cut", "break off", "none"}).Draw(h.T, "what")
	routers := rapid.SliceOfDistinct(rapid.IntRange(0, len(h.routers)-1), rapid.ID).Draw(h.T, "routers")
	loaders := rapid.SliceOfDistinct(rapid.IntRange(0, len(h.loaders)-1), rapid.ID).Draw(h.T, "loaders")
	until := h.now.Add(time.Duration(rapid.SampledFrom([]int{150, 500, 1300, 2500, 9000}).Draw(h.T, "lasts")) * time.Millisecond)
	switch what {
	case "kill":
		for _, i := range routers {
			h.startRouter(i)
		}
		for _, i := range loaders {
			h.startLoader(i)
		}
	case "pause":
		for _, i := range routers {
			h.routers[i].pausedUntil = until
		}
		for _, i := range loaders {
			h.loaders[i].pausedUntil = until
		}
	case "cut", "break off":
		for _, i := range loaders {
			for _, j := range routers {
				h.breakPath(what, j, i, until)
			}
		}
	}
}

func (h *history) breakPath(what string, router, loader int, until core.Time) {
	if what == "cut" {
		h.loaders[loader].cut[router] = until
		return
	}
	h.disconnect(router, loader)
}
