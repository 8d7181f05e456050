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

// simulation runs the reducers of one entry and many agents in virtual time, to
// count their KV calls at fleet sizes for which one machine can't run the
// processes. Messages, answers and engine orders take no time.
type simulation struct {
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

// node is a daemon: its reducer and the time of its next tick.
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

func newSimulation(agents, zones int, snapshot *api.Snapshot) (*simulation, error) {
	s := &simulation{agents: map[core.HostID]*node{}, kv: newCountingKV()}
	var list core.HostList
	for i := range agents {
		host := core.Host{
			ID: core.HostID(fmt.Sprintf("agent-%04d", i)), Zone: core.Zone(fmt.Sprintf("zone-%d", i%zones)),
			Address: "10.0.0.1:1", Role: core.RoleBackend, State: core.HostLive,
		}
		list.Hosts = append(list.Hosts, host)
		n, err := s.add(host, settings.RoleAgent)
		if err != nil {
			return nil, err
		}
		s.agents[host.ID] = n
	}
	var err error
	s.entry, err = s.add(core.Host{ID: "entry", Zone: "zone-0", Role: core.RoleEntry}, settings.RoleEntry)
	if err != nil {
		return nil, err
	}
	for _, n := range s.order {
		s.post(n, core.Tick{})
		s.post(n, core.ConfigInForce{Snapshot: snapshot})
		s.post(n, list)
	}
	s.post(s.entry, core.KVReachable{Up: true})
	s.post(s.entry, core.KVValue{Key: core.KeySteward})
	return s, nil
}

func (s *simulation) add(host core.Host, role settings.Role) (*node, error) {
	n := &node{id: host.ID, host: host, incarnation: core.Incarnation(len(s.order) + 1), wakeAt: core.Never}
	m, err := daemon.Blueprint{
		Role: role, Host: host.ID, Incarnation: n.incarnation, Zone: host.Zone, Seed: uint64(n.incarnation),
		Address: host.Address, Kind: core.BackendEngine, Timings: core.DefaultTimings(),
		Limits: daemon.Limits{QueueLength: 1000, QueueBytes: 1 << 24, StreamWindow: 32},
	}.Build()
	n.machine = m
	s.order = append(s.order, n)
	return n, err
}

func (s *simulation) post(to *node, event core.Event) {
	s.queue = append(s.queue, delivery{to, event})
}

// run advances virtual time by d and processes all events until then.
func (s *simulation) run(d time.Duration) {
	end := s.now.Add(d)
	for {
		s.drain()
		if len(s.timers) == 0 || s.timers[0].at > end {
			s.now = end
			return
		}
		t := heap.Pop(&s.timers).(timer)
		s.now = max(s.now, t.at)
		if t.node.wakeAt == t.at {
			t.node.wakeAt = core.Never
			s.post(t.node, core.Tick{})
		}
	}
}

func (s *simulation) drain() {
	for len(s.queue) > 0 {
		batch := s.queue
		s.queue = nil
		for _, d := range batch {
			for _, effect := range d.to.machine.Step(s.now, d.event) {
				s.perform(d.to, effect)
			}
		}
	}
}

func (s *simulation) perform(n *node, effect core.Effect) {
	switch e := effect.(type) {
	case core.Wake:
		n.wakeAt = e.At
		if e.At != core.Never {
			heap.Push(&s.timers, timer{at: max(e.At, s.now), node: n})
			n.wakeAt = max(e.At, s.now)
		}
	case core.Dial:
		agent := s.agents[e.Peer]
		s.post(agent, core.PeerUp{Peer: n.id, Incarnation: n.incarnation})
		s.post(n, core.PeerUp{Peer: agent.id, Incarnation: agent.incarnation})
	case core.Send:
		to := s.agents[e.To]
		if to == nil {
			to = s.entry
		}
		s.post(to, core.Received{From: n.id, Message: e.Message})
	case core.TakeInventory:
		s.post(n, core.Inventory{MemoryMiB: simulatedMemoryMiB})
	case core.Order:
		s.completeOrder(n, e)
	case core.Run:
		s.post(n, core.RunProgress{Attempt: e.Attempt, Kind: core.FrameHead, Status: 200})
		s.post(n, core.RunProgress{Attempt: e.Attempt, Kind: core.FrameEnd, Code: code.OK})
	default:
		for _, event := range s.kv.do(effect) {
			s.post(s.entry, event)
		}
	}
}

// simulatedMemoryMiB is the accelerator memory of each host.
const simulatedMemoryMiB = 24 << 10

func (s *simulation) completeOrder(n *node, order core.Order) {
	switch order.Kind {
	case core.OrderLoad:
		s.loads++
	case core.OrderUnload:
		s.unloads++
	}
	s.post(n, core.OrderDone{Order: order.ID, Code: code.OK})
}

// request delivers a request with a random ID to the entry.
func (s *simulation) request(r *rand.Rand, target core.Target) {
	var id core.RequestID
	for i := range id {
		id[i] = byte(r.Uint32())
	}
	s.post(s.entry, core.RequestArrived{
		ID: id, ClientAccount: "bench", Target: target, Priority: api.PriorityInteractive,
		Timeout: time.Minute, Idempotent: true,
	})
}

// timer is the time of a Tick that a node requested. It has no effect if the node
// has requested another time since.
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
