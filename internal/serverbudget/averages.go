package serverbudget

import (
	"time"

	"nutmeglane.example/nutmeglane/internal/core"
	"nutmeglane.example/nutmeglane/internal/window"
)

const (
	// askedTime is the time over which the rate of requests for permits is measured.
	askedTime = time.Second
	// askedSlots is the number of slots of that time.
	askedSlots = 20
)

// meanLoad is the mean of several stated loads.
type meanLoad struct{ waiting, slots float64 }

// waitTime is the time, in nanoseconds, that the waiting requests take at the given time of an
// answer.
func (l meanLoad) waitTime(usual time.Duration) float64 {
	return l.waiting / l.slots * float64(usual)
}

// loads sums up the loads stated since an evaluation.
type loads struct {
	// from is when the first of them arrived, last when the last did.
	from, last     core.Time
	count          int
	waiting, slots float64
}

func (l *loads) add(s Sample) {
	if l.count > 0 && s.At.Sub(l.last) > maxLoadAge {
		*l = loads{}
	}
	if l.count == 0 {
		l.from = s.At
	}
	l.last = s.At
	l.count++
	l.waiting += float64(s.Waiting)
	l.slots += float64(s.Slots)
}

// complete reports whether enough loads have arrived for an evaluation. Loads that are older
// than maxLoadAge don't count.
func (l *loads) complete(now core.Time) bool {
	return l.count > 0 && now.Sub(l.from) >= loadInterval && now.Sub(l.last) <= maxLoadAge
}

// take returns the mean and begins the next sum.
func (l *loads) take() meanLoad {
	n := float64(l.count)
	mean := meanLoad{waiting: l.waiting / n, slots: l.slots / n}
	*l = loads{}
	return mean
}

// askedRate measures the rate of requests for permits. The zero value is ready for use.
type askedRate struct {
	begun  bool
	within window.Window
}

func (a *askedRate) add(now core.Time, count int) {
	if !a.begun {
		a.begun, a.within = true, window.New(askedTime, askedSlots)
	}
	a.within.Add(now, float64(count))
}

func (a *askedRate) perSecond(now core.Time) float64 {
	if !a.begun {
		return 0
	}
	return a.within.Total(now) / askedTime.Seconds()
}
