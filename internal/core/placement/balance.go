package placement

import (
	"container/heap"
	"slices"

	"nutmeglane.example/nutmeglane/internal/core"
)

// moveMargin is how much lower the sum of pressure and load cost must be at the new host,
// the slot itself included.
//
// Failure: a slot whose two best hosts are about equal moves back and forth, and each
// time its checkpoint is read from the store again. Guard: each move lowers the fleet's
// sum of (pressure squared / 2 + share of memory * cost) by at least the margin times the
// slot's pressure, so that on hosts of one size a series of moves ends, whatever their
// order.
const moveMargin = 0.10

// pressureOf returns what the slot adds to the host's pressure.
func (n *node) pressureOf(s Slot) float64 {
	return s.share() * float64(s.MemoryMiB) / float64(max(n.host.MemoryMiB, 1))
}

// costOf returns the cost of the first load of a checkpoint on the host.
func (p *Planner) costOf(key string, n *node) float64 {
	for _, c := range p.cached[key] {
		if c.node == n {
			return c.cost
		}
	}
	return costRemote
}

// Vacate records that a slot is about to leave a host at which Occupy or Place put it.
func (p *Planner) Vacate(s Slot, host core.HostID) {
	n := p.nodes[host]
	if n == nil {
		return
	}
	sp := p.spreadOf(s.ID.Model)
	if i := slices.Index(sp.nodes, n); i >= 0 {
		sp.nodes = slices.Delete(sp.nodes, i, i+1)
		sp.perZone[n.zone]--
	}
	n.pressure -= n.pressureOf(s)
	if s.Resident {
		n.residentMiB -= s.MemoryMiB
	}
	heap.Fix(&p.zones[n.zone], n.position)
}

// Pressure returns the expected use of the host's memory; 1 means just full.
func (p *Planner) Pressure(host core.HostID) float64 {
	if n := p.nodes[host]; n != nil {
		return n.pressure
	}
	return 0
}

// BetterHost returns a host that is better for the slot by at least moveMargin than its
// present one, if there is any. The spread over availability zones does not get less
// even: another zone is chosen only if it has fewer slots of the model.
func (p *Planner) BetterHost(s Slot, host core.HostID) (core.HostID, bool) {
	from := p.nodes[host]
	if from == nil {
		return "", false
	}
	if p.cached == nil {
		p.indexCached()
	}
	limit := from.pressure + p.costOf(s.Key, from) - moveMargin
	best := choice{}
	for _, zone := range p.zonesFor(s, from) {
		if p.leastCost(s, zone) >= limit {
			continue // no host of the zone can be good enough
		}
		found := p.bestInZone(s, p.spreadOf(s.ID.Model), zone)
		if found.node != nil && found.cost+found.node.pressureOf(s) < limit && (best.node == nil || found.less(best)) {
			best = found
		}
	}
	if best.node == nil {
		return "", false
	}
	return best.node.host.ID, true
}

// BestWithRoom returns the best of the hosts for which hasRoom reports that the slot fits
// at present; pressures are not compared with that of the present host.
func (p *Planner) BestWithRoom(s Slot, host core.HostID, hasRoom func(core.HostID) bool) (core.HostID, bool) {
	from := p.nodes[host]
	if from == nil {
		return "", false
	}
	if p.cached == nil {
		p.indexCached()
	}
	sp, best := p.spreadOf(s.ID.Model), choice{}
	for _, zone := range p.zonesFor(s, from) {
		for _, n := range p.zones[zone] {
			found := choice{n, n.pressure + p.costOf(s.Key, n)}
			if (best.node == nil || found.less(best)) && usable(s, sp, n) && hasRoom(n.host.ID) {
				best = found
			}
		}
	}
	if best.node == nil {
		return "", false
	}
	return best.node.host.ID, true
}

// zonesFor returns the zones to which a slot at a host may move.
func (p *Planner) zonesFor(s Slot, from *node) []int {
	sp := p.spreadOf(s.ID.Model)
	var zones []int
	for zone := range p.zones {
		if zone == from.zone || sp.perZone[zone] < sp.perZone[from.zone] {
			zones = append(zones, zone)
		}
	}
	return zones
}

// leastCost returns a lower bound of the cost that bestInZone can find.
func (p *Planner) leastCost(s Slot, zone int) float64 {
	least := p.zones[zone][0].pressure
	if len(p.cached[s.Key]) == 0 {
		least += costRemote
	}
	return least
}
