// Package window counts uses within a sliding window of time. It has no I/O and no clock.
package window

import (
	"time"

	"nutmeglane.example/nutmeglane/internal/core"
)

// Window is what was used lately. A slot that has partly left the window is still counted,
// so that a finer count allows more. The zero value is not usable; see New.
type Window struct {
	length time.Duration
	used   []float64
	sum    float64
	// current is the number of the slot of now.
	current int64
}

// New returns an empty window of a length, counted by so many slots, two or more.
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

// Add counts a use of now.
func (w *Window) Add(now core.Time, cost float64) {
	w.advance(now)
	w.used[w.current%int64(len(w.used))] += cost
	w.sum += cost
}

// Parts is the use within the window by so many parts of equal length, the oldest first.
func (w *Window) Parts(now core.Time, count int) []float64 {
	w.advance(now)
	parts := make([]float64, count)
	n := int64(len(w.used))
	for i := range n {
		parts[i*int64(count)/n] += w.used[(w.current+1+i)%n]
	}
	return parts
}

// AddParts counts a use of before now, by parts of the window.
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

// RoomIn is how long it takes until no more than most is left in the window.
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
