package agent

import "nutmeglane.example/nutmeglane/internal/core"

// timer calls fire at a time. The field at is meaningful only while the timer
// is set.
type timer struct {
	at    core.Time
	order uint64
	pos   int
	fire  func()
}

func (t *timer) set() bool { return t.pos != 0 }

// timers is the queue of all timers of a Part. Timers with the same time fire
// in the order in which they were set, so that a replay is deterministic.
type timers struct {
	heap  heap[*timer]
	count uint64
}

func newTimers() timers {
	return timers{heap: heap[*timer]{
		less: func(a, b *timer) bool {
			if a.at != b.at {
				return a.at < b.at
			}
			return a.order < b.order
		},
		pos: func(t *timer) *int { return &t.pos },
	}}
}

// set (re)arms a timer; core.Never stops it.
func (ts *timers) set(t *timer, at core.Time) {
	ts.stop(t)
	if at == core.Never {
		return
	}
	ts.count++
	t.at, t.order = at, ts.count
	ts.heap.push(t)
}

func (ts *timers) stop(t *timer) { ts.heap.remove(t) }

func (ts *timers) next() core.Time {
	if ts.heap.len() == 0 {
		return core.Never
	}
	return ts.heap.top().at
}

// run fires all timers that are due.
func (ts *timers) run(now core.Time) {
	for ts.heap.len() > 0 && ts.heap.top().at <= now {
		ts.heap.pop().fire()
	}
}
