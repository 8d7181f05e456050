package steward

import (
	"slices"

	"nutmeglane.example/nutmeglane/internal/core"
)

// Values of the label "change" for changes of a model's AdapterMax.
const (
	changeAdaptersOff = "adapters off"
	changeAdaptersOn  = "adapters on"
)

// updateAdapterMax adapts AdapterMax of each model's slots to the model's limit,
// after the slots of the draft have been decided. See Slot.AdapterMax for the
// two phases of a change.
func (pl *planRun) updateAdapterMax() {
	if pl.snapshot == nil {
		return
	}
	for i := range pl.drafts {
		d := &pl.drafts[i]
		for from, to := 0, 0; from < len(d.table.Slots); from = to {
			for to = from; to < len(d.table.Slots) && d.table.Slots[to].ID.Model == d.table.Slots[from].ID.Model; {
				to++
			}
			pl.updateModel(d, d.table.Slots[from:to])
		}
	}
}

// updateModel takes the next step for the slots of one model, including those
// that are to be dropped: their owners may still hold adapters.
func (pl *planRun) updateModel(d *draft, slots []core.Slot) {
	model := pl.snapshot.Models[slots[0].ID.Model]
	if model == nil {
		return // its slots are being dropped
	}
	wanted := uint16(model.Spec.Replicas.Max)
	switch first := slots[0]; {
	case !uniform(slots) || first.AdapterMax != 0 && first.AdapterMax != wanted:
		setAdapterMax(slots, 0)
		d.changes = append(d.changes, changeAdaptersOff)
	case first.AdapterMax == wanted:
	case pl.allCleared(slots):
		setAdapterMax(slots, wanted)
		d.changes = append(d.changes, changeAdaptersOn)
	}
}

// uniform reports whether all slots of a model are in the same phase of a change.
// They may differ in a table that another version wrote.
func uniform(slots []core.Slot) bool {
	return !slices.ContainsFunc(slots, func(s core.Slot) bool {
		return s.AdapterMax != slots[0].AdapterMax || s.AdapterEpoch != slots[0].AdapterEpoch
	})
}

// setAdapterMax sets AdapterMax of a model's slots, with an epoch higher than
// those of all of them.
func setAdapterMax(slots []core.Slot, most uint16) {
	var epoch uint64
	for _, s := range slots {
		epoch = max(epoch, s.AdapterEpoch)
	}
	for i := range slots {
		slots[i].AdapterMax, slots[i].AdapterEpoch = most, epoch+1
	}
}

// allCleared reports whether no owner of the model's slots has an adapter loaded,
// or will load one before AdapterMax is set.
func (pl *planRun) allCleared(slots []core.Slot) bool {
	return !slices.ContainsFunc(slots, func(s core.Slot) bool { return !pl.cleared(s) })
}

// cleared reports whether the owner reported the slot cleared in its current
// state.
//
// Incarnation, generation and epoch must be those of the slot. Otherwise, if the
// limit changes from 1 to 2 to 3 in quick succession, a report that answered the
// first change could be taken for an answer to the second one, although the owner
// has loaded adapters in between; or a new process that takes over a slot whose
// engine still holds adapters could be covered by its predecessor's report. Those
// adapters would be loaded beside the copies that the next count places elsewhere.
// A slot that changes its owner has a new generation in the draft, so its new
// owner has to report first.
func (p *Part) cleared(s core.Slot) bool {
	h := p.hosts[s.Owner]
	return h != nil && h.report.Incarnation == s.Incarnation &&
		slices.ContainsFunc(h.report.Cleared, func(c core.Slot) bool {
			return c.ID == s.ID && c.Generation == s.Generation && c.AdapterEpoch == s.AdapterEpoch
		})
}

// withAdapterMax gives a new slot the AdapterMax and epoch of the model's other
// slots, or the limit when there are none: all earlier ones were dropped with
// proof that nothing of them is loaded.
func (pl *planRun) withAdapterMax(d *draft, s core.Slot) core.Slot {
	for _, other := range d.table.Slots {
		if other.ID.Model == s.ID.Model {
			s.AdapterMax, s.AdapterEpoch = other.AdapterMax, other.AdapterEpoch
			return s
		}
	}
	s.AdapterMax = uint16(pl.snapshot.Models[s.ID.Model].Spec.Replicas.Max)
	return s
}

// clearedChanged reports whether two reports differ in the cleared slots.
func clearedChanged(old, report core.Report) bool {
	return !slices.Equal(old.Cleared, report.Cleared)
}
