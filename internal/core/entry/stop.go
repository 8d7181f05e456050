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
	// refuseAt ends the delay in which new requests are still taken.
	refuseAt core.Time
	limit    core.Time
	// recallAt is when what has not begun to run is called back.
	recallAt core.Time
	recalled bool
	exited   bool
}

const (
	// recallLead is the time before the limit in which an agent says what has not begun;
	// recallPart bounds it to a part of the whole time.
	recallLead = 500 * time.Millisecond
	recallPart = 4
	// stopMargin is how many times its usual run a request must have left before the
	// limit.
	stopMargin = 2
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

// beginStop turns readiness off first, so that the balancer stops sending;
// what is in flight goes on.
//
// The delay guards against a planned stop that is seen by callers: until the
// balancer looks again it sends new requests here, and refusing them, or
// exiting because none is in flight, would show as failed requests.
func (p *Part) beginStop(ev core.Stop) {
	if p.stop.stopping {
		return
	}
	p.stop = stopState{
		stopping: true, began: p.now, delay: ev.Delay,
		refuseAt: p.now.Add(ev.Delay), limit: p.now.Add(ev.Limit),
		recallAt: p.now.Add(ev.Limit - min(recallLead, ev.Limit/recallPart)),
	}
	p.emit(core.Ready{Ready: false})
	p.recallAll(func(r *request) bool { return !p.endsInTime(r.place, r.startsAt) })
}

// endsInTime tells whether a run that starts at a time can be expected to end before the
// process does.
func (p *Part) endsInTime(at *place, starts core.Time) bool {
	if !p.stop.stopping {
		return true
	}
	run := time.Duration(0)
	if at != nil {
		run = at.model.runTime.value
	}
	return max(p.now, starts).Add(stopMargin*run) < p.stop.limit
}

// inTime tells whether a request that is sent to a candidate now can be expected to end
// before the process does.
func (p *Part) inTime(c *choice) bool {
	wait := c.wait
	if c.cold {
		wait += c.place.model.coldStart.or(p.limits.ColdStart)
	}
	return !p.stop.recalled && p.endsInTime(c.place, p.now.Add(wait))
}

// recallAll calls back the requests of which says so.
func (p *Part) recallAll(which func(*request) bool) {
	for _, r := range slices.Clone(p.timers) {
		if which(r) {
			p.recall(r)
		}
	}
}

// recall ends a request that has not begun to run. One that was sent is refused once its
// agent says that it had not begun.
//
// It guards against requests that wait until the process ends and are cut then: their
// callers would not know that they can send them again.
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

// answered begins the delay anew when a request from before the stop ends. Its
// answer's head went out before the caller could be told to close the
// connection, so one more request may come on it.
func (p *Part) answered(r *request) {
	if p.stop.stopping && r.began < p.stop.began {
		p.stop.refuseAt = max(p.stop.refuseAt, p.now.Add(p.stop.delay))
	}
}

// stopLimit ends what is left when the time for the shutdown is over, and calls back what
// has not begun shortly before.
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
		p.abandon(r)
		p.finish(r, code.Draining, 0)
	}
}

func (p *Part) exitWhenEmpty() {
	if p.stop.refuses(p.now) && !p.stop.exited && len(p.requests) == 0 {
		p.stop.exited = true
		p.emit(core.Exit{})
	}
}
