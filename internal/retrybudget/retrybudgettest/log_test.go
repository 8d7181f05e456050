package retrybudgettest

import (
	"strconv"
	"testing"
	"time"

	"nutmeglane.example/nutmeglane/internal/core"
	"nutmeglane.example/nutmeglane/internal/retrybudget"
)

const start = core.Time(time.Hour)

// recorded returns a log of 100 requests a second for 30 s, and retries at the given times.
func recorded(retriesAt ...time.Duration) *Log {
	l := New(retrybudget.Bounds{Window: 10 * time.Second, Ratio: 0.001, Slack: 1})
	for i := range 3000 {
		l.Request(start.Add(time.Duration(i) * 10 * time.Millisecond))
	}
	l.Arrival(start, "r")
	for _, at := range retriesAt {
		l.Arrival(start.Add(at), "r")
	}
	return l
}

// Guards against a check that misses an exceeded bound, or finds one where there is none.
func TestWorst(t *testing.T) {
	at := func(seconds ...float64) (times []time.Duration) {
		for _, s := range seconds {
			times = append(times, time.Duration(s*float64(time.Second)))
		}
		return times
	}
	for name, c := range map[string]struct {
		retries  []time.Duration
		exceeded bool
	}{
		"none":                        {nil, false},
		"as many as allowed":          {at(12, 13), false},
		"one more":                    {at(12, 13, 14), true},
		"one more, a window later":    {at(12, 13, 22), false},
		"one more, within the window": {at(12, 13, 21.999), true},
		"in the first window":         {at(0, 1, 2), true},
	} {
		if worst := recorded(c.retries...).Worst(); worst.Exceeded() != c.exceeded {
			t.Errorf("%s: %v", name, worst)
		}
	}
}

// Guards against a bound that counts the requests of one window only, when traffic ends.
func TestRequestsOfTheWindowBefore(t *testing.T) {
	if worst := recorded(35*time.Second, 36*time.Second).Worst(); worst.Exceeded() {
		t.Error(worst)
	}
	if worst := recorded(55*time.Second, 56*time.Second).Worst(); !worst.Exceeded() {
		t.Error(worst)
	}
}

// Guards against first arrivals that count as retries.
func TestTotalAndUsed(t *testing.T) {
	l := recorded(25*time.Second, 26*time.Second)
	l.Arrival(start.Add(27*time.Second), strconv.Itoa(2))
	if requests, retries := l.Total(); requests != 3000 || retries != 2 {
		t.Errorf("%d requests, %d retries", requests, retries)
	}
	if used := l.Used(start.Add(30*time.Second), 2); used != 0.5 {
		t.Errorf("%v of two windows used", used)
	}
}
