package poison

import (
	"maps"
	"slices"
	"time"

	"nutmeglane.example/nutmeglane/internal/core"
)

// This file exports the recorded ends to other processes and to operators.

// Evidence returns the ends of servers on which a request ran, without other requests.
func (l *Ledger) Evidence(now core.Time, f core.Fingerprint) []core.ServerEnd {
	r := l.requests[f]
	if r == nil {
		return nil
	}
	var ends []core.ServerEnd
	for _, e := range r.ends {
		ends = append(ends, e.message(now, f))
	}
	return ends
}

// All returns all recorded ends, for a process that has none yet.
func (l *Ledger) All(now core.Time) []core.ServerEnd {
	var all []core.ServerEnd
	for _, instance := range slices.Sorted(maps.Keys(l.ends)) {
		for _, e := range l.ends[instance] {
			all = append(all, e.message(now, slices.Sorted(maps.Keys(e.lost))...))
		}
	}
	return all
}

// message returns the end as sent to other processes, with the given requests.
func (e *end) message(now core.Time, requests ...core.Fingerprint) core.ServerEnd {
	message := e.ServerEnd
	message.Ago, message.Requests = now.Sub(e.at), nil
	for _, f := range requests {
		message.Requests = append(message.Requests, core.LostRequest{Fingerprint: f, Age: e.lost[f].age, Arrival: e.lost[f].arrival})
	}
	return message
}

// Entry is the dump of one request.
type Entry struct {
	Request string
	Poison  bool
	// Ends is the number of servers that ended under it, Servers their instances.
	Ends    int
	Servers []string
	// FirstEnd is how long ago the first of them ended, Seen how long ago the request
	// was last seen.
	FirstEnd, Seen time.Duration
}

// Dump returns the requests under which at least two servers ended.
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
