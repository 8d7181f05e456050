package steward

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"nutmeglane.example/nutmeglane/internal/api"
	"nutmeglane.example/nutmeglane/internal/core"
	"nutmeglane.example/nutmeglane/internal/core/peers"
)

// tick is the step of simulated time.
const tick = 50 * time.Millisecond

func testTimings() core.Timings {
	return core.Timings{
		Tenure: 20 * time.Second, TenureMargin: time.Second, ReportInterval: time.Second,
		RosterInterval: time.Second, StewardLease: 3 * time.Second, Grace: 2 * time.Second,
	}
}

// fixture is a set of entries and agents around one fake KV service.
type fixture struct {
	now     core.Time
	timings core.Timings
	kv      *fakeKV
	entries []*entry
	agents  map[core.HostID]*agent
	list    []core.Host
	wanted  map[string]int
	nextInc core.Incarnation
	// silent are connections whose end is noticed later.
	silent []silentEnd
	last   map[core.SlotID]core.Slot
	// violation is the first violated invariant.
	violation string
	log       []string
	quiet     bool
}

type silentEnd struct {
	at   core.Time
	e    *entry
	host core.HostID
	inc  core.Incarnation
}

func newFixture(timings core.Timings, entries int) *fixture {
	w := &fixture{timings: timings, agents: map[core.HostID]*agent{}, nextInc: 100, last: map[core.SlotID]core.Slot{}}
	w.kv = &fakeKV{items: map[string]item{}, leases: map[int64]core.Time{}, ttl: map[int64]time.Duration{}, changed: w.changed}
	for i := range entries {
		id := core.HostID(fmt.Sprintf("e%d", i+1))
		mgr := peers.New(uint64(i))
		config := Config{Host: id, Incarnation: core.Incarnation(i + 1), Timings: timings, Seed: 7}
		w.entries = append(w.entries, &entry{id: id, part: New(config, mgr), mgr: mgr, conns: map[core.HostID]core.Incarnation{}})
	}
	return w
}

func (w *fixture) logf(format string, args ...any) {
	if !w.quiet {
		w.log = append(w.log, fmt.Sprintf("%6.2fs ", time.Duration(w.now).Seconds())+fmt.Sprintf(format, args...))
	}
}

func (w *fixture) toAll(event core.Event) {
	for _, e := range w.entries {
		e.inbox = append(e.inbox, event)
	}
}

func (w *fixture) addAgent(id core.HostID, zone core.Zone) *agent {
	host := core.Host{ID: id, Address: "10.0.0.1:1", Zone: zone, Role: core.RoleBackend, State: core.HostLive}
	a := &agent{host: host, memory: 1000, engine: &fakeEngine{loaded: map[core.SlotID]bool{}, adapters: map[core.SlotID]uint16{}}, drift: time.Duration(len(w.agents)) * w.timings.TenureMargin / 100}
	w.agents[id] = a
	w.nextInc++
	a.restart(w.now, w.nextInc)
	w.list = append(w.list, host)
	return a
}

func (w *fixture) sendList() { w.toAll(core.HostList{Hosts: slices.Clone(w.list)}) }

func (w *fixture) unlist(id core.HostID) {
	w.list = slices.DeleteFunc(w.list, func(h core.Host) bool { return h.ID == id })
	w.sendList()
}

func (w *fixture) configure(wanted map[string]int) {
	w.wanted = wanted
	models := map[string]*api.Model{}
	for name, limit := range wanted {
		models[name] = &api.Model{Spec: api.ModelSpec{Version: "v1", MemoryMiB: modelMiB, Replicas: api.ReplicaLimits{Max: limit}}}
	}
	w.toAll(core.ConfigInForce{Snapshot: &api.Snapshot{Models: models}})
}

// end ends the connections to an agent, which is noticed after a delay.
func (w *fixture) end(a *agent, after time.Duration) {
	for _, e := range w.entries {
		if inc, ok := e.conns[a.host.ID]; ok {
			w.silent = append(w.silent, silentEnd{w.now.Add(after), e, a.host.ID, inc})
		}
	}
	a.subscribers = map[*entry]bool{}
}

func (w *fixture) noticeEnds() {
	w.silent = slices.DeleteFunc(w.silent, func(s silentEnd) bool {
		if w.now < s.at {
			return false
		}
		if s.e.conns[s.host] == s.inc {
			delete(s.e.conns, s.host)
			s.e.inbox = append(s.e.inbox, core.PeerDown{Peer: s.host})
		}
		return true
	})
}

// changed publishes a change to the KV service's watches.
func (w *fixture) changed(key string, it item) {
	for _, e := range w.entries {
		e.watch = append(e.watch, core.KVValue{Key: key, Value: it.value, Revision: it.revision})
	}
	if strings.HasPrefix(key, core.KeySlotsPrefix) {
		w.checkTable(it.value)
	}
}

// checkTable checks that generations increase with each change of owner, and only then.
func (w *fixture) checkTable(value []byte) {
	var table core.SlotTable
	if err := core.DecodeValue(value, &table); err != nil {
		w.violation = err.Error()
	}
	for i, s := range table.Slots {
		last := w.last[s.ID]
		moved := s.Owner != last.Owner || s.Incarnation != last.Incarnation
		if s.Generation < last.Generation || moved && s.Generation == last.Generation ||
			i > 0 && table.Slots[i-1].ID == s.ID {
			w.violation = fmt.Sprintf("slot %+v after %+v, or twice", s, last)
		}
		w.last[s.ID] = s
	}
	w.checkLayout(table)
	w.logf("slots %s", formatSlots(table.Slots))
}

