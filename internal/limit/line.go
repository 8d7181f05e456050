package limit

import (
	"time"

	"nutmeglane.example/nutmeglane/internal/core"
)

// longestLine bounds when somebody who was refused is told to come back: by then the
// window has passed.
const longestLine = Window

// line gives those who were refused times to come back, one permit apart.
//
// It guards against callers, or routers, that come back in step: 28 that were all told the
// time of the next permit would ask together, and all but one of them in vain each time.
type line struct{ last core.Time }

// after is how long the next one in the line waits, where there is room in some time and
// then each pause.
func (l *line) after(now core.Time, room, pause time.Duration) time.Duration {
	l.last = max(now.Add(room), l.last.Add(pause))
	if l.last.Sub(now) > max(room, longestLine) {
		l.last = now.Add(room)
	}
	return l.last.Sub(now)
}

// pauseOf is the time between two permits at a rate.
func pauseOf(perSecond float64) time.Duration {
	return time.Duration(float64(time.Second) / max(MinPerSecond, perSecond))
}
