package router

import (
	"log/slog"
	"maps"
	"slices"

	"nutmeglane.example/nutmeglane/internal/core"
)

// This file applies evacuations: an operator asks that nothing more be sent to the backend servers
// of a zone, until the request is taken back. Requests that servers there have run on, and models
// stay loaded, but no longer count as copies.

// evacuationsRead replaces what is known by a whole read of the platform's store.
func (r *Router) evacuationsRead(zones []core.Zone) {
	changes := map[core.Zone]bool{}
	for zone := range r.evacuated {
		changes[zone] = false
	}
	for _, zone := range zones {
		changes[zone] = true
	}
	r.changeEvacuations(changes)
}

// evacuationsRestored adds the zones in a restored copy of the store to the known ones. The copy
// may lack the last ones, which their operators write again.
func (r *Router) evacuationsRestored(zones []core.Zone) {
	changes := map[core.Zone]bool{}
	for _, zone := range zones {
		changes[zone] = true
	}
	r.changeEvacuations(changes)
}

// changeEvacuations applies changes: the zones that were evacuated, or with false taken back.
func (r *Router) changeEvacuations(zones map[core.Zone]bool) {
	changed := false
	for _, zone := range slices.Sorted(maps.Keys(zones)) {
		if _, before := r.evacuated[zone]; before == zones[zone] {
			continue
		}
		changed = true
		if zones[zone] {
			r.evacuated[zone] = r.now
		} else {
			delete(r.evacuated, zone)
		}
		r.log(StateChange, "zone evacuated or taken back", slog.String("zone", string(zone)), slog.Bool("evacuated", zones[zone]))
	}
	if changed {
		r.recheckAllWaits()
	}
}

// inEvacuatedZone reports whether a server is in a zone that is evacuated.
func (r *Router) inEvacuatedZone(b *backend) bool {
	_, evacuated := r.evacuated[b.Zone]
	return evacuated
}
