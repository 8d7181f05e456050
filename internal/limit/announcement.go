package limit

import "nutmeglane.example/nutmeglane/internal/core"

// Announcement is what one answer of a backend server said about its limit.
type Announcement struct {
	// Named is false if the server announced no limit.
	Named bool
	// PerSecond is how many requests a second it takes from all routers together.
	PerSecond float64
	// Sent is when the request was sent whose answer this came with, Received when that
	// answer arrived. The server made the statement in between.
	Sent, Received core.Time
	// ColdUntil is until when the limit holds in any case, 0 for a limit that ends with an
	// answer that names none.
	ColdUntil core.Time
}

// received reports whether this was received at all; it is false for the zero value.
func (a Announcement) received() bool { return a.Received != 0 }

// equal reports whether two announcements have the same limit.
func (a Announcement) equal(other Announcement) bool {
	return a.Named == other.Named && a.PerSecond == other.PerSecond
}

// stricter reports whether this limit is lower than another.
func (a Announcement) stricter(other Announcement) bool {
	return a.Named && (!other.Named || a.PerSecond < other.PerSecond)
}

// Update returns the announcement in force after a further one, and whether the limit has
// changed.
//
// It guards against answers that arrive out of order: one that began before a limit was
// announced may end after one that announced it, and would remove the limit while it is
// in force. So a stricter announcement is accepted unless it is certainly older, and one
// that allows more only if its request was sent after all earlier answers were received.
//
// The limit of a cold server is known from its registry entry. Its answers don't name it and
// can't end it.
func (a Announcement) Update(next Announcement) (now Announcement, changed bool) {
	coldUntil := max(a.ColdUntil, next.ColdUntil)
	if a.ColdUntil > next.Received && !next.stricter(a) {
		a.ColdUntil = coldUntil
		return a, false
	}
	next.ColdUntil = coldUntil
	switch {
	case !a.received() && !next.Named:
		return a, false
	case !a.received():
		return next, true
	case next.equal(a):
		a.Sent, a.Received, a.ColdUntil = max(a.Sent, next.Sent), max(a.Received, next.Received), coldUntil
		return a, false
	case next.stricter(a) && next.Received <= a.Sent:
		return a, false
	case next.stricter(a):
		next.Received = max(a.Received, next.Received)
		return next, true
	case next.Sent < a.Received:
		return a, false
	default:
		return next, true
	}
}
