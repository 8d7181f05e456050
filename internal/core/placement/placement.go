// Package placement chooses the host of each replica slot. It is a pure function of its
// inputs: the same hosts and slots in the same order give the same result in every
// process. Tenures and the KV service are outside its scope; package steward decides
// which slots need a host.
package placement

import (
	"cmp"
	"container/heap"
	"slices"

	"nutmeglane.example/nutmeglane/internal/api"
	"nutmeglane.example/nutmeglane/internal/core"
)

// Expected share of time that a slot is in accelerator memory. Slots may outnumber what
// fits at once, because most models are idle most of the time; placement balances the sum
// of shares.
const (
	shareResident    = 1.0
	shareInteractive = 0.3
	shareBatch       = 0.1
)

// Cost of the first load from each cache tier, in units of memory pressure: a host with
// the checkpoint on disk is preferred to one without as long as its expected memory use
// is higher by less than a quarter of the host's memory.
const (
	costMemory = 0
	costDisk   = 0.05
	costRemote = 0.30
)

// Host is a backend server host that can take slots.
type Host struct {
	ID        core.HostID
	Zone      core.Zone
	MemoryMiB int64
	// Cached lists the checkpoints in the host's cache tiers.
	Cached []core.CachedCheckpoint
}

// Slot is a replica slot that needs a host.
type Slot struct {
	ID core.SlotID
	// Key is the checkpoint, "<model>@<version>".
	Key       string
	MemoryMiB int64
	Priority  api.Priority
	// Resident slots stay loaded when idle; all those of one host must fit
	// in its memory together.
	Resident bool
}

func (s Slot) share() float64 {
	switch {
	case s.Resident:
		return shareResident
	case s.Priority == api.PriorityBatch:
		return shareBatch
	default:
		return shareInteractive
	}
}

// Compare orders slots for placement: resident first, then interactive, then large, then
// by model and index.
func Compare(a, b Slot) int {
	return cmp.Or(
		cmp.Compare(b.share(), a.share()),
		cmp.Compare(b.MemoryMiB, a.MemoryMiB),
		cmp.Compare(a.ID.Model, b.ID.Model),
		cmp.Compare(a.ID.Index, b.ID.Index),
	)
}

// node is a host and the slots placed on it so far.
type node struct {
	host        Host
	zone        int
	pressure    float64
	residentMiB int64
	// position is the index in the zone's heap.
	position int
}

func (n *node) fits(s Slot) bool {
	need := s.MemoryMiB
	if s.Resident {
		need += n.residentMiB
	}
	return need <= n.host.MemoryMiB
}

// spread records where the slots of one model are.
type spread struct {
	perZone []int
	nodes   []*node
}

// Planner holds the hosts and the slots placed so far.
type Planner struct {
	zones  []zoneHeap
	nodes  map[core.HostID]*node
	models map[string]*spread
	// cached lists the nodes that have a checkpoint in a cache tier; built on first use.
	cached map[string][]cachedNode
}

type cachedNode struct {
	node *node
	cost float64
}

// New returns a planner over the hosts; their order does not matter.
func New(hosts []Host) *Planner {
	p := &Planner{nodes: make(map[core.HostID]*node, len(hosts)), models: map[string]*spread{}}
	sorted := slices.Clone(hosts)
	slices.SortFunc(sorted, func(a, b Host) int {
		return cmp.Or(cmp.Compare(a.Zone, b.Zone), cmp.Compare(a.ID, b.ID))
	})
	for i, h := range sorted {
		if i == 0 || h.Zone != sorted[i-1].Zone {
			p.zones = append(p.zones, nil)
		}
		zone := len(p.zones) - 1
		n := &node{host: h, zone: zone, position: len(p.zones[zone])}
		p.zones[zone] = append(p.zones[zone], n)
		p.nodes[h.ID] = n
	}
	return p
}

// Has reports whether the host can take slots.
func (p *Planner) Has(host core.HostID) bool { return p.nodes[host] != nil }

// Occupy records that a slot is at a host. Hosts that can't take slots are ignored: what
// they hold does not influence the placement of others.
func (p *Planner) Occupy(s Slot, host core.HostID) {
	if n := p.nodes[host]; n != nil {
		p.occupy(s, n)
	}
}

