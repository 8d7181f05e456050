package limit

import "nutmeglane.example/nutmeglane/internal/core"

// Word is what a backend server told of its limit with one answer.
type Announcement struct {
	// Named is false where the server named no limit: it takes what comes.
	Named bool
	// PerSecond is how many requests a second it takes from all routers together.
	PerSecond float64
	// Sent is when the request was sent whose answer this came with, Heard when that
	// answer came. The server said it in between.
	Sent, Received core.Time
}

// known tells that a word was heard at all.
func (w Announcement) known() bool { return w.Received != 0 }

// same tells that two words say the same.
func (w Announcement) same(other Announcement) bool {
	return w.Named == other.Named && w.PerSecond == other.PerSecond
}

// stricter tells that a server takes less by this word than by another.
func (w Announcement) stricter(other Announcement) bool {
	return w.Named && (!other.Named || w.PerSecond < other.PerSecond)
}

// Follow returns what holds after a further word, and whether that is new.
//
// It guards against answers that come out of order: one that began before a limit was
// named may end after one that named it, and would lift the limit while it holds. So a
// stricter word counts unless it is surely older, and one that allows more only if its
// request was sent after all that was heard before.
func (w Announcement) Update(next Announcement) (now Announcement, changed bool) {
	switch {
	case !w.known() && !next.Named:
		return w, false
	case !w.known():
		return next, true
	case next.same(w):
		w.Sent, w.Received = max(w.Sent, next.Sent), max(w.Received, next.Received)
		return w, false
	case next.stricter(w) && next.Received <= w.Sent:
		return w, false
	case next.stricter(w):
		next.Received = max(w.Received, next.Received)
		return next, true
	case next.Sent < w.Received:
		return w, false
	default:
		return next, true
	}
}
