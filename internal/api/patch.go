package api

import (
	"maps"
	"slices"
)

// Patch returns the snapshot that differs from s by the resources put and the
// keys deleted. It is equal to one that Build makes from all resources, but
// costs in proportion to the change: what did not change is shared with s, and
// of the kinds that did change only the map is copied. Errors are
// *DeclarationError.
func (s *Snapshot) Patch(revision int64, put []Resource, deleted []Key) (*Snapshot, error) {
	if err := s.CheckPatch(put, deleted); err != nil {
		return nil, err
	}
	next := *s
	next.Revision = revision
	next.ownMaps(put, deleted)
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

// ownMaps copies the maps of the kinds that a patch changes.
func (s *Snapshot) ownMaps(put []Resource, deleted []Key) {
	changed := map[Kind]bool{}
	for _, r := range put {
		changed[r.Kind] = true
		// A changed base may change its adapters' default priority.
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

// inheritPriorities gives adapters that declare no priority that of their
// base, after a patch of before.
func (s *Snapshot) inheritPriorities(before *Snapshot, put []Resource) {
	moved := map[string]bool{}
	for _, r := range put {
		switch spec := r.Spec.(type) {
		case *AdapterSpec:
			s.inheritPriority(r.Metadata.Name)
		case *ModelSpec:
			if old := before.Models[r.Metadata.Name]; old != nil && old.Spec.Priority != spec.Priority {
				moved[r.Metadata.Name] = true
			}
		}
	}
	if len(moved) == 0 {
		return
	}
	for name, adapter := range s.Adapters {
		if adapter.InheritsPriority && moved[adapter.Spec.Base] {
			own := *adapter
			own.Spec.Priority = ""
			s.Adapters[name] = &own
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

// CheckPatch finds the problems that Check would find in all resources after a
// patch, if it finds none in s. Only what the patch can break is looked at:
// the resources put, adapters of a changed base or with a changed model's
// name, and, if a client account changed, the keys of all client accounts.
func (s *Snapshot) CheckPatch(put []Resource, deleted []Key) error {
	after := &set{byKey: map[Key]Resource{}, digests: map[string]Key{}, before: s, deleted: map[Key]bool{}}
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

// affected lists the resources whose cross-checks a patch may have changed, by
// kind and name, as Check is given them.
func (s *set) affected(put []Resource, deleted []Key) []Resource {
	models, accounts := map[string]bool{}, false
	touch := func(key Key) {
		if key.Kind == KindModel {
			models[key.Name] = true
		}
		accounts = accounts || key.Kind == KindClientAccount
	}
	for _, r := range put {
		touch(r.Key())
	}
	for _, key := range deleted {
		touch(key)
	}
	resources := slices.Clone(put)
	keep := func(key Key) {
		if _, isPut := s.byKey[key]; isPut || s.deleted[key] {
			return
		}
		r, _ := s.before.Resource(key)
		resources = append(resources, r)
	}
	if len(models) > 0 {
		for name, adapter := range s.before.Adapters {
			if models[name] || models[adapter.Spec.Base] {
				keep(Key{Kind: KindAdapter, Name: name})
			}
		}
	}
	if accounts {
		for name := range s.before.ClientAccounts {
			keep(Key{Kind: KindClientAccount, Name: name})
		}
	}
	slices.SortStableFunc(resources, func(a, b Resource) int { return a.Key().Compare(b.Key()) })
	return resources
}
