package limit

import (
	"math"
	"time"

	"nutmeglane.example/nutmeglane/internal/core"
	"nutmeglane.example/nutmeglane/internal/window"
)

const (
	// Window is the period over which a server's limit is enforced.
	Window = 4 * time.Second
	// windowSlots is the number of slots in which a window is counted.
	windowSlots = 32
	// burstTime is how long the bucket takes to fill at the limit: the size of a burst.
	burstTime = time.Second
	// MinPerSecond is the rate at which requests go to a server with a lower limit, or a
	// limit of 0: only their answers show when it takes more again.
	MinPerSecond = 0.1
	// minDelay is the minimum time after which routers ask again. With a shorter one
	// they would ask more often than permits become available.
	minDelay = 20 * time.Millisecond
)

// bucket limits requests to a rate by a token bucket and, for a limit that a server announced,
// a sliding window.
type bucket struct {
	// tokens are the tokens at the time at, at most capacity. Each is one request.
	tokens float64
	at     core.Time
	// sent counts the requests within the window, from all routers that the bucket
	// counts for.
	sent window.Window
	// rate is in requests per second, windowRate the part of it that the window enforces, 0
	// without a window. burst is how long the bucket takes to fill.
	rate, windowRate float64
	burst            time.Duration
}

func newBucket(now core.Time) bucket {
	return bucket{at: now, sent: window.New(Window, windowSlots), burst: burstTime}
}

// capacity returns the size of the largest burst.
func (b *bucket) capacity() float64 { return 1 + b.rate*b.burst.Seconds() }

// windowLimit returns the number of requests that may be sent within the window.
func (b *bucket) windowLimit() float64 {
	if b.windowRate == 0 {
		return math.Inf(1)
	}
	return b.windowRate*Window.Seconds() + 1 + b.windowRate*burstTime.Seconds()
}

// setRate changes the rate from now on, with a window of windowPerSecond, or without one if
// that is 0, and with the time that the bucket takes to fill.
func (b *bucket) setRate(now core.Time, perSecond, windowPerSecond float64, burst time.Duration) {
	b.fill(now)
	b.rate, b.windowRate, b.burst = perSecond, windowPerSecond, burst
	b.tokens = min(b.tokens, b.capacity())
}

func (b *bucket) fill(now core.Time) {
	b.tokens = min(b.capacity(), b.tokens+b.rate*now.Sub(b.at).Seconds())
	b.at = now
}

// has reports whether take would succeed.
func (b *bucket) has(now core.Time, reserve float64) bool {
	b.fill(now)
	return b.tokens >= 1+reserve && b.sent.Total(now)+1 <= b.windowLimit()
}

// take takes a token if at least reserve tokens remain and the window has room.
func (b *bucket) take(now core.Time, reserve float64) bool {
	if !b.has(now, reserve) {
		return false
	}
	b.tokens--
	b.sent.Add(now, 1)
	return true
}

// delay returns the time until take can succeed with the given reserve if no other token
// is taken meanwhile.
func (b *bucket) delay(now core.Time, reserve float64) time.Duration {
	b.fill(now)
	delay := minDelay
	if missing := 1 + reserve - b.tokens; missing > 0 {
		delay = max(delay, time.Duration(missing/b.rate*float64(time.Second)))
	}
	if b.sent.Total(now)+1 > b.windowLimit() {
		delay = max(delay, b.sent.RoomIn(now, b.windowLimit()-1))
	}
	return delay
}
