package entry

import (
	"cmp"
	"container/heap"

	"nutmeglane.example/nutmeglane/internal/api"
	"nutmeglane.example/nutmeglane/internal/code"
	"nutmeglane.example/nutmeglane/internal/core"
)

// waitingLoad counts what the entry holds.
type waitingLoad struct {
	requests  int // without an answer's head
	bytes     int64
	byAccount map[string]int
}

func (w *waitingLoad) add(r *request) {
	w.requests++
	w.byAccount[r.arrived.ClientAccount]++
	w.bytes += int64(len(r.arrived.Body))
}

// headSent takes the request off the waiting ones; its body stays held.
func (w *waitingLoad) headSent(r *request) {
	w.requests--
	account := r.arrived.ClientAccount
	if w.byAccount[account]--; w.byAccount[account] == 0 {
		delete(w.byAccount, account)
	}
}

func (w *waitingLoad) drop(r *request) {
	w.bytes -= int64(len(r.arrived.Body))
	if !r.stream.head {
		w.headSent(r)
	}
}

// admit refuses a request at once or takes it in and routes it.
func (p *Part) admit(ev core.RequestArrived) {
	if p.requests[ev.ID] != nil {
		return // the same event twice; the first one's answer is on its way
	}
	t, result := p.resolve(&ev.Target)
	if p.stop.refuses(p.now) {
		result = code.Draining
	}
	if result == code.OK {
		ev.Priority = cmp.Or(ev.Priority, t.priority)
		result = p.room(&ev)
	}
	if result != code.OK {
		p.end(ev.ID, result, 0)
		return
	}
	r := &request{arrived: ev, began: p.now, deadline: p.now.Add(ev.Timeout)}
	r.timer = r.deadline
	p.requests[ev.ID] = r
	heap.Push(&p.timers, r)
	p.waiting.add(r)
	p.retries.earn()
	p.route(r, &t)
}

// room checks the bounded queue. From half full on, batch work and client accounts
// above their weighted share are refused, the least valuable first: a flood
// from one client account then leaves the other half to the rest.
func (p *Part) room(ev *core.RequestArrived) code.Code {
	w, limit := &p.waiting, p.limits.QueueRequests
	if w.requests >= limit || w.bytes+int64(len(ev.Body)) > p.limits.QueueBytes {
		return code.QueueFull
	}
	if w.requests < limit/2 {
		return code.OK
	}
	if ev.Priority == api.PriorityBatch || w.byAccount[ev.ClientAccount] >= p.share(ev.ClientAccount) {
		return code.QueueFull
	}
	return code.OK
}

// reservedPart: one part in so many of the queue is kept for client accounts that
// have nothing waiting yet.
const reservedPart = 8

// share is a client account's part of the queue among the client accounts that wait now.
//
// Failure: one client account's flood comes while nobody else waits, so that its share
// is the whole queue; it fills it to the brim, and the next caller of any other
// client account is refused. What waits can't be taken back, since it may have been
// sent. Guard: no share reaches into the reserved part.
func (p *Part) share(account string) int {
	total, own := 0, p.weight(account)
	if p.waiting.byAccount[account] == 0 {
		total = own
	}
	for name := range p.waiting.byAccount { // a sum: order has no effect
		total += p.weight(name)
	}
	limit := p.limits.QueueRequests
	return max(1, min(limit*own/total, limit-limit/reservedPart))
}

func (p *Part) weight(account string) int {
	if c := p.snapshot.ClientAccounts[account]; c != nil {
		return max(1, c.Spec.Weight)
	}
	return 1
}

// The retry budget: resent requests add at most a tenth to the load of the
// agents, beyond a burst, so that a fault is not made worse by retries.
const (
	retryShare = 0.1
	retryBurst = 100
)

type retryBudget struct{ tokens float64 }

func (b *retryBudget) earn() { b.tokens = min(retryBurst, b.tokens+retryShare) }

func (b *retryBudget) left() bool { return b.tokens >= 1 }

func (b *retryBudget) pay() { b.tokens = max(0, b.tokens-1) }
