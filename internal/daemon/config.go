package daemon

import (
	"nutmeglane.example/nutmeglane/internal/core"
)

// applyConfig executes ConfigApplied: it validates the configuration, puts it in
// force by calling activate, and reports this to the reducer. Configurations are
// validated when they are accepted; one that fails here was written by a newer
// release, and the previous configuration stays in force.
func applyConfig(p *process, effect core.Effect, activate func(core.ConfigInForce)) bool {
	applied, ok := effect.(core.ConfigApplied)
	if !ok {
		return false
	}
	inForce, err := p.snapshots.Apply(applied)
	if err != nil {
		p.count(countBadConfig)
		p.logger.Error("configuration refused", "revision", applied.Revision, "error", err.Error())
		return true
	}
	activate(inForce)
	p.logger.Info("configuration in force", "revision", applied.Revision)
	p.loop.Post(inForce)
	return true
}
