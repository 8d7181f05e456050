package quota

import (
	"time"

	"nutmeglane.example/nutmeglane/internal/core"
	"nutmeglane.example/nutmeglane/internal/quota"
)

// slot is how finely use is recorded.
const slot = 50 * time.Millisecond

// record is what became of an account's requests.
type record struct {
	began core.Time
	// used is what was admitted in each slot.
	used []float64
	// owed are requests that an exact bucket admits, refused those of them that were.
	asked, owed, refused int
	askedSum, admitted   float64
	// spells are what was admitted and asked since the last mark.
	markUsed, markAsked float64
	markAt              core.Time
}

func (r *record) add(now core.Time, cost float64, admitted, owed bool) {
	if r.began == 0 {
		r.began, r.markAt = now, now
	}
	i := int(now.Sub(r.began) / slot)
	for len(r.used) <= i {
		r.used = append(r.used, 0)
	}
	r.asked++
	r.askedSum += cost
	r.markAsked += cost
	if owed {
		r.owed++
	}
	if admitted {
		r.used[i] += cost
		r.admitted += cost
		r.markUsed += cost
	} else if owed {
		r.refused++
	}
}

// worst returns the use in the worst window, as a part of what the bounds allow, from a
// slot on.
func (r *record) worst(b quota.Bounds, l quota.Limit, from core.Time) float64 {
	slots := int(b.Window / slot)
	first := max(0, int(from.Sub(r.began)/slot))
	sum, worst := 0.0, 0.0
	for i := first; i < len(r.used); i++ {
		sum += r.used[i]
		if i-slots >= first {
			sum -= r.used[i-slots]
		}
		worst = max(worst, sum)
	}
	return worst / b.MaxUse(l)
}
