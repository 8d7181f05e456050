package router

import (
	"time"

	"nutmeglane.example/nutmeglane/internal/core"
	"nutmeglane.example/nutmeglane/internal/fleet"
)

const (
	// sharedWorth is how many shared prompt tokens make it worth to send a
	// request where its prompt is cached. Prefill of fewer takes less than the
	// spread between two engines (at 20 tokens a ms: 25 ms).
	sharedWorth = 512
	// affinityLimit is how much more expensive than the best server the one
	// with the cached prompt may be.
	affinityLimit = 2.0
	// otherZone is what crossing availability zones is taken to cost: a round
	// trip of some ms, and bytes that are priced.
	otherZone = 3 * time.Millisecond
	// coldFactor makes a server that says it is slow after its start look
	// slower than its peers.
	coldFactor = 1.5
)

// choice is a server with the predicted latency of one more request there.
type choice struct {
	backend *backend
	cost    time.Duration
}

// cost predicts the latency of one more request at a server.
func (r *Router) cost(b *backend, model string) time.Duration {
	usual := r.usual(b, model)
	cost := float64(usual) * r.slowdown(b)
	if b.SlowFor > 0 {
		cost *= coldFactor
	}
	if b.Zone != r.opts.Zone {
		cost += float64(otherZone)
	}
	// A failed request costs the caller a whole retry, so failing weighs more
	// than linearly.
	works := max(0.1, 1-b.failing)
	cost /= works * works
	// Guards against a server that hangs: its latency average stays good,
	// because nothing comes back. What waits there unanswered tells.
	if wait := r.oldestWait(b); wait > max(suspectLeast, suspectAfter*usual) {
		cost += float64(wait)
	}
	return time.Duration(cost)
}

// choose returns the best of the servers, nil if there are none. The tie-break
// is the hash of the request and the server, so that routers that know the
// same do not all pick the same server.
func (r *Router) choose(req *request, candidates []*backend) *choice {
	var best, preferred *choice
	var bestScore, preferredScore uint64
	affinity := affinityKey(req.prompt)
	for _, b := range candidates {
		c := &choice{backend: b, cost: r.cost(b, req.model())}
		score := core.Score(req.id, b.Instance)
		if best == nil || c.cost < best.cost || c.cost == best.cost && score > bestScore {
			best, bestScore = c, score
		}
		if affinity == "" {
			continue
		}
		if score := core.Score(affinity, b.Instance); preferred == nil || score > preferredScore {
			preferred, preferredScore = c, score
		}
	}
	if preferred != nil && float64(preferred.cost) <= affinityLimit*float64(best.cost) {
		return preferred
	}
	return best
}

// affinityKey names what requests with a common long prompt share; "" if it is
// too short to matter.
func affinityKey(p *fleet.Prompt) string {
	if p == nil {
		return ""
	}
	if p.Adapter != "" && p.SharedTokens() < sharedWorth {
		return p.Model + "/" + p.Adapter
	}
	if p.SharedTokens() < sharedWorth {
		return ""
	}
	key := p.Model + "/" + p.Adapter
	for _, part := range p.Parts[:len(p.Parts)-1] {
		key += "," + part.ID
	}
	return key
}
