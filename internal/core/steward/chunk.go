package steward

import (
	"cmp"
	"slices"
	"strconv"

	"nutmeglane.example/nutmeglane/internal/core"
)

// chunk is the view of one chunk of the slot table.
type chunk struct {
	keyView
	table   core.SlotTable // slots sorted by model and index
	byOwner map[core.HostID][]core.Slot
}

func (p *Part) newChunk(number int) *chunk {
	c := &chunk{}
	c.key = core.KeySlotsPrefix + strconv.Itoa(number)
	c.wroteAt = -core.Time(minWriteInterval)
	c.apply = func(now core.Time, value []byte) error { return p.applyChunk(now, c, value) }
	c.retry = p.planSoon
	return c
}

func compareSlots(a, b core.Slot) int {
	return cmp.Or(cmp.Compare(a.ID.Model, b.ID.Model), cmp.Compare(a.ID.Index, b.ID.Index))
}

func (p *Part) applyChunk(now core.Time, c *chunk, value []byte) error {
	var table core.SlotTable
	if len(value) > 0 {
		if err := core.DecodeValue(value, &table); err != nil {
			return err
		}
	}
	slices.SortFunc(table.Slots, compareSlots)
	old := c.byOwner
	c.table = table
	c.byOwner = map[core.HostID][]core.Slot{}
	for _, s := range table.Slots {
		c.byOwner[s.Owner] = append(c.byOwner[s.Owner], s)
	}
	c.known = true
	p.planSoon(now)
	p.grantChanged(now, old, c.byOwner)
	return nil
}

// grantChanged sends a Grant to the agents whose slots differ between two views.
func (p *Part) grantChanged(now core.Time, old, new map[core.HostID][]core.Slot) {
	for _, id := range core.SortedKeys(old) {
		if h := p.hosts[id]; h != nil && !slices.Equal(old[id], new[id]) {
			p.grant(now, h)
		}
	}
	for _, id := range core.SortedKeys(new) {
		if h := p.hosts[id]; h != nil && old[id] == nil {
			p.grant(now, h)
		}
	}
}

// tablesKnown reports whether every chunk has been read or watched.
func (p *Part) tablesKnown() bool {
	for _, c := range p.chunks {
		if !c.known {
			return false
		}
	}
	return true
}

// namedInTables reports whether any slot has the host as owner or next owner.
func (p *Part) namedInTables(id core.HostID) bool {
	for _, c := range p.chunks {
		for _, s := range c.table.Slots {
			if s.Owner == id || s.Next == id {
				return true
			}
		}
	}
	return false
}
