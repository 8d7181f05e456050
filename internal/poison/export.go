package poison

import (
	"maps"
	"slices"
	"time"

	"nutmeglane.example/nutmeglane/internal/core"
)

// This file exports the recorded ends to other processes and to operators.

const (
	// maxEvidence is the largest number of ends that are exported as evidence against one
	// suspect, the newest ones, and maxEvidenceHolders that of its holders at each.
	maxEvidence        = 16
	maxEvidenceHolders = 4
)

// Evidence returns the ends of servers on which a suspect ran, without other suspects.
func (l *Ledger) Evidence(now core.Time, f core.Fingerprint) []core.ServerEnd {
	r := l.suspects[f]
	if r == nil {
		return nil
	}
	var ends []core.ServerEnd
	for _, e := range r.ends[max(0, len(r.ends)-maxEvidence):] {
		ends = append(ends, e.evidence(now, f, r))
	}
	return ends
}

func (e *end) evidence(now core.Time, f core.Fingerprint, r *record) core.ServerEnd {
	message := e.message(now)
	holders := e.lost[f]
	message.Requests = slices.Clone(holders[:min(len(holders), maxEvidenceHolders)])
	message.Only = e.onlyOf(message.Requests)
	if r.kind == Part {
		message.Parts = []core.LostPart{{Part: f, Depth: r.depth, Holders: indexes(len(message.Requests)), Began: e.beganOn(f), Written: r.written}}
	}
	return message
}

// indexes returns the numbers from 0 to n-1.
func indexes(n int) []uint16 {
	all := make([]uint16, n)
	for i := range all {
		all[i] = uint16(i)
	}
	return all
}

// All returns all that is recorded, for a process that has nothing yet.
func (l *Ledger) All(now core.Time) core.PoisonNews {
	var news core.PoisonNews
	for _, instance := range slices.Sorted(maps.Keys(l.ends)) {
		for _, e := range l.ends[instance] {
			news.Ends = append(news.Ends, l.whole(now, e))
		}
	}
	for _, f := range slices.Sorted(maps.Keys(l.suspects)) {
		if r := l.suspects[f]; r.clearedUntil != always {
			news.Harmless = append(news.Harmless, core.Harmless{Suspect: f, Ago: now.Sub(r.clearedUntil), Server: r.clearedBy})
		}
	}
	news.Answered = l.answers(now, slices.Collect(maps.Keys(l.answered)))
	return news
}

// whole returns an end as sent to other processes, with all suspects.
func (l *Ledger) whole(now core.Time, e *end) core.ServerEnd {
	message := e.message(now)
	index := map[core.Fingerprint]uint16{}
	add := func(holder core.LostRequest) uint16 {
		i, known := index[holder.Fingerprint]
		if !known {
			i = uint16(len(message.Requests))
			index[holder.Fingerprint] = i
			message.Requests = append(message.Requests, holder)
		}
		return i
	}
	for _, f := range slices.Sorted(maps.Keys(e.lost)) {
		part := core.LostPart{Part: f, Depth: l.suspects[f].depth, Began: e.beganOn(f), Written: l.suspects[f].written}
		for _, holder := range e.lost[f] {
			part.Holders = append(part.Holders, add(holder))
		}
		if l.suspects[f].kind == Part {
			message.Parts = append(message.Parts, part)
		}
	}
	message.Only = e.onlyOf(message.Requests)
	return message
}

// onlyOf returns the indexes of the requests that no server at another address could have run.
func (e *end) onlyOf(requests []core.LostRequest) []uint16 {
	var only []uint16
	for i, request := range requests {
		if _, found := e.only[request.Fingerprint]; found {
			only = append(only, uint16(i))
		}
	}
	return only
}

// message returns the end as sent to other processes, without suspects.
func (e *end) message(now core.Time) core.ServerEnd {
	message := e.ServerEnd
	message.Ago = now.Sub(e.at)
	return message
}

// Entry is the dump of one suspect.
type Entry struct {
	// Kind is "request" or "part", Suspect its fingerprint, Name the part as callers call
	// it, if this process knows it.
	Kind, Suspect, Name string
	Poison              bool
	// Ends is the number of servers that ended under it and count, Servers their instances.
	// Holders is the number of requests that held it there.
	Ends, Holders int
	Servers       []string
	// FirstEnd is how long ago the first of them ended, Seen how long ago the suspect was
	// last seen.
	FirstEnd, Seen time.Duration
	// HarmlessFor is how long ago the server HarmlessAt wrote on it and continued to run, 0
	// if none is known to have done so.
	HarmlessFor time.Duration
	HarmlessAt  string
}

// Dump returns the suspects under which at least two servers ended.
func (l *Ledger) Dump(now core.Time) []Entry {
	var entries []Entry
	for _, f := range slices.Sorted(maps.Keys(l.suspects)) {
		if r := l.suspects[f]; len(r.ends) >= 2 {
			entries = append(entries, l.entry(now, f, r))
		}
	}
	return entries
}

func (l *Ledger) entry(now core.Time, f core.Fingerprint, r *record) Entry {
	entry := Entry{
		Kind: r.kind.String(), Suspect: f.String(), Name: r.name, Poison: l.Poison(f),
		Ends: len(r.ends), Seen: now.Sub(r.seen),
	}
	for _, e := range r.ends {
		entry.Servers = append(entry.Servers, e.Life.Instance)
		entry.Holders += len(e.lost[f])
		entry.FirstEnd = max(entry.FirstEnd, now.Sub(e.at))
	}
	if r.clearedUntil != always {
		entry.HarmlessFor, entry.HarmlessAt = now.Sub(r.clearedUntil), r.clearedBy
	}
	return entry
}
