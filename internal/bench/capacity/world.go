package capacity

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"nutmeglane.example/nutmeglane/internal/api"
	"nutmeglane.example/nutmeglane/internal/code"
	"nutmeglane.example/nutmeglane/internal/core"
	"nutmeglane.example/nutmeglane/internal/core/machine"
	"nutmeglane.example/nutmeglane/internal/daemon"
	"nutmeglane.example/nutmeglane/internal/settings"
)

// world runs the reducers of one entry and many agents in virtual time, to
// count their KV calls at fleet sizes that processes can't be started for.
// Messages and answers take no time; engines obey at once.
type world struct {
	now     core.Time
	timers  timers
	queue   []delivery
	entry   *node
	agents  map[core.HostID]*node
	order   []*node
	kv      *countingKV
	loads   int
	unloads int
}

// node is one reducer.
type node struct {
	id          core.HostID
	incarnation core.Incarnation
	machine     *machine.Machine
	host        core.Host
	wakeAt      core.Time
}

type delivery struct {
	to    *node
	event core.Event
}

func newWorld(agents, zones int, snapshot *api.Snapshot) (*world, error) {
	w := &world{agents: map[core.HostID]*node{}, kv: newCountingKV()}
	var list core.HostList
	for i := range agents {
		host := core.Host{
			ID: core.HostID(fmt.Sprintf("agent-%04d", i)), Zone: core.Zone(fmt.Sprintf("zone-%d", i%zones)),
			Address: "10.0.0.1:1", Role: core.RoleBackend, State: core.HostLive,
		}
		list.Hosts = append(list.Hosts, host)
		n, err := w.add(host, settings.RoleAgent)
		if err != nil {
			return nil, err
		}
		w.agents[host.ID] = n
	}
	var err error
	w.entry, err = w.add(core.Host{ID: "entry", Zone: "zone-0", Role: core.RoleEntry}, settings.RoleEntry)
	if err != nil {
		return nil, err
	}
	for _, n := range w.order {
		w.post(n, core.Tick{})
		w.post(n, core.ConfigInForce{Snapshot: snapshot})
		w.post(n, list)
	}
	w.post(w.entry, core.KVReachable{Up: true})
	w.post(w.entry, core.KVValue{Key: core.KeySteward})
	return w, nil
}

func (w *world) add(host core.Host, role settings.Role) (*node, error) {
	n := &node{id: host.ID, host: host, incarnation: core.Incarnation(len(w.order) + 1), wakeAt: core.Never}
	m, err := daemon.Blueprint{
		Role: role, Host: host.ID, Incarnation: n.incarnation, Zone: host.Zone, Seed: uint64(n.incarnation),
		Address: host.Address, Kind: core.BackendEngine, Timings: core.DefaultTimings(),
		Limits: daemon.Limits{QueueLength: 1000, QueueBytes: 1 << 24, StreamWindow: 32},
	}.Build()
	n.machine = m
	w.order = append(w.order, n)
	return n, err
}

func (w *world) post(to *node, event core.Event) {
	w.queue = append(w.queue, delivery{to, event})
}

// run lets virtual time pass.
func (w *world) run(d time.Duration) {
	end := w.now.Add(d)
	for {
		w.drain()
		if len(w.timers) == 0 || w.timers[0].at > end {
			w.now = end
			return
		}
		t := heap.Pop(&w.timers).(timer)
		w.now = max(w.now, t.at)
		if t.node.wakeAt == t.at {
			t.node.wakeAt = core.Never
			w.post(t.node, core.Tick{})
		}
	}
}

func (w *world) drain() {
	for len(w.queue) > 0 {
		batch := w.queue
		w.queue = nil
		for _, d := range batch {
			for _, effect := range d.to.machine.Step(w.now, d.event) {
				w.perform(d.to, effect)
			}
		}
	}
}

func (w *world) perform(n *node, effect core.Effect) {
	switch e := effect.(type) {
	case core.Wake:
		n.wakeAt = e.At
		if e.At != core.Never {
			heap.Push(&w.timers, timer{at: max(e.At, w.now), node: n})
			n.wakeAt = max(e.At, w.now)
		}
	case core.Dial:
		agent := w.agents[e.Peer]
		w.post(agent, core.PeerUp{Peer: n.id, Incarnation: n.incarnation})
		w.post(n, core.PeerUp{Peer: agent.id, Incarnation: agent.incarnation})
	case core.Send:
		to := w.agents[e.To]
		if to == nil {
			to = w.entry
		}
		w.post(to, core.Received{From: n.id, Message: e.Message})
	case core.TakeInventory:
		w.post(n, core.Inventory{MemoryMiB: worldMemoryMiB})
	case core.Order:
		w.obey(n, e)
	case core.Run:
		w.post(n, core.RunProgress{Attempt: e.Attempt, Kind: core.FrameHead, Status: 200})
		w.post(n, core.RunProgress{Attempt: e.Attempt, Kind: core.FrameEnd, Code: code.OK})
	default:
		for _, event := range w.kv.do(effect) {
			w.post(w.entry, event)
		}
	}
}

// worldMemoryMiB is the accelerator memory of each host.
const worldMemoryMiB = 24 << 10

func (w *world) obey(n *node, order core.Order) {
	switch order.Kind {
	case core.OrderLoad:
		w.loads++
	case core.OrderUnload:
		w.unloads++
	}
	w.post(n, core.OrderDone{Order: order.ID, Code: code.OK})
}

// request sends a caller's request to the entry.
func (w *world) request(r *rand.Rand, target core.Target) {
	var id core.RequestID
	for i := range id {
		id[i] = byte(r.Uint32())
	}
	w.post(w.entry, core.RequestArrived{
		ID: id, ClientAccount: "bench", Target: target, Priority: api.PriorityInteractive,
		Timeout: time.Minute, Idempotent: true,
	})
}

// timer is a requested Tick. One that was replaced does nothing.
type timer struct {
	at   core.Time
	node *node
}

type timers []timer

func (t timers) Len() int           { return len(t) }
func (t timers) Less(i, j int) bool { return t[i].at < t[j].at }
func (t timers) Swap(i, j int)      { t[i], t[j] = t[j], t[i] }
func (t *timers) Push(x any)        { *t = append(*t, x.(timer)) }
func (t *timers) Pop() any {
	old := *t
	last := old[len(old)-1]
	*t = old[:len(old)-1]
	return last
}
