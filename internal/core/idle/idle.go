// Package idle decides how long a model or adapter without requests stays loaded, from
// its own history of gaps between requests and from two prices: the cost of a second of
// cold start and the cost of an hour of an idle accelerator. It is pure and draws no
// random numbers.
//
// The rule minimises the expected cost of one gap of unknown length X when the model is
// kept for a time T:
//
//	idlePrice * share * E[min(X, T)]  +  coldPrice * coldSeconds * P(X > T)
//
// over the T at the edges of the history's buckets. The history of a model is combined
// with the pooled history of all models of the process, weighted as PriorWeight observed
// gaps, which dominates while the model has few gaps of its own.
package idle

import (
	"math"
	"time"

	"nutmeglane.example/nutmeglane/internal/core"
)

// Prices are the prices of a deployment.
type Prices struct {
	// ColdSecond is the cost of one second of cold start.
	ColdSecond float64
	// IdleHour is the cost of one accelerator kept idle for an hour.
	IdleHour float64
}

// Cost describes the cost of keeping and of reloading one key.
type Cost struct {
	// Share is the fraction of an accelerator, or the number of accelerators, that the
	// key occupies while loaded.
	Share float64
	// Cold is the predicted duration of the key's next cold start.
	Cold time.Duration
	// Weight multiplies the price of the key's cold start: 1 for a caller who waits.
	Weight float64
}

// The history's buckets: gaps up to firstEdge, then growing by the factor growth, so that
// bucketCount of them cover more than two days.
const (
	bucketCount = 40
	firstEdge   = 2 * time.Second
	growth      = 1.32
)

// PriorWeight is the number of its own gaps at which a key's history counts as much as
// the pooled one.
const PriorWeight = 8

// halfLife is the number of later gaps after which an observed gap counts half.
const halfLife = 64

var edges = makeEdges()

func makeEdges() [bucketCount]time.Duration {
	var e [bucketCount]time.Duration
	edge := float64(firstEdge)
	for i := range e {
		e[i] = time.Duration(edge)
		edge *= growth
	}
	return e
}

// history counts gaps by bucket, with exponential decay; the last bucket holds all longer
// ones.
type history struct {
	counts [bucketCount + 1]float32
	total  float32
}

var decay = float32(math.Exp2(-1.0 / halfLife))

func (h *history) add(gap time.Duration) {
	h.total = 0
	for i := range h.counts {
		h.counts[i] *= decay
		h.total += h.counts[i]
	}
	h.counts[bucketOf(gap)]++
	h.total++
}

func bucketOf(gap time.Duration) int {
	for i, edge := range edges {
		if gap <= edge {
			return i
		}
	}
	return bucketCount
}

// Policy holds the histories of one process and decides by them. The zero value is not
// usable.
type Policy struct {
	prices Prices
	cost   func(key string) Cost
	pool   history
	keys   map[string]*keyState
}

type keyState struct {
	history history
	last    core.Time
	// keep is the best time to stay loaded after last, for the prices and history at that
	// time; it is computed on the first KeepUntil after an arrival. keepValid is set while it
	// is valid.
	keep      time.Duration
	keepValid bool
}

// New returns a policy. cost is called for a key whenever its keep time is computed.
func New(prices Prices, cost func(key string) Cost) *Policy {
	p := &Policy{prices: prices, cost: cost, keys: map[string]*keyState{}}
	// Before any gap is observed, all lengths are equally likely on the logarithmic
	// scale.
	for i := range p.pool.counts {
		p.pool.counts[i] = 1
		p.pool.total++
	}
	return p
}

// SetPrices replaces the prices.
func (p *Policy) SetPrices(prices Prices) {
	if p.prices == prices {
		return
	}
	p.prices = prices
	for _, k := range p.keys {
		k.keepValid = false
	}
}

// Arrival records a request for a key.
func (p *Policy) Arrival(now core.Time, key string) {
	k := p.keys[key]
	if k == nil {
		p.keys[key] = &keyState{last: now}
		return
	}
	gap := now.Sub(k.last)
	k.history.add(gap)
	p.pool.add(gap)
	k.last, k.keepValid = now, false
}

// KeepUntil returns until when an idle key should stay loaded if no request arrives. A
// key without a recorded request, such as one that a restarted process found loaded,
// counts as requested at the first KeepUntil: the previous process kept it loaded for a
// reason, and unloading everything at once would make every next call a cold start.
func (p *Policy) KeepUntil(now core.Time, key string) core.Time {
	k := p.keys[key]
	if k == nil {
		k = &keyState{last: now}
		p.keys[key] = k
	}
	if !k.keepValid {
		k.keep, k.keepValid = p.best(&k.history, p.cost(key)), true
	}
	return k.last.Add(k.keep)
}

// weight returns the weight of bucket i in the combination of a key's own history with
// the pool.
func (p *Policy) weight(h *history, i int) float64 {
	return float64(h.counts[i]) + PriorWeight*float64(p.pool.counts[i]/p.pool.total)
}

// best returns the keep time with the least expected cost.
func (p *Policy) best(h *history, c Cost) time.Duration {
	idlePerSecond := p.prices.IdleHour * c.Share / time.Hour.Seconds()
	cold := p.prices.ColdSecond * c.Weight * c.Cold.Seconds()
	total := float64(h.total) + PriorWeight
	bestKeep, bestCost := time.Duration(0), cold
	// kept is the part of E[min(X,T)] from gaps that end by T; within is their share of
	// all gaps.
	kept, within, lower := 0.0, 0.0, time.Duration(0)
	for i, edge := range edges {
		share := p.weight(h, i) / total
		middle := (lower.Seconds() + edge.Seconds()) / 2
		kept += share * middle
		within += share
		cost := idlePerSecond*(kept+(1-within)*edge.Seconds()) + cold*(1-within)
		if cost < bestCost {
			bestKeep, bestCost = edge, cost
		}
		lower = edge
	}
	return bestKeep
}

// Retain drops the histories of the keys for which wanted returns false.
func (p *Policy) Retain(wanted func(key string) bool) {
	for key := range p.keys { // independent deletions: order has no effect
		if !wanted(key) {
			delete(p.keys, key)
		}
	}
}
