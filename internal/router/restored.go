package router

import (
	"log/slog"
	"maps"
	"slices"

	"nutmeglane.example/nutmeglane/internal/core"
	"nutmeglane.example/nutmeglane/internal/fleet"
)

// This file handles a platform store that comes back from a copy of some seconds ago.
// What was written since is gone, and its writers write it again: operators the
// configuration, backend servers their entries, routers what they keep there. Until then
// the copy says less than what this router knows.

// storeWentBack gives servers whose entries the copy lacks the time to register again, as
// after an outage, and writes again what this router had written.
//
// Each router writes its own evidence only: written by all who know it, one poison request
// would cost as many calls as there are routers, just when the store comes back.
func (r *Router) storeWentBack(to core.StorePosition) {
	r.log(Belief, "platform store went back to a copy of before", slog.String("position", to.String()),
		slog.Int("backends", len(r.backends)))
	r.storeBack = r.now
	for _, f := range slices.Sorted(maps.Keys(r.published)) {
		if r.ledger.Local(f) {
			r.publish(f)
		}
	}
}

// restoreBackends takes in the copy's registry, but for what is known to be older than
// what this router has seen.
//
// It guards against servers that left within the time that the copy lacks: its entries say
// that they are there, and they would get requests again for as long as nobody removes
// these. A server that is there writes its entry itself within a heartbeat.
func (r *Router) restoreBackends(list map[string]fleet.Backend) {
	known := map[string]fleet.Backend{}
	for instance, entry := range list {
		b := r.backends[instance]
		switch {
		case b == nil || entry.Compare(b.Incarnation) > 0:
		case b.unlistedAt != 0:
			r.log(Belief, "entry of a server that has left is not taken from the copy", b.attrs()...)
			continue
		case b.Draining:
			entry.Draining = true
		}
		known[instance] = entry
	}
	r.readBackends(known)
}
