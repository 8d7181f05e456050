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
	// due is when its first event was predicted.
	due core.Time
}

// Send notes that a prompt was sent.
func (q *Queue) Send(now core.Time, key uint64, reading, first time.Duration) {
	if q.unread == nil {
		q.unread = map[uint64]unread{}
	}
	q.until = max(q.until, now).Add(reading)
	q.unread[key] = unread{reading, now.Add(first)}
}

// Ended notes that a prompt's first event has come, or that it was given up.
func (q *Queue) Ended(now core.Time, key uint64) {
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
func (q *Queue) Ahead(now core.Time) time.Duration {
	late, left := time.Duration(0), time.Duration(0)
	for _, u := range q.unread {
		late = max(late, now.Sub(u.due))
		left += u.reading
	}
	if late <= 0 {
		return max(0, q.until.Sub(now))
	}
	return max(left, q.until.Sub(now)) + late
}
