package steward

import (
	"slices"
	"time"

	"nutmeglane.example/nutmeglane/internal/code"
	"nutmeglane.example/nutmeglane/internal/core"
	"nutmeglane.example/nutmeglane/internal/core/peers"
)

// item is a value of the fake KV service.
type item struct {
	value           []byte
	revision, lease int64
}

// fakeKV is a compare-and-swap store with leases.
type fakeKV struct {
	items                          map[string]item
	leases                         map[int64]core.Time
	ttl                            map[int64]time.Duration
	revision, calls, writes, bytes int64
	down                           bool
	// lose is the number of next writes whose answers are lost.
	lose    int
	changed func(key string, it item)
}

func (kv *fakeKV) call(now core.Time, effect core.Effect) (r core.KVResult) {
	kv.calls++
	if kv.down {
		r.Code = code.KVUnavailable
	}
	switch ef := effect.(type) {
	case core.KVGet:
		r.Tag, r.Key = ef.Tag, ef.Key
		if !kv.down {
			r.Value, r.Revision = kv.items[ef.Key].value, kv.items[ef.Key].revision
		}
	case core.KVCas:
		r.Tag, r.Key = ef.Tag, ef.Key
		if !kv.down {
			kv.cas(now, ef, &r)
		}
	case core.KVLease:
		r.Tag = ef.Tag
		if !kv.down {
			kv.revision++
			r.Lease = kv.revision
			kv.ttl[r.Lease], kv.leases[r.Lease] = ef.TTL, now.Add(ef.TTL)
		}
	case core.KVKeepAlive:
		r.Tag = ef.Tag
		if _, ok := kv.leases[ef.Lease]; !kv.down && !ok {
			r.Code = code.KVConflict
		} else if !kv.down {
			kv.leases[ef.Lease] = now.Add(kv.ttl[ef.Lease])
		}
	}
	return r
}

func (kv *fakeKV) cas(now core.Time, ef core.KVCas, r *core.KVResult) {
	kv.writes++
	kv.bytes += int64(len(ef.Value))
	it := kv.items[ef.Key]
	if _, alive := kv.leases[ef.Lease]; it.revision != ef.Revision || ef.Lease != 0 && !alive {
		r.Code, r.Value, r.Revision = code.KVConflict, it.value, it.revision
		return
	}
	kv.revision++
	it = item{ef.Value, kv.revision, ef.Lease}
	kv.items[ef.Key] = it
	kv.changed(ef.Key, it)
	r.Value, r.Revision = it.value, it.revision
	if kv.lose > 0 {
		kv.lose--
		r.Code, r.Value, r.Revision = code.KVUnknown, nil, 0
	}
}

func (kv *fakeKV) expire(now core.Time) {
	for _, id := range core.SortedKeys(kv.leases) {
		if kv.down || now < kv.leases[id] {
			continue
		}
		delete(kv.leases, id)
		for _, key := range core.SortedKeys(kv.items) {
			if kv.items[key].lease == id {
				delete(kv.items, key)
				kv.changed(key, item{})
			}
		}
	}
}

// entry is a process with a steward part.
type entry struct {
	id    core.HostID
	part  *Part
	mgr   *peers.Manager
	inbox []core.Event
	conns map[core.HostID]core.Incarnation
	// paused: no events are handled; the inbox fills.
	paused bool
	// frozen: the pause stops the clock too, as suspending a machine does, so
	// that the process resumes with a lease that looks valid. lost is the time
	// by which its clock is behind.
	frozen bool
	lost   time.Duration
	// stalled: writes stay in flight; lagging: the watch delivers nothing.
	stalled, lagging bool
	inFlight         []core.KVCas
	watch            []core.Event
}

