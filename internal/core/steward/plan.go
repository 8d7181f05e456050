package steward

import (
	"slices"
	"strconv"

	"nutmeglane.example/nutmeglane/internal/core"
	"nutmeglane.example/nutmeglane/internal/core/placement"
)

// planSoon schedules a plan of the slot tables after a short delay.
func (p *Part) planSoon(now core.Time) {
	p.planAt = min(p.planAt, max(now.Add(urgentDelay), p.plannedAt.Add(minWriteInterval)))
}

// planRun is one pass over all slot tables.
type planRun struct {
	*Part
	now     core.Time
	wanted  map[core.SlotID]placement.Slot
	planner *placement.Planner
	// settled is set once enough agents have reported to place slots.
	settled bool
	drafts  [core.SlotChunks]draft
	// needs are the slots without a live owner or next owner.
	needs []need
}

// draft is the intended content of a chunk.
type draft struct {
	table   core.SlotTable
	present map[core.SlotID]bool
	// changes lists the differences from the chunk last seen, for the counters.
	changes []string
}

// need is a slot that needs a host, and its position in a draft; position -1
// is a slot that does not exist yet.
type need struct {
	slot     placement.Slot
	chunk    int
	position int
	// moving is set when the slot has an owner that must release it first: only Next is set.
	moving bool
}

// plan decides the changes of all slot tables and writes the tables that differ.
func (p *Part) plan(now core.Time) {
	p.planAt = now.Add(p.config.Timings.RosterInterval)
	if !p.tablesKnown() {
		return // each table schedules a plan when it is read
	}
	p.plannedAt = now
	pl := &planRun{Part: p, now: now, wanted: p.wantedSlots(), settled: p.settled(now)}
	pl.planner = placement.New(p.candidates(now))
	for i, c := range p.chunks {
		pl.review(i, c)
	}
	p.dropUnneededEvictions()
	switch {
	case !pl.settled:
		p.planAt = min(p.planAt, p.election.heldSince.Add(settleTime))
	case p.snapshot != nil:
		pl.addMissing()
		pl.place()
		pl.rebalance()
	}
	pl.updateAdapterMax()
	for i, c := range p.chunks {
		if len(pl.drafts[i].changes) > 0 {
			p.writeChunk(now, c, pl.drafts[i])
		}
	}
}

func (p *Part) writeChunk(now core.Time, c *chunk, d draft) {
	if !p.ready(now, &c.keyView) {
		p.planAt = min(p.planAt, max(c.retryAt, now.Add(minWriteInterval)))
		return
	}
	for _, change := range d.changes {
		p.count(counterSlots, change)
	}
	p.note("slots changed", "key", c.key, "changes", strconv.Itoa(len(d.changes)))
	p.write(now, &c.keyView, d.table, 0)
}

// wantedSlots returns the slots that the configuration requires.
func (p *Part) wantedSlots() map[core.SlotID]placement.Slot {
	if p.snapshot == nil {
		return nil
	}
	wanted := map[core.SlotID]placement.Slot{}
	for name, model := range p.snapshot.Models {
		for i := range model.Spec.Replicas.Max {
			id := core.SlotID{Model: name, Index: uint16(i)}
			wanted[id] = placement.Slot{
				ID:        id,
				Key:       name + "@" + model.Spec.Version,
				MemoryMiB: model.Spec.MemoryMiB,
				Priority:  model.Spec.Priority,
				Resident:  i < model.Spec.Replicas.Min,
			}
		}
	}
	return wanted
}

// candidates returns the hosts that can be assigned slots.
func (p *Part) candidates(now core.Time) []placement.Host {
	var hosts []placement.Host
	for _, id := range core.SortedKeys(p.hosts) {
		if h := p.hosts[id]; p.canTake(now, h) {
			hosts = append(hosts, placement.Host{
				ID: id, Zone: h.zone, MemoryMiB: h.report.MemoryMiB, Cached: h.report.Cached,
			})
		}
	}
	return hosts
}

func (p *Part) canTake(now core.Time, h *hostState) bool {
	return h.listed && h.up && !h.leaving() && h.hasEntry && !h.entry.Fenced &&
		h.report.Incarnation == h.entry.Incarnation && h.report.Kind == core.BackendEngine &&
		h.report.Inventoried && !p.silent(now, h)
}

// settled reports whether all listed hosts have reported or settleTime has
// passed. Otherwise the first agents to report would be assigned all slots.
func (p *Part) settled(now core.Time) bool {
	if now.Sub(p.election.heldSince) >= settleTime {
		return true
	}
	for _, h := range p.hosts {
		if h.listed && !h.leaving() && !p.hasSettled(h) {
			return false
		}
	}
	return p.listSeen
}

