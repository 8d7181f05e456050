package router

import (
	"log/slog"
	"time"

	"nutmeglane.example/nutmeglane/internal/core"
)

// This file sheds load at a router that gets too little processor time. Entry hosts differ
// by a factor of five in their processors, a balancer spreads callers by hash, and a burst
// may bring one host to twice its capacity. All its requests then wait for the processor,
// for a second and more: answers that servers gave in time are forwarded late, and
// time-outs are answered late. If a part of the callers is refused at once, they go to
// other hosts, which have capacity, and the rest is served in time.

const (
	// starvedFrom is the wait for the processor from which requests are refused,
	// starvedFully that from which all are. Between them the refused part rises linearly,
	// so that the load settles instead of oscillating. Hosts with a seventh of a core wait
	// below 17 ms after bursts and 20 to 84 ms in them; without shedding, answers of servers
	// then reach callers up to 0.9 s late.
	starvedFrom  = 20 * time.Millisecond
	starvedFully = 100 * time.Millisecond
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

// starved reports whether requests are to be refused because of the wait.
func (l cpuWait) starved() bool { return l.wait >= starvedFrom }

func (r *Router) cpuWaitMeasured(e CPUWaitMeasured) {
	before := r.cpuWait
	r.cpuWait = cpuWait{wait: e.Wait, at: r.now}
	if r.cpuWait.starved() == before.starved() {
		return
	}
	message := "processor wait back to normal; no requests refused"
	if r.cpuWait.starved() {
		message = "processor wait too long; part of new requests refused"
	}
	r.log(StateChange, message, slog.String("wait", e.Wait.String()), slog.Int("requests", len(r.requests)))
}

// shouldShed reports whether a new request is to be refused because of the wait.
func (r *Router) shouldShed() bool {
	if !r.cpuWait.starved() || r.now.Sub(r.cpuWait.at) > cpuWaitMaxAge {
		return false
	}
	part := float64(r.cpuWait.wait-starvedFrom) / float64(starvedFully-starvedFrom)
	return r.rand.Float64() < part
}
