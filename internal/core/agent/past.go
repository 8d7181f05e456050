package agent

import (
	"time"

	"nutmeglane.example/nutmeglane/internal/code"
	"nutmeglane.example/nutmeglane/internal/core"
)

// pastAttempt is the record of an attempt that has ended.
type pastAttempt struct {
	attempt core.AttemptID
	// ran is set if the attempt was passed to the backend server. Otherwise the
	// record is a tombstone: the attempt did not run and never will.
	ran bool
	// refusal is the code of a tombstone.
	refusal code.Code
	expires core.Time
	pos     int
}

// past holds a limited number of records of ended attempts.
//
// It prevents two wrong answers. First, an attempt that was answered "not run"
// must never run: its tombstone refuses it. Second, an attempt that ran and
// whose job was dropped must not be answered NotStarted, because its entry
// would then run it again.
//
// Limit in time: an entry asks about an attempt only while its caller waits.
// The deadline recorded here is counted from the receipt of Remaining, so it is
// not before the deadline of the entry; a record is kept until pastMargin after
// it. Start and Resume of one attempt can't overtake each other: messages of a
// connection arrive in order, and none of an older connection arrives after the
// PeerUp of the newer one, so a Start that was sent before a Resume has arrived
// before it or was lost.
//
// Limit in count: when the limit is exceeded, the record that expires first is
// dropped, and until its expiry an unknown attempt is answered "outcome
// unknown" instead of NotStarted. So exceeding the limit makes an answer less
// precise but never wrong.
type past struct {
	limit   int
	records map[core.AttemptID]*pastAttempt
	expiry  heap[*pastAttempt]
	// incompleteUntil is the latest expiry of a record that was dropped early.
	incompleteUntil core.Time
}

func newPast(limit int) past {
	return past{limit: limit, records: map[core.AttemptID]*pastAttempt{}, expiry: heap[*pastAttempt]{
		less: func(a, b *pastAttempt) bool { return a.expires < b.expires },
		pos:  func(a *pastAttempt) *int { return &a.pos },
	}}
}

// add records an attempt until pastMargin after its deadline.
func (ps *past) add(now core.Time, a pastAttempt, deadline core.Time) {
	ps.expire(now)
	if old := ps.records[a.attempt]; old != nil {
		ps.drop(old)
	}
	a.expires = max(now, deadline).Add(pastMargin)
	record := &a
	ps.records[a.attempt] = record
	ps.expiry.push(record)
	if ps.expiry.len() > ps.limit {
		oldest := ps.expiry.top()
		ps.incompleteUntil = max(ps.incompleteUntil, oldest.expires)
		ps.drop(oldest)
	}
}

func (ps *past) expire(now core.Time) {
	for ps.expiry.len() > 0 && ps.expiry.top().expires <= now {
		ps.drop(ps.expiry.top())
	}
}

func (ps *past) drop(a *pastAttempt) {
	ps.expiry.remove(a)
	delete(ps.records, a.attempt)
}

func (ps *past) find(a core.AttemptID) *pastAttempt { return ps.records[a] }

// complete reports whether an attempt without a record certainly never started.
func (ps *past) complete(now core.Time) bool { return now >= ps.incompleteUntil }

// tombstoneDeadline returns the deadline to record in a tombstone of an attempt
// whose deadline is not known.
func tombstoneDeadline(now core.Time) core.Time { return now.Add(10 * time.Minute) }
