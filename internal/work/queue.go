package work

import (
	"time"

	"nutmeglane.example/nutmeglane/internal/core"
)

// Queue is what one router has sent to one engine and not seen begin. The engine
// is taken to read prompts one after the other. The zero value is empty.
type Queue struct {
	unread map[uint64]unread
	// until is when all that was sent has been read, as predicted.
	until core.Time
}

// unread is a prompt whose first event has not come.
type unread struct {
	reading time.Duration
	// sent is when it was sent, due when its first event was predicted.
	sent, due core.Time
	// passed is set once a prompt that was sent later has begun.
	passed bool
}

// Send notes that a prompt was sent.
func (q *Queue) Send(now core.Time, key uint64, reading, first time.Duration) {
	if q.unread == nil {
		q.unread = map[uint64]unread{}
	}
	q.until = max(q.until, now).Add(reading)
	q.unread[key] = unread{reading: reading, sent: now, due: now.Add(first)}
}

// Began notes that a prompt's first event has come.
//
// It guards against an answer that is lost on its way while its engine works: its
// prompt grew later and later, and an engine that answered everything else within
// 100 ms was taken to be seconds behind, so that callers of its models were
// refused. An engine that has begun a prompt does not hang at one before it.
func (q *Queue) Started(now core.Time, key uint64) {
	begun, ok := q.unread[key]
	if !ok {
		return
	}
	for other, u := range q.unread {
		if u.sent < begun.sent {
			u.passed = true
			q.unread[other] = u
		}
	}
	q.Remove(now, key)
}

// Ended notes that a prompt was given up, or has begun.
func (q *Queue) Remove(now core.Time, key uint64) {
	if _, ok := q.unread[key]; !ok {
		return
	}
	delete(q.unread, key)
	left := time.Duration(0)
	for _, u := range q.unread {
		left += u.reading
	}
	q.until = min(q.until, now.Add(left))
}

// Len is the number of prompts whose first event has not come.
func (q *Queue) Len() int { return len(q.unread) }

// Ahead predicts how long a prompt that is sent now waits for those before it.
//
// It guards against an engine that hangs or is slower than predicted: nothing
// comes back from it, and by the prediction it would be free. What is late there
// is taken to be as late again, so that others are chosen until it answers.
func (q *Queue) Delay(now core.Time) time.Duration {
	late, left := time.Duration(0), time.Duration(0)
	for _, u := range q.unread {
		left += u.reading
		if !u.passed {
			late = max(late, now.Sub(u.due))
		}
	}
	if late <= 0 {
		return max(0, q.until.Sub(now))
	}
	return max(left, q.until.Sub(now)) + late
}
