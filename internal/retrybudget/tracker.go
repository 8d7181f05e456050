package retrybudget

import (
	"time"

	"nutmeglane.example/nutmeglane/internal/core"
)

// Tracker follows the attempts of one request until none of them can arrive any more. Until then
// its retries are unsettled: they may arrive at any moment, together with later ones. The zero
// value is a request that was not sent.
type Tracker struct {
	// open is the number of attempts of which it is not known whether they have arrived.
	open int
	// unsettled are the retries, in the order in which they were taken.
	unsettled []*retry
}

// Take takes a retry from the budget, or returns false if none is left.
func (t *Tracker) Take(b *Budget, now core.Time, part float64) bool {
	taken := b.take(now, part)
	if taken == nil {
		return false
	}
	t.unsettled = append(t.unsettled, taken)
	return true
}

// Sent records that an attempt is sent.
func (t *Tracker) Sent() { t.open++ }

// Settled are retries of which it became known that they have arrived or never will.
type Settled struct {
	Retries int
	// After is the time since the first of them was taken.
	After time.Duration
}

// Settle records that an attempt has arrived or never will. It returns the retries of the request
// once that is known of all attempts: of two, either may be the one that arrives later.
func (t *Tracker) Settle(b *Budget, now core.Time) Settled {
	t.open--
	if t.open > 0 || len(t.unsettled) == 0 {
		return Settled{}
	}
	settled := Settled{Retries: len(t.unsettled), After: now.Sub(t.unsettled[0].at)}
	for _, each := range t.unsettled {
		b.settle(now, each)
	}
	t.unsettled = nil
	return settled
}
