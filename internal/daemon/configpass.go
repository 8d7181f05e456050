package daemon

import (
	"log/slog"

	"nutmeglane.example/nutmeglane/internal/core"
	"nutmeglane.example/nutmeglane/internal/fleet"
	"nutmeglane.example/nutmeglane/internal/router"
)

// passConfig sends a loader the configuration in force, if its version is above the given
// one.
func (p *routerProcess) passConfig(loader core.HostID, above int64) {
	var config *fleet.Config
	p.gateway.Inspect(func(r *router.Router) { config = r.Config() })
	if config == nil || config.Version <= above {
		return
	}
	if passed, ok := p.encodeConfig(config); ok {
		p.log.Info("configuration passed to a loader", "loader", string(loader), "version", passed.Version, "bytes", len(passed.Data))
		p.links.Do(core.Send{To: loader, Message: passed})
	}
}

// encodeConfig encodes a configuration as a message. It needs no lock, because a
// configuration in force is immutable.
func (p *routerProcess) encodeConfig(config *fleet.Config) (core.ConfigPassed, bool) {
	data, err := fleet.EncodeConfig(config)
	if err != nil {
		p.log.Error("configuration can't be encoded", "version", config.Version, "error", err.Error())
		return core.ConfigPassed{}, false
	}
	return core.ConfigPassed{Version: config.Version, Data: data}, true
}

// spreadConfig sends a configuration that this router has just read to all other routers, by
// way of loaders. In small fleets, where the routers' own reads cost less, it does nothing.
func (p *routerProcess) spreadConfig(config *fleet.Config) {
	parts, relays := 1, []core.HostID(nil)
	p.gateway.Inspect(func(r *router.Router) {
		parts = r.Parts()
		relays = r.Relays(parts)
	})
	if parts < 2 || len(relays) == 0 {
		return
	}
	passed, ok := p.encodeConfig(config)
	if !ok {
		return
	}
	p.log.Info("configuration passed on to all routers", "version", passed.Version, "bytes", len(passed.Data), "parts", parts)
	for i := range parts {
		p.links.Do(core.Send{To: relays[i%len(relays)], Message: core.ConfigSpread{Part: i, Parts: parts, Config: passed}})
	}
}

// applyPassedConfig puts a configuration in force that another router has read.
func (p *routerProcess) applyPassedConfig(passed core.ConfigPassed) {
	config, err := fleet.DecodeConfig(passed.Data)
	if err != nil || config.Version != passed.Version {
		p.log.Error("configuration from another router can't be decoded; ignored", "version", passed.Version, slog.Any("error", err))
		return
	}
	p.log.Info("configuration heard of another router", "version", config.Version)
	p.gateway.Step(router.ConfigRead{Config: config})
}
