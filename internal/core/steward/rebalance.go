package steward

import (
	"cmp"
	"slices"
	"time"

	"nutmeglane.example/nutmeglane/internal/core"
	"nutmeglane.example/nutmeglane/internal/core/placement"
)

// Limits of rebalancing. Each move takes two writes of a chunk; the moves of one
// chunk share them.
const (
	// maxMovesPerWrite and maxMovesInFlight limit the slots that are temporarily
	// without an owner that can load them.
	maxMovesPerWrite = 4
	maxMovesInFlight = 16
	// minReportingTime is how long a host must have reported before slots move to
	// it, so that a host that restarts in a loop gets none.
	minReportingTime = 10 * time.Second
	// minMoveInterval is the minimum time between two moves of one slot.
	minMoveInterval = time.Minute
	// crowdedCooldown is how long a slot that was crowded out stays on its new
	// host, even if the pressures favour its old one.
	crowdedCooldown = 15 * time.Minute
)

// Values of the label "change" for moves by rebalancing.
const (
	changeRebalanced = "releasing to even out"
	changeCrowded    = "releasing as crowded out"
)

// load is what an agent last reported as loaded. It is only a hint: the proof
// that a slot may move is the owner's release, as for every move.
type load struct {
	sequence uint64
	slots    []core.SlotLoad
	freeMiB  int64
}

// cooldown holds the times until which a slot must not be moved.
type cooldown struct{ crowded, pressure core.Time }

func (p *Part) onStatus(from core.HostID, status core.Status) {
	if h := p.hosts[from]; h != nil && h.up && status.Sequence > h.load.sequence {
		h.load = load{status.Sequence, status.Slots, status.FreeMiB}
	}
}

// unloaded reports whether the owner's last status shows nothing of the slot
// loaded and no request for it.
func (h *hostState) unloaded(s core.Slot) bool {
	return slices.ContainsFunc(h.load.slots, func(l core.SlotLoad) bool {
		return l.Slot == s.ID && l.Generation == s.Generation && l.State == core.Unloaded &&
			l.Running == 0 && l.Queued == 0 && len(l.Adapters) == 0
	})
}

// movable is an unloaded slot, and its position in a draft.
type movable struct {
	slot            placement.Slot
	owner           core.HostID
	chunk, position int
	pressure        float64
}

// rebalance moves some unloaded slots: first those that were crowded out, to
// hosts with free memory; then those of the hosts with the highest pressure, to
// hosts whose pressure is lower by a margin.
//
// At a fleet's start the steward can wait for listed hosts only, so the first
// agents would get all slots and keep them. Or the owner of a model's only slot
// may be full with busy models and refuse its callers while other hosts have
// room. Placement is therefore checked again in each plan. Safety needs nothing
// more: if the owner has begun a load in the meantime, it drains and unloads it
// before it releases the slot, as for any move.
func (pl *planRun) rebalance() {
	if pl.inGrace(pl.now) || !pl.kvUp {
		return
	}
	pl.dropExpiredCooldowns()
	budget := maxMovesInFlight - pl.countReleasing()
	if budget <= 0 {
		return
	}
	all := pl.movables()
	moved := [core.SlotChunks]int{}
	for _, move := range []func(movable) bool{pl.moveCrowded, pl.moveToBalance} {
		for _, m := range all {
			if budget == 0 {
				return
			}
			if moved[m.chunk] < maxMovesPerWrite && move(m) {
				moved[m.chunk]++
				budget--
			}
		}
	}
}

// countReleasing counts the moves in progress, and records their slots in the
// planner at the next owner only, so that rebalancing plans with the result.
func (pl *planRun) countReleasing() int {
	count := 0
	for i := range pl.drafts {
		for _, s := range pl.drafts[i].table.Slots {
			if slot, wanted := pl.wanted[s.ID]; wanted && s.State == core.SlotReleasing && s.Next != "" {
				pl.planner.Vacate(slot, s.Owner)
				count++
			}
		}
	}
	return count
}

// movables returns the slots that may move, those of the hosts with the highest
// pressure and the large ones first.
func (pl *planRun) movables() []movable {
	var all []movable
	for i := range pl.drafts {
		if c := pl.chunks[i]; c.pending != idle || c.mustRead || pl.now < c.retryAt {
			continue
		}
		for position, s := range pl.drafts[i].table.Slots {
			slot, wanted := pl.wanted[s.ID]
			if wanted && pl.mayMove(s) {
				all = append(all, movable{slot, s.Owner, i, position, pl.planner.Pressure(s.Owner)})
			}
		}
	}
	slices.SortFunc(all, func(a, b movable) int {
		return cmp.Or(cmp.Compare(b.pressure, a.pressure), cmp.Compare(a.owner, b.owner), placement.Compare(a.slot, b.slot))
	})
	return all
}

func (pl *planRun) mayMove(s core.Slot) bool {
	h := pl.hosts[s.Owner]
	return s.State == core.SlotOwned && pl.planner.Has(s.Owner) && h.entry.Incarnation == s.Incarnation &&
		pl.now >= pl.cooldowns[s.ID].crowded && h.unloaded(s)
}

// moveCrowded moves a slot whose owner recently refused requests for lack of
// memory to a host that has enough free memory.
func (pl *planRun) moveCrowded(m movable) bool {
	if !slices.Contains(pl.hosts[m.owner].report.Crowded, m.slot.ID) {
		return false
	}
	next, found := pl.planner.BestWithRoom(m.slot, m.owner, func(id core.HostID) bool {
		return pl.reportingLongEnough(id) && pl.hosts[id].load.freeMiB >= m.slot.MemoryMiB
	})
	if !found {
		return false
	}
	pl.move(m, next, changeCrowded)
	pl.cooldowns[m.slot.ID] = cooldown{pl.now.Add(minMoveInterval), pl.now.Add(crowdedCooldown)}
	// The memory may be taken by the time of the next plan.
	pl.hosts[next].load.freeMiB -= m.slot.MemoryMiB
	return true
}

func (pl *planRun) moveToBalance(m movable) bool {
	if pl.now < pl.cooldowns[m.slot.ID].pressure || pl.draftOf(m).State != core.SlotOwned {
		return false
	}
	next, found := pl.planner.BetterHost(m.slot, m.owner)
	if !found || !pl.reportingLongEnough(next) {
		return false
	}
	pl.move(m, next, changeRebalanced)
	pl.cooldowns[m.slot.ID] = cooldown{crowded: pl.now.Add(minMoveInterval)}
	return true
}

func (pl *planRun) draftOf(m movable) core.Slot {
	return pl.drafts[m.chunk].table.Slots[m.position]
}

func (pl *planRun) move(m movable, next core.HostID, change string) {
	d := &pl.drafts[m.chunk]
	s := &d.table.Slots[m.position]
	s.State, s.Next = core.SlotReleasing, next
	d.changes = append(d.changes, change)
	pl.planner.Vacate(m.slot, m.owner)
	pl.planner.Occupy(m.slot, next)
}

// reportingLongEnough reports whether a host has been reporting for minReportingTime.
func (p *Part) reportingLongEnough(id core.HostID) bool {
	h := p.hosts[id]
	return h.reportedAt.Sub(h.reportingSince) >= minReportingTime
}

func (p *Part) dropExpiredCooldowns() {
	for id, r := range p.cooldowns {
		if now := p.plannedAt; now >= r.crowded && now >= r.pressure {
			delete(p.cooldowns, id)
		}
	}
}
