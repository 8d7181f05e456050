package loader

import (
	"testing"

	"nutmeglane.example/nutmeglane/internal/core"
)

const (
	readerName = core.HostID("10.0.0.1")
	cutName    = core.HostID("10.0.0.2")
)

// lastPassed is what a router was sent last.
func (w *world) lastPassed(router core.HostID) core.Message {
	if all := w.passed[router]; len(all) > 0 {
		return all[len(all)-1]
	}
	return nil
}

// The store turns one router away while others read a newer configuration. It asks a
// loader, which asks the router that told of the version, and passes its answer on; the
// next one that asks is answered from what the loader keeps.
func TestConfigurationIsPassedOn(t *testing.T) {
	w := newWorld(t)
	w.step(RouterUp{Router: cutName})
	w.step(RegistryNewsReceived{Router: readerName, News: core.RegistryNews{From: 1, To: 2, Config: 7}})
	w.step(ConfigRequested{Router: cutName, Above: 6})
	if got, ok := w.lastPassed(readerName).(core.ConfigWanted); !ok || got.Above != 6 {
		t.Fatalf("the reader was sent %+v", w.lastPassed(readerName))
	}
	w.step(ConfigReceived{Router: readerName, Config: core.ConfigPassed{Version: 7, Data: []byte("x")}})
	if got, ok := w.lastPassed(cutName).(core.ConfigPassed); !ok || got.Version != 7 {
		t.Fatalf("who asked was sent %+v", w.lastPassed(cutName))
	}
	asked := len(w.passed[readerName])
	w.step(RouterUp{Router: "10.0.0.3"})
	w.step(ConfigRequested{Router: "10.0.0.3", Above: 0})
	if got, ok := w.lastPassed("10.0.0.3").(core.ConfigPassed); !ok || got.Version != 7 {
		t.Errorf("the next one was sent %+v", w.lastPassed("10.0.0.3"))
	}
	if len(w.passed[readerName]) > asked {
		t.Error("the reader was asked again")
	}
}

// A router that was frozen passes an old configuration on. It must not replace the newer
// one that the loader keeps, nor reach a router that has as new a one.
func TestOldConfigurationIsNotPassedOn(t *testing.T) {
	w := newWorld(t)
	w.step(RouterUp{Router: cutName})
	w.step(ConfigReceived{Router: readerName, Config: core.ConfigPassed{Version: 7}})
	w.step(ConfigRequested{Router: cutName, Above: 7})
	w.step(ConfigReceived{Router: readerName, Config: core.ConfigPassed{Version: 5}})
	if got := w.lastPassed(cutName); got != nil {
		if _, isConfig := got.(core.ConfigPassed); isConfig {
			t.Errorf("sent %+v", got)
		}
	}
	w.step(ConfigRequested{Router: cutName, Above: 6})
	if got, ok := w.lastPassed(cutName).(core.ConfigPassed); !ok || got.Version != 7 {
		t.Errorf("sent %+v", w.lastPassed(cutName))
	}
}

// A loader that has heard of no newer configuration is asked for one. It must not have all
// routers answer with the whole, and must find the one that has it before long.
func TestFewRoutersAreAskedAtOnce(t *testing.T) {
	w := newWorld(t)
	for i := range 20 {
		w.step(RouterUp{Router: routerName(i)})
	}
	asked := map[core.HostID]bool{}
	for tries := range 10 {
		w.passed = map[core.HostID][]core.Message{}
		w.step(ConfigRequested{Router: routerName(0), Above: 6})
		if len(w.passed) == 0 || len(w.passed) > anyAsked {
			t.Fatalf("try %d asked %d routers", tries, len(w.passed))
		}
		for name := range w.passed {
			asked[name] = true
		}
	}
	if len(asked) < 19 {
		t.Errorf("ten tries reached %d of 20 others", len(asked))
	}
}
