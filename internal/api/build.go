package api

import "slices"

// Build validates a complete set of resources and returns it as a snapshot with all
// defaults set. The snapshot does not share data with the resources that a later
// Build would modify. Errors are *DeclarationError.
func Build(revision int64, resources []Resource) (*Snapshot, error) {
	if err := Check(resources); err != nil {
		return nil, err
	}
	s := &Snapshot{
		Revision: revision,
		Models:   map[string]*Model{}, Adapters: map[string]*Adapter{},
		Services: map[string]*Service{}, ClientAccounts: map[string]*ClientAccount{},
		Deployment: &DeploymentSpec{},
	}
	for _, r := range resources {
		s.add(r)
	}
	for name := range s.Adapters {
		s.inheritPriority(name)
	}
	defaultDeployment(s.Deployment)
	return s, nil
}

func (s *Snapshot) add(r Resource) {
	name := r.Metadata.Name
	switch spec := r.Spec.(type) {
	case *ModelSpec:
		s.Models[name] = &Model{Metadata: r.Metadata, Spec: *spec}
	case *AdapterSpec:
		s.Adapters[name] = &Adapter{Metadata: r.Metadata, Spec: *spec}
	case *ServiceSpec:
		s.Services[name] = &Service{Metadata: r.Metadata, Spec: *spec}
	case *ClientAccountSpec:
		s.ClientAccounts[name] = &ClientAccount{Metadata: r.Metadata, Spec: *spec}
	case *DeploymentSpec:
		metadata, deployment := r.Metadata, *spec
		s.Deployment, s.DeploymentMetadata = &deployment, &metadata
	}
}

// Size returns the number of declared resources.
func (s *Snapshot) Size() int {
	size := len(s.Models) + len(s.Adapters) + len(s.Services) + len(s.ClientAccounts)
	if s.DeploymentMetadata != nil {
		size++
	}
	return size
}

// Resource returns the resource with a key, or false.
func (s *Snapshot) Resource(key Key) (Resource, bool) {
	r := Resource{APIVersion: Version, Kind: key.Kind}
	switch key.Kind {
	case KindModel:
		if m := s.Models[key.Name]; m != nil {
			r.Metadata, r.Spec = m.Metadata, &m.Spec
		}
	case KindAdapter:
		if a := s.Adapters[key.Name]; a != nil {
			r.Metadata, r.Spec = a.Metadata, &a.Spec
		}
	case KindService:
		if v := s.Services[key.Name]; v != nil {
			r.Metadata, r.Spec = v.Metadata, &v.Spec
		}
	case KindClientAccount:
		if c := s.ClientAccounts[key.Name]; c != nil {
			r.Metadata, r.Spec = c.Metadata, &c.Spec
		}
	case KindDeployment:
		if key.Name == DeploymentName && s.DeploymentMetadata != nil {
			r.Metadata, r.Spec = *s.DeploymentMetadata, s.Deployment
		}
	}
	return r, r.Spec != nil
}

// Names returns the sorted names of the resources of a kind.
func (s *Snapshot) Names(kind Kind) []string {
	switch kind {
	case KindModel:
		return sortedNames(s.Models)
	case KindAdapter:
		return sortedNames(s.Adapters)
	case KindService:
		return sortedNames(s.Services)
	case KindClientAccount:
		return sortedNames(s.ClientAccounts)
	case KindDeployment:
		if s.DeploymentMetadata != nil {
			return []string{DeploymentName}
		}
	}
	return nil
}

// Resources returns the resources of a kind, sorted by name.
func (s *Snapshot) Resources(kind Kind) []Resource {
	resources := []Resource{}
	for _, name := range s.Names(kind) {
		r, _ := s.Resource(Key{Kind: kind, Name: name})
		resources = append(resources, r)
	}
	return resources
}

func sortedNames[T any](resources map[string]T) []string {
	names := make([]string, 0, len(resources))
	for name := range resources {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}
