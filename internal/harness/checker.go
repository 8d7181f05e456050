package harness

import (
	"fmt"
	"maps"
	"strings"
	"time"

	"nutmeglane.example/nutmeglane/internal/api"
	"nutmeglane.example/nutmeglane/internal/code"
	"nutmeglane.example/nutmeglane/internal/core"
)

// answerSlack is the tolerated time from the deadline of a request to its
// answer. It covers message delays and the delay of a busy process.
const answerSlack = time.Second

// writeSettleTime is the maximum duration of a write that was decided before a
// new configuration came into force.
const writeSettleTime = 2 * time.Second

// Checker checks the system's invariants on what the fakes observe and records
// every violation.
type Checker struct {
	Violations []string
	Outcomes   []*Outcome
	Loads      int
	// LoadsByKey counts loads by checkpoint key.
	LoadsByKey map[string]int
	// IdleTime is the accelerator time during which a model was loaded without
	// a running request, weighted by its share of the engine's accelerators.
	// LoadedTime is the total accelerator time of loaded models.
	IdleTime, LoadedTime time.Duration

	runs map[core.RequestID]int
	// slots is the slot table stored in the KV service. allowed is the number
	// of replicas that may be loaded by the slot table and the configuration.
	slots   map[core.SlotID]core.Slot
	highest map[string]uint64
	allowed map[string]int
	limits  map[string]int
	// lastOutdated is the last time at which some process had an older
	// configuration.
	lastOutdated core.Time
	// needsCheck is set when the input of check has changed.
	needsCheck bool
}

func newChecker() *Checker {
	return &Checker{
		LoadsByKey: map[string]int{}, runs: map[core.RequestID]int{},
		slots: map[core.SlotID]core.Slot{}, highest: map[string]uint64{},
		allowed: map[string]int{}, limits: map[string]int{},
	}
}

// Ran reports whether a request ran on an engine or service.
func (r *Checker) Ran(id core.RequestID) bool { return r.runs[id] > 0 }

// ReportViolation records the violation of an invariant.
func (r *Checker) ReportViolation(format string, args ...any) {
	r.Violations = append(r.Violations, fmt.Sprintf(format, args...))
}

func nameOf(key string) string {
	name, _, _ := strings.Cut(key, "@")
	return name
}

// configAccepted records a newly accepted configuration. When a limit is
// lowered, the higher limit applies until the slots above the new one are
// gone; see check.
func (r *Checker) configAccepted(s *api.Snapshot) {
	r.needsCheck = true
	clear(r.limits)
	for name, m := range s.Models {
		r.limits[name] = m.Spec.Replicas.Max
	}
	for name, a := range s.Adapters {
		r.limits[name] = a.Spec.Replicas.Max
	}
	for name, limit := range r.limits {
		r.allowed[name] = max(r.allowed[name], limit)
	}
}

// slotTableWritten records and checks a written chunk of the slot table. A slot
// keeps its fencing number as long as it has the same owner. The number of a
// new owner, or one assigned after a release, must be higher than all earlier
// numbers of the model, because engines store one number per checkpoint.
func (r *Checker) slotTableWritten(chunk int, value []byte) {
	r.needsCheck = true
	var table core.SlotTable
	if err := core.DecodeValue(value, &table); err != nil {
		r.ReportViolation("slot table not readable: %v", err)
		return
	}
	before := maps.Clone(r.highest)
	for _, s := range table.Slots {
		old, known := r.slots[s.ID]
		moved := !known || old.Owner != s.Owner || old.Incarnation != s.Incarnation
		changed := moved || s.Generation != old.Generation
		if changed && s.Generation <= before[s.ID.Model] {
			r.ReportViolation("slot %v goes from %+v to %+v, highest generation %d", s.ID, old, s, before[s.ID.Model])
		}
		r.highest[s.ID.Model] = max(r.highest[s.ID.Model], s.Generation)
	}
	for id := range r.slots {
		if core.SlotChunk(id.Model) == chunk {
			delete(r.slots, id)
		}
	}
	for _, s := range table.Slots {
		r.slots[s.ID] = s
	}
}

// loadStarted counts a load and checks that the host owns a slot of the model
// in the slot table.
func (r *Checker) loadStarted(e *Engine, o core.Order) {
	r.needsCheck = true
	r.Loads++
	r.LoadsByKey[o.Key]++
	if model := nameOf(baseOf(o)); !r.owns(e.owner.Host.ID, model) {
		r.ReportViolation("%s loads %s without a slot, at %v", e.owner.Host.ID, o.Key, time.Duration(e.world.now))
	}
}

func baseOf(o core.Order) string {
	if o.Base != "" {
		return o.Base
	}
	return o.Key
}

