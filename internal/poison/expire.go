package poison

import (
	"cmp"
	"maps"
	"slices"

	"nutmeglane.example/nutmeglane/internal/core"
)

// This file removes data: what was cleared, what has not been seen for long, and what
// exceeds the size limit.

// RecordArrival records that a suspect has arrived again.
func (l *Ledger) RecordArrival(now core.Time, f core.Fingerprint) {
	if r := l.suspects[f]; r != nil {
		r.seen = now
	}
}

// Clear removes the ends recorded for a suspect that is known to be harmless. It reports
// whether there were any.
func (l *Ledger) Clear(now core.Time, f core.Fingerprint) bool {
	return l.clearUntil(f, now, "") > 0
}

// Served records that a server began to write an answer on a suspect and continued to run. It
// returns the number of ends that no longer count.
//
// It is remembered for a suspect under which no end is known yet: a router may learn of an end
// seconds later than it served others, and an end that came before does not count.
func (l *Ledger) Served(f core.Fingerprint, w Writing) int {
	if before, ok := l.served.Get(f); !ok || before.At < w.At {
		l.served.Add(f, w)
	}
	return l.clearUntil(f, w.At, w.Server)
}

// TakeSpared returns the suspects of which ends were reported that do not count because a server
// wrote on the suspect here, and how many, and resets them.
func (l *Ledger) TakeSpared() map[core.Fingerprint]int {
	spared := l.spared
	l.spared = map[core.Fingerprint]int{}
	maps.DeleteFunc(spared, func(f core.Fingerprint, _ int) bool { return !l.served.Contains(f) })
	return spared
}

// LastWriting returns when a server last wrote on a suspect here.
func (l *Ledger) LastWriting(f core.Fingerprint) Writing {
	w, _ := l.served.Peek(f)
	return w
}

// clearUntil makes the ends of a suspect up to a time not count, also those that are reported
// later. It returns how many of the recorded ones counted before.
func (l *Ledger) clearUntil(f core.Fingerprint, at core.Time, by string) int {
	r := l.suspects[f]
	if r == nil || at <= r.clearedUntil {
		return 0
	}
	r.clearedUntil, r.clearedBy, r.written = at, by, true
	before := len(r.ends)
	r.ends = slices.DeleteFunc(r.ends, func(e *end) bool {
		if e.at > at {
			return false
		}
		l.dropLost(e, f)
		return true
	})
	l.changed = true
	if len(r.ends) < Threshold {
		delete(l.candidates, f)
		delete(l.poison, f)
	}
	return before - len(r.ends)
}

// drop removes a suspect.
func (l *Ledger) drop(f core.Fingerprint) {
	r := l.suspects[f]
	delete(l.suspects, f)
	delete(l.candidates, f)
	delete(l.poison, f)
	for _, e := range r.ends {
		l.dropLost(e, f)
	}
}

// dropLost removes a suspect from an end, and the end if it was the last one there.
func (l *Ledger) dropLost(e *end, f core.Fingerprint) {
	delete(e.lost, f)
	l.dropEmpty(e)
}

func (l *Ledger) dropEmpty(e *end) {
	if len(e.lost) > 0 {
		return
	}
	instance := e.Life.Instance
	l.ends[instance] = slices.DeleteFunc(l.ends[instance], func(other *end) bool { return other == e })
	if len(l.ends[instance]) == 0 {
		delete(l.ends, instance)
	}
}

// Expire removes what has not been seen for Retention.
func (l *Ledger) Expire(now core.Time) {
	for _, f := range slices.Sorted(maps.Keys(l.suspects)) {
		if now.Sub(l.suspects[f].seen) >= Retention {
			l.drop(f)
		}
	}
}

// evictExcess removes the suspects with the fewest ends beyond maxSuspects.
func (l *Ledger) evictExcess() {
	if len(l.suspects) <= maxSuspects {
		return
	}
	// Removes more than needed, so that not each new end has to sort all suspects.
	excess := len(l.suspects) - maxSuspects*7/8
	byWorth := slices.SortedFunc(maps.Keys(l.suspects), func(a, b core.Fingerprint) int {
		x, y := l.suspects[a], l.suspects[b]
		return cmp.Or(cmp.Compare(len(x.ends), len(y.ends)), cmp.Compare(x.seen, y.seen), cmp.Compare(a, b))
	})
	for _, f := range byWorth[:excess] {
		l.drop(f)
	}
}
