package steward

import (
	"strings"

	"nutmeglane.example/nutmeglane/internal/code"
	"nutmeglane.example/nutmeglane/internal/core"
)

const (
	counterElections core.Counter = "steward_offices_total"
	counterWrites    core.Counter = "steward_writes_total"
	counterFences    core.Counter = "steward_fences_total"
	counterSlots     core.Counter = "steward_slot_changes_total"
	counterStray     core.Counter = "steward_stray_reports_total"
	counterRedials   core.Counter = "steward_redials_total"
	counterEvicts    core.Counter = "steward_evictions_total"
)

// Counters returns the definitions of the counters that the part emits.
func (p *Part) Counters() []core.CounterDef { return Counters() }

// Counters returns the definitions of the counters that a steward part emits.
func Counters() []core.CounterDef {
	return []core.CounterDef{
		{Name: counterElections, Help: "Times this process came to the steward's office."},
		{Name: counterWrites, Help: "Compare-and-swap writes answered.", Labels: []string{"key", "outcome"}},
		{Name: counterFences, Help: "Roster entries marked fenced.", Labels: []string{"proof"}},
		{Name: counterSlots, Help: "Slot changes decided.", Labels: []string{"change"}},
		{Name: counterStray, Help: "Reports of hosts that the list lacks or has in another zone."},
		{Name: counterRedials, Help: "Connections made anew to learn which incarnation is the newest."},
		{Name: counterEvicts, Help: "Unloads asked of engines whose agents are fenced, answered.", Labels: []string{"outcome"}},
	}
}

func kindOfKey(key string) string {
	switch {
	case key == core.KeySteward:
		return "steward"
	case strings.HasPrefix(key, core.KeyRosterPrefix):
		return "roster"
	default:
		return "slots"
	}
}

func outcomeOf(c code.Code) string {
	switch c {
	case code.OK:
		return "ok"
	case code.KVConflict:
		return "conflict"
	case code.KVUnknown:
		return "unknown"
	default:
		return "failed"
	}
}
