package status

import (
	"fmt"
	"slices"

	"nutmeglane.example/nutmeglane/internal/api"
	"nutmeglane.example/nutmeglane/internal/core"
)

// Status is the status of one resource.
type Status struct {
	// ObservedGeneration is the generation in force at the responding entry. The
	// condition InForce reports whether it is in force at all daemons.
	ObservedGeneration int64       `json:"observedGeneration"`
	Conditions         []Condition `json:"conditions"`
	// Replicas are the replicas of a model or adapter, one per slot with an owner.
	Replicas []Replica `json:"replicas,omitempty"`
}

// ConditionStatus is the value of a condition.
type ConditionStatus string

// The values of a condition.
const (
	True    ConditionStatus = "True"
	False   ConditionStatus = "False"
	Unknown ConditionStatus = "Unknown"
)

// The condition types.
const (
	// InForce: every known daemon has the resource's last change in force.
	InForce = "InForce"
	// Placed: every slot has an owner (models and adapters).
	Placed = "Placed"
	// Available: a request can be served, if necessary after a cold start.
	Available = "Available"
	// Loaded: a replica is loaded (models and adapters).
	Loaded = "Loaded"
)

// Condition is one aspect of a resource's state. It has no time of the last change,
// because the status is derived from the current state alone.
type Condition struct {
	Type    string          `json:"type"`
	Status  ConditionStatus `json:"status"`
	Reason  string          `json:"reason"`
	Message string          `json:"message"`
}

// ReplicaState is the state of a replica.
type ReplicaState string

// The replica states.
const (
	Unloaded  ReplicaState = "unloaded"
	Loading   ReplicaState = "loading"
	IsLoaded  ReplicaState = "loaded"
	Unloading ReplicaState = "unloading"
	// Releasing: the slot is about to move to another owner.
	Releasing ReplicaState = "releasing"
	// NotKnown: the owner can't be reached, or has not yet reported the slot with
	// its current generation.
	NotKnown ReplicaState = "unknown"
)

// Replica is one copy of a model or adapter under the owner of its slot.
type Replica struct {
	Slot       uint16       `json:"slot"`
	Host       core.HostID  `json:"host"`
	Generation uint64       `json:"generation"`
	State      ReplicaState `json:"state"`
	// Running and Queued count the requests for the base model and all its adapters
	// at this replica.
	Running int `json:"running"`
	Queued  int `json:"queued"`
}

// StatusOf returns the status of a resource of a snapshot.
func (v View) StatusOf(s *api.Snapshot, r api.Resource) Status {
	result := Status{
		ObservedGeneration: r.Metadata.Generation,
		Conditions:         []Condition{v.inForceCondition(r.Metadata.ResourceVersion)},
	}
	switch spec := r.Spec.(type) {
	case *api.ModelSpec:
		result.Replicas = v.modelReplicas(r.Metadata.Name)
		v.addReplicas(&result, spec.Replicas.Max)
	case *api.AdapterSpec:
		result.Replicas = v.adapterReplicas(r.Metadata.Name, spec)
		if v.adaptersMoving(spec.Base) {
			result.Conditions = append(result.Conditions, adaptersMovingConditions()...)
			break
		}
		v.addReplicas(&result, spec.Replicas.Max)
	case *api.ServiceSpec:
		result.Conditions = append(result.Conditions, v.serviceCondition(r.Metadata.Name))
	}
	return result
}

func (v View) inForceCondition(version int64) Condition {
	count, known := v.inForce(version), len(v.Daemons)
	message := fmt.Sprintf("%d of %d known daemons have revision %d in force", count, known, version)
	if count < known {
		return Condition{InForce, False, "SomeDaemonsBehind", message}
	}
	return Condition{InForce, True, "AllDaemons", message}
}

// modelReplicas returns a model's replicas, sorted by slot index.
func (v View) modelReplicas(model string) []Replica {
	var replicas []Replica
	for _, slot := range v.slots[model] {
		replica := Replica{Slot: slot.ID.Index, Host: slot.Owner, Generation: slot.Generation, State: Releasing}
		load, reported := v.load(slot)
		if reported {
			replica.Running, replica.Queued = load.Running, load.Queued
		}
		if slot.State == core.SlotOwned {
			replica.State = stateOf(load, reported)
		}
		replicas = append(replicas, replica)
	}
	slices.SortFunc(replicas, func(a, b Replica) int { return int(a.Slot) - int(b.Slot) })
	return replicas
}

