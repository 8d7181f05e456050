package poison

import (
	"cmp"
	"maps"
	"slices"

	"nutmeglane.example/nutmeglane/internal/core"
)

// This file forgets: what was taken back, what has not been seen for long, and what is
// too much.

// Seen notes that a request has arrived again.
func (l *Ledger) RecordArrival(now core.Time, f core.Fingerprint) {
	if r := l.requests[f]; r != nil {
		r.seen = now
	}
}

// Clear takes back what is held against a request that is known to be well. It reports
// whether anything was.
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

// drop forgets a request.
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

// Forget drops what has not been seen for Keep.
func (l *Ledger) Expire(now core.Time) {
	for _, f := range slices.Sorted(maps.Keys(l.requests)) {
		if now.Sub(l.requests[f].seen) >= Retention {
			l.drop(f)
		}
	}
	maps.DeleteFunc(l.cleared, func(_ core.Fingerprint, c clearance) bool { return now.Sub(c.at) >= Retention })
}

// bound drops the least telling requests beyond maxRequests.
func (l *Ledger) bound() {
	if len(l.requests) <= maxRequests {
		return
	}
	// More than needed, so that not every end sorts them all.
	excess := len(l.requests) - maxRequests*7/8
	byWorth := slices.SortedFunc(maps.Keys(l.requests), func(a, b core.Fingerprint) int {
		x, y := l.requests[a], l.requests[b]
		return cmp.Or(cmp.Compare(len(x.ends), len(y.ends)), cmp.Compare(x.seen, y.seen), cmp.Compare(a, b))
	})
	for _, f := range byWorth[:excess] {
		l.drop(f)
	}
}
