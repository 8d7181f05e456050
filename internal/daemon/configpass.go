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
	// A configuration does not change once it is in force, so that no lock is held.
	data, err := fleet.EncodeConfig(config)
	if err != nil {
		p.log.Error("configuration can't be passed on", "version", config.Version, "error", err.Error())
		return
	}
	p.log.Info("configuration passed to a loader", "loader", string(loader), "version", config.Version, "bytes", len(data))
	p.links.Do(core.Send{To: loader, Message: core.ConfigPassed{Version: config.Version, Data: data}})
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
	data, err := fleet.EncodeConfig(config)
	if err != nil {
		p.log.Error("configuration can't be passed on", "version", config.Version, "error", err.Error())
		return
	}
	p.log.Info("configuration passed on to all routers", "version", config.Version, "bytes", len(data), "parts", parts)
	for i := range parts {
		spread := core.ConfigSpread{Part: i, Parts: parts, Config: core.ConfigPassed{Version: config.Version, Data: data}}
		p.links.Do(core.Send{To: relays[i%len(relays)], Message: spread})
	}
}

// takeConfig puts a configuration in force that another router has read.
func (p *routerProcess) takeConfig(passed core.ConfigPassed) {
	config, err := fleet.DecodeConfig(passed.Data)
	if err != nil || config.Version != passed.Version {
		p.log.Error("passed configuration can't be read and is left out", "version", passed.Version, slog.Any("error", err))
		return
	}
	p.log.Info("configuration heard of another router", "version", config.Version)
	p.gateway.Step(router.ConfigRead{Config: config})
}
