package runtime

import (
	"sync"

	"nutmeglane.example/nutmeglane/internal/core"
)

// Queue is an unbounded FIFO queue of events. It has no bound because an executor
// may post from within Do, on the loop's own goroutine, so that a full queue would
// deadlock the loop. Its length is limited indirectly by the flow control of streams
// and the bounded request queues, both of which the reducer implements.
type Queue struct {
	mu     sync.Mutex
	events []core.Event
	// ready holds an element while events may be non-empty.
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

// Take returns all queued events and reuses spare as the buffer for the next ones.
func (q *Queue) Take(spare []core.Event) []core.Event {
	q.mu.Lock()
	defer q.mu.Unlock()
	events := q.events
	q.events = spare[:0]
	return events
}

// Ready returns a channel that delivers when events may be queued.
func (q *Queue) Ready() <-chan struct{} { return q.ready }