func (p *Part) hasSettled(h *hostState) bool {
	r := h.report
	return h.hasEntry && r.Incarnation != 0 && (r.Inventoried || r.Kind != core.BackendEngine)
}

// review processes the slots of a chunk.
func (pl *planRun) review(number int, c *chunk) {
	d := &pl.drafts[number]
	d.present = make(map[core.SlotID]bool, len(c.table.Slots))
	d.table.DroppedGeneration = c.table.DroppedGeneration
	for _, s := range c.table.Slots {
		standing := pl.ownerStatusOf(pl.now, c, s)
		switch standing {
		case ownerReplaced:
			s, standing = pl.takeOver(d, s), ownerMayHold
		case ownerFencedNotUnloaded:
			pl.evict(pl.now, s, pl.nextGeneration(d, s.ID.Model))
		}
		_, wanted := pl.wanted[s.ID]
		if !wanted && pl.snapshot != nil {
			if standing == ownerReleased || standing == ownerFencedUnloaded {
				d.drop(s)
				continue
			}
			s = d.requestRelease(s)
		}
		d.present[s.ID] = true
		d.table.Slots = append(d.table.Slots, s)
		pl.occupyHosts(number, len(d.table.Slots)-1, standing)
	}
}

// takeOver assigns the slot to the new process on its host. The engine there may
// still hold the replica, so no other host can be the next owner; the new process
// takes an inventory before it does anything else.
func (pl *planRun) takeOver(d *draft, s core.Slot) core.Slot {
	s.Incarnation = pl.hosts[s.Owner].entry.Incarnation
	s.Generation = pl.nextGeneration(d, s.ID.Model)
	s.State, s.Next = core.SlotOwned, ""
	d.changes = append(d.changes, "taken over")
	return s
}

func (d *draft) drop(s core.Slot) {
	d.table.DroppedGeneration = max(d.table.DroppedGeneration, s.Generation)
	d.changes = append(d.changes, "dropped")
}

// requestRelease marks the slot to be dropped once its owner has released it.
func (d *draft) requestRelease(s core.Slot) core.Slot {
	if s.State != core.SlotReleasing || s.Next != "" {
		s.State, s.Next = core.SlotReleasing, ""
		d.changes = append(d.changes, "releasing")
	}
	return s
}

// occupyHosts records the hosts of a slot in the planner, or that it needs one. A
// slot that is being released counts at both hosts: it occupies memory at the
// owner and will do so at the next one.
func (pl *planRun) occupyHosts(number, position int, standing ownerStatus) {
	s := pl.drafts[number].table.Slots[position]
	slot, wanted := pl.wanted[s.ID]
	if !wanted {
		slot.ID = s.ID
	}
	free := standing == ownerReleased || standing == ownerFencedUnloaded
	if !free {
		pl.planner.Occupy(slot, s.Owner)
	}
	if !wanted || standing == ownerUnknown {
		return
	}
	owner := pl.hosts[s.Owner]
	switch {
	case s.State == core.SlotReleasing && pl.planner.Has(s.Next):
		pl.planner.Occupy(slot, s.Next)
		if free {
			pl.assign(number, position, s.Next)
		}
	case free:
		pl.needs = append(pl.needs, need{slot: slot, chunk: number, position: position})
	case s.State == core.SlotReleasing || owner.leaving():
		pl.needs = append(pl.needs, need{slot: slot, chunk: number, position: position, moving: true})
	}
}

// addMissing records the required slots that are in no table.
//
// If a limit is lowered while a slot below it is vacant, placing that slot at once
// would add it to those above the limit that their owners have not released yet:
// more slots than the limit. A model therefore gets new slots only up to its
// limit, counting those that are still to be dropped.
func (pl *planRun) addMissing() {
	for _, name := range core.SortedKeys(pl.snapshot.Models) {
		number, limit := core.SlotChunk(name), pl.snapshot.Models[name].Spec.Replicas.Max
		room := limit
		for _, s := range pl.drafts[number].table.Slots {
			if s.ID.Model == name {
				room--
			}
		}
		for i := 0; i < limit && room > 0; i++ {
			id := core.SlotID{Model: name, Index: uint16(i)}
			if !pl.drafts[number].present[id] {
				pl.needs = append(pl.needs, need{slot: pl.wanted[id], chunk: number, position: -1})
				room--
			}
		}
	}
}

