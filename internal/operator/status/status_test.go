package status

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"nutmeglane.example/nutmeglane/internal/api"
	"nutmeglane.example/nutmeglane/internal/core"
	"nutmeglane.example/nutmeglane/internal/core/config"
	"nutmeglane.example/nutmeglane/internal/core/entry"
	"nutmeglane.example/nutmeglane/internal/core/observe"
	"nutmeglane.example/nutmeglane/internal/core/steward"
)

// dump returns an entry's state with one model that has slots on hosts a and b; b is
// disconnected. The owners' reports pass through the observe part.
func dump(loads ...core.SlotLoad) map[string]any {
	part := observe.New()
	part.Step(0, core.PeerUp{Peer: "a"})
	part.Step(0, core.Received{From: "a", Message: core.Status{Sequence: 2, Slots: loads}})
	part.Step(0, core.Received{From: "a", Message: core.Status{Sequence: 1}}) // late: ignored
	return map[string]any{
		"config":  config.Dump{InForce: 7, Peers: map[core.HostID]int64{"a": 7, "b": 6}},
		"observe": part.Dump(),
		"entry": entry.State{Waiting: 3, Agents: map[core.HostID]entry.AgentState{
			"a": {Up: true, Usable: true}, "b": {}, "gone": {},
		}},
		"steward": steward.State{
			Agents: map[core.HostID]steward.AgentState{"a": {Listed: true}, "b": {Listed: true}},
			Slots: []core.Slot{
				{ID: core.SlotID{Model: "m", Index: 1}, Owner: "b", Generation: 4, State: core.SlotOwned, AdapterMax: 2},
				{ID: core.SlotID{Model: "m", Index: 0}, Owner: "a", Generation: 3, State: core.SlotOwned, AdapterMax: 2},
			},
		},
	}
}

func snapshot(t *testing.T) *api.Snapshot {
	s, err := api.Build(7, []api.Resource{
		{APIVersion: api.Version, Kind: api.KindModel, Metadata: api.Metadata{Name: "m", Generation: 5, ResourceVersion: 7},
			Spec: &api.ModelSpec{Version: "1", MemoryMiB: 1, CheckpointMiB: 1, MaxConcurrent: 1, Replicas: api.ReplicaLimits{Max: 2}}},
		{APIVersion: api.Version, Kind: api.KindAdapter, Metadata: api.Metadata{Name: "x", ResourceVersion: 6},
			Spec: &api.AdapterSpec{Base: "m", Version: "1", MemoryMiB: 1, Replicas: api.ReplicaLimits{Max: 2}}},
		{APIVersion: api.Version, Kind: api.KindService, Metadata: api.Metadata{Name: "akte"},
			Spec: &api.ServiceSpec{MaxConcurrent: 1}},
	})
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func reasons(s Status) map[string]string {
	got := map[string]string{}
	for _, c := range s.Conditions {
		got[c.Type] = string(c.Status) + " " + c.Reason
	}
	return got
}

func TestStatus(t *testing.T) {
	slot := core.SlotID{Model: "m", Index: 0}
	s := snapshot(t)
	of := func(kind api.Kind, name string, loads ...core.SlotLoad) Status {
		r, _ := s.Resource(api.Key{Kind: kind, Name: name})
		return Collect("entry-1", dump(loads...)).StatusOf(s, r)
	}
	loaded := core.SlotLoad{Slot: slot, Generation: 3, State: core.Loaded, Running: 2, Queued: 1}
	got := of(api.KindModel, "m", loaded)
	want := []Replica{
		{Slot: 0, Host: "a", Generation: 3, State: IsLoaded, Running: 2, Queued: 1},
		{Slot: 1, Host: "b", Generation: 4, State: NotKnown},
	}
	if diff := cmp.Diff(want, got.Replicas); diff != "" || got.ObservedGeneration != 5 {
		t.Errorf("generation %d, replicas (-want +got):\n%s", got.ObservedGeneration, diff)
	}
	stale := loaded
	stale.Generation = 2
	withAdapter := loaded
	withAdapter.Adapters = []string{"x"}
	placed := func(loaded string) map[string]string {
		return map[string]string{InForce: "False SomeDaemonsBehind", Placed: "True AllSlots", Available: "True OwnerTakesRequests", Loaded: loaded}
	}
	adapter := placed("False Idle")
	adapter[InForce] = "True AllDaemons"
	adapterLoaded := placed("True ReplicaLoaded")
	adapterLoaded[InForce] = "True AllDaemons"
	for name, test := range map[string]struct {
		got  Status
		want map[string]string
	}{
		"loaded":               {got, placed("True ReplicaLoaded")},
		"idle":                 {of(api.KindModel, "m", core.SlotLoad{Slot: slot, Generation: 3}), placed("False Idle")},
		"loading":              {of(api.KindModel, "m", core.SlotLoad{Slot: slot, Generation: 3, State: core.Loading}), placed("False ReplicaLoading")},
		"of an old generation": {of(api.KindModel, "m", stale), placed("Unknown OwnersUnreachable")},
		"adapter not on base":  {of(api.KindAdapter, "x", loaded), adapter},
		"adapter loaded":       {of(api.KindAdapter, "x", withAdapter), adapterLoaded},
		"service with no host": {of(api.KindService, "akte"), map[string]string{InForce: "True AllDaemons", Available: "False NoBackend"}},
		"after the loop's end": {Collect("entry-1", nil).StatusOf(s, api.Resource{Spec: &api.ModelSpec{Replicas: api.ReplicaLimits{Max: 1}}}), map[string]string{InForce: "True AllDaemons", Placed: "False TooFewOwners", Available: "False NoOwner", Loaded: "False NoOwner"}},
	} {
		if diff := cmp.Diff(test.want, reasons(test.got)); diff != "" {
			t.Errorf("%s (-want +got):\n%s", name, diff)
		}
	}
	rollout := Collect("entry-1", dump()).Rollout()
	if rollout.InForce != 2 || rollout.Known != 3 || rollout.Daemons[0].Host != "entry-1" {
		t.Errorf("rollout %+v", rollout)
	}
}

// Guards against telling operators that no backend server of a service is known while its agent
// has connected and only the steward's roster, by which requests are sent, does not list it yet.
func TestServiceWhoseAgentIsInNoRosterYet(t *testing.T) {
	s := snapshot(t)
	r, _ := s.Resource(api.Key{Kind: api.KindService, Name: "akte"})
	agents := observe.New()
	agents.Step(0, core.PeerUp{Peer: "c"})
	agents.Step(0, core.Received{From: "c", Message: core.Welcome{Host: "c", Kind: core.BackendService, Service: "akte"}})
	state := dump()
	state["observe"] = agents.Dump()
	for rostered, want := range map[string]string{"": "False BackendsNotRostered", "akte": "True BackendTakesRequests"} {
		state["entry"] = entry.State{Agents: map[core.HostID]entry.AgentState{"c": {Up: true, Usable: true, Service: rostered}}}
		if got := reasons(Collect("entry-1", state).StatusOf(s, r))[Available]; got != want {
			t.Errorf("service %q by the roster: %q, want %q", rostered, got, want)
		}
	}
}
