// Package window sums uses within a sliding time window. It has no I/O and no clock.
package window

import (
	"time"

	"nutmeglane.example/nutmeglane/internal/core"
)

// Window is the sum of recent uses, kept in slots of equal length. A slot that has partly
// left the window is still counted in full, so that more slots allow more use. The zero
// value is not usable; see New.
type Window struct {
	length time.Duration
	used   []float64
	sum    float64
	// current is the number of the slot of the current time.
	current int64
}

// New returns an empty window of the given length with the given number of slots, at least
// two.
func New(length time.Duration, slots int) Window {
	return Window{length: length, used: make([]float64, slots)}
}

// slot is the length of one slot.
func (w *Window) slot() time.Duration {
	return max(time.Millisecond, w.length/time.Duration(len(w.used)-1))
}

// advance moves the window to now.
func (w *Window) advance(now core.Time) {
	to := int64(now) / int64(w.slot())
	if to-w.current >= int64(len(w.used)) {
		clear(w.used)
		w.sum, w.current = 0, to
	}
	for w.current < to {
		w.current++
		i := w.current % int64(len(w.used))
		w.sum -= w.used[i]
		w.used[i] = 0
	}
}

// Add records a use at this time.
func (w *Window) Add(now core.Time, cost float64) {
	w.advance(now)
	w.used[w.current%int64(len(w.used))] += cost
	w.sum += cost
}

// Parts returns the uses within the window as count parts of equal length, the oldest
// first.
func (w *Window) Parts(now core.Time, count int) []float64 {
	w.advance(now)
	parts := make([]float64, count)
	n := int64(len(w.used))
	for i := range n {
		parts[i*int64(count)/n] += w.used[(w.current+1+i)%n]
	}
	return parts
}

// AddParts adds earlier uses, given as parts of the window as Parts returns them.
func (w *Window) AddParts(now core.Time, parts []float64) {
	w.advance(now)
	n, m := int64(len(w.used)), int64(len(parts))
	for i := range n * min(1, m) {
		part := parts[i*m/n] * float64(m) / float64(n)
		w.used[(w.current+1+i)%n] += part
		w.sum += part
	}
}

// Total is the use within the window.
func (w *Window) Total(now core.Time) float64 {
	w.advance(now)
	return w.sum
}

// RoomIn is the time until the remaining use within the window is at most most.
func (w *Window) RoomIn(now core.Time, most float64) time.Duration {
	left := w.Total(now)
	for i := int64(1); i <= int64(len(w.used)); i++ {
		left -= w.used[(w.current+i)%int64(len(w.used))]
		if left <= most {
			return time.Duration(i) * w.slot()
		}
	}
	return w.length
}
