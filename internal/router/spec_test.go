package router

import (
	"testing"

	"nutmeglane.example/nutmeglane/internal/core"
)

// The configuration changes several times a day, mostly in routes and accounts. Loaders are
// to hear of their engine's part only when that changes, and by its name; the whole, 11 KB
// for 184 models, goes to a loader that asks.
func TestLoadersAreToldTheNameOfTheConfiguration(t *testing.T) {
	w := newWorld(t)
	w.servers(engineService, 2)
	w.holds(0, core.Holdings{Instance: "s0"})
	first := w.demands[loaderName(0)]
	if first.Spec.Hash == 0 || first.Engine != nil {
		t.Fatalf("the first word is %+v", first)
	}
	w.step(LoaderSpecRequested{Loader: loaderName(0)})
	asked := w.demands[loaderName(0)]
	if asked.Engine == nil || asked.Engine.ID != first.Spec || len(asked.Engine.Models) != 10 {
		t.Fatalf("who asked was told %+v", asked.Engine)
	}
	config := testConfig()
	config.Version = 2
	w.step(ConfigRead{Config: config})
	if again := w.demands[loaderName(0)]; again.Spec.Hash != 0 && again.Spec != first.Spec {
		t.Errorf("a version that changes nothing of the engine was told as %+v", again.Spec)
	}
	config = testConfig()
	config.Version = 3
	config.Services[engineService].Engine.MemoryMB++
	w.step(ConfigRead{Config: config})
	if changed := w.demands[loaderName(0)]; changed.Spec.Version != 3 || changed.Spec.Hash == first.Spec.Hash || changed.Engine != nil {
		t.Errorf("a change of the engine was told as %+v", changed)
	}
}
