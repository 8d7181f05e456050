package agent

import (
	"nutmeglane.example/nutmeglane/internal/api"
	"nutmeglane.example/nutmeglane/internal/core/idle"
)

// defaultPrices returns the prices that apply until the first configuration is
// in force.
func defaultPrices() idle.Prices {
	return idle.Prices{ColdSecond: api.DefaultColdStartPrice, IdleHour: api.DefaultIdleHourPrice}
}

// updatePrices sets the prices of the configuration in force and drops the
// request histories of deleted resources.
func (p *Part) updatePrices() {
	if p.pricedPolicy == nil || p.snapshot.Deployment == nil {
		return
	}
	p.pricedPolicy.SetPrices(idle.Prices{
		ColdSecond: p.snapshot.Deployment.ColdStartPrice,
		IdleHour:   p.snapshot.Deployment.IdleHourPrice,
	})
	p.pricedPolicy.Retain(func(key string) bool {
		name, _ := splitKey(key)
		return p.snapshot.Models[name] != nil || p.snapshot.Adapters[name] != nil
	})
}

// batchWeight is the factor applied to the declared price of a second of cold
// start for batch models, because no caller waits interactively for their
// answers.
const batchWeight = 0.1

// idleCost returns to the idle policy the share of memory that a key takes
// while loaded and the predicted duration of its next load from where it is
// cached now.
func (p *Part) idleCost(key string) idle.Cost {
	c := p.checkpointByKey(key)
	weight := 1.0
	if p.isBatchKey(key) {
		weight = batchWeight
	}
	return idle.Cost{
		Share:  float64(c.memoryMiB) / float64(max(p.totalMiB, 1)),
		Cold:   p.predictor.predict(p.tier(key), c.checkpointMiB),
		Weight: weight,
	}
}

func (p *Part) isBatchKey(key string) bool {
	name, _ := splitKey(key)
	if p.snapshot == nil {
		return false
	}
	if m := p.snapshot.Models[name]; m != nil {
		return m.Spec.Priority == api.PriorityBatch
	}
	a := p.snapshot.Adapters[name]
	return a != nil && a.Spec.Priority == api.PriorityBatch
}

// checkpointByKey returns the declared sizes of the model or adapter of a key.
func (p *Part) checkpointByKey(key string) checkpoint {
	name, _ := splitKey(key)
	if p.snapshot == nil {
		return checkpoint{key: key}
	}
	if m := p.snapshot.Models[name]; m != nil {
		return checkpoint{key: key, memoryMiB: m.Spec.MemoryMiB, checkpointMiB: sizeOr(m.Spec.CheckpointMiB, m.Spec.MemoryMiB)}
	}
	if a := p.snapshot.Adapters[name]; a != nil {
		return checkpoint{key: key, memoryMiB: a.Spec.MemoryMiB, checkpointMiB: a.Spec.MemoryMiB}
	}
	return checkpoint{key: key}
}
