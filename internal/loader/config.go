package loader

import (
	"log/slog"

	"nutmeglane.example/nutmeglane/internal/core"
)

// This file helps routers that can't read a configuration from the platform's store.
//
// It answers this pattern: the store turns ten routers of 28 away for some seconds, just
// while operators take keys away. They hear of the newer version from the others and can't
// read it; without help they go on serving the keys until the store lets them in.
//
// Nothing is sent before a router asks, so that a change costs those who can read it
// nothing. The loader keeps the newest that it passed on, some KB, for the next one.

// configs is what the loader knows of configurations.
type configs struct {
	// newest is the newest version that was heard of, had by a router.
	newest int64
	had    core.HostID
	// kept is the newest that was passed on, Version 0 before the first.
	kept core.ConfigPassed
	// waiting are routers that asked and were not answered, with the version they have.
	waiting map[core.HostID]int64
	// asks counts the routers that were asked without being known to have one.
	asks int
}

// anyAsked is how many routers are asked at once that are not known to have a newer
// configuration. With all of 28, each of which answered with some KB, 14 changes cost
// 6.9 MB where ten routers were turned away.
const anyAsked = 3

// heardOfConfig notes that a router has a version.
func (l *Loader) heardOfConfig(router core.HostID, version int64) {
	if version > l.configs.newest {
		l.configs.newest, l.configs.had = version, router
	}
}

// configWanted answers a router that asks for a newer configuration, or asks one that has
// it.
func (l *Loader) configWanted(router core.HostID, above int64) {
	c := &l.configs
	if c.kept.Version > above {
		l.emit(Forward{Routers: []core.HostID{router}, Message: c.kept})
		return
	}
	c.waiting[router] = above
	if c.newest > above && l.routers[c.had] != nil && c.had != router {
		l.emit(Forward{Routers: []core.HostID{c.had}, Message: core.ConfigWanted{Above: above}})
		return
	}
	// Who has it is not known, or gone: anybody may. Whoever asked asks again, and then
	// others are asked.
	for range min(anyAsked, len(l.names)) {
		c.asks++
		if name := l.names[c.asks%len(l.names)]; name != router {
			l.emit(Forward{Routers: []core.HostID{name}, Message: core.ConfigWanted{Above: above}})
		}
	}
}

// configPassed keeps a configuration and passes it on to the routers that wait for it.
func (l *Loader) configPassed(from core.HostID, passed core.ConfigPassed) {
	c := &l.configs
	l.heardOfConfig(from, passed.Version)
	if passed.Version > c.kept.Version {
		c.kept = passed
	}
	var to []core.HostID
	for _, name := range l.names {
		above, waits := c.waiting[name]
		if waits && passed.Version > above {
			to = append(to, name)
			delete(c.waiting, name)
		}
	}
	if len(to) > 0 {
		l.log("configuration passed on", slog.Int64("version", passed.Version), slog.Int("bytes", len(passed.Data)), slog.Int("routers", len(to)))
		l.emit(Forward{Routers: to, Message: passed})
	}
}
