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
	// writtenThreshold is the same for a part on which a server has written before: it is the
	// more likely to be there by chance.
	writtenThreshold = 5
	// An end counts in full against a part if its server had begun to answer a request that
	// holds it, or none that it lost: a part crashes a server that begins to write on it.
	// Otherwise it counts half, as the router may not have read that the server had begun.
	fullEnd, halfEnd = 2, 1
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
	// minAddresses is the minimum number of addresses of these servers, if the suspect could have
	// run at as many: the service has them, or its model is loaded there. Otherwise Threshold ends
	// that nothing else explains are enough.
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
	// concludeInterval is how often the conclusions are drawn anew if only time has passed.
	concludeInterval = 50 * time.Millisecond
)

// conclusion draws the conclusions from what is recorded at one moment.
type conclusion struct {
	*Ledger
	now core.Time
	// sums caches what is counted over all ends of a candidate.
	sums map[core.Fingerprint]sums
}

// sums are what is counted over all ends of a suspect.
type sums struct {
	// holders is the number of requests that held it, carriers in how many ways it came: a
	// request in attempts of its caller, a part in requests that hold it.
	holders, carriers int
	// age is how long it had been on the servers that ended, in ms. Of several requests that
	// hold it at one the youngest counts.
	age int
	// strength is the sum of its ends, each as fullEnd or halfEnd.
	strength int
}

func (l *Ledger) conclude(now core.Time) *conclusion {
	c := &conclusion{Ledger: l, now: now, sums: map[core.Fingerprint]sums{}}
	for f := range l.candidates {
		c.sums[f] = l.suspects[f].sum(f)
	}
	return c
}

// poisonous reports whether a candidate must not be sent to servers.
//
// It guards against blocking what is harmless and ran next to poison: an end that another
// suspect explains does not count.
func (c *conclusion) poisonous(f core.Fingerprint) bool {
	r := c.suspects[f]
	if c.sums[f].carriers < minCarriers {
		return false
	}
	if r.kind == Part && (c.sums[f].strength < r.threshold()*fullEnd || !c.tested(f, r)) {
		return false
	}
	better := c.betterThan(f, r)
	unexplained, only, sole := 0, 0, false
	addresses := map[string]bool{}
	for _, e := range r.ends {
		if slices.ContainsFunc(better, func(other core.Fingerprint) bool { return e.lost[other] != nil }) {
			continue
		}
		unexplained++
		addresses[e.Address] = true
		sole = sole || e.Sole
		if e.onlyThere(f) {
			only++
		}
	}
	spread := sole || len(addresses) >= minAddresses || only >= Threshold
	return unexplained >= minUnexplained && spread
}

// onlyThere reports whether no server at another address could have run the requests that hold a
// suspect.
func (e *end) onlyThere(f core.Fingerprint) bool {
	for _, holder := range e.lost[f] {
		if _, only := e.only[holder.Fingerprint]; !only {
			return false
		}
	}
	return true
}

// threshold returns the number of servers that must have ended under a part before it is blocked.
func (r *record) threshold() int {
	if r.written {
		return writtenThreshold
	}
	return Threshold
}

// betterThan returns the candidates that explain the ends that they share with a suspect better
// than it.
func (c *conclusion) betterThan(f core.Fingerprint, r *record) []core.Fingerprint {
	var found []core.Fingerprint
	for other := range c.candidates {
		shares := func(e *end) bool { return e.lost[other] != nil }
		if other != f && slices.ContainsFunc(r.ends, shares) && c.better(other, f) {
			found = append(found, other)
		}
	}
	return found
}

// tested reports whether a harmless part would have been cleared by now.
//
// It guards against blocking the parts that most requests hold while no server of the service
// answers anything, as when all of them crash by another cause: then nothing can clear them.
func (c *conclusion) tested(f core.Fingerprint, r *record) bool {
	first := r.ends[0]
	for _, e := range r.ends {
		if e.at < first.at {
			first = e
		}
	}
	answered, ok := c.answered[first.Service]
	return ok && answered > first.at && c.now.Sub(first.at) >= clearingTime && r.rounds(f) >= minRounds
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
// Otherwise the one with more ends is better, where an end at which the server had begun to answer
// the one and not the other counts more. With equal numbers it is the one that fewer of the
// requests there hold, since what most requests hold is at most ends by chance; then the one that
// came in more attempts or requests, since harmless requests are mostly resent by the routers;
// then the one that had been there for a shorter time, since what crashes servers as it begins to
// run has a low age each time.
func (c *conclusion) better(f, than core.Fingerprint) bool {
	a, b := c.suspects[f], c.suspects[than]
	if a.kind == Part || b.kind == Part {
		if c.within(f, than) {
			return c.narrower(f, than)
		}
		if c.within(than, f) {
			return !c.narrower(than, f)
		}
	}
	if more := cmp.Compare(c.sums[f].strength, c.sums[than].strength); more != 0 {
		return more > 0
	}
	return cmp.Or(
		cmp.Compare(len(a.ends), len(b.ends)),
		cmp.Compare(c.sums[than].holders, c.sums[f].holders),
		cmp.Compare(c.sums[f].carriers, c.sums[than].carriers),
		cmp.Compare(c.sums[than].age, c.sums[f].age),
	) > 0
}

// narrower reports whether suspect f, whose holders all hold another suspect, explains ends
// better than that one; see better.
func (c *conclusion) narrower(f, other core.Fingerprint) bool {
	a, b := c.suspects[f], c.suspects[other]
	switch {
	case c.sums[f].carriers < minCarriers:
		return false
	case c.sums[f].holders < c.sums[other].holders:
		return true
	case a.kind != b.kind:
		return a.kind == Request
	default:
		return a.depth > b.depth
	}
}

// within reports whether all lost requests that hold suspect f hold another one as well.
func (c *conclusion) within(f, other core.Fingerprint) bool {
	a := c.suspects[f]
	if len(a.ends) > len(c.suspects[other].ends) || c.sums[f].holders > c.sums[other].holders {
		return false
	}
	for _, e := range a.ends {
		others := e.lost[other]
		for _, holder := range e.lost[f] {
			if _, both := slices.BinarySearchFunc(others, holder, compareHolders); !both {
				return false
			}
		}
	}
	return true
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

func (r *record) sum(f core.Fingerprint) sums {
	var s sums
	seen := map[core.Fingerprint]struct{}{}
	for _, e := range r.ends {
		s.strength += e.strength(f, r.kind)
		s.holders += len(e.lost[f])
		s.age += int(youngest(e.lost[f]))
		for _, holder := range e.lost[f] {
			carrier := holder.Fingerprint
			if r.kind == Request {
				carrier = core.Fingerprint(holder.Arrival)
			}
			seen[carrier] = struct{}{}
		}
	}
	s.carriers = len(seen)
	return s
}

// strength returns how much the end counts against a suspect that ran there.
func (e *end) strength(f core.Fingerprint, kind Kind) int {
	if kind == Part && len(e.began) > 0 && !e.beganOn(f) {
		return halfEnd
	}
	return fullEnd
}

// beganOn reports whether the server had begun to answer a request that holds a part.
func (e *end) beganOn(f core.Fingerprint) bool {
	_, began := e.began[f]
	return began
}

// youngest returns the shortest time, in ms, that one of the requests had been at its server.
func youngest(holders []core.LostRequest) uint32 {
	return slices.MinFunc(holders, func(a, b core.LostRequest) int { return cmp.Compare(a.Age, b.Age) }).Age
}
