package router

import (
	"log/slog"
	"time"

	"nutmeglane.example/nutmeglane/internal/core"
	"nutmeglane.example/nutmeglane/internal/fleet"
)

// This file gets a configuration from other routers that this one can't read itself: the
// store turns it away, its path there is cut, or the store came back from a copy that does
// not have the newest yet. See package loader for who passes it on.

const (
	// askConfigAfter is how long a version that was heard of is left to the router's own
	// read, which takes some ms where the store answers.
	askConfigAfter = 300 * time.Millisecond
	// askConfigPause is the pause between two questions: several fit into the shortest
	// time within which a configuration is to be in force.
	askConfigPause = 300 * time.Millisecond
	// configLoaders is how many loaders are asked at once: one may be frozen or cut off.
	configLoaders = 2
)

// spreadPart is the part of the time within which a configuration is to be in force that a
// router of a large fleet waits for who has read it to pass it on, before it reads itself.
const spreadPart = 0.2

// ConfigRelayWait is how long a configuration that was heard of is left to be passed on; 0 where
// each router reads for itself.
func (r *Router) ConfigRelayWait() time.Duration {
	if r.Parts() < 2 {
		return 0
	}
	return time.Duration(spreadPart * float64(r.opts.Bounds.ConfigDelay))
}

// heardConfig is the newest version that was heard of.
type heardConfig struct {
	version int64
	// at is when it was heard of first, nextAsk when loaders are asked next.
	at, nextAsk core.Time
}

// Config is the configuration in force, nil without one. It does not change.
func (r *Router) Config() *fleet.Config { return r.config }

// configUnread tells that a newer configuration than the one in force was heard of.
func (r *Router) configUnread() bool { return r.heard.version > r.ConfigVersion() }

func (r *Router) configHeard(version int64) {
	if version <= max(r.heard.version, r.ConfigVersion()) {
		return
	}
	r.heard = heardConfig{version: version, at: r.now}
	r.askConfig()
}

// askConfig asks loaders for a version that was heard of and is not in force: at once
// where the store does not answer this router, else after the time for an own read.
func (r *Router) askConfig() {
	h := &r.heard
	if !r.configUnread() || r.now < h.nextAsk {
		return
	}
	if r.turnedAway == 0 && r.now.Sub(h.at) < r.ConfigRelayWait()+askConfigAfter {
		return
	}
	to := r.Relays(configLoaders)
	if len(to) == 0 {
		return
	}
	h.nextAsk = r.now.Add(askConfigPause)
	r.log(StateChange, "configuration can't be read; asking other routers", slog.Int64("version", h.version),
		slog.Int64("in_force", r.ConfigVersion()), slog.String("heard_ago", r.now.Sub(h.at).String()))
	r.emit(AskConfig{Loaders: to, Wanted: core.ConfigWanted{Above: r.ConfigVersion()}})
}
