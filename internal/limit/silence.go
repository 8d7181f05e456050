package limit

import (
	"time"

	"nutmeglane.example/nutmeglane/internal/core"
)

// This file bounds what is sent to a server that reads nothing.
//
// A limit holds by the arrival of requests. If the server stands still, what is sent meanwhile arrives
// at one moment once it goes on, together with what is sent from then on. Therefore a server that
// routers report as silent gets single requests until it has answered one of them.

const (
	// SilentAfter is how long a server must leave a request unanswered to be silent.
	SilentAfter = time.Second
	// silenceLasts is how long a report that a server is silent counts. Routers repeat it each
	// SilentAfter.
	silenceLasts = 2 * SilentAfter
	// probeInterval is the time between two requests to a silent server.
	probeInterval = time.Second
)

// silence is what routers reported of a server that reads nothing.
type silence struct {
	// unreadSince is when the newest request was sent that the server is not known to have read,
	// reportedAt when a router last reported one.
	unreadSince, reportedAt core.Time
	// grantedAt is when the last permit was granted.
	grantedAt core.Time
}

// report records a router's report on a request that was sent some time ago, 0 for none.
func (s *silence) report(now core.Time, unreadFor time.Duration) {
	if unreadFor <= 0 {
		return
	}
	s.unreadSince = max(s.unreadSince, now.Add(-unreadFor))
	s.reportedAt = now
}

// wait returns the time until the next request may be sent to a server, 0 unless it is silent: it has
// named a limit and has answered no router since.
func (s *silence) wait(now core.Time, last Announcement) time.Duration {
	if !last.Named || now.Sub(s.reportedAt) >= silenceLasts || last.Received >= s.unreadSince {
		return 0
	}
	return max(0, s.grantedAt.Add(probeInterval).Sub(now))
}
