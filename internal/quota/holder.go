package quota

import (
	"time"

	"nutmeglane.example/nutmeglane/internal/core"
	"nutmeglane.example/nutmeglane/internal/window"
)

// grantSlots and burstSlots are how finely outstanding grants and a window are counted.
const grantSlots, burstSlots = 8, 80

// holder makes tokens of all accounts from the share that it holds of their bounds. The zero
// value holds nothing.
//
// What it holds and what it gave out within GrantLasts is never more than its share of the
// depth, and what it makes is its share of the rate.
type holder struct {
	at core.Time
	// share is the part of all bounds that is held, from 0 to 1.
	share float64
	// lasting is the part of it that has been held for a window and longer.
	lasting float64
	// window is that of all bounds, 0 before it is known.
	window time.Duration
	// filled is the sum of the share over time, in seconds, until at.
	filled float64
	// fresh is the level of an account that was never used, as a part of its bound, as of
	// freshFilled.
	fresh, freshFilled float64
	buckets            map[string]*bucket
}

// bucket is the tokens of one account.
type bucket struct {
	most    float64
	version int64
	level   float64
	// filled is the holder's, as of the level.
	filled float64
	// refused is the cost of the largest request that was refused lately, at refusedAt.
	refused   float64
	refusedAt core.Time
	// given was granted of the level and may still be used.
	given window.Window
	// bursts is what was granted beyond the level, and may have been used within a window.
	bursts window.Window
}

// advance lets time pass.
func (h *holder) advance(now core.Time) {
	if now > h.at {
		h.filled += h.share * now.Sub(h.at).Seconds()
		h.at = now
	}
}

// setShare changes what is held from now on. What the share makes no room for any more is
// lost.
func (h *holder) setShare(now core.Time, share float64) {
	h.advance(now)
	h.settleAll()
	h.share = share
	h.settleAll()
}

func (h *holder) settleAll() {
	for _, b := range h.buckets {
		h.settle(b)
	}
	h.fresh = min(depthShare*h.share, h.fresh+h.rate(1)*(h.filled-h.freshFilled))
	h.freshFilled = h.filled
}

// rate is how many tokens a whole bound makes a second.
func (h *holder) rate(most float64) float64 {
	if h.window == 0 {
		return 0
	}
	return rateShare * most / h.window.Seconds()
}

// setWindow sets the window of all bounds from now on.
func (h *holder) setWindow(now core.Time, window time.Duration) {
	if window == h.window || window <= 0 {
		return
	}
	h.advance(now)
	h.settleAll()
	h.window = window
}

// settle fills a bucket up to now, as far as its depth has room.
func (h *holder) settle(b *bucket) {
	b.level += h.rate(b.most) * (h.filled - b.filled)
	b.filled = h.filled
	b.level = max(0, min(b.level, h.share*depthShare*b.most-b.given.Total(h.at)))
}

// setBound sets an account's bound, unless a newer one is known. An account that is new here
// has what it would have, had it been known and not used.
func (h *holder) setBound(now core.Time, name string, most float64, version int64) {
	h.advance(now)
	b := h.buckets[name]
	switch {
	case b == nil:
		h.settleAll()
		b = &bucket{version: version, filled: h.filled, given: window.New(GrantLifetime, grantSlots), bursts: window.New(h.window+GrantLifetime, burstSlots)}
		if h.buckets == nil {
			h.buckets = map[string]*bucket{}
		}
		h.buckets[name] = b
		b.level = h.fresh * most
	case version < b.version:
		return
	default:
		h.settle(b)
	}
	b.most, b.version = most, version
	h.settle(b)
}

// bucket returns an account's bucket as of now, nil if its bound is not known.
func (h *holder) bucket(now core.Time, name string) *bucket {
	h.advance(now)
	b := h.buckets[name]
	if b != nil {
		h.settle(b)
	}
	return b
}

// left is what can be granted now.
func (h *holder) left(b *bucket) float64 { return b.level + h.burstLeft(b) }

// burstLeft is what can be granted now beyond the level.
func (h *holder) burstLeft(b *bucket) float64 {
	return max(0, burstShare*h.lasting*b.most-b.bursts.Total(h.at))
}

// grant takes tokens that may be used for GrantLasts, of the level first: what that has no
// room for is lost.
func (h *holder) grant(b *bucket, tokens float64) {
	ofLevel := min(tokens, b.level)
	b.level -= ofLevel
	b.given.Add(h.at, ofLevel)
	if tokens > ofLevel {
		b.bursts.Add(h.at, tokens-ofLevel)
	}
}

// reserve is what the holder has to have of an account before it grants anything: the cost
// of a large request that was refused. Without it small ones would take all that is made
// before there is ever enough for it.
func (h *holder) reserve(b *bucket) float64 {
	if h.at.Sub(b.refusedAt) >= reserveLasts {
		return 0
	}
	return min(b.refused, reserveShare*h.share*b.most)
}

// reserveFor notes that a request was refused.
func (h *holder) reserveFor(b *bucket, cost float64) {
	if cost >= b.refused || h.at.Sub(b.refusedAt) >= reserveLasts {
		b.refused, b.refusedAt = cost, h.at
	}
}

// roomIn is how long it takes until so much can be granted, if nothing is until then.
func (h *holder) roomIn(b *bucket, level float64) time.Duration {
	rate := h.share * h.rate(b.most)
	missing := level - h.left(b)
	if missing <= 0 {
		return 0
	}
	if missing > longestReturn.Seconds()*rate {
		return longestReturn
	}
	return time.Duration(missing / rate * float64(time.Second))
}
