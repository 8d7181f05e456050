package poison

import (
	"cmp"
	"slices"
	"time"

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
	// be shared: two suspects that are both poison and arrive at the same time can be on
	// the same server, and the one with fewer ends would otherwise be allowed again because
	// of that end.
	minUnexplained = 2
	// minCarriers is the minimum number of attempts of the caller under which the servers
	// ended, and of requests that hold a part.
	//
	// It guards against blocking a stream that the routers resend themselves: together
	// with all requests that wait for a model it moves to the next engine that has the
	// model, and so does a poison request, which ends one engine after the other within
	// a second. A part that only one request holds is no suspect beside that request.
	minCarriers = 2
	// minAddresses is the minimum number of addresses of these servers, if the service
	// has that many.
	//
	// It guards against a server that crashes with any request and is restarted again
	// and again: a request that was sent there three times is harmless, and other
	// servers can serve it.
	minAddresses = 2
	// minRounds is the minimum number of rounds in which the servers ended under a part: in
	// each round, a request that holds the part was sent after the round before.
	//
	// It guards against blocking the parts that most requests hold, when several servers
	// crash at the same moment by another cause.
	minRounds = 3
	// clearingTime is how long after the first end a part is not yet blocked: a harmless one
	// that many requests hold is written on by another server meanwhile, and all routers
	// learn of it.
	clearingTime = time.Second
)

// Poison reports whether a suspect must not be sent to servers.
//
// It guards against blocking what is harmless and ran next to poison: an end that another
// suspect explains does not count.
func (l *Ledger) Poison(now core.Time, f core.Fingerprint) bool {
	r := l.suspects[f]
	if r == nil || len(r.ends) < Threshold || r.carriers(f) < minCarriers {
		return false
	}
	if r.kind == Part && !l.tested(now, f, r) {
		return false
	}
	unexplained, sole := 0, false
	addresses := map[string]bool{}
	for _, e := range r.ends {
		if l.explained(e, f) {
			continue
		}
		unexplained++
		addresses[e.Address] = true
		sole = sole || e.Sole
	}
	return unexplained >= minUnexplained && (sole || len(addresses) >= minAddresses)
}

// tested reports whether a harmless part would have been cleared by now.
//
// It guards against blocking the parts that most requests hold while no server of the service
// answers anything, as when all of them crash by another cause: then nothing can clear them.
func (l *Ledger) tested(now core.Time, f core.Fingerprint, r *record) bool {
	first := r.ends[0]
	for _, e := range r.ends {
		if e.at < first.at {
			first = e
		}
	}
	answered, ok := l.answered[first.Service]
	return ok && answered > first.at && now.Sub(first.at) >= clearingTime && r.rounds(f) >= minRounds
}

// explained reports whether another suspect explains an end better than this one.
func (l *Ledger) explained(e *end, f core.Fingerprint) bool {
	for other := range l.candidates {
		if other != f && e.lost[other] != nil && l.better(other, f) {
			return true
		}
	}
	return false
}

// better reports whether a suspect explains the ends that it shares with another one better than
// that one.
//
// If one of them is a part, and each lost request that holds the one holds the other as well,
// the one that fewer requests hold is better: the other is there with it each time, and
// whatever crashes servers without it is another suspect. A request that came in one attempt
// is not: the routers resent it, perhaps because of the part. Of two parts that always come
// together the later one in the prompt is better, since fewer requests share it.
//
// Otherwise the one with more ends is better, in proportion to the requests that hold it: a part
// that each second request holds is at most ends by chance. With equal weights the one that came
// in more attempts or requests is better, since harmless requests are mostly resent by the
// routers; then the one that had been there for a shorter time, since what crashes servers as it
// begins to run has a low age each time.
func (l *Ledger) better(f, than core.Fingerprint) bool {
	a, b := l.suspects[f], l.suspects[than]
	if a.kind == Part || b.kind == Part {
		within, around := a.within(f, than), b.within(than, f)
		switch {
		case within && a.carriers(f) < minCarriers:
			return false
		case within && around:
			return b.kind == Part && (a.kind == Request || a.depth > b.depth)
		case within || around:
			return within
		}
	}
	return cmp.Or(
		cmp.Compare(a.weight(b.holders(than)), b.weight(a.holders(f))),
		cmp.Compare(a.carriers(f), b.carriers(than)),
		cmp.Compare(b.age(than), a.age(f)),
	) > 0
}

// within reports whether all lost requests that hold suspect f hold another one as well.
func (r *record) within(f, other core.Fingerprint) bool {
	for _, e := range r.ends {
		others := e.lost[other]
		for _, holder := range e.lost[f] {
			if _, both := slices.BinarySearchFunc(others, holder, compareHolders); !both {
				return false
			}
		}
	}
	return true
}

// weight is the weight of a suspect's ends, times the number of holders of the one that it is
// compared with: the square of the ends, divided by the own holders.
func (r *record) weight(holdersOfOther int) int { return len(r.ends) * len(r.ends) * holdersOfOther }

// holders returns the number of requests that held the suspect, over all ends.
func (r *record) holders(f core.Fingerprint) int {
	sum := 0
	for _, e := range r.ends {
		sum += len(e.lost[f])
	}
	return sum
}

// rounds returns the number of rounds in which servers ended under the suspect; see minRounds.
func (r *record) rounds(f core.Fingerprint) int {
	byTime := slices.SortedFunc(slices.Values(r.ends), func(a, b *end) int { return cmp.Compare(a.at, b.at) })
	rounds, last := 1, byTime[0].at
	for _, e := range byTime[1:] {
		sent := e.at.Add(-time.Duration(youngest(e.lost[f])) * time.Millisecond)
		if sent > last {
			rounds++
			last = e.at
		}
	}
	return rounds
}

// age returns how long the suspect had been on the servers that ended, in total, in ms. Of
// several requests that hold it the youngest counts.
func (r *record) age(f core.Fingerprint) int {
	sum := 0
	for _, e := range r.ends {
		sum += int(youngest(e.lost[f]))
	}
	return sum
}

func youngest(holders []core.LostRequest) uint32 {
	return slices.MinFunc(holders, func(a, b core.LostRequest) int { return cmp.Compare(a.Age, b.Age) }).Age
}

// carriers returns in how many ways the suspect came to the servers that ended: a request in
// attempts of its caller, a part in requests that hold it.
func (r *record) carriers(f core.Fingerprint) int {
	seen := map[core.Fingerprint]bool{}
	for _, e := range r.ends {
		for _, holder := range e.lost[f] {
			if r.kind == Part {
				seen[holder.Fingerprint] = true
			} else {
				seen[core.Fingerprint(holder.Arrival)] = true
			}
		}
	}
	return len(seen)
}
