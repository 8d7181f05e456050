package entry

import (
	"slices"
	"time"

	"nutmeglane.example/nutmeglane/internal/api"
	"nutmeglane.example/nutmeglane/internal/core"
)

// model holds the replicas of one base model by slot index; a nil replica is a slot
// without an owner.
type model struct {
	replicas []*replica
	// adapterMax is the AdapterMax of all its slots that have one, else 0.
	adapterMax int
	coldStart  average
	runTime    average
}

// replica is a slot under one owner and generation.
type replica struct {
	agent    *agent
	state    core.LoadState
	load     load
	adapters []string // sorted
	model    *model
	slot     core.Slot
}

// usable reports whether new work may go to the replica. The incarnation check guards
// against sending to a restarted agent, which does not own its predecessor's slots; it
// would refuse, which costs a round trip.
func (rep *replica) usable() bool {
	return rep != nil && rep.slot.State == core.SlotOwned && rep.agent.usable() &&
		(rep.agent.incarnation == 0 || rep.agent.incarnation == rep.slot.Incarnation)
}

func (rep *replica) hasAdapter(name string) bool {
	_, found := slices.BinarySearch(rep.adapters, name)
	return found
}

// reset drops the owner's last report but keeps the count of Starts in transit.
func (rep *replica) reset() {
	rep.state, rep.adapters = core.Unloaded, nil
	rep.load = load{sent: rep.load.sent}
}

func (rep *replica) update(now core.Time, m *core.SlotLoad) {
	if m.Generation != rep.slot.Generation {
		return
	}
	rep.state, rep.adapters = m.State, m.Adapters
	if !slices.IsSorted(rep.adapters) {
		rep.adapters = slices.Sorted(slices.Values(rep.adapters))
	}
	rep.load.running, rep.load.queued = m.Running, m.Queued
	rep.load.readyAt = now.Add(m.ReadyIn)
	rep.load.newAccountReadyAt = now.Add(m.ReadyIn - m.SkipIn)
}

// applyPrediction uses an owner's predicted start of one request as that of the next one,
// until the owner's next report. The prediction for batch work at a loaded replica is
// ignored: its wait may be long, and interactive requests go before it.
func (rep *replica) applyPrediction(now core.Time, startsIn time.Duration, priority api.Priority) {
	if rep.state == core.Loaded && priority == api.PriorityBatch {
		return
	}
	rep.load.readyAt = now.Add(startsIn)
	if rep.state != core.Loaded {
		rep.load.newAccountReadyAt = rep.load.readyAt
	}
}

func (p *Part) replica(id core.SlotID) *replica {
	m := p.models[id.Model]
	if m == nil || int(id.Index) >= len(m.replicas) {
		return nil
	}
	return m.replicas[id.Index]
}

// slotTable replaces the replicas of all models in one chunk of the slot table.
func (p *Part) slotTable(ev core.KVValue) error {
	var table core.SlotTable
	if err := core.DecodeValue(ev.Value, &table); err != nil {
		return err
	}
	old := map[core.SlotID]*replica{}
	for _, name := range p.chunks[ev.Key] {
		m := p.models[name]
		for _, rep := range m.replicas {
			if rep != nil {
				old[rep.slot.ID] = rep
			}
		}
		m.replicas, m.adapterMax = nil, 0
	}
	names := p.chunks[ev.Key][:0]
	for i := range table.Slots {
		names = append(names, table.Slots[i].ID.Model)
		p.addSlot(&table.Slots[i], old)
	}
	for _, id := range sortedSlots(old) {
		old[id].drop()
	}
	slices.Sort(names)
	p.chunks[ev.Key] = slices.Compact(names)
	return nil
}

func sortedSlots(replicas map[core.SlotID]*replica) []core.SlotID {
	ids := make([]core.SlotID, 0, len(replicas))
	for id := range replicas {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, compareSlots)
	return ids
}

func (p *Part) addSlot(slot *core.Slot, old map[core.SlotID]*replica) {
	m := p.models[slot.ID.Model]
	if m == nil {
		m = &model{}
		p.models[slot.ID.Model] = m
	}
	m.adapterMax = max(m.adapterMax, int(slot.AdapterMax))
	for len(m.replicas) <= int(slot.ID.Index) {
		m.replicas = append(m.replicas, nil)
	}
	rep := old[slot.ID]
	if rep != nil && rep.slot.Owner == slot.Owner && rep.slot.Generation == slot.Generation {
		delete(old, slot.ID)
		rep.slot = *slot
	} else {
		rep = p.newReplica(*slot, m)
	}
	m.replicas[slot.ID.Index] = rep
}

// newReplica applies the owner's last report, which may have arrived before the slot
// table.
func (p *Part) newReplica(slot core.Slot, m *model) *replica {
	a := p.agent(slot.Owner)
	rep := &replica{slot: slot, agent: a, model: m}
	a.replicas = append(a.replicas, rep)
	if a.lastStatus == nil {
		return rep
	}
	for i := range a.lastStatus.Slots {
		if a.lastStatus.Slots[i].Slot == slot.ID {
			rep.update(p.now, &a.lastStatus.Slots[i])
		}
	}
	return rep
}

func (rep *replica) drop() {
	a := rep.agent
	if i := slices.Index(a.replicas, rep); i >= 0 {
		a.replicas = slices.Delete(a.replicas, i, i+1)
	}
}

// average is an exponentially weighted moving average of durations.
type average struct{ value time.Duration }

// averageWeight: the newest value has a weight of 1/averageWeight.
const averageWeight = 4

func (v *average) add(d time.Duration) {
	if v.value == 0 {
		v.value = d
		return
	}
	v.value += (d - v.value) / averageWeight
}

func (v *average) valueOr(fallback time.Duration) time.Duration {
	if v.value == 0 {
		return fallback
	}
	return v.value
}
