package router

import (
	"fmt"
	"testing"
	"time"

	"nutmeglane.example/nutmeglane/internal/core"
	"nutmeglane.example/nutmeglane/internal/fleet"
)

func removeAll(n int) map[string]bool {
	removed := map[string]bool{}
	for i := range n {
		removed[fmt.Sprintf("s%d", i)] = true
	}
	return removed
}

// The store is unavailable, the registry's entries expire, and once it is back all servers
// seem removed for a second or two. Users would be refused by a healthy fleet. The servers
// must be kept until they have had the time to register again.
func TestLapsedServersAreKept(t *testing.T) {
	w := newFixture(t)
	w.servers(plainService, 3)
	w.step(StoreState{Reachable: false})
	w.run(5 * time.Second)
	w.step(StoreState{Reachable: true})
	w.step(BackendsChanged{Removed: removeAll(3)})
	w.lastSend(w.call("once", nil))
	w.step(BackendsChanged{Written: map[string]fleet.Backend{"s1": w.server(plainService, 1)}})
	w.run(relistWithin + 2*tickInterval)
	for range 6 {
		if send := w.lastSend(w.call("once", nil)); send.Instance != "s1" {
			t.Fatalf("sent to %s, which did not register again", send.Instance)
		}
	}
}

// While the store is available, a removal means that the server leaves: requests sent later
// may be lost with it.
func TestRemovedServerGetsNothing(t *testing.T) {
	w := newFixture(t)
	w.servers(plainService, 3)
	w.step(BackendsChanged{Removed: removeAll(2)})
	for range 6 {
		if send := w.lastSend(w.call("once", nil)); send.Instance != "s2" {
			t.Fatalf("sent to %s, which was removed", send.Instance)
		}
	}
}

// A server crashed and started again at its address. The old instance's entry remains for
// seconds, and a late heartbeat writes it once more. Requests for it would be refused by
// the new instance.
func TestReplacedInstanceGetsNothing(t *testing.T) {
	w := newFixture(t)
	w.servers(plainService, 1)
	old := w.server(plainService, 0)
	again := old
	again.Instance = "n0"
	w.step(BackendsChanged{Written: map[string]fleet.Backend{"n0": again}})
	w.step(BackendsChanged{Written: map[string]fleet.Backend{"s0": old}})
	if send := w.lastSend(w.call("once", nil)); send.Instance != "n0" {
		t.Fatalf("sent to %s, want the new instance", send.Instance)
	}
}

// A server announces that it is draining. Requests sent later may reach a server that is
// gone.
func TestDrainingServerGetsNothing(t *testing.T) {
	w := newFixture(t)
	w.servers(plainService, 2)
	leaving := w.server(plainService, 0)
	leaving.Draining = true
	w.step(BackendsChanged{Written: map[string]fleet.Backend{"s0": leaving}})
	for range 6 {
		if send := w.lastSend(w.call("once", nil)); send.Instance != "s1" {
			t.Fatalf("sent to the draining server")
		}
	}
}

// A read that was in progress during a change delivers the older version after the newer
// one. The configuration must not revert.
func TestConfigurationDoesNotRevert(t *testing.T) {
	w := newFixture(t)
	newer := testConfig()
	newer.Version = 7
	w.step(ConfigRead{Config: newer})
	w.step(ConfigRead{Config: testConfig()})
	if got := w.router.config.Version; got != 7 {
		t.Fatalf("version %d in force, want 7", got)
	}
}

// Guards against sending by an old registry: when a whole fleet returns after a loss of
// power, for a moment the registry lists what engines held before. Requests sent by it were
// refused, and used up the attempts of their routes. They must wait for the loaders, which
// connect at once, and not be refused meanwhile.
func TestRegistryIsNotUsedWhileLoadersConnect(t *testing.T) {
	w := newFixture(t)
	entry := w.server(engineService, 0)
	entry.Models = []fleet.LoadedModel{{Name: "m1"}}
	w.step(BackendsRead{Backends: map[string]fleet.Backend{"s0": entry}})
	key := w.call("patient", prompt("m1"))
	w.run(200 * time.Millisecond)
	if len(w.sends[key]) != 0 || len(w.finishes) != 0 {
		t.Fatalf("sent %v, ended %v before the loader could connect", w.sends[key], w.finishes)
	}
	w.reportHoldings(0, core.Holdings{OnDisk: []string{"m1"}, FreeMB: 80_000})
	if wants := w.demands[loaderName(0)].Wants; len(wants) != 1 {
		t.Fatalf("the model is not asked for: %+v", wants)
	}
}

// Loaders are unreachable, the engines are healthy. After a short while the registry must
// be used, so that callers are served.
func TestRegistryIsUsedWhereNoLoaderConnects(t *testing.T) {
	w := newFixture(t)
	entry := w.server(engineService, 0)
	entry.Models = []fleet.LoadedModel{{Name: "m1"}}
	w.step(BackendsRead{Backends: map[string]fleet.Backend{"s0": entry}})
	key := w.call("patient", prompt("m1"))
	w.run(loaderGrace + 2*tickInterval)
	if len(w.sends[key]) != 1 {
		t.Fatalf("not sent; ended %v", w.finishes)
	}
}

// Engines restart, and a router with them. The registry still lists the dead instance of an
// engine beside the new one, at the same address, and the dead one's name sorts last.
// Guards against sending requests to it, which were refused until its entry expired.
func TestLaterRegistrationHoldsTheAddress(t *testing.T) {
	w := newFixture(t)
	dead, alive := w.server(engineService, 0), w.server(engineService, 0)
	dead.Instance, dead.Registered = "z-dead", 10
	alive.Instance, alive.Registered = "a-alive", 20
	w.step(BackendsRead{Backends: map[string]fleet.Backend{dead.Instance: dead, alive.Instance: alive}})
	w.reportHoldings(0, core.Holdings{Models: loadedModels("m1")})
	if got := w.lastSend(w.call("patient", prompt("m1"))).Instance; got != "a-alive" {
		t.Fatalf("sent for %s", got)
	}
}
