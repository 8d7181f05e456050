// Package retrybudgettest judges in tests whether the retries to a service, over all routers and by
// their arrival there, keep to their bound.
package retrybudgettest

import (
	"fmt"
	"slices"
	"time"

	"nutmeglane.example/nutmeglane/internal/core"
	"nutmeglane.example/nutmeglane/internal/retrybudget"
)

// Log records the requests of callers for a service and what arrives at its servers, in the order
// of time. The zero value is not usable; see New.
type Log struct {
	bounds            retrybudget.Bounds
	requests, retries []core.Time
	arrived           map[string]bool
}

// New returns an empty log.
func New(bounds retrybudget.Bounds) *Log { return &Log{bounds: bounds, arrived: map[string]bool{}} }

// Request records that a caller sends a request.
func (l *Log) Request(now core.Time) { l.requests = append(l.requests, now) }

// Arrival records that a request arrives at a server. Each arrival after its first is a retry.
func (l *Log) Arrival(now core.Time, id string) {
	if l.arrived[id] {
		l.retries = append(l.retries, now)
	}
	l.arrived[id] = true
}

// Use is the use of the bound in a window that begins at From.
type Use struct {
	From              core.Time
	Requests, Retries int
	// Bound is the largest number of retries.
	Bound float64
}

// Exceeded reports whether there were more retries than allowed.
func (u Use) Exceeded() bool { return u.over() > 0 }

func (u Use) over() float64 { return float64(u.Retries) - u.Bound }

func (u Use) String() string {
	if u.Retries == 0 {
		return "no retries"
	}
	return fmt.Sprintf("%d retries of %.1f allowed for %d requests, in the window from %v", u.Retries, u.Bound, u.Requests, time.Duration(u.From))
}

// Worst returns the window with the most retries over the bound, or with the least room if none has.
func (l *Log) Worst() Use {
	worst := l.window(0)
	for i, at := range l.retries {
		for _, from := range []core.Time{at, at.Add(1 - l.bounds.Window)} {
			if use := l.window(from); i == 0 || use.over() > worst.over() {
				worst = use
			}
		}
	}
	return worst
}

// window returns the use in the window from a time. Its requests are those in it, in the window
// before it, or in the one half a window before it, whichever has most.
func (l *Log) window(from core.Time) Use {
	w := l.bounds.Window
	u := Use{From: from, Retries: between(l.retries, from, from.Add(w))}
	for _, before := range []time.Duration{0, w / 2, w} {
		u.Requests = max(u.Requests, between(l.requests, from.Add(-before), from.Add(w-before)))
	}
	u.Bound = l.bounds.Ratio*float64(u.Requests) + l.bounds.Slack
	return u
}

// Used returns the part of the bound that is used in the last windows before a time together. One
// window alone may lie between two uses of the slack, which are a little more than a window apart.
func (l *Log) Used(now core.Time, windows int) float64 {
	from := now.Add(-time.Duration(windows) * l.bounds.Window)
	bound := l.bounds.Ratio*float64(between(l.requests, from, now)) + float64(windows)*l.bounds.Slack
	return float64(between(l.retries, from, now)) / bound
}

// Total returns the numbers of requests and retries.
func (l *Log) Total() (requests, retries int) { return len(l.requests), len(l.retries) }

// between counts the times in [from, to).
func between(times []core.Time, from, to core.Time) int {
	low, _ := slices.BinarySearch(times, from)
	high, _ := slices.BinarySearch(times, to)
	return high - low
}
