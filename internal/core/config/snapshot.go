package config

import (
	"slices"

	"github.com/cockroachdb/errors"

	"nutmeglane.example/nutmeglane/internal/api"
	"nutmeglane.example/nutmeglane/internal/core"
)

// Errors of a SnapshotBuilder, besides those of the declarations.
var (
	ErrNoBase  = errors.New("the revision that a difference builds on is not kept")
	ErrBadSize = errors.New("a patched configuration has another number of resources than its chunks")
)

// SnapshotBuilder is the shell's side of the part: it turns ConfigApplied into the
// snapshot to put in force. It keeps the snapshots that the part may still
// send a difference to; they share what did not change. The zero SnapshotBuilder is
// ready. One goroutine uses it.
type SnapshotBuilder struct {
	kept []*api.Snapshot // by revision
}

// Apply checks a configuration and returns the event that reports it in force.
// After an error what was in force stays.
func (k *SnapshotBuilder) Apply(applied core.ConfigApplied) (core.ConfigInForce, error) {
	resources, err := api.DecodeDocument(applied.Document)
	if err != nil {
		return core.ConfigInForce{}, err
	}
	if applied.Base == 0 {
		return k.whole(applied, resources)
	}
	k.kept = slices.DeleteFunc(k.kept, func(s *api.Snapshot) bool { return s.Revision < applied.Base })
	if len(k.kept) == 0 || k.kept[0].Revision != applied.Base {
		return core.ConfigInForce{}, errors.Wrapf(ErrNoBase, "revision %d", applied.Base)
	}
	return k.patch(applied, resources)
}

func (k *SnapshotBuilder) whole(applied core.ConfigApplied, resources []api.Resource) (core.ConfigInForce, error) {
	snapshot, err := api.Build(applied.Revision, resources)
	if err != nil {
		return core.ConfigInForce{}, err
	}
	k.kept = []*api.Snapshot{snapshot}
	return core.ConfigInForce{Snapshot: snapshot}, nil
}

// patch builds on the base.
//
// Failure guarded against by the size: a chunk, written by a faulty process,
// that holds one resource twice would show as daemons which patched having
// another configuration in force than daemons which built it whole and refused
// it. A second copy adds a line but no resource.
func (k *SnapshotBuilder) patch(applied core.ConfigApplied, resources []api.Resource) (core.ConfigInForce, error) {
	base := k.kept[0]
	snapshot, err := base.Patch(applied.Revision, resources, applied.Deleted)
	if err != nil {
		return core.ConfigInForce{}, err
	}
	if snapshot.Size() != applied.Size {
		return core.ConfigInForce{}, errors.Wrapf(ErrBadSize, "%d for %d", snapshot.Size(), applied.Size)
	}
	inForce := core.ConfigInForce{Snapshot: snapshot}
	if len(k.kept) == 1 { // the base is what is in force
		inForce.Changed = changedKeys(base, resources, applied.Deleted)
	}
	k.kept = append(k.kept, snapshot)
	return inForce, nil
}

// changedKeys lists what a patch changes, with the adapters of changed models,
// which may inherit from them.
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
