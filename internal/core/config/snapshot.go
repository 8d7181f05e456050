package config

import (
	"slices"

	"github.com/cockroachdb/errors"

	"nutmeglane.example/nutmeglane/internal/api"
	"nutmeglane.example/nutmeglane/internal/core"
)

// Errors of a SnapshotBuilder, in addition to those of invalid declarations.
var (
	ErrNoBase  = errors.New("the base revision of the difference is not cached")
	ErrBadSize = errors.New("the patched configuration and its chunks differ in the number of resources")
)

// SnapshotBuilder builds, outside the reducer, the snapshot to put in force from a
// ConfigApplied. It keeps the snapshots that later differences may build on;
// they share unchanged resources. The zero value is ready to use. It is not safe
// for concurrent use.
type SnapshotBuilder struct {
	snapshots []*api.Snapshot // in order of revision
}

// Apply checks a configuration and returns the event that reports it in force.
// On an error the configuration in force stays.
func (k *SnapshotBuilder) Apply(applied core.ConfigApplied) (core.ConfigInForce, error) {
	resources, err := api.DecodeDocument(applied.Document)
	if err != nil {
		return core.ConfigInForce{}, err
	}
	if applied.Base == 0 {
		return k.build(applied, resources)
	}
	k.snapshots = slices.DeleteFunc(k.snapshots, func(s *api.Snapshot) bool { return s.Revision < applied.Base })
	if len(k.snapshots) == 0 || k.snapshots[0].Revision != applied.Base {
		return core.ConfigInForce{}, errors.Wrapf(ErrNoBase, "revision %d", applied.Base)
	}
	return k.patch(applied, resources)
}

func (k *SnapshotBuilder) build(applied core.ConfigApplied, resources []api.Resource) (core.ConfigInForce, error) {
	snapshot, err := api.Build(applied.Revision, resources)
	if err != nil {
		return core.ConfigInForce{}, err
	}
	k.snapshots = []*api.Snapshot{snapshot}
	return core.ConfigInForce{Snapshot: snapshot}, nil
}

// patch applies a difference to its base.
//
// The size is compared because a chunk that a faulty process wrote may hold one
// resource twice. Processes that build the whole configuration reject it, and
// processes that patch would have it in force. A second copy adds a line but no
// resource.
func (k *SnapshotBuilder) patch(applied core.ConfigApplied, resources []api.Resource) (core.ConfigInForce, error) {
	base := k.snapshots[0]
	snapshot, err := base.Patch(applied.Revision, resources, applied.Deleted)
	if err != nil {
		return core.ConfigInForce{}, err
	}
	if snapshot.Size() != applied.Size {
		return core.ConfigInForce{}, errors.Wrapf(ErrBadSize, "%d resources, wanted %d", snapshot.Size(), applied.Size)
	}
	inForce := core.ConfigInForce{Snapshot: snapshot}
	if len(k.snapshots) == 1 { // the base is in force
		inForce.Changed = changedKeys(base, resources, applied.Deleted)
	}
	k.snapshots = append(k.snapshots, snapshot)
	return inForce, nil
}

// changedKeys returns the keys that a patch changes, and the adapters of changed
// models, which may inherit from them.
func changedKeys(base *api.Snapshot, put []api.Resource, deleted []api.Key) []api.Key {
	keys, models := slices.Clone(deleted), map[string]bool{}
	for _, r := range put {
		keys = append(keys, r.Key())
		if r.Kind == api.KindModel {
			models[r.Metadata.Name] = true
		}
	}
	if len(models) > 0 {
		for name, adapter := range base.Adapters {
			if models[adapter.Spec.Base] {
				keys = append(keys, api.Key{Kind: api.KindAdapter, Name: name})
			}
		}
	}
	slices.SortFunc(keys, api.Key.Compare)
	return slices.Compact(keys)
}
