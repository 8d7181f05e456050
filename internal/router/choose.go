package router

import (
	"slices"
	"time"

	"nutmeglane.example/nutmeglane/internal/core"
	"nutmeglane.example/nutmeglane/internal/fleet"
)

const (
	// otherZone is what crossing availability zones is taken to cost: a round
	// trip of some ms, and bytes that are priced.
	otherZone = 3 * time.Millisecond
	// coldFactor makes a server that says it is slow after its start look
	// slower than its peers.
	coldFactor = 1.5
)

// choice is a server with what one more request there is predicted to cost.
type choice struct {
	backend *backend
	// forecast is of a generation.
	forecast forecast
	// spare is set if another server could serve the request as well.
	spare bool
	// cost is the latency, weighed by what speaks against the server.
	cost time.Duration
}

// price predicts what a request costs at a server.
func (r *Router) price(req *request, b *backend) choice {
	c := choice{backend: b}
	latency := time.Duration(0)
	if req.prompt != nil && r.engine(b.Service) != nil {
		c.forecast = r.forecast(b, req)
		latency = c.forecast.first
	} else {
		latency = r.plainLatency(b)
	}
	c.cost = r.weigh(b, latency)
	return c
}

// plainLatency predicts the latency of one more request at a plain service.
func (r *Router) plainLatency(b *backend) time.Duration {
	usual := r.usual(b)
	latency := time.Duration(float64(usual) * r.slowdown(b))
	// Guards against a server that hangs: its latency average stays good,
	// because nothing comes back. What waits there unanswered tells.
	if wait := r.oldestWait(b); wait > max(suspectLeast, suspectAfter*usual) {
		latency += wait
	}
	return latency
}

// weigh adds to a latency what speaks against a server.
func (r *Router) weigh(b *backend, latency time.Duration) time.Duration {
	cost := float64(latency)
	if b.SlowFor > 0 {
		cost *= coldFactor
	}
	if b.Zone != r.opts.Zone {
		cost += float64(otherZone)
	}
	// A failed request costs the caller a whole retry, so failing weighs more
	// than linearly.
	works := max(0.1, 1-b.failing)
	return time.Duration(cost / (works * works))
}

// choose returns the best of the servers, nil if there are none. The tie-break
// is the hash of the request and the server, so that routers that know the
// same do not all pick the same server.
func (r *Router) choose(req *request, candidates []*backend) *choice {
	if len(candidates) == 0 {
		return nil
	}
	best := choice{}
	gathers := gathering(req.prompt, candidates)
	for _, b := range candidates {
		c := r.price(req, b)
		if b == gathers {
			c.cost -= r.affinityGain(b, req.prompt, c.forecast)
		}
		if best.backend == nil || c.cost < best.cost || c.cost == best.cost && scoresHigher(req.id, b, best.backend) {
			best = c
		}
	}
	other := func(b *backend) bool { return b != best.backend && r.hasSpareRoom(b) }
	best.spare = best.backend.limit.gate.Unconfirmed(r.now) || slices.ContainsFunc(candidates, other)
	return &best
}

func scoresHigher(key string, a, b *backend) bool {
	return core.Score(key, a.Instance) > core.Score(key, b.Instance)
}

// gathering returns the server where prompts with the same shared parts gather,
// by rendezvous hashing, nil if the prompt shares nothing. All routers that know
// the same servers choose the same.
func gathering(p *fleet.Prompt, candidates []*backend) *backend {
	if p == nil || len(p.Parts) < 2 || len(candidates) == 0 {
		return nil
	}
	key := p.Model + "/" + p.Adapter
	for _, part := range p.Parts[:len(p.Parts)-1] {
		key += "," + part.ID
	}
	best, bestScore := candidates[0], uint64(0)
	for _, b := range candidates {
		if score := core.Score(key, b.Instance); score > bestScore {
			best, bestScore = b, score
		}
	}
	return best
}
