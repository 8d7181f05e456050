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
	// taken are the unsettled retries, the first of which was taken at takenAt.
	taken   int
	takenAt core.Time
}

// Take takes a retry from the budget, or returns false if none is left.
func (t *Tracker) Take(b *Budget, now core.Time, part float64) bool {
	if !b.take(now, part) {
		return false
	}
	if t.taken == 0 {
		t.takenAt = now
	}
	t.taken++
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
	if t.open > 0 || t.taken == 0 {
		return Settled{}
	}
	settled := Settled{Retries: t.taken, After: now.Sub(t.takenAt)}
	b.settle(now, t.taken)
	t.taken = 0
	return settled
}
