package daemon

import (
	"nutmeglane.example/nutmeglane/internal/core"
)

// applyConfig carries out ConfigApplied: it checks the configuration, puts it
// in force by tell and reports back to the reducer. It was checked when it was
// accepted; one that fails here was written by a newer release, and the
// configuration before it stays in force.
func applyConfig(p *process, effect core.Effect, activate func(core.ConfigInForce)) bool {
	applied, ok := effect.(core.ConfigApplied)
	if !ok {
		return false
	}
	inForce, err := p.keeper.Apply(applied)
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
