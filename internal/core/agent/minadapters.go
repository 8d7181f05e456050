package agent

import (
	"slices"

	"nutmeglane.example/nutmeglane/internal/api"
	"nutmeglane.example/nutmeglane/internal/core"
)

// buildMinAdapters returns, by base model, the sorted names of the adapters
// that are kept loaded even when idle.
func buildMinAdapters(snapshot *api.Snapshot) map[string][]string {
	kept := map[string][]string{}
	for _, name := range core.SortedKeys(snapshot.Adapters) {
		if adapter := snapshot.Adapters[name]; adapter.Spec.Replicas.Min > 0 {
			kept[adapter.Spec.Base] = append(kept[adapter.Spec.Base], name)
		}
	}
	return kept
}

// updateMinAdapters updates minAdapters after a change of the configuration
// from before to the snapshot in force, which differ only in the changed
// resources.
func (p *Part) updateMinAdapters(before *api.Snapshot, changed []api.Key) {
	for _, key := range changed {
		if key.Kind != api.KindAdapter {
			continue
		}
		if old := before.Adapters[key.Name]; old != nil && old.Spec.Replicas.Min > 0 {
			names := p.minAdapters[old.Spec.Base]
			p.minAdapters[old.Spec.Base] = slices.DeleteFunc(names, func(name string) bool { return name == key.Name })
		}
		if now := p.snapshot.Adapters[key.Name]; now != nil && now.Spec.Replicas.Min > 0 {
			names := p.minAdapters[now.Spec.Base]
			at, _ := slices.BinarySearch(names, key.Name)
			p.minAdapters[now.Spec.Base] = slices.Insert(names, at, key.Name)
		}
	}
}
