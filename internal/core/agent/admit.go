package agent

import (
	"time"

	"nutmeglane.example/nutmeglane/internal/api"
	"nutmeglane.example/nutmeglane/internal/code"
	"nutmeglane.example/nutmeglane/internal/core"
)

// refusal is why a request is not admitted; the zero value admits it.
type refusal struct {
	code       code.Code
	retryAfter time.Duration
}

func classOfPriority(priority api.Priority) class {
	if priority == api.PriorityBatch {
		return classBatch
	}
	return classInteractive
}

// startRequest handles a Start.
func (p *Part) startRequest(from core.HostID, m core.Start) {
	if p.attempts[m.Attempt] != nil {
		return // a duplicate of an attempt that is under way
	}
	if old := p.past.find(m.Attempt); old != nil {
		p.answerPast(from, old)
		return
	}
	// A keyed request that already runs or ran is not new work: it is
	// answered also while leaving or after the slot has moved.
	if p.joinKeyed(from, m) {
		return
	}
	t, startsIn, no := p.admit(m)
	if no.code != code.OK {
		if t != nil {
			p.mark(t.slot) // sweeps a target made for nothing
		}
		p.reject(from, m.Attempt, no.code, no.retryAfter, p.now.Add(m.Remaining))
		return
	}
	j := p.newJob(m, t)
	p.registerKey(j)
	v := p.addViewer(j, from, m.Attempt, m.Window)
	p.noteArrival(t)
	p.enqueue(j)
	p.shed()
	if j.state == jobWaiting {
		p.sendTo(v, core.Accepted{Attempt: m.Attempt, StartsIn: startsIn})
	}
}

// answerPast answers an attempt that is over: a refusal stands, and one that
// ran is never run again.
func (p *Part) answerPast(to core.HostID, old *pastAttempt) {
	if old.ran {
		p.sendEnd(to, old.attempt, 0, code.OutcomeUnknown)
		return
	}
	p.send(to, core.Rejected{Attempt: old.attempt, Code: old.refusal})
}

// admit finds the target of a request, predicts its start and checks that it
// is in time.
func (p *Part) admit(m core.Start) (*target, time.Duration, refusal) {
	switch {
	case p.snapshot == nil:
		return nil, 0, refusal{code.NotReady, minRetryAfter}
	case p.leaving:
		return nil, 0, refusal{code.Draining, minRetryAfter}
	case m.Remaining <= 0:
		return nil, 0, refusal{code.DeadlinePassed, 0}
	}
	t, no := p.findTarget(m)
	if no.code != code.OK {
		return nil, 0, no
	}
	startsIn, no := p.checkStart(t, m)
	return t, startsIn, no
}

func (p *Part) findTarget(m core.Start) (*target, refusal) {
	if p.service != nil {
		if m.Target.Service != p.cfg.Service || p.snapshot.Services[p.cfg.Service] == nil {
			return nil, refusal{code.UnknownService, 0}
		}
		return p.service.base, refusal{}
	}
	if p.snapshot.Models[m.Target.Model] == nil {
		return nil, refusal{code.UnknownModel, 0}
	}
	s := p.slots[m.Slot]
	if s == nil || m.Slot.Model != m.Target.Model || m.Generation > s.generation {
		return nil, refusal{code.NotOwner, minRetryAfter}
	}
	if reason := p.slotMustGo(s); reason != code.OK {
		return nil, refusal{reason, minRetryAfter}
	}
	if m.Target.Adapter == "" {
		return s.base, refusal{}
	}
	adapter := p.snapshot.Adapters[m.Target.Adapter]
	if adapter == nil || adapter.Spec.Base != m.Target.Model {
		return nil, refusal{code.UnknownModel, 0}
	}
	if s.layout.max == 0 {
		return nil, refusal{code.NoBackend, minRetryAfter}
	}
	known := s.adapters[m.Target.Adapter]
	if known == nil && !p.placed(adapter, s, adapter.Spec.Replicas.Max) || known != nil && known.misplaced {
		return nil, refusal{code.NotOwner, minRetryAfter}
	}
	return p.adapterTarget(s, m.Target.Adapter), refusal{}
}

// checkStart predicts a request's start, and refuses it if that is past its
// deadline.
func (p *Part) checkStart(t *target, m core.Start) (time.Duration, refusal) {
	if p.engineLost() && !t.loaded() {
		return 0, refusal{code.LoadFailed, max(backoff(p.inventory.failures), minRetryAfter)}
	}
	starts := p.startsIn(t, classOfPriority(m.Priority), m.ClientAccount)
	ready := p.readyIn(t)
	inTime := p.finishes(t.slot.runTime[classOfPriority(m.Priority)], starts-ready, m.Remaining-ready)
	if p.lacksMemory(t) {
		_, wait, ok := p.roomFor(t)
		if !ok {
			p.noteCrowded(t.slot)
			return 0, refusal{code.NoMemory, p.memoryRetry()}
		}
		if wait > 0 && wait+starts >= m.Remaining {
			p.noteCrowded(t.slot)
			return 0, refusal{code.NoMemory, max(wait, minRetryAfter)}
		}
		starts += wait
	}
	switch {
	case starts < m.Remaining && inTime:
		return starts, refusal{}
	case t.retryAt > p.now:
		return 0, refusal{code.LoadFailed, max(starts, minRetryAfter)}
	}
	p.loadAnyway(t)
	return 0, refusal{code.DeadlineUnmet, max(starts, minRetryAfter)}
}

func (p *Part) lacksMemory(t *target) bool {
	if t.slot.service || t.item != nil {
		return false
	}
	return p.memoryNeed(t) > p.free()
}

// loadAnyway loads the model of a request that was refused because the load
// takes too long for it. Else a model whose callers are all less patient than
// its load would be refused for ever; so the caller who comes back after
// Retry-After finds it loaded, and the load's true duration is learned.
func (p *Part) loadAnyway(t *target) {
	if t.slot.service || t.loaded() {
		return
	}
	p.noteArrival(t)
	t.wanted = true
	p.mark(t.slot)
}

// noteArrival tells the idle policy of a request; one for an adapter keeps the
// base too.
func (p *Part) noteArrival(t *target) {
	if t.slot.service {
		return
	}
	p.cfg.Idle.Arrival(p.now, p.checkpointOf(t).key)
	if t.adapter {
		p.cfg.Idle.Arrival(p.now, p.checkpointOf(t.slot.base).key)
	}
}

// shed refuses waiting requests from the least valuable end until the backlog
// is within its bounds.
func (p *Part) shed() {
	for p.backlog.full() {
		j := p.backlog.victim()
		wait := p.startsIn(j.target, j.class, j.start.ClientAccount)
		p.refuse(j, code.QueueFull, max(wait, minRetryAfter))
	}
}
