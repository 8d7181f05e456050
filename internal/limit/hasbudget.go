package limit

import (
	"time"

	"nutmeglane.example/nutmeglane/internal/core"
)

// hasBudget reports whether a server has an engine budget, so that its permits are granted by
// rank and shares.
func (s *limitedServer) hasBudget() bool { return s.budgeted }

// SetBudget sets the budget of a server's life in requests per second, 0 to end it. It returns
// the message that announces the server's limits, nil if the server has begun another life. The
// bucket fills within burstTime; the last parameter, the time in which it is to fill, is not
// used.
func (l *Limiter) SetBudget(now core.Time, life core.ServerLife, perSecond float64, _ time.Duration) *core.LimitReply {
	s, current := l.server(now, life)
	if !current {
		return nil
	}
	s.updatedAt, s.budgeted = now, perSecond > 0
	if s.budgeted {
		s.bucket.setRate(now, perSecond)
	}
	return s.message(now)
}
