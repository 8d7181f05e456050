package api

import (
	"maps"
	"slices"
)

// Patch returns a copy of s with the resources in put added or replaced and those in
// deleted removed. The result equals that of Build from all resources, but the cost
// is proportional to the change: unchanged resources are shared with s, and for
// changed kinds only the map is copied. Errors are *DeclarationError.
func (s *Snapshot) Patch(revision int64, put []Resource, deleted []Key) (*Snapshot, error) {
	if err := s.CheckPatch(put, deleted); err != nil {
		return nil, err
	}
	next := *s
	next.Revision = revision
	next.cloneChangedMaps(put, deleted)
	for _, key := range deleted {
		next.remove(key)
	}
	for _, r := range put {
		next.add(r)
	}
	next.inheritPriorities(s, put)
	defaultDeployment(next.Deployment)
	return &next, nil
}

// cloneChangedMaps copies the maps of the kinds that a patch changes.
func (s *Snapshot) cloneChangedMaps(put []Resource, deleted []Key) {
	changed := map[Kind]bool{}
	for _, r := range put {
		changed[r.Kind] = true
		// A change of a base model may change the default priority of its adapters.
		changed[KindAdapter] = changed[KindAdapter] || r.Kind == KindModel
	}
	for _, key := range deleted {
		changed[key.Kind] = true
	}
	if changed[KindModel] {
		s.Models = maps.Clone(s.Models)
	}
	if changed[KindAdapter] {
		s.Adapters = maps.Clone(s.Adapters)
	}
	if changed[KindService] {
		s.Services = maps.Clone(s.Services)
	}
	if changed[KindClientAccount] {
		s.ClientAccounts = maps.Clone(s.ClientAccounts)
	}
}

func (s *Snapshot) remove(key Key) {
	switch key.Kind {
	case KindModel:
		delete(s.Models, key.Name)
	case KindAdapter:
		delete(s.Adapters, key.Name)
	case KindService:
		delete(s.Services, key.Name)
	case KindClientAccount:
		delete(s.ClientAccounts, key.Name)
	case KindDeployment:
		s.Deployment, s.DeploymentMetadata = &DeploymentSpec{}, nil
	}
}

// inheritPriorities sets the priority of adapters that declare none to that of their
// base, after a patch of the snapshot before.
func (s *Snapshot) inheritPriorities(before *Snapshot, put []Resource) {
	priorityChanged := map[string]bool{}
	for _, r := range put {
		switch spec := r.Spec.(type) {
		case *AdapterSpec:
			s.inheritPriority(r.Metadata.Name)
		case *ModelSpec:
			if old := before.Models[r.Metadata.Name]; old != nil && old.Spec.Priority != spec.Priority {
				priorityChanged[r.Metadata.Name] = true
			}
		}
	}
	if len(priorityChanged) == 0 {
		return
	}
	for name, adapter := range s.Adapters {
		if adapter.InheritsPriority && priorityChanged[adapter.Spec.Base] {
			updated := *adapter
			updated.Spec.Priority = ""
			s.Adapters[name] = &updated
			s.inheritPriority(name)
		}
	}
}

func (s *Snapshot) inheritPriority(name string) {
	adapter := s.Adapters[name]
	if adapter.Spec.Priority == "" {
		adapter.InheritsPriority = true
		adapter.Spec.Priority = s.Models[adapter.Spec.Base].Spec.Priority
	}
}

// CheckPatch returns the problems that Check would find in all resources after a
// patch, provided that s has none. Only what the patch can invalidate is checked:
// the resources in put, adapters of a changed base or with the name of a changed
// model, and, if a client account changed, the keys of all client accounts.
func (s *Snapshot) CheckPatch(put []Resource, deleted []Key) error {
	after := &resourceSet{byKey: map[Key]Resource{}, digests: map[string]Key{}, before: s, deleted: map[Key]bool{}}
	for _, key := range deleted {
		after.deleted[key] = true
	}
	put = slices.Clone(put)
	slices.SortFunc(put, func(a, b Resource) int { return a.Key().Compare(b.Key()) })
	for _, r := range put {
		after.problems = append(after.problems, checkResource(r)...)
		after.add(r)
	}
	for _, r := range after.affected(put, deleted) {
		after.crossCheck(r)
	}
	return asError(after.problems)
}

// affected returns the resources for which a patch may change the result of
// crossCheck, sorted by kind and name, the order in which Check receives them.
func (s *resourceSet) affected(put []Resource, deleted []Key) []Resource {
	models, accounts := map[string]bool{}, false
	markChanged := func(key Key) {
		if key.Kind == KindModel {
			models[key.Name] = true
		}
		accounts = accounts || key.Kind == KindClientAccount
	}
	for _, r := range put {
		markChanged(r.Key())
	}
	for _, key := range deleted {
		markChanged(key)
	}
	resources := slices.Clone(put)
	addUnpatched := func(key Key) {
		if _, isPut := s.byKey[key]; isPut || s.deleted[key] {
			return
		}
		r, _ := s.before.Resource(key)
		resources = append(resources, r)
	}
	if len(models) > 0 {
		for name, adapter := range s.before.Adapters {
			if models[name] || models[adapter.Spec.Base] {
				addUnpatched(Key{Kind: KindAdapter, Name: name})
			}
		}
	}
	if accounts {
		for name := range s.before.ClientAccounts {
			addUnpatched(Key{Kind: KindClientAccount, Name: name})
		}
	}
	slices.SortStableFunc(resources, func(a, b Resource) int { return a.Key().Compare(b.Key()) })
	return resources
}
