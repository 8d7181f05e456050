package serverbudget

import (
	"time"

	"nutmeglane.example/nutmeglane/internal/core"
)

// State is the dump of a budget with its inputs.
type State struct {
	// PerSecond is the budget, 0 if there is none.
	PerSecond float64
	// Crowded is set if the server was crowded at the last evaluation. Waiting and Slots are
	// the mean load there.
	Crowded        bool
	Waiting, Slots float64
	// Usual is the moving average of the time of an answer without waiting.
	Usual, Target time.Duration
	// Asked is the rate of requests for permits, per second.
	Asked float64
}

// Dump returns the state at a time.
func (b *Budget) Dump(now core.Time) State {
	return State{
		PerSecond: b.perSecond, Crowded: b.crowded, Waiting: b.last.waiting, Slots: b.last.slots,
		Usual: b.usual, Target: b.target, Asked: b.asked.perSecond(now),
	}
}

// Crowded reports whether the server was crowded at the last evaluation.
func (b *Budget) Crowded() bool { return b.crowded }

// AllowedWait is the time that the waiting requests of a server may take.
func (b *Budget) AllowedWait() time.Duration {
	return time.Duration(crowdedShare * float64(b.target))
}
