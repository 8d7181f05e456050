package copyplan

import (
	"cmp"
	"math"
	"slices"
	"time"

	"nutmeglane.example/nutmeglane/internal/core"
)

const (
	// trendSamples is the number of rates that a trend is derived from: at four plans a
	// second they cover one second.
	trendSamples = 5
	// trendWindow is the time that they cover at least. Over a shorter one the change of a
	// rate is mostly chance.
	trendWindow = 800 * time.Millisecond
	// chance is how many standard deviations a rate has to rise within the window to count
	// as a trend. At two, a steady rate shows a trend in one plan of forty.
	chance = 2.0
	// spareTime is added to the load time in predictions: a plan, an order and the way of
	// the first requests.
	spareTime = 500 * time.Millisecond
	// mostGrowth bounds the predicted rate relative to the present one.
	mostGrowth = 2.0
)

// rateHistory holds the last rates of a model, oldest first.
type rateHistory struct {
	samples [trendSamples]rateSample
	count   int
}

type rateSample struct {
	at   core.Time
	rate float64
}

func (h *rateHistory) add(now core.Time, rate float64) {
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

// trend returns the rise of the rate per second, 0 if it does not rise or may do so by
// chance.
//
// The mean of the two middle slopes is used, at most that of the whole window. It guards against a sum that jumps because a
// loader begins to report: after a restart a model's rate appears within one report, and the
// slope of that report would predict ten times the rate. Two middle ones are needed, since
// loaders may report at every second plan.
func (h *rateHistory) trend() float64 {
	first, last := h.samples[0], h.samples[max(0, h.count-1)]
	if h.count < trendSamples || last.at.Sub(first.at) < trendWindow {
		return 0
	}
	var slopes [trendSamples - 1]float64
	for i := range slopes {
		a, b := h.samples[i], h.samples[i+1]
		slopes[i] = (b.rate - a.rate) / b.at.Sub(a.at).Seconds()
	}
	slices.SortFunc(slopes[:], cmp.Compare[float64])
	window := last.at.Sub(first.at)
	trend := max(0, min((slopes[1]+slopes[2])/2, (last.rate-first.rate)/window.Seconds()))
	if trend*window.Seconds() < chance*deviation(first.rate, window) {
		return 0
	}
	return trend
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
// Rate is a decaying mean, which lags behind a rise by its time constant, and the trend
// derived from several rates is that of half their window ago. Without that correction the
// copies for a rise from 15 to 77 requests a second in four seconds came one after another.
func (m *modelState) predict(derived float64) {
	present, trend := m.Rate, m.Trend
	if trend == 0 && derived > 0 {
		trend = derived
		present += trend * (core.FastRateMemory + time.Second/2).Seconds()
	}
	ahead := (m.nearestLoad + spareTime).Seconds()
	m.predicted = max(0, min(mostGrowth*present, present+max(0, trend)*ahead))
}
