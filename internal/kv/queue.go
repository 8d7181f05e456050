package kv

import (
	"sync"

	"nutmeglane.example/nutmeglane/internal/core"
)

// lane identifies effects that are executed sequentially: those on a key or a lease. A
// lease grant has a lane of its own, identified by its tag.
type lane struct {
	key   string
	lease int64
	tag   uint64
}

// queue holds up to limit effects for the workers, in order for each lane.
type queue struct {
	mu    sync.Mutex
	wake  *sync.Cond
	limit int
	size  int
	// waiting has an entry for each lane that is ready or being worked on.
	waiting map[lane][]core.Effect
	ready   []lane
	closed  bool
}

func newQueue(limit int) *queue {
	q := &queue{limit: limit, waiting: map[lane][]core.Effect{}}
	q.wake = sync.NewCond(&q.mu)
	return q
}

// put adds an effect; it returns false if the queue is full.
func (q *queue) put(l lane, effect core.Effect) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.size >= q.limit {
		return false
	}
	q.size++
	effects, known := q.waiting[l]
	q.waiting[l] = append(effects, effect)
	if !known {
		q.ready = append(q.ready, l)
		q.wake.Signal()
	}
	return true
}

// take waits for an effect; it returns false once the queue is closed. No other effect of
// the lane is returned before done is called.
func (q *queue) take() (lane, core.Effect, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for len(q.ready) == 0 && !q.closed {
		q.wake.Wait()
	}
	if q.closed {
		return lane{}, nil, false
	}
	l := q.ready[0]
	q.ready = q.ready[1:]
	effect := q.waiting[l][0]
	q.waiting[l] = q.waiting[l][1:]
	q.size--
	return l, effect, true
}

func (q *queue) done(l lane) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.waiting[l]) == 0 {
		delete(q.waiting, l)
		return
	}
	q.ready = append(q.ready, l)
	q.wake.Signal()
}

func (q *queue) close() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.closed = true
	q.wake.Broadcast()
}
