package api

import "fmt"

// resourceSet indexes resources while they are checked against each other.
type resourceSet struct {
	byKey    map[Key]Resource
	digests  map[string]Key
	problems []Problem
	// before and deleted are set when a patch is checked. Resources that byKey
	// does not contain are then those of before, except deleted.
	before  *Snapshot
	deleted map[Key]bool
}

// Check validates each resource and the relations between them: unique names,
// an adapter's base and limits, and unique API keys. It returns all problems in
// a *DeclarationError.
func Check(resources []Resource) error {
	s := &resourceSet{byKey: map[Key]Resource{}, digests: map[string]Key{}}
	for _, r := range resources {
		s.problems = append(s.problems, checkResource(r)...)
		s.add(r)
	}
	for _, r := range resources {
		s.crossCheck(r)
	}
	return asError(s.problems)
}

func (s *resourceSet) crossCheck(r Resource) {
	switch spec := r.Spec.(type) {
	case *AdapterSpec:
		s.adapter(r, spec)
	case *ClientAccountSpec:
		s.account(r, spec)
	}
}

// model returns a declared model.
func (s *resourceSet) model(name string) (*ModelSpec, bool) {
	key := Key{Kind: KindModel, Name: name}
	if r, ok := s.byKey[key]; ok {
		return r.Spec.(*ModelSpec), true
	}
	if s.before == nil || s.deleted[key] || s.before.Models[name] == nil {
		return nil, false
	}
	return &s.before.Models[name].Spec, true
}

func (s *resourceSet) report(r Resource, path, got, wanted string) {
	s.problems = append(s.problems, r.problem(path, got, wanted))
}

func (s *resourceSet) add(r Resource) {
	if _, duplicate := s.byKey[r.Key()]; duplicate {
		s.report(r, "metadata.name", fmt.Sprintf("%q a second time", r.Metadata.Name), "a name unique within its kind")
		return
	}
	s.byKey[r.Key()] = r
}

func (s *resourceSet) adapter(r Resource, spec *AdapterSpec) {
	// Requests name a model or an adapter in the same field, and the checkpoints
	// of both share the key space "<name>@<version>".
	if _, taken := s.model(r.Metadata.Name); taken {
		s.report(r, "metadata.name", fmt.Sprintf("%q", r.Metadata.Name), "a name that no Model has")
	}
	base, ok := s.model(spec.Base)
	if !ok {
		s.report(r, "spec.base", fmt.Sprintf("%q", spec.Base), "the name of a declared Model")
		return
	}
	limit := base.Replicas.Max
	if spec.Replicas.Max > limit {
		s.report(r, "spec.replicas.max", fmt.Sprint(spec.Replicas.Max),
			fmt.Sprintf("at most the limit of its base %s (%d)", spec.Base, limit))
	}
}

func (s *resourceSet) account(r Resource, spec *ClientAccountSpec) {
	for i, digest := range spec.APIKeySHA256 {
		if owner, taken := s.digests[digest]; taken {
			s.report(r, fmt.Sprintf("spec.apiKeySHA256[%d]", i), "a digest also in "+owner.String(), "a key of one client account, listed once")
			continue
		}
		s.digests[digest] = r.Key()
	}
}
