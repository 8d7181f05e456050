package entry

import (
	"slices"
	"time"

	"nutmeglane.example/nutmeglane/internal/code"
	"nutmeglane.example/nutmeglane/internal/core"
)

// stopState is the progress of a graceful shutdown.
type stopState struct {
	stopping bool
	began    core.Time
	delay    time.Duration
	// refuseAt ends the delay in which new requests are still accepted.
	refuseAt core.Time
	limit    core.Time
	// recallAt is when requests that have not started to run are recalled.
	recallAt core.Time
	recalled bool
	exited   bool
}

const (
	// recallLead is the time before the limit in which agents report which requests have
	// not started; 1/recallDivisor of the whole shutdown time bounds it.
	recallLead    = 500 * time.Millisecond
	recallDivisor = 4
	// stopRunFactor is how many times its usual run time a request must have left before
	// the limit.
	stopRunFactor = 2
)

func (s *stopState) refuses(now core.Time) bool { return s.stopping && now >= min(s.refuseAt, s.limit) }

func (s *stopState) next(now core.Time) core.Time {
	switch {
	case !s.stopping || s.exited:
		return core.Never
	case now < s.refuseAt:
		return min(s.refuseAt, s.recallAt, s.limit)
	case !s.recalled:
		return min(s.recallAt, s.limit)
	default:
		return s.limit
	}
}

// beginStop clears readiness first, so that the load balancer stops sending; requests in
// flight continue.
//
// The delay guards against failures during a planned stop: until the load balancer's next
// check it sends new requests here, and refusing them, or exiting because none is in
// flight, would show as failed requests.
func (p *Part) beginStop(ev core.Stop) {
	if p.stop.stopping {
		return
	}
	p.stop = stopState{
		stopping: true, began: p.now, delay: ev.Delay,
		refuseAt: p.now.Add(ev.Delay), limit: p.now.Add(ev.Limit),
		recallAt: p.now.Add(ev.Limit - min(recallLead, ev.Limit/recallDivisor)),
	}
	p.emit(core.Ready{Ready: false})
	p.recallAll(func(r *request) bool { return !p.endsInTime(r.replica, r.startsAt) })
}

// endsInTime reports whether a run that starts at the given time is expected to end
// before the process exits.
func (p *Part) endsInTime(at *replica, starts core.Time) bool {
	if !p.stop.stopping {
		return true
	}
	run := time.Duration(0)
	if at != nil {
		run = at.model.runTime.value
	}
	return max(p.now, starts).Add(stopRunFactor*run) < p.stop.limit
}

// inTime reports whether a request sent to the candidate at once is expected to end
// before the process exits.
func (p *Part) inTime(c *choice) bool {
	wait := c.wait
	if c.cold {
		wait += c.replica.model.coldStart.valueOr(p.limits.ColdStart)
	}
	return !p.stop.recalled && p.endsInTime(c.replica, p.now.Add(wait))
}

// recallAll recalls the requests that match the filter.
func (p *Part) recallAll(which func(*request) bool) {
	for _, r := range slices.Clone(p.timers) {
		if which(r) {
			p.recall(r)
		}
	}
}

// recall ends a request that has not started to run. One that was sent is refused once
// its agent confirms that it had not started.
//
// It guards against requests that wait until the process exits and are cut then: their
// callers would not know that they can safely retry.
func (p *Part) recall(r *request) {
	switch {
	case r.stream.head || r.stream.progress || r.recalled:
	case r.phase == phaseConnecting:
		p.finish(r, code.Draining, minRetryAfter)
	case r.agent.up:
		r.recalled = true
		p.send(r.agent, core.Cancel{Attempt: r.attemptID(), IfWaiting: true})
	}
}

// extendStopDelay restarts the delay when a request from before the stop ends. The head
// of its answer was sent before the header that closes the connection could be added, so one
// more request may arrive on it.
func (p *Part) extendStopDelay(r *request) {
	if p.stop.stopping && r.arrivedAt < p.stop.began {
		p.stop.refuseAt = max(p.stop.refuseAt, p.now.Add(p.stop.delay))
	}
}

// stopLimit ends the remaining requests when the limit of the shutdown is reached;
// shortly before, it recalls those that have not started.
func (p *Part) stopLimit() {
	switch {
	case !p.stop.stopping || p.now < p.stop.recallAt:
	case p.now >= p.stop.limit:
		p.cutAll()
	case !p.stop.recalled:
		p.stop.recalled = true
		p.recallAll(func(*request) bool { return true })
	}
}

func (p *Part) cutAll() {
	for len(p.timers) > 0 {
		r := p.timers[0]
		p.cancelAttempt(r)
		p.finish(r, code.Draining, 0)
	}
}

func (p *Part) exitWhenEmpty() {
	if p.stop.refuses(p.now) && !p.stop.exited && len(p.requests) == 0 {
		p.stop.exited = true
		p.emit(core.Exit{})
	}
}