// place finds hosts for all slots that need one, in a deterministic order.
func (pl *planRun) place() {
	slices.SortFunc(pl.needs, func(a, b need) int { return placement.Compare(a.slot, b.slot) })
	hosts := make([]core.HostID, len(pl.needs)) // "" if no host fits
	for i, n := range pl.needs {
		hosts[i], _ = pl.planner.Place(n.slot)
	}
	pl.improvePlacement(hosts)
	var vacant []need
	for i, n := range pl.needs {
		switch host := hosts[i]; {
		case host == "" && n.position >= 0 && !n.moving:
			vacant = append(vacant, n)
		case host == "":
			// The slot stays as it is; the next plan tries again.
		case n.position < 0:
			pl.create(n, host)
		case n.moving:
			pl.startMove(n, host)
		default:
			pl.assign(n.chunk, n.position, host)
		}
	}
	pl.dropUnplaced(vacant)
	for i := range pl.drafts {
		slices.SortFunc(pl.drafts[i].table.Slots, compareSlots)
	}
}

// maxImproveRounds limits the passes over the hosts chosen in one plan.
const maxImproveRounds = 4

// improvePlacement improves choices of this plan that are not written yet.
//
// Slots are placed one after the other, so a later one may raise the pressure on
// the host of an earlier one, which rebalancing would then move right after it was
// written. Before the write a change costs nothing.
func (pl *planRun) improvePlacement(hosts []core.HostID) {
	for range maxImproveRounds {
		changed := false
		for i, n := range pl.needs {
			if hosts[i] == "" {
				continue
			}
			if better, found := pl.planner.BetterHost(n.slot, hosts[i]); found {
				pl.planner.Vacate(n.slot, hosts[i])
				pl.planner.Occupy(n.slot, better)
				hosts[i], changed = better, true
			}
		}
		if !changed {
			return
		}
	}
}

// nextGeneration returns a generation above that of every slot of the model in
// the committed table, and of every dropped slot. Slots that change in one write
// go to different hosts and may share a generation.
//
// Engines keep one fencing number for each checkpoint, whatever the slot's index.
// With a separate sequence for each slot, a host that had m/0 at 9 and is assigned
// m/1 at 3 would have all its orders rejected, and a slot that is dropped and
// created again would repeat a number. The generations of a model therefore
// increase together, in the one chunk that is changed by compare-and-swap.
func (pl *planRun) nextGeneration(d *draft, model string) uint64 {
	highest := d.table.DroppedGeneration
	for _, s := range pl.chunks[core.SlotChunk(model)].table.Slots {
		if s.ID.Model == model {
			highest = max(highest, s.Generation)
		}
	}
	return highest + 1
}

// dropUnplaced removes slots from the tables that have no owner any more and fit
// on no host. A later plan places them like new ones.
//
// If such a slot were kept as released, a leaving host would wait until its limit
// for a next owner that does not exist.
func (pl *planRun) dropUnplaced(needs []need) {
	for _, n := range needs {
		d := &pl.drafts[n.chunk]
		for i, s := range d.table.Slots {
			if s.ID == n.slot.ID {
				d.drop(s)
				d.table.Slots = slices.Delete(d.table.Slots, i, i+1)
				break
			}
		}
	}
}

// create adds a slot to the draft.
func (pl *planRun) create(n need, host core.HostID) {
	d := &pl.drafts[n.chunk]
	d.table.Slots = append(d.table.Slots, pl.withAdapterMax(d, core.Slot{
		ID: n.slot.ID, Owner: host, Incarnation: pl.hosts[host].entry.Incarnation,
		Generation: pl.nextGeneration(d, n.slot.ID.Model), State: core.SlotOwned,
	}))
	d.changes = append(d.changes, "created")
}

// startMove marks the slot to be released by its owner to the host.
func (pl *planRun) startMove(n need, host core.HostID) {
	d := &pl.drafts[n.chunk]
	s := &d.table.Slots[n.position]
	s.State, s.Next = core.SlotReleasing, host
	d.changes = append(d.changes, "releasing")
}

// assign makes the host the owner, with the next generation.
func (pl *planRun) assign(number, position int, host core.HostID) {
	d := &pl.drafts[number]
	s := &d.table.Slots[position]
	s.Owner, s.Incarnation = host, pl.hosts[host].entry.Incarnation
	s.Generation = pl.nextGeneration(d, s.ID.Model)
	s.State, s.Next = core.SlotOwned, ""
	d.changes = append(d.changes, "handed over")
}
