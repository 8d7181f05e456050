package router

import (
	"log/slog"
	"maps"
	"slices"

	"nutmeglane.example/nutmeglane/internal/core"
	"nutmeglane.example/nutmeglane/internal/fleet"
)

// This file handles a platform store that is restored from a copy that is some seconds old.
// Later writes are lost, and their writers repeat them: operators the configuration,
// backend servers their entries, routers what they store there. Until then the copy
// contains less than this router knows.

// storeRestored gives servers whose entries the copy lacks the time to register again, as
// after an outage, and writes again what this router had written.
//
// Each router writes only its own evidence: written by all routers that have it, one poison
// request would cost as many calls as there are routers, just when the store comes back.
func (r *Router) storeRestored(to core.StorePosition) {
	r.log(StateChange, "platform store went back to a copy of before", slog.String("position", to.String()),
		slog.Int("backends", len(r.backends)))
	r.storeBackAt = r.now
	for _, f := range slices.Sorted(maps.Keys(r.published)) {
		if r.ledger.Local(f) {
			r.publish(f)
		}
	}
}

// restoreBackends applies the copy's registry, except for entries known to be older than
// what this router has seen.
//
// It guards against servers that left within the time that the copy lacks: the copy still
// lists them, and they would get requests again until their entries are removed. A server
// that is present writes its entry again within a heartbeat.
func (r *Router) restoreBackends(list map[string]fleet.Backend) {
	known := map[string]fleet.Backend{}
	for instance, entry := range list {
		b := r.backends[instance]
		switch {
		case b == nil && r.leftLately(entry):
			r.log(StateChange, "restored entry ignored: the server had already left", slog.String("instance", instance))
			continue
		case b == nil || entry.Compare(b.Incarnation) > 0:
		case b.unlistedAt != 0:
			r.log(StateChange, "restored entry ignored: the server had already left", b.attrs()...)
			continue
		}
		known[instance] = entry
	}
	r.readBackends(known)
}

// goneServer is a server that left the registry and was forgotten.
type goneServer struct {
	fleet.Incarnation
	at core.Time
}

// noteGone remembers a server that is about to be forgotten, for as long as a restored copy of the store
// may list it.
func (r *Router) noteGone(b *backend) {
	r.gone[b.Instance] = goneServer{b.Incarnation, b.unlistedAt}
}

// leftLately reports whether the server of an entry has left and was forgotten lately.
func (r *Router) leftLately(entry fleet.Backend) bool {
	g, known := r.gone[entry.Instance]
	return known && entry.Compare(g.Incarnation) <= 0
}

// expireGone forgets the servers that left longer ago than any copy of the store is old.
func (r *Router) expireGone() {
	maps.DeleteFunc(r.gone, func(_ string, g goneServer) bool { return r.now.Sub(g.at) >= forgetAfter })
}
