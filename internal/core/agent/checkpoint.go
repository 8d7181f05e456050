package agent

import (
	"slices"

	"nutmeglane.example/nutmeglane/internal/api"
	"nutmeglane.example/nutmeglane/internal/core"
)

// checkpoint is what the configuration in force requires to be loaded for a
// target. The zero value means that the target is not declared.
type checkpoint struct {
	key           string
	base          string
	memoryMiB     int64
	checkpointMiB int64
}

func keyOf(name, version string) string { return name + "@" + version }

// checkpointOf returns the checkpoint that the configuration in force declares
// for a target.
func (p *Part) checkpointOf(t *target) checkpoint {
	if p.snapshot == nil || t.slot.service {
		return checkpoint{}
	}
	model := p.snapshot.Models[t.slot.id.Model]
	if model == nil {
		return checkpoint{}
	}
	baseKey := keyOf(t.slot.id.Model, model.Spec.Version)
	if !t.adapter {
		return checkpoint{
			key: baseKey, memoryMiB: model.Spec.MemoryMiB,
			checkpointMiB: sizeOr(model.Spec.CheckpointMiB, model.Spec.MemoryMiB),
		}
	}
	adapter := p.snapshot.Adapters[t.name]
	if adapter == nil || adapter.Spec.Base != t.slot.id.Model {
		return checkpoint{}
	}
	return checkpoint{
		key: keyOf(t.name, adapter.Spec.Version), base: baseKey,
		memoryMiB: adapter.Spec.MemoryMiB, checkpointMiB: adapter.Spec.MemoryMiB,
	}
}

func sizeOr(size, fallback int64) int64 {
	if size > 0 {
		return size
	}
	return fallback
}

// placed reports whether an adapter belongs on a slot when the adapter has
// count replicas.
func (p *Part) placed(adapter *api.Adapter, s *slot, count int) bool {
	if s.layout.max == 0 || adapter.Spec.Base != s.id.Model || p.snapshot.Models[s.id.Model] == nil {
		return false
	}
	indexes := core.AdapterSlots(adapter.Metadata.Name, count, int(s.layout.max))
	return slices.Contains(indexes, s.id.Index)
}

// findPinned sets the adapters that are kept loaded on the slot because of
// their Replicas.Min.
func (p *Part) findPinned(s *slot) {
	s.pinned = nil
	for _, name := range p.minAdapters[s.id.Model] {
		adapter := p.snapshot.Adapters[name]
		if p.placed(adapter, s, adapter.Spec.Replicas.Min) {
			s.pinned = append(s.pinned, name)
			p.adapterTarget(s, name)
		}
	}
}

// findMisplaced marks the adapters that a change of the configuration or of the
// slot table moved off the slot. A marked adapter is refused, drained and
// unloaded like an old version. Without this, after an operator lowers the
// replica limit of an adapter, the owner of the removed replica would go on
// serving it, and more replicas than configured would stay loaded until the
// idle policy unloads them.
func (p *Part) findMisplaced(s *slot) {
	for _, t := range s.targets[1:] {
		adapter := p.snapshot.Adapters[t.name]
		t.misplaced = adapter != nil && !p.placed(adapter, s, adapter.Spec.Replicas.Max)
	}
}

// pinned reports whether a target is kept loaded while idle.
func (p *Part) pinned(t *target) bool {
	if p.snapshot == nil {
		return false
	}
	if t.adapter {
		return slices.Contains(t.slot.pinned, t.name)
	}
	model := p.snapshot.Models[t.name]
	needed := len(t.slot.pinned) > 0
	return needed || model != nil && int(t.slot.id.Index) < model.Spec.Replicas.Min
}

// configure applies a new configuration. A revision that is not newer than the
// current one is ignored.
func (p *Part) configure(snapshot *api.Snapshot, changed []api.Key) {
	if p.snapshot != nil && snapshot.Revision <= p.snapshot.Revision {
		return
	}
	before := p.snapshot
	p.snapshot = snapshot
	p.updatePrices()
	if before == nil || changed == nil {
		p.minAdapters = buildMinAdapters(snapshot)
	} else {
		p.updateMinAdapters(before, changed)
	}
	for _, s := range p.sortedSlots {
		p.findPinned(s)
		p.findMisplaced(s)
	}
	p.foreignDirty = true
	p.markAllDirty()
	p.updateReady()
}

// concurrency returns how many requests a replica runs at the same time.
func (p *Part) concurrency(s *slot) int {
	if p.snapshot == nil {
		return 1
	}
	if s.service {
		if spec := p.snapshot.Services[p.cfg.Service]; spec != nil && spec.Spec.MaxConcurrent > 0 {
			return spec.Spec.MaxConcurrent
		}
		return defaultServiceConcurrency
	}
	if model := p.snapshot.Models[s.id.Model]; model != nil && model.Spec.MaxConcurrent > 0 {
		return model.Spec.MaxConcurrent
	}
	return defaultModelConcurrency
}

// accountWeight returns the client account's share of capacity under overload.
func (p *Part) accountWeight(name string) int64 {
	if account := p.snapshot.ClientAccounts[name]; account != nil && account.Spec.Weight > 0 {
		return int64(account.Spec.Weight)
	}
	return 1
}
