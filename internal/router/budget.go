package router

import (
	"time"

	"nutmeglane.example/nutmeglane/internal/core"
)

// budgetBuckets is the number of buckets of a window. A bucket that has partly left the
// window still counts, so that more buckets allow more retries.
const budgetBuckets = 20

// budget bounds the retries to one service. It guards against a retry storm: when servers
// fail, each failed attempt would be sent again, and the remaining servers would get a
// multiple of the load just when there are fewer of them. With the budget they get at most
// ratio x requests + slack more.
//
// Routers share the bound without communication: each uses the ratio of its own requests
// and an even part of the slack.
type budget struct {
	requests, retries [budgetBuckets]int
	current           int64
}

// advance moves the window to now.
func (b *budget) advance(now core.Time, window time.Duration) {
	step := int64(window) / budgetBuckets
	if step <= 0 {
		return
	}
	bucket := int64(now) / step
	for skipped := 0; b.current < bucket && skipped < budgetBuckets; skipped++ {
		b.current++
		b.requests[b.current%budgetBuckets] = 0
		b.retries[b.current%budgetBuckets] = 0
	}
	b.current = bucket
}

func (b *budget) request(now core.Time, window time.Duration) {
	b.advance(now, window)
	b.requests[b.current%budgetBuckets]++
}

// take takes one retry from the budget, or reports false if the budget is used up.
func (b *budget) take(now core.Time, window time.Duration, ratio, slack float64) bool {
	if !b.has(now, window, ratio, slack) {
		return false
	}
	b.retries[b.current%budgetBuckets]++
	return true
}

// has reports whether the budget has a retry left.
func (b *budget) has(now core.Time, window time.Duration, ratio, slack float64) bool {
	requests, retries := b.used(now, window)
	return float64(retries+1) <= ratio*float64(requests)+slack
}

// used returns the requests and retries within the window.
func (b *budget) used(now core.Time, window time.Duration) (requests, retries int) {
	b.advance(now, window)
	for i := range budgetBuckets {
		requests += b.requests[i]
		retries += b.retries[i]
	}
	return requests, retries
}
