// Package poison detects what crashes the backend servers that run it, from the servers that
// ended and from the requests that ran there. There are two kinds of suspects: the whole of a
// request, which its caller retries with a new id and at any router, and a part of prompts,
// which requests hold that are otherwise different. Each attempt ends one more server, with
// all requests that run there. In this package a server ends under a suspect if it ends while
// a request that holds the suspect runs there.
//
// A Ledger is plain data without I/O or clock. Its conclusions depend on the set of
// recorded ends and not on their order, so routers with the same ends reach the same
// conclusions.
package poison

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"nutmeglane.example/nutmeglane/internal/core"
)

// Kind is what a suspect is.
type Kind uint8

const (
	// Request is the whole of a request: credentials, path and body.
	Request Kind = iota
	// Part is a part of prompts.
	Part
)

// String returns the name of the kind for logs.
func (k Kind) String() string { return [...]string{"request", "part"}[k] }

const (
	// Retention is how long a suspect is remembered after its last end or arrival. A
	// caller that has not retried for minutes has given up, and the server's software
	// may have been fixed meanwhile.
	Retention = 10 * time.Minute
	// maxSuspects limits the ledger, at some 250 bytes per suspect. Suspects with the
	// fewest ends are removed first. The suspects recorded for an end are at most the
	// requests that a server runs and MaxParts for each, so the ledger holds at least the
	// last seven ends.
	maxSuspects = 8192
	// MaxParts is the largest number of parts of one prompt that are recorded at an end.
	MaxParts = 16
	// maxEnds is the largest number of ends that are remembered of one suspect, the newest
	// ones. It bounds the work of a conclusion.
	maxEnds = 16
	// maxHolders is the largest number of requests that are recorded for a part at one end.
	maxHolders = 256
	// maxServed limits the suspects of which it is remembered when a server last wrote on them,
	// at some 100 bytes each.
	maxServed = 8192
	// maxNameBytes is the length to which the names of suspects are cut.
	maxNameBytes = 40
	// always is earlier than any other time.
	always core.Time = math.MinInt64
)

// Ledger records the ends of servers and the suspects that ran there. Create it with New.
type Ledger struct {
	// ends are the recorded ends by server instance, one for each life.
	ends     map[string][]*end
	suspects map[core.Fingerprint]*record
	// candidates are the suspects under which at least Threshold servers ended, poison those
	// that Found has concluded to be poison.
	candidates, poison map[core.Fingerprint]struct{}
	// changed is set if the conclusions may have changed since concludedAt.
	changed     bool
	concludedAt core.Time
	// served is when servers last wrote on suspects here, also on those under which no server
	// is known to have ended. spared counts the ends that do not count because of it.
	served *simplelru.LRU[core.Fingerprint, Writing]
	spared map[core.Fingerprint]int
	// answered is when a server of each service last began an answer and continued to run, as far as
	// known here.
	answered map[string]core.Time
}

// end is the end of one server.
type end struct {
	core.ServerEnd
	at core.Time
	// lost are the suspects that ran there, each with the requests that held it: a request
	// holds itself.
	lost map[core.Fingerprint][]core.LostRequest
	// began are the parts on which the server had begun to answer a request.
	began map[core.Fingerprint]struct{}
	// only are the requests that no server at another address could have run.
	only map[core.Fingerprint]struct{}
	// spared are the suspects against which the end does not count, as servers wrote on them
	// later.
	spared map[core.Fingerprint]struct{}
}

// record holds what was recorded of one suspect.
type record struct {
	kind Kind
	// name is the part as its callers call it, "" if this process does not know it.
	name string
	// depth is the smallest position of a part in a prompt.
	depth uint16
	// ends are the ends of servers on which it ran, in the order in which they were
	// recorded.
	ends []*end
	// clearedUntil is until when ends do not count, clearedBy what showed that.
	clearedUntil core.Time
	clearedBy    string
	// written is set if a server has written on it at some time.
	written bool
	// seen is when it last arrived or was recorded at an end.
	seen core.Time
	// local is set if this process noticed one of the ends.
	local bool
}

// Writing is when a server began to write an answer, and its instance.
type Writing struct {
	At     core.Time
	Server string
}

// New returns an empty ledger.
func New() *Ledger {
	served, err := simplelru.NewLRU[core.Fingerprint, Writing](maxServed, nil)
	if err != nil {
		panic(err) // the size is positive
	}
	return &Ledger{
		served: served, spared: map[core.Fingerprint]int{},
		ends: map[string][]*end{}, suspects: map[core.Fingerprint]*record{},
		candidates: map[core.Fingerprint]struct{}{}, poison: map[core.Fingerprint]struct{}{},
		answered: map[string]core.Time{},
	}
}

