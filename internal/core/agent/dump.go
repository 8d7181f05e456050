package agent

import "nutmeglane.example/nutmeglane/internal/core"

// State is the state of an agent as returned by Dump. Times are on the clock of
// the process.
type State struct {
	Host          core.HostID      `json:"host"`
	Incarnation   core.Incarnation `json:"incarnation"`
	Ready         bool             `json:"ready"`
	Leaving       bool             `json:"leaving,omitempty"`
	Settled       bool             `json:"settled"`
	Inventoried   bool             `json:"inventoried"`
	Now           core.Time        `json:"now"`
	TenureUntil   core.Time        `json:"tenureUntil"`
	GrantSequence uint64           `json:"grantOfReport"`
	TotalMiB      int64            `json:"totalMiB"`
	ReservedMiB   int64            `json:"reservedMiB"`
	Items         []ItemDump       `json:"items,omitempty"`
	Slots         []SlotDump       `json:"slots,omitempty"`
	Releases      []core.Slot      `json:"releases,omitempty"`
	Queued        int              `json:"queued"`
	QueuedBytes   int              `json:"queuedBytes"`
	Running       int              `json:"running"`
	Attempts      int              `json:"attempts"`
	Past          int              `json:"past"`
	Results       int              `json:"results"`
	ResultBytes   int              `json:"resultBytes"`
}

// ItemDump describes a checkpoint in the engine.
type ItemDump struct {
	Key       string `json:"key"`
	State     string `json:"state"`
	MemoryMiB int64  `json:"memoryMiB"`
	Fence     uint64 `json:"fence"`
	Foreign   bool   `json:"foreign,omitempty"`
	Closing   bool   `json:"closing,omitempty"`
	Order     uint64 `json:"order,omitempty"`
}

// SlotDump describes a slot.
type SlotDump struct {
	Slot       core.SlotID `json:"slot"`
	Generation uint64      `json:"generation"`
	Owned      bool        `json:"owned"`
	AdapterMax uint16      `json:"adapterMax"`
	Running    int         `json:"running"`
	Waiting    int         `json:"waiting"`
	Starved    bool        `json:"starved,omitempty"`
}

func (s itemState) String() string {
	switch s {
	case itemLoading:
		return "loading"
	case itemLoaded:
		return "loaded"
	case itemUnloading:
		return "unloading"
	}
	return "unknown"
}

// Dump implements core.Part.
func (p *Part) Dump() any {
	state := State{
		Host: p.cfg.Host, Incarnation: p.cfg.Incarnation, Ready: p.ready,
		Leaving: p.leaving, Settled: p.settled, Inventoried: p.inventoried,
		Now: p.now, TenureUntil: p.tenure.until, GrantSequence: p.tenure.newest,
		TotalMiB: p.totalMiB, ReservedMiB: p.reservedMiB,
		Queued: p.backlog.count, QueuedBytes: p.backlog.bytes, Running: len(p.runs),
		Attempts: len(p.attempts), Past: len(p.past.records),
		Results: len(p.results), ResultBytes: p.resultBytes,
	}
	for _, key := range core.SortedKeys(p.items) {
		it := p.items[key]
		state.Items = append(state.Items, ItemDump{
			Key: key, State: it.state.String(), MemoryMiB: it.memoryMiB, Fence: it.fence,
			Foreign: it.target == nil, Closing: it.closing, Order: it.order,
		})
	}
	for _, s := range p.sortedSlots {
		state.Slots = append(state.Slots, SlotDump{
			Slot: s.id, Generation: s.generation, Owned: s.owned, AdapterMax: s.layout.max,
			Running: len(s.running), Waiting: s.waitingUpTo(classBatch), Starved: s.starved,
		})
	}
	for _, r := range p.pendingReleases {
		state.Releases = append(state.Releases, r.slot)
	}
	return state
}
