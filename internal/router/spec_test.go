package router

import (
	"testing"

	"nutmeglane.example/nutmeglane/internal/core"
)

// The configuration changes several times a day, mostly in routes and accounts. Loaders
// must be notified only when their engine's part changes, and only with its ID; the
// content, 11 KB for 184 models, is sent only to a loader that asks.
func TestLoadersReceiveTheConfigurationID(t *testing.T) {
	w := newFixture(t)
	w.servers(engineService, 2)
	w.reportHoldings(0, core.Holdings{Instance: "s0"})
	first := w.demands[loaderName(0)]
	if first.Spec.Hash == 0 || first.Engine != nil {
		t.Fatalf("the first Demand is %+v", first)
	}
	w.step(LoaderSpecRequested{Loader: loaderName(0)})
	asked := w.demands[loaderName(0)]
	if asked.Engine == nil || asked.Engine.ID != first.Spec || len(asked.Engine.Models) != 10 {
		t.Fatalf("the loader that asked received %+v", asked.Engine)
	}
	config := testConfig()
	config.Version = 2
	w.step(ConfigRead{Config: config})
	if again := w.demands[loaderName(0)]; again.Spec.Hash != 0 && again.Spec != first.Spec {
		t.Errorf("a version that does not change the engine was sent as %+v", again.Spec)
	}
	config = testConfig()
	config.Version = 3
	config.Services[engineService].Engine.MemoryMB++
	w.step(ConfigRead{Config: config})
	if changed := w.demands[loaderName(0)]; changed.Spec.Version != 3 || changed.Spec.Hash == first.Spec.Hash || changed.Engine != nil {
		t.Errorf("a change of the engine was sent as %+v", changed)
	}
}
