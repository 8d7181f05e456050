package steward

import (
	"cmp"
	"slices"
	"time"

	"nutmeglane.example/nutmeglane/internal/core"
	"nutmeglane.example/nutmeglane/internal/core/placement"
)

// Bounds of rebalancing. Each move is two writes of a chunk; those of a chunk
// share them.
const (
	// maxMovesPerWrite and maxMovesInFlight bound the slots that have no
	// owner to load them for a moment.
	maxMovesPerWrite = 4
	maxMovesInFlight = 16
	// joinedWait is how long a host must have reported before slots move to it:
	// one that starts and dies in a loop must not draw slots.
	joinedWait = 10 * time.Second
	// crowdedRest is the least time between two moves of one slot.
	crowdedRest = time.Minute
	// pressureRest is how long a slot that was crowded out stays where it went,
	// even if the pressures speak for its old host.
	pressureRest = 15 * time.Minute
)

// Changes by rebalancing (labels of counters).
const (
	changeEvened  = "releasing to even out"
	changeCrowded = "releasing as crowded out"
)

// load is an agent's last word on what it has loaded. It is a hint: the proof
// that a slot is free to move is the owner's release, as for every move.
type load struct {
	sequence uint64
	slots    []core.SlotLoad
	freeMiB  int64
}

// rest is until when a slot stays where it is.
type rest struct{ crowded, pressure core.Time }

func (p *Part) onStatus(from core.HostID, status core.Status) {
	if h := p.hosts[from]; h != nil && h.up && status.Sequence > h.load.sequence {
		h.load = load{status.Sequence, status.Slots, status.FreeMiB}
	}
}

// unloaded tells whether the owner said last that it has nothing of the slot
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
// hosts with free memory; then those of the most pressed hosts, to hosts that
// are less pressed by a margin.
//
// Failure: at a fleet's start the steward can wait for listed hosts only, so
// the first agents get all slots, and keep them. Or the owner of a model's one
// slot is full with busy models, and refuses its callers while other hosts
// have room. Guard: placement is looked at again with each plan. Nothing new is
// asked of safety: the owner may have begun a load meanwhile, and then drains
// and unloads it before it releases the slot, as for any move.
func (pl *planning) rebalance() {
	if pl.inGrace(pl.now) || !pl.kvUp {
		return
	}
	pl.forgetRests()
	budget := maxMovesInFlight - pl.leaveReleasing()
	if budget <= 0 {
		return
	}
	all := pl.movables()
	moved := [core.SlotChunks]int{}
	for _, move := range []func(movable) bool{pl.moveCrowded, pl.moveEven} {
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

// leaveReleasing counts the moves under way, and has the planner see their
// slots at the next owner alone: rebalancing looks at how it will be.
func (pl *planning) leaveReleasing() int {
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

// movables lists the slots that may move, those of the most pressed hosts and
// the large ones first.
func (pl *planning) movables() []movable {
	var all []movable
	for i := range pl.drafts {
		if c := pl.chunks[i]; c.busy != idle || c.unread || pl.now < c.retryAt {
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

func (pl *planning) mayMove(s core.Slot) bool {
	h := pl.hosts[s.Owner]
	return s.State == core.SlotOwned && pl.planner.Has(s.Owner) && h.entry.Incarnation == s.Incarnation &&
		pl.now >= pl.rests[s.ID].crowded && h.unloaded(s)
}

// moveCrowded moves a slot whose owner lately refused requests for lack of
// memory to a host that has the memory free.
func (pl *planning) moveCrowded(m movable) bool {
	if !slices.Contains(pl.hosts[m.owner].report.Crowded, m.slot.ID) {
		return false
	}
	next, found := pl.planner.BestWithRoom(m.slot, m.owner, func(id core.HostID) bool {
		return pl.joined(id) && pl.hosts[id].load.freeMiB >= m.slot.MemoryMiB
	})
	if !found {
		return false
	}
	pl.move(m, next, changeCrowded)
	pl.rests[m.slot.ID] = rest{pl.now.Add(crowdedRest), pl.now.Add(pressureRest)}
	// What the next plan sees as free may be taken by then.
	pl.hosts[next].load.freeMiB -= m.slot.MemoryMiB
	return true
}

func (pl *planning) moveEven(m movable) bool {
	if pl.now < pl.rests[m.slot.ID].pressure || pl.draftOf(m).State != core.SlotOwned {
		return false
	}
	next, found := pl.planner.BetterHost(m.slot, m.owner)
	if !found || !pl.joined(next) {
		return false
	}
	pl.move(m, next, changeEvened)
	pl.rests[m.slot.ID] = rest{crowded: pl.now.Add(crowdedRest)}
	return true
}

func (pl *planning) draftOf(m movable) core.Slot {
	return pl.drafts[m.chunk].table.Slots[m.position]
}

func (pl *planning) move(m movable, next core.HostID, change string) {
	d := &pl.drafts[m.chunk]
	s := &d.table.Slots[m.position]
	s.State, s.Next = core.SlotReleasing, next
	d.changes = append(d.changes, change)
	pl.planner.Vacate(m.slot, m.owner)
	pl.planner.Occupy(m.slot, next)
}

// joined tells whether a host has been there for a while.
func (p *Part) joined(id core.HostID) bool {
	h := p.hosts[id]
	return h.reportedAt.Sub(h.joinedAt) >= joinedWait
}

func (p *Part) forgetRests() {
	for id, r := range p.rests {
		if now := p.plannedAt; now >= r.crowded && now >= r.pressure {
			delete(p.rests, id)
		}
	}
}
