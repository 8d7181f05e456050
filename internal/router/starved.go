package router

import (
	"log/slog"
	"time"

	"nutmeglane.example/nutmeglane/internal/core"
)

// This file sheds load at a router that gets too little processor time. Entry hosts differ
// by a factor of five in their processors, a balancer spreads callers by hash or hands most of
// them to one host, and a burst may bring one host to many times its capacity. All its requests
// then wait for the processor, for a second and more: answers that servers gave in time are
// forwarded late, and time-outs are answered late. If a part of the callers is turned away at
// once, they go to other hosts, which have capacity, and the rest is served in time.
//
// New connections go first: one that is closed before anything was read costs little, and its
// caller tries another host. What was read is served, unless that is not enough.

const (
	// closeConnsFrom is the wait for the processor from which a part of the new connections is
	// closed unread, closeConnsFully that from which maxClosedConns of them are. Some are always
	// accepted: a host that is ready and accepts none looks dead to callers.
	closeConnsFrom  = 10 * time.Millisecond
	closeConnsFully = 30 * time.Millisecond
	maxClosedConns  = 0.97
	// starvedFrom is the wait for the processor from which requests are refused,
	// starvedFully that from which all are. Between them the refused part rises linearly,
	// so that the load settles instead of oscillating. Hosts with a seventh of a core wait
	// below 17 ms after bursts and 20 to 84 ms in them; without shedding, answers of servers
	// then reach callers up to 0.9 s late.
	starvedFrom  = 20 * time.Millisecond
	starvedFully = 100 * time.Millisecond
	// newConnStarvedFrom and newConnStarvedFully are the same for the first request of a
	// connection, which was accepted while others were closed.
	newConnStarvedFrom  = 100 * time.Millisecond
	newConnStarvedFully = 200 * time.Millisecond
	// starvedRetryAfter is the Retry-After of such a refusal: another host serves the
	// caller at once.
	starvedRetryAfter = 20 * time.Millisecond
	// cpuWaitMaxAge is the age up to which a measured wait counts.
	cpuWaitMaxAge = time.Second
)

// cpuWait is a measurement of how long work waits for the processor.
type cpuWait struct {
	wait time.Duration
	at   core.Time
}

// sheds reports whether callers are turned away because of the wait.
func (l cpuWait) sheds() bool { return l.wait >= closeConnsFrom }

func (r *Router) cpuWaitMeasured(e CPUWaitMeasured) {
	before := r.cpuWait
	r.cpuWait = cpuWait{wait: e.Wait, at: r.now}
	if r.cpuWait.sheds() == before.sheds() {
		return
	}
	message := "processor wait back to normal; nobody is turned away"
	if r.cpuWait.sheds() {
		message = "processor wait too long; part of new connections closed unread"
	}
	r.log(StateChange, message, slog.String("wait", e.Wait.String()), slog.Int("requests", len(r.requests)))
}

// AcceptsConn reports whether a caller's new connection is to be accepted. The others are to be
// closed unread.
func (r *Router) AcceptsConn(now core.Time) bool {
	return !r.draw(now, min(maxClosedConns, r.cpuWait.part(closeConnsFrom, closeConnsFully)))
}

// shouldShed reports whether a new request is to be refused because of the wait.
func (r *Router) shouldShed(newConn bool) bool {
	from, fully := starvedFrom, starvedFully
	if newConn {
		from, fully = newConnStarvedFrom, newConnStarvedFully
	}
	return r.draw(r.now, r.cpuWait.part(from, fully))
}

// part returns how far the wait is between two values, as a fraction from 0 on.
func (l cpuWait) part(from, fully time.Duration) float64 {
	return max(0, float64(l.wait-from)/float64(fully-from))
}

// draw decides with a probability, if the measured wait is recent.
func (r *Router) draw(now core.Time, probability float64) bool {
	return now.Sub(r.cpuWait.at) <= cpuWaitMaxAge && r.rand.Float64() < probability
}
