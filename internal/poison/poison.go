// Package poison tells which requests crash the backend servers that run them,
// from the servers that ended while they ran. Such a request is sent again by its
// caller, under a new id and at any router; each time it ends one more server, with
// all that runs there.
//
// A Ledger is plain data without I/O or clock. What it concludes depends on the ends
// it was told, not on their order, so that routers which were told the same conclude
// the same.
package poison

import (
	"cmp"
	"slices"
	"time"

	"nutmeglane.example/nutmeglane/internal/core"
)

const (
	// Threshold is the number of servers that must have ended under a request before
	// it is kept from further ones. Of requests that are well, those next to two
	// crashes are seen now and then: a resumable stream is sent on from one to the
	// next. Three need a caller who comes back as well.
	Threshold = 3
	// leastUnexplained of them must be ends that no other poison request explains. One
	// may be shared: two poison requests that come at once meet at a server, and the
	// one with fewer ends would be let through again for it.
	leastUnexplained = 2
	// leastArrivals is how many tries of its caller's they must have ended under.
	//
	// It guards against shutting out a stream that we send on ourselves: with all that
	// waits for a model it moves to the next engine that has it, and so does a poison
	// request, which ends one after the other within a second.
	leastArrivals = 2
	// leastAddresses is at how many addresses these servers must have been, where the
	// service has that many.
	//
	// It guards against a server that crashes under anything, and is started again
	// and again: what is sent there three times is well, and is served elsewhere.
	leastAddresses = 2
	// Keep is how long after its last end or arrival a request is remembered. A caller
	// that has stopped coming back for minutes has given up, and the server's software
	// may have been mended meanwhile.
	Retention = 10 * time.Minute
	// maxRequests bounds the ledger, at some 200 bytes each. Those under which the
	// fewest servers ended yield first. An end has at most what a server runs, so that
	// this holds the requests of the last 30 ends or more.
	maxRequests = 4096
)

// Ledger is what is known of servers' ends. Create it with New.
type Ledger struct {
	// ends are those of one instance's lives.
	ends     map[string][]*end
	requests map[core.Fingerprint]*record
	// cleared are requests that are known to be well, and the ends that count against
	// them no more, whoever tells of them later.
	cleared map[core.Fingerprint]clearance
}

// clearance is what was taken back of a request.
type clearance struct {
	at    core.Time
	lives []core.ServerLife
}

// end is one server's end.
type end struct {
	core.ServerEnd
	at core.Time
	// lost are the requests that were there.
	lost map[core.Fingerprint]lostThere
}

// lostThere is what is told of a request at an end; see core.LostRequest.
type lostThere struct{ age, arrival uint32 }

// record is what is known of one request.
type record struct {
	// ends are those of servers on which it ran, in the order in which they were told.
	ends []*end
	// seen is when it last arrived or lost a server.
	seen core.Time
	// own is set if one of the ends was noticed by this process.
	own bool
}

// age is for how long the request had been at the servers that ended, in all, in ms.
func (r *record) age(f core.Fingerprint) int {
	sum := 0
	for _, e := range r.ends {
		sum += int(e.lost[f].age)
	}
	return sum
}

// arrivals is the number of its caller's tries under which servers ended.
func (r *record) arrivals(f core.Fingerprint) int {
	seen := map[uint32]bool{}
	for _, e := range r.ends {
		seen[e.lost[f].arrival] = true
	}
	return len(seen)
}

// New returns a ledger that knows nothing.
func New() *Ledger {
	return &Ledger{ends: map[string][]*end{}, requests: map[core.Fingerprint]*record{}, cleared: map[core.Fingerprint]clearance{}}
}

// Add takes in an end that this process noticed, or further requests that ran at one.
// It returns those of the requests that are poison from now on and were not before.
func (l *Ledger) Add(now core.Time, noticed core.ServerEnd) []core.Fingerprint {
	poison := l.add(now, noticed)
	for _, lost := range noticed.Requests {
		if r := l.requests[lost.Fingerprint]; r != nil {
			r.own = true
		}
	}
	return poison
}

// Hear takes in what another process told. It returns the requests that are poison
// from now on and were not before.
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

func (l *Ledger) add(now core.Time, told core.ServerEnd) []core.Fingerprint {
	known := l.find(told.Life)
	if known == nil {
		known = &end{ServerEnd: told, at: now.Add(-told.Ago), lost: map[core.Fingerprint]lostThere{}}
		known.Requests = nil
		l.ends[told.Life.Instance] = append(l.ends[told.Life.Instance], known)
	}
	var poison []core.Fingerprint
	for _, lost := range told.Requests {
		f := lost.Fingerprint
		before := l.Poison(f)
		l.ranAt(now, lost, known)
		if !before && l.Poison(f) {
			poison = append(poison, f)
		}
	}
	l.dropEmpty(known)
	l.bound()
	return poison
}

// find returns the end of a life. Of one router that knows when the life began and one
// that does not yet, both mean the same.
func (l *Ledger) find(life core.ServerLife) *end {
	for _, e := range l.ends[life.Instance] {
		if e.Life.Born == life.Born || e.Life.Born == 0 || life.Born == 0 {
			return e
		}
	}
	return nil
}

// ranAt enters a request at an end. Of two tries there the younger one counts.
func (l *Ledger) ranAt(now core.Time, lost core.LostRequest, e *end) {
	f := lost.Fingerprint
	if slices.Contains(l.cleared[f].lives, e.Life) {
		return
	}
	there := lostThere{lost.Age, lost.Arrival}
	if before, ok := e.lost[f]; ok {
		if there.before(before) {
			e.lost[f] = there
		}
		return
	}
	r := l.requests[f]
	if r == nil {
		r = &record{}
		l.requests[f] = r
	}
	e.lost[f] = there
	r.ends, r.seen = append(r.ends, e), now
}

// before orders tries at one server, so that all routers keep the same one.
func (t lostThere) before(other lostThere) bool {
	return cmp.Or(cmp.Compare(t.age, other.age), cmp.Compare(t.arrival, other.arrival)) < 0
}

// Own tells whether this process noticed one of the ends under a request.
func (l *Ledger) Local(f core.Fingerprint) bool {
	r := l.requests[f]
	return r != nil && r.own
}

// Ends is the number of servers that ended under a request.
func (l *Ledger) Ends(f core.Fingerprint) int {
	if r := l.requests[f]; r != nil {
		return len(r.ends)
	}
	return 0
}

// Poison tells whether a request is to be kept from servers.
//
// It guards against shutting out requests that are well and were beside a poison one:
// an end that another request explains does not count.
func (l *Ledger) Poison(f core.Fingerprint) bool {
	r := l.requests[f]
	if r == nil || len(r.ends) < Threshold || r.arrivals(f) < leastArrivals {
		return false
	}
	counted, sole := 0, false
	addresses := map[string]bool{}
	for _, e := range r.ends {
		if l.explained(e, f, r) {
			continue
		}
		counted++
		addresses[e.Address] = true
		sole = sole || e.Sole
	}
	return counted >= leastUnexplained && (sole || len(addresses) >= leastAddresses)
}

// explained tells whether another request at an end explains it better than this one:
// more servers ended under it, at least Threshold. Of as many, the one explains it that
// came anew more often, since what is well is mostly sent on by us; then the one that
// had been there for the shorter time, since what crashes a server as it begins to run
// is young each time.
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
