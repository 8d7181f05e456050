package work

import (
	"time"

	"nutmeglane.example/nutmeglane/internal/core"
)

// Queue holds the prompts that one router has sent to one engine and whose first event
// has not arrived. The engine is assumed to read prompts one after the other. The zero
// value is empty.
type Queue struct {
	unread map[uint64]unread
	// readUntil is when all prompts that were sent are predicted to have been read.
	readUntil core.Time
}

// unread is a prompt whose first event has not arrived.
type unread struct {
	reading time.Duration
	// sent is when it was sent, due when its first event was predicted.
	sent, due core.Time
	// overtaken is set once a prompt that was sent later has started.
	overtaken bool
}

// Send records that a prompt was sent. reading is its predicted read time, first the
// predicted time to its first event.
func (q *Queue) Send(now core.Time, key uint64, reading, first time.Duration) {
	if q.unread == nil {
		q.unread = map[uint64]unread{}
	}
	q.readUntil = max(q.readUntil, now).Add(reading)
	q.unread[key] = unread{reading: reading, sent: now, due: now.Add(first)}
}

// Started records that a prompt's first event has arrived.
//
// It guards against an answer that is lost on its way while its engine works: its prompt
// became more and more overdue, and an engine that answered everything else within 100 ms
// was estimated to be seconds behind, so that requests for its models were refused. An
// engine that has started a prompt is not stuck at an earlier one.
func (q *Queue) Started(now core.Time, key uint64) {
	begun, ok := q.unread[key]
	if !ok {
		return
	}
	for other, u := range q.unread {
		if u.sent < begun.sent {
			u.overtaken = true
			q.unread[other] = u
		}
	}
	q.Remove(now, key)
}

// Remove records that a prompt was given up or has started.
func (q *Queue) Remove(now core.Time, key uint64) {
	if _, ok := q.unread[key]; !ok {
		return
	}
	delete(q.unread, key)
	left := time.Duration(0)
	for _, u := range q.unread {
		left += u.reading
	}
	q.readUntil = min(q.readUntil, now.Add(left))
}

// Len returns the number of prompts whose first event has not arrived.
func (q *Queue) Len() int { return len(q.unread) }

// Delay predicts how long a prompt that is sent now waits for those before it.
//
// It guards against an engine that hangs or is slower than predicted: it sends no
// answers, and by the prediction alone it would become idle. The time by which a prompt
// is overdue is added to the delay, so that other engines are chosen until it answers.
func (q *Queue) Delay(now core.Time) time.Duration {
	late, left := time.Duration(0), time.Duration(0)
	for _, u := range q.unread {
		left += u.reading
		if !u.overtaken {
			late = max(late, now.Sub(u.due))
		}
	}
	if late <= 0 {
		return max(0, q.readUntil.Sub(now))
	}
	return max(left, q.readUntil.Sub(now)) + late
}