// load returns the owner's last report on a slot, or false if there is none for its
// generation.
func (v View) load(slot core.Slot) (core.SlotLoad, bool) {
	for _, load := range v.agents[slot.Owner].Slots {
		if load.Slot == slot.ID && load.Generation == slot.Generation {
			return load, true
		}
	}
	return core.SlotLoad{}, false
}

func stateOf(load core.SlotLoad, reported bool) ReplicaState {
	if !reported {
		return NotKnown
	}
	switch load.State {
	case core.Unloaded:
		return Unloaded
	case core.Loading:
		return Loading
	case core.Loaded:
		return IsLoaded
	case core.Unloading:
		return Unloading
	}
	return NotKnown
}

func (v View) addReplicas(s *Status, limit int) {
	s.Conditions = append(s.Conditions, placed(s.Replicas, limit), v.available(s.Replicas), loaded(s.Replicas))
}

func placed(replicas []Replica, limit int) Condition {
	message := fmt.Sprintf("%d of %d slots have an owner", len(replicas), limit)
	switch {
	case len(replicas) < limit:
		return Condition{Placed, False, "TooFewOwners", message + "; the steward waits out its grace after a start or an outage, or no host has the memory free"}
	case len(replicas) > limit:
		return Condition{Placed, False, "ReleasingSlots", message + "; the surplus is being released"}
	}
	return Condition{Placed, True, "AllSlots", message}
}

func (v View) available(replicas []Replica) Condition {
	usable := 0
	for _, replica := range replicas {
		if d := v.hosts[replica.Host]; d != nil && d.Usable && replica.State != Releasing {
			usable++
		}
	}
	message := fmt.Sprintf("%d of %d owners take requests", usable, len(replicas))
	switch {
	case len(replicas) == 0:
		return Condition{Available, False, "NoOwner", "no slot has an owner"}
	case usable == 0:
		return Condition{Available, False, "OwnersUnreachable", message}
	}
	return Condition{Available, True, "OwnerTakesRequests", message}
}

func loaded(replicas []Replica) Condition {
	counts := map[ReplicaState]int{}
	for _, replica := range replicas {
		counts[replica.State]++
	}
	message := fmt.Sprintf("%d of %d replicas are loaded", counts[IsLoaded], len(replicas))
	switch {
	case counts[IsLoaded] > 0:
		return Condition{Loaded, True, "ReplicaLoaded", message}
	case len(replicas) == 0:
		return Condition{Loaded, False, "NoOwner", "no slot has an owner that could load it"}
	case counts[Loading] > 0:
		return Condition{Loaded, False, "ReplicaLoading", fmt.Sprintf("%d replicas are loading", counts[Loading])}
	case counts[NotKnown] == len(replicas):
		return Condition{Loaded, Unknown, "OwnersUnreachable", "no owner has reported its slot"}
	case counts[Unloaded] > 0:
		return Condition{Loaded, False, "Idle", message + "; the next request loads one"}
	}
	return Condition{Loaded, False, "SlotsMoving", message}
}

func (v View) serviceCondition(service string) Condition {
	known, usable := 0, 0
	for _, d := range v.Daemons {
		if d.Service != service {
			continue
		}
		known++
		if d.Usable {
			usable++
		}
	}
	message := fmt.Sprintf("%d of %d backend servers take requests", usable, known)
	switch connected := v.connected(service); {
	case known == 0 && connected > 0:
		return Condition{Available, False, "BackendsNotRostered",
			fmt.Sprintf("%d backend servers of the service are connected, but in no roster yet; the steward adds them once they have reported to it", connected)}
	case known == 0:
		return Condition{Available, False, "NoBackend", "no backend server of the service is known"}
	case usable == 0:
		return Condition{Available, False, "BackendsUnreachable", message}
	}
	return Condition{Available, True, "BackendTakesRequests", message}
}

// connected returns the number of connected agents that run a service, whether or not a
// roster lists them. Requests are sent only to agents of a roster.
func (v View) connected(service string) int {
	count := 0
	for _, agent := range v.agents {
		if agent.Service == service {
			count++
		}
	}
	return count
}