// Add records an end that this process noticed, or further requests that ran at a
// recorded one.
func (l *Ledger) Add(now core.Time, noticed core.ServerEnd) {
	l.add(now, noticed)
	for _, lost := range noticed.Requests {
		l.setLocal(lost.Fingerprint)
	}
	for _, part := range noticed.Parts {
		l.setLocal(part.Part)
	}
}

func (l *Ledger) setLocal(f core.Fingerprint) {
	if r := l.suspects[f]; r != nil {
		r.local = true
	}
}

// AddNews records what another process reported.
func (l *Ledger) AddNews(now core.Time, news core.PoisonNews) {
	for _, e := range news.Ends {
		l.add(now, e)
	}
	for _, h := range news.Harmless {
		l.suspect(h.Suspect).seen = now
		l.clearUntil(h.Suspect, now.Add(-h.Ago), h.Server)
	}
	for _, a := range news.Answered {
		l.Answered(a.Service, now.Add(-a.Ago))
	}
	l.evictExcess()
	for _, f := range news.Cleared {
		l.Clear(now, f)
	}
}

// Found draws the conclusions from what is recorded, and returns the suspects that have become
// poison since the last call.
func (l *Ledger) Found(now core.Time) []core.Fingerprint {
	if len(l.candidates) == 0 || !l.changed && now.Sub(l.concludedAt) < concludeInterval {
		return nil
	}
	l.changed, l.concludedAt = false, now
	var found []core.Fingerprint
	conclusion := l.conclude(now)
	for _, f := range slices.Sorted(maps.Keys(l.candidates)) {
		if !conclusion.poisonous(f) {
			delete(l.poison, f)
			continue
		}
		if !l.Poison(f) {
			l.poison[f] = struct{}{}
			found = append(found, f)
		}
	}
	return found
}

// Poison reports whether a suspect must not be sent to servers, as Found concluded.
func (l *Ledger) Poison(f core.Fingerprint) bool {
	_, poison := l.poison[f]
	return poison
}

