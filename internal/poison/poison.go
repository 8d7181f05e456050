// Package poison detects requests that crash the backend servers that run them, from the
// servers that ended while the requests ran. The caller of such a request retries it,
// with a new id and at any router, and each attempt ends one more server with all
// requests that run there. In this package a server ends under a request if it ends while
// the request runs there.
//
// A Ledger is plain data without I/O or clock. Its conclusions depend on the set of
// recorded ends and not on their order, so routers with the same ends reach the same
// conclusions.
package poison

import (
	"cmp"
	"slices"
	"time"

	"nutmeglane.example/nutmeglane/internal/core"
)

const (
	// Threshold is the number of servers that must have ended under a request before it
	// is blocked. Harmless requests are occasionally on two servers that crash, as a
	// resumable stream is resent from one server to the next. For three, the caller has
	// to retry as well.
	Threshold = 3
	// minUnexplained of them must be ends that no other poison request explains. One may
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
	// Retention is how long a request is remembered after its last end or arrival. A
	// caller that has not retried for minutes has given up, and the server's software
	// may have been fixed meanwhile.
	Retention = 10 * time.Minute
	// maxRequests limits the ledger, at some 200 bytes per request. Requests with the
	// fewest ends are removed first. The requests recorded for an end are at most those
	// that a server runs, so the ledger holds at least the requests of the last 30 ends.
	maxRequests = 4096
)

// Ledger records the ends of servers and the requests that ran there. Create it with New.
type Ledger struct {
	// ends are the recorded ends by server instance, one for each life.
	ends     map[string][]*end
	requests map[core.Fingerprint]*record
	// cleared are requests that are known to be harmless, with the ends that do not
	// count against them even if they are reported again.
	cleared map[core.Fingerprint]clearance
}

// clearance holds when a request was cleared and which server lives no longer count
// against it.
type clearance struct {
	at    core.Time
	lives []core.ServerLife
}

// end is the end of one server.
type end struct {
	core.ServerEnd
	at core.Time
	// lost are the requests that ran there.
	lost map[core.Fingerprint]lostEntry
}

// lostEntry describes a request at an end; see core.LostRequest.
type lostEntry struct{ age, arrival uint32 }

// record holds what was recorded of one request.
type record struct {
	// ends are the ends of servers on which it ran, in the order in which they were
	// recorded.
	ends []*end
	// seen is when it last arrived or was recorded at an end.
	seen core.Time
	// local is set if this process noticed one of the ends.
	local bool
}

// age returns how long the request had been on the servers that ended, in total, in ms.
func (r *record) age(f core.Fingerprint) int {
	sum := 0
	for _, e := range r.ends {
		sum += int(e.lost[f].age)
	}
	return sum
}

// arrivals returns the number of the caller's attempts under which servers ended.
func (r *record) arrivals(f core.Fingerprint) int {
	seen := map[uint32]bool{}
	for _, e := range r.ends {
		seen[e.lost[f].arrival] = true
	}
	return len(seen)
}

// New returns an empty ledger.
func New() *Ledger {
	return &Ledger{ends: map[string][]*end{}, requests: map[core.Fingerprint]*record{}, cleared: map[core.Fingerprint]clearance{}}
}

// Add records an end that this process noticed, or further requests that ran at a
// recorded one. It returns the requests that have become poison by it.
func (l *Ledger) Add(now core.Time, noticed core.ServerEnd) []core.Fingerprint {
	poison := l.add(now, noticed)
	for _, lost := range noticed.Requests {
		if r := l.requests[lost.Fingerprint]; r != nil {
			r.local = true
		}
	}
	return poison
}

// AddNews records what another process reported. It returns the requests that have become
// poison by it.
func (l *Ledger) AddNews(now core.Time, news core.PoisonNews) []core.Fingerprint {
	var poison []core.Fingerprint
	for _, e := range news.Ends {
		poison = append(poison, l.add(now, e)...)
	}
	for _, f := range news.Cleared {
		l.Clear(now, f)
	}
	return poison
}

func (l *Ledger) add(now core.Time, reported core.ServerEnd) []core.Fingerprint {
	known := l.find(reported.Life)
	if known == nil {
		known = &end{ServerEnd: reported, at: now.Add(-reported.Ago), lost: map[core.Fingerprint]lostEntry{}}
		known.Requests = nil
		l.ends[reported.Life.Instance] = append(l.ends[reported.Life.Instance], known)
	}
	var poison []core.Fingerprint
	for _, lost := range reported.Requests {
		f := lost.Fingerprint
		before := l.Poison(f)
		l.recordLost(now, lost, known)
		if !before && l.Poison(f) {
			poison = append(poison, f)
		}
	}
	l.dropEmpty(known)
	l.evictExcess()
	return poison
}

// find returns the end of a life, or nil. A router that does not know yet when the life
// began reports it with Born 0, which matches any end of the instance.
func (l *Ledger) find(life core.ServerLife) *end {
	for _, e := range l.ends[life.Instance] {
		if e.Life.Born == life.Born || e.Life.Born == 0 || life.Born == 0 {
			return e
		}
	}
	return nil
}

// recordLost records a request at an end. Of two attempts there the one with the lower
// age is kept.
func (l *Ledger) recordLost(now core.Time, lost core.LostRequest, e *end) {
	f := lost.Fingerprint
	if slices.Contains(l.cleared[f].lives, e.Life) {
		return
	}
	entry := lostEntry{lost.Age, lost.Arrival}
	if before, ok := e.lost[f]; ok {
		if entry.before(before) {
			e.lost[f] = entry
		}
		return
	}
	r := l.requests[f]
	if r == nil {
		r = &record{}
		l.requests[f] = r
	}
	e.lost[f] = entry
	r.ends, r.seen = append(r.ends, e), now
}

// before orders attempts at one server, so that all routers keep the same one.
func (t lostEntry) before(other lostEntry) bool {
	return cmp.Or(cmp.Compare(t.age, other.age), cmp.Compare(t.arrival, other.arrival)) < 0
}

// Local reports whether this process noticed one of the ends under a request.
func (l *Ledger) Local(f core.Fingerprint) bool {
	r := l.requests[f]
	return r != nil && r.local
}

// Ends returns the number of servers that ended under a request.
func (l *Ledger) Ends(f core.Fingerprint) int {
	if r := l.requests[f]; r != nil {
		return len(r.ends)
	}
	return 0
}

// Poison reports whether a request must not be sent to servers.
//
// It guards against blocking harmless requests that ran next to a poison request: an end
// that another request explains does not count.
func (l *Ledger) Poison(f core.Fingerprint) bool {
	r := l.requests[f]
	if r == nil || len(r.ends) < Threshold || r.arrivals(f) < minArrivals {
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
	for other := range e.lost {
		o := l.requests[other]
		if other == f || len(o.ends) < Threshold {
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
