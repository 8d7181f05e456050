package router

import (
	"log/slog"
	"time"

	"nutmeglane.example/nutmeglane/internal/core"
	"nutmeglane.example/nutmeglane/internal/fleet"
)

// This file gets a configuration from other routers when this one can't read it itself: the
// store does not answer this router, the network path to the store is down, or the store
// was restored from a copy that lacks the newest configuration. Package loader relays the
// request.

const (
	// requestConfigAfter is how long the router waits for its own read of an announced
	// version, which takes some ms if the store answers.
	requestConfigAfter = 300 * time.Millisecond
	// configRequestInterval is the pause between two requests to loaders: several fit into the
	// shortest time within which a configuration must be in force.
	configRequestInterval = 300 * time.Millisecond
	// configLoaders is how many loaders are asked at once: one may be frozen or
	// unreachable.
	configLoaders = 2
)

// relayWaitFraction is the fraction of bounds.ConfigDelay for which a router of a large
// fleet waits for another router that has read a configuration to relay it, before it reads
// itself.
const relayWaitFraction = 0.2

// ConfigRelayWait returns how long the router waits for an announced configuration to be
// relayed, 0 in fleets in which each router reads for itself.
func (r *Router) ConfigRelayWait() time.Duration {
	if r.Parts() < 2 {
		return 0
	}
	return time.Duration(relayWaitFraction * float64(r.opts.Bounds.ConfigDelay))
}

// announcedConfig is the newest version that was announced.
type announcedConfig struct {
	version int64
	// at is when the version was first announced, nextRequest the earliest
	// time of the next request to loaders.
	at, nextRequest core.Time
}

// Config returns the configuration in force, nil without one. It is immutable.
func (r *Router) Config() *fleet.Config { return r.config }

// configPending reports whether a newer configuration than the one in force was announced.
func (r *Router) configPending() bool { return r.announced.version > r.ConfigVersion() }

func (r *Router) configAnnounced(version int64) {
	if version <= max(r.announced.version, r.ConfigVersion()) {
		return
	}
	r.announced = announcedConfig{version: version, at: r.now}
	r.requestConfig()
}

// requestConfig requests from loaders a version that was announced and is not in force:
// immediately if the store does not answer this router, otherwise after the time for a read
// of its own.
func (r *Router) requestConfig() {
	h := &r.announced
	if !r.configPending() || r.now < h.nextRequest {
		return
	}
	if r.ownReadsFailSince == 0 && r.now.Sub(h.at) < r.ConfigRelayWait()+requestConfigAfter {
		return
	}
	to := r.Relays(configLoaders)
	if len(to) == 0 {
		return
	}
	h.nextRequest = r.now.Add(configRequestInterval)
	r.log(StateChange, "configuration can't be read; asking other routers", slog.Int64("version", h.version),
		slog.Int64("in_force", r.ConfigVersion()), slog.String("heard_ago", r.now.Sub(h.at).String()))
	r.emit(RequestConfig{Loaders: to, Wanted: core.ConfigWanted{Above: r.ConfigVersion()}})
}