func (l *Ledger) add(now core.Time, reported core.ServerEnd) {
	known := l.find(reported.Life)
	if known == nil {
		known = &end{ServerEnd: reported, at: now.Add(-reported.Ago), lost: map[core.Fingerprint][]core.LostRequest{}, began: map[core.Fingerprint]struct{}{}, only: map[core.Fingerprint]struct{}{}, spared: map[core.Fingerprint]struct{}{}}
		known.Requests, known.Parts, known.Only = nil, nil, nil
		l.ends[reported.Life.Instance] = append(l.ends[reported.Life.Instance], known)
	}
	for _, i := range reported.Only {
		if int(i) < len(reported.Requests) {
			known.only[reported.Requests[i].Fingerprint] = struct{}{}
		}
	}
	for _, lost := range reported.Requests {
		l.recordLost(now, known, lost.Fingerprint, lost, Request)
	}
	for _, part := range reported.Parts {
		l.recordPart(now, known, part, reported.Requests)
	}
	l.dropEmpty(known)
	l.evictExcess()
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

// suspect returns the record of a suspect, a new one if there is none.
func (l *Ledger) suspect(f core.Fingerprint) *record {
	r := l.suspects[f]
	if r == nil {
		r = &record{depth: math.MaxUint16, clearedUntil: always}
		if w, ok := l.served.Get(f); ok {
			r.clearedUntil, r.clearedBy, r.written = w.At, w.Server, true
		}
		l.suspects[f] = r
	}
	return r
}

// recordPart records a part of prompts at an end, with its holders among the requests.
func (l *Ledger) recordPart(now core.Time, e *end, part core.LostPart, requests []core.LostRequest) {
	for _, i := range part.Holders {
		if int(i) < len(requests) {
			l.recordLost(now, e, part.Part, requests[i], Part)
		}
	}
	if part.Began {
		e.began[part.Part] = struct{}{}
		l.changed = true
	}
	if r := l.suspects[part.Part]; r != nil {
		r.depth = min(r.depth, part.Depth)
		r.written = r.written || part.Written
	}
}

// recordLost records a suspect at an end, with a request that held it.
func (l *Ledger) recordLost(now core.Time, e *end, f core.Fingerprint, holder core.LostRequest, kind Kind) {
	r := l.suspect(f)
	if e.at <= r.clearedUntil {
		l.spare(e, f)
		return
	}
	r.kind = kind
	holders, known := e.lost[f]
	e.lost[f] = addHolder(holders, holder)
	if !known {
		r.ends, r.seen = append(r.ends, e), now
		l.dropOldest(f, r)
	}
	if len(r.ends) >= Threshold {
		l.candidates[f] = struct{}{}
		l.changed = true
	}
}

// spare counts an end that does not count against a suspect, once.
func (l *Ledger) spare(e *end, f core.Fingerprint) {
	if _, counted := e.spared[f]; !counted {
		e.spared[f] = struct{}{}
		l.spared[f]++
	}
}

// dropOldest removes the oldest end of a suspect that has more than maxEnds.
func (l *Ledger) dropOldest(f core.Fingerprint, r *record) {
	if len(r.ends) <= maxEnds {
		return
	}
	oldest := slices.MinFunc(r.ends, func(a, b *end) int { return cmp.Compare(a.at, b.at) })
	r.ends = slices.DeleteFunc(r.ends, func(e *end) bool { return e == oldest })
	l.dropLost(oldest, f)
}

// addHolder adds a request to the holders of a suspect, which are sorted by fingerprint. Of two
// attempts of one request the one with the lower age is kept, so that all routers keep the
// same.
func addHolder(holders []core.LostRequest, holder core.LostRequest) []core.LostRequest {
	i, known := slices.BinarySearchFunc(holders, holder, compareHolders)
	if !known {
		holders = slices.Insert(holders, i, holder)
		return holders[:min(len(holders), maxHolders)]
	}
	if cmp.Or(cmp.Compare(holder.Age, holders[i].Age), cmp.Compare(holder.Arrival, holders[i].Arrival)) < 0 {
		holders[i] = holder
	}
	return holders
}

func compareHolders(a, b core.LostRequest) int { return cmp.Compare(a.Fingerprint, b.Fingerprint) }

// SetName sets the name by which operators know a suspect.
func (l *Ledger) SetName(f core.Fingerprint, name string) {
	if r := l.suspects[f]; r != nil {
		r.name = name[:min(len(name), maxNameBytes)]
	}
}

// Written reports whether a server has written on a part before, as far as known here.
func (l *Ledger) Written(f core.Fingerprint) bool {
	r := l.suspects[f]
	return r != nil && r.written || l.served.Contains(f)
}

// Name returns the name by which operators know a suspect, "" if it is not known here.
func (l *Ledger) Name(f core.Fingerprint) string {
	if r := l.suspects[f]; r != nil {
		return r.name
	}
	return ""
}

// Local reports whether this process noticed one of the ends under a suspect.
func (l *Ledger) Local(f core.Fingerprint) bool {
	r := l.suspects[f]
	return r != nil && r.local
}

// Ends returns the number of servers that ended under a suspect and count against it.
func (l *Ledger) Ends(f core.Fingerprint) int {
	if r := l.suspects[f]; r != nil {
		return len(r.ends)
	}
	return 0
}

// Kind returns what a suspect is.
func (l *Ledger) Kind(f core.Fingerprint) Kind {
	if r := l.suspects[f]; r != nil {
		return r.kind
	}
	return Request
}

// Known reports whether anything is recorded of a suspect.
func (l *Ledger) Known(f core.Fingerprint) bool { return l.suspects[f] != nil }

// Empty reports whether nothing is suspected.
func (l *Ledger) Empty() bool { return len(l.suspects) == 0 }

// Clean reports whether nothing is poison.
func (l *Ledger) Clean() bool { return len(l.poison) == 0 }

// Answered records that a server of a service began an answer at a time and continued to run.
func (l *Ledger) Answered(service string, at core.Time) {
	if last, known := l.answered[service]; known && at <= last {
		return
	}
	l.answered[service], l.changed = at, true
}

// LastAnswers returns when servers last began an answer and continued to run, for the services of the
// ends of a suspect.
func (l *Ledger) LastAnswers(now core.Time, f core.Fingerprint) []core.ServiceAnswered {
	var services []string
	if r := l.suspects[f]; r != nil {
		for _, e := range r.ends {
			services = append(services, e.Service)
		}
	}
	return l.answers(now, services)
}

func (l *Ledger) answers(now core.Time, services []string) []core.ServiceAnswered {
	slices.Sort(services)
	var answers []core.ServiceAnswered
	for _, service := range slices.Compact(services) {
		if at, known := l.answered[service]; known {
			answers = append(answers, core.ServiceAnswered{Service: service, Ago: now.Sub(at)})
		}
	}
	return answers
}
