package router

import (
	"time"

	"nutmeglane.example/nutmeglane/internal/fleet"
)

// This file predicts when an engine would make the first event of a generation. The
// predictions decide where a generation is sent, where its model is loaded and whether it
// is moved away from an engine.

const (
	// paceUp and paceDown adjust an engine's pace after each first event: up if it took
	// more than paceLate times as long as predicted, down otherwise. In a third of the
	// answers prompts of other routers make one late, which the two factors balance.
	// slowest bounds the pace.
	paceUp, paceDown = 1.15, 0.93
	paceLate         = 1.4
	slowest          = 8.0
	// paceReading is the minimum reading time from which the pace is adjusted; shorter ones
	// are dominated by the variation of the base latency.
	paceReading = 20 * time.Millisecond
	// sharedChance is the probability that the engine that prompts with the same shared
	// parts are directed to has these parts cached although this router did not send them
	// there. Five routers with equal shares of the callers would make it 0.8 in a steady
	// state; after changes it is lower.
	sharedChance = 0.5
)

// forecast is the prediction for a generation at an engine.
type forecast struct {
	// unread is the number of tokens that have to be read, reading the time that this
	// takes.
	unread  int
	reading time.Duration
	// ahead is how long it waits for other prompts and for a slot.
	ahead time.Duration
	// first is the time to the first event.
	first time.Duration
}

// forecast predicts a generation's first event at an engine.
func (r *Router) forecast(b *backend, req *request) forecast {
	p := req.prompt
	s := r.service(b.Service)
	f := forecast{unread: p.Tokens - b.cache.CachedTokens(req.prefix)}
	f.reading = time.Duration(float64(s.work.ReadTime(p.Model, f.unread)) * b.pace)
	f.ahead = b.queue.Delay(r.now) + r.othersAhead(b) + r.slotWait(b, p.Model)
	f.first = s.work.BaseLatency() + f.ahead + f.reading
	return f
}

// othersAhead predicts how long reading takes for the prompts that other routers sent to an
// engine.
//
// Like outstanding, it guards against herding: the engine's count is some 200 ms old, and
// all routers would send to the engine that was free then. Therefore a part of the estimate
// assumes that the other routers have sent as much as this one.
func (r *Router) othersAhead(b *backend) time.Duration {
	own := b.queue.Len()
	reported := 0
	if held := r.holdings(b); held != nil && r.now.Sub(b.loader.countedAt) < unreadMaxAge {
		reported = max(0, held.Unread-b.loader.ownUnread)
	}
	estimate := max(float64(reported), r.blend(float64(reported), float64(own*(r.routers()-1))))
	return time.Duration(estimate * float64(r.service(b.Service).meanReading))
}

// unreadMaxAge is the age up to which an engine's count of unread prompts is used: by then
// all that waited has usually been read.
const unreadMaxAge = 500 * time.Millisecond

// slotWait predicts how long a generation waits for a slot.
func (r *Router) slotWait(b *backend, model string) time.Duration {
	over := r.outstanding(b) + 1 - b.Slots
	if b.Slots <= 0 || over <= 0 {
		return 0
	}
	answer := r.service(b.Service).speed.unloadedTime(model)
	return time.Duration(float64(over) / float64(b.Slots) * float64(answer))
}

// promptSent records that a generation was sent to an engine.
func (r *Router) promptSent(req *request, b *backend, f forecast) {
	b.queue.Send(r.now, uint64(req.key), f.reading, f.first)
	r.recordUnread(b, req, f.unread)
	b.cache.Add(req.prefix)
}

// promptBegan updates the speed and pace estimates at a generation's first event.
func (r *Router) promptBegan(req *request, took time.Duration) {
	b, f := req.backend, req.attempt.forecast
	b.queue.Started(r.now, uint64(req.key))
	if f.ahead > f.reading/2 {
		return
	}
	if b.pace == 1 {
		r.service(b.Service).work.Observe(req.prompt.Model, f.unread, took)
	}
	if f.reading < paceReading {
		return
	}
	if float64(took) > paceLate*float64(f.first) {
		b.pace = min(slowest, b.pace*paceUp)
	} else {
		b.pace = max(1, b.pace*paceDown)
	}
}

// affinityGain is the reading time expected to be saved at the engine that prompts with the
// same shared parts are directed to.
func (r *Router) affinityGain(b *backend, p *fleet.Prompt, f forecast) time.Duration {
	shared := p.SharedTokens() - (p.Tokens - f.unread)
	if shared <= 0 {
		return 0
	}
	return time.Duration(sharedChance * float64(r.service(b.Service).work.ReadTime(p.Model, shared)))
}
