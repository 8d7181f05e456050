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
	"maps"
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
	// leastAddresses is at how many addresses these servers must have been, where the
	// service has that many.
	//
	// It guards against a server that crashes under anything, and is started again
	// and again: what is sent there three times is well, and is served elsewhere.
	leastAddresses = 2
	// Keep is how long after its last end or arrival a request is remembered. A caller
	// that has stopped coming back for minutes has given up, and the server's software
	// may have been mended meanwhile.
	Keep = 10 * time.Minute
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
}

// record is what is known of one request.
type record struct {
	// ends are those of servers on which it ran, in the order in which they were told.
	ends []*end
	// seen is when it last arrived or lost a server.
	seen core.Time
	// own is set if one of the ends was noticed by this process.
	own bool
}

// New returns a ledger that knows nothing.
func New() *Ledger {
	return &Ledger{ends: map[string][]*end{}, requests: map[core.Fingerprint]*record{}, cleared: map[core.Fingerprint]clearance{}}
}

// Add takes in an end that this process noticed, or further requests that ran at one.
// It returns those of the requests that are poison from now on and were not before.
func (l *Ledger) Add(now core.Time, noticed core.ServerEnd) []core.Fingerprint {
	poison := l.add(now, noticed)
	for _, f := range noticed.Requests {
		if r := l.requests[f]; r != nil {
			r.own = true
		}
	}
	return poison
}

// Hear takes in what another process told. It returns the requests that are poison
// from now on and were not before.
func (l *Ledger) Hear(now core.Time, news core.PoisonNews) []core.Fingerprint {
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
		known = &end{ServerEnd: told, at: now.Add(-told.Ago)}
		known.Requests = nil
		l.ends[told.Life.Instance] = append(l.ends[told.Life.Instance], known)
	}
	var poison []core.Fingerprint
	for _, f := range told.Requests {
		before := l.Poison(f)
		l.ranAt(now, f, known)
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

func (l *Ledger) ranAt(now core.Time, f core.Fingerprint, e *end) {
	if slices.Contains(e.Requests, f) || slices.Contains(l.cleared[f].lives, e.Life) {
		return
	}
	r := l.requests[f]
	if r == nil {
		r = &record{}
		l.requests[f] = r
	}
	e.Requests = append(e.Requests, f)
	r.ends, r.seen = append(r.ends, e), now
}

// Own tells whether this process noticed one of the ends under a request.
func (l *Ledger) Own(f core.Fingerprint) bool {
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
// It guards against shutting out requests that are well and were beside a poison
// one. Ends are explained by a request that ran there too and has more of them, at
// least Threshold: of its neighbours each shares a part.
func (l *Ledger) Poison(f core.Fingerprint) bool {
	r := l.requests[f]
	if r == nil || len(r.ends) < Threshold {
		return false
	}
	counted, sole := 0, false
	addresses := map[string]bool{}
	for _, e := range r.ends {
		if l.explained(e, len(r.ends)) {
			continue
		}
		counted++
		addresses[e.Address] = true
		sole = sole || e.Sole
	}
	return counted >= leastUnexplained && (sole || len(addresses) >= leastAddresses)
}

// explained tells whether a request beside one with so many ends has more.
func (l *Ledger) explained(e *end, ends int) bool {
	return slices.ContainsFunc(e.Requests, func(f core.Fingerprint) bool { return l.Ends(f) > max(ends, Threshold-1) })
}

// Seen notes that a request has arrived again.
func (l *Ledger) Seen(now core.Time, f core.Fingerprint) {
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
		e.Requests = slices.DeleteFunc(e.Requests, func(other core.Fingerprint) bool { return other == f })
		l.dropEmpty(e)
	}
}

func (l *Ledger) dropEmpty(e *end) {
	if len(e.Requests) > 0 {
		return
	}
	instance := e.Life.Instance
	l.ends[instance] = slices.DeleteFunc(l.ends[instance], func(other *end) bool { return other == e })
	if len(l.ends[instance]) == 0 {
		delete(l.ends, instance)
	}
}

// Forget drops what has not been seen for Keep.
func (l *Ledger) Forget(now core.Time) {
	for _, f := range slices.Sorted(maps.Keys(l.requests)) {
		if now.Sub(l.requests[f].seen) >= Keep {
			l.drop(f)
		}
	}
	maps.DeleteFunc(l.cleared, func(_ core.Fingerprint, c clearance) bool { return now.Sub(c.at) >= Keep })
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

// Evidence returns the ends of servers on which a request ran, with no other request.
func (l *Ledger) Evidence(now core.Time, f core.Fingerprint) []core.ServerEnd {
	r := l.requests[f]
	if r == nil {
		return nil
	}
	var ends []core.ServerEnd
	for _, e := range r.ends {
		told := e.ServerEnd
		told.Ago, told.Requests = now.Sub(e.at), []core.Fingerprint{f}
		ends = append(ends, told)
	}
	return ends
}

// All returns all that is known, for a process that knows nothing yet.
func (l *Ledger) All(now core.Time) []core.ServerEnd {
	var all []core.ServerEnd
	for _, instance := range slices.Sorted(maps.Keys(l.ends)) {
		for _, e := range l.ends[instance] {
			told := e.ServerEnd
			told.Ago, told.Requests = now.Sub(e.at), slices.Clone(e.Requests)
			all = append(all, told)
		}
	}
	return all
}

// Entry is the dump of one request.
type Entry struct {
	Request string
	Poison  bool
	// Ends is the number of servers that ended under it, Servers their instances.
	Ends    int
	Servers []string
	// FirstEnd and Seen are how long ago the first ended and it was last seen.
	FirstEnd, Seen time.Duration
}

// Dump lists the requests under which two servers or more ended.
func (l *Ledger) Dump(now core.Time) []Entry {
	var entries []Entry
	for _, f := range slices.Sorted(maps.Keys(l.requests)) {
		r := l.requests[f]
		if len(r.ends) < 2 {
			continue
		}
		entry := Entry{Request: f.String(), Poison: l.Poison(f), Ends: len(r.ends), Seen: now.Sub(r.seen)}
		for _, e := range r.ends {
			entry.Servers = append(entry.Servers, e.Life.Instance)
			entry.FirstEnd = max(entry.FirstEnd, now.Sub(e.at))
		}
		entries = append(entries, entry)
	}
	return entries
}
