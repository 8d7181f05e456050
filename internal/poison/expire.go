package poison

import (
	"cmp"
	"maps"
	"slices"

	"nutmeglane.example/nutmeglane/internal/core"
)

// This file removes data: what was cleared, what has not been seen for long, and what
// exceeds the size limit.

// RecordArrival records that a request has arrived again.
func (l *Ledger) RecordArrival(now core.Time, f core.Fingerprint) {
	if r := l.requests[f]; r != nil {
		r.seen = now
	}
}

// Clear removes the ends recorded for a request that is known to be harmless. It reports
// whether there were any.
func (l *Ledger) Clear(now core.Time, f core.Fingerprint) bool {
	r := l.requests[f]
	if r == nil {
		return false
	}
	lives := l.cleared[f].lives
	for _, e := range r.ends {
		lives = append(lives, e.Life)
	}
	l.cleared[f] = clearance{now, lives}
	l.drop(f)
	return true
}

// drop removes a request.
func (l *Ledger) drop(f core.Fingerprint) {
	r := l.requests[f]
	delete(l.requests, f)
	for _, e := range r.ends {
		delete(e.lost, f)
		l.dropEmpty(e)
	}
}

func (l *Ledger) dropEmpty(e *end) {
	if len(e.lost) > 0 {
		return
	}
	instance := e.Life.Instance
	l.ends[instance] = slices.DeleteFunc(l.ends[instance], func(other *end) bool { return other == e })
	if len(l.ends[instance]) == 0 {
		delete(l.ends, instance)
	}
}

// Expire removes what has not been seen for Retention.
func (l *Ledger) Expire(now core.Time) {
	for _, f := range slices.Sorted(maps.Keys(l.requests)) {
		if now.Sub(l.requests[f].seen) >= Retention {
			l.drop(f)
		}
	}
	maps.DeleteFunc(l.cleared, func(_ core.Fingerprint, c clearance) bool { return now.Sub(c.at) >= Retention })
}

// evictExcess removes the requests with the fewest ends beyond maxRequests.
func (l *Ledger) evictExcess() {
	if len(l.requests) <= maxRequests {
		return
	}
	// Removes more than needed, so that not each new end has to sort all requests.
	excess := len(l.requests) - maxRequests*7/8
	byWorth := slices.SortedFunc(maps.Keys(l.requests), func(a, b core.Fingerprint) int {
		x, y := l.requests[a], l.requests[b]
		return cmp.Or(cmp.Compare(len(x.ends), len(y.ends)), cmp.Compare(x.seen, y.seen), cmp.Compare(a, b))
	})
	for _, f := range byWorth[:excess] {
		l.drop(f)
	}
}
