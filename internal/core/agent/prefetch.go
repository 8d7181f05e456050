package agent

import (
	"cmp"
	"time"

	"nutmeglane.example/nutmeglane/internal/api"
	"nutmeglane.example/nutmeglane/internal/code"
	"nutmeglane.example/nutmeglane/internal/core"
)

const (
	// prefetchPause is the time between two checks for something to prefetch.
	prefetchPause = 10 * time.Second
	// prefetchRetry is the wait after a prefetch that failed.
	prefetchRetry = 5 * time.Minute
	// permitTimeout is how long the agent waits for a requested permit before
	// it sends a new request.
	permitTimeout = 10 * time.Minute
	// prefetchDeadline is sent with permit requests, by whose deadlines the
	// steward orders background reads: those for the first slot of an
	// interactive model get half of it and come before the others.
	prefetchDeadline = time.Hour
)

// prefetchState is the single prefetch that an agent has in progress. Slots are
// assigned even while the model is idle, so the host that will load a model is
// known before its first request, and the checkpoint can be on its disk by
// then.
type prefetchState struct {
	slot  *slot
	key   string
	order uint64
	// permit is the sequence number of the permit that is requested or held.
	permit  uint64
	steward core.HostID
	timer   timer
	// granted is set from the permit to the end of the prefetch; beginTimer
	// fires when the prefetch may be ordered.
	granted    bool
	beginTimer timer
	// nextTry holds the earliest time at which a key may be prefetched again;
	// core.Never after a prefetch that was ordered, unless it failed. If a key
	// were prefetched more than once and the local disk were too small for all
	// that the agent owns, each prefetch would evict another checkpoint, which
	// would be prefetched next, and the store would be busy permanently.
	nextTry map[string]core.Time
}

// permitState tracks the permits requested by this agent.
type permitState struct {
	count uint64
	// loads holds the permits of loads in progress, by order ID.
	loads map[uint64]permit
}

type permit struct {
	steward  core.HostID
	sequence uint64
}

// steward returns the first connected steward, or "".
func (p *Part) steward() core.HostID {
	for _, host := range p.peerOrder {
		if p.peers[host].steward {
			return host
		}
	}
	return ""
}

func (p *Part) requestPermit(priority api.Priority, remaining time.Duration, key string) permit {
	steward := p.steward()
	p.permits.count++
	if steward != "" {
		p.send(steward, core.PermitRequest{
			Sequence: p.permits.count, Priority: priority, Remaining: remaining, Key: key,
		})
	}
	return permit{steward: steward, sequence: p.permits.count}
}

// announceLoad reports a load from the weight store that callers wait for to
// the steward, so that background reads leave store lanes free for it.
func (p *Part) announceLoad(it *item) {
	if it.tier == core.TierRemote {
		p.permits.loads[it.order] = p.requestPermit(api.PriorityInteractive, 0, it.key)
	}
}

func (p *Part) announceLoadEnd(order uint64) {
	n, ok := p.permits.loads[order]
	if ok {
		delete(p.permits.loads, order)
		p.send(n.steward, core.PermitDone{Sequence: n.sequence})
	}
}

// planPrefetch requests a permit if a checkpoint should be prefetched.
func (p *Part) planPrefetch() {
	f := &p.prefetch
	p.timers.set(&f.timer, p.now.Add(prefetchPause))
	if f.slot != nil {
		p.endPrefetch() // no permit arrived in time
	}
	s := p.nextPrefetch()
	if s == nil || p.steward() == "" {
		return
	}
	f.slot, f.key = s, p.checkpointOf(s.base).key
	deadline := prefetchDeadline
	if p.prefetchRank(s) == 0 {
		deadline /= 2
	}
	n := p.requestPermit(api.PriorityBatch, deadline, f.key)
	f.steward, f.permit = n.steward, n.sequence
	p.timers.set(&f.timer, p.now.Add(permitTimeout))
}

