package entry

import (
	"container/heap"

	"nutmeglane.example/nutmeglane/internal/core"
)

// timerHeap orders requests by their next timer, so that the cost of a tick depends on
// the timers due and not on the number of requests held.
type timerHeap []*request

func (h timerHeap) Len() int           { return len(h) }
func (h timerHeap) Less(i, j int) bool { return h[i].timer < h[j].timer }

func (h timerHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].timerIndex, h[j].timerIndex = i, j
}

// Push implements heap.Interface.
func (h *timerHeap) Push(x any) {
	r := x.(*request)
	r.timerIndex = len(*h)
	*h = append(*h, r)
}

// Pop implements heap.Interface.
func (h *timerHeap) Pop() any {
	old := *h
	last := len(old) - 1
	r := old[last]
	old[last] = nil
	*h = old[:last]
	return r
}

// setTimer sets the request's timer to the given time, or to its deadline if that is
// earlier.
func (p *Part) setTimer(r *request, at core.Time) {
	r.timer = min(at, r.deadline)
	heap.Fix(&p.timers, r.timerIndex)
}

// expire handles every request whose timer has expired.
func (p *Part) expire() {
	for len(p.timers) > 0 && p.timers[0].timer <= p.now {
		r := p.timers[0]
		if r.deadline <= p.now {
			p.deadlinePassed(r)
			continue
		}
		p.setTimer(r, r.deadline)
		p.connectionWaitExpired(r)
	}
	p.stopLimit()
}

// connectionWaitExpired ends the wait for a connection, before or after the Start.
func (p *Part) connectionWaitExpired(r *request) {
	switch r.phase {
	case phaseConnecting:
		p.nextCandidate(r, reasonUnreachable)
	case phaseBroken:
		p.cancelAttempt(r)
		p.handleLost(r, reasonLost)
	}
}
