package agent

import (
	"time"

	"nutmeglane.example/nutmeglane/internal/api"
	"nutmeglane.example/nutmeglane/internal/code"
	"nutmeglane.example/nutmeglane/internal/core"
)

// refusal is the reason why a request is not admitted; the zero value means
// that it is admitted.
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
		return // duplicate of an attempt that is waiting or running
	}
	if old := p.past.find(m.Attempt); old != nil {
		p.answerPast(from, old)
		return
	}
	// A keyed request that is waiting, running or finished is not new work: it
	// is answered even while the agent is leaving or after the slot has moved.
	if p.joinKeyed(from, m) {
		return
	}
	t, startsIn, refused := p.admit(m)
	if refused.code != code.OK {
		if t != nil {
			p.markDirty(t.slot) // drops a target that was created for this request only
		}
		p.reject(from, m.Attempt, refused.code, refused.retryAfter, p.now.Add(m.Remaining))
		return
	}
	j := p.newJob(m, t)
	p.registerKey(j)
	v := p.addSubscriber(j, from, m.Attempt, m.Window)
	p.recordArrival(t)
	p.enqueue(j)
	p.shed()
	if j.state == jobWaiting {
		p.sendTo(v, core.Accepted{Attempt: m.Attempt, StartsIn: startsIn})
	}
}

// answerPast answers an attempt that has ended: a refusal is repeated, and an
// attempt that ran is not run again.
func (p *Part) answerPast(to core.HostID, old *pastAttempt) {
	if old.ran {
		p.sendEnd(to, old.attempt, 0, code.OutcomeUnknown)
		return
	}
	p.send(to, core.Rejected{Attempt: old.attempt, Code: old.refusal})
}

// admit finds the target of a request, predicts its start and checks that it
// can start before its deadline.
func (p *Part) admit(m core.Start) (*target, time.Duration, refusal) {
	switch {
	case p.snapshot == nil:
		return nil, 0, refusal{code.NotReady, minRetryAfter}
	case p.leaving:
		return nil, 0, refusal{code.Draining, minRetryAfter}
	case m.Remaining <= 0:
		return nil, 0, refusal{code.DeadlinePassed, 0}
	}
	t, refused := p.findTarget(m)
	if refused.code != code.OK {
		return nil, 0, refused
	}
	startsIn, refused := p.checkStart(t, m)
	return t, startsIn, refused
}

func (p *Part) findTarget(m core.Start) (*target, refusal) {
	if p.service != nil {
		if m.Target.Service != p.cfg.Service || p.snapshot.Services[p.cfg.Service] == nil {
			return nil, refusal{code.UnknownService, 0}
		}
		if left := p.service.backoffUntil.Sub(p.now); left > 0 {
			return nil, refusal{code.BackingOff, left}
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
	if reason := p.drainReason(s); reason != code.OK {
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

// checkStart predicts the start of a request and refuses the request if it
// would start or finish after its deadline.
func (p *Part) checkStart(t *target, m core.Start) (time.Duration, refusal) {
	if p.engineDown() && !t.loaded() {
		return 0, refusal{code.LoadFailed, max(backoff(p.inventory.failures), minRetryAfter)}
	}
	starts := p.startsIn(t, classOfPriority(m.Priority), m.ClientAccount)
	ready := p.readyIn(t)
	inTime := p.canFinish(t.slot.runTime[classOfPriority(m.Priority)], starts-ready, m.Remaining-ready)
	if p.lacksMemory(t) {
		_, wait, ok := p.planEviction(t)
		if !ok {
			p.markCrowded(t.slot)
			return 0, refusal{code.NoMemory, p.memoryRetry()}
		}
		if wait > 0 && wait+starts >= m.Remaining {
			p.markCrowded(t.slot)
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
	p.loadAfterRefusal(t)
	return 0, refusal{code.DeadlineUnmet, max(starts, minRetryAfter)}
}

func (p *Part) lacksMemory(t *target) bool {
	if t.slot.service || t.item != nil {
		return false
	}
	return p.memoryNeed(t) > p.free()
}

// loadAfterRefusal orders the load of a target whose request was refused
// because the load takes longer than its deadline allows. Without this, a model
// whose requests all have deadlines shorter than its load would never be
// loaded. A caller that retries after Retry-After finds it loaded, and the
// predictor learns the actual duration of the load.
func (p *Part) loadAfterRefusal(t *target) {
	if t.slot.service || t.loaded() {
		return
	}
	p.recordArrival(t)
	t.wanted = true
	p.markDirty(t.slot)
}

// recordArrival reports a request to the idle policy. A request for an adapter
// also counts for its base model.
func (p *Part) recordArrival(t *target) {
	if t.slot.service {
		return
	}
	p.cfg.Idle.Arrival(p.now, p.checkpointOf(t).key)
	if t.adapter {
		p.cfg.Idle.Arrival(p.now, p.checkpointOf(t.slot.base).key)
	}
}

// shed refuses waiting requests in shedding order until the backlog is within
// its limits.
func (p *Part) shed() {
	for p.backlog.full() {
		j := p.backlog.victim()
		wait := p.startsIn(j.target, j.class, j.start.ClientAccount)
		p.refuse(j, code.QueueFull, max(wait, minRetryAfter))
	}
}
