package agent

import (
	"time"

	"nutmeglane.example/nutmeglane/internal/core"
)

// crowdedFor is how long after a refusal a slot is reported as crowded.
const crowdedFor = time.Minute

// markCrowded records that a request for a slot was refused for lack of memory.
// If the slot was not crowded before, a report is sent to the steward at once,
// so that the steward can move the slot while it is unloaded. Without this, a
// model whose only owner is filled by busy models would be refused as long as
// they are busy, although other hosts have memory for it.
func (p *Part) markCrowded(s *slot) {
	if !p.crowded(s) {
		p.reportNow = true
	}
	s.crowdedAt = p.now
}

func (p *Part) crowded(s *slot) bool {
	return s.crowdedAt != 0 && p.now.Sub(s.crowdedAt) < crowdedFor
}

// crowdedSlots returns the unloaded owned slots that a Report lists as crowded.
func (p *Part) crowdedSlots() []core.SlotID {
	var ids []core.SlotID
	for _, s := range p.sortedSlots {
		if s.owned && s.base.item == nil && p.crowded(s) {
			ids = append(ids, s.id)
		}
	}
	return ids
}
