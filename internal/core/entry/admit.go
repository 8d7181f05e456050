package entry

import (
	"cmp"
	"container/heap"

	"nutmeglane.example/nutmeglane/internal/api"
	"nutmeglane.example/nutmeglane/internal/code"
	"nutmeglane.example/nutmeglane/internal/core"
)

// queueUsage counts the requests and request bodies that the entry holds.
type queueUsage struct {
	requests  int // response head not sent yet
	bytes     int64
	byAccount map[string]int
}

func (q *queueUsage) add(r *request) {
	q.requests++
	q.byAccount[r.arrived.ClientAccount]++
	q.bytes += int64(len(r.arrived.Body))
}

// headSent removes the request from the waiting ones; its body stays counted.
func (q *queueUsage) headSent(r *request) {
	q.requests--
	account := r.arrived.ClientAccount
	if q.byAccount[account]--; q.byAccount[account] == 0 {
		delete(q.byAccount, account)
	}
}

func (q *queueUsage) release(r *request) {
	q.bytes -= int64(len(r.arrived.Body))
	if !r.stream.head {
		q.headSent(r)
	}
}

// admit refuses a request at once or accepts and routes it.
func (p *Part) admit(ev core.RequestArrived) {
	if p.requests[ev.ID] != nil {
		return // duplicate event; the first one is answered
	}
	t, result := p.resolve(&ev.Target)
	if p.stop.refuses(p.now) {
		result = code.Draining
	}
	if result == code.OK {
		ev.Priority = cmp.Or(ev.Priority, t.priority)
		result = p.checkQueue(&ev)
	}
	if result != code.OK {
		p.end(ev.ID, result, 0)
		return
	}
	r := &request{arrived: ev, arrivedAt: p.now, deadline: p.now.Add(ev.Timeout)}
	r.timer = r.deadline
	p.requests[ev.ID] = r
	heap.Push(&p.timers, r)
	p.queue.add(r)
	p.retries.deposit()
	p.route(r, &t)
}

// checkQueue enforces the bounds of the queue. Once the queue is half full, batch
// requests and client accounts above their weighted share are refused first, so that one
// client account's burst leaves the other half to the rest.
func (p *Part) checkQueue(ev *core.RequestArrived) code.Code {
	q, limit := &p.queue, p.limits.QueueRequests
	if q.requests >= limit || q.bytes+int64(len(ev.Body)) > p.limits.QueueBytes {
		return code.QueueFull
	}
	if q.requests < limit/2 {
		return code.OK
	}
	if ev.Priority == api.PriorityBatch || q.byAccount[ev.ClientAccount] >= p.queueShare(ev.ClientAccount) {
		return code.QueueFull
	}
	return code.OK
}

// reservedDivisor: 1/reservedDivisor of the queue is reserved for client accounts that
// have no request waiting yet.
const reservedDivisor = 8

// queueShare returns the number of queued requests that a client account may have, by its
// weight among the client accounts with waiting requests.
//
// Failure: one client account sends a burst while no other waits, so its share is the
// whole queue. It fills the queue, and the next request of any other client account is
// refused; waiting requests can't be evicted, since they may have been sent. Guard: no
// share includes the reserved part.
func (p *Part) queueShare(account string) int {
	total, own := 0, p.weight(account)
	if p.queue.byAccount[account] == 0 {
		total = own
	}
	for name := range p.queue.byAccount { // summed: order has no effect
		total += p.weight(name)
	}
	limit := p.limits.QueueRequests
	return max(1, min(limit*own/total, limit-limit/reservedDivisor))
}

func (p *Part) weight(account string) int {
	if c := p.snapshot.ClientAccounts[account]; c != nil {
		return max(1, c.Spec.Weight)
	}
	return 1
}

// The retry budget: resent requests add at most a tenth to the load of the agents, beyond
// a burst, so that retries don't make a fault worse.
const (
	retryRatio = 0.1
	retryBurst = 100
)

type retryBudget struct{ tokens float64 }

func (b *retryBudget) deposit() { b.tokens = min(retryBurst, b.tokens+retryRatio) }

func (b *retryBudget) available() bool { return b.tokens >= 1 }

func (b *retryBudget) withdraw() { b.tokens = max(0, b.tokens-1) }