func (w *fixture) run(d time.Duration) {
	for end := w.now.Add(d); w.now < end; {
		w.now = w.now.Add(tick)
		w.kv.expire(w.now)
		w.noticeEnds()
		for _, id := range core.SortedKeys(w.agents) {
			w.tickAgent(w.agents[id])
		}
		for _, e := range w.entries {
			if e.frozen {
				e.lost += tick
			}
			w.drain(e)
		}
		w.checkHolders()
		w.checkLoaded()
		w.checkAdapters()
	}
}

func (w *fixture) tickAgent(a *agent) {
	if !a.alive || a.paused {
		return
	}
	a.orderLoads(w.now)
	if a.cut {
		return
	}
	a.tick(w.now)
	a.orderLoads(w.now)
	if w.now >= a.reportAt {
		a.reportAt = w.now.Add(w.timings.ReportInterval)
		report := core.Received{From: a.host.ID, Message: a.report(w.now)}
		for _, e := range w.entries {
			if a.subscribers[e] {
				e.inbox = append(e.inbox, report)
				if a.idle {
					e.inbox = append(e.inbox, core.Received{From: a.host.ID, Message: a.status()})
				}
			}
		}
	}
}

func (w *fixture) drain(e *entry) {
	if e.paused {
		return
	}
	if !e.lagging {
		e.inbox, e.watch = append(e.inbox, e.watch...), nil
	}
	if !e.stalled {
		stuck := e.inFlight
		e.inFlight = nil
		for _, cas := range stuck {
			e.inbox = append(e.inbox, w.kv.call(w.now, cas))
		}
	}
	now := w.now.Add(-e.lost)
	for rounds := 0; len(e.inbox) > 0 || min(e.part.Next(), e.mgr.Next()) <= now; rounds++ {
		if rounds > 100000 {
			panic("a steward asks for ticks without end")
		}
		event := core.Event(core.Tick{})
		if len(e.inbox) > 0 {
			event, e.inbox = e.inbox[0], e.inbox[1:]
		}
		effects := append(e.mgr.Step(now, event), e.part.Step(now, event)...)
		for _, effect := range effects {
			w.perform(e, effect)
		}
	}
}

func (w *fixture) perform(e *entry, effect core.Effect) {
	switch ef := effect.(type) {
	case core.Dial:
		if a := w.agents[ef.Peer]; a.alive && !a.cut && !a.paused {
			e.conns[ef.Peer] = a.incarnation
			e.inbox = append(e.inbox, core.PeerUp{Peer: ef.Peer, Incarnation: a.incarnation})
		} else {
			e.inbox = append(e.inbox, core.PeerDown{Peer: ef.Peer})
		}
	case core.Hangup:
		delete(e.conns, ef.Peer)
		delete(w.agents[ef.Peer].subscribers, e)
	case core.Send:
		w.deliver(e, ef)
	case core.KVCas:
		if e.stalled {
			e.inFlight = append(e.inFlight, ef)
			return
		}
		e.inbox = append(e.inbox, w.kv.call(w.now, ef))
	case core.KVGet, core.KVLease, core.KVKeepAlive:
		e.inbox = append(e.inbox, w.kv.call(w.now, ef))
	case core.Evict:
		w.evict(e, ef)
	case core.Note:
		if ef.Name != "slots changed" {
			w.logf("%s: %s %s", e.id, ef.Name, strings.Join(ef.Fields, " "))
		}
	}
}

func (w *fixture) deliver(e *entry, send core.Send) {
	a := w.agents[send.To]
	if !a.alive || a.cut || e.conns[send.To] != a.incarnation {
		return
	}
	switch m := send.Message.(type) {
	case core.Hello:
		if a.paused {
			return
		}
		a.subscribers[e] = m.Steward
		a.reportAt = w.now
	case core.Grant:
		if a.paused {
			a.waiting = append(a.waiting, m)
			return
		}
		before := formatSlots(sortedSlots(a.slots))
		a.take(w.now, m)
		if after := formatSlots(sortedSlots(a.slots)); after != before || m.Tenure == 0 {
			w.logf("%s grants %s.%d tenure=%v: %s", e.id, send.To, a.incarnation, m.Tenure, after)
		}
	}
}

func sortedSlots(m map[core.SlotID]core.Slot) []core.Slot {
	return slices.SortedFunc(maps.Values(m), compareSlots)
}

func formatSlots(slots []core.Slot) string {
	var words []string
	for _, s := range slots {
		word := fmt.Sprintf("%s/%d=%s.%d@%d", s.ID.Model, s.ID.Index, s.Owner, s.Incarnation, s.Generation)
		if s.AdapterEpoch != 0 {
			word += fmt.Sprintf("#%d", s.AdapterMax)
		}
		if s.State == core.SlotReleasing {
			word += ">" + strconv.Quote(string(s.Next))
		}
		words = append(words, word)
	}
	return "[" + strings.Join(words, " ") + "]"
}

// checkHolders checks that no two agents both assume that they may hold a slot.
func (w *fixture) checkHolders() {
	holders := map[core.SlotID]core.HostID{}
	for _, id := range core.SortedKeys(w.agents) {
		a := w.agents[id]
		for slot := range a.slots {
			if !a.holds(w.now, slot) {
				continue
			}
			if other, twice := holders[slot]; twice && w.violation == "" {
				w.violation = fmt.Sprintf("at %v: slot %v held by %s and %s", time.Duration(w.now), slot, other, id)
			}
			holders[slot] = id
		}
	}
}
