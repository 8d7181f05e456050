package loader

import (
	"log/slog"

	"nutmeglane.example/nutmeglane/internal/core"
)

// This file forwards configurations between routers, for those that can't read the
// platform's store.
//
// It covers this case: the store refuses ten routers of 28 for some seconds while
// operators revoke keys. These routers learn of the newer version from the others but
// can't read it, and would go on accepting the revoked keys until the store is reachable
// again.
//
// Nothing is sent until a router asks, so a change costs nothing for routers that can
// read it. The loader caches the newest configuration that it forwarded, some KB, for
// later requests.

// configRelay is the loader's state for forwarding configurations between routers.
type configRelay struct {
	// newestVersion is the newest version that any router reported, and holder is the
	// router that reported it.
	newestVersion int64
	holder        core.HostID
	// cached is the newest configuration that was forwarded; its Version is 0 before the
	// first.
	cached core.ConfigPassed
	// waiting maps routers whose request is not answered yet to the version that they
	// have.
	waiting map[core.HostID]int64
	// requested counts the requests to routers that are not known to have a newer
	// configuration.
	requested int
}

// maxConfigRequests is how many routers are asked at once when none is known to have a
// newer configuration. Asking all of 28, each of which answered with some KB, transferred
// 6.9 MB for 14 changes while the store refused ten routers.
const maxConfigRequests = 3

// noteConfigVersion records that a router has a version.
func (l *Loader) noteConfigVersion(router core.HostID, version int64) {
	if version > l.configs.newestVersion {
		l.configs.newestVersion, l.configs.holder = version, router
	}
}

// handleConfigRequest answers a router that asks for a newer configuration from the
// cache, or else asks a router that may have one.
func (l *Loader) handleConfigRequest(router core.HostID, above int64) {
	c := &l.configs
	if c.cached.Version > above {
		l.emit(Forward{Routers: []core.HostID{router}, Message: c.cached})
		return
	}
	c.waiting[router] = above
	if c.newestVersion > above && l.routers[c.holder] != nil && c.holder != router {
		l.emit(Forward{Routers: []core.HostID{c.holder}, Message: core.ConfigWanted{Above: above}})
		return
	}
	// No connected router is known to have it, so any router may. The requester repeats
	// its request, and other routers are asked then.
	for range min(maxConfigRequests, len(l.names)) {
		c.requested++
		if name := l.names[c.requested%len(l.names)]; name != router {
			l.emit(Forward{Routers: []core.HostID{name}, Message: core.ConfigWanted{Above: above}})
		}
	}
}

// handleConfig caches a configuration and forwards it to the routers that wait for it.
func (l *Loader) handleConfig(from core.HostID, config core.ConfigPassed) {
	c := &l.configs
	l.noteConfigVersion(from, config.Version)
	if config.Version > c.cached.Version {
		c.cached = config
	}
	var to []core.HostID
	for _, name := range l.names {
		above, waits := c.waiting[name]
		if waits && config.Version > above {
			to = append(to, name)
			delete(c.waiting, name)
		}
	}
	if len(to) > 0 {
		l.log("configuration forwarded", slog.Int64("version", config.Version), slog.Int("bytes", len(config.Data)), slog.Int("routers", len(to)))
		l.emit(Forward{Routers: to, Message: config})
	}
}