func (r *Checker) owns(host core.HostID, model string) bool {
	for id, s := range r.slots {
		if id.Model == model && s.Owner == host {
			return true
		}
	}
	return false
}

// check verifies that the loaded replicas and the slots of each model are
// within the allowed number. After a limit is lowered, the higher limit applies
// until the lower one has been reached.
func (r *Checker) check(w *World) {
	if !r.needsCheck || w.snapshot == nil {
		return
	}
	r.needsCheck = false
	if !w.configuredEverywhere() {
		r.lastOutdated = w.now
	}
	settled := w.now.Sub(r.lastOutdated) > writeSettleTime
	loaded, slots := w.loadedReplicas(), map[string]int{}
	for id := range r.slots {
		slots[id.Model]++
	}
	for _, name := range core.SortedKeys(r.allowed) {
		if loaded[name] > r.allowed[name] {
			r.ReportViolation("%d replicas of %s loaded, %d decided, at %v", loaded[name], name, r.allowed[name], time.Duration(w.now))
		}
		if slots[name] > r.allowed[name] {
			r.ReportViolation("%d slots of %s in the table, %d decided, at %v", slots[name], name, r.allowed[name], time.Duration(w.now))
		}
		limit := r.limits[name]
		if settled && loaded[name] <= limit && slots[name] <= limit {
			r.allowed[name] = limit
		}
		r.needsCheck = r.needsCheck || r.allowed[name] > limit
	}
}

// loadedReplicas counts the checkpoints in all engines by name, across
// versions. A checkpoint counts from the start of its load to the end of its
// unload.
func (w *World) loadedReplicas() map[string]int {
	loaded := map[string]int{}
	for _, host := range w.order {
		if e := w.processes[host].Engine; e != nil {
			for key := range e.items {
				loaded[nameOf(key)]++
			}
		}
	}
	return loaded
}

// configuredEverywhere reports whether the newest configuration is in force at
// every running process. A paused process counts as outdated.
func (w *World) configuredEverywhere() bool {
	for _, p := range w.processes {
		if p.alive && (p.paused || p.revision < w.snapshot.Revision) {
			return false
		}
	}
	return true
}

func (r *Checker) runStarted(attempt core.AttemptID) { r.runs[attempt.Request]++ }

// recordIdle adds the loaded and idle time of an item that is removed. Adapters
// don't count.
func (r *Checker) recordIdle(e *Engine, it *item, now core.Time) {
	if it.Base != "" {
		return
	}
	share := float64(it.MemoryMiB) / float64(e.MemoryMiB) * float64(e.Accelerators)
	loaded, busy := now.Sub(it.since), it.busy
	if it.running > 0 {
		busy += now.Sub(it.busySince)
	}
	r.LoadedTime += time.Duration(float64(loaded) * share)
	r.IdleTime += time.Duration(float64(loaded-busy) * share)
}

// checkOutcome checks a finished request against the runs on the engines.
func (r *Checker) checkOutcome(o *Outcome) {
	runs := r.runs[o.ID]
	switch {
	case o.Code == code.OK && o.Tokens != o.Want:
		r.ReportViolation("request %s got %d of %d tokens as a whole answer", o.ID, o.Tokens, o.Want)
	case o.Code.NotRun() && runs > 0:
		r.ReportViolation("request %s refused as not run (%v) after %d runs", o.ID, o.Code, runs)
	}
	if late := o.Ended.Sub(o.due()); late > answerSlack {
		r.ReportViolation("request %s answered %v after its deadline, with %v", o.ID, late, o.Code)
	}
}

// Finish makes the checks that are only possible at the end: requests without
// an answer from a process that is still alive, repeated runs of requests that
// are not idempotent, and runs after a refusal. It also adds the idle time of
// the items that are still loaded.
func (w *World) Finish() {
	for _, o := range w.Checker.Outcomes {
		runs, p := w.Checker.runs[o.ID], o.entry
		overdue := w.now.Sub(o.due()) > answerSlack
		if o.Ended == 0 && overdue && p.alive && !p.paused && p.Incarnation == o.entryIncarnation {
			w.Checker.ReportViolation("request %s to %v was never answered", o.ID, o.Target)
		}
		if !o.Idempotent && runs > 1 {
			w.Checker.ReportViolation("request %s ran %d times", o.ID, runs)
		}
		if o.Ended != 0 && o.Code.NotRun() && runs > 0 {
			w.Checker.ReportViolation("request %s ran %d times after %v", o.ID, runs, o.Code)
		}
	}
	for _, host := range w.order {
		if e := w.processes[host].Engine; e != nil {
			for _, key := range core.SortedKeys(e.items) {
				w.Checker.recordIdle(e, e.items[key], w.now)
			}
		}
	}
}

// Runs returns the number of times a request ran on a backend server.
func (r *Checker) Runs(id core.RequestID) int { return r.runs[id] }