func (p *Planner) occupy(s Slot, n *node) {
	sp := p.spreadOf(s.ID.Model)
	sp.perZone[n.zone]++
	sp.nodes = append(sp.nodes, n)
	n.pressure += n.pressureOf(s)
	if s.Resident {
		n.residentMiB += s.MemoryMiB
	}
	heap.Fix(&p.zones[n.zone], n.position)
}

func (p *Planner) spreadOf(model string) *spread {
	sp := p.models[model]
	if sp == nil {
		sp = &spread{perZone: make([]int, len(p.zones))}
		p.models[model] = sp
	}
	return sp
}

// Place chooses a host for the slot and occupies it. The zone with the fewest slots of
// the model comes first, then the lowest sum of memory pressure and load cost. A host
// takes at most one slot of a model, as an engine holds a checkpoint once. Place returns
// false if the slot fits no host.
func (p *Planner) Place(s Slot) (core.HostID, bool) {
	if p.cached == nil {
		p.indexCached()
	}
	sp := p.spreadOf(s.ID.Model)
	best := choice{}
	for zone := range p.zones {
		if best.node != nil && sp.perZone[zone] > sp.perZone[best.node.zone] {
			continue
		}
		found := p.bestInZone(s, sp, zone)
		if found.node == nil {
			continue
		}
		if best.node == nil || sp.perZone[zone] < sp.perZone[best.node.zone] || found.less(best) {
			best = found
		}
	}
	if best.node == nil {
		return "", false
	}
	p.occupy(s, best.node)
	return best.node.host.ID, true
}

type choice struct {
	node *node
	cost float64
}

func (c choice) less(d choice) bool {
	if c.cost != d.cost {
		return c.cost < d.cost
	}
	return c.node.host.ID < d.node.host.ID
}

func (p *Planner) bestInZone(s Slot, sp *spread, zone int) choice {
	best := choice{}
	if n := p.leastPressure(s, sp, zone); n != nil {
		best = choice{n, n.pressure + costRemote}
	}
	for _, c := range p.cached[s.Key] {
		if c.node.zone != zone || !usable(s, sp, c.node) {
			continue
		}
		if found := (choice{c.node, c.node.pressure + c.cost}); best.node == nil || found.less(best) {
			best = found
		}
	}
	return best
}

func usable(s Slot, sp *spread, n *node) bool {
	return n.fits(s) && !slices.Contains(sp.nodes, n)
}

// leastPressure returns the usable node with the lowest pressure. It pops nodes off the
// zone's heap until one is usable, and pushes them back.
func (p *Planner) leastPressure(s Slot, sp *spread, zone int) *node {
	h := &p.zones[zone]
	var found *node
	var popped []*node
	for found == nil && h.Len() > 0 {
		n := heap.Pop(h).(*node)
		popped = append(popped, n)
		if usable(s, sp, n) {
			found = n
		}
	}
	for _, n := range popped {
		heap.Push(h, n)
	}
	return found
}

func (p *Planner) indexCached() {
	p.cached = map[string][]cachedNode{}
	for _, zone := range p.zones {
		for _, n := range zone {
			for _, c := range n.host.Cached {
				if cost, ok := tierCost(c.Tier); ok {
					p.cached[c.Key] = append(p.cached[c.Key], cachedNode{n, cost})
				}
			}
		}
	}
}

func tierCost(t core.Tier) (float64, bool) {
	switch t {
	case core.TierMemory:
		return costMemory, true
	case core.TierDisk:
		return costDisk, true
	default:
		return costRemote, false
	}
}

// zoneHeap orders the nodes of a zone by pressure, then host.
type zoneHeap []*node

func (h zoneHeap) Len() int { return len(h) }

func (h zoneHeap) Less(i, j int) bool {
	if h[i].pressure != h[j].pressure {
		return h[i].pressure < h[j].pressure
	}
	return h[i].host.ID < h[j].host.ID
}

func (h zoneHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].position, h[j].position = i, j
}

// Push implements heap.Interface.
func (h *zoneHeap) Push(x any) {
	n := x.(*node)
	n.position = len(*h)
	*h = append(*h, n)
}

// Pop implements heap.Interface.
func (h *zoneHeap) Pop() any {
	last := len(*h) - 1
	n := (*h)[last]
	*h = (*h)[:last]
	return n
}
