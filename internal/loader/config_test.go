package loader

import (
	"testing"

	"nutmeglane.example/nutmeglane/internal/core"
)

const (
	readerName  = core.HostID("10.0.0.1")
	blockedName = core.HostID("10.0.0.2")
)

// lastForwarded returns the last message that was forwarded to a router.
func (w *fixture) lastForwarded(router core.HostID) core.Message {
	if all := w.forwarded[router]; len(all) > 0 {
		return all[len(all)-1]
	}
	return nil
}

// The store refuses one router while others read a newer configuration. The router asks a
// loader, which asks the router that reported the version and forwards its answer. The
// next router that asks is answered from the loader's cache.
func TestConfigurationIsForwarded(t *testing.T) {
	w := newFixture(t)
	w.step(RouterUp{Router: blockedName})
	w.step(RegistryNewsReceived{Router: readerName, News: core.RegistryNews{From: 1, To: 2, Config: 7}})
	w.step(ConfigRequested{Router: blockedName, Above: 6})
	if got, ok := w.lastForwarded(readerName).(core.ConfigWanted); !ok || got.Above != 6 {
		t.Fatalf("the reader was sent %+v", w.lastForwarded(readerName))
	}
	w.step(ConfigReceived{Router: readerName, Config: core.ConfigPassed{Version: 7, Data: []byte("x")}})
	if got, ok := w.lastForwarded(blockedName).(core.ConfigPassed); !ok || got.Version != 7 {
		t.Fatalf("the requesting router was sent %+v", w.lastForwarded(blockedName))
	}
	asked := len(w.forwarded[readerName])
	w.step(RouterUp{Router: "10.0.0.3"})
	w.step(ConfigRequested{Router: "10.0.0.3", Above: 0})
	if got, ok := w.lastForwarded("10.0.0.3").(core.ConfigPassed); !ok || got.Version != 7 {
		t.Errorf("the next router was sent %+v", w.lastForwarded("10.0.0.3"))
	}
	if len(w.forwarded[readerName]) > asked {
		t.Error("the reader was asked again")
	}
}

// A router that was frozen sends an old configuration. It must not replace the newer one
// in the loader's cache, nor reach a router whose version is as new or newer.
func TestOldConfigurationIsNotForwarded(t *testing.T) {
	w := newFixture(t)
	w.step(RouterUp{Router: blockedName})
	w.step(ConfigReceived{Router: readerName, Config: core.ConfigPassed{Version: 7}})
	w.step(ConfigRequested{Router: blockedName, Above: 7})
	w.step(ConfigReceived{Router: readerName, Config: core.ConfigPassed{Version: 5}})
	if got := w.lastForwarded(blockedName); got != nil {
		if _, isConfig := got.(core.ConfigPassed); isConfig {
			t.Errorf("sent %+v", got)
		}
	}
	w.step(ConfigRequested{Router: blockedName, Above: 6})
	if got, ok := w.lastForwarded(blockedName).(core.ConfigPassed); !ok || got.Version != 7 {
		t.Errorf("sent %+v", w.lastForwarded(blockedName))
	}
}

// A loader that knows of no newer configuration is asked for one. It must not make all
// routers answer with the whole configuration, and must reach the router that has it
// within a few attempts.
func TestFewRoutersAreAskedAtOnce(t *testing.T) {
	w := newFixture(t)
	for i := range 20 {
		w.step(RouterUp{Router: routerName(i)})
	}
	asked := map[core.HostID]bool{}
	for tries := range 10 {
		w.forwarded = map[core.HostID][]core.Message{}
		w.step(ConfigRequested{Router: routerName(0), Above: 6})
		if len(w.forwarded) == 0 || len(w.forwarded) > maxConfigRequests {
			t.Fatalf("attempt %d asked %d routers", tries, len(w.forwarded))
		}
		for name := range w.forwarded {
			asked[name] = true
		}
	}
	if len(asked) < 19 {
		t.Errorf("ten attempts reached %d of 20 routers", len(asked))
	}
}
