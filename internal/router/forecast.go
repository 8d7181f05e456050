package router

import (
	"time"

	"nutmeglane.example/nutmeglane/internal/fleet"
)

// This file predicts when an engine would make the first event of a generation.
// Where it goes, where its model is loaded and whether it is taken from an engine
// follow from that.

const (
	// paceUp and paceDown move an engine's pace with each first event that came
	// late or in time by more than paceLate says; in a third of the answers other
	// routers' prompts make one late, which the two balance. slowest bounds it.
	paceUp, paceDown = 1.15, 0.93
	paceLate         = 1.4
	slowest          = 8.0
	// paceReading is the least reading that tells the pace; less drowns in what
	// the base varies.
	paceReading = 20 * time.Millisecond
	// sharedChance is the chance that the engine where the prompts with the same
	// shared parts gather has them cached although this router did not send them
	// there. Five routers with equal parts of the callers would make it 0.8 in a
	// steady state; after changes it is lower.
	sharedChance = 0.5
)

// forecast is what is predicted for a request at an engine.
type forecast struct {
	// unread is the number of tokens that have to be read, reading its time.
	unread  int
	reading time.Duration
	// ahead is how long it waits for others' prompts.
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

// othersAhead predicts how long the prompts that other routers sent to an engine
// take to be read.
//
// It guards against a herd, as outstanding does: the engine's count is some 200 ms
// old, and all routers would send to the one that was free then. So what a router
// has sent there itself counts for the others too, as a part of the estimate.
func (r *Router) othersAhead(b *backend) time.Duration {
	own := b.queue.Len()
	told := 0
	if held := r.holdings(b); held != nil && r.now.Sub(b.loader.countedAt) < unreadFresh {
		told = max(0, held.Unread-b.loader.ownUnread)
	}
	estimate := max(float64(told), r.blend(float64(told), float64(own*(r.routers()-1))))
	return time.Duration(estimate * float64(r.service(b.Service).meanReading))
}

// unreadFresh is how long an engine's count of unread prompts says something: by
// then all that waited has usually been read.
const unreadFresh = 500 * time.Millisecond

// slotWait predicts how long a generation waits for a slot.
func (r *Router) slotWait(b *backend, model string) time.Duration {
	over := r.outstanding(b) + 1 - b.Slots
	if b.Slots <= 0 || over <= 0 {
		return 0
	}
	answer := r.service(b.Service).speed.undisturbed(model)
	return time.Duration(float64(over) / float64(b.Slots) * float64(answer))
}

// promptSent notes that a generation was sent to an engine.
func (r *Router) promptSent(req *request) {
	b, f := req.backend, req.attempt.forecast
	b.queue.Send(r.now, uint64(req.key), f.reading, f.first)
	b.cache.Add(req.prefix)
}

// promptBegan learns from a generation's first event.
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

// affinityGain is what is expected to be saved at the engine where prompts with
// the same shared parts gather.
func (r *Router) affinityGain(b *backend, p *fleet.Prompt, f forecast) time.Duration {
	shared := p.SharedTokens() - (p.Tokens - f.unread)
	if shared <= 0 {
		return 0
	}
	return time.Duration(sharedChance * float64(r.service(b.Service).work.ReadTime(p.Model, shared)))
}
