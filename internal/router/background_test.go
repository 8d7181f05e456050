package router

import (
	"testing"

	"nutmeglane.example/nutmeglane/internal/core"
)

// Guards against reading a model from the weight store twice: while a fleet starts, two
// routers coordinate for some ms and plan to read the same model at different engines. Once
// one engine reads it, the plan for the other must end: the store reads two models at full
// speed, and others wait for their turn.
func TestModelIsReadFromTheStoreOnce(t *testing.T) {
	for name, state := range map[string]core.HoldState{
		"reading": core.HoldStoreLoading, "loading": core.HoldLoading, "loaded": core.HoldLoaded,
	} {
		t.Run(name, func(t *testing.T) {
			w := newFixture(t)
			w.servers(engineService, 2)
			w.reportHoldings(0, core.Holdings{Instance: "s0", Models: loadedModels("m1")})
			w.reportHoldings(1, core.Holdings{Instance: "s1", Models: loadedModels("m2")})
			s := w.router.service(engineService)
			s.store.expire(w.now, testBounds())
			w.router.startBackground(s, w.router.backends["s1"], testConfig().Services[engineService].Engine.Models["m5"], true)
			w.step(Tick{})
			if !wantsModel(w.demands[loaderName(1)], "m5") {
				t.Fatalf("the planned model is not asked for: %+v", w.demands[loaderName(1)])
			}
			holdings := core.Holdings{Instance: "s0", Models: append(loadedModels("m1"), core.HeldModel{Name: "m5", State: state})}
			w.reportHoldings(0, holdings)
			w.run(demandInterval + tickInterval)
			if wantsModel(w.demands[loaderName(1)], "m5") {
				t.Error("the model is asked for at a second engine")
			}
		})
	}
}

func wantsModel(demand core.Demand, model string) bool {
	for _, want := range demand.Wants {
		if want.Model == model {
			return true
		}
	}
	return false
}
