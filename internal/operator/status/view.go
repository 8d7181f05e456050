// Package status derives the status of resources and daemons from the state of an entry's
// reducer. It performs no I/O.
package status

import (
	"cmp"
	"slices"

	"nutmeglane.example/nutmeglane/internal/core"
	"nutmeglane.example/nutmeglane/internal/core/config"
	"nutmeglane.example/nutmeglane/internal/core/entry"
	"nutmeglane.example/nutmeglane/internal/core/observe"
	"nutmeglane.example/nutmeglane/internal/core/steward"
)

// View is one entry's state of daemons and replicas at one time.
type View struct {
	// Revision is the configuration in force at the entry.
	Revision int64
	// Daemons are the entry itself and all agents known to it, by role and host.
	// Other entries are not included, because entries do not connect to each
	// other.
	Daemons []Daemon
	// Waiting and Requests count callers' requests at the entry.
	Waiting, Requests int
	// KVUp reports whether the KV service responds. Steward is the current steward,
	// which maintains rosters and slot tables.
	KVUp    bool
	Steward string

	slots  map[string][]core.Slot
	agents observe.State
	hosts  map[core.HostID]*Daemon
}

// Daemon is the entry's state of one process.
type Daemon struct {
	Host core.HostID   `json:"host"`
	Role core.HostRole `json:"role"`
	Zone core.Zone     `json:"zone,omitempty"`
	// Service is set for agents of a plain service.
	Service string `json:"service,omitempty"`
	// Up reports whether the entry is connected to the daemon, Usable whether the
	// entry sends new work to it.
	Up      bool `json:"up"`
	Usable  bool `json:"usable"`
	Leaving bool `json:"leaving,omitempty"`
	// Revision is the configuration in force at the daemon; 0 if unknown.
	Revision int64 `json:"revision"`
	Slots    int   `json:"slots"`
	Running  int   `json:"running"`
	Queued   int   `json:"queued"`
	FreeMiB  int64 `json:"freeMiB,omitempty"`
}

// Collect builds a view from the dumps of an entry's parts, which have the names of the
// daemon's blueprint. If a part is missing, as after the end of the event loop, its fields
// of the view stay empty.
func Collect(self core.HostID, dump map[string]any) View {
	configuration, _ := dump["config"].(config.Dump)
	requests, _ := dump["entry"].(entry.State)
	stewardState, _ := dump["steward"].(steward.State)
	agents, _ := dump["observe"].(observe.State)
	v := View{
		Revision: configuration.InForce, Waiting: requests.Waiting, Requests: requests.Requests,
		KVUp: stewardState.KVUp, Steward: stewardState.Steward,
		slots: map[string][]core.Slot{}, agents: agents, hosts: map[core.HostID]*Daemon{},
	}
	for _, slot := range stewardState.Slots {
		v.slots[slot.ID.Model] = append(v.slots[slot.ID.Model], slot)
	}
	v.Daemons = append(v.Daemons, Daemon{
		Host: self, Role: core.RoleEntry, Up: true, Usable: !requests.Stopping, Revision: v.Revision,
	})
	for host, agent := range requests.Agents {
		listed := stewardState.Agents[host]
		if !agent.Up && !listed.Listed {
			continue // reclaimed, or never connected
		}
		v.Daemons = append(v.Daemons, Daemon{
			Host: host, Role: core.RoleBackend, Zone: agent.Zone, Service: agent.Service,
			Up: agent.Up, Usable: agent.Usable, Leaving: listed.Leaving || agents[host].Leaving,
			Revision: configuration.Peers[host], Slots: agent.Slots,
			Running: agent.Running, Queued: agent.Queued, FreeMiB: agents[host].FreeMiB,
		})
	}
	slices.SortFunc(v.Daemons, func(a, b Daemon) int {
		return cmp.Or(-cmp.Compare(a.Role, b.Role), cmp.Compare(a.Host, b.Host))
	})
	for i := range v.Daemons {
		v.hosts[v.Daemons[i].Host] = &v.Daemons[i]
	}
	return v
}

// Rollout is the progress of a revision over the known daemons.
type Rollout struct {
	// Revision is the revision in force at the responding entry.
	Revision int64 `json:"revision"`
	// InForce is the number of the Known daemons that have Revision or a newer one in
	// force.
	InForce int      `json:"inForce"`
	Known   int      `json:"known"`
	Daemons []Daemon `json:"daemons"`
}

// Rollout returns the progress of the entry's revision.
func (v View) Rollout() Rollout {
	return Rollout{Revision: v.Revision, InForce: v.inForce(v.Revision), Known: len(v.Daemons), Daemons: v.Daemons}
}

// inForce returns the number of daemons that have a revision or a newer one in force.
func (v View) inForce(revision int64) int {
	count := 0
	for _, d := range v.Daemons {
		if d.Revision >= revision {
			count++
		}
	}
	return count
}