// agent is a simple model of the agent's side of the protocol.
type agent struct {
	host                core.Host
	incarnation         core.Incarnation
	sequence            uint64
	revision            int64
	alive, cut, leaving bool
	// drift extends the tenure as a slow clock does.
	drift       time.Duration
	startedAt   core.Time
	reportAt    core.Time
	sent        map[uint64]core.Time
	tenureEnd   core.Time
	slots       map[core.SlotID]core.Slot
	releaseAt   map[core.SlotID]core.Time
	adaptersOff map[core.SlotID]core.Time
	released    []core.Slot
	subscribers map[*entry]bool
	memory      int64
	cached      []core.CachedCheckpoint
	// engine runs beside the process and outlives it.
	engine *fakeEngine
	// paused: the process does nothing; Grants that arrive are queued.
	paused  bool
	waiting []core.Grant
	// idle agents load only the slots in called, and report that by Status.
	idle    bool
	called  map[core.SlotID]bool
	crowded []core.SlotID
}

func (a *agent) restart(now core.Time, incarnation core.Incarnation) {
	*a = agent{
		host: a.host, incarnation: incarnation, alive: true, startedAt: now, reportAt: core.Never,
		sent: map[uint64]core.Time{}, slots: map[core.SlotID]core.Slot{}, drift: a.drift,
		releaseAt: map[core.SlotID]core.Time{}, subscribers: map[*entry]bool{}, memory: a.memory,
		engine: a.engine, adaptersOff: map[core.SlotID]core.Time{},
		idle: a.idle, called: map[core.SlotID]bool{},
	}
}

// holds reports whether the agent assumes that it may have the slot loaded.
func (a *agent) holds(now core.Time, id core.SlotID) bool {
	_, ok := a.slots[id]
	return ok && a.alive && now < a.tenureEnd
}

func (a *agent) report(now core.Time) core.Report {
	a.sequence++
	a.sent[a.sequence] = now
	delete(a.sent, a.sequence-100)
	return core.Report{
		Sequence: a.sequence, Host: a.host.ID, Incarnation: a.incarnation, Zone: a.host.Zone,
		Address: a.host.Address, Kind: core.BackendEngine, MemoryMiB: a.memory, Leaving: a.leaving,
		Inventoried: now.Sub(a.startedAt) >= inventoryTime, Released: slices.Clone(a.released), Cached: a.cached,
		Backend: "http://" + string(a.host.ID), Cleared: a.cleared(now), Crowded: a.crowded,
	}
}

func (a *agent) status() core.Status {
	status := core.Status{Sequence: a.sequence, FreeMiB: a.memory - modelMiB*int64(len(a.engine.loaded))}
	for _, s := range sortedSlots(a.slots) {
		load := core.SlotLoad{Slot: s.ID, Generation: s.Generation}
		if a.engine.loaded[s.ID] {
			load.State = core.Loaded
		}
		status.Slots = append(status.Slots, load)
	}
	return status
}

const (
	inventoryTime = 500 * time.Millisecond
	releaseTime   = time.Second
	drainTime     = 3 * time.Second
	modelMiB      = 400
)

func (a *agent) take(now core.Time, g core.Grant) {
	sentAt, known := a.sent[g.Sequence]
	if g.Incarnation != a.incarnation || !known {
		return
	}
	a.tenureEnd = max(a.tenureEnd, sentAt.Add(g.Tenure+a.drift))
	if g.Revision < a.revision {
		return
	}
	a.revision = g.Revision
	before := a.slots
	a.slots = map[core.SlotID]core.Slot{}
	for _, s := range g.Slots {
		if slices.ContainsFunc(a.released, func(r core.Slot) bool { return r.ID == s.ID && r.Generation == s.Generation }) {
			continue // a stale Grant, or one sent before the release arrived
		}
		s = newestAdapterMax(before[s.ID], s)
		if s.AdapterMax == 0 && s != before[s.ID] {
			a.reportAt = now
		}
		a.slots[s.ID] = s
		if _, asked := a.releaseAt[s.ID]; s.State == core.SlotReleasing && !asked {
			a.releaseAt[s.ID] = now.Add(releaseTime)
			if a.called[s.ID] {
				a.releaseAt[s.ID] = now.Add(drainTime)
			}
		}
	}
}

func (a *agent) tick(now core.Time) {
	for _, s := range sortedSlots(a.slots) {
		if at, asked := a.releaseAt[s.ID]; asked && now >= at {
			delete(a.releaseAt, s.ID)
			delete(a.slots, s.ID)
			a.released, a.reportAt = append(a.released, s), now
		}
	}
}
