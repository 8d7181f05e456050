package status

import (
	"slices"

	"nutmeglane.example/nutmeglane/internal/api"
	"nutmeglane.example/nutmeglane/internal/core"
)

// adapterMax returns the number of slots over which the base's adapters are hashed. It is
// 0 while the adapters are being moved or the base has no slots.
func (v View) adapterMax(base string) int {
	most := 0
	for _, slot := range v.slots[base] {
		most = max(most, int(slot.AdapterMax))
	}
	return most
}

// adaptersMoving reports whether the base's adapters are being unloaded because its limit
// changed.
func (v View) adaptersMoving(base string) bool {
	return len(v.slots[base]) > 0 && v.adapterMax(base) == 0
}

// adaptersMovingConditions returns the conditions of an adapter that may not be loaded on
// any slot yet.
func adaptersMovingConditions() []Condition {
	const reason = "AdaptersMoving"
	const message = "the limit of the base model changed; its adapters are loaded again once every owner has unloaded them"
	return []Condition{
		{Placed, False, reason, message}, {Available, False, reason, message}, {Loaded, False, reason, message},
	}
}

// adapterReplicas returns the replicas of the base on whose slots the adapter may be loaded.
func (v View) adapterReplicas(adapter string, spec *api.AdapterSpec) []Replica {
	allowed := core.AdapterSlots(adapter, spec.Replicas.Max, v.adapterMax(spec.Base))
	var replicas []Replica
	for _, replica := range v.modelReplicas(spec.Base) {
		if !slices.Contains(allowed, replica.Slot) {
			continue
		}
		if replica.State == IsLoaded && !v.hasAdapter(spec.Base, replica, adapter) {
			replica.State = Unloaded
		}
		replicas = append(replicas, replica)
	}
	return replicas
}

// hasAdapter reports whether an adapter is loaded on a replica of its base.
func (v View) hasAdapter(base string, replica Replica, adapter string) bool {
	id := core.SlotID{Model: base, Index: replica.Slot}
	load, _ := v.load(core.Slot{ID: id, Owner: replica.Host, Generation: replica.Generation})
	return slices.Contains(load.Adapters, adapter)
}
