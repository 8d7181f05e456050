package entry

import (
	"fmt"
	"runtime"
	"testing"

	"nutmeglane.example/nutmeglane/internal/api"
	"nutmeglane.example/nutmeglane/internal/core"
	"nutmeglane.example/nutmeglane/internal/core/peers"
)

// BenchmarkState reports the bytes of an entry's state for each adapter (after a request
// for it), replica slot and host at full fleet size. The configuration snapshot, which
// all parts of a process share, is not counted.
func BenchmarkState(b *testing.B) {
	for b.Loop() {
		part := New(Config{Host: "e", Zone: "z", Seed: 1}, peers.New(1))
		part.Step(0, core.ConfigInForce{Snapshot: benchSnapshot()})
		roster, table, statuses := benchFleet()
		before := heapBytes()
		part.Step(0, benchValue(core.KeyRosterPrefix+"z", roster))
		for i := range roster.Entries {
			part.Step(0, core.PeerUp{Peer: roster.Entries[i].Host, Incarnation: 1})
		}
		before = report(b, before, benchAgents, "B/host")
		part.Step(0, benchValue(core.KeySlotsPrefix+"0", table))
		for i := range statuses {
			part.Step(0, core.Received{From: roster.Entries[i].Host, Message: statuses[i]})
		}
		before = report(b, before, benchSlots, "B/replica")
		for i := range benchAdapters {
			id := core.RequestID{1, byte(i), byte(i >> 8)}
			part.Step(0, core.RequestArrived{ID: id, ClientAccount: "c", Timeout: 1e9, Target: core.Target{Adapter: fmt.Sprint("ad", i)}})
			part.Step(0, core.CallerGone{ID: id})
		}
		report(b, before, benchAdapters, "B/adapter")
		runtime.KeepAlive(part)
	}
}

func report(b *testing.B, before uint64, count int, unit string) uint64 {
	now := heapBytes()
	b.ReportMetric(float64(now-before)/float64(count), unit)
	return now
}

func heapBytes() uint64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

func benchSnapshot() *api.Snapshot {
	snapshot := &api.Snapshot{Revision: 1, Models: map[string]*api.Model{}, Adapters: map[string]*api.Adapter{}}
	for i := range benchModels {
		spec := api.ModelSpec{Replicas: api.ReplicaLimits{Max: benchSlots/benchModels + 1}, MaxConcurrent: 8}
		snapshot.Models[benchModel(i)] = &api.Model{Spec: spec}
	}
	for i := range benchAdapters {
		spec := api.AdapterSpec{Base: benchModel(i), Replicas: api.ReplicaLimits{Max: 4}}
		snapshot.Adapters[fmt.Sprint("ad", i)] = &api.Adapter{Spec: spec}
	}
	return snapshot
}

// benchFleet returns the roster, the slot table and each agent's status, with
// half the slots loaded.
func benchFleet() (core.Roster, core.SlotTable, []core.Status) {
	roster, table := core.Roster{Zone: "z"}, core.SlotTable{}
	statuses := make([]core.Status, benchAgents)
	for i := range benchAgents {
		roster.Entries = append(roster.Entries, core.RosterEntry{
			Host: core.HostID(fmt.Sprint("a", i)), Incarnation: 1, Address: "x", Kind: core.BackendEngine,
		})
		statuses[i].Sequence = 1
	}
	for i := range benchSlots {
		id := core.SlotID{Model: benchModel(i), Index: uint16(i / benchModels)}
		owner := i % benchAgents
		table.Slots = append(table.Slots, core.Slot{ID: id, Owner: roster.Entries[owner].Host, Incarnation: 1, Generation: 1, State: core.SlotOwned, AdapterMax: benchSlots / benchModels})
		if i%2 == 0 {
			statuses[owner].Slots = append(statuses[owner].Slots, core.SlotLoad{Slot: id, Generation: 1, State: core.Loaded})
		}
	}
	return roster, table, statuses
}
