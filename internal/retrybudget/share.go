package retrybudget

import (
	"time"

	"nutmeglane.example/nutmeglane/internal/core"
)

// The times of a share as parts of the bound's window. A router that ends or loses contact counts
// for settleWindows. One that has lost contact for longer than maxGapWindows counts as new.
const (
	settleWindows = 1.5
	maxGapWindows = 0.5
)

// Contact is what a router knows of the others.
type Contact struct {
	// Listed is the number of loaders that there are, Reached the number of those that this
	// router has heard lately.
	Listed, Reached int
	// Routers is the largest number of routers that any loader reported, 0 if none did.
	Routers int
}

// majority reports whether more than half of the loaders are reached. Of several groups of routers
// that do not reach each other's loaders at most one is in contact.
func (c Contact) majority() bool { return 2*c.Reached > c.Listed }

// Share is a router's part of the slack of all budgets. Create it with NewShare.
type Share struct {
	window time.Duration
	// declared is the number of routers that operators declare, 0 if loaders tell it.
	declared  int
	startedAt core.Time
	// since is when the router came into contact, contactAt when it last was. Both are valid
	// once met is set.
	since, contactAt core.Time
	met              bool
	routers          largest
}

// NewShare returns the share of a process that has just started. With a declared number of routers
// the share does not depend on loaders.
func NewShare(now core.Time, window time.Duration, declared int) *Share {
	return &Share{window: window, declared: declared, startedAt: now, routers: newLargest(windows(window, settleWindows))}
}

// Set replaces the window and the declared number of routers. With another window the share begins
// anew, as that of a process that has just started.
func (s *Share) Set(now core.Time, window time.Duration, declared int) {
	if window != s.window {
		*s = *NewShare(now, window, declared)
		return
	}
	s.declared = declared
}

func windows(window time.Duration, count float64) time.Duration {
	return time.Duration(count * float64(window))
}

// Update records what the router knows now. It is called several times a bucket.
func (s *Share) Update(now core.Time, c Contact) {
	s.routers.add(now, c.Routers)
	if !c.majority() {
		return
	}
	if !s.met || now.Sub(s.contactAt) > windows(s.window, maxGapWindows) {
		s.met, s.since = true, now
	}
	s.contactAt = now
}

// Routers is the number of routers among which the slack is divided, 0 if it is not known.
func (s *Share) Routers(now core.Time) int { return max(s.declared, s.routers.value(now)) }

// Part is this router's part of a slack.
func (s *Share) Part(now core.Time, slack float64) float64 {
	if !s.usable(now) {
		return 0
	}
	return slack / float64(max(1, s.Routers(now)))
}

// usable reports whether the router may use its part.
func (s *Share) usable(now core.Time) bool {
	settled := windows(s.window, settleWindows)
	if s.declared > 0 {
		return now.Sub(s.startedAt) >= settled
	}
	inContact := s.met && now.Sub(s.contactAt) < s.window/bucketsPerWindow
	return inContact && s.Routers(now) > 0 && now.Sub(s.since) >= settled
}

// largestBuckets is the number of buckets of a largest.
const largestBuckets = 30

// largest is the largest of recent values.
type largest struct {
	bucket  time.Duration
	values  [largestBuckets]int
	current int64
}

// newLargest returns a largest of the values within a time.
func newLargest(within time.Duration) largest {
	return largest{bucket: max(1, within/(largestBuckets-1))}
}

func (l *largest) advance(now core.Time) {
	to := int64(now) / int64(l.bucket)
	if to-l.current >= largestBuckets {
		l.values, l.current = [largestBuckets]int{}, to
	}
	for l.current < to {
		l.current++
		l.values[l.current%largestBuckets] = 0
	}
}

func (l *largest) add(now core.Time, value int) {
	l.advance(now)
	i := l.current % largestBuckets
	l.values[i] = max(l.values[i], value)
}

func (l *largest) value(now core.Time) int {
	l.advance(now)
	most := 0
	for _, value := range l.values {
		most = max(most, value)
	}
	return most
}
