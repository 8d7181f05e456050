package daemon

import (
	"log/slog"

	"nutmeglane.example/nutmeglane/internal/core"
	"nutmeglane.example/nutmeglane/internal/fleet"
	"nutmeglane.example/nutmeglane/internal/router"
)

// passConfig sends a loader the configuration in force, if that is above a version.
func (p *routerProcess) passConfig(loader core.HostID, above int64) {
	var config *fleet.Config
	p.gateway.Look(func(r *router.Router) { config = r.Config() })
	if config == nil || config.Version <= above {
		return
	}
	if passed, ok := p.encodeConfig(config); ok {
		p.log.Info("configuration passed to a loader", "loader", string(loader), "version", passed.Version, "bytes", len(passed.Data))
		p.links.Do(core.Send{To: loader, Message: passed})
	}
}

// encodeConfig makes a configuration a message. It does not change once it is in force, so
// that no lock is held.
func (p *routerProcess) encodeConfig(config *fleet.Config) (core.ConfigPassed, bool) {
	data, err := fleet.EncodeConfig(config)
	if err != nil {
		p.log.Error("configuration can't be passed on", "version", config.Version, "error", err.Error())
		return core.ConfigPassed{}, false
	}
	return core.ConfigPassed{Version: config.Version, Data: data}, true
}

// spreadConfig passes a configuration that this router has just read on to all others, where
// they are so many that their own reads would cost more.
func (p *routerProcess) spreadConfig(config *fleet.Config) {
	parts, relays := 1, []core.HostID(nil)
	p.gateway.Look(func(r *router.Router) {
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

// takeConfig puts a configuration in force that another router has read.
func (p *routerProcess) applyPassedConfig(passed core.ConfigPassed) {
	config, err := fleet.DecodeConfig(passed.Data)
	if err != nil || config.Version != passed.Version {
		p.log.Error("passed configuration can't be read and is left out", "version", passed.Version, slog.Any("error", err))
		return
	}
	p.log.Info("configuration heard of another router", "version", config.Version)
	p.gateway.Step(router.ConfigRead{Config: config})
}
