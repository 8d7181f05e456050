package retrybudget

import (
	"time"

	"nutmeglane.example/nutmeglane/internal/core"
	"nutmeglane.example/nutmeglane/internal/window"
)

const (
	// bucketsPerWindow is the number of buckets in which a window of the bound is counted.
	bucketsPerWindow = 40
	// creditBuckets is the time in which earned retries expire, in buckets, with the one that
	// has partly expired.
	creditBuckets = bucketsPerWindow / 4
	// delayBuckets is how much later than it is taken a retry may arrive, in buckets.
	delayBuckets = bucketsPerWindow / 20
	// earnedPart is the part of the ratio that requests earn: retries in a window may have been
	// earned within the window, creditBuckets and delayBuckets.
	earnedPart = float64(bucketsPerWindow) / (bucketsPerWindow + creditBuckets + delayBuckets)
)

// Bounds are the bound on retries to a service.
type Bounds struct {
	// Window is the length of the windows in which the bound holds, more than 0.
	Window time.Duration
	// Ratio is the number of retries allowed for each request, over all routers.
	Ratio float64
	// Slack is the number of further retries allowed within a window, over all routers.
	Slack float64
}

// bucket is the length of one bucket of a window.
func (b Bounds) bucket() time.Duration { return b.Window / bucketsPerWindow }

// Delay is how much later than it is taken a retry usually arrives at most.
func (b Bounds) Delay() time.Duration { return delayBuckets * b.bucket() }

// Budget is one router's budget of retries to one service. Create it with New.
type Budget struct {
	bounds Bounds
	// credit is the number of retries that were earned and have not been used. It is at most
	// what the requests in recent have earned.
	credit float64
	// recent are the requests whose earnings have not expired.
	recent window.Window
	// slackUsed is the part of the slack that was used, within a window and delayBuckets.
	slackUsed window.Window
	// requests and retries are those within a window, for dumps.
	requests, retries window.Window
	// unsettled is the number of retries that may still arrive.
	unsettled int
}

// New returns a budget without credit.
func New(b Bounds) *Budget {
	counted := func(buckets int) window.Window {
		return window.New(time.Duration(buckets)*b.bucket(), buckets+1)
	}
	return &Budget{
		bounds: b, recent: counted(creditBuckets - 1), slackUsed: counted(bucketsPerWindow + delayBuckets),
		requests: counted(bucketsPerWindow), retries: counted(bucketsPerWindow),
	}
}

// SetBounds replaces the bounds. With another window the budget begins anew, without credit.
func (b *Budget) SetBounds(bounds Bounds) {
	if bounds.Window != b.bounds.Window {
		unsettled := b.unsettled
		*b = *New(bounds)
		b.unsettled = unsettled
		return
	}
	b.bounds = bounds
}

// Request records a request of this router to the service.
func (b *Budget) Request(now core.Time) {
	b.recent.Add(now, 1)
	b.requests.Add(now, 1)
	b.credit += b.earned()
	b.expire(now)
}

// earned is the part of a retry that one request earns.
func (b *Budget) earned() float64 { return earnedPart * b.bounds.Ratio }

func (b *Budget) expire(now core.Time) {
	b.credit = min(b.credit, b.earned()*b.recent.Total(now))
}

// Has reports whether a retry is left with the given part of the slack.
func (b *Budget) Has(now core.Time, part float64) bool {
	b.expire(now)
	return b.credit+b.slackLeft(now, part) >= 1
}

// slackLeft is what is left of a part of the slack.
func (b *Budget) slackLeft(now core.Time, part float64) float64 {
	return max(0, part-b.slackUsed.Total(now))
}

// Take takes a retry that arrives at once, or returns false if none is left. See Tracker for others.
func (b *Budget) Take(now core.Time, part float64) bool {
	if !b.take(now, part) {
		return false
	}
	b.settle(now, 1)
	return true
}

// settle records that retries have arrived or never will.
func (b *Budget) settle(_ core.Time, retries int) { b.unsettled -= retries }

// take takes a retry, which is unsettled then. What was earned is used first, since it expires.
func (b *Budget) take(now core.Time, part float64) bool {
	if !b.Has(now, part) {
		return false
	}
	earned := min(1, b.credit)
	b.credit -= earned
	b.slackUsed.Add(now, 1-earned)
	b.retries.Add(now, 1)
	b.unsettled++
	return true
}

// State is the dump of a Budget.
type State struct {
	// Requests and Retries are those of this router within a window.
	Requests, Retries float64
	// Credit is the number of retries that were earned and have not been used.
	Credit float64
	// SlackUsed is the part of the slack that was used within a window.
	SlackUsed float64
	// Unsettled is the number of retries that may still arrive at the service.
	Unsettled int
}

// Dump returns the state of the budget.
func (b *Budget) Dump(now core.Time) State {
	b.expire(now)
	return State{
		Requests: b.requests.Total(now), Retries: b.retries.Total(now),
		Credit: b.credit, SlackUsed: b.slackUsed.Total(now), Unsettled: b.unsettled,
	}
}
