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
	// fresh are the retries that were taken within Bounds.Delay, the oldest first.
	fresh []*retry
	// slack and late are the retries, or parts of them, that use the slack and those that were
	// earned and are late.
	slack, late use
	// requests and retries are those within a window, for dumps.
	requests, retries window.Window
	// unsettled is the number of retries that may still arrive.
	unsettled int
}

// use is a number of retries in use: from when they are taken until a window after they were settled,
// with delayBuckets. Those that arrive within any window are then in use together at its end.
type use struct {
	open    float64
	settled window.Window
}

func (u *use) begin(retries float64) { u.open += retries }

func (u *use) settle(now core.Time, retries float64) {
	u.open -= retries
	u.settled.Add(now, retries)
}

func (u *use) total(now core.Time) float64 { return u.open + u.settled.Total(now) }

// retry is a retry that was taken.
type retry struct {
	at core.Time
	// slack is the part of it that uses the slack; the rest was earned.
	slack float64
	// late is set if it was not settled within Bounds.Delay.
	settled, late bool
}

// New returns a budget without credit.
func New(b Bounds) *Budget {
	counted := func(buckets int) window.Window {
		return window.New(time.Duration(buckets)*b.bucket(), buckets+1)
	}
	return &Budget{
		bounds: b, recent: counted(creditBuckets - 1),
		slack: use{settled: counted(bucketsPerWindow + delayBuckets)}, late: use{settled: counted(bucketsPerWindow + delayBuckets)},
		requests: counted(bucketsPerWindow), retries: counted(bucketsPerWindow),
	}
}

// SetBounds replaces the bounds. With another window the budget begins anew, without credit.
func (b *Budget) SetBounds(bounds Bounds) {
	if bounds.Window != b.bounds.Window {
		anew := New(bounds)
		anew.fresh, anew.unsettled, anew.slack.open, anew.late.open = b.fresh, b.unsettled, b.slack.open, b.late.open
		*b = *anew
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
	for len(b.fresh) > 0 && now.Sub(b.fresh[0].at) > b.bounds.Delay() {
		oldest := b.fresh[0]
		b.fresh = b.fresh[1:]
		if !oldest.settled {
			oldest.late = true
			b.late.begin(1 - oldest.slack)
		}
	}
}

// Has reports whether a retry is left with the given part of the slack.
func (b *Budget) Has(now core.Time, part float64) bool {
	b.expire(now)
	return b.credit+b.slackLeft(now, part)-b.late.total(now) >= 1
}

// slackLeft is what is left of a part of the slack.
func (b *Budget) slackLeft(now core.Time, part float64) float64 {
	return max(0, part-b.slack.total(now))
}

// Take takes a retry that arrives at once, or returns false if none is left. See Tracker for others.
func (b *Budget) Take(now core.Time, part float64) bool {
	taken := b.take(now, part)
	if taken == nil {
		return false
	}
	b.settle(now, taken)
	return true
}

// settle records that a retry has arrived or never will.
func (b *Budget) settle(now core.Time, t *retry) {
	b.expire(now)
	t.settled = true
	b.unsettled--
	b.slack.settle(now, t.slack)
	if t.late {
		b.late.settle(now, 1-t.slack)
	}
}

// take takes a retry, which is unsettled then, or returns nil if none is left. What was earned is used
// first, since it expires.
func (b *Budget) take(now core.Time, part float64) *retry {
	if !b.Has(now, part) {
		return nil
	}
	earned := min(1, b.credit)
	b.credit -= earned
	taken := &retry{at: now, slack: 1 - earned}
	b.slack.begin(taken.slack)
	b.fresh = append(b.fresh, taken)
	b.retries.Add(now, 1)
	b.unsettled++
	return taken
}

// State is the dump of a Budget.
type State struct {
	// Requests and Retries are those of this router within a window.
	Requests, Retries float64
	// Credit is the number of retries that were earned and have not been used.
	Credit float64
	// SlackUsed is the part of the slack that is in use, Late the number of earned retries that are
	// late: unsettled, or settled within a window.
	SlackUsed, Late float64
	// Unsettled is the number of retries that may still arrive at the service.
	Unsettled int
}

// Dump returns the state of the budget.
func (b *Budget) Dump(now core.Time) State {
	b.expire(now)
	return State{
		Requests: b.requests.Total(now), Retries: b.retries.Total(now),
		Credit: b.credit, SlackUsed: b.slack.total(now), Late: b.late.total(now), Unsettled: b.unsettled,
	}
}
