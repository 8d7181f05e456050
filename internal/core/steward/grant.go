package steward

import (
	"slices"

	"nutmeglane.example/nutmeglane/internal/core"
)

// grant answers an agent whose renewal is in the roster, and sends a new Grant
// when its slots changed. It is sent only for a committed entry; the package
// comment explains why outdated views do no harm.
func (p *Part) grant(now core.Time, h *hostState) {
	if !p.isSteward(now) || !p.tablesKnown() {
		return
	}
	if !h.hasEntry || !h.reporting() || h.report.Incarnation != h.entry.Incarnation {
		return
	}
	last := h.lastGrant
	if last.incarnation != h.entry.Incarnation {
		last = sentGrant{}
	}
	if h.entry.Fenced {
		p.refuse(h, last)
		return
	}
	if !p.takenOver(h) {
		return
	}
	slots := p.slotsOf(h)
	if last.sequence == h.entry.Sequence && slices.Equal(last.slots, slots) {
		return
	}
	h.lastGrant = sentGrant{h.entry.Incarnation, h.entry.Sequence, slots}
	p.emit(core.Send{To: h.id, Message: core.Grant{
		Sequence: h.entry.Sequence, Incarnation: h.entry.Incarnation,
		Tenure: p.config.Timings.Tenure, Slots: slots, Revision: p.tablesRevision(),
	}})
}

// refuse informs a fenced agent, by a Grant without tenure, that its incarnation
// gets no more slots: only a new one can own slots on the host.
func (p *Part) refuse(h *hostState, last sentGrant) {
	if last.sequence == h.report.Sequence {
		return
	}
	h.lastGrant = sentGrant{incarnation: h.entry.Incarnation, sequence: h.report.Sequence}
	p.emit(core.Send{To: h.id, Message: core.Grant{
		Sequence: h.report.Sequence, Incarnation: h.entry.Incarnation, Revision: p.tablesRevision(),
	}})
}

// takenOver reports whether the slots of earlier incarnations on the host have
// been assigned to this one. Until then no Grant is sent: a new agent that got
// a Grant without slots would unload what its engine holds, only to load it again.
func (p *Part) takenOver(h *hostState) bool {
	for _, c := range p.chunks {
		for _, s := range c.byOwner[h.id] {
			if s.Incarnation != h.entry.Incarnation {
				return false
			}
		}
	}
	return true
}

// tablesRevision returns the newest revision of the slot tables that was seen.
func (p *Part) tablesRevision() int64 {
	var newest int64
	for _, c := range p.chunks {
		newest = max(newest, c.revision)
	}
	return newest
}

func (p *Part) slotsOf(h *hostState) []core.Slot {
	var slots []core.Slot
	for _, c := range p.chunks {
		slots = append(slots, c.byOwner[h.id]...)
	}
	return slots
}