// nextPrefetch returns the slot whose checkpoint is to be prefetched next, or
// nil.
func (p *Part) nextPrefetch() *slot {
	var best *slot
	for _, s := range p.sortedSlots {
		if p.wantsPrefetch(s) && (best == nil || p.prefetchBefore(s, best)) {
			best = s
		}
	}
	return best
}

func (p *Part) wantsPrefetch(s *slot) bool {
	if s.base.item != nil || !p.mayLoad(s) {
		return false
	}
	c := p.checkpointOf(s.base)
	return c.key != "" && p.tier(c.key) == core.TierRemote && p.now >= p.prefetch.nextTry[c.key]
}

// prefetchRank orders slots: the first slot of an interactive model, which
// receives its cold starts, then other slots of interactive models, then slots
// of batch models.
func (p *Part) prefetchRank(s *slot) int {
	rank := min(int(s.id.Index), 1)
	if m := p.snapshot.Models[s.id.Model]; m != nil && m.Spec.Priority == api.PriorityBatch {
		rank += 2
	}
	return rank
}

func (p *Part) prefetchBefore(a, b *slot) bool {
	return cmp.Or(
		cmp.Compare(p.prefetchRank(a), p.prefetchRank(b)),
		cmp.Compare(p.checkpointOf(a.base).checkpointMiB, p.checkpointOf(b.base).checkpointMiB),
	) < 0
}

// permitGranted schedules the prefetch that the permit was requested for.
func (p *Part) permitGranted(from core.HostID, m core.PermitGrant) {
	f := &p.prefetch
	if f.slot == nil || f.granted || from != f.steward || m.Sequence != f.permit {
		p.send(from, core.PermitDone{Sequence: m.Sequence})
		return
	}
	p.timers.stop(&f.timer)
	f.granted = true
	p.timers.set(&f.beginTimer, p.now.Add(m.StartIn))
}

func (p *Part) orderPrefetch() {
	f := &p.prefetch
	c := p.checkpointOf(f.slot.base)
	if p.slots[f.slot.id] != f.slot || c.key != f.key || !p.wantsPrefetch(f.slot) {
		p.endPrefetch()
		p.timers.set(&f.timer, p.now)
		return
	}
	p.orderCount++
	f.order = p.orderCount
	f.nextTry[f.key] = core.Never
	p.emit(core.Order{
		ID: f.order, Kind: core.OrderPrefetch, Key: c.key, CheckpointMiB: c.checkpointMiB,
		Fence: f.slot.generation, NotAfter: p.now.Add(p.cfg.Timings.OrderValidity),
	})
}

// prefetchDone processes the answer of the engine and plans the next prefetch.
func (p *Part) prefetchDone(done core.OrderDone) {
	f := &p.prefetch
	p.countCode(prefetchesTotal, done.Code)
	if done.Code == code.OK {
		p.recordCached(f.key, core.TierDisk)
	} else {
		f.nextTry[f.key] = p.now.Add(prefetchRetry)
	}
	p.endPrefetch()
	p.timers.set(&f.timer, p.now)
}

// endPrefetch returns the permit to the steward and clears the prefetch.
func (p *Part) endPrefetch() {
	p.send(p.prefetch.steward, core.PermitDone{Sequence: p.prefetch.permit})
	p.forgetPrefetch()
}

func (p *Part) forgetPrefetch() {
	f := &p.prefetch
	f.slot, f.key, f.order, f.permit, f.steward, f.granted = nil, "", 0, 0, "", false
}

// permitLost drops the request for a permit when the connection to the steward
// that it was sent to is lost. A prefetch whose permit was granted continues.
func (p *Part) permitLost(steward core.HostID) {
	f := &p.prefetch
	if f.slot == nil || f.granted || f.steward != steward {
		return
	}
	p.forgetPrefetch()
	p.timers.set(&f.timer, p.now.Add(prefetchPause))
}
