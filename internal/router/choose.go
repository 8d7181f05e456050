package router

import (
	"slices"
	"time"

	"nutmeglane.example/nutmeglane/internal/core"
	"nutmeglane.example/nutmeglane/internal/fleet"
)

const (
	// otherZone is the cost of crossing availability zones: a round trip of some ms, and
	// traffic that is charged for.
	otherZone = 3 * time.Millisecond
	// coldFactor is the latency factor of a server that reports that it is still slow after
	// its start.
	coldFactor = 1.5
)

// choice is a server with the predicted cost of one more request there.
type choice struct {
	backend *backend
	// forecast is set for generations only.
	forecast forecast
	// spare is set if another server could serve the request as well.
	spare bool
	// cost is the predicted latency, increased by penalties of the server.
	cost time.Duration
}

// estimateCost predicts the cost of a request at a server.
func (r *Router) estimateCost(req *request, b *backend) choice {
	c := choice{backend: b}
	latency := time.Duration(0)
	if req.prompt != nil && r.engine(b.Service) != nil {
		c.forecast = r.forecast(b, req)
		latency = c.forecast.first
	} else {
		latency = r.plainLatency(b)
	}
	c.cost = r.penalize(b, latency)
	return c
}

// plainLatency predicts the latency of one more request at a plain service.
func (r *Router) plainLatency(b *backend) time.Duration {
	usual := r.baseLatency(b)
	latency := time.Duration(float64(usual) * r.slowdown(b) * r.hostPace(b))
	// Guards against a server that hangs: its average latency stays good because no answers
	// arrive. The age of its oldest unanswered request shows the hang.
	if wait := r.oldestWait(b); wait > max(minSuspectWait, suspectAfter*usual) {
		latency += wait
	}
	return latency
}

// penalize increases a latency by the penalties of a server: slow start, another
// availability zone, failures.
func (r *Router) penalize(b *backend, latency time.Duration) time.Duration {
	cost := float64(latency)
	if b.SlowFor > 0 {
		cost *= coldFactor
	}
	if b.Zone != r.opts.Zone {
		cost += float64(otherZone)
	}
	// A failed request costs the caller a whole retry, so that failures count more than
	// linearly.
	works := max(0.1, 1-b.failureRate)
	return time.Duration(cost / (works * works))
}

// choose returns the best of the servers, nil if there are none. Ties are broken by a hash
// of the request and the server, so that routers with the same information do not all
// choose the same server.
func (r *Router) choose(req *request, candidates []*backend) *choice {
	if len(candidates) == 0 {
		return nil
	}
	best := choice{}
	preferred := affinityServer(req.prompt, candidates)
	for _, b := range candidates {
		c := r.estimateCost(req, b)
		if b == preferred {
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

// affinityServer returns the server to which prompts with the same shared parts are
// directed, by rendezvous hashing, nil if the prompt shares nothing. All routers that know
// the same servers choose the same one.
func affinityServer(p *fleet.Prompt, candidates []*backend) *backend {
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
