package poison

import (
	"maps"
	"slices"
	"time"

	"nutmeglane.example/nutmeglane/internal/core"
)

// This file tells what is known, to other processes and to operators.

// Evidence returns the ends of servers on which a request ran, with no other request.
func (l *Ledger) Evidence(now core.Time, f core.Fingerprint) []core.ServerEnd {
	r := l.requests[f]
	if r == nil {
		return nil
	}
	var ends []core.ServerEnd
	for _, e := range r.ends {
		ends = append(ends, e.told(now, f))
	}
	return ends
}

// All returns all that is known, for a process that knows nothing yet.
func (l *Ledger) All(now core.Time) []core.ServerEnd {
	var all []core.ServerEnd
	for _, instance := range slices.Sorted(maps.Keys(l.ends)) {
		for _, e := range l.ends[instance] {
			all = append(all, e.told(now, slices.Sorted(maps.Keys(e.lost))...))
		}
	}
	return all
}

// told is the end as others are told of it, with some of its requests.
func (e *end) told(now core.Time, requests ...core.Fingerprint) core.ServerEnd {
	told := e.ServerEnd
	told.Ago, told.Requests = now.Sub(e.at), nil
	for _, f := range requests {
		told.Requests = append(told.Requests, core.LostRequest{Fingerprint: f, Age: e.lost[f].age, Arrival: e.lost[f].arrival})
	}
	return told
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
