package poison

import (
	"cmp"

	"nutmeglane.example/nutmeglane/internal/core"
)

// This file draws the conclusions: which suspects are poison.

const (
	// Threshold is the number of servers that must have ended under a suspect before it
	// is blocked. Harmless requests are occasionally on two servers that crash, as a
	// resumable stream is resent from one server to the next. For three, the caller has
	// to retry as well.
	Threshold = 3
	// minUnexplained of them must be ends that no other suspect explains. One may
	// be shared: two poison requests that arrive at the same time can be on the same
	// server, and the one with fewer ends would otherwise be allowed again because of
	// that end.
	minUnexplained = 2
	// minArrivals is the minimum number of the caller's attempts under which the servers
	// ended.
	//
	// It guards against blocking a stream that the routers resend themselves: together
	// with all requests that wait for a model it moves to the next engine that has the
	// model, and so does a poison request, which ends one engine after the other within
	// a second.
	minArrivals = 2
	// minAddresses is the minimum number of addresses of these servers, if the service
	// has that many.
	//
	// It guards against a server that crashes with any request and is restarted again
	// and again: a request that was sent there three times is harmless, and other
	// servers can serve it.
	minAddresses = 2
)

// Poison reports whether a suspect must not be sent to servers.
//
// It guards against blocking harmless requests that ran next to a poison request: an end
// that another request explains does not count.
func (l *Ledger) Poison(_ core.Time, f core.Fingerprint) bool {
	r := l.suspects[f]
	if r == nil || r.kind == Part || len(r.ends) < Threshold || r.arrivals(f) < minArrivals {
		return false
	}
	unexplained, sole := 0, false
	addresses := map[string]bool{}
	for _, e := range r.ends {
		if l.explained(e, f, r) {
			continue
		}
		unexplained++
		addresses[e.Address] = true
		sole = sole || e.Sole
	}
	return unexplained >= minUnexplained && (sole || len(addresses) >= minAddresses)
}

// explained reports whether another request at an end explains it better than this one.
// That is the case if more servers ended under the other request, and at least Threshold.
// With equal numbers the request with more attempts of its caller explains it, since
// harmless requests are mostly resent by the routers; then the request that had been
// there for a shorter time, since a request that crashes servers as it begins to run has
// a low age each time.
func (l *Ledger) explained(e *end, f core.Fingerprint, r *record) bool {
	for other := range l.candidates {
		o := l.suspects[other]
		if e.lost[other] == nil || other == f || o.kind == Part {
			continue
		}
		better := cmp.Or(
			cmp.Compare(len(o.ends), len(r.ends)),
			cmp.Compare(o.arrivals(other), r.arrivals(f)),
			cmp.Compare(r.age(f), o.age(other)),
		)
		if better > 0 {
			return true
		}
	}
	return false
}

// age returns how long the suspect had been on the servers that ended, in total, in ms. Of
// several requests that hold it the youngest counts.
func (r *record) age(f core.Fingerprint) int {
	sum := 0
	for _, e := range r.ends {
		youngest := e.lost[f][0].Age
		for _, holder := range e.lost[f][1:] {
			youngest = min(youngest, holder.Age)
		}
		sum += int(youngest)
	}
	return sum
}

// arrivals returns the number of the caller's attempts under which servers ended.
func (r *record) arrivals(f core.Fingerprint) int {
	seen := map[uint32]bool{}
	for _, e := range r.ends {
		for _, holder := range e.lost[f] {
			seen[holder.Arrival] = true
		}
	}
	return len(seen)
}
