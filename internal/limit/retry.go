package limit

import (
	"time"

	"nutmeglane.example/nutmeglane/internal/core"
)

// maxRetryDelay is the maximum retry delay of a refused request: by then the window has
// passed.
const maxRetryDelay = Window

// RetrySchedule assigns retry times to refused requests, one permit apart. Its zero value is
// ready for use.
//
// It guards against callers or routers that retry at the same time: 28 routers that were
// all given the time of the next permit would ask together, and all but one would be
// refused each time.
type RetrySchedule struct{ last core.Time }

// Next returns the delay of the next retry, where the first permit is available after
// delay and further ones at each interval.
func (r *RetrySchedule) Next(now core.Time, delay, interval time.Duration) time.Duration {
	r.last = max(now.Add(delay), r.last.Add(interval))
	if r.last.Sub(now) > max(delay, maxRetryDelay) {
		r.last = now.Add(delay)
	}
	return r.last.Sub(now)
}

// rescale moves the retries after a change of the rate by a factor. The retries assigned at a
// lower rate are due later than requests can be granted at the new one.
func (r *RetrySchedule) rescale(now core.Time, factor float64) {
	r.last = rescaled(now, r.last, factor)
}

// rescaled returns a time that is still to come at the rate changed by a factor.
func rescaled(now, at core.Time, factor float64) core.Time {
	if at <= now {
		return at
	}
	return now.Add(time.Duration(float64(at.Sub(now)) / factor))
}

// permitInterval returns the time between two permits at a rate.
func permitInterval(perSecond float64) time.Duration {
	return time.Duration(float64(time.Second) / max(MinPerSecond, perSecond))
}
