package router

import (
	"fmt"
	"testing"

	"nutmeglane.example/nutmeglane/internal/code"
	"nutmeglane.example/nutmeglane/internal/core"
	"nutmeglane.example/nutmeglane/internal/fleet"
)

// newZonesFixture returns a router with two servers of each service in each of the zones a and b.
// The engines have m1 loaded.
func newZonesFixture(t *testing.T) *fixture {
	w := newFixture(t)
	list := map[string]fleet.Backend{}
	for i := range 8 {
		service := []string{engineService, plainService}[i/4]
		b := w.server(service, i)
		b.Zone = []core.Zone{"a", "b"}[i%2]
		if service == engineService {
			b.Models = []fleet.LoadedModel{{Name: "m1"}}
		}
		list[b.Instance] = b
	}
	w.step(BackendsRead{Backends: list})
	for i := range 4 {
		w.reportHoldings(i, core.Holdings{Instance: fmt.Sprintf("s%d", i), Models: loadedModels("m1"), FreeMB: 40_000})
	}
	return w
}

// zonesOf returns the zones to which some requests of a route are sent.
func (w *fixture) zonesOf(routeName string, prompt *fleet.Prompt) map[core.Zone]bool {
	w.t.Helper()
	zones := map[core.Zone]bool{}
	for range 20 {
		key := w.call(routeName, prompt)
		zones[w.router.backends[w.lastSend(key).Instance].Zone] = true
	}
	return zones
}

// Guards against requests that reach servers of a zone which an operator has evacuated: the router
// learns it from the store's changes, another router or a whole read. They must go to the other
// zone, be refused as not run where there is none, and return once the request is taken back.
func TestEvacuatedZoneGetsNothing(t *testing.T) {
	for name, learn := range map[string]func(w *fixture, zones map[core.Zone]bool){
		"changes": func(w *fixture, zones map[core.Zone]bool) { w.step(EvacuationsChanged{Zones: zones}) },
		"another router": func(w *fixture, zones map[core.Zone]bool) {
			w.step(NewsReceived{News: core.RegistryNews{From: 1, To: 2, Evacuations: zones}})
		},
		"whole read": func(w *fixture, zones map[core.Zone]bool) {
			var evacuated []core.Zone
			for zone, on := range zones {
				if on {
					evacuated = append(evacuated, zone)
				}
			}
			w.step(EvacuationsRead{Zones: evacuated})
		},
	} {
		t.Run(name, func(t *testing.T) {
			w := newZonesFixture(t)
			learn(w, map[core.Zone]bool{"a": true})
			for _, zones := range []map[core.Zone]bool{w.zonesOf("once", nil), w.zonesOf("quick", prompt("m1"))} {
				if zones["a"] || !zones["b"] {
					t.Errorf("sent to zones %v", zones)
				}
			}
			learn(w, map[core.Zone]bool{"a": true, "b": true})
			key := w.call("once", nil)
			if finish := w.finishes[key]; len(w.sends[key]) != 0 || !finish.Code.NotRun() || finish.Code == code.OK {
				t.Errorf("without a zone: sent %d times, ended with %v", len(w.sends[key]), finish.Code)
			}
			learn(w, map[core.Zone]bool{"a": false, "b": false})
			if zones := w.zonesOf("once", nil); !zones["a"] {
				t.Errorf("taken back: sent to zones %v", zones)
			}
		})
	}
}

// An attempt is chosen, and its connection still opened, when the zone is evacuated. It must not be
// sent. Copies of models in the zone must no longer count.
func TestEvacuationReachesAttemptsAndCopies(t *testing.T) {
	w := newZonesFixture(t)
	key := w.call("quick", prompt("m1"))
	sent := w.lastSend(key)
	b := w.router.backends[sent.Instance]
	if !w.router.MayStillSend(sent.Incarnation) || !w.router.stays(b) {
		t.Fatal("excluded before")
	}
	w.step(EvacuationsChanged{Zones: map[core.Zone]bool{b.Zone: true}})
	if w.router.MayStillSend(sent.Incarnation) || w.router.stays(b) {
		t.Error("the attempt may still be sent, or the copy counts")
	}
}

// The store goes back to a copy that lacks an evacuation. It must stay in force.
func TestRestoredStoreKeepsEvacuation(t *testing.T) {
	w := newZonesFixture(t)
	w.step(EvacuationsChanged{Zones: map[core.Zone]bool{"a": true}})
	w.step(EvacuationsRestored{Zones: []core.Zone{"b"}})
	if len(w.router.evacuated) != 2 {
		t.Errorf("evacuated: %v", w.router.evacuated)
	}
}
