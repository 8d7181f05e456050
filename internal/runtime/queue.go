package runtime

import (
	"sync"

	"nutmeglane.example/nutmeglane/internal/core"
)

// Queue is an unbounded FIFO of events. It is unbounded because an executor
// may post from within Do, on the loop's own goroutine: with a bound, the loop
// would wait for itself. What bounds it is the flow control of the streams and
// the bounded queues of requests, both decided by the reducer.
type Queue struct {
	mu     sync.Mutex
	events []core.Event
	// ready holds a token while events may be non-empty.
	ready chan struct{}
}

// NewQueue returns an empty queue.
func NewQueue() *Queue {
	return &Queue{ready: make(chan struct{}, 1)}
}

// Put adds an event. It never blocks.
func (q *Queue) Put(event core.Event) {
	q.mu.Lock()
	q.events = append(q.events, event)
	q.mu.Unlock()
	select {
	case q.ready <- struct{}{}:
	default:
	}
}

// Take returns all queued events and keeps spare as the next buffer.
func (q *Queue) Take(spare []core.Event) []core.Event {
	q.mu.Lock()
	defer q.mu.Unlock()
	events := q.events
	q.events = spare[:0]
	return events
}

// Ready delivers when events may be waiting.
func (q *Queue) Ready() <-chan struct{} { return q.ready }
