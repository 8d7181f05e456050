package copyplan

import (
	"cmp"
	"math"
	"slices"
	"time"

	"nutmeglane.example/nutmeglane/internal/core"
)

const (
	// trendSamples is the most rates that a trend is derived from.
	trendSamples = 5
	// trendWindow is the time that they cover at least. Over a shorter one the change of a
	// rate is mostly chance.
	trendWindow = 800 * time.Millisecond
	// trendMaxAge is how long a rate may be unchanged before it counts as steady. Loaders of
	// large fleets report once a second.
	trendMaxAge = 1250 * time.Millisecond
	// chance is how many standard deviations a rate has to rise within the window to count
	// as a trend. At two, a steady rate of 60 a second got two copies too many in three of
	// 20 simulated minutes.
	chance = 3.0
	// spareTime is added to the load time in predictions: a plan, an order and the way of
	// the first requests.
	spareTime = 500 * time.Millisecond
	// mostGrowth bounds the predicted rate relative to the present one.
	mostGrowth = 2.0
)

// rateHistory holds the last different rates of a model, oldest first.
type rateHistory struct {
	samples [trendSamples]rateSample
	count   int
}

type rateSample struct {
	at   core.Time
	rate float64
}

// add records a rate. One that is unchanged comes from the same report of a loader and is no
// new sample.
func (h *rateHistory) add(now core.Time, rate float64) {
	if h.count > 0 && h.samples[h.count-1].rate == rate {
		return
	}
	if h.count > 0 && h.samples[h.count-1].at >= now {
		h.count--
	}
	if h.count == trendSamples {
		copy(h.samples[:], h.samples[1:])
		h.count--
	}
	h.samples[h.count] = rateSample{now, rate}
	h.count++
}

// rise is a rise of a rate.
type rise struct {
	// perSecond is the rise per second, 0 if the rate does not rise or may do so by chance.
	perSecond float64
	// age is how long ago the rate rose at that pace: the middle of the time that it was
	// derived from.
	age time.Duration
}

// rise returns the present rise of the rate.
func (h *rateHistory) rise(now core.Time) rise {
	samples := h.window()
	if len(samples) < 3 {
		return rise{}
	}
	first, last := samples[0], samples[len(samples)-1]
	window, lag := last.at.Sub(first.at), now.Sub(last.at)
	perSecond := typicalSlope(samples)
	if lag > trendMaxAge || perSecond*window.Seconds() < chance*deviation(first.rate, window) {
		return rise{}
	}
	return rise{perSecond: perSecond, age: lag + window/2}
}

// window returns the newest samples, at least three, that cover trendWindow; nil if there are
// none.
func (h *rateHistory) window() []rateSample {
	for from := h.count - 3; from >= 0; from-- {
		if h.samples[h.count-1].at.Sub(h.samples[from].at) >= trendWindow {
			return h.samples[from:h.count]
		}
	}
	return nil
}

// typicalSlope returns the median of the slopes between samples, at most that between the
// first and the last one. Of two slopes the larger counts as at most three times the smaller.
//
// It guards against a sum that jumps because a loader begins to report: after a restart a
// model's rate appears within one report, and the slope of that report would predict ten
// times the rate.
func typicalSlope(samples []rateSample) float64 {
	first, last := samples[0], samples[len(samples)-1]
	slopes := make([]float64, 0, trendSamples-1)
	for i := 1; i < len(samples); i++ {
		a, b := samples[i-1], samples[i]
		slopes = append(slopes, (b.rate-a.rate)/b.at.Sub(a.at).Seconds())
	}
	slices.SortFunc(slopes, cmp.Compare[float64])
	middle := slopes[len(slopes)/2]
	switch {
	case len(slopes) == 2:
		middle = 2 * slopes[0]
	case len(slopes)%2 == 0:
		middle = (middle + slopes[len(slopes)/2-1]) / 2
	}
	return max(0, min(middle, (last.rate-first.rate)/last.at.Sub(first.at).Seconds()))
}

// deviation is the standard deviation of the change, within a window, of a decaying mean of
// arrivals at a constant rate.
func deviation(rate float64, window time.Duration) float64 {
	memory := core.FastRateMemory
	variance := rate / (2 * memory.Seconds())
	return math.Sqrt(2 * variance * (1 - math.Exp(-window.Seconds()/memory.Seconds())))
}

// predict sets the rate that the model will have when a copy that is ordered now is ready.
//
// Rate is a decaying mean, which lags behind a rise by its time constant, and a derived trend
// is that of some time ago. Without these corrections the copies for a rise from 15 to 77
// requests a second in four seconds came one after another.
func (m *modelState) predict(derived rise) {
	present, trend := m.Rate, m.Trend
	if trend == 0 {
		trend = derived.perSecond
		present += trend * (core.FastRateMemory + derived.age).Seconds()
	}
	ahead := (m.nearestLoad + spareTime).Seconds()
	m.predicted = max(0, min(mostGrowth*present, present+max(0, trend)*ahead))
}
