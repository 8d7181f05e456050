package router

import (
	"testing"
	"time"

	"nutmeglane.example/nutmeglane/internal/core"
	"nutmeglane.example/nutmeglane/internal/fleet"
)

// restoreStore restores the store from a copy that lists the given servers.
func (w *fixture) restoreStore(list ...fleet.Backend) {
	w.t.Helper()
	copied := map[string]fleet.Backend{}
	for _, entry := range list {
		copied[entry.Instance] = entry
	}
	w.step(StoreRestored{To: core.StorePosition{Era: 2, Revision: 100}})
	w.step(BackendsRestored{Backends: copied})
}

// listed reports whether a server may get requests.
func (w *fixture) listed(instance string) bool {
	b := w.router.backends[instance]
	return b != nil && b.unlistedAt == 0 && !w.router.draining(b)
}

// Two servers registered within the seconds that the store's copy lacks. If they were
// dropped at once, their callers would be refused although the servers are present; they
// write their entries again within two seconds. A server that does not is removed.
func TestServersThatACopyLacksMayRegisterAgain(t *testing.T) {
	w := newFixture(t)
	w.servers(plainService, 3)
	w.restoreStore(w.server(plainService, 0))
	for _, instance := range []string{"s0", "s1", "s2"} {
		if !w.listed(instance) {
			t.Errorf("%s gets no requests", instance)
		}
	}
	w.run(time.Second)
	w.step(BackendsChanged{Written: map[string]fleet.Backend{"s1": w.server(plainService, 1)}})
	w.run(2 * time.Second)
	if !w.listed("s0") || !w.listed("s1") || w.listed("s2") {
		t.Errorf("listed: s0 %t, s1 %t, s2 %t", w.listed("s0"), w.listed("s1"), w.listed("s2"))
	}
}

// One server announced that it is draining, and another one left, within the seconds that
// the store's copy lacks. The copy lists both as ready. If it were trusted, they would get
// requests again; those to the first would be cut off and those to the second refused.
func TestCopyDoesNotRestoreServers(t *testing.T) {
	w := newFixture(t)
	w.servers(plainService, 3)
	leaving := w.server(plainService, 1)
	leaving.Draining = true
	w.step(BackendsChanged{Written: map[string]fleet.Backend{"s1": leaving}})
	w.call("once", nil) // keeps the server that left known for a while
	for i := range 3 {
		w.router.backends["s2"].sent[Key(1000+i)] = &attempt{}
	}
	w.step(BackendsChanged{Removed: map[string]bool{"s2": true}})
	w.restoreStore(w.server(plainService, 0), w.server(plainService, 1), w.server(plainService, 2))
	if !w.listed("s0") || w.listed("s1") || w.listed("s2") {
		t.Errorf("listed: s0 %t, s1 %t, s2 %t", w.listed("s0"), w.listed("s1"), w.listed("s2"))
	}
	w.step(BackendsChanged{Written: map[string]fleet.Backend{"s2": w.server(plainService, 2)}})
	if !w.listed("s2") {
		t.Error("a server that writes its entry again gets no requests")
	}
}

// Guards against requests to a server that left some seconds before the store came back as a copy that
// still lists it, once nothing runs there and the router has forgotten it: the server is about to exit.
func TestCopyDoesNotRestoreForgottenServers(t *testing.T) {
	w := newFixture(t)
	stays, leaves := w.server(plainService, 0), w.server(plainService, 1)
	leaves.Born = 5
	w.step(BackendsRead{Backends: map[string]fleet.Backend{"s0": stays, "s1": leaves}})
	w.step(BackendsChanged{Removed: map[string]bool{"s1": true}})
	w.run(3 * time.Second)
	w.restoreStore(stays, leaves)
	if !w.listed("s0") || w.listed("s1") {
		t.Errorf("listed: s0 %t, s1 %t", w.listed("s0"), w.listed("s1"))
	}
	w.step(BackendsChanged{Written: map[string]fleet.Backend{"s1": leaves}})
	if !w.listed("s1") {
		t.Error("a server that writes its entry again gets no requests")
	}
	w.run(3 * time.Second)
	w.step(BackendsChanged{Removed: map[string]bool{"s1": true}})
	w.run(time.Second)
	leaves.Born = 7
	w.restoreStore(stays, leaves)
	if !w.listed("s1") {
		t.Error("a later life of the server gets no requests")
	}
	w.run(3 * time.Second)
	w.step(BackendsChanged{Removed: map[string]bool{"s1": true}})
	w.run(forgetAfter + time.Second)
	if len(w.router.gone) != 0 {
		t.Errorf("%d servers are remembered", len(w.router.gone))
	}
}

// A key was removed within the seconds that the store's copy lacks. The copy still has it,
// at an older version: the key must stay refused.
func TestCopyDoesNotRestoreKeys(t *testing.T) {
	w := newAccountsFixture(t)
	w.step(ConfigRead{Config: accountsConfig(3)})
	w.step(ConfigRead{Config: accountsConfig(2, validKey)})
	w.restoreStore(w.server(plainService, 0), w.server(plainService, 1))
	key := w.callWith("once", validKey)
	w.confirm()
	if len(w.sends[key]) > 0 || w.router.ConfigVersion() != 3 {
		t.Errorf("%d sends at version %d", len(w.sends[key]), w.router.ConfigVersion())
	}
}
