package router

import (
	"testing"
	"time"

	"nutmeglane.example/nutmeglane/internal/code"
	"nutmeglane.example/nutmeglane/internal/core"
)

// The store does not answer this router, and operators remove a key meanwhile. Other
// routers announce the newer version. The router must ask for it at once, continue to ask
// until it has it, and then refuse the key.
func TestConfigurationIsAskedForWhereTheStoreRefuses(t *testing.T) {
	w := newAccountsFixture(t)
	w.servers(engineService, 3)
	w.reportHoldings(0, core.Holdings{Instance: "s0"})
	w.step(StoreState{Reachable: false})
	w.step(ConfigAnnounced{Version: 3})
	if len(w.configRequests) != 1 || w.configRequests[0].Wanted.Above != 2 {
		t.Fatalf("asked %+v, want once, above 2", w.configRequests)
	}
	w.run(time.Second)
	if got := len(w.configRequests); got < 3 || got > 5 {
		t.Errorf("asked %d times within a second", got)
	}
	w.step(ConfigRead{Config: accountsConfig(3)})
	asked := len(w.configRequests)
	w.run(time.Second)
	if len(w.configRequests) > asked {
		t.Error("asked for a configuration that is in force")
	}
	w.wantCode(w.callWith("once", validKey), code.UnknownKey)
}

// A router that can read the store itself does so within some ms, and must not ask for the
// configuration.
func TestConfigurationIsNotAskedForWhereTheStoreAnswers(t *testing.T) {
	w := newAccountsFixture(t)
	w.servers(engineService, 3)
	w.reportHoldings(0, core.Holdings{Instance: "s0"})
	w.step(ConfigAnnounced{Version: 3})
	w.run(requestConfigAfter / 2)
	w.step(ConfigRead{Config: accountsConfig(3, validKey)})
	w.run(time.Second)
	if len(w.configRequests) > 0 {
		t.Errorf("asked %+v", w.configRequests)
	}
}

// A newer configuration was announced and is on its way; a caller uses a key that is
// missing in the one in force. A refusal may be wrong, and is final: the request must wait
// for the newer configuration.
func TestNoFinalRefusalWhileAConfigurationIsUnread(t *testing.T) {
	w := newAccountsFixture(t)
	w.servers(plainService, 2)
	w.step(StoreState{Reachable: false})
	w.step(ConfigAnnounced{Version: 3})
	served, unsure := w.callWith("once", newKey), w.callWith("once", "wrong")
	w.step(ConfigRead{Config: accountsConfig(3, validKey, newKey)})
	w.run(tickInterval)
	w.wantCode(served, code.OK)
	w.wantCode(unsure, code.KeyUnsure)
}

// Guards against a large fleet in which each router reads a new configuration, or asks for
// it, while another router that has read it relays it; and against a small fleet that
// waits.
func TestLargeFleetWaitsForAConfigurationToBeRelayed(t *testing.T) {
	for routers, want := range map[int]time.Duration{68: 0, 385: 400 * time.Millisecond} {
		w := newFixture(t)
		w.servers(engineService, 1)
		w.step(LoaderUp{Loader: loaderName(0)})
		w.step(LoaderReported{Loader: loaderName(0), Holdings: core.Holdings{Routers: routers}})
		if got := w.router.ConfigRelayWait(); got != want {
			t.Errorf("%d routers wait %v, want %v", routers, got, want)
		}
		w.step(ConfigAnnounced{Version: 5})
		w.run(requestConfigAfter + want - tickInterval)
		if len(w.configRequests) > 0 {
			t.Errorf("%d routers: asked while it is on its way", routers)
		}
		w.run(2 * tickInterval)
		if len(w.configRequests) == 0 {
			t.Errorf("%d routers: not asked when it did not come", routers)
		}
	}
}
