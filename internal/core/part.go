package core

// Part is a sub-reducer. Package machine dispatches each event to the parts of its
// process role. A part is deterministic given its configuration and the sequence of
// events: it reads no clock, starts no goroutine, does no I/O, and takes random
// numbers only from a generator that is seeded by its configuration.
type Part interface {
	// Step processes one event at time now and returns the resulting effects. It
	// never blocks. Times of successive calls never decrease.
	Step(now Time, event Event) []Effect
	// Next is the time at which the part needs a Tick, or Never.
	Next() Time
	// Dump returns the part's state for the operators' state dump: plain data that
	// encoding/json can marshal, without request text or secrets.
	Dump() any
}

// CounterDef describes a counter or histogram that a part emits by Count or
// Observe effects.
type CounterDef struct {
	// Name ends in _total (counters), _seconds or _bytes (histograms). It has no
	// namespace; the prefix "nutmeglane_" is added on export.
	Name   Counter
	Help   string
	Labels []string
}

// Tag bases make the Tags of effects of different parts distinct: a part uses its
// base plus a sequence number.
const (
	TagSteward uint64 = 1 << 56
	TagConfig  uint64 = 2 << 56
	// TagEvict is the base of the steward's Evict effects.
	TagEvict uint64 = 3 << 56
)
