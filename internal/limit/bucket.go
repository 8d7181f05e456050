package limit

import (
	"time"

	"nutmeglane.example/nutmeglane/internal/core"
	"nutmeglane.example/nutmeglane/internal/window"
)

const (
	// Window is the time within which a server is not to get more than its limit allows.
	Window = 4 * time.Second
	// windowSlots is how finely a window is counted.
	windowSlots = 32
	// depthTime is how much of a limit may come at once.
	depthTime = time.Second
	// LeastPerSecond is the rate at which requests go to a server that takes fewer, or
	// none: what comes back is the only sign that it takes more again.
	MinPerSecond = 0.1
	// leastRoom bounds the time after which routers ask again: below it they would ask
	// more often than there is anything to grant.
	leastRoom = 20 * time.Millisecond
)

// bucket is what may be sent at a rate: tokens that fill at it, and a window.
type bucket struct {
	// tokens are as of a time, at most depth. Each is one request.
	tokens float64
	at     core.Time
	// sent is what was sent within a window, by all whom the bucket counts.
	sent window.Window
	// rate is in requests a second.
	rate float64
}

func newBucket(now core.Time) bucket {
	return bucket{at: now, sent: window.New(Window, windowSlots)}
}

// depth is the most that may come at once.
func (b *bucket) depth() float64 { return 1 + b.rate*depthTime.Seconds() }

// most is what the window has room for.
func (b *bucket) most() float64 { return b.rate*Window.Seconds() + b.depth() }

// setRate changes the rate from now on.
func (b *bucket) setRate(now core.Time, perSecond float64) {
	b.fill(now)
	b.rate = perSecond
	b.tokens = min(b.tokens, b.depth())
}

func (b *bucket) fill(now core.Time) {
	b.tokens = min(b.depth(), b.tokens+b.rate*now.Sub(b.at).Seconds())
	b.at = now
}

// take takes a token if that leaves so many, and the window has room.
func (b *bucket) take(now core.Time, leaves float64) bool {
	b.fill(now)
	if b.tokens < 1+leaves || b.sent.Total(now)+1 > b.most() {
		return false
	}
	b.tokens--
	b.sent.Add(now, 1)
	return true
}

// roomIn is how long it takes until a token can be taken so that so many are left, if
// nobody else takes one.
func (b *bucket) roomIn(now core.Time, leaves float64) time.Duration {
	b.fill(now)
	room := leastRoom
	if missing := 1 + leaves - b.tokens; missing > 0 {
		room = max(room, time.Duration(missing/b.rate*float64(time.Second)))
	}
	if b.sent.Total(now)+1 > b.most() {
		room = max(room, b.sent.RoomIn(now, b.most()-1))
	}
	return room
}
