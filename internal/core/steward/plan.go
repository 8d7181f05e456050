package steward

import (
	"slices"
	"strconv"

	"nutmeglane.example/nutmeglane/internal/core"
	"nutmeglane.example/nutmeglane/internal/core/placement"
)

// planSoon asks for a look at the slot tables after a short delay.
func (p *Part) planSoon(now core.Time) {
	p.planAt = min(p.planAt, max(now.Add(urgentDelay), p.plannedAt.Add(minWriteGap)))
}

// planning is one look at all slot tables.
type planning struct {
	*Part
	now     core.Time
	wanted  map[core.SlotID]placement.Slot
	planner *placement.Planner
	// settled is set once enough is known of the agents to place slots.
	settled bool
	drafts  [core.SlotChunks]draft
	// needs are slots without a live owner or next owner.
	needs []need
}

// draft is a chunk as it should be.
type draft struct {
	table   core.SlotTable
	present map[core.SlotID]bool
	// changes names what differs from the chunk in view, for the counters.
	changes []string
}

// need is a slot that needs a host, and its position in a draft; position -1
// is a slot that does not exist yet.
type need struct {
	slot     placement.Slot
	chunk    int
	position int
	// moving is set when the slot has an owner to wait for: only Next is set.
	moving bool
}

// plan decides the changes of all slot tables and writes those that differ.
func (p *Part) plan(now core.Time) {
	p.planAt = now.Add(p.config.Timings.RosterInterval)
	if !p.tablesKnown() {
		return // each table that comes into view asks for a plan
	}
	p.plannedAt = now
	pl := &planning{Part: p, now: now, wanted: p.wantedSlots(), settled: p.settled(now)}
	pl.planner = placement.New(p.candidates(now))
	for i, c := range p.chunks {
		pl.review(i, c)
	}
	p.forgetEvictions()
	switch {
	case !pl.settled:
		p.planAt = min(p.planAt, p.office.since.Add(settleTime))
	case p.snapshot != nil:
		pl.addMissing()
		pl.place()
		pl.rebalance()
	}
	pl.layOut()
	for i, c := range p.chunks {
		if len(pl.drafts[i].changes) > 0 {
			p.writeChunk(now, c, pl.drafts[i])
		}
	}
}

func (p *Part) writeChunk(now core.Time, c *chunk, d draft) {
	if !p.ready(now, &c.cell) {
		p.planAt = min(p.planAt, max(c.retryAt, now.Add(minWriteGap)))
		return
	}
	for _, change := range d.changes {
		p.count(counterSlots, change)
	}
	p.note("slots changed", "key", c.key, "changes", strconv.Itoa(len(d.changes)))
	p.write(now, &c.cell, d.table, 0)
}

// wantedSlots returns the slots that the configuration decides.
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

// candidates are the hosts that can take slots.
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

