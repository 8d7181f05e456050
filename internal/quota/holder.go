package quota

import (
	"time"

	"nutmeglane.example/nutmeglane/internal/core"
	"nutmeglane.example/nutmeglane/internal/window"
)

// grantSlots and burstSlots are the numbers of slots of the windows in a bucket.
const grantSlots, burstSlots = 8, 80

// holder generates the tokens of all accounts from the share of their bounds that it holds.
// The zero value holds no share.
//
// Its tokens, including those granted within GrantLifetime, never exceed its share of the
// depth, and it generates tokens at its share of the rate.
type holder struct {
	at core.Time
	// share is the part of all bounds that is held, from 0 to 1.
	share float64
	// matured is the part of share that has been held for a window or longer.
	matured float64
	// window is the window of all bounds, 0 before it is known.
	window time.Duration
	// shareSeconds is the integral of share over time, in seconds, up to at.
	shareSeconds float64
	// unusedLevel is the level of an account that was never used, as a fraction of its
	// bound, when shareSeconds was unusedShareSeconds.
	unusedLevel, unusedShareSeconds float64
	buckets                         map[string]*bucket
}

// bucket is the tokens of one account.
type bucket struct {
	maxUse  float64
	version int64
	level   float64
	// shareSeconds is the holder's value at the last update of level.
	shareSeconds float64
	// refused is the cost of the largest recently refused request, at refusedAt.
	refused   float64
	refusedAt core.Time
	// outstanding is what was granted from level and may still be used.
	outstanding window.Window
	// bursts is what was granted beyond level and may have been used within a window.
	bursts window.Window
}

// advance moves the holder's time forward.
func (h *holder) advance(now core.Time) {
	if now > h.at {
		h.shareSeconds += h.share * now.Sub(h.at).Seconds()
		h.at = now
	}
}

// setShare changes the share. Tokens that exceed the depth of the new share are lost.
func (h *holder) setShare(now core.Time, share float64) {
	h.advance(now)
	h.refillAll()
	h.share = share
	h.refillAll()
}

func (h *holder) refillAll() {
	for _, b := range h.buckets {
		h.refill(b)
	}
	h.unusedLevel = min(depthShare*h.share, h.unusedLevel+h.rate(1)*(h.shareSeconds-h.unusedShareSeconds))
	h.unusedShareSeconds = h.shareSeconds
}

// rate is the number of tokens per second that a whole bound generates.
func (h *holder) rate(maxUse float64) float64 {
	if h.window == 0 {
		return 0
	}
	return rateShare * maxUse / h.window.Seconds()
}

// setWindow changes the window of all bounds.
func (h *holder) setWindow(now core.Time, window time.Duration) {
	if window == h.window || window <= 0 {
		return
	}
	h.advance(now)
	h.refillAll()
	h.window = window
}

// refill adds the tokens generated since the last refill, up to the depth.
func (h *holder) refill(b *bucket) {
	b.level += h.rate(b.maxUse) * (h.shareSeconds - b.shareSeconds)
	b.shareSeconds = h.shareSeconds
	b.level = max(0, min(b.level, h.share*depthShare*b.maxUse-b.outstanding.Total(h.at)))
}

// setBound sets an account's bound unless a newer version is known. A new account gets the
// tokens that it would have if it had been known and unused before.
func (h *holder) setBound(now core.Time, name string, maxUse float64, version int64) {
	h.advance(now)
	b := h.buckets[name]
	switch {
	case b == nil:
		h.refillAll()
		b = &bucket{version: version, shareSeconds: h.shareSeconds, outstanding: window.New(GrantLifetime, grantSlots), bursts: window.New(h.window+GrantLifetime, burstSlots)}
		if h.buckets == nil {
			h.buckets = map[string]*bucket{}
		}
		h.buckets[name] = b
		b.level = h.unusedLevel * maxUse
	case version < b.version:
		return
	default:
		h.refill(b)
	}
	b.maxUse, b.version = maxUse, version
	h.refill(b)
}

// bucket returns an account's refilled bucket, nil if its bound is not known.
func (h *holder) bucket(now core.Time, name string) *bucket {
	h.advance(now)
	b := h.buckets[name]
	if b != nil {
		h.refill(b)
	}
	return b
}

// grantable is the number of tokens that can be granted at this time.
func (h *holder) grantable(b *bucket) float64 { return b.level + h.burstAvailable(b) }

// burstAvailable is the number of tokens that can be granted beyond the level.
func (h *holder) burstAvailable(b *bucket) float64 {
	return max(0, burstShare*h.matured*b.maxUse-b.bursts.Total(h.at))
}

// grant takes tokens that may be used for GrantLifetime, from the level first: tokens that
// the level has no room for are lost.
func (h *holder) grant(b *bucket, tokens float64) {
	ofLevel := min(tokens, b.level)
	b.level -= ofLevel
	b.outstanding.Add(h.at, ofLevel)
	if tokens > ofLevel {
		b.bursts.Add(h.at, tokens-ofLevel)
	}
}

// reserve is the number of an account's tokens that the holder must have before it grants
// any: the cost of a large request that was refused. Without it, small requests would take
// all new tokens before there are enough for the large one.
func (h *holder) reserve(b *bucket) float64 {
	if h.at.Sub(b.refusedAt) >= reserveDuration {
		return 0
	}
	return min(b.refused, reserveShare*h.share*b.maxUse)
}

// noteRefusal records the cost of a refused request.
func (h *holder) noteRefusal(b *bucket, cost float64) {
	if cost >= b.refused || h.at.Sub(b.refusedAt) >= reserveDuration {
		b.refused, b.refusedAt = cost, h.at
	}
}

// timeUntil is the time until so many tokens can be granted, provided that none are before.
func (h *holder) timeUntil(b *bucket, amount float64) time.Duration {
	rate := h.share * h.rate(b.maxUse)
	missing := amount - h.grantable(b)
	if missing <= 0 {
		return 0
	}
	if missing > maxRetryAfter.Seconds()*rate {
		return maxRetryAfter
	}
	return time.Duration(missing / rate * float64(time.Second))
}
