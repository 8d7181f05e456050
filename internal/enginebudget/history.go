package enginebudget

import (
	"time"

	"nutmeglane.example/nutmeglane/internal/core"
)

const (
	// rateWindow is the period over which rates are measured: some ten reports of a busy
	// engine.
	rateWindow = time.Second
	// capacityMemory is how long a measured rate counts as the engine's capacity. Demand
	// moves between models, whose prompts differ in length, about every ten seconds.
	capacityMemory = 10 * time.Second
)

// interval is what happened between two samples.
type interval struct {
	from, to core.Time
	sample   Sample
}

// measured is the rate at which the engine began requests within a rateWindow.
type measured struct {
	at        core.Time
	perSecond float64
	// saturated is set if the engine had unread prompts in all samples of the window.
	saturated bool
}

// history keeps the samples of the last rateWindow and the rates of the last capacityMemory.
// The zero value is empty.
type history struct {
	last      Sample
	intervals []interval
	rates     []measured
	// unreadSince is since when all samples had unread prompts, valid while the last one has.
	unreadSince core.Time
}

// restart forgets the samples of the rateWindow and continues from this one: what happened
// between it and the last one is not known well enough to measure a rate.
func (h *history) restart(s Sample) {
	h.intervals = h.intervals[:0]
	h.unreadSince = s.At
	h.last = s
}

// add adds a sample that follows the last one.
func (h *history) add(s Sample) {
	if s.Unread == 0 || h.last.Unread == 0 {
		h.unreadSince = s.At
	}
	h.intervals = append(h.intervals, interval{from: h.last.At, to: s.At, sample: s})
	h.last = s
	old := 0
	for h.intervals[old].to <= s.At.Add(-rateWindow) {
		old++
	}
	h.intervals = append(h.intervals[:0], h.intervals[old:]...)
	h.measure(s)
}

// measure records the rate of the last rateWindow once the history covers it.
func (h *history) measure(s Sample) {
	if !h.complete() {
		return
	}
	h.rates = append(h.rates, measured{
		at: s.At, perSecond: h.begun(), saturated: s.Unread > 0 && s.At.Sub(h.unreadSince) >= rateWindow,
	})
	old := 0
	for h.rates[old].at <= s.At.Add(-capacityMemory) {
		old++
	}
	h.rates = append(h.rates[:0], h.rates[old:]...)
}

// complete reports whether the samples cover a rateWindow.
func (h *history) complete() bool { return h.span() >= rateWindow }

func (h *history) span() time.Duration {
	if len(h.intervals) == 0 {
		return 0
	}
	return h.last.At.Sub(h.intervals[0].from)
}

// perSecond returns the sum of a count within the window per second, 0 for an empty history.
func (h *history) perSecond(count func(Sample) int) float64 {
	span := h.span()
	if span <= 0 {
		return 0
	}
	sum := 0
	for i := range h.intervals {
		sum += count(h.intervals[i].sample)
	}
	return float64(sum) / span.Seconds()
}

// begun returns the rate at which the engine began requests, asked that of requests for
// permits.
func (h *history) begun() float64 { return h.perSecond(func(s Sample) int { return s.Begun }) }
func (h *history) asked() float64 { return h.perSecond(func(s Sample) int { return s.Asked }) }

// pause returns the mean pause between two events of the running streams: the time that they
// ran divided by the events that ended a pause, which the first event of a request does not.
func (h *history) pause() time.Duration {
	ran, events := time.Duration(0), 0
	for i := range h.intervals {
		v := &h.intervals[i]
		ran += v.to.Sub(v.from) * time.Duration(v.sample.streams())
		events += v.sample.Events - v.sample.Begun
	}
	return ran / time.Duration(max(1, events))
}

// readingShare returns the part of the samples of the window that had unread prompts.
func (h *history) readingShare() float64 {
	n := 0
	for i := range h.intervals {
		if h.intervals[i].sample.Unread > 0 {
			n++
		}
	}
	return float64(n) / float64(max(1, len(h.intervals)))
}

// capacity returns the rate at which the engine begins requests while it always has unread
// prompts, 0 if that is unknown.
//
// It is the highest of the recent rates once one of them was measured with unread prompts all
// the time. Rates measured without count as well, because the engine can do at least that:
// a second in which two long prompts were read would otherwise stand for ten.
func (h *history) capacity() float64 {
	highest, known := 0.0, false
	for i := range h.rates {
		highest = max(highest, h.rates[i].perSecond)
		known = known || h.rates[i].saturated
	}
	if !known {
		return 0
	}
	return highest
}

// unread returns the mean number of unread prompts of the samples within a period before the
// last one. A single sample varies by several prompts, as requests arrive at random, which
// made the limit change its direction with each sample.
func (h *history) unread(within time.Duration) float64 {
	sum, n := 0, 0
	for i := len(h.intervals) - 1; i >= 0 && h.last.At.Sub(h.intervals[i].to) < within; i-- {
		sum += h.intervals[i].sample.Unread
		n++
	}
	if n == 0 {
		return float64(h.last.Unread)
	}
	return float64(sum) / float64(n)
}