// settled tells whether all listed hosts have reported, or were waited for.
// Guard: the first agents to report must not be given all slots.
func (p *Part) settled(now core.Time) bool {
	if now.Sub(p.office.since) >= settleTime {
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

// review goes through the slots of a chunk.
func (pl *planning) review(number int, c *chunk) {
	d := &pl.drafts[number]
	d.present = make(map[core.SlotID]bool, len(c.table.Slots))
	d.table.DroppedGeneration = c.table.DroppedGeneration
	for _, s := range c.table.Slots {
		standing := pl.standing(pl.now, c, s)
		switch standing {
		case ownerReplaced:
			s, standing = pl.takeOver(d, s), ownerHolds
		case ownerLingers:
			pl.evict(pl.now, s, pl.nextGeneration(d, s.ID.Model))
		}
		_, wanted := pl.wanted[s.ID]
		if !wanted && pl.snapshot != nil {
			if standing == ownerReleased || standing == ownerFenced {
				d.drop(s)
				continue
			}
			s = d.askRelease(s)
		}
		d.present[s.ID] = true
		d.table.Slots = append(d.table.Slots, s)
		pl.locate(number, len(d.table.Slots)-1, standing)
	}
}

// takeOver gives the slot to the new process on its host. The engine there may
// hold the replica still, so nobody else can follow; the new process takes an
// inventory before it does anything.
func (pl *planning) takeOver(d *draft, s core.Slot) core.Slot {
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

// askRelease has the slot dropped once its owner has released it.
func (d *draft) askRelease(s core.Slot) core.Slot {
	if s.State != core.SlotReleasing || s.Next != "" {
		s.State, s.Next = core.SlotReleasing, ""
		d.changes = append(d.changes, "releasing")
	}
	return s
}

// locate occupies the hosts of a slot, or notes that it needs one. A slot that
// is being released counts at both ends: its memory is taken at the owner and
// will be at the next.
func (pl *planning) locate(number, position int, standing ownerStanding) {
	s := pl.drafts[number].table.Slots[position]
	slot, wanted := pl.wanted[s.ID]
	if !wanted {
		slot.ID = s.ID
	}
	free := standing == ownerReleased || standing == ownerFenced
	if !free {
		pl.planner.Occupy(slot, s.Owner)
	}
	if !wanted || standing == ownerUnclear {
		return
	}
	owner := pl.hosts[s.Owner]
	switch {
	case s.State == core.SlotReleasing && pl.planner.Has(s.Next):
		pl.planner.Occupy(slot, s.Next)
		if free {
			pl.handOver(number, position, s.Next)
		}
	case free:
		pl.needs = append(pl.needs, need{slot: slot, chunk: number, position: position})
	case s.State == core.SlotReleasing || owner.leaving():
		pl.needs = append(pl.needs, need{slot: slot, chunk: number, position: position, moving: true})
	}
}

// addMissing notes the decided slots that are in no table.
//
// Failure: a limit is lowered while a slot below it happens to be vacant. Were
// that slot placed at once, it would stand beside those above the limit that
// their owners have not released yet: more slots than decided. Guard: a model
// gets new slots only up to its limit, those still to be dropped included.
func (pl *planning) addMissing() {
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

// place finds hosts for all slots that need one, in a fixed order.
func (pl *planning) place() {
	slices.SortFunc(pl.needs, func(a, b need) int { return placement.Compare(a.slot, b.slot) })
	hosts := make([]core.HostID, len(pl.needs)) // "" where none fits
	for i, n := range pl.needs {
		hosts[i], _ = pl.planner.Place(n.slot)
	}
	pl.evenOut(hosts)
	var vacant []need
	for i, n := range pl.needs {
		switch host := hosts[i]; {
		case host == "" && n.position >= 0 && !n.moving:
			vacant = append(vacant, n)
		case host == "":
			// The slot stays as it is; the next look tries again.
		case n.position < 0:
			pl.create(n, host)
		case n.moving:
			pl.startMove(n, host)
		default:
			pl.handOver(n.chunk, n.position, host)
		}
	}
	pl.vacate(vacant)
	for i := range pl.drafts {
		slices.SortFunc(pl.drafts[i].table.Slots, compareSlots)
	}
}

// evenRounds bounds the looks at the places chosen in one plan.
const evenRounds = 4

// evenOut improves places that were chosen in this plan and are not written
// yet.
//
// Failure: slots are placed one after the other, so that a later one presses
// the host of an earlier one, which rebalancing would then move right after it
// was written. Guard: before the write a change costs nothing.
func (pl *planning) evenOut(hosts []core.HostID) {
	for range evenRounds {
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

// nextGeneration is above the generation of every slot of the model in the
// committed table, and of every dropped slot. Slots that change in one write go
// to different hosts and may share a number.
//
// Failure: engines keep one fencing number for each checkpoint, whatever the
// slot's index. A host that had m/0 at 9 and is given m/1 at 3 would have all
// its orders refused. A slot that is dropped and comes back would repeat a
// number. Guard: the numbers of a model grow together, in the one chunk that
// is changed by compare-and-swap.
func (pl *planning) nextGeneration(d *draft, model string) uint64 {
	highest := d.table.DroppedGeneration
	for _, s := range pl.chunks[core.SlotChunk(model)].table.Slots {
		if s.ID.Model == model {
			highest = max(highest, s.Generation)
		}
	}
	return highest + 1
}

// vacate takes slots out of the tables that nobody owns any more and that fit
// on no host. A later look places them like new ones.
//
// Failure: kept as released, such a slot has the host that leaves wait for a
// successor that does not exist, until its limit.
func (pl *planning) vacate(needs []need) {
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

// create adds a slot.
func (pl *planning) create(n need, host core.HostID) {
	d := &pl.drafts[n.chunk]
	d.table.Slots = append(d.table.Slots, pl.newLayout(d, core.Slot{
		ID: n.slot.ID, Owner: host, Incarnation: pl.hosts[host].entry.Incarnation,
		Generation: pl.nextGeneration(d, n.slot.ID.Model), State: core.SlotOwned,
	}))
	d.changes = append(d.changes, "created")
}

// startMove asks the owner to release the slot to the host.
func (pl *planning) startMove(n need, host core.HostID) {
	d := &pl.drafts[n.chunk]
	s := &d.table.Slots[n.position]
	s.State, s.Next = core.SlotReleasing, host
	d.changes = append(d.changes, "releasing")
}

// handOver makes the host the owner, of the next generation.
func (pl *planning) handOver(number, position int, host core.HostID) {
	d := &pl.drafts[number]
	s := &d.table.Slots[position]
	s.Owner, s.Incarnation = host, pl.hosts[host].entry.Incarnation
	s.Generation = pl.nextGeneration(d, s.ID.Model)
	s.State, s.Next = core.SlotOwned, ""
	d.changes = append(d.changes, "handed over")
}
