package router

import (
	"log/slog"
	"maps"
	"slices"
	"time"

	"nutmeglane.example/nutmeglane/internal/core"
	"nutmeglane.example/nutmeglane/internal/fleet"
)

// This file determines which releases of a service's software may have begun a stream that a
// caller still takes up.
//
// As long as that is one release, each such stream began there. Servers that have left count
// too, for as long as a stream and its caller's next tries may last. A router that has just
// started does not know which servers left before that; routers keep a note in the platform's
// store while a service has several releases, so that a note that is there when a router
// starts tells it.

// tryFactor is how many route timeouts a caller may need for a stream: the first try and the
// next ones, each of which may take as long.
const tryFactor = 2

// releaseHistory is what a router knows of the releases of one service.
type releaseHistory struct {
	// gone are the releases that no server has any more, with the time at which the last one
	// left.
	gone map[fleet.Release]core.Time
	// present are the releases that servers had at the last check.
	present map[fleet.Release]bool
	// notedUntil is until when a note says that there are several releases.
	notedUntil core.Time
	// several is set while there is more than one release. published is when this router last
	// wrote the note about that.
	several   bool
	published core.Time
}

// setStreamLives determines the longest time from the beginning of a stream of each service to
// the last try of its caller to take it up. Services without such streams have none.
func (r *Router) setStreamLives() {
	r.streamLives = map[string]time.Duration{}
	for i := range r.config.Routes {
		route := &r.config.Routes[i]
		if route.Kind != fleet.Stream || !route.Resumable {
			continue
		}
		for _, t := range route.Targets {
			r.streamLives[t.Service] = max(r.streamLives[t.Service], tryFactor*route.Timeout)
		}
	}
}

// checkReleases updates the releases of all services, and tells the keepers of origins and the
// store what they need while a service has several.
func (r *Router) checkReleases() {
	if !r.releasesChanged && r.now < r.nextPlan {
		return
	}
	r.releasesChanged = false
	for _, name := range slices.Sorted(maps.Keys(r.streamLives)) {
		life := r.streamLives[name]
		h := &r.service(name).releases
		r.updateReleases(name, h, life)
		several := len(r.possibleReleases(name)) > 1 || r.now < h.notedUntil
		began := several && !h.several
		if several != h.several {
			h.several = several
			r.log(StateChange, "releases of a service", slog.String("service", name), slog.Bool("several", several),
				slog.Any("releases", r.releasesOf(name)), slog.Int("gone", len(h.gone)))
		}
		if began {
			r.tellOrigins(nil)
		}
		if several {
			r.noteReleases(name, h, life)
		}
	}
}

// releasesPassed records the releases of servers that joined and left between two reads.
func (r *Router) releasesPassed(servers []fleet.Backend) {
	for _, b := range servers {
		r.releaseLeft(b.Service, b.Release)
	}
}

// releaseLeft records that a server of a release has left. It may be the last one: the next check takes
// the release back that others have.
func (r *Router) releaseLeft(service string, release fleet.Release) {
	if r.streamLives[service] == 0 || !release.Known {
		return
	}
	h := &r.service(service).releases
	if h.gone == nil {
		h.gone = map[fleet.Release]core.Time{}
	}
	h.gone[release], r.releasesChanged = r.now, true
}

// updateReleases compares the releases of the present servers with those before.
func (r *Router) updateReleases(service string, h *releaseHistory, life time.Duration) {
	if h.gone == nil {
		h.gone = map[fleet.Release]core.Time{}
	}
	present := map[fleet.Release]bool{}
	for _, b := range r.serversOf(service) {
		if b.unlistedAt == 0 || len(b.sent) > 0 {
			present[b.Release] = true
			delete(h.gone, b.Release)
		}
	}
	for release := range h.present {
		if !present[release] {
			h.gone[release] = r.now
		}
	}
	h.present = present
	maps.DeleteFunc(h.gone, func(_ fleet.Release, since core.Time) bool { return r.now.Sub(since) >= life })
}

// possibleReleases returns the releases that may have begun a stream of a service.
func (r *Router) possibleReleases(service string) map[fleet.Release]bool {
	h := &r.service(service).releases
	possible := maps.Clone(h.present)
	if possible == nil {
		possible = map[fleet.Release]bool{}
	}
	for release := range h.gone {
		possible[release] = true
	}
	// Servers that were found since the last check.
	for _, b := range r.serversOf(service) {
		if b.unlistedAt == 0 {
			possible[b.Release] = true
		}
	}
	return possible
}

// onlyRelease returns the release that began all streams of a service that callers may take
// up, false if that is in doubt.
func (r *Router) onlyRelease(service string) (fleet.Release, bool) {
	h := &r.service(service).releases
	possible := r.possibleReleases(service)
	if len(possible) != 1 || r.now < h.notedUntil {
		return fleet.Release{}, false
	}
	for release := range possible {
		return release, release.Known
	}
	return fleet.Release{}, false
}

// noteReleases keeps the note of a service in the platform's store while it has several
// releases. Only routers that coordinate engines of the service write it.
func (r *Router) noteReleases(service string, h *releaseHistory, life time.Duration) {
	coordinates := r.engine(service) == nil || r.coordinatesAny(service)
	// Leases may end while the store is away, and a restored copy may lack the note.
	inStore := h.published != 0 && h.published > r.storeBackAt
	if !coordinates || inStore && r.now.Sub(h.published) < life/2 {
		return
	}
	h.published = r.now
	r.emit(PublishReleases{Note: core.ReleaseNote{Service: service, Lasts: life}})
}

// releasesNoted records notes that were in the store when this router read it.
func (r *Router) releasesNoted(notes []core.ReleaseNote) {
	for _, note := range notes {
		h := &r.service(note.Service).releases
		h.notedUntil = max(h.notedUntil, r.now.Add(note.Lasts))
	}
}

func (r *Router) dumpReleases() []ReleasesState {
	var states []ReleasesState
	for _, name := range slices.Sorted(maps.Keys(r.services)) {
		h := &r.service(name).releases
		if h.gone == nil {
			continue // its streams can't be resumed
		}
		state := ReleasesState{Service: name, Servers: r.releasesOf(name), Several: h.several}
		for release := range h.gone {
			state.Gone = append(state.Gone, release.String())
		}
		slices.Sort(state.Gone)
		states = append(states, state)
	}
	return states
}
