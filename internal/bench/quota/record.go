package quota

import (
	"time"

	"nutmeglane.example/nutmeglane/internal/core"
	"nutmeglane.example/nutmeglane/internal/quota"
)

// recordInterval is the resolution of recorded use.
const recordInterval = 50 * time.Millisecond

// record has the use and the decisions on the requests of an account.
type record struct {
	began core.Time
	// used is the admitted cost in each interval.
	used []float64
	// requested counts all requests, idealAdmitted those that one exact token bucket would
	// admit, refused those of the latter that were refused. requestedSum and admitted are
	// sums of costs.
	requested, idealAdmitted, refused int
	requestedSum, admitted            float64
	// markUsed and markRequested are the sums of costs since markAt.
	markUsed, markRequested float64
	markAt                  core.Time
}

func (r *record) add(now core.Time, cost float64, admitted, idealAdmitted bool) {
	if r.began == 0 {
		r.began, r.markAt = now, now
	}
	i := int(now.Sub(r.began) / recordInterval)
	for len(r.used) <= i {
		r.used = append(r.used, 0)
	}
	r.requested++
	r.requestedSum += cost
	r.markRequested += cost
	if idealAdmitted {
		r.idealAdmitted++
	}
	if admitted {
		r.used[i] += cost
		r.admitted += cost
		r.markUsed += cost
	} else if idealAdmitted {
		r.refused++
	}
}

// worstWindow returns the highest use in any window from the given time on, as a fraction
// of the use that the bounds allow.
func (r *record) worstWindow(b quota.Bounds, l quota.Limit, from core.Time) float64 {
	slots := int(b.Window / recordInterval)
	first := max(0, int(from.Sub(r.began)/recordInterval))
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
